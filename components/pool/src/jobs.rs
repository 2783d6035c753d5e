//! Jobs that can still change, as the owner sees them.

use std::collections::{BTreeMap, BTreeSet};

use types::{Attempt, JobId, JobSpec, JobState, Millis, RackId, TaskCounts, TaskId, WorkerId};

use crate::record::{DurableJob, TaskEnd};

/// State of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Not started.
    Waiting,
    /// Placed on a worker, and running unless it is known otherwise.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// The try.
        attempt: Attempt,
    },
    /// Ended for good. The record may still wait for its commit.
    Ended(TaskEnd),
}

/// Why a job's next task does not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// No open worker has enough room.
    NoRoom,
    /// The team's slice of its upper limit is used up.
    Limit,
    /// Workers of the former owner are not attached yet.
    Recovering,
    /// No worker in the pool is large enough any more.
    NeverFits,
}

/// A job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    /// Order of acceptance.
    pub(crate) place: u64,
    pub(crate) accepted_at: Millis,
    pub(crate) tasks: Vec<TaskState>,
    pub(crate) waiting: BTreeSet<u32>,
    pub(crate) counts: TaskCounts,
    pub(crate) by_rack: BTreeMap<RackId, u32>,
    pub(crate) by_worker: BTreeMap<WorkerId, u32>,
    /// Failures by task, for tasks that failed.
    pub(crate) failures: BTreeMap<u32, u32>,
    /// Workers on which a task of the job failed.
    pub(crate) failed_on: BTreeSet<WorkerId>,
    /// How often each task was preempted.
    pub(crate) preemptions: BTreeMap<u32, u32>,
    pub(crate) blocked: Option<Blocked>,
    /// Accepted under an earlier owner, so that tasks may still run unseen.
    pub(crate) recovering: bool,
    /// Since when a gang waits for room that is there but scattered.
    pub(crate) reserved_since: Option<Millis>,
}

impl Job {
    /// A job that has just been accepted.
    pub(crate) fn new(spec: JobSpec, place: u64, now: Millis) -> Self {
        let tasks = spec.tasks;
        Self {
            place,
            accepted_at: now,
            tasks: vec![TaskState::Waiting; tasks as usize],
            waiting: (0..tasks).collect(),
            counts: TaskCounts { waiting: tasks, ..TaskCounts::default() },
            by_rack: BTreeMap::new(),
            by_worker: BTreeMap::new(),
            failures: BTreeMap::new(),
            failed_on: BTreeSet::new(),
            preemptions: BTreeMap::new(),
            blocked: None,
            recovering: false,
            reserved_since: None,
            spec,
        }
    }

    /// A job of an earlier owner.
    pub(crate) fn recovered(durable: &DurableJob, place: u64, now: Millis) -> Self {
        let mut job = Self::new(durable.spec.clone(), place, now);
        job.recovering = true;
        job.blocked = Some(Blocked::Recovering);
        for (index, end) in &durable.ended {
            job.set_ended(*index, *end);
        }
        job
    }

    /// The task with this index.
    pub(crate) fn task_id(&self, index: u32) -> TaskId {
        TaskId { job: self.spec.id.clone(), index }
    }

    /// State of a task.
    pub(crate) fn task(&self, index: u32) -> Option<&TaskState> {
        self.tasks.get(index as usize)
    }

    /// Notes that a waiting task is placed.
    pub(crate) fn set_placed(
        &mut self,
        index: u32,
        worker: WorkerId,
        rack: &RackId,
        attempt: Attempt,
    ) {
        self.waiting.remove(&index);
        self.counts.waiting -= 1;
        self.counts.running += 1;
        *self.by_rack.entry(rack.clone()).or_default() += 1;
        *self.by_worker.entry(worker.clone()).or_default() += 1;
        self.tasks[index as usize] = TaskState::Placed { worker, attempt };
    }

    /// Notes that a placed task waits again.
    pub(crate) fn set_waiting(&mut self, index: u32, rack: &RackId) {
        self.leave_worker(index, rack);
        self.tasks[index as usize] = TaskState::Waiting;
        self.waiting.insert(index);
        self.counts.waiting += 1;
    }

    /// Notes that a placed task ended for good.
    pub(crate) fn set_placed_ended(&mut self, index: u32, rack: &RackId, end: TaskEnd) {
        self.leave_worker(index, rack);
        self.tasks[index as usize] = TaskState::Waiting;
        self.counts.waiting += 1;
        self.set_ended(index, end);
    }

    /// Notes that a waiting task ended for good.
    pub(crate) fn set_ended(&mut self, index: u32, end: TaskEnd) {
        if !matches!(self.task(index), Some(TaskState::Waiting)) {
            return;
        }
        self.waiting.remove(&index);
        self.counts.waiting -= 1;
        match end {
            TaskEnd::Done => self.counts.done += 1,
            TaskEnd::Failed => self.counts.failed += 1,
            TaskEnd::Unknown => self.counts.unknown += 1,
        }
        self.tasks[index as usize] = TaskState::Ended(end);
    }

    fn leave_worker(&mut self, index: u32, rack: &RackId) {
        let Some(TaskState::Placed { worker, .. }) = self.tasks.get(index as usize).cloned() else {
            return;
        };
        self.counts.running -= 1;
        decrement(&mut self.by_rack, rack);
        decrement(&mut self.by_worker, &worker);
    }

    /// State of the job.
    pub(crate) fn state(&self) -> JobState {
        let started =
            self.counts.running + self.counts.done + self.counts.failed + self.counts.unknown;
        if started == 0 { JobState::Waiting } else { JobState::Running }
    }
}

fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

/// All jobs that can still change.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    next_place: u64,
}

impl Jobs {
    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn next_place(&mut self) -> u64 {
        self.next_place += 1;
        self.next_place
    }

    pub(crate) fn insert(&mut self, job: Job) {
        self.jobs.insert(job.spec.id.clone(), job);
    }

    pub(crate) fn remove(&mut self, id: &JobId) -> Option<Job> {
        self.jobs.remove(id)
    }
}
