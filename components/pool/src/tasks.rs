//! Tasks on workers: placing, stopping and ending them.

use timeline::EventKind;
use types::{JobId, JobKind, JobState, Millis, Priority, TaskId, WorkerId};

use crate::event::Action;
use crate::jobs::{Job, TaskState};
use crate::limits::Amount;
use crate::pool::{FollowUp, Pool};
use crate::record::{Record, TaskEnd};
use crate::workers::{Phase, PlacedTask, Worker};

impl Pool {
    /// The priority of the queue in which a job of this priority waits.
    pub(crate) fn queue_priority(&self, priority: Priority) -> Priority {
        if self.settings.mechanisms.priorities { priority } else { Priority::Normal }
    }

    /// Makes a job's waiting tasks eligible for placement.
    pub(crate) fn enqueue_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.recovering || job.waiting.is_empty() {
            return;
        }
        let key = (job.sequence, id.clone());
        let priority = self.queue_priority(job.spec.priority);
        self.queue.insert(priority, &job.spec.team, key, job.spec.per_task);
        self.needs_placement = true;
    }

    /// Places a waiting task on a worker. The caller has checked capacity, limits and order.
    pub(crate) fn place_task(&mut self, now: Millis, id: &JobId, index: u32, worker_id: &WorkerId) {
        let attempt = self.new_attempt();
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(worker) = self.workers.by_id.get_mut(worker_id) else { return };
        let spec = &job.spec;
        if !self.index.allocate(worker_id, &spec.per_task) {
            return;
        }
        let phase = if spec.idempotent { Phase::Queued } else { Phase::Committing };
        let placed = PlacedTask {
            attempt,
            team: spec.team.clone(),
            priority: spec.priority,
            resources: spec.per_task,
            run_ms: if spec.kind == JobKind::Service { Millis(0) } else { spec.run_ms },
            placed_at: now,
            phase,
            stopping: None,
            orphan: false,
        };
        let (team, resources, idempotent) = (spec.team.clone(), spec.per_task, spec.idempotent);
        let task = job.task_id(index);
        job.set_placed(index, worker_id.clone(), worker.rack(), attempt);
        job.blocked = None;
        let all_placed = job.waiting.is_empty();
        let (priority, key) = (job.spec.priority, (job.sequence, id.clone()));
        let priority =
            if self.settings.mechanisms.priorities { priority } else { Priority::Normal };
        worker.tasks.insert(task.clone(), placed);
        self.workers.pending_syncs.insert(worker_id.clone());
        let on_probation = worker.on_probation;
        if all_placed {
            self.queue.remove(priority, &team, &key);
        }
        self.limits.acquire(&team, &Amount::of_resources(resources));
        self.shares.acquire(&team, &resources);
        if on_probation {
            self.update_schedulable(worker_id);
        }
        if !idempotent {
            self.append(Record::TaskIntent(task.clone()), Some(FollowUp::StartTask(task)));
        }
        self.push(Action::IncrementCounter("tasks.placed"));
    }

    /// Allows a non-idempotent task to be sent after its intent was committed.
    pub(crate) fn mark_startable(&mut self, task: &TaskId) {
        let Some(TaskState::Placed { worker, .. }) = self.task_state(task) else { return };
        let placed =
            self.workers.by_id.get_mut(&worker).and_then(|worker| worker.tasks.get_mut(task));
        if let Some(placed) = placed.filter(|placed| placed.phase == Phase::Committing) {
            placed.phase = Phase::Queued;
            self.workers.pending_syncs.insert(worker);
        }
    }

    pub(crate) fn task_state(&self, task: &TaskId) -> Option<TaskState> {
        self.jobs.get(&task.job).and_then(|job| job.task(task.index)).cloned()
    }

    /// Removes a task from its worker and releases its resources.
    pub(crate) fn remove_placed(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
    ) -> Option<PlacedTask> {
        let worker = self.workers.by_id.get_mut(worker_id)?;
        let placed = worker.tasks.remove(task)?;
        self.index.release(worker_id, &placed.resources);
        self.limits.release(&placed.team, &Amount::of_resources(placed.resources));
        self.shares.release(&placed.team, &placed.resources);
        self.needs_placement = true;
        self.update_schedulable(worker_id);
        Some(placed)
    }

    /// Returns a placed task that certainly does not run, and has no result, to the queue.
    pub(crate) fn requeue_task(&mut self, worker_id: &WorkerId, task: &TaskId) {
        let Some(placed) = self.remove_placed(worker_id, task) else { return };
        if placed.orphan {
            return;
        }
        let rack = self.rack_of(worker_id);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_waiting(task.index, &rack);
        }
        self.enqueue_job(&task.job);
    }

    /// Returns all tasks that were not sent to their workers yet to the queue.
    pub(crate) fn requeue_unsent(&mut self) {
        let tasks_of = |(id, worker): (&WorkerId, &Worker)| -> Vec<(WorkerId, TaskId)> {
            let unsent = worker.tasks.iter().filter(|(_, placed)| placed.is_unsent());
            unsent.map(|(task, _)| (id.clone(), task.clone())).collect()
        };
        let unsent: Vec<(WorkerId, TaskId)> =
            self.workers.by_id.iter().flat_map(tasks_of).collect();
        for (worker, task) in unsent {
            self.requeue_task(&worker, &task);
        }
    }

    /// Ends a placed task with its final result.
    pub(crate) fn end_placed_task(&mut self, worker_id: &WorkerId, task: &TaskId, end: TaskEnd) {
        let Some(placed) = self.remove_placed(worker_id, task) else { return };
        if placed.orphan {
            self.allow_forget(worker_id, task);
            return;
        }
        let rack = self.rack_of(worker_id);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_placed_ended(task.index, &rack, end);
        }
        self.append_task_end(worker_id, task, end);
    }

    /// Appends the result of a task to the journal. The worker may forget the task after the
    /// commit.
    pub(crate) fn append_task_end(&mut self, worker_id: &WorkerId, task: &TaskId, end: TaskEnd) {
        let forget = FollowUp::Forget(worker_id.clone(), task.clone());
        self.append(Record::TaskEnded(task.clone(), end), Some(forget));
        self.record_event(EventKind::TaskEnded, &task.to_string(), end_name(end));
        self.end_job_if_done(&task.job);
    }

    pub(crate) fn end_job_if_done(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.counts.waiting + job.counts.running > 0 {
            return;
        }
        let state = if job.counts.unknown > 0 {
            JobState::Unknown
        } else if job.counts.failed > 0 {
            JobState::Failed
        } else {
            JobState::Done
        };
        self.record_event(EventKind::JobEnded, id.as_str(), state.as_str());
        self.jobs.remove(id);
    }

    pub(crate) fn rack_of(&self, worker: &WorkerId) -> types::RackId {
        self.workers.by_id.get(worker).map(|worker| worker.rack().clone()).unwrap_or_default()
    }

    pub(crate) fn allow_forget(&mut self, worker: &WorkerId, task: &TaskId) {
        if let Some(worker) = self.workers.by_id.get_mut(worker) {
            worker.forget.insert(task.clone());
        }
    }

    /// Whether a waiting task may start. False for a non-idempotent task that may have run already.
    pub(crate) fn may_rerun(&self, task: &TaskId) -> bool {
        let durable = self.journal.state().jobs.get(&task.job);
        !durable.is_some_and(|job| !job.spec.idempotent && job.intents.contains(&task.index))
    }

    pub(crate) fn end_waiting_task(&mut self, worker: &WorkerId, task: &TaskId, end: TaskEnd) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_ended(task.index, end);
        }
        self.dequeue_if_none_waiting(&task.job);
        self.append_task_end(worker, task, end);
    }

    pub(crate) fn dequeue_if_none_waiting(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.waiting.is_empty() {
            let key = (job.sequence, id.clone());
            let priority = self.queue_priority(job.spec.priority);
            self.queue.remove(priority, &job.spec.team, &key);
        }
    }

    /// Stops the tasks of a removed job. They count as using resources until their workers report
    /// their end.
    pub(crate) fn orphan_tasks(&mut self, job: &Job) {
        for id in job.by_worker.keys() {
            let Some(worker) = self.workers.by_id.get_mut(id) else { continue };
            let first = TaskId { job: job.spec.id.clone(), index: 0 };
            self.workers.pending_syncs.insert(id.clone());
            let mut unsent = Vec::new();
            for (task, placed) in
                worker.tasks.range_mut(first..).take_while(|(task, _)| task.job == job.spec.id)
            {
                placed.orphan = true;
                placed.stopping = Some(false);
                if placed.is_unsent() {
                    unsent.push(task.clone());
                }
            }
            for task in unsent {
                self.remove_placed(id, &task);
            }
        }
    }
}

fn end_name(end: TaskEnd) -> &'static str {
    match end {
        TaskEnd::Done => "done",
        TaskEnd::Failed => "failed",
        TaskEnd::Unknown => "unknown",
    }
}
