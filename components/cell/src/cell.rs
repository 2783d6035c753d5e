//! The state of a cell, and the events that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use eventlog::event;
use libs::compact_str::CompactString;
use types::{JobId, Millis, QueueId, Resources, TeamId, WorkerId};

use crate::advice::Callers;
use crate::job::{Job, Phase};
use crate::model::{
    Final, JobRecord, JobStatus, Policy, Progress, QueuePolicy, StepKey, StepSpec, TaskKey,
};
use crate::worker::{Run, RunState, Worker, WorkerReport};

/// Latest time of a start, from when it is sent. An order that is carried out later is refused.
const START_DEADLINE_MS: Millis = Millis(2_500);
/// Pause before a task is tried again after a refusal that is not its fault.
const RETRY_MS: Millis = Millis(100);
/// Ended jobs are kept this long for callers that ask, beyond the promised time.
const FORGET_SLACK_MS: Millis = Millis(10_000);
/// A former leader renews no leases once its own is over; this is for calls on their way.
const FORMER_LEADER_MS: Millis = Millis(200);
/// Time to reach a worker that a former leader used and that is not listed.
const UNLISTED_MS: Millis = Millis(1_000);
/// Runs of one task in one epoch.
const ATTEMPTS_PER_EPOCH: u32 = 1_000;
/// An unlisted worker without runs is forgotten after this time.
const FORGET_WORKER_MS: Millis = Millis(20_000);

/// Fixed figures of a cell.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// Length of the leases on workers.
    pub lease_ms: Millis,
    /// Longest lease that workers grant; they shorten longer ones to this.
    pub max_lease_ms: Millis,
    /// Ended jobs stay known this long.
    pub keep_ended_ms: Millis,
    /// Wait of a look for an end.
    pub look_wait_ms: Millis,
}

/// An order to start a task.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Where to.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub attempt: u32,
    /// Orders with a lower fence are refused by the worker from then on.
    pub fence: u64,
    /// The job, for the payload.
    pub record: Rc<JobRecord>,
    /// Checkpoint to go on from; empty if there is none.
    pub checkpoint: CompactString,
    /// Ticket of the advisor.
    pub ticket: Option<CompactString>,
    /// Time on the worker's clock after which the order is refused.
    pub deadline_ms: Millis,
}

/// An order to stop a run.
#[derive(Debug, Clone)]
pub struct StopOrder {
    /// Where to.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub attempt: u32,
    /// Orders with a lower fence are refused by the worker from then on.
    pub fence: u64,
}

/// An order to slow a run down, or to let it go again.
#[derive(Debug, Clone)]
pub struct PaceOrder {
    /// The run.
    pub run: StopOrder,
    /// Share of its work it may do, 0 to 100.
    pub percent: u32,
}

/// A call that renews the leases of a worker and reads its runs.
#[derive(Debug, Clone)]
pub struct LookOrder {
    /// Its address.
    pub address: SocketAddr,
    /// Orders with a lower fence are refused by the worker from then on.
    pub fence: u64,
    /// New end of the leases on the worker's clock; none before its clock is known.
    pub deadline_ms: Option<Millis>,
    /// Ends up to this number are stored and may be forgotten.
    pub ack: u64,
    /// Longest wait for an end.
    pub wait_ms: Millis,
}

/// Something to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Start a task.
    Start(Box<StartOrder>),
    /// Stop a run.
    Stop(StopOrder),
    /// Slow a run down or let it go.
    Pace(PaceOrder),
    /// Look at a worker at once.
    Look(WorkerId),
    /// Have a machine ask the advisor.
    Ask {
        /// Machine that makes the call.
        machine: CompactString,
        /// Number of the call.
        call: u64,
        /// Step to ask about.
        step: StepKey,
        /// Workers to name.
        workers: Vec<(WorkerId, u64)>,
    },
    /// A worker has seen a higher epoch: another leader is in charge.
    Deposed,
}

/// Why a worker refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher epoch.
    Fenced,
    /// A run with the same or a higher number was there.
    OldAttempt,
    /// The order's deadline has passed.
    Late,
    /// It does not fit.
    NoRoom,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another life of the worker than the one meant.
    OtherLife,
    /// The worker does not understand the order.
    Malformed,
}

/// Answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs.
    Started,
    /// It does not run.
    Refused(Refusal),
    /// The order was not sent.
    NotSent,
    /// No answer: it may run, now or later.
    Unanswered,
}

