//! How far a client is behind the rate at which a request should arrive.

use types::Millis;

use crate::limits::MIN_BODY_BYTES_PER_S;

/// Progress of a request that is being received.
///
/// Bytes make up for time at [`MIN_BODY_BYTES_PER_S`], but never beyond the present: a client that has
/// sent much at once has no credit for a stall, and one that sends a byte from time to time has stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The time up to which the client has sent enough, in microseconds.
    on_time_until_us: u64,
}

impl Progress {
    /// Starts at a time.
    pub fn start(now: Millis) -> Self {
        Self { on_time_until_us: now.0 * 1_000 }
    }

    /// Counts bytes that have arrived.
    pub fn receive(&mut self, bytes: usize, now: Millis) {
        let made_up_us = bytes as u64 * 1_000_000 / MIN_BODY_BYTES_PER_S;
        self.on_time_until_us = (self.on_time_until_us + made_up_us).min(now.0 * 1_000);
    }

    /// How far the client is behind.
    pub fn lag(&self, now: Millis) -> Millis {
        now.since(Millis(self.on_time_until_us / 1_000))
    }
}
