//! Tells faulty workers from faulty jobs.
//!
//! Load pattern: a few workers fail every run, while some jobs fail on every worker. Only
//! consecutive failures of different jobs count against a worker.

use types::{JobId, Millis};

/// Consecutive failures of different jobs after which a worker gets no new work for a while.
const BACKOFF_FAILURES: u32 = 2;
/// First back-off; doubles with each further failure.
const BACKOFF_MS: Millis = Millis(2_000);
/// Longest back-off, so that a worker that has recovered is used again.
const MAX_BACKOFF_MS: Millis = Millis(8_000);
/// Back-off after a task stalled, or a start got no answer, was not sent or was refused as
/// unhealthy.
const SUSPECT_BACKOFF_MS: Millis = Millis(3_000);

/// Recent success of a worker.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failure_streak: u32,
    last_failed_job: Option<JobId>,
    backoff_until_ms: Millis,
    /// Moving average of the ratio of actual to declared run time; 0 before the first end.
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

    /// Whether its last run failed. Such a worker should not get the last attempt of a task.
    pub(crate) fn failed_last_run(&self) -> bool {
        self.failure_streak > 0
    }
}
