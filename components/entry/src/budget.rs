//! The retry budget: second tries may add only a part to live traffic.

use std::sync::{Mutex, PoisonError};

/// Tries allowed for each request, as a part of a token.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Most tokens that are saved up.
const MAX_TOKENS: f64 = 50.0;

/// Tokens for second tries.
pub(crate) struct RetryBudget {
    tokens: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: Mutex::new(MAX_TOKENS) }
    }
}

impl RetryBudget {
    /// Adds what one request allows.
    pub(crate) fn note_request(&self) {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        *tokens = (*tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes a token for a second try, if there is one.
    pub(crate) fn take(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
