//! The process clock, the timer service, and cancellation on signals.

mod shutdown;
mod timer;

use std::sync::OnceLock;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use types::Millis;

pub use libs::tokio_util::sync::CancellationToken;
pub use shutdown::{cancel_on_signals, on_reload_signal};
pub use timer::Timer;

/// Time since the first call in this process. Monotonic; includes the time during which the
/// machine is suspended.
pub fn now() -> Millis {
    static START: OnceLock<Duration> = OnceLock::new();
    let elapsed = since_boot().saturating_sub(*START.get_or_init(since_boot));
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

fn since_boot() -> Duration {
    // Cannot fail on Linux 2.6.39 or later, which has CLOCK_BOOTTIME.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
