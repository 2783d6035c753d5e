//! Answers to polls: reconciles the runs that a worker reports with those that the cell knows.

use eventlog::event;
use libs::compact_str::CompactString;
use types::{Millis, WorkerId};

use crate::action::Action;
use crate::cell::Cell;
use crate::job::Phase;
use crate::model::{StepSpec, TaskKey};
use crate::permission::StartPermission;
use crate::runs::{add_team_usage, new_run};
use crate::worker::{RunState, Worker};

/// Consecutive polls that must miss a run before it counts as lost.
const MAX_MISSED_POLLS: u32 = 2;
/// Delay before a task whose run was lost is started again.
const LOST_RETRY_MS: Millis = Millis(50);

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Its work is done.
    Done,
    /// It failed, by a fault of the task or of the worker.
    Failed,
    /// A stop order ended it.
    Stopped,
    /// The lease of its worker expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// The other members of its gang did not start in time.
    GangIncomplete,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedRun {
    /// Sequence number of the end in this incarnation of the worker, from 1.
    pub sequence: u64,
    /// Task that was run.
    pub task: TaskKey,
    /// Attempt number of the run.
    pub attempt: u32,
    /// How it ended.
    pub ending: Ending,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: CompactString,
}

/// A run that is active on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRun {
    /// Task that was run.
    pub task: TaskKey,
    /// Attempt number of the run.
    pub attempt: u32,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: CompactString,
    /// Progress in percent.
    pub percent: u32,
    /// Tail latency in milliseconds of a serving task, or processor use of any other.
    pub gauge: u64,
}

/// Answer of a worker to a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PollAnswer {
    /// Start of the incarnation that answered, in Unix milliseconds.
    pub incarnation_unix_ms: u64,
    /// Clock of the worker.
    pub clock_ms: Millis,
    /// Runs that are active.
    pub active: Vec<ActiveRun>,
    /// Runs that have ended and are not acknowledged, oldest first.
    pub ended: Vec<EndedRun>,
    /// There may be further ends that did not fit into the answer.
    pub more_ended: bool,
}

