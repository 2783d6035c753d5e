//! How many calls are repeated.
//!
//! Load pattern: the leader runs out of processor time, so that all answers are taken late. Calls
//! that are repeated for lateness then double the load that made them late. Single lost answers
//! are a few in a hundred; more repeats than that show that the fault is here.

/// Repeats earned by each first call: lost answers are up to a twentieth on the users' sites.
const RETRIES_PER_CALL: f64 = 0.1;
/// Repeats that may be saved up, so that a new leader can repeat some of its first looks.
const MAX_SAVED_RETRIES: f64 = 40.0;

/// Repeats that are allowed now.
#[derive(Debug)]
pub struct RepeatBudget {
    available: f64,
}

impl Default for RepeatBudget {
    fn default() -> Self {
        Self { available: MAX_SAVED_RETRIES }
    }
}

impl RepeatBudget {
    /// A call is made for the first time.
    pub fn called(&mut self) {
        self.available = (self.available + RETRIES_PER_CALL).min(MAX_SAVED_RETRIES);
    }

    /// Takes a repeat; false if none is left.
    pub fn take(&mut self) -> bool {
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
