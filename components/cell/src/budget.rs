//! Retry budget for calls to workers.
//!
//! Load pattern: the leader is short of processor time, so it processes all answers late. Calls
//! that it retries for their lateness then double the load that made them late. Lost answers are
//! a few percent of the calls; a higher rate of retries means that the leader itself is slow.

/// Retries earned by each first call. Twice the share of answers lost on the users' sites, which
/// is up to 5%.
const RETRIES_PER_CALL: f64 = 0.1;
/// Most retries that can be saved up, and those that a new leader starts with for its first polls.
const MAX_SAVED_RETRIES: f64 = 40.0;

/// Token bucket that limits retries to a share of the calls.
#[derive(Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: MAX_SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// Counts a call that is made for the first time.
    pub fn record_call(&mut self) {
        self.available = (self.available + RETRIES_PER_CALL).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
