//! The retry budget, which limits retries to a fraction of the request rate.

use std::sync::{Mutex, PoisonError};

/// Tokens that each request adds. A retry costs one token.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Capacity of the budget, which is also its initial balance.
const MAX_TOKENS: f64 = 50.0;

/// Token bucket for retries, which requests refill.
pub(crate) struct RetryBudget {
    tokens: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: Mutex::new(MAX_TOKENS) }
    }
}

impl RetryBudget {
    /// Adds the tokens of one request.
    pub(crate) fn record_request(&self) {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        *tokens = (*tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes a token for a retry. Returns false if there is none.
    pub(crate) fn try_take(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
