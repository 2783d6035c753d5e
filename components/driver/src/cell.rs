//! Drives the pool's core in virtual time: answers its calls at once and lets tasks end.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use config::Rules;
use pool::{
    Action, Event, Mechanisms, Pool, PoolSettings, ReplyTo, StoreAnswer, StoreCall, StoreFailure,
};
use standin::{Truth, Worker};
use types::{
    CallId, JobCommand, JobSpec, Millis, NodeId, RulesVersion, SyncRequest, TeamId, WorkerId,
    WorkerInfo,
};

use crate::measure::{Class, Measured, Observed, SAMPLE_MS, Sample, end};
use crate::workload::{Arrival, Workload};

/// Step of virtual time.
const STEP_MS: Millis = Millis(50);
/// Time of the first arrival, when all workers are attached.
const WARM_UP_MS: Millis = Millis(2_000);

/// The core as it is, and with each mechanism off.
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

struct Cell<'a> {
    workload: &'a Workload,
    pool: Pool,
    workers: BTreeMap<WorkerId, Worker>,
    store: HashMap<String, (u64, Vec<u8>)>,
    truth: Arc<Truth>,
    now: Millis,
    /// Number of the arrival of each job.
    arrivals: HashMap<String, usize>,
    observed: Observed,
}

/// Runs a workload through the core.
pub fn run(workload: &Workload, mechanisms: Mechanisms) -> Measured {
    let mut cell = Cell::new(workload, mechanisms);
    cell.step(Event::Claim);
    let mut next = 0;
    while cell.now < end() + WARM_UP_MS {
        let elapsed = cell.now.since(WARM_UP_MS);
        while cell.now >= WARM_UP_MS
            && next < workload.arrivals.len()
            && workload.arrivals[next].at <= elapsed
        {
            cell.submit(next);
            next += 1;
        }
        cell.cancel(elapsed);
        let now = cell.now;
        for worker in cell.workers.values_mut() {
            worker.advance(now);
        }
        cell.step(Event::Tick);
        if cell.now.0.is_multiple_of(SAMPLE_MS.0) {
            cell.sample();
        }
        cell.now = cell.now + STEP_MS;
    }
    cell.finish()
}

