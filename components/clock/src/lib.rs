//! The process clock, the timer service and process-wide cancellation.

mod shutdown;
mod timer;

use std::sync::OnceLock;
use std::time::Instant;

use types::Millis;

pub use libs::tokio_util::sync::CancellationToken;
pub use shutdown::cancel_on_signals;
pub use timer::Timer;

/// Monotonic time since the first call in this process.
pub fn now() -> Millis {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
