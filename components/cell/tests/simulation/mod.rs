//! Simulation of a cell in virtual time: leaders may die, workers may fail, and the network delays
//! and loses messages. Invariants are checked from what the workers see.
#![allow(dead_code, reason = "each test file uses a part of the simulation")]

mod advisor;
mod checks;
mod load;
mod worker;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

use cell::{
    Action, AdvicePolicy, AdviceRecords, Batch, Cell, CellSettings, EvacuationChange,
    EvacuationRequest, ForecastOutcome, JobRecord, Policy, PollAnswer, PollOrder, Progress,
    RosterRow, RunTimesSummary, StartAnswer, StartOrder, StartPermission, StepKey, StopOrder,
    TaskKey, TermStart, WorkerAccount,
};
use libs::compact_str::CompactString;
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use types::{DomainId, JobId, Millis, Resources, WorkerId};

pub use advisor::Advisor;
pub use checks::Checks;
pub use worker::Worker;

/// Length of the leases on workers.
pub const LEASE_MS: Millis = Millis(4_500);
const TICK_MS: u64 = 100;
const POLL_PERIOD_MS: u64 = 150;
const BATCH_PERIOD_MS: u64 = 40;
const RUN_TIMES_PERIOD_MS: Millis = Millis(10_000);
/// Time-out of calls to workers.
const CALL_TIMEOUT_MS: u64 = 700;
/// Interval at which a call to a worker that is down finds it up again.
const RESTART_CHECK_MS: u64 = 700;
/// Time until a leader that was replaced notices it.
const DEPOSED_NOTICE_MS: u64 = 1_000;
/// Time until a worker that crashed under a task is back.
const DEADLY_DOWN_MS: u64 = 3_200;
/// Longest time until a leader has read a change of the intake from the store.
const INTAKE_DELAY_MS: u64 = 1_500;
/// No worker is lost for good unless more than this many are up.
const MIN_WORKERS: usize = 7;
/// Unix time at the start of the simulation.
const UNIX_START_MS: u64 = 1_700_000_000_000;

/// Epoch of no leader.
const NO_TERM: u64 = u64::MAX;

/// Rates of the faults in a schedule, in per mille of the calls or ticks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Calls to workers that are lost before they arrive.
    pub lose_call: u32,
    /// Answers of workers that are lost.
    pub lose_answer: u32,
    /// Start orders that are carried out seconds late.
    pub late_order: u32,
    /// Workers that crash, per tick.
    pub crash: u32,
    /// Leaders that die, per tick.
    pub leader_dies: u32,
    /// Leaders that hand over, per tick: they store a last roster, and another one is elected soon.
    pub leader_steps_down: u32,
    /// Leaders that are replaced without noticing at once, per tick.
    pub leader_deposed: u32,
    /// Batches and rosters that are not stored, and rosters whose answer is lost.
    pub lose_batch: u32,
    /// Workers that are cut off from the network for some seconds, per tick.
    pub partition: u32,
    /// Workers that are missing from the list for some seconds, per tick.
    pub unlist: u32,
    /// Jobs that are cancelled, per tick.
    pub cancel: u32,
    /// Runs that fail.
    pub fail_run: u32,
    /// Workers that begin to drain, per tick.
    pub drain: u32,
    /// Notices of accepted and cancelled jobs that are lost. If any are, others may go to a leader
    /// that was replaced without noticing, which goes on as long as it may.
    pub lose_notice: u32,
    /// Workers that a new leader cannot reach for some seconds, while the former one can.
    pub cut_from_successor: u32,
    /// Polls that are carried out once more, seconds late.
    pub late_poll: u32,
    /// Calls to a worker that has crashed reach its next incarnation.
    pub calls_outlive_workers: bool,
}

/// Fate of the answer to a start.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StartReply {
    Sent,
    Lost,
    /// The call has timed out before.
    TooLate,
}

enum Event {
    Tick,
    Submit(Box<JobRecord>),
    Poll(WorkerId),
    PollArrives {
        term: u64,
        worker: WorkerId,
        order: PollOrder,
        sent_ms: Millis,
        incarnation: u64,
    },
    PollAnswered {
        term: u64,
        worker: WorkerId,
        sent_ms: Millis,
        answer: Option<Box<PollAnswer>>,
    },
    StartArrives {
        term: u64,
        order: Box<StartOrder>,
        reply: StartReply,
        incarnation: u64,
    },
    StartAnswered {
        term: u64,
        order: Box<StartOrder>,
        answer: StartAnswer,
    },
    StopArrives {
        term: u64,
        order: StopOrder,
        answered: bool,
        incarnation: u64,
    },
    StopAnswered {
        term: u64,
        order: StopOrder,
        confirmed: bool,
    },
    Advised {
        term: u64,
        call: u64,
        step: StepKey,
        workers: Vec<(WorkerId, u64)>,
        answered: bool,
    },
    TakeBatch,
    BatchStored {
        term: u64,
        batch: Batch,
        stored: bool,
    },
    Elect,
    Deposed(u64),
    WorkerRestarted(WorkerId),
    /// A worker crashes with all its runs, and returns after some time.
    WorkerCrashes {
        worker: WorkerId,
        down_ms: u64,
    },
    WorkerReplaced(WorkerId),
    /// A worker runs at another speed from now on.
    SpeedChanges {
        worker: WorkerId,
        slowness: f64,
    },
    TaskCrashesWorker {
        worker: WorkerId,
        task: TaskKey,
        attempt: u32,
    },
    LeaderDies {
        gap_ms: u64,
    },
    CapacityChanges {
        worker: WorkerId,
        capacity: Resources,
    },
    /// All workers refuse starts until a time.
    StartsRefused {
        until_ms: Millis,
    },
    /// An operator requests the evacuation of a domain.
    Evacuate(DomainId),
    /// The operator removes the request.
    Return(DomainId),
    /// Leaders read the changes of these requests.
    ReadEvacuations,
    /// The leader reads the changes of the intake.
    ReadIntake,
}

