//! Measures the time to find a worker in the placement index, by number of workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use placement::{TaskRequirements, WorkerIndex, WorkerSlot};
use types::{PlacementPolicy, Resources, WorkerId};

use crate::measure::quantile;

/// Number of searches per index size.
const SEARCHES: usize = 50_000;

/// Search times at one index size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SearchTimes {
    /// Number of workers in the index.
    pub workers: usize,
    /// Median search time.
    pub p50_us: f64,
    /// 99th percentile of the search time.
    pub p99_us: f64,
    /// Searches with their grants per second.
    pub per_s: f64,
}

/// Measures several index sizes, up to one index with all 4,900 workers of the design size.
pub fn measure() -> Vec<SearchTimes> {
    [50, 200, 1_000, 4_900].into_iter().map(measure_size).collect()
}

fn measure_size(workers: usize) -> SearchTimes {
    let mut rng = StdRng::seed_from_u64(workers as u64);
    let mut index = WorkerIndex::default();
    let capacity = Resources { cpu_milli: 32_000, mem_mb: 65_536, accels: 0 };
    for number in 0..workers {
        let rack = format!("r{}", number / 8).parse().unwrap_or_default();
        let slot = WorkerSlot { rack, capacity, free: capacity, schedulable: true };
        index.insert(format!("w{number}").parse().unwrap_or_default(), slot);
    }
    let mut granted: Vec<(WorkerId, Resources)> = Vec::new();
    let mut times_us = Vec::with_capacity(SEARCHES);
    let (by_rack, by_worker, avoid) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
    let started_at = Instant::now();
    for _ in 0..SEARCHES {
        let cores = rng.random_range(1..8);
        let resources = Resources {
            cpu_milli: cores * 1000,
            mem_mb: rng.random_range(1..4) * cores * 1024,
            accels: 0,
        };
        let need = TaskRequirements {
            resources: &resources,
            spread: if rng.random_bool(0.2) {
                PlacementPolicy::Spread
            } else {
                PlacementPolicy::Pack
            },
            by_rack: &by_rack,
            by_worker: &by_worker,
            headroom_percent: 0,
            avoid: &avoid,
        };
        let search_started_at = Instant::now();
        let found = index.find(&need).cloned();
        if let Some(worker) = found {
            index.allocate(&worker, &resources);
            granted.push((worker, resources));
        }
        times_us.push(search_started_at.elapsed().as_secs_f64() * 1e6);
        // Releases random grants, so that the workers stay nearly full.
        while granted.len() > workers * 7 {
            let (worker, resources) = granted.swap_remove(rng.random_range(0..granted.len()));
            index.release(&worker, &resources);
        }
    }
    let per_s = SEARCHES as f64 / started_at.elapsed().as_secs_f64();
    times_us.sort_by(f64::total_cmp);
    SearchTimes {
        workers,
        p50_us: quantile(&times_us, 0.5),
        p99_us: quantile(&times_us, 0.99),
        per_s,
    }
}
