//! State of a cell, and the events that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use evacuation::Evacuations;
use eventlog::event;
use libs::compact_str::CompactString;
use types::{JobId, Millis, Resources, TeamId, WorkerId};

use crate::action::Action;
use crate::advice::{AllowRates, call_ms};
use crate::aging::Turns;
use crate::batch::DirtyJobs;
use crate::budget::RetryBudget;
use crate::callers::Callers;
use crate::capacity_counts::Flows;
use crate::job::{Job, Step};
use crate::learning::Learning;
use crate::losses::LossCounts;
use crate::model::{
    FinalState, JobRecord, Policy, Progress, QueuePolicy, StepKey, StepSpec, TaskKey,
};
use crate::permission::StartPermission;
use crate::recovery::HeldTasks;
use crate::room::Rooms;
use crate::round::{Round, WorkCounts};
use crate::terms::TermStart;
use crate::waiting::WaitingSteps;
use crate::waits::Waits;
use crate::worker::Worker;

/// Workers named in a usual call to the advisor.
const USUAL_CALL_WORKERS: usize = 30;

/// Settings of a cell, fixed for its lifetime.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// Length of the leases on workers.
    pub lease_ms: Millis,
    /// Longest lease that workers grant; they cut longer requests to this.
    pub max_lease_ms: Millis,
    /// Time for which ended jobs stay available to callers.
    pub ended_retention_ms: Millis,
    /// Longest time that a worker may hold a poll while no run ends.
    pub poll_wait_ms: Millis,
    /// Steps choose workers by their speed and by what the step needs.
    pub unequal_workers: bool,
    /// Run times and the slowness of workers are learned from ended runs.
    pub learn_run_times: bool,
    /// Learned run times count for the order of jobs, stalls, drains and the turnover of capacity, too.
    /// Has no effect unless run times are learned.
    pub decide_by_run_times: bool,
}

/// The jobs and workers that one leader schedules.
pub struct Cell {
    pub(crate) settings: CellSettings,
    pub(crate) epoch: u64,
    /// The configuration; empty while `policy_known` is not set.
    pub(crate) policy: Rc<Policy>,
    /// A configuration was set. Until then the limits of teams are not known.
    pub(crate) policy_known: bool,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs whose cancellation became known before they did, and the Unix milliseconds at which it was
    /// stored: leaders may change more often than cancellations expire.
    pub(crate) early_cancels: BTreeMap<JobId, u64>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) used_by_team: BTreeMap<TeamId, Resources>,
    pub(crate) callers: Callers,
    pub(crate) allow_rates: AllowRates,
    /// Jobs that have not ended.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// Services that have a queue of the highest priority.
    pub(crate) urgent_services: BTreeSet<CompactString>,
    /// Resources that runs free in a second, by service.
    pub(crate) freed_per_s: BTreeMap<CompactString, Resources>,
    /// Resources during the current scheduling round.
    pub(crate) rooms: Rooms,
    pub(crate) round: Round,
    pub(crate) work: WorkCounts,
    /// Workers that take no other work in the current round than the steps whose turn it is.
    pub(crate) held_workers: BTreeSet<WorkerId>,
    pub(crate) turns: Turns,
    pub(crate) waiting: WaitingSteps,
    /// Tasks that wait for long, and why.
    pub(crate) waits: Waits,
    pub(crate) dirty: DirtyJobs,
    /// A batch was taken, and whether it is stored is not known yet.
    pub(crate) batch_in_flight: bool,
    pub(crate) loss_counts: LossCounts,
    /// Learned run times; none if they are not learned.
    pub(crate) learning: Option<Learning>,
    pub(crate) actions: Vec<Action>,
    /// An inherited task may run on a worker that this leader has not seen yet.
    pub(crate) recovering: bool,
    pub(crate) unseen_logged_ms: Millis,
    /// Inherited tasks that wait for workers that this leader has not seen.
    pub(crate) held_tasks: HeldTasks,
    /// Runs that no task needed when they were found, by worker. Their tasks wait until they end.
    pub(crate) stray_runs: BTreeSet<(TaskKey, WorkerId)>,
    /// Resources of the tasks of urgent steps left without a worker in this scheduling round.
    pub(crate) urgent_demand: Resources,
    /// Budget for sending unanswered starts again.
    pub(crate) start_retries: RetryBudget,
    /// Which starts may be ordered. Leases are renewed while it allows any.
    pub(crate) start_permission: StartPermission,
    /// The last roster of the term was taken: nothing starts any more, and it is not taken back.
    pub(crate) has_handed_over: bool,
    /// The latest elections with this one, oldest first; empty while those of former leaders are not known.
    pub(crate) term_starts: Vec<TermStart>,
    /// A former leader has announced starts of suspects.
    pub(crate) inherits_announcements: bool,
    /// Requests to evacuate failure domains.
    pub(crate) evacuations: Evacuations,
    pub(crate) evacuation_logged_ms: Millis,
    /// Runs in evacuated domains at the last tick.
    pub(crate) evacuation_runs: u64,
    /// No starts are ordered, since the requests to evacuate domains are not known well enough.
    pub(crate) holds_starts: bool,
    /// State has changed since the last scheduling round.
    pub(crate) needs_scheduling: bool,
    pub(crate) shares: crate::ranking::Shares,
    pub(crate) speeds: crate::speeds::Speeds,
    pub(crate) flows: Flows,
    /// Memory that the jobs may take and take now.
    pub(crate) memory: crate::memory::JobsMemory,
    /// Unix time at the zero of the process clock.
    unix_start_ms: u64,
}

