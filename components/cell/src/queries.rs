//! Read-only queries.

use types::{JobId, QueueId, WorkerId};

use crate::cell::Cell;
use crate::job::Job;
use crate::model::JobStatus;
use crate::permission::StartPermission;
use crate::waiting::WaitingSteps;

impl Cell {
    /// State of a job as callers see it; none if the job is unknown.
    pub fn status(&self, id: &JobId) -> Option<JobStatus> {
        self.jobs.get(id).map(Job::status)
    }

    /// Which starts may be ordered.
    pub fn start_permission(&self) -> StartPermission {
        self.start_permission
    }

    /// Number of accepted jobs of a queue of which no task has started.
    pub fn queued_jobs(&self, queue: &QueueId) -> usize {
        let is_queued =
            |job: &&Job| job.record.queue == *queue && matches!(job.status(), JobStatus::Queued);
        self.jobs.values().filter(is_queued).count()
    }

    /// All known workers: the listed ones, and unlisted ones that are not removed yet.
    pub fn worker_ids(&self) -> Vec<WorkerId> {
        self.workers.keys().cloned().collect()
    }

    /// Steps that waited for workers in the last scheduling round.
    pub fn waiting_steps(&self) -> WaitingSteps {
        self.waiting
    }

    /// Number of jobs in memory.
    pub fn jobs_known(&self) -> u64 {
        self.jobs.len() as u64
    }

    /// Free and total processor capacity of the workers that accept new work, in millicores.
    pub fn cpu_capacity(&self) -> (u64, u64) {
        let accepting = self.workers.values().filter(|worker| worker.is_in_service());
        accepting.fold((0, 0), |(free, total), worker| {
            (free + worker.free().cpu_milli, total + worker.report.capacity.cpu_milli)
        })
    }

    /// Number of jobs that changed since they were last stored.
    pub fn dirty_jobs(&self) -> usize {
        self.dirty.len()
    }

    /// Machines that are waiting for an answer of the advisor, in percent.
    pub fn advisor_busy_percent(&self) -> u64 {
        self.callers.busy_percent()
    }

    /// Whether a fencing token is this leader's current one for a worker. If so, a higher one that
    /// the worker has seen is another leader's.
    pub fn is_current_fence(&self, id: &WorkerId, fence: u64) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.fence(self.epoch) == fence)
    }

    /// Whether run ends that the worker reported are not stored yet.
    pub fn has_unstored_ends(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| !worker.unstored_ends.is_empty())
    }
}
