//! Tells a machine that has become slow from a process that has much to do.
//!
//! A busy process runs its timers late, and so does one on a machine that gives it a fraction of the
//! usual processor time. Only on the latter a fixed piece of work takes several times as long. After
//! that, a leader on a machine slowed to a fifth is replaced within a second, before its backlog
//! builds up.

use std::time::{Duration, Instant};

use libs::sha2::{Digest, Sha256};

/// Size of the block that is hashed: some ten microseconds on an idle processor.
const BLOCK_BYTES: usize = 16 * 1_024;
/// Hashes in a measurement. The quickest counts, since others may be interrupted.
const HASHES: usize = 3;
/// A measurement of at least this many times the usual duration is slow.
const SLOW_FACTOR: u32 = 3;
/// Slow measurements in a row that show a slow machine.
const SLOW_IN_A_ROW: u32 = 2;
/// Measurements after which the usual duration follows a lasting change.
const WINDOW: u32 = 300;

/// Measures how fast the processor is at the moment.
pub trait Processor {
    /// Time that a fixed piece of work takes.
    fn measure(&self) -> Duration;
}

/// Hashes a block of fixed size.
#[derive(Debug, Default)]
pub struct HashProbe;

impl Processor for HashProbe {
    fn measure(&self) -> Duration {
        let block = [0x5a; BLOCK_BYTES];
        let hash = |_| {
            let began = Instant::now();
            std::hint::black_box(Sha256::digest(std::hint::black_box(&block)));
            began.elapsed()
        };
        (0..HASHES).map(hash).min().unwrap_or_default()
    }
}

/// Judges measurements by the usual duration.
#[derive(Debug, Default)]
pub struct SpeedMonitor {
    /// Shortest duration in this window and in the one before.
    shortest: Option<Duration>,
    former_shortest: Option<Duration>,
    in_window: u32,
    slow_in_a_row: u32,
}

impl SpeedMonitor {
    /// Records a measurement. Returns whether the machine is slow.
    pub fn record(&mut self, took: Duration) -> bool {
        let is_slow = self.shortest().is_some_and(|usual| took >= usual * SLOW_FACTOR);
        self.slow_in_a_row = if is_slow { self.slow_in_a_row + 1 } else { 0 };
        self.shortest = Some(self.shortest.map_or(took, |shortest| shortest.min(took)));
        self.in_window += 1;
        if self.in_window >= WINDOW {
            self.in_window = 0;
            self.former_shortest = self.shortest.take();
        }
        self.is_slow()
    }

    fn shortest(&self) -> Option<Duration> {
        [self.shortest, self.former_shortest].into_iter().flatten().min()
    }

    /// Usual duration; zero before the first measurement.
    pub fn usual(&self) -> Duration {
        self.shortest().unwrap_or_default()
    }

    /// Whether the last measurements show a slow machine.
    pub fn is_slow(&self) -> bool {
        self.slow_in_a_row >= SLOW_IN_A_ROW
    }
}
