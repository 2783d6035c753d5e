//! Tells bad workers from bad jobs.
//!
//! Load pattern: a few workers fail whatever they start, while some jobs fail wherever
//! they run. A worker is blamed for failures of different jobs in a row.

use types::{JobId, Millis};

/// Failures in a row, of different jobs, after which a worker gets no new work for a while.
const BACKOFF_FAILURES: u32 = 2;
/// First time without new work. Doubles with each further failure.
const BACKOFF_MS: Millis = Millis(2_000);
/// Longest time without new work, so that a worker that recovers is found again.
const MAX_BACKOFF_MS: Millis = Millis(8_000);
/// Time without new work after a task stood still or a call was refused as unhealthy.
const SUSPECT_BACKOFF_MS: Millis = Millis(3_000);

/// How well a worker did lately.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failure_streak: u32,
    last_failed_job: Option<JobId>,
    backoff_until_ms: Millis,
    /// Run time against the declared one, as a moving average; 0 before the first end.
    pub(crate) slowness: f64,
}

impl Health {
    pub(crate) fn record_success(&mut self, slowness: Option<f64>) {
        self.failure_streak = 0;
        if let Some(latest) = slowness {
            /// Weight of the latest run in the moving average.
            const LATEST_WEIGHT: f64 = 0.2;
            self.slowness = if self.slowness == 0.0 {
                latest
            } else {
                self.slowness * (1.0 - LATEST_WEIGHT) + latest * LATEST_WEIGHT
            };
        }
    }

    pub(crate) fn record_failure(&mut self, job: &JobId, now: Millis) {
        if self.last_failed_job.as_ref() == Some(job) && self.failure_streak > 0 {
            return;
        }
        self.last_failed_job = Some(job.clone());
        self.failure_streak += 1;
        if self.failure_streak >= BACKOFF_FAILURES {
            let doubled = BACKOFF_MS.0 << (self.failure_streak - BACKOFF_FAILURES).min(4);
            self.backoff_until_ms = now + Millis(doubled).min(MAX_BACKOFF_MS);
        }
    }

    pub(crate) fn mark_suspect(&mut self, now: Millis) {
        self.backoff_until_ms = self.backoff_until_ms.max(now + SUSPECT_BACKOFF_MS);
    }

    pub(crate) fn in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until_ms
    }

    /// Its last task failed: not the place for the last attempt of another.
    pub(crate) fn failed_last_run(&self) -> bool {
        self.failure_streak > 0
    }
}