/// A change of the intake in the store.
#[derive(Clone)]
enum IntakeChange {
    Accepted(Box<JobRecord>),
    Cancelled(JobId),
}

/// Term of one leader. A deposed leader goes on until it notices.
struct Term {
    epoch: u64,
    cell: Cell,
    deposed: bool,
    /// The last roster that is known to be stored.
    known_roster: (Vec<RosterRow>, Vec<WorkerAccount>),
    /// Number of changes of the evacuations that it has read.
    evacuations_read: usize,
    /// Number of changes of the intake that it has read.
    intake_read: usize,
    /// Cancellations that it has learned.
    cancels: BTreeSet<JobId>,
}

impl Term {
    fn apply_intake(&mut self, change: IntakeChange, now: Millis) {
        match change {
            IntakeChange::Accepted(record) => self.cell.add_job(*record, now),
            IntakeChange::Cancelled(id) => {
                self.cell.cancel_job(&id, Millis(0), now);
                self.cancels.insert(id);
            }
        }
    }
}

pub struct Simulation {
    pub now: Millis,
    rng: StdRng,
    faults: Faults,
    /// Time after which no new faults occur.
    faults_end: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    policy: Rc<Policy>,
    terms: Vec<Term>,
    /// Times at which the store refuses all calls of leaders.
    store_outages: Vec<std::ops::Range<Millis>>,
    stored_roster: Vec<RosterRow>,
    stored_accounts: Vec<WorkerAccount>,
    stored_advice: AdviceRecords,
    stored_term_starts: Vec<TermStart>,
    next_epoch: u64,
    stored_jobs: BTreeMap<JobId, JobRecord>,
    stored_progress: BTreeMap<JobId, Progress>,
    stored_cancels: Vec<JobId>,
    intake: Vec<IntakeChange>,
    batch_in_progress: bool,
    pub workers: BTreeMap<WorkerId, Worker>,
    /// Workers that the leader of an epoch cannot reach, and until when.
    cuts: BTreeMap<(u64, WorkerId), Millis>,
    pub checks: Checks,
    pub advisor: Advisor,
    /// Least time between two scheduling rounds.
    pub round_ms: Millis,
    last_round_ms: Millis,
    machines: Vec<CompactString>,
    stored_evacuations: BTreeMap<DomainId, u64>,
    evacuation_changes: Vec<EvacuationChange>,
    /// Longest time until a leader has read a change of the evacuations.
    pub evacuation_delay_ms: u64,
    /// Workers that crashed under a task return under another id.
    pub crashed_return_replaced: bool,
    /// Setting of the leaders.
    unequal_workers: bool,
    learns_run_times: bool,
    /// The last stored summary of run times, and when the next one is stored.
    pub stored_run_times: Option<RunTimesSummary>,
    next_run_times_ms: Millis,
    /// Forecasts of all leaders whose outcome is known, with the time at which it became known.
    pub forecast_outcomes: Vec<(Millis, ForecastOutcome)>,
}

impl Simulation {
    pub fn new(
        seed: u64,
        policy: Policy,
        workers: Vec<Worker>,
        faults: Faults,
        faults_end: Millis,
    ) -> Self {
        Self::with_switch(seed, policy, workers, faults, faults_end, false)
    }

    /// A simulation in which leaders have the setting `unequal_workers`.
    pub fn with_switch(
        seed: u64,
        policy: Policy,
        workers: Vec<Worker>,
        faults: Faults,
        faults_end: Millis,
        unequal_workers: bool,
    ) -> Self {
        let mut sim = Self {
            now: Millis(1),
            rng: StdRng::seed_from_u64(seed),
            faults,
            faults_end,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            policy: Rc::new(policy.clone()),
            terms: Vec::new(),
            store_outages: Vec::new(),
            stored_roster: Vec::new(),
            stored_accounts: Vec::new(),
            stored_advice: AdviceRecords::default(),
            stored_term_starts: Vec::new(),
            next_epoch: 1,
            stored_jobs: BTreeMap::new(),
            stored_progress: BTreeMap::new(),
            stored_cancels: Vec::new(),
            intake: Vec::new(),
            batch_in_progress: false,
            workers: workers.into_iter().map(|worker| (worker.id.clone(), worker)).collect(),
            cuts: BTreeMap::new(),
            checks: Checks::new(policy),
            advisor: Advisor::default(),
            round_ms: Millis(0),
            last_round_ms: Millis(0),
            machines: ["one", "two", "three", "four"].map(Into::into).into(),
            stored_evacuations: BTreeMap::new(),
            evacuation_changes: Vec::new(),
            evacuation_delay_ms: 1_500,
            crashed_return_replaced: false,
            unequal_workers,
            learns_run_times: false,
            stored_run_times: None,
            next_run_times_ms: Millis(0),
            forecast_outcomes: Vec::new(),
        };
        sim.elect();
        sim.after(TICK_MS, Event::Tick);
        sim.after(BATCH_PERIOD_MS, Event::TakeBatch);
        let ids: Vec<WorkerId> = sim.workers.keys().cloned().collect();
        for id in ids {
            sim.after(1, Event::Poll(id));
        }
        sim
    }

    /// Lets this leader and later ones learn run times. To be called first.
    pub fn learn_run_times(&mut self) {
        self.learns_run_times = true;
        self.terms.clear();
        self.elect();
    }

    /// Sets the machines that can call the advisor.
    pub fn set_machines(&mut self, names: &[&str]) {
        self.machines = names.iter().copied().map(Into::into).collect();
        for term in &mut self.terms {
            term.cell.set_callers(&self.machines);
        }
    }

    pub fn submit_at(&mut self, at: Millis, record: JobRecord) {
        self.at(at, Event::Submit(Box::new(record)));
    }

    /// Lets a worker crash at a time, for some milliseconds.
    pub fn crash_at(&mut self, at: Millis, worker: &WorkerId, down_ms: u64) {
        self.at(at, Event::WorkerCrashes { worker: worker.clone(), down_ms });
    }

