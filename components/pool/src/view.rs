//! Job commands, job queries and the status of the pool.

use std::collections::BTreeMap;

use types::{
    CallId, JobCommand, JobId, JobKind, JobQuery, JobSpec, JobState, JobView, Message, Millis,
    NotRunReason, Outcome, PoolStatus, RunnerStatus, TeamId, TeamStatus, WorkerStatus,
};

use crate::event::ReplyTo;
use crate::jobs::{BlockedReason, Job};
use crate::limits::Amount;
use crate::pool::{FollowUp, OwnershipState, Pool};
use crate::record::{DurableJob, EndedJob, Record};

/// Maximum number of live jobs. Keeps the durable state below the maximum value size of the
/// key-value service.
const MAX_LIVE_JOBS: usize = 4_000;
/// Maximum number of tasks of one job.
const MAX_TASKS: u32 = 10_000;
/// Maximum number of records waiting for a commit.
const MAX_PENDING_RECORDS: usize = 20_000;
/// Maximum number of jobs returned by one query.
const MAX_QUERY_JOBS: usize = 1_000;
/// Retry delay for a submission whose acceptance is being committed.
const COMMIT_RETRY_AFTER_MS: Millis = Millis(300);

impl Pool {
    pub(crate) fn handle_job_command(
        &mut self,
        now: Millis,
        from: ReplyTo,
        call: CallId,
        command: JobCommand,
    ) {
        if self.ownership_state != OwnershipState::Owner {
            let outcome = self.refusal(NotRunReason::NoOwner, Millis(0));
            self.send(from.address, Message::JobOutcome(call, outcome));
            return;
        }
        let immediate = match command {
            JobCommand::Submit(spec) => self.submit(now, &from, call, spec),
            JobCommand::Cancel(job, team) => self.cancel(&from, call, &job, &team),
        };
        if let Some(outcome) = immediate {
            self.send(from.address, Message::JobOutcome(call, outcome));
        }
    }

    /// Accepts a job. Returns the outcome, or none if it is sent after the commit.
    fn submit(
        &mut self,
        now: Millis,
        from: &ReplyTo,
        call: CallId,
        spec: JobSpec,
    ) -> Option<Outcome> {
        if let Some(outcome) = self.outcome_of_known(&spec) {
            return Some(outcome);
        }
        if let Some(reason) = self.admission_error(&spec) {
            return Some(Outcome::not_run(reason, Millis(0)));
        }
        if self.journal.store_failing() {
            return Some(self.refusal(NotRunReason::StoreUnavailable, Millis(1_000)));
        }
        let full =
            self.jobs.len() >= MAX_LIVE_JOBS || self.journal.pending_len() >= MAX_PENDING_RECORDS;
        if full {
            return Some(self.refusal(NotRunReason::QueueFull, Millis(5_000)));
        }
        let id = spec.id.clone();
        let sequence = self.jobs.next_sequence();
        self.jobs.insert(Job::new(spec.clone(), sequence, now));
        self.append(Record::JobAccepted(spec), Some(FollowUp::Accept(from.address, call, id)));
        None
    }

    /// Returns the outcome for a job id that was submitted before.
    fn outcome_of_known(&self, spec: &JobSpec) -> Option<Outcome> {
        let state = self.journal.state();
        let durable = state.jobs.get(&spec.id).map(|job| &job.spec);
        let ended = state.ended_job(&spec.id).map(|job| &job.spec);
        if let Some(known) = durable.or(ended) {
            let same = known == spec;
            let outcome = if same {
                Outcome::Accepted(spec.id.clone())
            } else {
                Outcome::not_run(NotRunReason::IdReused, Millis(0))
            };
            return Some(outcome);
        }
        let committing = self.jobs.get(&spec.id).is_some();
        committing.then_some(Outcome::InProgress { retry_after_ms: COMMIT_RETRY_AFTER_MS })
    }

    /// Returns why a job can never run in this pool, if so.
    fn admission_error(&self, spec: &JobSpec) -> Option<NotRunReason> {
        if spec.tasks == 0
            || spec.tasks > MAX_TASKS
            || !self.rules.allows(&spec.queue, &self.settings.domain)
        {
            return Some(NotRunReason::NeverFits);
        }
        if self.index.iter().next().is_none() {
            return Some(NotRunReason::NoBackend);
        }
        let is_gang = spec.kind == JobKind::Gang;
        let fits = if is_gang {
            self.index.idle_task_capacity(&spec.per_task) >= u64::from(spec.tasks)
        } else {
            self.index.fits_any_idle_worker(&spec.per_task)
        };
        if !fits {
            return Some(NotRunReason::NeverFits);
        }
        let at_once =
            if is_gang { spec.per_task.times(u64::from(spec.tasks)) } else { spec.per_task };
        let limit = self.limits.limit(&spec.team)?;
        (!limit.covers(&Amount::of_resources(at_once))).then_some(NotRunReason::OverLimit)
    }

