//! Measures the scheduling rounds of a leader.

use types::Millis;

/// Scheduling rounds of one interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Load {
    /// Length of the interval.
    pub(crate) interval_ms: Millis,
    /// Number of scheduling rounds.
    pub(crate) rounds: u64,
    /// Sum of the durations of the rounds.
    pub(crate) rounds_ms: Millis,
}

/// Sums up scheduling rounds, an interval at a time.
#[derive(Debug)]
pub(crate) struct LoadMeter {
    began_ms: Millis,
    current: Load,
}

impl LoadMeter {
    /// Starts the first interval.
    pub(crate) fn new(now: Millis) -> Self {
        Self { began_ms: now, current: Load::default() }
    }

    /// Adds a scheduling round.
    pub(crate) fn record_round(&mut self, took_ms: Millis) {
        self.current.rounds += 1;
        self.current.rounds_ms = self.current.rounds_ms + took_ms;
    }

    /// Ends the interval if it has lasted for `period_ms`, and returns its load.
    pub(crate) fn take(&mut self, period_ms: Millis, now: Millis) -> Option<Load> {
        let interval_ms = now.since(self.began_ms);
        if interval_ms < period_ms {
            return None;
        }
        let load = Load { interval_ms, ..self.current };
        *self = Self::new(now);
        Some(load)
    }
}
