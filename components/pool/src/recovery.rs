//! Expiry of worker leases, and recovery of tasks started by a former owner.

use timeline::EventKind;
use types::{JobId, Millis, Priority, Resources, RunningTask, TaskId, TeamId, WorkerId};

use crate::limits::Amount;
use crate::pool::Pool;
use crate::record::TaskEnd;
use crate::workers::{Phase, PlacedTask};

/// Timeout of a worker sync.
const SYNC_TIMEOUT_MS: Millis = Millis(5_000);

impl Pool {
    /// Registers a running task that should not run any more. It counts as using resources until
    /// its worker reports its end.
    pub(crate) fn adopt_orphan(&mut self, now: Millis, id: &WorkerId, running: &RunningTask) {
        let team = self.team_of(&running.task.job);
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        let orphan = PlacedTask {
            attempt: running.attempt,
            team: team.clone(),
            priority: Priority::Normal,
            resources: running.resources,
            run_ms: Millis(0),
            placed_at: now,
            phase: Phase::Running,
            stopping: Some(false),
            orphan: true,
        };
        worker.tasks.insert(running.task.clone(), orphan);
        self.limits.acquire(&team, &Amount::of_resources(running.resources));
        self.shares.acquire(&team, &running.resources);
        self.index_worker(id);
    }

    /// Returns the team of a live or recently ended job, or the default team id if the job is
    /// unknown.
    pub(crate) fn team_of(&self, id: &JobId) -> TeamId {
        let state = self.journal.state();
        let live = self.jobs.get(id).map(|job| &job.spec);
        let durable = state.jobs.get(id).map(|job| &job.spec);
        let ended = state.ended_job(id).map(|job| &job.spec);
        live.or(durable).or(ended).map(|spec| spec.team.clone()).unwrap_or_default()
    }

    /// Takes over a running task that a former owner started.
    pub(crate) fn adopt_running(&mut self, now: Millis, id: &WorkerId, running: &RunningTask) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        let Some(job) = self.jobs.get_mut(&running.task.job) else { return };
        let placed = PlacedTask {
            attempt: running.attempt,
            team: job.spec.team.clone(),
            priority: job.spec.priority,
            resources: running.resources,
            run_ms: job.spec.run_ms,
            placed_at: now,
            phase: Phase::Running,
            stopping: None,
            orphan: false,
        };
        job.set_placed(running.task.index, id.clone(), worker.rack(), running.attempt);
        worker.tasks.insert(running.task.clone(), placed);
        let team = job.spec.team.clone();
        self.limits.acquire(&team, &Amount::of_resources(running.resources));
        self.shares.acquire(&team, &running.resources);
        self.index_worker(id);
    }

    /// Frees the tasks of workers whose lease has certainly expired. Also ends quarantines and
    /// times out syncs that got no answer.
    pub(crate) fn expire_leases(&mut self, now: Millis) {
        let mut expired = Vec::new();
        let mut timed_out = Vec::new();
        let mut released = Vec::new();
        for (id, worker) in &mut self.workers.by_id {
            if worker.lease_expires_at.is_some_and(|at| at <= now) {
                expired.push(id.clone());
            }
            if worker.link.call.is_some_and(|(_, sent_at)| now.since(sent_at) >= SYNC_TIMEOUT_MS) {
                timed_out.push(id.clone());
            }
            if worker.end_quarantine(now) {
                released.push(id.clone());
            }
        }
        for id in timed_out {
            if let Some(worker) = self.workers.by_id.get_mut(&id) {
                worker.link.record_failure(now, self.settings.poll_ms);
            }
            self.update_schedulable(&id);
        }
        for id in released {
            self.update_schedulable(&id);
        }
        for id in expired {
            self.expire_lease(&id);
        }
    }

    pub(crate) fn expire_lease(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        worker.lease_expires_at = None;
        worker.attached = false;
        worker.unexpected_tasks.clear();
        let tasks: Vec<(TaskId, bool)> =
            worker.tasks.iter().map(|(task, placed)| (task.clone(), !placed.is_unsent())).collect();
        self.record_event(EventKind::WorkerLapsed, id.as_str(), &format!("{} tasks", tasks.len()));
        self.update_schedulable(id);
        for (task, was_sent) in tasks {
            if was_sent && !self.may_rerun(&task) {
                self.end_placed_task(id, &task, TaskEnd::Unknown);
            } else {
                self.requeue_task(id, &task);
            }
        }
        self.resolve_worker(id);
    }

    /// Marks a worker of the former owner as resolved: it is known what it runs.
    pub(crate) fn resolve_worker(&mut self, id: &WorkerId) {
        if self.workers.unresolved.remove(id) {
            self.check_resolved();
        }
    }

    /// Once all workers of the former owner are resolved, resumes the recovered jobs: tasks that no
    /// worker runs may start.
    pub(crate) fn check_resolved(&mut self) {
        let unattributed = self.unattributed_use();
        self.limits.set_unattributed(unattributed);
        if !self.workers.unresolved.is_empty() {
            return;
        }
        let recovering: Vec<JobId> =
            self.jobs.iter().filter(|job| job.recovering).map(|job| job.spec.id.clone()).collect();
        for id in recovering {
            self.resume_job(&id);
        }
    }

    pub(crate) fn resume_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.recovering = false;
        job.blocked = None;
        let waiting: Vec<TaskId> = job.waiting.iter().map(|index| job.task_id(*index)).collect();
        let no_worker = WorkerId::default();
        for task in waiting {
            if !self.may_rerun(&task) {
                self.end_waiting_task(&no_worker, &task, TaskEnd::Unknown);
            }
        }
        self.enqueue_job(id);
    }

    /// Upper bound of what a team may be using on workers of the former owner that are not resolved
    /// yet.
    pub(crate) fn unattributed_use(&self) -> Amount {
        let unresolved = self.workers.unresolved.iter().filter_map(|id| self.index.get(id));
        let capacity = unresolved.fold(Resources::ZERO, |sum, slot| sum.plus(&slot.capacity));
        Amount::of_resources(capacity)
    }
}
