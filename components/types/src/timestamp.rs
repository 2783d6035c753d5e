//! Hybrid logical timestamps, which order events across processes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A hybrid logical timestamp: monotonic wall-clock time with a counter.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Wall-clock time since the Unix epoch.
    pub wall_ms: u64,
    /// Order of events within the same millisecond.
    pub counter: u32,
}

impl HybridTimestamp {
    /// The earliest timestamp that is later than `self` and `seen` and not before `wall_ms`.
    pub fn advance(self, seen: HybridTimestamp, wall_ms: u64) -> HybridTimestamp {
        let latest = self.max(seen);
        if wall_ms > latest.wall_ms {
            return HybridTimestamp { wall_ms, counter: 0 };
        }
        HybridTimestamp { wall_ms: latest.wall_ms, counter: latest.counter + 1 }
    }
}

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall_ms, self.counter)
    }
}
