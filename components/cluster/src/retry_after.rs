//! Computes the `Retry-After` value for callers refused during a store outage.
//!
//! An outage is expected to last one more second, or about as long again as it has lasted so far,
//! so the delay grows with its age. Jitter keeps callers that were refused together from returning
//! together.

use types::Millis;

/// Upper bound: callers make five attempts in total, and most outages end within a few seconds.
const MAX_RETRY_AFTER_S: u64 = 5;

/// Returns the whole seconds after which a refused caller should retry.
///
/// `outage_ms` is how long the store has been unavailable; `random` is uniform in 0.0..1.0.
pub fn retry_after_s(outage_ms: Millis, random: f64) -> u64 {
    let base_s = (1.0 + outage_ms.0 as f64 / 1_000.0).min(MAX_RETRY_AFTER_S as f64);
    let jittered_s = base_s * (0.7 + 0.7 * random);
    (jittered_s.round() as u64).clamp(1, MAX_RETRY_AFTER_S)
}
