//! In-memory state of jobs that have not ended.

use std::collections::{BTreeMap, BTreeSet};

use types::{Attempt, JobId, JobSpec, JobState, Millis, RackId, TaskCounts, TaskId, WorkerId};

use crate::record::{DurableJob, TaskEnd};

/// State of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Not started.
    Waiting,
    /// Placed on a worker. It may not have started yet.
    Placed { worker: WorkerId, attempt: Attempt },
    /// Has its final result. The journal record may not be committed yet.
    Ended(TaskEnd),
}

/// Why the next task of a job cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BlockedReason {
    /// No worker that accepts tasks has enough free capacity.
    NoCapacity,
    /// The team's slice of its limit is used up.
    Limit,
    /// Workers of the former owner are not attached yet.
    Recovering,
    /// No worker in the pool has enough total capacity.
    NeverFits,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    /// Order of acceptance.
    pub(crate) sequence: u64,
    pub(crate) accepted_at: Millis,
    pub(crate) tasks: Vec<TaskState>,
    pub(crate) waiting: BTreeSet<u32>,
    pub(crate) counts: TaskCounts,
    pub(crate) by_rack: BTreeMap<RackId, u32>,
    pub(crate) by_worker: BTreeMap<WorkerId, u32>,
    /// Number of failures by task index.
    pub(crate) failures: BTreeMap<u32, u32>,
    /// Workers on which a task of the job failed.
    pub(crate) failed_on: BTreeSet<WorkerId>,
    /// Number of preemptions by task index.
    pub(crate) preemptions: BTreeMap<u32, u32>,
    pub(crate) blocked: Option<BlockedReason>,
    /// Accepted under a former owner, so that its tasks may be running on workers that are not
    /// attached yet.
    pub(crate) recovering: bool,
    /// For a gang, when it first did not fit. For an urgent job, when tasks were last preempted for
    /// it.
    pub(crate) capacity_requested_at: Option<Millis>,
}

impl Job {
    pub(crate) fn new(spec: JobSpec, sequence: u64, now: Millis) -> Self {
        let tasks = spec.tasks;
        Self {
            sequence,
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
            capacity_requested_at: None,
            spec,
        }
    }

    /// Restores a job that was accepted under a former owner.
    pub(crate) fn recovered(durable: &DurableJob, sequence: u64, now: Millis) -> Self {
        let mut job = Self::new(durable.spec.clone(), sequence, now);
        job.recovering = true;
        job.blocked = Some(BlockedReason::Recovering);
        for (index, end) in &durable.ended {
            job.set_ended(*index, *end);
        }
        job
    }

    pub(crate) fn task_id(&self, index: u32) -> TaskId {
        TaskId { job: self.spec.id.clone(), index }
    }

    pub(crate) fn task(&self, index: u32) -> Option<&TaskState> {
        self.tasks.get(index as usize)
    }

    /// Records that a waiting task was placed.
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

    /// Returns a placed task to the waiting state.
    pub(crate) fn set_waiting(&mut self, index: u32, rack: &RackId) {
        self.leave_worker(index, rack);
        self.tasks[index as usize] = TaskState::Waiting;
        self.waiting.insert(index);
        self.counts.waiting += 1;
    }

    /// Records the final result of a placed task.
    pub(crate) fn set_placed_ended(&mut self, index: u32, rack: &RackId, end: TaskEnd) {
        self.leave_worker(index, rack);
        self.tasks[index as usize] = TaskState::Waiting;
        self.counts.waiting += 1;
        self.set_ended(index, end);
    }

    /// Records the final result of a waiting task.
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

/// All jobs that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    next_sequence: u64,
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

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    pub(crate) fn insert(&mut self, job: Job) {
        self.jobs.insert(job.spec.id.clone(), job);
    }

    pub(crate) fn remove(&mut self, id: &JobId) -> Option<Job> {
        self.jobs.remove(id)
    }
}
