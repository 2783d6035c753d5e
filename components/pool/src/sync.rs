//! Syncs with workers: sends messages and reconciles the owner's state with the answers.

use std::collections::{BTreeMap, BTreeSet};

use timeline::EventKind;
use types::{Attempt, JobKind, Millis, RunningTask, SyncAnswer, TaskId, WorkerId, WorkerTaskEnd};

use crate::event::{Action, CallFailure};
use crate::jobs::TaskState;
use crate::pool::Pool;
use crate::record::TaskEnd;
use crate::workers::{Phase, remote_expiry};

/// Number of failures after which a task is not retried.
const MAX_TASK_FAILURES: u32 = 3;

impl Pool {
    /// Syncs workers with pending changes. On a tick, also syncs all workers whose regular sync is
    /// due.
    pub(crate) fn sync_workers(&mut self, now: Millis, at_tick: bool) {
        if !self.membership_confirmed {
            return;
        }
        let epoch = self.journal.epoch();
        let lease_ms = self.settings.lease_ms;
        let may_start = self.evacuation().is_none();
        let mut due: BTreeSet<WorkerId> = BTreeSet::new();
        let can_sync = |id: &&WorkerId| {
            let worker = self.workers.by_id.get(*id);
            worker.is_some_and(|one| {
                one.link.call.is_none() && one.attached && !one.link.is_suspect()
            })
        };
        due.extend(self.workers.pending_syncs.iter().filter(can_sync).cloned());
        if at_tick {
            let due_by_time = self.workers.by_id.iter().filter(|(_, worker)| {
                worker.link.call.is_none() && worker.link.next_call_at <= now
            });
            due.extend(due_by_time.map(|(id, _)| id.clone()));
        }
        self.workers.pending_syncs.retain(|id| !due.contains(id));
        for id in due {
            let call = self.new_call_id();
            let Some(worker) = self.workers.by_id.get_mut(&id) else { continue };
            let request = worker.build_sync(call, epoch, lease_ms, now, may_start);
            let suspect = worker.link.is_suspect();
            let url = worker.info.url.clone();
            self.push(Action::SyncWorker { worker: id, url, call, suspect, request });
        }
    }

    pub(crate) fn handle_worker_answer(
        &mut self,
        now: Millis,
        id: &WorkerId,
        call: u64,
        answer: Result<SyncAnswer, CallFailure>,
    ) {
        if !self.is_owner() {
            return;
        }
        let poll_ms = self.settings.poll_ms;
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if worker.link.call.is_none_or(|(current, _)| current != call) {
            return;
        }
        match answer {
            Err(CallFailure::StaleEpoch) => self.lose_ownership(Vec::new()),
            Err(_) => {
                worker.link.record_failure(now, poll_ms);
                self.update_schedulable(id);
            }
            Ok(answer) => self.reconcile(now, id, call, answer),
        }
    }

    /// Reconciles the state of a worker's tasks with its answer.
    pub(crate) fn reconcile(&mut self, now: Millis, id: &WorkerId, call: u64, answer: SyncAnswer) {
        let (lease_ms, poll_ms) = (self.settings.lease_ms, self.settings.poll_ms);
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        let restarted =
            worker.link.incarnation != 0 && worker.link.incarnation != answer.incarnation;
        let first_time = !worker.attached;
        worker.link.incarnation = answer.incarnation;
        worker.link.remote_clock_ms = answer.clock_ms;
        worker.link.answered_at = now;
        worker.link.call = None;
        worker.link.failures = 0;
        worker.lease_expires_at = Some(remote_expiry(now, lease_ms));
        worker.attached = true;
        worker.forget.retain(|task| answer.finished.iter().any(|finished| finished.task == *task));
        worker.unexpected_tasks.clear();
        let was_forgotten = worker.forget.clone();
        for finished in &answer.finished {
            if !was_forgotten.contains(&finished.task) {
                self.handle_finished(now, id, &finished.task, finished.attempt, finished.end);
            }
        }
        for running in &answer.running {
            self.handle_running(now, id, running);
        }
        self.requeue_missing(id, call, restarted, &answer);
        if first_time {
            self.resolve_worker(id);
            self.record_event(EventKind::WorkerAttached, id.as_str(), "");
            self.join_worker(id);
        }
        if let Some(worker) = self.workers.by_id.get_mut(id) {
            if worker.has_pending_sync() {
                self.workers.pending_syncs.insert(id.clone());
            }
            worker.link.next_call_at =
                if first_time { now } else { worker.next_sync_after(now, poll_ms, lease_ms) };
        }
        self.update_schedulable(id);
    }

    pub(crate) fn handle_finished(
        &mut self,
        now: Millis,
        id: &WorkerId,
        task: &TaskId,
        attempt: Attempt,
        end: WorkerTaskEnd,
    ) {
        let placed = self.workers.by_id.get(id).and_then(|worker| worker.tasks.get(task));
        let is_ours = placed.is_some_and(|placed| placed.attempt == attempt);
        if !is_ours {
            self.handle_foreign_finished(id, task, end);
            return;
        }
        match end {
            WorkerTaskEnd::Done | WorkerTaskEnd::Failed if self.is_service(task) => {
                self.record_worker_result(now, id, task, end == WorkerTaskEnd::Failed);
                self.requeue_task(id, task);
                self.allow_forget(id, task);
            }
            WorkerTaskEnd::Done => {
                self.record_worker_result(now, id, task, false);
                self.end_placed_task(id, task, TaskEnd::Done);
            }
            WorkerTaskEnd::Failed => {
                self.record_worker_result(now, id, task, true);
                self.handle_task_failure(id, task);
            }
            WorkerTaskEnd::Stopped => self.handle_stopped(id, task),
            WorkerTaskEnd::Refused => {
                self.requeue_task(id, task);
                self.allow_forget(id, task);
            }
        }
    }

