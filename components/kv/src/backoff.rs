//! Exponential backoff with full jitter.

use libs::rand::{self, Rng};
use types::Millis;

/// Waiting times between retries.
#[derive(Debug, Clone)]
pub struct Backoff {
    first_ms: Millis,
    max_ms: Millis,
    failures: u32,
}

impl Backoff {
    /// A backoff whose upper bound doubles from `first_ms` to `max_ms`.
    pub fn new(first_ms: Millis, max_ms: Millis) -> Self {
        Self { first_ms, max_ms, failures: 0 }
    }

    /// Forgets earlier failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The time to wait after one more failure, drawn evenly up to the current bound.
    pub fn next_wait(&mut self) -> Millis {
        let doubled = self.first_ms.0.saturating_mul(1 << self.failures.min(20));
        let bound = doubled.min(self.max_ms.0).max(1);
        self.failures += 1;
        Millis(rand::rng().random_range(bound.div_ceil(4)..=bound))
    }
}
