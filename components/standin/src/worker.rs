//! Simulated worker: runs tasks under a lease that expires on the worker's own clock.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::{
    Attempt, Epoch, FinishedTask, Millis, Resources, RunningTask, StartTask, SyncAnswer,
    SyncRequest, TaskId, WorkerTaskEnd,
};

use crate::run_log::{RunKind, RunLog, RunRecord};

struct Task {
    attempt: Attempt,
    resources: Resources,
    /// Time at which the task completes; `None` for services, which run until stopped.
    ends_ms: Option<Millis>,
    /// Index in the run log.
    run: usize,
}

/// A simulated worker.
pub struct Worker {
    name: String,
    capacity: Resources,
    incarnation: u64,
    epoch: Epoch,
    sequence: u64,
    lease_until_ms: Millis,
    tasks: BTreeMap<TaskId, Task>,
    finished: BTreeMap<TaskId, FinishedTask>,
    /// Whether every task fails as soon as it starts.
    pub fails_all_tasks: bool,
    run_log: Arc<RunLog>,
}

impl Worker {
    /// Creates an idle worker.
    pub fn new(name: String, capacity: Resources, incarnation: u64, run_log: Arc<RunLog>) -> Self {
        Self {
            name,
            capacity,
            incarnation,
            epoch: Epoch(0),
            sequence: 0,
            lease_until_ms: Millis(0),
            tasks: BTreeMap::new(),
            finished: BTreeMap::new(),
            fails_all_tasks: false,
            run_log,
        }
    }

    /// Ends the tasks that have completed by `now`, and stops all tasks if the lease has expired.
    pub fn advance(&mut self, now: Millis) {
        let lease_expired = now >= self.lease_until_ms;
        let ended: Vec<(TaskId, Millis, WorkerTaskEnd)> = self
            .tasks
            .iter()
            .filter_map(|(id, task)| {
                let completed_at =
                    task.ends_ms.filter(|at| *at <= now && *at <= self.lease_until_ms);
                let end = completed_at.map(|at| (at, WorkerTaskEnd::Done));
                let (at, end) = end.or_else(|| {
                    lease_expired.then_some((self.lease_until_ms, WorkerTaskEnd::Stopped))
                })?;
                Some((id.clone(), at, end))
            })
            .collect();
        for (task, at, end) in ended {
            self.end_task(&task, at, end);
        }
    }

    /// Drops all tasks and unreported results, as in a power cut, and starts with a new incarnation.
    pub fn restart(&mut self, now: Millis) {
        for (_, task) in std::mem::take(&mut self.tasks) {
            self.run_log.record_end(task.run, now.0, false);
        }
        self.finished.clear();
        self.incarnation += 1;
        self.lease_until_ms = Millis(0);
        self.sequence = 0;
    }

    /// Answers a sync. Returns `None` if its epoch is lower than the highest one seen.
    pub fn sync(&mut self, now: Millis, request: &SyncRequest) -> Option<SyncAnswer> {
        self.advance(now);
        if request.epoch < self.epoch {
            return None;
        }
        if request.epoch > self.epoch {
            self.epoch = request.epoch;
            self.sequence = 0;
        }
        let is_newest = request.sequence > self.sequence;
        self.sequence = self.sequence.max(request.sequence);
        if is_newest && request.incarnation == self.incarnation {
            self.apply(now, request);
        }
        Some(self.answer(now))
    }

    fn apply(&mut self, now: Millis, request: &SyncRequest) {
        for task in &request.forget {
            self.finished.remove(task);
        }
        if request.lease_until_ms > now {
            self.lease_until_ms = self.lease_until_ms.max(request.lease_until_ms);
        }
        for stop in &request.stop {
            if self.tasks.get(&stop.task).is_some_and(|task| task.attempt == stop.attempt) {
                self.end_task(&stop.task, now, WorkerTaskEnd::Stopped);
            }
        }
        if now < self.lease_until_ms {
            for start in &request.start {
                self.start_task(now, start);
            }
        }
    }

    fn start_task(&mut self, now: Millis, start: &StartTask) {
        let already_started =
            self.tasks.get(&start.task).is_some_and(|task| task.attempt >= start.attempt)
                || self
                    .finished
                    .get(&start.task)
                    .is_some_and(|finished| finished.attempt >= start.attempt);
        if already_started {
            return;
        }
        let used = self.tasks.values().fold(Resources::ZERO, |sum, task| sum.plus(&task.resources));
        if !self.capacity.covers(&used.plus(&start.resources)) {
            self.run_log.record_overcommit(format!(
                "{} exceeded its capacity with {} at {now}",
                self.name, start.task
            ));
            self.finish(&start.task, start.attempt, WorkerTaskEnd::Refused);
            return;
        }
        let run = self.run_log.record_start(RunRecord {
            kind: RunKind::Task,
            id: start.task.to_string(),
            attempt: start.attempt.0,
            backend: self.name.clone(),
            started_ms: now.0,
            ended_ms: None,
            completed: false,
        });
        let ends_ms = (start.run_ms > Millis(0)).then(|| now + start.run_ms);
        let task = Task { attempt: start.attempt, resources: start.resources, ends_ms, run };
        self.tasks.insert(start.task.clone(), task);
        if self.fails_all_tasks {
            self.end_task(&start.task, now, WorkerTaskEnd::Failed);
        }
    }

    fn end_task(&mut self, id: &TaskId, at: Millis, end: WorkerTaskEnd) {
        let Some(task) = self.tasks.remove(id) else { return };
        self.run_log.record_end(task.run, at.0, end == WorkerTaskEnd::Done);
        self.finish(id, task.attempt, end);
    }

    fn finish(&mut self, task: &TaskId, attempt: Attempt, end: WorkerTaskEnd) {
        self.finished.insert(task.clone(), FinishedTask { task: task.clone(), attempt, end });
    }

    fn answer(&self, now: Millis) -> SyncAnswer {
        let running = self.tasks.iter().map(|(id, task)| RunningTask {
            task: id.clone(),
            attempt: task.attempt,
            resources: task.resources,
            used: task.resources,
        });
        SyncAnswer {
            incarnation: self.incarnation,
            clock_ms: now,
            running: running.collect(),
            finished: self.finished.values().cloned().collect(),
        }
    }
}
