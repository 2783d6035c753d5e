//! Classes of speed of the workers of a service.

/// A worker is slow if its slowness is more than this many times that of the fast workers. A task of
/// 0.8 s with the objective of urgent work, 1.5 times its run time and 250 ms, ends late on a worker
/// that is slower than this, however soon it starts.
const SLOW_RATIO: f64 = 1.8;

/// One worker in this many must be slow for the fleet to count as unequal. A few slow ones are avoided
/// by the score, and room reserved on fast workers for their sake would idle.
const MIN_SLOW_SHARE: usize = 10;

/// Speeds of the workers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fleet {
    /// Slowness of the fast workers; 0 without workers.
    fast_slowness: f64,
    has_slow: bool,
}

impl Fleet {
    /// Divides workers by their slowness.
    pub fn new(slowness_of_workers: impl Iterator<Item = f64>) -> Self {
        let mut all: Vec<f64> = slowness_of_workers.filter(|one| one.is_finite()).collect();
        all.sort_by(f64::total_cmp);
        let Some(lower_quartile) = all.get(all.len() / 4).copied() else { return Self::default() };
        let fleet = Self { fast_slowness: lower_quartile, has_slow: true };
        let slow = all.iter().filter(|slowness| fleet.is_slow(**slowness)).count();
        let has_slow = slow > 0 && slow * MIN_SLOW_SHARE >= all.len();
        Self { has_slow, ..fleet }
    }

    /// Whether a worker is slow.
    pub fn is_slow(&self, slowness: f64) -> bool {
        self.has_slow && slowness > self.fast_slowness * SLOW_RATIO
    }

    /// Whether some workers are slow.
    pub fn has_slow(&self) -> bool {
        self.has_slow
    }

    /// Run time on a fast worker relative to a usual one.
    pub fn fast_slowness(&self) -> f64 {
        self.fast_slowness
    }
}
