//! Questions that change nothing.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::{JobId, Millis, QueueId, WorkerId};

use crate::cell::Cell;
use crate::job::Job;
use crate::model::JobStatus;
use crate::worker::Worker;

/// A worker that the next leader must look at.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Start of its life, Unix milliseconds.
    pub life_unix_ms: u64,
}

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

    /// The reports of all workers, to be stored for the next leader.
    pub fn roster(&self, now: Millis) -> Vec<RosterRow> {
        let row = |worker: &Worker| RosterRow {
            worker: worker.report.id.clone(),
            address: worker.report.address,
            life_unix_ms: worker.life_unix_ms,
        };
        // One that drained and is no longer listed has left.
        let matters = |worker: &&Worker| {
            worker.listed || (!worker.report.draining && now < worker.lease_over_ms())
        };
        self.workers.values().filter(matters).map(row).collect()
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
        self.workers.get(id).is_some_and(|worker| !worker.unstored.is_empty())
    }
}
