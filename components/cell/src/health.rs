//! Tells bad workers from bad jobs.
//!
//! Load pattern: a few workers fail whatever they start, while some jobs fail wherever
//! they run. A worker is blamed for failures of different jobs in a row.

use types::{JobId, Millis};

/// Failures in a row, of different jobs, after which a worker gets no new work for a while.
const BAD_STREAK: u32 = 2;
/// First time without new work. Doubles with each further failure.
const REST_MS: Millis = Millis(2_000);
/// Longest time without new work, so that a worker that recovers is found again.
const MAX_REST_MS: Millis = Millis(8_000);
/// Time without new work after a task stood still or a call was refused as unhealthy.
const SUSPECT_MS: Millis = Millis(3_000);

/// How well a worker did lately.
#[derive(Debug, Default)]
pub(crate) struct Health {
    streak: u32,
    last_failed: Option<JobId>,
    rests_until_ms: Millis,
    /// Run time against the declared one, as a moving average; 0 before the first end.
    pub(crate) slowness: f64,
}

impl Health {
    pub(crate) fn done(&mut self, slowness: Option<f64>) {
        self.streak = 0;
        if let Some(latest) = slowness {
            /// Weight of the latest run in the moving average.
            const LATEST: f64 = 0.2;
            self.slowness = if self.slowness == 0.0 {
                latest
            } else {
                self.slowness * (1.0 - LATEST) + latest * LATEST
            };
        }
    }

    pub(crate) fn failed(&mut self, job: &JobId, now: Millis) {
        if self.last_failed.as_ref() == Some(job) && self.streak > 0 {
            return;
        }
        self.last_failed = Some(job.clone());
        self.streak += 1;
        if self.streak >= BAD_STREAK {
            let doubled = REST_MS.0 << (self.streak - BAD_STREAK).min(4);
            self.rests_until_ms = now + Millis(doubled).min(MAX_REST_MS);
        }
    }

    pub(crate) fn suspect(&mut self, now: Millis) {
        self.rests_until_ms = self.rests_until_ms.max(now + SUSPECT_MS);
    }

    pub(crate) fn rests(&self, now: Millis) -> bool {
        now < self.rests_until_ms
    }

    /// Its last task failed: not the place for the last attempt of another.
    pub(crate) fn doubtful(&self) -> bool {
        self.streak > 0
    }
}
