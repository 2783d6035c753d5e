//! Memory that accepted jobs take.

use types::Millis;

use crate::cell::Cell;
use crate::job::{Job, WaitingWork};

/// Time after which the sum over all jobs is computed again.
const COUNT_PERIOD_MS: Millis = Millis(1_000);

/// Memory that the jobs of a leader may take and take now.
#[derive(Debug)]
pub(crate) struct JobsMemory {
    limit_bytes: u64,
    used_bytes: u64,
    counted_ms: Millis,
}

impl Default for JobsMemory {
    fn default() -> Self {
        Self { limit_bytes: u64::MAX, used_bytes: 0, counted_ms: Millis(0) }
    }
}

impl JobsMemory {
    /// Adds a new job.
    pub(crate) fn add(&mut self, bytes: u64) {
        self.used_bytes += bytes;
    }
}

impl Cell {
    /// Sets the memory that jobs may take. While they take half of it, recurring jobs that are behind their
    /// due times run one occurrence after the other.
    pub fn set_memory_limit(&mut self, limit_bytes: u64) {
        self.memory.limit_bytes = limit_bytes;
    }

    /// Memory that all known jobs take, in bytes: those that have ended until they are forgotten. The progress
    /// of the last second is not counted.
    pub fn memory_bytes(&self) -> u64 {
        self.memory.used_bytes
    }

    /// How much work of a recurring job may wait before its further occurrences are opened.
    pub(crate) fn open_limit(&self) -> WaitingWork {
        let is_short = self.memory.used_bytes >= self.memory.limit_bytes / 2;
        if is_short { WaitingWork::NONE } else { WaitingWork::USUAL_LIMIT }
    }

    /// Computes the memory of all jobs again, once a second.
    pub(crate) fn count_memory(&mut self, now: Millis) {
        if now.since(self.memory.counted_ms) >= COUNT_PERIOD_MS {
            self.memory.counted_ms = now;
            self.memory.used_bytes = self.jobs.values().map(Job::memory_bytes).sum();
        }
    }
}