impl Cell {
    /// Processes the answer to a poll that was sent at `sent_ms`.
    pub fn poll_answered(
        &mut self,
        id: &WorkerId,
        sent_ms: Millis,
        answer: &PollAnswer,
        now: Millis,
    ) {
        let (lease_ms, max_lease_ms) = (self.settings.lease_ms, self.settings.max_lease_ms);
        let holds_lease = self.start_permission == StartPermission::AllJobs;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.attached && sent_ms < worker.last_poll_sent_ms {
            // The answer to a poll that was sent later was processed before.
            return;
        }
        let is_first = worker.last_answer_ms == Millis(0);
        let is_of_former = answer.incarnation_unix_ms < worker.incarnation_unix_ms;
        if is_of_former && !worker.is_fenced_by_poll(sent_ms) {
            // Its successor has answered before.
            return;
        }
        worker.last_poll_sent_ms = sent_ms;
        if is_first {
            self.resolve_announcements(id, answer);
            self.check_account(id, answer.incarnation_unix_ms, now);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let regained = !worker.reachable;
        if regained {
            event!("worker.regained", "worker" => id.as_str(),
                "silent_ms" => now.since(worker.last_answer_ms).0);
        }
        worker.reachable = true;
        if is_first && worker.corrects_incarnation(answer.incarnation_unix_ms) {
            worker.incarnation_unix_ms = answer.incarnation_unix_ms;
            worker.long_leases_until_ms = None;
        }
        // An incarnation that answers a later poll is newer, whatever its clock showed at its start.
        if answer.incarnation_unix_ms != worker.incarnation_unix_ms {
            self.worker_restarted(id, answer, now);
            return;
        }
        if regained && !worker.has_former_runs {
            self.withdraw_losses_of_worker(id);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.clock_ms = answer.clock_ms;
        worker.answer_gap_ms = now.since(worker.last_answer_ms);
        worker.last_answer_ms = now;
        if !worker.is_fenced_by_poll(sent_ms) {
            return;
        }
        worker.bound_leases(lease_ms, max_lease_ms, now);
        // A successor that was elected unnoticed does not know of longer leases.
        let may_attach = holds_lease || !worker.may_have_long_leases(now);
        // A task whose end the answer does not show may be done.
        let newly_attached = !worker.attached && !answer.more_ended && may_attach;
        for end in &answer.ended {
            self.run_ended(id, end, now);
        }
        for active in &answer.active {
            self.reconcile_active_run(id, active, now);
        }
        self.reconcile_missing_runs(id, sent_ms, answer, now);
        if newly_attached {
            self.mark_attached(id, answer, now);
        }
    }

    /// Processes the first answer of a new incarnation. What runs there is read with the next poll,
    /// which carries a new fencing token: a late call to the former incarnation may still change it.
    fn worker_restarted(&mut self, id: &WorkerId, answer: &PollAnswer, now: Millis) {
        let Some(worker) = self.workers.get(id) else { return };
        let runs: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        self.confirm_lost_runs(id, "worker restarted", &runs, now);
        let max_lease_ms = self.settings.max_lease_ms;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let incarnation_unix_ms = answer.incarnation_unix_ms;
        worker.begin_incarnation(incarnation_unix_ms, answer.clock_ms, max_lease_ms, now);
        event!("worker.restarted", "worker" => id.as_str(), "runs" => worker.runs.len());
        self.actions.push(Action::Poll(id.clone()));
        self.forget_run_times_of(id);
    }

    fn mark_attached(&mut self, id: &WorkerId, answer: &PollAnswer, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.attached = true;
        worker.former_tasks = None;
        self.needs_scheduling = true;
        event!("worker.attached", "worker" => id.as_str(), "active" => answer.active.len(),
            "ended" => answer.ended.len(), "epoch" => self.epoch,
            "after_ms" => now.since(worker.unlisted_since_ms).0,
            "long_leases_ms" => worker.long_leases_until_ms.map(|until_ms| until_ms.since(now).0));
    }

    /// Processes a failed poll: the state of the worker is unknown until the next one.
    pub fn poll_failed(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.reachable {
            event!("worker.lost", "worker" => id.as_str(), "runs" => worker.runs.len(),
                "last_answer_ms_ago" => now.since(worker.last_answer_ms).0);
            worker.reachable = false;
            self.suspect_lost_runs(id, now);
        }
    }

    fn reconcile_active_run(&mut self, id: &WorkerId, active: &ActiveRun, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let key = &active.task;
        let mut is_first = false;
        match worker.runs.get_mut(key) {
            Some(run) if run.attempt == active.attempt => {
                run.missed_polls = 0;
                is_first = run.first_shown.is_none();
                run.first_shown.get_or_insert((active.percent, now));
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                    run.state_changed_ms = now;
                }
                let has_changed = run.percent != active.percent;
                if has_changed {
                    run.percent = active.percent;
                    run.progress_changed_ms = now;
                }
                run.gauge = active.gauge;
                if run.has_losses {
                    self.record_survival(id, key, active.attempt);
                }
                self.record_checkpoint(key, active.attempt, &active.checkpoint);
                if has_changed {
                    self.learn_progress(id, key, now);
                }
            }
            // Another run of the task on the same worker: its own end is processed later.
            Some(_) => {}
            None => self.adopt_run(id, active, now),
        }
        if is_first {
            self.record_begun(&key.step.job);
        }
    }

    /// Adds a run that the cell did not know: adopts it if its task needs it, or else stops it.
    fn adopt_run(&mut self, id: &WorkerId, active: &ActiveRun, now: Millis) {
        let key = &active.task;
        let unknown = self.unknown_spec(id);
        let ran_before_ms = self.ran_before_ms(active.attempt, now);
        let job = self.jobs.get_mut(&key.step.job);
        let team = job.as_ref().and_then(|job| job.record.team.clone());
        let spec = job
            .as_ref()
            .and_then(|job| job.record.spec.steps.get(usize::from(key.step.step)).cloned())
            .unwrap_or(unknown);
        let mut needed = false;
        if let Some(job) = job
            && job.ended.is_none()
        {
            job.has_begun = true;
            job.open_up_to(key.step.occurrence);
            if let Some(step) = job.step_mut(key.step.occurrence, key.step.step)
                && let Some(task) = step.tasks.get_mut(key.index)
                && task.phase == Phase::Waiting
                && task.attempt <= active.attempt
            {
                needed = true;
                task.attempt = active.attempt;
                task.checkpoint = active.checkpoint.clone();
                step.set_phase(key.index, Phase::Placed(id.clone()));
            }
            if needed && job.inherited {
                job.mark_successors_unstarted(key.step.occurrence, key.step.step);
            }
        }
        event!("task.adopted", "task" => key.to_string(), "attempt" => active.attempt,
            "worker" => id.as_str(), "needed" => needed, "percent" => active.percent);
        self.withdraw_loss(key, active.attempt);
        let mut run = new_run(&spec, team, active.attempt, RunState::Running, now);
        run.adopted = true;
        run.ran_before_ms = ran_before_ms;
        run.first_shown = Some((active.percent, now));
        run.percent = active.percent;
        run.from_start = false;
        run.progress_base = Some((active.percent, now));
        run.gauge = active.gauge;
        run.has_losses = self
            .jobs
            .get(&key.step.job)
            .and_then(|job| job.task(key))
            .is_some_and(|task| !task.losses.is_empty());
        add_team_usage(&mut self.used_by_team, &run);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_run(key.clone(), run);
        }
        if !needed {
            self.stray_runs.insert((key.clone(), id.clone()));
            self.stop_run(id, key, "task does not need this run", now);
        }
    }