    /// Changes the speed of a worker at a time, for the runs that start after it.
    pub fn change_speed_at(&mut self, at: Millis, worker: &WorkerId, slowness: f64) {
        self.at(at, Event::SpeedChanges { worker: worker.clone(), slowness });
    }

    /// Changes the capacity of a worker at a time.
    pub fn change_capacity_at(&mut self, at: Millis, worker: &WorkerId, capacity: Resources) {
        self.at(at, Event::CapacityChanges { worker: worker.clone(), capacity });
    }

    /// Lets all workers refuse starts from a time on, for some milliseconds.
    pub fn refuse_starts_at(&mut self, at: Millis, for_ms: u64) {
        self.at(at, Event::StartsRefused { until_ms: at + Millis(for_ms) });
    }

    /// Requests the evacuation of a domain at a time, and removes the request some milliseconds later.
    pub fn evacuate_at(&mut self, at: Millis, domain: &DomainId, for_ms: u64) {
        self.at(at, Event::Evacuate(domain.clone()));
        self.at(at + Millis(for_ms), Event::Return(domain.clone()));
    }

    /// Number of runs in a domain.
    pub fn runs_in(&self, domain: &DomainId) -> usize {
        let in_domain = self.workers.values().filter(|one| one.domain.as_ref() == Some(domain));
        in_domain.map(|worker| worker.runs.len()).sum()
    }

    /// Lets the store refuse all calls of leaders for some milliseconds.
    pub fn store_outage_at(&mut self, at: Millis, for_ms: u64) {
        self.store_outages.push(at..at + Millis(for_ms));
    }

    fn store_is_down(&self) -> bool {
        self.store_outages.iter().any(|outage| outage.contains(&self.now))
    }

    /// Lets the leader die at a time, and another one be elected some milliseconds later.
    pub fn kill_leader_at(&mut self, at: Millis, gap_ms: u64) {
        self.at(at, Event::LeaderDies { gap_ms });
    }

