//! Tells a machine that has become slow from a process that has much to do.
//!
//! A busy process runs its timers late, and so does one on a machine that gives it a fraction of the
//! usual processor time. Only on the latter a fixed piece of work takes several times as long. By that
//! sign a leader on a machine slowed to a fifth is replaced within a second, before a backlog builds
//! up.

use std::time::{Duration, Instant};

use libs::hdrhistogram::Histogram;
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
const WINDOW: u64 = 300;
/// Measurements below which a window tells less than the one before.
const MIN_MEASUREMENTS: u64 = 10;
/// Quantile that is the usual duration: short, but not the shortest, which may be an error of the
/// clock.
const USUAL_QUANTILE: f64 = 0.2;
/// Longest duration that is told apart, and its significant digits.
const MAX_MEASURED_US: u64 = 10_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

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
#[derive(Debug)]
pub struct SpeedMonitor {
    /// Durations in microseconds, of this window and of the one before.
    window: Histogram<u64>,
    former: Histogram<u64>,
    slow_in_a_row: u32,
    last: Duration,
}

impl Default for SpeedMonitor {
    fn default() -> Self {
        Self {
            window: new_histogram(),
            former: new_histogram(),
            slow_in_a_row: 0,
            last: Duration::ZERO,
        }
    }
}

impl SpeedMonitor {
    /// Records a measurement. Returns whether the machine is slow.
    pub fn record(&mut self, took: Duration) -> bool {
        if took.is_zero() {
            // The clock did not advance, which says nothing about the machine.
            return self.is_slow();
        }
        self.last = took;
        let usual = self.usual();
        let is_slow = !usual.is_zero() && took >= usual * SLOW_FACTOR;
        self.slow_in_a_row = if is_slow { self.slow_in_a_row + 1 } else { 0 };
        self.window.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        if self.window.len() >= WINDOW {
            self.former = std::mem::replace(&mut self.window, new_histogram());
        }
        self.is_slow()
    }

    /// Usual duration; zero before the first measurement.
    pub fn usual(&self) -> Duration {
        let quantiles = [&self.window, &self.former]
            .into_iter()
            .filter(|histogram| histogram.len() >= MIN_MEASUREMENTS)
            .map(|histogram| histogram.value_at_quantile(USUAL_QUANTILE));
        let few = || self.window.value_at_quantile(USUAL_QUANTILE);
        Duration::from_micros(quantiles.min().unwrap_or_else(few))
    }

    /// The last measurement.
    pub fn last(&self) -> Duration {
        self.last
    }

    /// Whether the last measurement was slow, which a single interruption can cause.
    pub fn seems_slow(&self) -> bool {
        self.slow_in_a_row > 0
    }

    /// Whether the last measurements show a slow machine.
    pub fn is_slow(&self) -> bool {
        self.slow_in_a_row >= SLOW_IN_A_ROW
    }
}

fn new_histogram() -> Histogram<u64> {
    // The library accepts these constant bounds.
    Histogram::new_with_bounds(1, MAX_MEASURED_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!())
}