    pub(crate) fn is_service(&self, task: &TaskId) -> bool {
        self.jobs.get(&task.job).is_some_and(|job| job.spec.kind == JobKind::Service)
    }

    /// Handles the end of an attempt that is not the current one on this worker: it was started by
    /// a former owner, or its task has been requeued or placed elsewhere since.
    pub(crate) fn handle_foreign_finished(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        end: WorkerTaskEnd,
    ) {
        let is_waiting = self.task_state(task) == Some(TaskState::Waiting);
        if is_waiting && end == WorkerTaskEnd::Done {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.set_ended(task.index, TaskEnd::Done);
            }
            self.dequeue_if_none_waiting(&task.job);
            self.append_task_end(id, task, TaskEnd::Done);
        } else if is_waiting && !self.may_rerun(task) {
            let end = if end == WorkerTaskEnd::Failed { TaskEnd::Failed } else { TaskEnd::Unknown };
            self.end_waiting_task(id, task, end);
        } else if !self.is_end_uncommitted(task) {
            self.allow_forget(id, task);
        }
    }

    /// Whether a task has ended but the worker must keep the result until the record is committed.
    pub(crate) fn is_end_uncommitted(&self, task: &TaskId) -> bool {
        let ended_here = matches!(self.task_state(task), Some(TaskState::Ended(_)));
        let durable = self.journal.state().jobs.get(&task.job);
        let committed = durable.is_none_or(|job| job.ended.contains_key(&task.index));
        !committed && (ended_here || self.jobs.get(&task.job).is_none())
    }

    pub(crate) fn record_worker_result(
        &mut self,
        now: Millis,
        id: &WorkerId,
        task: &TaskId,
        failed: bool,
    ) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if self.settings.mechanisms.quarantine
            && worker.record_result(task.job.as_str(), failed, now)
        {
            let detail = format!("{} consecutive task failures", worker.consecutive_failures);
            self.record_event(EventKind::WorkerQuarantined, id.as_str(), &detail);
        }
        self.update_schedulable(id);
    }

    /// Handles a task that failed by itself. It is retried, preferably on another worker, until it
    /// has failed too often. Failures on a quarantined worker do not count.
    pub(crate) fn handle_task_failure(&mut self, id: &WorkerId, task: &TaskId) {
        let worker_is_bad =
            self.workers.by_id.get(id).is_some_and(|worker| worker.quarantined_until.is_some());
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.end_placed_task(id, task, TaskEnd::Failed);
            return;
        };
        if !job.spec.idempotent {
            self.end_placed_task(id, task, TaskEnd::Failed);
            return;
        }
        job.failed_on.insert(id.clone());
        let failures = job.failures.entry(task.index).or_default();
        if !worker_is_bad {
            *failures += 1;
        }
        if *failures >= MAX_TASK_FAILURES {
            self.end_placed_task(id, task, TaskEnd::Failed);
        } else {
            self.requeue_task(id, task);
            self.allow_forget(id, task);
        }
    }

    /// Handles a task that was stopped by this owner or because the worker's lease expired.
    pub(crate) fn handle_stopped(&mut self, id: &WorkerId, task: &TaskId) {
        if self.may_rerun(task) {
            self.requeue_task(id, task);
            self.allow_forget(id, task);
        } else {
            self.end_placed_task(id, task, TaskEnd::Unknown);
        }
    }

    pub(crate) fn handle_running(&mut self, now: Millis, id: &WorkerId, running: &RunningTask) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if let Some(placed) = worker.tasks.get_mut(&running.task)
            && placed.attempt == running.attempt
        {
            if placed.phase != Phase::Running {
                placed.phase = Phase::Running;
                self.record_event(EventKind::TaskStarted, &running.task.to_string(), id.as_str());
            }
            return;
        }
        let awaits_recovery = self.jobs.get(&running.task.job).is_some_and(|job| {
            job.recovering && job.task(running.task.index) == Some(&TaskState::Waiting)
        });
        if awaits_recovery {
            self.adopt_running(now, id, running);
            return;
        }
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if worker.tasks.contains_key(&running.task) {
            // An earlier attempt of a task that is placed here again.
            worker.unexpected_tasks.insert(running.task.clone(), running.attempt);
        } else {
            self.adopt_orphan(now, id, running);
        }
    }

    /// Handles tasks that were sent before this answer but are not mentioned in it: they do not
    /// run.
    pub(crate) fn requeue_missing(
        &mut self,
        id: &WorkerId,
        call: u64,
        restarted: bool,
        answer: &SyncAnswer,
    ) {
        let Some(worker) = self.workers.by_id.get(id) else { return };
        let reported: BTreeMap<&TaskId, Attempt> = answer
            .running
            .iter()
            .map(|running| (&running.task, running.attempt))
            .chain(answer.finished.iter().map(|finished| (&finished.task, finished.attempt)))
            .collect();
        let missing: Vec<(TaskId, bool)> = worker
            .tasks
            .iter()
            .filter(|(task, placed)| {
                let was_sent = match placed.phase {
                    Phase::Running => true,
                    Phase::Sent(first_sent) => first_sent <= call,
                    Phase::Queued | Phase::Committing => false,
                };
                was_sent && reported.get(task) != Some(&placed.attempt)
            })
            .map(|(task, placed)| (task.clone(), placed.phase == Phase::Running || restarted))
            .collect();
        for (task, may_have_run) in missing {
            if may_have_run && !self.may_rerun(&task) {
                self.end_placed_task(id, &task, TaskEnd::Unknown);
            } else {
                self.requeue_task(id, &task);
            }
        }
    }
}
