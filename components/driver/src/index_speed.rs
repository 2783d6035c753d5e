//! Time of one search for a worker, by the count of workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use placement::{Index, Need, WorkerSlot};
use types::{Resources, Spread, WorkerId};

use crate::measure::quantile;

/// Searches for each size.
const SEARCHES: usize = 50_000;

/// Time of one search at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Workers.
    pub workers: usize,
    /// Median, in microseconds.
    pub p50_us: f64,
    /// 99th percentile, in microseconds.
    pub p99_us: f64,
    /// Searches with their grants a second.
    pub per_s: f64,
}

/// Measures at sizes up to all workers of the design size in one index.
pub fn measure() -> Vec<Speed> {
    [50, 200, 1_000, 4_900].into_iter().map(measure_one).collect()
}

fn measure_one(workers: usize) -> Speed {
    let mut random = StdRng::seed_from_u64(workers as u64);
    let mut index = Index::default();
    let capacity = Resources { cpu_milli: 32_000, mem_mb: 65_536, accels: 0 };
    for number in 0..workers {
        let rack = format!("r{}", number / 8).parse().unwrap_or_default();
        let slot = WorkerSlot { rack, capacity, free: capacity, open: true };
        index.insert(format!("w{number}").parse().unwrap_or_default(), slot);
    }
    let mut granted: Vec<(WorkerId, Resources)> = Vec::new();
    let mut times_us = Vec::with_capacity(SEARCHES);
    let (by_rack, by_worker, avoid) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
    let started = Instant::now();
    for _ in 0..SEARCHES {
        let cores = random.random_range(1..8);
        let resources = Resources {
            cpu_milli: cores * 1000,
            mem_mb: random.random_range(1..4) * cores * 1024,
            accels: 0,
        };
        let need = Need {
            resources: &resources,
            spread: if random.random_bool(0.2) { Spread::Spread } else { Spread::Pack },
            by_rack: &by_rack,
            by_worker: &by_worker,
            headroom_percent: 0,
            avoid: &avoid,
        };
        let began = Instant::now();
        let found = index.find(&need).cloned();
        if let Some(worker) = found {
            index.take(&worker, &resources);
            granted.push((worker, resources));
        }
        times_us.push(began.elapsed().as_secs_f64() * 1e6);
        // The cell stays nearly full.
        while granted.len() > workers * 7 {
            let (worker, resources) = granted.swap_remove(random.random_range(0..granted.len()));
            index.give(&worker, &resources);
        }
    }
    let per_s = SEARCHES as f64 / started.elapsed().as_secs_f64();
    times_us.sort_by(f64::total_cmp);
    Speed { workers, p50_us: quantile(&times_us, 0.5), p99_us: quantile(&times_us, 0.99), per_s }
}
