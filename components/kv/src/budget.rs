//! Token buckets that keep the calls of one process within its part of the service's rates.

use types::Millis;

/// A token bucket.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// A full bucket that refills at `per_second` and holds one second's worth.
    pub(crate) fn new(per_second: u32, now: Millis) -> Self {
        let burst = f64::from(per_second.max(1));
        Self { per_second: burst, burst, tokens: burst, filled_at: now }
    }

    /// Takes one token, if there is one.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        let elapsed_s = now.since(self.filled_at).0 as f64 / 1000.0;
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.per_second).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
#[path = "../tests/unit/budget.rs"]
mod tests;
