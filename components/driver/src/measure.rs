//! What is measured of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use types::{JobKind, Millis, Priority};

use crate::workload::{Arrival, LASTS, Workload};

/// Period of samples of use.
pub const SAMPLE_MS: Millis = Millis(5_000);
/// Samples over which nearness to share is averaged: 10 minutes.
const WINDOW: usize = 120;
/// Part of the cell that must be in use, or waited for, for it to count as full.
const FULL: f64 = 0.97;

/// Class of a job, for waiting times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Urgent work.
    Urgent,
    /// Batch.
    Batch,
    /// Gangs.
    Gang,
    /// Services.
    Service,
}

impl Class {
    /// The class of an arrival.
    pub fn of(arrival: &Arrival) -> Self {
        match (arrival.priority, arrival.kind) {
            (Priority::Urgent, _) => Class::Urgent,
            (_, JobKind::Gang) => Class::Gang,
            (_, JobKind::Service) => Class::Service,
            _ => Class::Batch,
        }
    }
}

/// One sample of use, in cores by team.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Cores that run.
    pub running: Vec<f64>,
    /// Cores that wait.
    pub waiting: Vec<f64>,
}

/// Raw observations of one run.
#[derive(Debug, Default)]
pub struct Observed {
    /// Waiting time of each task that started, with its class and team.
    pub waits: Vec<(Class, usize, Millis)>,
    /// Tasks that waited when the run ended, with the time that they waited so far.
    pub unstarted: Vec<(Class, usize, Millis)>,
    /// Samples.
    pub samples: Vec<Sample>,
    /// Work thrown away by preemption, in core-seconds.
    pub wasted_core_s: f64,
    /// Tasks placed, and the time of the processor that this took.
    pub decisions: u64,
    /// Time for all decisions.
    pub deciding: Duration,
    /// Time for one decision, in microseconds, for each step that placed something.
    pub decision_us: Vec<f64>,
}

/// The result of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Measured {
    /// Waiting times by class, in seconds: median, 95th, 99th percentile.
    pub waits_s: BTreeMap<&'static str, [f64; 3]>,
    /// Part of the cell in use while work waited.
    pub packing: f64,
    /// Mean distance of teams from their share over 10 minutes of a full cell, as a part of the cell.
    pub share_mean: f64,
    /// Worst distance of any team.
    pub share_worst: f64,
    /// Worst shortfall of a small team.
    pub share_worst_small: f64,
    /// Work thrown away, in core-hours.
    pub wasted_core_h: f64,
    /// Decisions a second.
    pub decisions_per_s: f64,
    /// 99th percentile of the time for one decision, in microseconds.
    pub decision_p99_us: f64,
}

/// The value at a part of sorted values.
pub fn quantile(sorted: &[f64], part: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    sorted[((sorted.len() - 1) as f64 * part).round() as usize]
}

impl Observed {
    /// Sums up a run.
    pub fn finish(mut self, workload: &Workload) -> Measured {
        let total = workload.workers as f64 * workload.capacity.cpu_milli as f64 / 1000.0;
        let (share_mean, share_worst, share_worst_small) = self.share_distances(workload, total);
        self.decision_us.sort_by(f64::total_cmp);
        Measured {
            waits_s: self.waits_by_class(),
            packing: self.packing(total),
            share_mean,
            share_worst,
            share_worst_small,
            wasted_core_h: self.wasted_core_s / 3600.0,
            decisions_per_s: self.decisions as f64 / self.deciding.as_secs_f64().max(1e-9),
            decision_p99_us: quantile(&self.decision_us, 0.99),
        }
    }

    /// Tasks that never started count with the time that they waited until the end.
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
                waits.insert(name, [0.5, 0.95, 0.99].map(|part| quantile(&sorted, part)));
            }
        }
        waits
    }

    fn packing(&self, total: f64) -> f64 {
        let busy: Vec<f64> = self
            .samples
            .iter()
            .filter(|sample| {
                sample.running.iter().sum::<f64>() + sample.waiting.iter().sum::<f64>() > total
            })
            .map(|sample| sample.running.iter().sum::<f64>() / total)
            .collect();
        busy.iter().sum::<f64>() / busy.len().max(1) as f64
    }

    fn share_distances(&self, workload: &Workload, total: f64) -> (f64, f64, f64) {
        let teams = workload.shares.len();
        let (mut distances, mut worst, mut worst_small) = (Vec::new(), 0.0_f64, 0.0_f64);
        for window in self.samples.windows(WINDOW).step_by(WINDOW / 10) {
            let is_full = window.iter().all(|sample| {
                sample.running.iter().sum::<f64>() + sample.waiting.iter().sum::<f64>()
                    > total * FULL
            });
            if !is_full {
                continue;
            }
            let entitled: Vec<Vec<f64>> =
                window.iter().map(|sample| entitlements(sample, &workload.shares, total)).collect();
            for team in 0..teams {
                let used: f64 = window.iter().map(|sample| sample.running[team]).sum();
                let due: f64 = entitled.iter().map(|one| one[team]).sum();
                let distance = (used - due) / total / WINDOW as f64;
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

/// What each team should run: its share of the cell, at most what it asks for, where what some
/// leave is shared among the others.
fn entitlements(sample: &Sample, shares: &[u32], total: f64) -> Vec<f64> {
    let demand: Vec<f64> = sample
        .running
        .iter()
        .zip(&sample.waiting)
        .map(|(running, waiting)| running + waiting)
        .collect();
    let mut entitled = vec![0.0; shares.len()];
    let mut open: Vec<usize> = (0..shares.len()).filter(|team| demand[*team] > 0.0).collect();
    let mut left = total;
    while !open.is_empty() && left > 1e-6 {
        let weights: f64 = open.iter().map(|team| f64::from(shares[*team])).sum();
        let part = |team: usize| left * f64::from(shares[team]) / weights;
        let satisfied: Vec<usize> =
            open.iter().copied().filter(|team| demand[*team] <= part(*team)).collect();
        if satisfied.is_empty() {
            for team in &open {
                entitled[*team] = part(*team);
            }
            break;
        }
        for team in satisfied {
            entitled[team] = demand[team];
            open.retain(|other| *other != team);
        }
        left = total - entitled.iter().sum::<f64>();
    }
    entitled
}

/// The end of a run.
pub fn end() -> Millis {
    LASTS
}
