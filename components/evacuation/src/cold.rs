//! Workers that have just started and are slow for some time.

use types::Millis;

/// By how much a cold worker is assumed to be slower if the configuration does not say it: a run takes
/// twice as long.
const DEFAULT_SLOWDOWN: f64 = 1.0;

/// Run time of a task that starts now on a worker, over its run time there once the worker is warm.
///
/// The worker is cold for another `cold_ms`, in which a run takes `1 + slowdown` times as long as
/// usual.
pub fn cold_slowness(cold_ms: Millis, slowdown: f64, estimate_ms: Millis) -> f64 {
    if cold_ms == Millis(0) {
        return 1.0;
    }
    let slowdown = if slowdown > 0.0 { slowdown } else { DEFAULT_SLOWDOWN };
    let whole_ms = estimate_ms.0.max(1) as f64;
    // Work that is done while the worker is cold, in milliseconds of a warm worker.
    let cold_work_ms = (cold_ms.0 as f64 / (1.0 + slowdown)).min(whole_ms);
    1.0 + slowdown * cold_work_ms / whole_ms
}