    fn cancel(
        &mut self,
        from: &ReplyTo,
        call: CallId,
        id: &JobId,
        team: &TeamId,
    ) -> Option<Outcome> {
        let Some(job) = self.jobs.get(id) else {
            let ended = self.journal.state().ended_job(id);
            return Some(cancel_outcome_of_ended(ended, team));
        };
        if job.spec.team != *team {
            return Some(Outcome::not_run(NotRunReason::WrongTeam, Millis(0)));
        }
        let key = (job.sequence, id.clone());
        let (priority, team) = (self.queue_priority(job.spec.priority), job.spec.team.clone());
        self.queue.remove(priority, &team, &key);
        if let Some(job) = self.jobs.remove(id) {
            self.orphan_tasks(&job);
        }
        self.record_event(timeline::EventKind::JobEnded, id.as_str(), JobState::Cancelled.as_str());
        let reply = FollowUp::Reply(from.address, call, Outcome::Cancelled(id.clone()));
        self.append(Record::JobCancelled(id.clone()), Some(reply));
        None
    }

    pub(crate) fn handle_job_query(
        &mut self,
        now: Millis,
        from: &ReplyTo,
        call: CallId,
        query: &JobQuery,
    ) {
        let views = match query {
            JobQuery::ById(id) => self.view_job(now, id).into_iter().collect(),
            JobQuery::ByTeam(_, team) => self.view_team(now, team),
        };
        self.send(from.address, Message::Jobs(call, views));
    }

    fn view_job(&self, now: Millis, id: &JobId) -> Option<JobView> {
        if let Some(job) = self.jobs.get(id) {
            return Some(self.view_live(now, job));
        }
        let state = self.journal.state();
        let ended = state.ended_job(id).map(|job| self.view_ended(job));
        ended.or_else(|| state.jobs.get(id).map(|job| self.view_committing(job)))
    }

    fn view_team(&self, now: Millis, team: &TeamId) -> Vec<JobView> {
        let live = self
            .jobs
            .iter()
            .filter(|job| job.spec.team == *team)
            .map(|job| self.view_live(now, job));
        let ended = self.journal.state().ended_jobs.iter().rev();
        let ended = ended.filter(|job| job.spec.team == *team).map(|job| self.view_ended(job));
        live.chain(ended).take(MAX_QUERY_JOBS).collect()
    }

    fn view_live(&self, now: Millis, job: &Job) -> JobView {
        JobView {
            spec: job.spec.clone(),
            pool: self.settings.pool.clone(),
            state: job.state(),
            counts: job.counts,
            age_ms: now.since(job.accepted_at),
            explanation: self.explain(job),
        }
    }

    fn view_ended(&self, job: &EndedJob) -> JobView {
        JobView {
            spec: job.spec.clone(),
            pool: self.settings.pool.clone(),
            state: job.state,
            counts: job.counts,
            age_ms: Millis(0),
            explanation: String::new(),
        }
    }

    /// Describes a job whose end is being committed.
    fn view_committing(&self, job: &DurableJob) -> JobView {
        JobView {
            spec: job.spec.clone(),
            pool: self.settings.pool.clone(),
            state: JobState::Running,
            counts: Default::default(),
            age_ms: Millis(0),
            explanation: "the end of the job is being committed".to_owned(),
        }
    }

    /// Explains why a job's next task is waiting and what would let it start.
    fn explain(&self, job: &Job) -> String {
        if job.waiting.is_empty() {
            return String::new();
        }
        if let Some(requested_by) = self.evacuation() {
            return format!(
                "failure domain {} is evacuated ({requested_by}); the job starts once the rule is removed",
                self.settings.domain
            );
        }
        let need = &job.spec.per_task;
        match job.blocked {
            None if self.find_worker(&job.spec.id).is_none() => self.explain_capacity(job),
            None => "waiting for its turn in the queue".to_owned(),
            Some(BlockedReason::Recovering) => format!(
                "the pool has a new owner; the job starts once {} workers are attached or their leases have expired",
                self.workers.unresolved.len()
            ),
            Some(BlockedReason::NeverFits) => {
                format!("no worker has a capacity of {need}; the job starts once one is added")
            }
            Some(BlockedReason::Limit) => self.explain_limit(job),
            Some(BlockedReason::NoCapacity) => self.explain_capacity(job),
        }
    }