    /// Stands in for the step of a run whose job is not known. Its needs are not known either, so it
    /// counts as the whole worker until it has ended.
    fn unknown_spec(&self, id: &WorkerId) -> StepSpec {
        let need = self.workers.get(id).map(|worker| worker.report.capacity).unwrap_or_default();
        StepSpec { need, ..StepSpec::default() }
    }

    fn record_checkpoint(&mut self, key: &TaskKey, attempt: u32, checkpoint: &CompactString) {
        if checkpoint.is_empty() {
            return;
        }
        let step = self.step_mut(&key.step);
        if let Some(task) = step.and_then(|step| step.tasks.get_mut(key.index))
            && task.attempt == attempt
        {
            task.checkpoint = checkpoint.clone();
        }
    }

    /// Handles runs that the poll should have shown but did not.
    ///
    /// Runs of a former incarnation are lost at once. A start without an answer may have reached
    /// the new incarnation, so it is stopped there before its task runs again.
    fn reconcile_missing_runs(
        &mut self,
        id: &WorkerId,
        sent_ms: Millis,
        answer: &PollAnswer,
        now: Millis,
    ) {
        if answer.more_ended {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let restarted = std::mem::take(&mut worker.has_former_runs);
        let shown = |key: &TaskKey, attempt: u32| {
            answer.active.iter().any(|active| active.task == *key && active.attempt == attempt)
        };
        let mut lost = Vec::new();
        let mut unanswered = Vec::new();
        for (key, run) in &mut worker.runs {
            if shown(key, run.attempt) || run.state_changed_ms >= sent_ms {
                continue;
            }
            match run.state {
                RunState::Stopped => lost.push(key.clone()),
                RunState::Running => {
                    run.missed_polls += 1;
                    if restarted || run.missed_polls >= MAX_MISSED_POLLS {
                        lost.push(key.clone());
                    }
                }
                RunState::Starting if restarted || run.missed_polls > 0 => {
                    unanswered.push(key.clone())
                }
                RunState::Starting | RunState::Stopping => {}
            }
        }
        if !restarted {
            self.withdraw_announcements(id, &lost);
        }
        for key in lost {
            event!("task.missing", "task" => key.to_string(), "worker" => id.as_str());
            self.release_run(id, &key, LOST_RETRY_MS, now);
        }
        for key in unanswered {
            self.stop_run(id, &key, "start not answered", now);
        }
    }

    /// Drops the runs of workers that do not answer and whose leases have certainly expired, but for
    /// those that may start late.
    pub(crate) fn drop_expired_runs(&mut self, now: Millis) {
        let max_lease_ms = self.settings.max_lease_ms;
        let expired_runs = |worker: &Worker| -> Vec<TaskKey> {
            let runs = worker.runs.iter();
            let ended = runs.filter(|(_, run)| !worker.may_start_late(run, max_lease_ms, now));
            ended.map(|(key, _)| key.clone()).collect()
        };
        let expired: Vec<(WorkerId, Vec<TaskKey>)> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.reachable && now >= worker.leases_end_ms())
            .map(|(id, worker)| (id.clone(), expired_runs(worker)))
            .filter(|(_, runs)| !runs.is_empty())
            .collect();
        for (id, keys) in expired {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            worker.attached = false;
            // What is left may start late, and is named for the next leader.
            let is_expired = |key: &&TaskKey| keys.contains(*key);
            let left = worker.runs.keys().filter(|key| !is_expired(key));
            let left = left.chain(worker.unstored_ends.values()).cloned().collect();
            worker.former_tasks = Some(left);
            event!("worker.leases_expired", "worker" => id.as_str(), "runs" => keys.len(),
                "may_start_late" => worker.runs.len() - keys.len(),
                "last_answer_ms_ago" => now.since(worker.last_answer_ms).0);
            self.confirm_lost_runs(&id, "leases expired", &keys, now);
            for key in keys {
                self.release_run(&id, &key, Millis(0), now);
            }
        }
    }
}
