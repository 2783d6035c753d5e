//! Detects a leader that is short of processor time.
//!
//! When the leader's machine slows down several-fold during a burst, its answers and lease renewals
//! are late, worker leases expire, and every retried call adds load. Handing leadership over to a
//! process that is not slow takes half a second.

use types::Millis;

/// A periodic task that runs at least this late indicates a shortage of processor time.
const LATE_TICK_MS: Millis = Millis(60);
/// Surplus of late ticks over ticks on time at which leadership is handed over. Short load peaks
/// stay below this limit.
const LATE_TICK_LIMIT: u32 = 12;

/// Counts how often a periodic task runs late.
#[derive(Debug, Default)]
pub struct LagDetector {
    late_ticks: u32,
}

impl LagDetector {
    /// Records a run that was late by `late_by_ms`. Returns whether this process is too slow to
    /// lead.
    pub fn record_tick(&mut self, late_by_ms: Millis) -> bool {
        if late_by_ms >= LATE_TICK_MS {
            self.late_ticks += 1;
        } else {
            self.late_ticks = self.late_ticks.saturating_sub(1);
        }
        self.late_ticks >= LATE_TICK_LIMIT
    }

    /// Discards all recorded ticks.
    pub fn reset(&mut self) {
        self.late_ticks = 0;
    }
}
