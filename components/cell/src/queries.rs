//! Questions that change nothing.

use types::{JobId, QueueId, WorkerId};

use crate::cell::Cell;
use crate::job::Job;
use crate::model::JobStatus;

impl Cell {
    /// State of a job as callers see it; none if it is not known here.
    pub fn status(&self, id: &JobId) -> Option<JobStatus> {
        self.jobs.get(id).map(Job::status)
    }

    /// Accepted jobs of a queue for which no task has started.
    pub fn pending(&self, queue: &QueueId) -> usize {
        let waits =
            |job: &&Job| job.record.queue == *queue && matches!(job.status(), JobStatus::Queued);
        self.jobs.values().filter(waits).count()
    }

    /// All workers that are listed or still matter.
    pub fn worker_ids(&self) -> Vec<WorkerId> {
        self.workers.keys().cloned().collect()
    }

    /// Jobs in memory.
    pub fn jobs_known(&self) -> u64 {
        self.jobs.len() as u64
    }

    /// Free and whole processor room of workers that take new work, in thousandths of a core.
    pub fn room(&self) -> (u64, u64) {
        let usable =
            self.workers.values().filter(|worker| worker.listed && !worker.report.draining);
        usable.fold((0, 0), |(free, whole), worker| {
            (free + worker.free().cpu_milli, whole + worker.report.capacity.cpu_milli)
        })
    }

    /// Whether a fence is the one in force for a worker, so that a higher one is another leader's.
    pub fn is_current_fence(&self, id: &WorkerId, fence: u64) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.fence(self.epoch) == fence)
    }

    /// Whether ends of this worker wait to be stored.
    pub fn has_unstored_ends(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| !worker.unstored_ends.is_empty())
    }
}
