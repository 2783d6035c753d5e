//! Observations of one run, and the metrics computed from them.

use std::collections::BTreeMap;
use std::time::Duration;

use types::{JobKind, Millis, Priority};

use crate::workload::{Arrival, RUN_DURATION_MS, Workload};

/// Interval between samples of the cores in use.
pub const SAMPLE_MS: Millis = Millis(5_000);
/// Number of samples, 10 minutes, over which a team's distance from its share is averaged.
const SHARE_WINDOW_SAMPLES: usize = 120;
/// Fraction of all cores that must be in use or waited for, so that a sample counts as full.
const FULL_FRACTION: f64 = 0.97;

/// Class of a job, by which waiting times are reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Jobs of any kind with urgent priority.
    Urgent,
    /// Batch jobs.
    Batch,
    /// Gang jobs.
    Gang,
    /// Service jobs.
    Service,
}

impl Class {
    /// Returns the class of a job.
    pub fn of(arrival: &Arrival) -> Self {
        match (arrival.priority, arrival.kind) {
            (Priority::Urgent, _) => Class::Urgent,
            (_, JobKind::Gang) => Class::Gang,
            (_, JobKind::Service) => Class::Service,
            _ => Class::Batch,
        }
    }
}

/// Cores in use and waited for at one moment, by team.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Cores of running tasks.
    pub running: Vec<f64>,
    /// Cores of waiting tasks.
    pub waiting: Vec<f64>,
}

/// Raw observations of one run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Class, team and waiting time of each task that started.
    pub waits: Vec<(Class, usize, Millis)>,
    /// Class, team and waiting time so far of each task that had not started at the end of the run.
    pub unstarted: Vec<(Class, usize, Millis)>,
    /// Samples in order of time.
    pub samples: Vec<Sample>,
    /// Work lost to runs that were stopped before they completed, such as preempted ones.
    pub wasted_core_s: f64,
    /// Number of tasks placed.
    pub decisions: u64,
    /// Total time of the steps of the core that placed tasks.
    pub decision_time: Duration,
    /// Time per decision for each step that placed tasks.
    pub decision_us: Vec<f64>,
}

/// Metrics of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunMetrics {
    /// Waiting times by class, in seconds: median, 95th, 99th percentile.
    pub waits_s: BTreeMap<&'static str, [f64; 3]>,
    /// Mean fraction of all cores in use while more cores were asked for than there are.
    pub packing: f64,
    /// Mean distance of a team from its entitlement, over windows of 10 minutes in which the cluster
    /// is full, as a fraction of all cores.
    pub share_mean: f64,
    /// Largest such distance of any team.
    pub share_worst: f64,
    /// Largest shortfall of a small team from its entitlement.
    pub share_worst_small: f64,
    /// Work lost to runs that were stopped before they completed.
    pub wasted_core_h: f64,
    /// Decisions per second of decision time.
    pub decisions_per_s: f64,
    /// 99th percentile of the time per decision.
    pub decision_p99_us: f64,
}

/// Quantile of sorted values; NaN if there are none.
pub fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    sorted[((sorted.len() - 1) as f64 * fraction).round() as usize]
}

impl Observations {
    /// Computes the metrics of the run.
    pub fn into_metrics(mut self, workload: &Workload) -> RunMetrics {
        let total_cores = workload.workers as f64 * workload.capacity.cpu_milli as f64 / 1000.0;
        let (share_mean, share_worst, share_worst_small) =
            self.share_distances(workload, total_cores);
        self.decision_us.sort_by(f64::total_cmp);
        RunMetrics {
            waits_s: self.waits_by_class(),
            packing: self.packing(total_cores),
            share_mean,
            share_worst,
            share_worst_small,
            wasted_core_h: self.wasted_core_s / 3600.0,
            decisions_per_s: self.decisions as f64 / self.decision_time.as_secs_f64().max(1e-9),
            decision_p99_us: quantile(&self.decision_us, 0.99),
        }
    }

