//! When a refused caller may come back.
//!
//! Load pattern: the store is gone for some seconds, and all callers are refused meanwhile. An
//! outage lasts a second more, or about as long again as so far, so the pause grows with its age;
//! it is drawn from a range, so that callers refused together do not come back together.

use types::Millis;

/// Longest pause: callers try five times in all, and most outages end within some seconds.
const LONGEST_S: u64 = 5;

/// Whole seconds after which a caller may come back.
///
/// `outage_ms` is how long the store has been gone; `draw` is evenly distributed in 0.0..1.0.
pub fn retry_after_s(outage_ms: Millis, draw: f64) -> u64 {
    let middle_s = (1.0 + outage_ms.0 as f64 / 1_000.0).min(LONGEST_S as f64);
    let spread_s = middle_s * (0.7 + 0.7 * draw);
    (spread_s.round() as u64).clamp(1, LONGEST_S)
}
