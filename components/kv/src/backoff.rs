//! Exponential backoff with jitter.

use libs::rand::{self, Rng};
use types::Millis;

/// The waits between retries of a call.
#[derive(Debug, Clone)]
pub struct Backoff {
    first_ms: Millis,
    max_ms: Millis,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose upper bound doubles from `first_ms` to `max_ms`.
    pub fn new(first_ms: Millis, max_ms: Millis) -> Self {
        Self { first_ms, max_ms, failures: 0 }
    }

    /// Resets the bound to `first_ms` after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the wait after another failure, drawn uniformly from a quarter of the current bound up to
    /// the bound.
    pub fn next_wait(&mut self) -> Millis {
        let doubled_ms = self.first_ms.0.saturating_mul(1 << self.failures.min(20));
        let bound_ms = doubled_ms.min(self.max_ms.0).max(1);
        self.failures += 1;
        Millis(rand::rng().random_range(bound_ms.div_ceil(4)..=bound_ms))
    }
}