/// What is to be stored at once, and what is settled by that.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// Progress of changed jobs.
    pub records: Vec<Progress>,
    /// Ends of runs that the records hold: worker, its life and the number of the end.
    pub ends: Vec<(WorkerId, u64, u64)>,
}

/// All jobs and workers under one leader.
pub struct Cell {
    pub(crate) settings: CellSettings,
    pub(crate) epoch: u64,
    pub(crate) policy: Rc<Policy>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) used_by_team: BTreeMap<TeamId, Resources>,
    pub(crate) callers: Callers,
    pub(crate) dirty: BTreeSet<JobId>,
    /// A batch was taken and is neither stored nor failed.
    batch_out: bool,
    pub(crate) actions: Vec<Action>,
    /// Some inherited task may run on a worker that was not seen yet.
    pub(crate) recovering: bool,
    pub(crate) logged_unknown_ms: Millis,
    /// Room that urgent steps lack in this round of placement.
    pub(crate) wanted_by_urgent: Resources,
    /// Starts may be ordered.
    pub(crate) may_start: bool,
    /// Something changed since the last scheduling.
    pub(crate) changed: bool,
    pub(crate) shares: crate::order::Shares,
    /// Unix time of the start of the process clock.
    unix_start_ms: u64,
}

impl Cell {
    /// An empty cell under a leader's epoch.
    ///
    /// `unix_start_ms` is the time of day at the start of the process clock.
    pub fn new(settings: CellSettings, epoch: u64, unix_start_ms: u64) -> Self {
        Self {
            settings,
            epoch,
            policy: Rc::default(),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            used_by_team: BTreeMap::new(),
            callers: Callers::default(),
            dirty: BTreeSet::new(),
            batch_out: false,
            actions: Vec::new(),
            recovering: true,
            logged_unknown_ms: Millis(0),
            wanted_by_urgent: Resources::ZERO,
            may_start: true,
            changed: true,
            shares: crate::order::Shares::default(),
            unix_start_ms,
        }
    }

    /// The time of day, Unix milliseconds.
    pub(crate) fn unix_ms(&self, now: Millis) -> u64 {
        self.unix_start_ms + now.0
    }

    /// The time of day may be set while the process runs.
    pub fn set_unix_start(&mut self, unix_start_ms: u64) {
        self.unix_start_ms = unix_start_ms;
    }

    /// The epoch, which is the fence on workers.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes the actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A new configuration is in force.
    pub fn set_policy(&mut self, policy: Rc<Policy>) {
        self.policy = policy;
        self.changed = true;
    }

    /// Whether new starts may be ordered. Leases, stops and ends go on either way.
    pub fn set_may_start(&mut self, may_start: bool) {
        self.changed |= may_start && !self.may_start;
        self.may_start = may_start;
    }

    /// Machines that can call the advisor.
    pub fn set_callers(&mut self, names: &[CompactString]) {
        self.callers.set_machines(names);
        self.changed = true;
    }

    /// Takes over a stored job and its progress, at a change of leader.
    pub fn restore(&mut self, record: JobRecord, progress: Option<&Progress>, now: Millis) {
        let id = record.id.clone();
        let age = Millis(self.unix_ms(now).saturating_sub(record.accepted_unix_ms));
        let mut job = Job::new(record, now - age);
        job.inherited = true;
        job.ended_ms = now;
        if let Some(progress) = progress {
            job.restore(progress);
        }
        self.jobs.insert(id, job);
        self.changed = true;
    }

    /// A job was accepted and stored. Does nothing if it is known.
    pub fn submitted(&mut self, record: JobRecord, now: Millis) {
        if self.jobs.contains_key(&record.id) {
            return;
        }
        let age = Millis(self.unix_ms(now).saturating_sub(record.accepted_unix_ms));
        if let Some(team) = &record.team {
            let weight = self.policy.teams.get(team).map_or(0.0, |policy| policy.weight);
            self.shares.job_came(team, weight, now);
        }
        let mut job = Job::new(record, now - age);
        job.over_share = job.record.team.as_ref().is_some_and(|team| self.shares.is_over(team));
        event!("job.known", "job" => job.record.id.as_str(),
            "queue" => job.record.queue.as_str(),
            "team" => job.record.team.as_ref().map(|team| team.to_string()),
            "over_share" => job.over_share, "steps" => job.record.spec.steps.len(),
            "age_ms" => age.0);
        self.jobs.insert(job.record.id.clone(), job);
        self.changed = true;
    }