    fn explain_limit(&self, job: &Job) -> String {
        let team = &job.spec.team;
        let used = self.limits.used(team);
        let slice = self.limits.slice(team).unwrap_or_default();
        format!(
            "team {team} uses {} of the {} that its limit allows in this pool; \
             the job starts once tasks of the team end in this or another pool",
            used.resources, slice.resources
        )
    }

    fn explain_capacity(&self, job: &Job) -> String {
        let need = &job.spec.per_task;
        let gang = if job.spec.kind == JobKind::Gang { job.waiting.len() as u64 } else { 1 };
        let most_free = self
            .index
            .iter()
            .filter(|(_, slot)| slot.schedulable)
            .max_by_key(|(_, slot)| slot.free.cpu_milli);
        match most_free {
            None => "no worker currently accepts new tasks".to_owned(),
            Some((id, slot)) => format!(
                "{gang} times {need} must be free at the same time; the worker with the most free processors, {id}, has {} free",
                slot.free
            ),
        }
    }

    /// Running and waiting millicores by team, for measurements.
    pub fn millicores_by_team(&self) -> Vec<(TeamId, u64, u64)> {
        let mut waiting: BTreeMap<&TeamId, u64> = BTreeMap::new();
        for job in self.jobs.iter() {
            let cores = u64::from(job.counts.waiting) * job.spec.per_task.cpu_milli;
            *waiting.entry(&job.spec.team).or_default() += cores;
        }
        let entry = |team: &config::TeamRule| {
            let waits = waiting.get(&team.name).copied().unwrap_or(0);
            (team.name.clone(), self.shares.running(&team.name).cpu_milli, waits)
        };
        self.rules.teams().map(entry).collect()
    }

    /// Status of the pool for operators, if this process owns it.
    pub fn status(&self) -> Option<PoolStatus> {
        if !self.is_owner() {
            return None;
        }
        Some(PoolStatus {
            pool: self.settings.pool.clone(),
            owner: self.settings.node.clone(),
            epoch: self.journal.epoch(),
            workers: self.worker_status(),
            runners: self.runner_status(),
            teams: self.team_status(),
            live_jobs: self.jobs.len() as u32,
            waiting_requests: self.requests.waiting() as u32,
        })
    }

    fn worker_status(&self) -> Vec<WorkerStatus> {
        let status = |worker: &crate::workers::Worker| WorkerStatus {
            worker: worker.info.worker.clone(),
            state: worker.state().into(),
            capacity: worker.info.capacity,
            granted: worker
                .tasks
                .values()
                .fold(Default::default(), |sum, task| task.resources.plus(&sum)),
            tasks: worker.tasks.len() as u32,
        };
        self.workers.by_id.values().map(status).collect()
    }

    fn runner_status(&self) -> Vec<RunnerStatus> {
        let status = |runner: &crate::runners::Runner| RunnerStatus {
            runner: runner.info.runner.clone(),
            state: runner.state_name().into(),
            busy: runner.busy(),
            window: runner.window(),
            slots: runner.slots,
        };
        self.runners.by_id.values().map(status).collect()
    }

    fn team_status(&self) -> Vec<TeamStatus> {
        let waiting = |team: &TeamId| -> u32 {
            self.jobs
                .iter()
                .filter(|job| job.spec.team == *team)
                .map(|job| job.counts.waiting)
                .sum()
        };
        let status = |team: &config::TeamRule| TeamStatus {
            team: team.name.clone(),
            share: team.share,
            running: self.shares.running(&team.name),
            limit_slice: self.limits.slice(&team.name).map(|slice| slice.resources),
            waiting_tasks: waiting(&team.name),
        };
        self.rules.teams().map(status).collect()
    }
}

fn cancel_outcome_of_ended(ended: Option<&EndedJob>, team: &TeamId) -> Outcome {
    match ended {
        None => Outcome::not_run(NotRunReason::UnknownJob, Millis(0)),
        Some(job) if job.spec.team != *team => Outcome::not_run(NotRunReason::WrongTeam, Millis(0)),
        Some(job) if job.state == JobState::Cancelled => Outcome::Cancelled(job.spec.id.clone()),
        Some(_) => Outcome::not_run(NotRunReason::AlreadyEnded, Millis(0)),
    }
}