fn rules_of(workload: &Workload) -> Rules {
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

fn id<T: std::str::FromStr + Default>(text: &str) -> T {
    text.parse().unwrap_or_default()
}

fn me() -> ReplyTo {
    ReplyTo {
        node: NodeId { name: id("entry"), incarnation: 1 },
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

impl<'a> Cell<'a> {
    fn new(workload: &'a Workload, mechanisms: Mechanisms) -> Self {
        let truth = Arc::new(Truth::default());
        let pool = Pool::new(PoolSettings {
            pool: id("p"),
            domain: id("d"),
            me: NodeId { name: id("scheduler"), incarnation: 1 },
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
            let mut worker = Worker::new(name.clone(), workload.capacity, 1, truth.clone());
            worker.fails_all_tasks = number < workload.bad_workers;
            workers.insert(id(&name), worker);
            infos.push(WorkerInfo {
                worker: id(&name),
                url: "w".into(),
                rack: id(&format!("rack{}", number / workload.rack_size)),
                capacity: workload.capacity,
                leaving: false,
            });
        }
        let mut cell = Self {
            workload,
            pool,
            workers,
            store: HashMap::new(),
            truth,
            now: Millis(0),
            arrivals: HashMap::new(),
            observed: Observed::default(),
        };
        cell.step(Event::Rules(Arc::new(rules_of(workload))));
        cell.step(Event::Backends(infos, Vec::new()));
        cell
    }

    /// Gives the core an event and carries out what it asks for, until it asks for nothing more.
    fn step(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let started = Instant::now();
            let actions = self.pool.step(self.now, event);
            let took = started.elapsed();
            let placed =
                actions.iter().filter(|action| **action == Action::Count("tasks.placed")).count();
            if placed > 0 {
                self.observed.decisions += placed as u64;
                self.observed.deciding += took;
                self.observed.decision_us.push(took.as_secs_f64() * 1e6 / placed as f64);
            }
            events.extend(actions.into_iter().filter_map(|action| self.answer(action)));
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Store(token, call) => Some(Event::Store(token, self.call_store(&call))),
            Action::SyncWorker { worker, call, request, .. } => {
                let request = self.with_true_run_times(request);
                let answer = self.workers.get_mut(&worker)?.sync(self.now, &request)?;
                Some(Event::WorkerAnswer(worker, call, Ok(answer)))
            }
            _ => None,
        }
    }

    /// Tasks run as long as they run, not as long as was declared.
    fn with_true_run_times(&self, mut request: SyncRequest) -> SyncRequest {
        for start in &mut request.start {
            if let Some(arrival) = self.arrivals.get(start.task.job.as_str()) {
                start.run_ms = self.workload.arrivals[*arrival].runs;
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

    fn submit(&mut self, number: usize) {
        let arrival: &Arrival = &self.workload.arrivals[number];
        let job = format!("p:j{number}");
        let spec = JobSpec {
            id: id(&job),
            team: id(&format!("t{}", arrival.team)),
            queue: id("q"),
            kind: arrival.kind,
            priority: arrival.priority,
            spread: arrival.spread(),
            tasks: arrival.tasks,
            per_task: arrival.per_task,
            run_ms: arrival.declared.max(Millis(1)),
            idempotent: true,
        };
        self.arrivals.insert(job, number);
        self.step(Event::Command(me(), CallId(number as u64), JobCommand::Submit(spec)));
    }

    fn cancel(&mut self, elapsed: Millis) {
        let due = |arrival: &Arrival| {
            arrival.cancelled_at.is_some_and(|at| at <= elapsed && elapsed.since(at) < STEP_MS)
        };
        let numbers: Vec<usize> = self
            .workload
            .arrivals
            .iter()
            .enumerate()
            .filter(|(_, one)| due(one))
            .map(|(number, _)| number)
            .collect();
        for number in numbers {
            let team: TeamId = id(&format!("t{}", self.workload.arrivals[number].team));
            let command = JobCommand::Cancel(id(&format!("p:j{number}")), team);
            self.step(Event::Command(me(), CallId(number as u64), command));
        }
    }

    fn sample(&mut self) {
        let teams = self.workload.shares.len();
        let mut sample = Sample { running: vec![0.0; teams], waiting: vec![0.0; teams] };
        for (team, running, waiting_cores) in self.pool.cores_by_team() {
            let number = team.as_str().trim_start_matches('t').parse::<usize>().unwrap_or(0);
            sample.running[number] = running as f64 / 1000.0;
            sample.waiting[number] = waiting_cores as f64 / 1000.0;
        }
        if self.now >= WARM_UP_MS {
            self.observed.samples.push(sample);
        }
    }

    fn finish(mut self) -> Measured {
        let mut started: HashMap<String, Millis> = HashMap::new();
        for run in self.truth.runs() {
            let Some(arrival) = self.arrival_of(&run.id) else { continue };
            let job = &self.workload.arrivals[arrival];
            let lasted = run.ended_ms.unwrap_or(self.now.0).saturating_sub(run.started_ms);
            let was_cancelled = job.cancelled_at.is_some();
            if run.ended_ms.is_some() && !run.completed && !was_cancelled && lasted > 0 {
                self.observed.wasted_core_s +=
                    lasted as f64 / 1000.0 * job.per_task.cpu_milli as f64 / 1000.0;
            }
            let failed_at_once = run.ended_ms == Some(run.started_ms) && !run.completed;
            if !failed_at_once {
                started.entry(run.id).or_insert(Millis(run.started_ms));
            }
        }
        for (number, job) in self.workload.arrivals.iter().enumerate() {
            for task in 0..job.tasks {
                let at = job.at + WARM_UP_MS;
                match started.get(&format!("p:j{number}/{task}")) {
                    Some(start) => {
                        self.observed.waits.push((Class::of(job), job.team, start.since(at)))
                    }
                    None if job.cancelled_at.is_some() => {}
                    None => {
                        self.observed.unstarted.push((Class::of(job), job.team, self.now.since(at)))
                    }
                }
            }
        }
        self.observed.finish(self.workload)
    }

    fn arrival_of(&self, task: &str) -> Option<usize> {
        let (job, _) = task.rsplit_once('/')?;
        self.arrivals.get(job).copied()
    }
}