impl Cell {
    /// Creates an empty cell for a leader's epoch.
    ///
    /// `unix_start_ms` is the Unix time at the zero of the process clock.
    pub fn new(settings: CellSettings, epoch: u64, unix_start_ms: u64) -> Self {
        let learning =
            settings.learn_run_times.then(|| Learning::new(settings.decide_by_run_times));
        Self {
            learning,
            settings,
            epoch,
            policy: Rc::default(),
            policy_known: false,
            jobs: BTreeMap::new(),
            early_cancels: BTreeMap::new(),
            workers: BTreeMap::new(),
            used_by_team: BTreeMap::new(),
            callers: Callers::default(),
            allow_rates: AllowRates::default(),
            open_jobs: BTreeSet::new(),
            urgent_services: BTreeSet::new(),
            freed_per_s: BTreeMap::new(),
            rooms: Rooms::default(),
            round: Round::default(),
            work: WorkCounts::default(),
            held_workers: BTreeSet::new(),
            turns: Turns::default(),
            waiting: WaitingSteps::default(),
            waits: Waits::default(),
            dirty: DirtyJobs::default(),
            batch_in_flight: false,
            loss_counts: LossCounts::default(),
            actions: Vec::new(),
            recovering: true,
            unseen_logged_ms: Millis(0),
            held_tasks: HeldTasks::default(),
            stray_runs: BTreeSet::new(),
            urgent_demand: Resources::ZERO,
            start_retries: RetryBudget::default(),
            start_permission: StartPermission::AllJobs,
            has_handed_over: false,
            term_starts: Vec::new(),
            inherits_announcements: false,
            evacuations: Evacuations::default(),
            evacuation_logged_ms: Millis(0),
            evacuation_runs: 0,
            holds_starts: false,
            needs_scheduling: true,
            shares: crate::ranking::Shares::default(),
            speeds: crate::speeds::Speeds::default(),
            flows: Flows::default(),
            memory: crate::memory::JobsMemory::default(),
            unix_start_ms,
        }
    }

    /// Current time in Unix milliseconds.
    pub(crate) fn unix_ms(&self, now: Millis) -> u64 {
        self.unix_start_ms + now.0
    }

    /// Follows a change of the system time while the process runs.
    pub fn set_clock_offset(&mut self, unix_start_ms: u64) {
        self.unix_start_ms = unix_start_ms;
    }

    /// Epoch of the leader; the fencing tokens of its orders derive from it.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Replaces the configuration. Tasks start only once there is one.
    pub fn set_policy(&mut self, policy: Rc<Policy>) {
        self.urgent_services = policy
            .queues
            .values()
            .filter(|queue| queue.priority == 0)
            .map(|queue| queue.service.clone())
            .collect();
        let calls = policy.queues.values().filter_map(|queue| queue.advice);
        let shortest =
            calls.map(|advice| call_ms(&advice, USUAL_CALL_WORKERS)).min_by(f64::total_cmp);
        self.callers.set_shortest_call(shortest.unwrap_or_default());
        self.policy = policy;
        self.needs_scheduling = true;
        if !std::mem::replace(&mut self.policy_known, true) {
            self.count_known_jobs();
        }
    }

    /// Counts the jobs that became known before the shares of teams did.
    fn count_known_jobs(&mut self) {
        let mut records: Vec<_> = self.jobs.values().map(|job| job.record.clone()).collect();
        records.sort_by_key(|record| record.accepted_unix_ms);
        for record in records {
            let (_, over_share) = self.count_share(&record);
            if let Some(job) = self.jobs.get_mut(&record.id) {
                job.over_share = over_share;
            }
        }
    }

    pub(crate) fn step(&self, key: &StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.step(key.occurrence, key.step)
    }

    pub(crate) fn step_mut(&mut self, key: &StepKey) -> Option<&mut Step> {
        self.jobs.get_mut(&key.job)?.step_mut(key.occurrence, key.step)
    }

    /// Sets which starts may be ordered, and with them whether leases are renewed.
    pub fn set_start_permission(&mut self, permission: StartPermission) {
        if self.has_handed_over {
            return;
        }
        self.needs_scheduling |= permission != self.start_permission;
        self.start_permission = permission;
    }

    /// Sets the machines that can call the advisor.
    pub fn set_callers(&mut self, names: &[CompactString]) {
        self.callers.set_machines(names);
        self.needs_scheduling = true;
    }