    /// Quantiles of waiting times. Tasks that never started count with their wait until the end.
    fn waits_by_class(&self) -> BTreeMap<&'static str, [f64; 3]> {
        let classes = [
            (Class::Urgent, "urgent"),
            (Class::Batch, "batch"),
            (Class::Gang, "gang"),
            (Class::Service, "service"),
        ];
        let mut waits = BTreeMap::new();
        for (class, name) in classes {
            let all =
                self.waits.iter().chain(&self.unstarted).filter(|(other, ..)| *other == class);
            let mut sorted: Vec<f64> = all.map(|(_, _, wait)| wait.0 as f64 / 1000.0).collect();
            sorted.sort_by(f64::total_cmp);
            if !sorted.is_empty() {
                waits.insert(name, [0.5, 0.95, 0.99].map(|fraction| quantile(&sorted, fraction)));
            }
        }
        waits
    }

    fn packing(&self, total_cores: f64) -> f64 {
        let busy: Vec<f64> = self
            .samples
            .iter()
            .filter(|sample| {
                sample.running.iter().sum::<f64>() + sample.waiting.iter().sum::<f64>()
                    > total_cores
            })
            .map(|sample| sample.running.iter().sum::<f64>() / total_cores)
            .collect();
        busy.iter().sum::<f64>() / busy.len().max(1) as f64
    }

    fn share_distances(&self, workload: &Workload, total_cores: f64) -> (f64, f64, f64) {
        let teams = workload.shares.len();
        let (mut distances, mut worst, mut worst_small) = (Vec::new(), 0.0_f64, 0.0_f64);
        for window in self.samples.windows(SHARE_WINDOW_SAMPLES).step_by(SHARE_WINDOW_SAMPLES / 10)
        {
            let is_full = window.iter().all(|sample| {
                sample.running.iter().sum::<f64>() + sample.waiting.iter().sum::<f64>()
                    > total_cores * FULL_FRACTION
            });
            if !is_full {
                continue;
            }
            let entitlements_by_sample: Vec<Vec<f64>> = window
                .iter()
                .map(|sample| entitlements(sample, &workload.shares, total_cores))
                .collect();
            for team in 0..teams {
                let used: f64 = window.iter().map(|sample| sample.running[team]).sum();
                let entitled: f64 = entitlements_by_sample.iter().map(|cores| cores[team]).sum();
                let distance = (used - entitled) / total_cores / SHARE_WINDOW_SAMPLES as f64;
                distances.push(distance.abs());
                worst = worst.max(distance.abs());
                if workload.small_teams.contains(&team) {
                    worst_small = worst_small.max(-distance);
                }
            }
        }
        let mean = distances.iter().sum::<f64>() / distances.len().max(1) as f64;
        (mean, worst, worst_small)
    }
}

/// Cores each team is entitled to: its weighted share of all cores, capped at its demand. What a
/// team leaves unused is divided among the others by weight (weighted max-min fairness).
fn entitlements(sample: &Sample, shares: &[u32], total_cores: f64) -> Vec<f64> {
    let demand: Vec<f64> = sample
        .running
        .iter()
        .zip(&sample.waiting)
        .map(|(running, waiting)| running + waiting)
        .collect();
    let mut entitled = vec![0.0; shares.len()];
    let mut unsatisfied: Vec<usize> =
        (0..shares.len()).filter(|team| demand[*team] > 0.0).collect();
    let mut remaining = total_cores;
    while !unsatisfied.is_empty() && remaining > 1e-6 {
        let weights: f64 = unsatisfied.iter().map(|team| f64::from(shares[*team])).sum();
        let weighted_share = |team: usize| remaining * f64::from(shares[team]) / weights;
        let satisfied: Vec<usize> = unsatisfied
            .iter()
            .copied()
            .filter(|team| demand[*team] <= weighted_share(*team))
            .collect();
        if satisfied.is_empty() {
            for team in &unsatisfied {
                entitled[*team] = weighted_share(*team);
            }
            break;
        }
        for team in satisfied {
            entitled[team] = demand[team];
            unsatisfied.retain(|other| *other != team);
        }
        remaining = total_cores - entitled.iter().sum::<f64>();
    }
    entitled
}

/// Virtual duration of a run.
pub fn run_duration_ms() -> Millis {
    RUN_DURATION_MS
}
