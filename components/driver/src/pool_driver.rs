//! Drives the pool's decision core in virtual time: answers its calls immediately and runs tasks on
//! simulated workers.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use config::Rules;
use pool::{
    Action, Event, Mechanisms, Pool, PoolSettings, ReplyTo, StoreAnswer, StoreCall, StoreFailure,
};
use standin::{RunLog, Worker};
use types::{
    CallId, JobCommand, JobSpec, Millis, NodeId, RulesVersion, SyncRequest, TeamId, WorkerId,
    WorkerInfo,
};

use crate::measure::{Class, Observations, RunMetrics, SAMPLE_MS, Sample, run_duration_ms};
use crate::workload::{Arrival, Workload};

/// Step of the virtual clock.
const STEP_MS: Millis = Millis(50);
/// Start of the workload on the virtual clock; by then all workers are attached.
const WARM_UP_MS: Millis = Millis(2_000);

/// Variants of the core: with all mechanisms, and without single ones.
pub fn variants() -> Vec<(&'static str, Mechanisms)> {
    let all = Mechanisms::default();
    vec![
        ("carobsill", all),
        ("without shares", Mechanisms { shares: false, ..all }),
        ("without priorities", Mechanisms { priorities: false, preemption: false, ..all }),
        ("without preemption", Mechanisms { preemption: false, ..all }),
        ("without reservations", Mechanisms { reservations: false, ..all }),
        ("without quarantine", Mechanisms { quarantine: false, ..all }),
    ]
}

struct PoolDriver<'a> {
    workload: &'a Workload,
    pool: Pool,
    workers: BTreeMap<WorkerId, Worker>,
    /// Version and value of each key in the key-value service.
    store: HashMap<String, (u64, Vec<u8>)>,
    run_log: Arc<RunLog>,
    now: Millis,
    /// Index of the arrival of each job, by job id.
    arrivals: HashMap<String, usize>,
    observations: Observations,
}

/// Runs a workload through the pool's decision core.
pub fn run(workload: &Workload, mechanisms: Mechanisms) -> RunMetrics {
    let mut driver = PoolDriver::new(workload, mechanisms);
    driver.step(Event::Claim);
    let mut next = 0;
    while driver.now < run_duration_ms() + WARM_UP_MS {
        let elapsed = driver.now.since(WARM_UP_MS);
        while driver.now >= WARM_UP_MS
            && next < workload.arrivals.len()
            && workload.arrivals[next].submitted_ms <= elapsed
        {
            driver.submit(next);
            next += 1;
        }
        driver.cancel(elapsed);
        let now = driver.now;
        for worker in driver.workers.values_mut() {
            worker.advance(now);
        }
        driver.step(Event::Tick);
        if driver.now.0.is_multiple_of(SAMPLE_MS.0) {
            driver.sample();
        }
        driver.now = driver.now + STEP_MS;
    }
    driver.finish()
}

fn workload_rules(workload: &Workload) -> Rules {
    let mut text = "- pool: {name: p, domain: d}  # driver\n".to_owned();
    for (team, share) in workload.shares.iter().enumerate() {
        text.push_str(&format!("- team: {{name: t{team}, share: {share}}}  # driver\n"));
    }
    text.push_str("- queue: {name: q, kind: batch}  # driver\n");
    if workload.headroom_percent > 0 {
        text.push_str(&format!(
            "- headroom: {{pool: p, percent: {}}}  # driver\n",
            workload.headroom_percent
        ));
    }
    Rules::parse(RulesVersion(1), &text).unwrap_or_default()
}

/// Parses an id or name that this module has formatted.
fn parse_id<T: std::str::FromStr + Default>(text: &str) -> T {
    text.parse().unwrap_or_default()
}