    /// A cancellation was stored.
    pub fn cancelled(&mut self, id: &JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.ended.is_some() {
            return;
        }
        event!("job.cancelled", "job" => id.as_str());
        self.end_job(id, Final::Cancelled, now);
    }

    pub(crate) fn end_job(&mut self, id: &JobId, end: Final, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.ended = Some(end);
        job.ended_ms = now;
        job.open.clear();
        self.dirty.insert(id.clone());
        self.changed = true;
        let running: Vec<(WorkerId, TaskKey)> = self
            .workers
            .iter()
            .flat_map(|(worker, state)| {
                state
                    .runs
                    .keys()
                    .filter(|key| key.step.job == *id)
                    .map(|key| (worker.clone(), key.clone()))
            })
            .collect();
        for (worker, key) in running {
            self.stop_run(&worker, &key, "job ended", now);
        }
    }

    /// State of a job as callers see it; none if it is not known here.
    pub fn status(&self, id: &JobId) -> Option<JobStatus> {
        self.jobs.get(id).map(Job::status)
    }

    /// The queue of a known job.
    pub fn queue_of(&self, id: &JobId) -> Option<&QueueId> {
        self.jobs.get(id).map(|job| &job.record.queue)
    }

    /// Accepted jobs of a queue for which no task has started.
    pub fn pending(&self, queue: &QueueId) -> usize {
        let waits =
            |job: &&Job| job.record.queue == *queue && matches!(job.status(), JobStatus::Queued);
        self.jobs.values().filter(waits).count()
    }

    /// A worker's entry in the list of workers was read.
    pub fn worker_listed(&mut self, report: WorkerReport, now: Millis) {
        self.changed = true;
        match self.workers.get_mut(&report.id) {
            Some(worker) => {
                if worker.report.draining != report.draining || !worker.listed {
                    event!("worker.changed", "worker" => report.id.as_str(),
                        "draining" => report.draining, "was_listed" => worker.listed);
                }
                worker.listed = true;
                let reborn = report.born_unix_ms > worker.life_unix_ms;
                worker.report = report;
                if reborn {
                    // Only the new life can tell which orders have come to it.
                    self.actions.push(Action::Look(worker.report.id.clone()));
                }
            }
            None => {
                event!("worker.found", "worker" => report.id.as_str(),
                    "address" => report.address.to_string(), "capacity" => report.capacity.to_string());
                let mut worker = Worker::new(report, now);
                if self.recovering {
                    worker.unknown_until_ms = now + self.former_lease_ms();
                }
                self.workers.insert(worker.report.id.clone(), worker);
            }
        }
    }

    /// A former leader used this worker. Does nothing if it is listed.
    ///
    /// A worker that is not listed has been silent for the store for some seconds. If it cannot
    /// be reached from here either, its leases are all but over.
    pub fn worker_of_former_leader(&mut self, report: WorkerReport, now: Millis) {
        if self.workers.contains_key(&report.id) {
            return;
        }
        event!("worker.of_former_leader", "worker" => report.id.as_str());
        let mut worker = Worker::new(report, now);
        worker.listed = false;
        worker.unknown_until_ms = now + UNLISTED_MS;
        self.workers.insert(worker.report.id.clone(), worker);
    }

    fn former_lease_ms(&self) -> Millis {
        let lease = self.settings.lease_ms;
        lease + Millis(lease.0 * 3 / 100) + FORMER_LEADER_MS
    }

    /// A worker is no longer in the list of workers.
    pub fn worker_unlisted(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.listed {
            event!("worker.unlisted", "worker" => id.as_str(), "runs" => worker.runs.len());
            worker.listed = false;
            worker.unlisted_ms = now;
        }
    }

    /// All workers that are listed or still matter.
    pub fn worker_ids(&self) -> Vec<WorkerId> {
        self.workers.keys().cloned().collect()
    }

    /// The reports of all workers, to be stored for the next leader.
    pub fn roster(&self, now: Millis) -> Vec<(WorkerId, SocketAddr, u64)> {
        let row = |worker: &Worker| {
            (worker.report.id.clone(), worker.report.address, worker.life_unix_ms)
        };
        // One that drained and is no longer listed has left.
        let matters = |worker: &&Worker| {
            worker.listed || (!worker.report.draining && now < worker.lease_over_ms())
        };
        self.workers.values().filter(matters).map(row).collect()
    }

