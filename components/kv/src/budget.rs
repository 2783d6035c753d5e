//! Token buckets that keep a process's calls within its share of the key-value service's rate limits.

use types::Millis;

/// Token bucket for the calls of one kind.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate_per_s` and holds the tokens of one second.
    pub(crate) fn new(rate_per_s: u32, now: Millis) -> Self {
        let burst = f64::from(rate_per_s.max(1));
        Self { rate_per_s: burst, burst, tokens: burst, filled_at: now }
    }

    /// Takes a token. Returns false if there is none.
    pub(crate) fn try_take(&mut self, now: Millis) -> bool {
        let elapsed_s = now.since(self.filled_at).0 as f64 / 1000.0;
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.burst);
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