/// Address to which the core sends its replies to commands; they are ignored.
fn reply_to() -> ReplyTo {
    ReplyTo {
        node: NodeId { name: parse_id("entry"), incarnation: 1 },
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

impl<'a> PoolDriver<'a> {
    fn new(workload: &'a Workload, mechanisms: Mechanisms) -> Self {
        let run_log = Arc::new(RunLog::default());
        let pool = Pool::new(PoolSettings {
            pool: parse_id("p"),
            domain: parse_id("d"),
            node: NodeId { name: parse_id("scheduler"), incarnation: 1 },
            lease_ms: Millis(10_000),
            poll_ms: Millis(500),
            commit_ms: Millis(20),
            unconfirmed_ms: Millis(3_000),
            random_seed: 1,
            mechanisms,
        });
        let mut workers = BTreeMap::new();
        let mut infos = Vec::new();
        for number in 0..workload.workers {
            let name = format!("w{number:04}");
            let mut worker = Worker::new(name.clone(), workload.capacity, 1, run_log.clone());
            worker.fails_all_tasks = number < workload.bad_workers;
            workers.insert(parse_id(&name), worker);
            infos.push(WorkerInfo {
                worker: parse_id(&name),
                url: "w".into(),
                rack: parse_id(&format!("rack{}", number / workload.rack_size)),
                capacity: workload.capacity,
                leaving: false,
            });
        }
        let mut driver = Self {
            workload,
            pool,
            workers,
            store: HashMap::new(),
            run_log,
            now: Millis(0),
            arrivals: HashMap::new(),
            observations: Observations::default(),
        };
        driver.step(Event::Rules(Arc::new(workload_rules(workload))));
        driver.step(Event::Backends(infos, Vec::new()));
        driver
    }

    /// Passes an event to the core and executes its actions, until they lead to no further events.
    fn step(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let started_at = Instant::now();
            let actions = self.pool.step(self.now, event);
            let elapsed = started_at.elapsed();
            let placed = actions
                .iter()
                .filter(|action| **action == Action::IncrementCounter("tasks.placed"))
                .count();
            if placed > 0 {
                self.observations.decisions += placed as u64;
                self.observations.decision_time += elapsed;
                self.observations.decision_us.push(elapsed.as_secs_f64() * 1e6 / placed as f64);
            }
            events.extend(actions.into_iter().filter_map(|action| self.execute(action)));
        }
    }

    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Store(token, call) => Some(Event::Store(token, self.call_store(&call))),
            Action::SyncWorker { worker, call, request, .. } => {
                let request = self.with_actual_run_times(request);
                let answer = self.workers.get_mut(&worker)?.sync(self.now, &request)?;
                Some(Event::WorkerAnswer(worker, call, Ok(answer)))
            }
            _ => None,
        }
    }

    /// Replaces the declared run times by those that the workload gives the tasks.
    fn with_actual_run_times(&self, mut request: SyncRequest) -> SyncRequest {
        for start in &mut request.start {
            if let Some(arrival) = self.arrivals.get(start.task.job.as_str()) {
                start.run_ms = self.workload.arrivals[*arrival].run_ms;
            }
        }
        request
    }

    fn call_store(&mut self, call: &StoreCall) -> Result<StoreAnswer, StoreFailure> {
        match call {
            StoreCall::Get { key } => Ok(match self.store.get(key.as_str()) {
                Some((version, value)) => StoreAnswer::Found(*version, value.clone()),
                None => StoreAnswer::Missing,
            }),
            StoreCall::Swap { key, expected, value } => {
                let current = self.store.get(key.as_str()).map_or(0, |(version, _)| *version);
                if current != *expected {
                    return Err(StoreFailure::Conflict);
                }
                self.store.insert(key.to_string(), (current + 1, value.clone()));
                Ok(StoreAnswer::Swapped(current + 1))
            }
            StoreCall::Delete { key } => {
                self.store.remove(key.as_str());
                Ok(StoreAnswer::Deleted)
            }
        }
    }

    fn submit(&mut self, index: usize) {
        let arrival: &Arrival = &self.workload.arrivals[index];
        let job = format!("p:j{index}");
        let spec = JobSpec {
            id: parse_id(&job),
            team: parse_id(&format!("t{}", arrival.team)),
            queue: parse_id("q"),
            kind: arrival.kind,
            priority: arrival.priority,
            spread: arrival.spread(),
            tasks: arrival.tasks,
            per_task: arrival.per_task,
            run_ms: arrival.declared_run_ms.max(Millis(1)),
            idempotent: true,
        };
        self.arrivals.insert(job, index);
        self.step(Event::Command(reply_to(), CallId(index as u64), JobCommand::Submit(spec)));
    }

    /// Cancels the jobs whose cancellation is due in this step.
    fn cancel(&mut self, elapsed: Millis) {
        let is_due = |arrival: &Arrival| {
            arrival.cancelled_ms.is_some_and(|at| at <= elapsed && elapsed.since(at) < STEP_MS)
        };
        let indices: Vec<usize> = self
            .workload
            .arrivals
            .iter()
            .enumerate()
            .filter(|(_, arrival)| is_due(arrival))
            .map(|(index, _)| index)
            .collect();
        for index in indices {
            let team: TeamId = parse_id(&format!("t{}", self.workload.arrivals[index].team));
            let command = JobCommand::Cancel(parse_id(&format!("p:j{index}")), team);
            self.step(Event::Command(reply_to(), CallId(index as u64), command));
        }
    }

    fn sample(&mut self) {
        let teams = self.workload.shares.len();
        let mut sample = Sample { running: vec![0.0; teams], waiting: vec![0.0; teams] };
        for (team, running_milli, waiting_milli) in self.pool.millicores_by_team() {
            let index = team.as_str().trim_start_matches('t').parse::<usize>().unwrap_or(0);
            sample.running[index] = running_milli as f64 / 1000.0;
            sample.waiting[index] = waiting_milli as f64 / 1000.0;
        }
        if self.now >= WARM_UP_MS {
            self.observations.samples.push(sample);
        }
    }

    fn finish(mut self) -> RunMetrics {
        let mut first_starts: HashMap<String, Millis> = HashMap::new();
        for run in self.run_log.runs() {
            let Some(arrival) = self.arrival_of(&run.id) else { continue };
            let job = &self.workload.arrivals[arrival];
            let duration_ms = run.ended_ms.unwrap_or(self.now.0).saturating_sub(run.started_ms);
            let was_cancelled = job.cancelled_ms.is_some();
            if run.ended_ms.is_some() && !run.completed && !was_cancelled && duration_ms > 0 {
                self.observations.wasted_core_s +=
                    duration_ms as f64 / 1000.0 * job.per_task.cpu_milli as f64 / 1000.0;
            }
            let failed_at_once = run.ended_ms == Some(run.started_ms) && !run.completed;
            if !failed_at_once {
                first_starts.entry(run.id).or_insert(Millis(run.started_ms));
            }
        }
        for (index, job) in self.workload.arrivals.iter().enumerate() {
            for task in 0..job.tasks {
                let submitted_ms = job.submitted_ms + WARM_UP_MS;
                match first_starts.get(&format!("p:j{index}/{task}")) {
                    Some(start) => self.observations.waits.push((
                        Class::of(job),
                        job.team,
                        start.since(submitted_ms),
                    )),
                    None if job.cancelled_ms.is_some() => {}
                    None => self.observations.unstarted.push((
                        Class::of(job),
                        job.team,
                        self.now.since(submitted_ms),
                    )),
                }
            }
        }
        self.observations.into_metrics(self.workload)
    }

    /// Index of the arrival that a task belongs to.
    fn arrival_of(&self, task: &str) -> Option<usize> {
        let (job, _) = task.rsplit_once('/')?;
        self.arrivals.get(job).copied()
    }
}