    /// Jobs in memory.
    pub fn jobs_known(&self) -> u64 {
        self.jobs.len() as u64
    }

    /// Free and whole processor room of workers that take new work, in thousandths of a core.
    pub fn room(&self) -> (u64, u64) {
        let usable =
            self.workers.values().filter(|worker| worker.listed && !worker.report.draining);
        usable.fold((0, 0), |(free, whole), worker| {
            (free + worker.free().cpu_milli, whole + worker.report.capacity.cpu_milli)
        })
    }

    /// What to store now, at most `limit` jobs. None if nothing changed, or while the batch
    /// before is neither stored nor failed: its changes are not safe yet.
    pub fn take_batch(&mut self, limit: usize) -> Option<Batch> {
        if self.batch_out {
            return None;
        }
        let ids = self.next_to_store(limit);
        if ids.is_empty() {
            return None;
        }
        for id in &ids {
            self.dirty.remove(id);
        }
        let records: Vec<Progress> =
            ids.iter().filter_map(|id| self.jobs.get(id)).map(Job::progress).collect();
        let mut ends = Vec::new();
        for (id, worker) in &self.workers {
            let covered = worker.unstored.iter().filter(|(_, job)| ids.contains(job));
            ends.extend(covered.map(|(number, _)| (id.clone(), worker.life_unix_ms, *number)));
        }
        self.batch_out = true;
        Some(Batch { records, ends })
    }

    /// Changed jobs, those that have ended first: their callers wait for the end.
    fn next_to_store(&self, limit: usize) -> BTreeSet<JobId> {
        let ended = |id: &&JobId| self.jobs.get(*id).is_some_and(|job| job.ended.is_some());
        let (first, then): (Vec<&JobId>, Vec<&JobId>) = self.dirty.iter().partition(ended);
        first.into_iter().chain(then).take(limit).cloned().collect()
    }

    /// The batch is stored.
    pub fn batch_stored(&mut self, batch: &Batch) {
        self.batch_out = false;
        for record in &batch.records {
            if let Some(job) = self.jobs.get_mut(&record.id)
                && record.ended.is_some()
                && !job.end_stored
            {
                job.end_stored = true;
                event!("job.end_stored", "job" => record.id.as_str(),
                    "end" => format!("{:?}", record.ended));
            }
        }
        for (id, life, number) in &batch.ends {
            if let Some(worker) = self.workers.get_mut(id)
                && worker.life_unix_ms == *life
            {
                worker.unstored.remove(number);
            }
        }
    }

    /// The batch was not stored, or maybe not.
    pub fn batch_failed(&mut self, batch: &Batch) {
        self.batch_out = false;
        self.dirty.extend(batch.records.iter().map(|record| record.id.clone()));
    }