    /// Restores a stored job and its progress after a change of leader. Jobs must be passed in
    /// the order of their acceptance.
    pub fn restore(&mut self, record: JobRecord, progress: Option<&Progress>, now: Millis) {
        let id = record.id.clone();
        let (_, over_share) = self.count_share(&record);
        let mut job = Job::new(record, now);
        job.over_share = over_share;
        job.inherited = true;
        job.ended_ms = now;
        if let Some(progress) = progress {
            job.restore(progress);
            self.inherits_announcements |= progress.announces_starts();
        }
        job.mark_ready_steps();
        if job.ended.is_none() {
            self.open_jobs.insert(id.clone());
        }
        self.memory.add(job.memory_bytes());
        self.jobs.insert(id, job);
        self.needs_scheduling = true;
    }

    /// Adds a job that was accepted and stored. Does nothing if the job is known.
    pub fn add_job(&mut self, record: JobRecord, now: Millis) {
        if self.jobs.contains_key(&record.id) {
            return;
        }
        let age = Millis(self.unix_ms(now).saturating_sub(record.accepted_unix_ms));
        let (weight, over_share) = self.count_share(&record);
        self.flows.record_accepted(&record, over_share);
        let mut job = Job::new(record, now);
        job.over_share = over_share;
        event!("job.known", "job" => job.record.id.as_str(),
            "queue" => job.record.queue.as_str(),
            "team" => job.record.team.as_ref().map(|team| team.to_string()),
            "weight" => weight, "over_share" => job.over_share,
            "steps" => job.record.spec.steps.len(), "age_ms" => age.0);
        let id = job.record.id.clone();
        self.memory.add(job.memory_bytes());
        self.open_jobs.insert(id.clone());
        self.jobs.insert(id.clone(), job);
        self.charge_stray_runs(&id);
        self.forecast_job(&id, now);
        self.needs_scheduling = true;
        if self.early_cancels.remove(&id).is_some() {
            self.cancel_job(&id, Millis(0), now);
        }
    }

    /// Counts a job against the share of its team. Returns the share and whether the job exceeds
    /// it.
    fn count_share(&mut self, record: &JobRecord) -> (f64, bool) {
        let Some(team) = &record.team else { return (0.0, false) };
        let weight = self.policy.teams.get(team).map_or(0.0, |policy| policy.weight);
        (weight, self.shares.count_job(team, weight, record.accepted_unix_ms))
    }

    /// Ends a job whose cancellation was stored. A job that is not known yet ends once it is: the
    /// store may list cancellations first, and notices of other processes may be lost. `age_ms` is the
    /// time since it was stored. Returns whether the cancellation was new.
    pub fn cancel_job(&mut self, id: &JobId, age_ms: Millis, now: Millis) -> bool {
        let Some(job) = self.jobs.get(id) else {
            if self.early_cancels.contains_key(id) {
                return false;
            }
            event!("job.cancelled_early", "job" => id.as_str());
            let stored_unix_ms = self.unix_ms(now).saturating_sub(age_ms.0);
            self.early_cancels.insert(id.clone(), stored_unix_ms);
            return true;
        };
        if job.ended.is_some() {
            return false;
        }
        event!("job.cancelled", "job" => id.as_str());
        self.end_job(id, FinalState::Cancelled, now);
        true
    }

    pub(crate) fn end_job(&mut self, id: &JobId, end: FinalState, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.ended = Some(end);
        job.ended_ms = now;
        job.open_occurrences.clear();
        self.open_jobs.remove(id);
        self.dirty.mark(id);
        self.needs_scheduling = true;
        // All tasks of a completed job have ended, but for other members of a gang.
        let has_gang = job.record.spec.steps.iter().any(|step| step.gang);
        if end == FinalState::Completed && !has_gang {
            return;
        }
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
        self.round.preemptible.clear();
    }

    /// Policy in force for the queue of a job.
    pub(crate) fn queue_policy<'a>(policy: &'a Policy, record: &'a JobRecord) -> &'a QueuePolicy {
        policy.queues.get(&record.queue).unwrap_or(&record.policy)
    }

    /// Records the outcome of a call to the advisor; `answer` is none if the call failed.
    pub fn advice_answered(
        &mut self,
        call: u64,
        key: &StepKey,
        asked: &[(WorkerId, u64)],
        answer: Option<(&[(WorkerId, CompactString)], Millis)>,
        now: Millis,
    ) {
        self.callers.release(call);
        self.needs_scheduling = true;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let queue = job.record.queue.clone();
        let Some(step) = job.step_mut(key.occurrence, key.step) else { return };
        event!("advice", "step" => key.to_string(), "asked" => asked.len(),
            "allowed" => answer.map(|(allowed, _)| allowed.len()));
        match answer {
            Some((allowed, valid_ms)) => {
                let (new, new_allowed) =
                    step.advice.record_answer(asked, allowed, now + valid_ms, now);
                self.allow_rates.record(&queue, new, new_allowed);
            }
            None => step.advice.record_failure(now),
        }
    }
}

/// Specification of a step.
pub(crate) fn spec_of<'a>(jobs: &'a BTreeMap<JobId, Job>, key: &StepKey) -> Option<&'a StepSpec> {
    jobs.get(&key.job)?.record.spec.steps.get(usize::from(key.step))
}