    /// Runs the simulation until a time.
    pub fn run_until(&mut self, end: Millis) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, number)));
                break;
            }
            self.now = at;
            self.advance_workers();
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
            self.schedule();
        }
        self.now = end;
    }

    /// Cancelled jobs with tasks that run.
    pub fn cancelled_jobs_that_run(&self) -> Vec<JobId> {
        let runs = |id: &JobId| {
            let mut keys = self.workers.values().flat_map(|worker| worker.runs.keys());
            keys.any(|key| key.step.job == *id)
        };
        self.stored_cancels.iter().filter(|id| runs(id)).cloned().collect()
    }

    /// Jobs that have not ended.
    pub fn open_jobs(&self) -> Vec<JobId> {
        let Some(term) = self.terms.last() else { return Vec::new() };
        self.stored_jobs
            .keys()
            .filter(|id| !matches!(term.cell.status(id), Some(cell::JobStatus::Ended(_))))
            .cloned()
            .collect()
    }

    /// Explains why a job does not run.
    pub fn explain(&self, id: &JobId) -> Vec<String> {
        self.terms.last().map(|term| term.cell.explain(id, self.now)).unwrap_or_default()
    }

    /// Whether the advisor allows enough workers for each step of a job, if they are empty.
    pub fn can_run(&self, id: &JobId) -> bool {
        let Some(record) = self.stored_jobs.get(id) else { return false };
        (0u16..).zip(&record.spec.steps).all(|(index, spec)| {
            let slots = self.allowed_slots(record, index, |worker| worker.capacity);
            slots >= if spec.gang { u64::from(spec.tasks) } else { 1 }
        })
    }

    /// Whether the advisor denies a step of a job that is not done all workers that take new work.
    pub fn is_denied_everywhere(&self, id: &JobId) -> bool {
        let Some(record) = self.stored_jobs.get(id) else { return false };
        let takes_work = |worker: &&Worker| worker.up && !worker.draining && !worker.replaced;
        (0u16..).zip(&record.spec.steps).any(|(step, _)| {
            let key = StepKey { job: id.clone(), occurrence: 0, step };
            let mut usable = self.workers.values().filter(takes_work);
            !self.checks.is_step_done(id, step)
                && !usable.any(|worker| self.advisor.allows(&key, &worker.id))
        })
    }

    /// Whether a job has nothing running, although less than half of its service is in use and
    /// there is room for a step whose turn it is on workers that the advisor allows. Deferrable
    /// work may leave a part of a service free, but less than that.
    pub fn could_start(&self, id: &JobId) -> bool {
        let Some(record) = self.stored_jobs.get(id) else { return false };
        let service = &self.policy.queues[&record.queue].service;
        let of_service = self.workers.values().filter(|worker| worker.service == *service);
        let (free, total) = of_service
            .fold((Resources::ZERO, Resources::ZERO), |(free, total), worker| {
                (free.plus(&worker.free()), total.plus(&worker.capacity))
            });
        if total.minus(&free).dominant_share(&total) > 0.5 {
            return false;
        }
        let runs = self.workers.values().flat_map(|worker| worker.runs.keys());
        if runs.into_iter().any(|key| key.step.job == *id) {
            return false;
        }
        let is_done = |step: u16| self.checks.is_step_done(id, step);
        (0u16..).zip(&record.spec.steps).any(|(index, spec)| {
            let slots = self.allowed_slots(record, index, Worker::free);
            !is_done(index)
                && spec.after.iter().all(|earlier| is_done(*earlier))
                && slots >= if spec.gang { u64::from(spec.tasks) } else { 1 }
        })
    }

    /// Number of tasks of a step that fit into `room` of the workers that the advisor allows.
    fn allowed_slots(
        &self,
        record: &JobRecord,
        step: u16,
        room: impl Fn(&Worker) -> Resources,
    ) -> u64 {
        let service = &self.policy.queues[&record.queue].service;
        let need = record.spec.steps[usize::from(step)].need;
        let key = StepKey { job: record.id.clone(), occurrence: 0, step };
        self.workers
            .values()
            .filter(|worker| worker.service == *service)
            .filter(|worker| self.advisor.allows(&key, &worker.id))
            .map(|worker| {
                let room = room(worker);
                (1..).take_while(|count| room.covers(&need.times(*count))).count() as u64
            })
            .sum()
    }

    /// Whether a task of a job waits for a worker, or for an earlier step.
    pub fn waits(&self, id: &JobId) -> bool {
        let Some(record) = self.stored_jobs.get(id) else { return false };
        let running: usize = self
            .workers
            .values()
            .map(|worker| worker.runs.keys().filter(|key| key.step.job == *id).count())
            .sum();
        let tasks: u32 = record.spec.steps.iter().map(|step| step.tasks).sum();
        running + self.checks.done_tasks(id) < tasks as usize
    }

    /// All jobs that were submitted.
    pub fn jobs(&self) -> &BTreeMap<JobId, JobRecord> {
        &self.stored_jobs
    }

    /// Queue of a job.
    pub fn queue(&self, id: &JobId) -> types::QueueId {
        self.stored_jobs[id].queue.clone()
    }

    /// Whether a job runs until it is cancelled.
    pub fn is_long_running(&self, id: &JobId) -> bool {
        self.stored_jobs
            .get(id)
            .is_some_and(|job| job.spec.steps.iter().any(|step| step.long_running))
    }

    /// Run times by speed of the worker at the latest leader.
    pub fn speed_counts(&self) -> cell::SpeedCounts {
        self.terms.last().map(|term| term.cell.speed_counts()).unwrap_or_default()
    }

    /// Steps that wait for workers at the latest leader.
    pub fn waiting_steps(&self) -> cell::WaitingSteps {
        self.terms.last().map(|term| term.cell.waiting_steps()).unwrap_or_default()
    }

    /// Work and capacity as the latest leader counts them.
    pub fn capacity_counts(&self) -> forecast::Counts {
        let counts = self.terms.last().map(|term| term.cell.capacity_counts(self.now));
        counts.unwrap_or_default()
    }

    /// State of a job at the latest leader.
    pub fn status(&self, id: &JobId) -> Option<cell::JobStatus> {
        self.terms.last()?.cell.status(id)
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at.max(self.now), self.next)));
        self.events.insert(self.next, event);
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now + Millis(delay_ms), event);
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.now < self.faults_end && self.rng.random_range(0..1_000) < per_thousand
    }

    fn delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..6)
    }

    /// Whether the leader of an epoch cannot reach a worker.
    fn is_cut(&self, term: u64, worker: &WorkerId) -> bool {
        self.cuts.get(&(term, worker.clone())).is_some_and(|until_ms| self.now < *until_ms)
    }

    /// Whether a call that was sent to an incarnation of a worker is dropped with it.
    fn is_dropped(&self, worker: &WorkerId, incarnation: u64) -> bool {
        !self.faults.calls_outlive_workers && self.incarnation(worker) != incarnation
    }

    /// Whether a call waits for the next incarnation of its worker.
    fn awaits_restart(&self, worker: &WorkerId) -> bool {
        let is_down = self.workers.get(worker).is_some_and(|one| !one.up && !one.replaced);
        self.faults.calls_outlive_workers && is_down
    }

    /// Incarnation of a worker that a call is sent to.
    fn incarnation(&self, worker: &WorkerId) -> u64 {
        self.workers.get(worker).map_or(0, |worker| worker.incarnation_unix_ms)
    }

    fn refuses_calls(&self, worker: &WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|worker| worker.refuses_calls)
    }

    fn cell(&mut self, term: u64) -> Option<&mut Cell> {
        self.terms.iter_mut().find(|one| one.epoch == term).map(|one| &mut one.cell)
    }

    /// Advances the workers to the current time; their runs may end.
    fn advance_workers(&mut self) {
        let now = self.now;
        let fail = if now < self.faults_end { self.faults.fail_run } else { 0 };
        for worker in self.workers.values_mut() {
            worker.advance(now, fail, &mut self.rng, &mut self.checks);
        }
    }

    fn elect(&mut self) {
        let epoch = self.next_epoch;
        self.next_epoch += 1;
        let settings = CellSettings {
            lease_ms: LEASE_MS,
            max_lease_ms: worker::MAX_LEASE_MS,
            ended_retention_ms: Millis(1_000_000),
            poll_wait_ms: Millis(0),
            unequal_workers: self.unequal_workers,
            learn_run_times: self.learns_run_times,
            decide_by_run_times: self.learns_run_times,
        };
        let mut cell = Cell::new(settings, epoch, UNIX_START_MS);
        cell.set_policy(self.policy.clone());
        cell.set_callers(&self.machines);
        cell.restore_term_starts(&self.stored_term_starts, self.now);
        if !self.store_is_down() {
            self.stored_term_starts = cell.term_starts().to_vec();
        }
        for record in self.stored_jobs.values() {
            cell.restore(record.clone(), self.stored_progress.get(&record.id), self.now);
        }
        for id in &self.stored_cancels {
            cell.cancel_job(id, Millis(0), self.now);
        }
        for worker in self.workers.values().filter(|worker| worker.listed(self.now)) {
            cell.worker_listed(worker.report(), self.now);
        }
        let requests = self.stored_evacuations.iter().map(|(domain, revision)| EvacuationRequest {
            domain: domain.clone(),
            revision: *revision,
        });
        cell.evacuations_listed(requests.collect(), self.now);
        for row in &self.stored_roster {
            cell.restore_roster_row(row, self.now, self.now);
        }
        self.stored_accounts.iter().for_each(|account| cell.restore_account(account));
        cell.restore_advice(&self.stored_advice, self.now);
        if let Some(summary) = &self.stored_run_times {
            cell.restore_run_times(summary);
        }
        // The lease of a deposed leader in the store has expired, so it starts nothing more, or only
        // jobs that it knew before. It notices within a second.
        let permission = match self.faults.lose_notice {
            0 => StartPermission::Nothing,
            _ => StartPermission::JobsKnownBefore(self.now),
        };
        for term in self.terms.iter_mut().filter(|term| !term.deposed) {
            term.deposed = true;
            term.cell.set_start_permission(permission);
        }
        if let Some(former) = self.terms.last().map(|term| term.epoch) {
            self.after(DEPOSED_NOTICE_MS, Event::Deposed(former));
        }
        if self.faults.cut_from_successor > 0 {
            let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
            for id in ids {
                if self.chance(self.faults.cut_from_successor) {
                    let until = self.now + Millis(self.rng.random_range(500..9_000));
                    self.cuts.insert((epoch, id), until);
                }
            }
        }
        let evacuations_read = self.evacuation_changes.len();
        self.terms.push(Term {
            epoch,
            cell,
            deposed: false,
            known_roster: Default::default(),
            evacuations_read,
            intake_read: self.intake.len(),
            cancels: self.stored_cancels.iter().cloned().collect(),
        });
        self.batch_in_progress = false;
    }

    fn schedule(&mut self) {
        let now = self.now;
        if self.round_ms > Millis(0) && now < self.last_round_ms + self.round_ms {
            return;
        }
        self.last_round_ms = now;
        let mut actions = Vec::new();
        for term in &mut self.terms {
            term.cell.schedule(now);
            let epoch = term.epoch;
            actions.extend(term.cell.take_actions().into_iter().map(|action| (epoch, action)));
        }
        for (term, action) in actions {
            self.execute(term, action);
        }
    }

    fn execute(&mut self, term: u64, action: Action) {
        let delay = self.delay_ms();
        match action {
            Action::Start(order) => {
                let leader = self.terms.iter().find(|one| one.epoch == term);
                if leader.is_some_and(|leader| leader.cancels.contains(&order.task.step.job)) {
                    self.checks.started_though_cancelled(&order, self.now);
                }
                let incarnation = self.incarnation(&order.worker);
                if self.chance(self.faults.lose_call) {
                    let answer = StartAnswer::Unanswered;
                    self.after(CALL_TIMEOUT_MS, Event::StartAnswered { term, order, answer });
                    return;
                }
                if self.chance(self.faults.late_order) {
                    let late = self.rng.random_range(1_000..12_000);
                    let copy = order.clone();
                    self.after(
                        late,
                        Event::StartArrives {
                            term,
                            order: copy,
                            reply: StartReply::TooLate,
                            incarnation,
                        },
                    );
                    let answer = StartAnswer::Unanswered;
                    self.after(CALL_TIMEOUT_MS, Event::StartAnswered { term, order, answer });
                    return;
                }
                let lost = self.chance(self.faults.lose_answer);
                let reply = if lost { StartReply::Lost } else { StartReply::Sent };
                self.after(delay, Event::StartArrives { term, order, reply, incarnation });
            }
            Action::Stop(order) => {
                if self.chance(self.faults.lose_call) {
                    self.after(
                        CALL_TIMEOUT_MS,
                        Event::StopAnswered { term, order, confirmed: false },
                    );
                    return;
                }
                let answered = !self.chance(self.faults.lose_answer);
                let incarnation = self.incarnation(&order.worker);
                self.after(delay, Event::StopArrives { term, order, answered, incarnation });
            }
            Action::Pace(_) => {}
            Action::Poll(worker) => self.send_poll(term, worker),
            Action::RequestAdvice { caller, call, step, workers } => {
                let answered = !self.chance(self.faults.lose_answer);
                let policy = self.queue_advice(&step);
                let took_ms =
                    self.advisor.call(caller, &step, policy.as_ref(), workers.len(), self.now);
                self.after(took_ms.0, Event::Advised { term, call, step, workers, answered });
            }
            Action::Deposed => self.terms.retain(|one| one.epoch != term),
        }
    }

    fn queue_advice(&self, step: &StepKey) -> Option<AdvicePolicy> {
        let record = self.stored_jobs.get(&step.job)?;
        self.policy.queues.get(&record.queue)?.advice
    }

    fn send_poll(&mut self, term: u64, worker: WorkerId) {
        let now = self.now;
        let Some(order) = self.cell(term).and_then(|cell| cell.poll_order(&worker, false, now))
        else {
            return;
        };
        if self.chance(self.faults.lose_call) {
            let lost = Event::PollAnswered { term, worker, sent_ms: now, answer: None };
            self.after(CALL_TIMEOUT_MS, lost);
            return;
        }
        let delay = self.delay_ms();
        let incarnation = self.incarnation(&worker);
        if self.faults.late_poll > 0 && self.chance(self.faults.late_poll) {
            let late_ms = self.rng.random_range(1_000..12_000);
            let (worker, order) = (worker.clone(), order.clone());
            // No leader waits for the answer.
            let copy =
                Event::PollArrives { term: NO_TERM, worker, order, sent_ms: now, incarnation };
            self.after(late_ms, copy);
        }
        let arrives = Event::PollArrives { term, worker, order, sent_ms: now, incarnation };
        self.after(delay, arrives);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick => self.tick(),
            Event::Submit(record) => {
                self.checks.submitted(&record, now);
                self.stored_jobs.insert(record.id.clone(), (*record).clone());
                self.intake_changed(IntakeChange::Accepted(record));
            }
            Event::Poll(worker) => {
                let terms: Vec<u64> = self.terms.iter().map(|term| term.epoch).collect();
                for term in terms {
                    self.send_poll(term, worker.clone());
                }
                let jitter = self.rng.random_range(0..40);
                self.after(POLL_PERIOD_MS + jitter, Event::Poll(worker));
            }
            Event::PollArrives { term, worker, order, sent_ms, incarnation } => {
                self.poll_arrives(term, worker, &order, sent_ms, incarnation);
            }
            Event::PollAnswered { term, worker, sent_ms, answer } => {
                if let Some(cell) = self.cell(term) {
                    match answer {
                        Some(answer) => cell.poll_answered(&worker, sent_ms, &answer, now),
                        None => cell.poll_failed(&worker, now),
                    }
                }
            }
            Event::StartArrives { term, order, reply, incarnation } => {
                self.start_arrives(term, order, reply, incarnation);
            }
            Event::StartAnswered { term, order, answer } => {
                if let Some(cell) = self.cell(term) {
                    cell.start_answered(&order, answer, now);
                }
            }
            Event::StopArrives { term, order, answered, incarnation } => {
                self.stop_arrives(term, order, answered, incarnation);
            }
            Event::StopAnswered { term, order, confirmed } => {
                if let Some(cell) = self.cell(term) {
                    cell.stop_answered(&order.worker, &order.task, order.attempt, confirmed, now);
                }
            }
            Event::Advised { term, call, step, workers, answered } => {
                let valid_ms = self.queue_advice(&step).map_or(Millis(2_500), |own| own.valid_ms);
                let allowed: Vec<(WorkerId, CompactString)> = workers
                    .iter()
                    .filter(|(id, _)| self.advisor.allows(&step, id))
                    .map(|(id, _)| (id.clone(), "ticket".into()))
                    .collect();
                let answer = answered.then_some((allowed.as_slice(), valid_ms));
                if let Some(cell) = self.cell(term) {
                    cell.advice_answered(call, &step, &workers, answer, now);
                }
            }
            Event::TakeBatch => self.take_batch(),
            Event::BatchStored { term, batch, stored } => self.batch_stored(term, batch, stored),
            Event::Elect => self.elect(),
            Event::Deposed(term) => self.terms.retain(|one| one.epoch != term),
            Event::WorkerRestarted(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.restart(now, UNIX_START_MS);
                }
            }
            Event::WorkerCrashes { worker, down_ms } => {
                self.crash(&worker);
                if let Some(crashed) = self.workers.get_mut(&worker) {
                    crashed.refuses_calls = true;
                }
                self.break_polls(&worker);
                let returns = if self.crashed_return_replaced {
                    Event::WorkerReplaced(worker)
                } else {
                    Event::WorkerRestarted(worker)
                };
                self.after(down_ms, returns);
            }
            Event::WorkerReplaced(id) => self.replace(&id),
            Event::SpeedChanges { worker, slowness } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.slowness = slowness;
                }
            }
            Event::TaskCrashesWorker { worker, task, attempt } => {
                let runs_there = self
                    .workers
                    .get(&worker)
                    .and_then(|worker| worker.runs.get(&task))
                    .is_some_and(|run| run.attempt == attempt);
                if runs_there {
                    self.checks.crashed_under(&task, now);
                    self.crash_at(now, &worker, DEADLY_DOWN_MS);
                }
            }
            Event::LeaderDies { gap_ms } => self.kill_leader(gap_ms),
            Event::CapacityChanges { worker, capacity } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.set_capacity(capacity, now);
                }
            }
            Event::StartsRefused { until_ms } => {
                for worker in self.workers.values_mut() {
                    worker.refuses_starts_until_ms = until_ms;
                }
            }
            Event::Evacuate(domain) => {
                let revision = self.evacuation_changes.len() as u64 + 1;
                self.checks.evacuated(&domain, now);
                self.stored_evacuations.insert(domain.clone(), revision);
                let request = EvacuationRequest { domain, revision };
                self.evacuations_changed(EvacuationChange::Requested(request));
            }
            Event::Return(domain) => {
                self.checks.returned(&domain);
                self.stored_evacuations.remove(&domain);
                self.evacuations_changed(EvacuationChange::Removed(domain));
            }
            Event::ReadEvacuations => self.read_evacuations(),
            Event::ReadIntake => self.read_intake(),
        }
    }

    /// Tells a leader of a change of the intake. If notices may be lost, the leader reads the change
    /// from the store later.
    fn intake_changed(&mut self, change: IntakeChange) {
        let now = self.now;
        self.intake.push(change.clone());
        if self.faults.lose_notice == 0 {
            if let Some(term) = self.terms.last_mut() {
                term.apply_intake(change, now);
            }
            return;
        }
        if !self.terms.is_empty() && !self.chance(self.faults.lose_notice) {
            let told = self.rng.random_range(0..self.terms.len());
            self.terms[told].apply_intake(change, now);
        }
        let delay_ms = self.rng.random_range(1..=INTAKE_DELAY_MS);
        self.after(delay_ms, Event::ReadIntake);
    }

    /// Lets the leader read the changes of the intake. After a loss of history it gets them as a
    /// list, in which cancellations come first.
    fn read_intake(&mut self) {
        let now = self.now;
        let history_is_lost = self.chance(300);
        for term in self.terms.iter_mut().filter(|term| !term.deposed) {
            let mut changes = self.intake[term.intake_read..].to_vec();
            if history_is_lost {
                changes.sort_by_key(|change| matches!(change, IntakeChange::Accepted(_)));
            }
            term.intake_read = self.intake.len();
            changes.into_iter().for_each(|change| term.apply_intake(change, now));
        }
    }

    fn evacuations_changed(&mut self, change: EvacuationChange) {
        self.evacuation_changes.push(change);
        let delay_ms = self.rng.random_range(1..=self.evacuation_delay_ms);
        self.after(delay_ms, Event::ReadEvacuations);
    }

    /// Lets each leader that can read the store learn the changes that it has not read. One that was
    /// replaced has lost its lease, since it cannot reach the store.
    fn read_evacuations(&mut self) {
        let now = self.now;
        for term in self.terms.iter_mut().filter(|term| !term.deposed) {
            for change in self.evacuation_changes.iter().skip(term.evacuations_read) {
                term.cell.evacuation_changed(change.clone(), now);
            }
            term.evacuations_read = self.evacuation_changes.len();
        }
    }

    /// Stores the roster of the leader, unless the call is lost. Its answer may be lost, too.
    fn store_roster(&mut self) {
        if self.store_is_down() {
            return;
        }
        let lost = self.chance(self.faults.lose_batch);
        let unanswered = self.chance(self.faults.lose_batch);
        let now = self.now;
        let Some(term) = self.terms.iter_mut().find(|term| !term.deposed) else { return };
        let states = (term.cell.roster(now), term.cell.accounts());
        if lost || states == term.known_roster {
            return;
        }
        if !unanswered {
            term.cell.roster_stored(&states.0);
            term.known_roster.clone_from(&states);
        }
        self.stored_advice = term.cell.advice_records(now);
        (self.stored_roster, self.stored_accounts) = states;
    }

    fn store_run_times(&mut self) {
        let leader = self.terms.last().filter(|term| !term.deposed);
        if self.now >= self.next_run_times_ms
            && let Some(summary) = leader.and_then(|term| term.cell.run_times_summary(self.now))
        {
            self.next_run_times_ms = self.now + RUN_TIMES_PERIOD_MS;
            self.stored_run_times = Some(summary);
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        for term in &mut self.terms {
            for worker in self.workers.values().filter(|worker| worker.up) {
                if worker.listed(now) {
                    term.cell.worker_listed(worker.report(), now);
                } else {
                    term.cell.worker_unlisted(&worker.id, now);
                }
            }
            for worker in self.workers.values().filter(|worker| worker.replaced) {
                term.cell.worker_unlisted(&worker.id, now);
            }
            term.cell.tick(now);
            let outcomes = term.cell.take_forecast_outcomes();
            self.forecast_outcomes.extend(outcomes.into_iter().map(|outcome| (now, outcome)));
        }
        self.store_run_times();
        self.store_roster();
        self.check_pending();
        if self.faults.leader_steps_down > 0 && self.chance(self.faults.leader_steps_down) {
            self.step_down();
        }
        if self.chance(self.faults.leader_dies) && !self.terms.is_empty() {
            let gap = self.rng.random_range(300..3_000);
            self.kill_leader(gap);
        } else if self.chance(self.faults.leader_deposed) && !self.terms.is_empty() {
            self.terms.truncate(1);
            self.elect();
        }
        if self.chance(self.faults.crash) {
            self.crash_one();
        }
        if self.chance(self.faults.partition) {
            self.partition_one();
        }
        if self.chance(self.faults.unlist) {
            self.unlist_one();
        }
        if self.chance(self.faults.drain) && self.can_lose_worker() {
            let id = self.any_worker();
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.draining = true;
            }
        }
        if self.chance(self.faults.cancel) && !self.stored_jobs.is_empty() {
            self.cancel_one();
        }
        self.after(TICK_MS, Event::Tick);
    }

    /// Checks the number of pending jobs that the leader gives for each queue.
    fn check_pending(&mut self) {
        let Some(term) = self.terms.last().filter(|term| !term.deposed) else { return };
        for queue in self.policy.queues.keys() {
            let pending = term.cell.queued_jobs(queue);
            self.checks.pending_given(queue, pending, self.now);
        }
    }

    fn any_worker(&mut self) -> WorkerId {
        let number = self.rng.random_range(0..self.workers.len());
        self.workers.keys().nth(number).cloned().unwrap_or_default()
    }

    /// Whether enough workers remain to complete all jobs in time.
    fn can_lose_worker(&self) -> bool {
        self.workers.values().filter(|worker| worker.up && !worker.draining).count() > MIN_WORKERS
    }

    /// The leader hands over, unless its last roster is lost.
    fn step_down(&mut self) {
        let now = self.now;
        let lost = self.chance(self.faults.lose_batch) || self.store_is_down();
        let Some(term) = self.terms.iter_mut().find(|term| !term.deposed) else { return };
        let states = (term.cell.last_roster(now), term.cell.accounts());
        if !lost {
            self.stored_advice = term.cell.advice_records(now);
            (self.stored_roster, self.stored_accounts) = states;
        }
        let gap_ms = self.rng.random_range(20..600);
        self.kill_leader(gap_ms);
    }

    fn kill_leader(&mut self, gap_ms: u64) {
        self.terms.clear();
        self.batch_in_progress = false;
        self.after(gap_ms, Event::Elect);
    }

    /// Replaces a crashed worker by one with another id.
    fn replace(&mut self, id: &WorkerId) {
        let now = self.now;
        let crashed = self.workers.get_mut(id).filter(|worker| !worker.up && !worker.replaced);
        let Some(new) = crashed.map(|worker| worker.replacement(now, UNIX_START_MS)) else {
            return;
        };
        self.after(1, Event::Poll(new.id.clone()));
        self.workers.insert(new.id.clone(), new);
    }

    fn crash(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        for key in worker.runs.keys() {
            self.checks.run_removed(id, key);
        }
        worker.crash(now);
    }

    /// Ends the polls that leaders have in flight at a worker whose process has ended.
    fn break_polls(&mut self, worker: &WorkerId) {
        let terms: Vec<u64> = self.terms.iter().map(|term| term.epoch).collect();
        for term in terms {
            let delay = self.delay_ms();
            let worker = worker.clone();
            let failed = Event::PollAnswered { term, worker, sent_ms: self.now, answer: None };
            self.after(delay, failed);
        }
    }

    fn crash_one(&mut self) {
        let id = self.any_worker();
        self.crash(&id);
        if self.rng.random_range(0..4) == 0 && self.can_lose_worker() {
            return;
        }
        let gap = self.rng.random_range(500..6_000);
        self.after(gap, Event::WorkerRestarted(id));
    }

    fn partition_one(&mut self) {
        let id = self.any_worker();
        let until = self.now + Millis(self.rng.random_range(500..9_000));
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.partitioned_until_ms = until;
        }
    }

    fn unlist_one(&mut self) {
        let id = self.any_worker();
        let until = self.now + Millis(self.rng.random_range(500..9_000));
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.unlisted_until_ms = until;
        }
    }

    fn cancel_one(&mut self) {
        let number = self.rng.random_range(0..self.stored_jobs.len());
        let mut id = self.stored_jobs.keys().nth(number).cloned();
        // A leader that has not heard of a job may hear of its cancellation first.
        if self.faults.lose_notice > 0 && number % 2 == 0 {
            id = self.last_accepted();
        }
        let Some(id) = id else { return };
        self.stored_cancels.push(id.clone());
        self.checks.cancelled(&id, self.now);
        self.intake_changed(IntakeChange::Cancelled(id));
    }

    /// The job that was accepted last.
    fn last_accepted(&self) -> Option<JobId> {
        self.intake.iter().rev().find_map(|change| match change {
            IntakeChange::Accepted(record) => Some(record.id.clone()),
            IntakeChange::Cancelled(_) => None,
        })
    }

    fn poll_arrives(
        &mut self,
        term: u64,
        id: WorkerId,
        order: &PollOrder,
        sent_ms: Millis,
        incarnation: u64,
    ) {
        let now = self.now;
        let is_cut = self.is_cut(term, &id);
        if self.awaits_restart(&id) {
            let (worker, order) = (id.clone(), order.clone());
            let again = Event::PollArrives { term: NO_TERM, worker, order, sent_ms, incarnation };
            self.after(RESTART_CHECK_MS, again);
        }
        if self.is_dropped(&id, incarnation) || self.refuses_calls(&id) || is_cut {
            let delay = if self.refuses_calls(&id) { 1 } else { CALL_TIMEOUT_MS };
            let lost = Event::PollAnswered { term, worker: id, sent_ms, answer: None };
            self.after(delay, lost);
            return;
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let answer = worker.poll(order, now, &mut self.checks);
        let fenced = worker.is_reachable(now) && worker.fence > order.fence;
        let current = self.cell(term).is_some_and(|cell| cell.is_current_fence(&id, order.fence));
        if fenced && !current {
            return;
        }
        if fenced {
            self.terms.retain(|one| one.epoch != term);
            return;
        }
        let lost = answer.is_none() || self.chance(self.faults.lose_answer);
        let delay = if lost { CALL_TIMEOUT_MS } else { self.delay_ms() };
        let answer = if lost { None } else { answer.map(Box::new) };
        self.after(delay, Event::PollAnswered { term, worker: id, sent_ms, answer });
    }

    /// Delivers a start order. An order waits in one incarnation of a worker or on a connection to
    /// it, and is dropped when that ends, unless calls outlive workers.
    fn start_arrives(
        &mut self,
        term: u64,
        order: Box<StartOrder>,
        reply: StartReply,
        incarnation: u64,
    ) {
        let now = self.now;
        let is_cut = self.is_cut(term, &order.worker);
        if self.awaits_restart(&order.worker) {
            let (order, reply) = (order.clone(), StartReply::TooLate);
            let again = Event::StartArrives { term, order, reply, incarnation };
            self.after(RESTART_CHECK_MS, again);
        }
        let is_dropped = self.is_dropped(&order.worker, incarnation);
        let Some(worker) = self.workers.get_mut(&order.worker) else { return };
        let mut answer = StartAnswer::Unanswered;
        if !is_dropped && !is_cut {
            answer = worker.start(&order, now, &mut self.checks);
        }
        if answer == StartAnswer::Started
            && let Some(delay_ms) = load::crashes_after_ms(&order.record, &order.task)
        {
            let (worker, task) = (order.worker.clone(), order.task.clone());
            self.after(delay_ms, Event::TaskCrashesWorker { worker, task, attempt: order.attempt });
        }
        if reply == StartReply::TooLate {
            return;
        }
        if reply == StartReply::Lost {
            answer = StartAnswer::Unanswered;
        }
        let unanswered = answer == StartAnswer::Unanswered;
        let delay = if unanswered { CALL_TIMEOUT_MS } else { self.delay_ms() };
        self.after(delay, Event::StartAnswered { term, order, answer });
    }

    fn stop_arrives(&mut self, term: u64, order: StopOrder, answered: bool, incarnation: u64) {
        let now = self.now;
        let is_cut = self.is_cut(term, &order.worker);
        let is_dropped = self.is_dropped(&order.worker, incarnation);
        let Some(worker) = self.workers.get_mut(&order.worker) else { return };
        let same = !is_dropped && !is_cut;
        let confirmed = same && worker.stop(&order, now) && answered;
        let delay = if confirmed { self.delay_ms() } else { CALL_TIMEOUT_MS };
        self.after(delay, Event::StopAnswered { term, order, confirmed });
    }

    fn take_batch(&mut self) {
        self.after(BATCH_PERIOD_MS, Event::TakeBatch);
        if self.batch_in_progress {
            return;
        }
        let Some(term) = self.terms.last_mut().filter(|term| !term.deposed) else { return };
        let epoch = term.epoch;
        let Some(batch) = term.cell.take_batch(28) else { return };
        self.batch_in_progress = true;
        let stored = !self.chance(self.faults.lose_batch) && !self.store_is_down();
        let delay = self.rng.random_range(3..60);
        self.after(delay, Event::BatchStored { term: epoch, batch, stored });
    }

    /// Stores a batch. As in the store, it takes effect only while its leader's key exists.
    fn batch_stored(&mut self, term: u64, batch: Batch, stored: bool) {
        let current = self.terms.last().is_some_and(|one| one.epoch == term);
        if !current {
            return;
        }
        self.batch_in_progress = false;
        if stored {
            for record in &batch.records {
                self.checks.stored(record, self.now);
                self.stored_progress.insert(record.id.clone(), record.clone());
            }
        }
        if let Some(cell) = self.cell(term) {
            if stored {
                cell.batch_stored(&batch);
            } else {
                cell.batch_failed(&batch);
            }
        }
    }
}

/// Key of a task of a job that runs once.
pub fn task(job: &str, step: u16, index: u32) -> cell::TaskKey {
    let job = job.parse().expect("job id");
    cell::TaskKey { step: StepKey { job, occurrence: 0, step }, index }
}

#[allow(unused_imports, reason = "each test file uses a part of the simulation")]
pub use load::{
    DEADLY, DEADLY_ALL, DEADLY_LATE, generate_jobs, generate_workers, job, payload_of_true_percent,
    policy, report,
};
