//! Detects a leader that is short of processor time.
//!
//! When the leader's machine slows down several-fold during a burst, its answers and lease renewals
//! are late, worker leases expire, and every retried call adds load. Handing leadership over to a
//! process that is not slow takes half a second. See [`crate::SpeedMonitor`] for a quicker sign.

use types::Millis;

/// A periodic task that runs at least this late indicates a shortage of processor time.
const LATE_TICK_MS: Millis = Millis(60);
/// Lateness made up for by a tick on time.
const MADE_UP_MS: Millis = Millis(100);
/// Sum of the lateness, less what was made up for, at which leadership is handed over. Load peaks of
/// a second stay below this limit.
const LATENESS_LIMIT_MS: Millis = Millis(1_400);

/// Sums up how late a periodic task runs. Counting late ticks would take longer the later they are.
#[derive(Debug, Default)]
pub struct LagDetector {
    lateness_ms: Millis,
}

impl LagDetector {
    /// Records a run that was late by `late_by_ms`. Returns whether this process is too slow to
    /// lead.
    pub fn record_tick(&mut self, late_by_ms: Millis) -> bool {
        if late_by_ms >= LATE_TICK_MS {
            self.lateness_ms = self.lateness_ms + late_by_ms;
        } else {
            self.lateness_ms = self.lateness_ms - MADE_UP_MS;
        }
        self.lateness_ms >= LATENESS_LIMIT_MS
    }

    /// Discards all recorded ticks.
    pub fn reset(&mut self) {
        self.lateness_ms = Millis(0);
    }
}
