//! Workers whose lease lapsed, and tasks that a former owner started.

use timeline::EventKind;
use types::{JobId, Millis, Priority, Resources, RunningTask, TaskId, TeamId, WorkerId};

use crate::limits::Amount;
use crate::pool::Pool;
use crate::record::TaskEnd;
use crate::workers::{Phase, PlacedTask};

/// A syncing call without an answer counts as failed after this time.
const SYNC_TIMEOUT_MS: Millis = Millis(5_000);

impl Pool {
    /// A task that should not run any more counts until its worker says that it ended.
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
        self.limits.take(&team, &Amount::of_resources(running.resources));
        self.shares.take(&team, &running.resources);
        self.index_worker(id);
    }

    /// The team of a job that was seen at some time. A job that is not known has no team.
    pub(crate) fn team_of(&self, id: &JobId) -> TeamId {
        let state = self.journal.state();
        let live = self.jobs.get(id).map(|job| &job.spec);
        let durable = state.jobs.get(id).map(|job| &job.spec);
        let ended = state.ended_job(id).map(|job| &job.spec);
        live.or(durable).or(ended).map(|spec| spec.team.clone()).unwrap_or_default()
    }

    /// A task that the former owner started goes on.
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
        self.limits.take(&team, &Amount::of_resources(running.resources));
        self.shares.take(&team, &running.resources);
        self.index_worker(id);
    }

    /// Frees the tasks of workers whose lease has surely lapsed.
    pub(crate) fn lapse_workers(&mut self, now: Millis) {
        let mut lapsed = Vec::new();
        let mut stuck = Vec::new();
        let mut released = Vec::new();
        for (id, worker) in &mut self.workers.by_id {
            if worker.lapse_at.is_some_and(|at| at <= now) {
                lapsed.push(id.clone());
            }
            if worker.link.call.is_some_and(|(_, sent_at)| now.since(sent_at) >= SYNC_TIMEOUT_MS) {
                stuck.push(id.clone());
            }
            if worker.end_quarantine(now) {
                released.push(id.clone());
            }
        }
        for id in stuck {
            if let Some(worker) = self.workers.by_id.get_mut(&id) {
                worker.link.failed(now, self.settings.poll_ms);
            }
            self.update_open(&id);
        }
        for id in released {
            self.update_open(&id);
        }
        for id in lapsed {
            self.lapse_worker(&id);
        }
    }

    pub(crate) fn lapse_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        worker.lapse_at = None;
        worker.attached = false;
        worker.strays.clear();
        let tasks: Vec<(TaskId, bool)> =
            worker.tasks.iter().map(|(task, placed)| (task.clone(), !placed.is_unsent())).collect();
        self.record_event(EventKind::WorkerLapsed, id.as_str(), &format!("{} tasks", tasks.len()));
        self.update_open(id);
        for (task, was_sent) in tasks {
            if was_sent && !self.may_rerun(&task) {
                self.end_placed(id, &task, TaskEnd::Unknown);
            } else {
                self.requeue(id, &task);
            }
        }
        self.resolve_worker(id);
    }

    /// It is known what a worker of the former owner runs.
    pub(crate) fn resolve_worker(&mut self, id: &WorkerId) {
        if self.workers.unresolved.remove(id) {
            self.check_resolved();
        }
    }

    /// Once all workers of the former owner are known, tasks that none of them runs may start.
    pub(crate) fn check_resolved(&mut self) {
        let unknown = self.unknown_use();
        self.limits.set_unknown(unknown);
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
        let nowhere = WorkerId::default();
        for task in waiting {
            if !self.may_rerun(&task) {
                self.end_waiting(&nowhere, &task, TaskEnd::Unknown);
            }
        }
        self.enqueue_job(id);
    }

    /// What any team may be using on workers of the former owner that are not known yet.
    pub(crate) fn unknown_use(&self) -> Amount {
        let unresolved = self.workers.unresolved.iter().filter_map(|id| self.index.get(id));
        let capacity = unresolved.fold(Resources::ZERO, |sum, slot| sum.plus(&slot.capacity));
        Amount::of_resources(capacity)
    }
}
