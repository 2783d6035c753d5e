//! When a leader is too slow to lead.
//!
//! Load pattern: the leader's machine turns several times slower for some seconds in the middle of
//! a burst. Its answers and renewals come late, leases on workers run out, and every call that is
//! repeated makes it worse. A hand-over to a process that is not slow costs half a second.

use types::Millis;

/// A regular task that runs this late shows that processor time is short.
const LATE_MS: Millis = Millis(60);
/// Late ticks, less those in time, after which the lead is handed over: more than a peak lasts.
const LATE_TICKS: u32 = 12;

/// Counts how often a regular task runs late.
#[derive(Debug, Default)]
pub struct LagWatch {
    late_ticks: u32,
}

impl LagWatch {
    /// The task ran this much later than it should. Returns whether this process is too slow.
    pub fn ticked(&mut self, late_by_ms: Millis) -> bool {
        if late_by_ms >= LATE_MS {
            self.late_ticks += 1;
        } else {
            self.late_ticks = self.late_ticks.saturating_sub(1);
        }
        self.late_ticks >= LATE_TICKS
    }

    /// Begins anew.
    pub fn reset(&mut self) {
        self.late_ticks = 0;
    }
}
