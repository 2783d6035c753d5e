//! The state of a cell, and the events that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use eventlog::event;
use libs::compact_str::CompactString;
use types::{JobId, Millis, Resources, TeamId, WorkerId};

use crate::action::Action;
use crate::advice::Callers;
use crate::budget::RepeatBudget;
use crate::job::{Job, Step};
use crate::model::{Final, JobRecord, Policy, Progress, QueuePolicy, StepKey, StepSpec, TaskKey};
use crate::worker::Worker;

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
    pub(crate) batch_in_flight: bool,
    pub(crate) actions: Vec<Action>,
    /// Some inherited task may run on a worker that was not seen yet.
    pub(crate) recovering: bool,
    pub(crate) unseen_logged_ms: Millis,
    /// Room that urgent steps lack in this round of placement.
    pub(crate) urgent_demand: Resources,
    /// Starts without an answer that may be sent again.
    pub(crate) start_retries: RepeatBudget,
    /// Starts may be ordered.
    pub(crate) may_start: bool,
    /// Something changed since the last scheduling.
    pub(crate) needs_scheduling: bool,
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
            batch_in_flight: false,
            actions: Vec::new(),
            recovering: true,
            unseen_logged_ms: Millis(0),
            urgent_demand: Resources::ZERO,
            start_retries: RepeatBudget::default(),
            may_start: true,
            needs_scheduling: true,
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
        self.needs_scheduling = true;
    }

    pub(crate) fn step(&self, key: &StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.step(key.occurrence, key.step)
    }

    pub(crate) fn step_mut(&mut self, key: &StepKey) -> Option<&mut Step> {
        self.jobs.get_mut(&key.job)?.step_mut(key.occurrence, key.step)
    }

    /// Whether new starts may be ordered. Leases, stops and ends go on either way.
    pub fn set_may_start(&mut self, may_start: bool) {
        self.needs_scheduling |= may_start && !self.may_start;
        self.may_start = may_start;
    }

    /// Machines that can call the advisor.
    pub fn set_callers(&mut self, names: &[CompactString]) {
        self.callers.set_machines(names);
        self.needs_scheduling = true;
    }

    /// Takes over a stored job and its progress, at a change of leader. Jobs come in the order
    /// of their acceptance.
    pub fn restore(&mut self, record: JobRecord, progress: Option<&Progress>, now: Millis) {
        let id = record.id.clone();
        let age = Millis(self.unix_ms(now).saturating_sub(record.accepted_unix_ms));
        let (_, over_share) = self.count_share(&record);
        let mut job = Job::new(record, now - age);
        job.over_share = over_share;
        job.inherited = true;
        job.ended_ms = now;
        if let Some(progress) = progress {
            job.restore(progress);
        }
        self.jobs.insert(id, job);
        self.needs_scheduling = true;
    }

    /// A job was accepted and stored. Does nothing if it is known.
    pub fn submitted(&mut self, record: JobRecord, now: Millis) {
        if self.jobs.contains_key(&record.id) {
            return;
        }
        let age = Millis(self.unix_ms(now).saturating_sub(record.accepted_unix_ms));
        let (weight, over_share) = self.count_share(&record);
        let mut job = Job::new(record, now - age);
        job.over_share = over_share;
        event!("job.known", "job" => job.record.id.as_str(),
            "queue" => job.record.queue.as_str(),
            "team" => job.record.team.as_ref().map(|team| team.to_string()),
            "weight" => weight, "over_share" => job.over_share,
            "steps" => job.record.spec.steps.len(), "age_ms" => age.0);
        self.jobs.insert(job.record.id.clone(), job);
        self.needs_scheduling = true;
    }

    /// Counts a job against its team's share. Returns the share and whether the job exceeds it.
    fn count_share(&mut self, record: &JobRecord) -> (f64, bool) {
        let Some(team) = &record.team else { return (0.0, false) };
        let weight = self.policy.teams.get(team).map_or(0.0, |policy| policy.weight);
        (weight, self.shares.count_job(team, weight, record.accepted_unix_ms))
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
        job.open_occurrences.clear();
        self.dirty.insert(id.clone());
        self.needs_scheduling = true;
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

    /// The policy in force for a job's queue.
    pub(crate) fn queue_policy<'a>(policy: &'a Policy, record: &'a JobRecord) -> &'a QueuePolicy {
        policy.queues.get(&record.queue).unwrap_or(&record.policy)
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
        self.needs_scheduling = true;
        let Some(step) = self.step_mut(key) else {
            return;
        };
        event!("advice", "step" => key.to_string(), "asked" => asked.len(),
            "allowed" => answer.map(|(allowed, _)| allowed.len()));
        match answer {
            Some((allowed, valid_ms)) => step.advice.record_answer(asked, allowed, now + valid_ms),
            None => step.advice.record_failure(now),
        }
    }
}

/// What a job asks for in a step.
pub(crate) fn spec_of<'a>(jobs: &'a BTreeMap<JobId, Job>, key: &StepKey) -> Option<&'a StepSpec> {
    jobs.get(&key.job)?.record.spec.steps.get(usize::from(key.step))
}
