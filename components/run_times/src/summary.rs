//! What the next leader is told.

use serde::{Deserialize, Serialize};

/// Largest encoded summary.
pub const MAX_SUMMARY_BYTES: usize = 64 * 1_024;
/// Format of the summary; a leader ignores those of other formats.
pub(crate) const FORMAT: u8 = 1;
/// Workers in a summary, of at most 7 bytes each.
pub(crate) const MAX_WORKER_ROWS: usize = 5_500;
/// Kinds of work in a summary, of at most 20 bytes each.
pub(crate) const MAX_KIND_ROWS: usize = 1_200;
/// Resolution of a logarithm that is stored in a byte: 2.5%, up to a factor of 24 either way.
pub(crate) const STEPS_PER_UNIT: f64 = 40.0;

/// Bounded extract of what was learned.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    pub(crate) format: u8,
    /// Time of writing in Unix milliseconds.
    pub written_unix_ms: u64,
    pub(crate) workers: Vec<WorkerRow>,
    pub(crate) kinds: Vec<KindRow>,
}

impl Summary {
    /// Whether this version understands it.
    pub fn is_readable(&self) -> bool {
        self.format == FORMAT
    }

    /// Number of workers and of kinds of work.
    pub fn counts(&self) -> (usize, usize) {
        (self.workers.len(), self.kinds.len())
    }
}

/// Slowness of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkerRow {
    /// Part of the stable hash of its id.
    pub(crate) id_hash: u32,
    /// Logarithm of its slowness in steps of 1 / `STEPS_PER_UNIT`.
    pub(crate) ln_slowness: i8,
    pub(crate) runs: u8,
}

/// Line of a kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct KindRow {
    /// Part of the stable hash of queue and image.
    pub(crate) kind_hash: u32,
    pub(crate) declared: f32,
    pub(crate) size: f32,
    pub(crate) slope_percent: u8,
    pub(crate) width_percent: u8,
    pub(crate) steps: u8,
}