    /// Jobs whose time to be known has passed. They are forgotten here.
    pub fn take_expired(&mut self, now: Millis) -> Vec<JobId> {
        let keep = self.settings.keep_ended_ms + FORGET_SLACK_MS;
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.end_stored && now.since(job.ended_ms) > keep)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.jobs.remove(id);
        }
        expired
    }

    /// The policy in force for a job's queue.
    pub(crate) fn queue_policy<'a>(policy: &'a Policy, record: &'a JobRecord) -> &'a QueuePolicy {
        policy.queues.get(&record.queue).unwrap_or(&record.policy)
    }

    /// Puts a run on a worker and orders its start.
    pub(crate) fn start_run(
        &mut self,
        worker_id: &WorkerId,
        key: TaskKey,
        spec: &StepSpec,
        attempt: u32,
        ticket: Option<CompactString>,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let record = job.record.clone();
        job.started = true;
        let Some(step) = job.step_mut(key.step.occurrence, key.step.step) else { return };
        step.set_phase(key.index, Phase::Placed(worker_id.clone()));
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
        task.attempt = attempt;
        let checkpoint = task.checkpoint.clone();
        let deadline_ms = worker.clock_now(now) + START_DEADLINE_MS;
        worker.lease_ms = worker.lease_ms.max(deadline_ms);
        let run = new_run(spec, record.team.clone(), attempt, RunState::Starting, now);
        event!("task.start", "task" => key.to_string(), "attempt" => attempt,
            "worker" => worker_id.as_str(), "epoch" => self.epoch,
            "free" => worker.free().to_string(), "heard_ms_ago" => now.since(worker.heard_ms).0);
        add_use(&mut self.used_by_team, &run);
        worker.add_run(key.clone(), run);
        self.actions.push(Action::Start(Box::new(StartOrder {
            worker: worker_id.clone(),
            address: worker.report.address,
            task: key,
            attempt,
            fence: worker.fence(self.epoch),
            record,
            checkpoint,
            ticket,
            deadline_ms,
        })));
    }

    /// Takes a run off a worker, and lets its task run again if this was its last run.
    pub(crate) fn free_run(
        &mut self,
        worker_id: &WorkerId,
        key: &TaskKey,
        delay_ms: Millis,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(run) = worker.remove_run(key) else { return };
        remove_use(&mut self.used_by_team, &run);
        self.changed = true;
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(step) = job.step_mut(key.step.occurrence, key.step.step) else { return };
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
        if task.phase == Phase::Placed(worker_id.clone()) && task.attempt == run.attempt {
            task.not_before_ms = now + delay_ms;
            step.set_phase(key.index, Phase::Waiting);
        }
    }

    /// Orders a run to stop, unless that was done.
    pub(crate) fn stop_run(&mut self, worker_id: &WorkerId, key: &TaskKey, why: &str, now: Millis) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let address = worker.report.address;
        let fence = worker.fence(self.epoch);
        let Some(run) = worker.runs.get_mut(key) else { return };
        if matches!(run.state, RunState::Stopping | RunState::Stopped) {
            return;
        }
        event!("task.stop", "task" => key.to_string(), "attempt" => run.attempt,
            "worker" => worker_id.as_str(), "why" => why);
        run.state = RunState::Stopping;
        run.since_ms = now;
        run.stop_sent_ms = now;
        let order = StopOrder {
            worker: worker_id.clone(),
            address,
            task: key.clone(),
            attempt: run.attempt,
            fence,
        };
        self.actions.push(Action::Stop(order));
    }

    /// The answer to a start came, or did not.
    pub fn start_answered(
        &mut self,
        worker_id: &WorkerId,
        key: &TaskKey,
        attempt: u32,
        fence: u64,
        answer: StartAnswer,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(run) = worker.runs.get_mut(key) else { return };
        if run.attempt != attempt || run.state != RunState::Starting {
            return;
        }
        if answer != StartAnswer::Started {
            event!("task.start_failed", "task" => key.to_string(), "attempt" => attempt,
                "worker" => worker_id.as_str(), "answer" => format!("{answer:?}"));
        }
        match answer {
            StartAnswer::Started => {
                run.state = RunState::Running;
                run.since_ms = now;
                return;
            }
            StartAnswer::Unanswered => {
                // The next look tells whether it runs; if not, it is stopped before another try.
                worker.health.suspect(now);
                run.since_ms = now;
                run.missing = 1;
                self.actions.push(Action::Look(worker_id.clone()));
                return;
            }
            StartAnswer::NotSent => {
                worker.reachable = false;
                worker.health.suspect(now);
            }
            // An order to a former life of the worker is refused by the next one, too.
            StartAnswer::Refused(Refusal::Fenced) if fence < worker.fence(self.epoch) => {}
            StartAnswer::Refused(Refusal::Fenced) => self.actions.push(Action::Deposed),
            StartAnswer::Refused(Refusal::Unhealthy) => worker.health.suspect(now),
            StartAnswer::Refused(Refusal::NoRoom) => {
                self.actions.push(Action::Look(worker_id.clone()));
            }
            StartAnswer::Refused(Refusal::Ticket) => {
                if let Some(step) = self
                    .jobs
                    .get_mut(&key.step.job)
                    .and_then(|job| job.step_mut(key.step.occurrence, key.step.step))
                {
                    step.advice.drop_ticket(worker_id);
                }
            }
            StartAnswer::Refused(Refusal::OtherLife) => {
                worker.attached = false;
                self.actions.push(Action::Look(worker_id.clone()));
            }
            StartAnswer::Refused(Refusal::OldAttempt | Refusal::Late | Refusal::Malformed) => {}
        }
        self.free_run(worker_id, key, RETRY_MS, now);
    }

    /// The answer to a stop came, or did not.
    pub fn stop_answered(
        &mut self,
        worker_id: &WorkerId,
        key: &TaskKey,
        attempt: u32,
        confirmed: bool,
        now: Millis,
    ) {
        let Some(run) = self.workers.get_mut(worker_id).and_then(|worker| worker.runs.get_mut(key))
        else {
            return;
        };
        if confirmed && run.attempt == attempt && run.state == RunState::Stopping {
            run.state = RunState::Stopped;
            run.since_ms = now;
            self.actions.push(Action::Look(worker_id.clone()));
        }
    }

    /// The advisor answered, or did not.
    pub fn advised(
        &mut self,
        call: u64,
        key: &StepKey,
        asked: &[(WorkerId, u64)],
        answer: Option<(&[(WorkerId, CompactString)], Millis)>,
        now: Millis,
    ) {
        self.callers.release(call);
        self.changed = true;
        let Some(step) =
            self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key.occurrence, key.step))
        else {
            return;
        };
        event!("advice", "step" => key.to_string(), "asked" => asked.len(),
            "allowed" => answer.map(|(allowed, _)| allowed.len()));
        match answer {
            Some((allowed, valid_ms)) => step.advice.answered(asked, allowed, now + valid_ms),
            None => step.advice.failed(now),
        }
    }

    /// The next look at a worker; none if it is unknown.
    pub fn look_order(&mut self, id: &WorkerId, wait: bool, now: Millis) -> Option<LookOrder> {
        let lease = self.settings.lease_ms;
        let wait_ms = if wait { self.settings.look_wait_ms } else { Millis(0) };
        let worker = self.workers.get_mut(id)?;
        // The leases of a worker that does not answer must run out, so that its tasks can start
        // elsewhere; another leader must be able to count on the end of our leases.
        let renews = self.may_start && worker.reachable && worker.heard_ms > Millis(0);
        let deadline_ms = renews.then(|| worker.clock_now(now) + lease);
        if let Some(deadline) = deadline_ms {
            worker.lease_ms = worker.lease_ms.max(deadline);
        }
        let fence = worker.fence(self.epoch);
        let address = worker.report.address;
        Some(LookOrder { address, fence, deadline_ms, ack: worker.stored_ends(), wait_ms })
    }

    /// Whether a fence is the one in force for a worker, so that a higher one is another leader's.
    pub fn is_current_fence(&self, id: &WorkerId, fence: u64) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.fence(self.epoch) == fence)
    }

    /// Whether ends of this worker wait to be stored.
    pub fn has_unstored_ends(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| !worker.unstored.is_empty())
    }

    /// A number for the next run of a task, above all earlier ones.
    pub(crate) fn next_attempt(epoch: u64, last: u32) -> u32 {
        let first = u32::try_from(epoch.saturating_sub(1)).unwrap_or(0) * ATTEMPTS_PER_EPOCH + 1;
        first.max(last + 1)
    }

    /// Forgets unlisted workers that can run nothing of ours any more.
    pub(crate) fn forget_workers(&mut self, now: Millis) {
        self.workers.retain(|_, worker| {
            worker.listed
                || !worker.runs.is_empty()
                || now < worker.lease_over_ms()
                || now.since(worker.unlisted_ms) < FORGET_WORKER_MS
        });
    }
}

/// A run that starts now.
pub(crate) fn new_run(
    spec: &StepSpec,
    team: Option<TeamId>,
    attempt: u32,
    state: RunState,
    now: Millis,
) -> Run {
    Run {
        attempt,
        state,
        charge: spec.charge(),
        need: spec.need,
        team,
        since_ms: now,
        began_ms: now,
        stop_sent_ms: Millis(0),
        percent: 0,
        percent_ms: now,
        pace: 100,
        gauge: 0,
        missing: 0,
    }
}

pub(crate) fn add_use(used: &mut BTreeMap<TeamId, Resources>, run: &Run) {
    if let Some(team) = &run.team {
        let sum = used.entry(team.clone()).or_default();
        *sum = sum.plus(&run.need);
    }
}

pub(crate) fn remove_use(used: &mut BTreeMap<TeamId, Resources>, run: &Run) {
    if let Some(sum) = run.team.as_ref().and_then(|team| used.get_mut(team)) {
        *sum = sum.minus(&run.need);
    }
}
