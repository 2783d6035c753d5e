//! Slowness of the workers of one service.

use std::collections::{BTreeMap, VecDeque};

use types::WorkerId;

use crate::robust::{Estimate, clipped_mean, lower_median, weighted_median};

/// Runs that are remembered of a worker.
const MAX_RUNS: usize = 32;
/// Workers of all services that are remembered.
pub(crate) const MAX_WORKERS: usize = 6_000;
/// Distance from which a run counts less: one and a half times the usual spread of 0.3.
const RUN_CLIP: f64 = 0.45;
/// Runs in a row that differ the same way, after which earlier ones are forgotten: each by
/// `MIN_CHANGE` and most by `CHANGE`, a factor of 1.8. With the widest spread, 0.3, and a size that is as
/// unsure, this happens by chance in about one of 30,000 runs
/// (normal distribution).
const CHANGE_RUNS: usize = 6;
const MIN_CHANGE: f64 = 0.2;
const CHANGE: f64 = 0.6;
/// Runs before them that are needed to tell a change.
const MIN_FORMER_RUNS: usize = 2;
/// Variance from which a run tells little: that of a step without other runs, of a kind that is declared badly.
const WEAK_VARIANCE: f64 = 0.3;
/// Variance of the slowness of a worker of which nothing is known: one in three takes 2.5 times as long.
pub(crate) const UNKNOWN_VARIANCE: f64 = 0.2;
/// Distance within which workers are of one kind: a factor of 1.35.
const KIND_DISTANCE: f64 = 0.3;
/// Workers within this distance from which they count as a kind.
const MIN_KIND_WORKERS: usize = 4;
/// Bounds of the variance of the slowness of workers of one kind, 2% and 10%: 0.84 to 1.0 was measured, which
/// is 5%.
const MIN_KIND_VARIANCE: f64 = 0.02 * 0.02;
const MAX_KIND_VARIANCE: f64 = 0.1 * 0.1;
/// Runs from which a worker counts for the usual one.
const MIN_RUNS: usize = 3;
/// Part of the workers, in percent, that must be near the usual one for it to stay. A median alone would jump
/// between two kinds of workers of equal number.
const USUAL_PERCENT: usize = 35;
/// Greatest correction of the usual worker by declared run times, a factor of 1.28.
const MAX_SHIFT: f64 = 0.25;
/// Greatest distance of a kind of work from its declared times at which it counts for this.
const MAX_BIAS: f64 = 0.35;
/// Refreshes over which the correction is averaged: 10 s.
const SHIFTS_AVERAGED: u32 = 20;
/// Variance of the assumption that the usual worker is the median one.
const SHIFT_PRIOR_VARIANCE: f64 = 0.2 * 0.2;
/// Least variance of what a kind of work says about the usual worker.
const KIND_OF_WORK_VARIANCE: f64 = 0.05 * 0.05;

/// One worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    /// Logarithms of run time over size, with the variance of each; the newest last.
    runs: VecDeque<Estimate>,
    /// From its own runs.
    own: Option<Estimate>,
    /// From its own runs and its kind, relative to the usual worker.
    pub(crate) value: Option<Estimate>,
    pub(crate) last_used: u64,
}

impl WorkerState {
    /// A worker of which a former leader knew the slowness.
    pub(crate) fn restored(value: f64, runs: u8) -> Self {
        let run = Estimate::new(value, RUN_CLIP * RUN_CLIP / 2.0);
        let runs = VecDeque::from(vec![run; usize::from(runs).min(MAX_RUNS / 2)]);
        let mut state = Self { runs, ..Self::default() };
        state.own = state.mean_of(0, state.runs.len());
        state.value = state.own;
        state
    }

    pub(crate) fn run_count(&self) -> usize {
        self.runs.len()
    }

    fn mean_of(&self, from: usize, to: usize) -> Option<Estimate> {
        let runs = || self.runs.range(from..to).copied();
        let start = weighted_median(runs().map(|run| (run.mean, 1.0 / run.variance)).collect());
        let mut mean = clipped_mean(runs(), start, RUN_CLIP)?;
        // The spread of the tasks may be wider than the usual one.
        let spread = lower_median(runs().map(|run| (run.mean - start).abs()).collect()) * 1.48;
        mean.variance = mean.variance.max(spread * spread / (to - from) as f64);
        Some(mean)
    }

    /// Whether the runs from an index on differ from a mean so much that the worker has changed.
    fn differ_from(&self, mean: f64, from: usize) -> bool {
        let distances = || self.runs.range(from..).map(|run| run.mean - mean);
        let one_way =
            distances().all(|one| one > MIN_CHANGE) || distances().all(|one| one < -MIN_CHANGE);
        one_way && lower_median(distances().map(f64::abs).collect()) > CHANGE
    }

    fn record(&mut self, run: Estimate, known: &KnownWorkers) {
        let is_telling = |run: &&Estimate| run.variance < WEAK_VARIANCE;
        let telling = self.runs.iter().filter(is_telling).count();
        if run.variance >= WEAK_VARIANCE && telling >= MIN_RUNS {
            // It would push out one that tells more.
            return;
        }
        self.runs.push_back(run);
        if self.runs.len() > MAX_RUNS {
            self.runs.pop_front();
        }
        let latest = self.runs.len().saturating_sub(CHANGE_RUNS);
        if latest >= MIN_FORMER_RUNS
            && let Some(former) = self.mean_of(0, latest)
            && self.differ_from(with_kind(former, known, 0.0).mean, latest)
        {
            self.runs.drain(..latest);
        }
        self.own = self.mean_of(0, self.runs.len());
    }
}

/// The workers of one service.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) workers: BTreeMap<WorkerId, WorkerState>,
    /// As of the last refresh.
    known: KnownWorkers,
    /// Logarithm of the usual worker, in terms of the workers' own runs.
    usual: f64,
    /// Correction of the usual worker by declared run times.
    pub(crate) shift: f64,
    /// Number of times that it was determined.
    shifts: u32,
}

impl Fleet {
    pub(crate) fn record(&mut self, worker: &WorkerId, run: Estimate, clock: u64) {
        let state = self.workers.entry(worker.clone()).or_default();
        state.last_used = clock;
        state.record(run, &self.known);
        state.value = state.own.map(|own| with_kind(own, &self.known, self.usual));
    }

    /// Slowness relative to the median worker.
    pub(crate) fn slowness(&self, worker: &WorkerId) -> Option<Estimate> {
        self.workers.get(worker).and_then(|state| state.value)
    }

    /// Determines the usual worker and the kinds of workers.
    pub(crate) fn refresh(&mut self, biases: &[Estimate]) {
        let mut known: Vec<Estimate> = self
            .workers
            .values()
            .filter(|state| state.runs.len() >= MIN_RUNS)
            .filter_map(|state| state.own)
            .collect();
        known.sort_by(|left, right| left.mean.total_cmp(&right.mean));
        self.choose_usual(&known);
        self.choose_shift(biases);
        self.known = KnownWorkers::new(&known);
        for state in self.workers.values_mut() {
            state.value = state.own.map(|own| with_kind(own, &self.known, self.usual));
        }
    }

    fn choose_usual(&mut self, known: &[Estimate]) {
        let near: Vec<f64> = known
            .iter()
            .map(|one| one.mean)
            .filter(|mean| (mean - self.usual).abs() < KIND_DISTANCE)
            .collect();
        if known.len() < MIN_KIND_WORKERS {
            return;
        }
        self.usual = if near.len() * 100 >= known.len() * USUAL_PERCENT {
            lower_median(near)
        } else {
            lower_median(known.iter().map(|one| one.mean).collect())
        };
    }

    /// The kinds of work that are declared well keep their declared size. Those that are off by more than
    /// the usual worker can be are declared badly, and do not count.
    fn choose_shift(&mut self, biases: &[Estimate]) {
        let weighted: Vec<(f64, f64)> = biases
            .iter()
            .filter(|bias| bias.mean.abs() <= MAX_BIAS)
            .map(|bias| (bias.mean, 1.0 / (bias.variance + KIND_OF_WORK_VARIANCE)))
            .collect();
        if weighted.is_empty() {
            return;
        }
        let all: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        let trust = all / (all + 1.0 / SHIFT_PRIOR_VARIANCE);
        let target = (weighted_median(weighted) * trust).clamp(-MAX_SHIFT, MAX_SHIFT);
        self.shifts += 1;
        let part = 1.0 / f64::from(self.shifts.min(SHIFTS_AVERAGED));
        self.shift += (target - self.shift) * part;
    }

    /// Makes room for other workers: forgets those that were not used since `before`.
    pub(crate) fn evict(&mut self, before: u64) {
        self.workers.retain(|_, state| state.last_used >= before);
    }
}

/// What workers' own runs showed, by mean, with sums over all before each, so that the kind of a worker
/// among thousands is found at once.
#[derive(Debug, Default)]
struct KnownWorkers {
    means: Vec<f64>,
    sums: Vec<Sums>,
}

/// Sums by weight.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    weights: f64,
    means: f64,
    squares: f64,
    variances: f64,
}

impl KnownWorkers {
    fn new(sorted: &[Estimate]) -> Self {
        let mut sum = Sums::default();
        let mut sums = vec![sum];
        for one in sorted {
            let weight = 1.0 / (one.variance + MIN_KIND_VARIANCE);
            sum.weights += weight;
            sum.means += weight * one.mean;
            sum.squares += weight * one.mean * one.mean;
            sum.variances += weight * one.variance;
            sums.push(sum);
        }
        Self { means: sorted.iter().map(|one| one.mean).collect(), sums }
    }

    /// Workers like one with a mean: their mean, and how far they differ beyond what few runs of each
    /// explain. None if there are too few.
    fn kind_near(&self, mean: f64) -> Option<Estimate> {
        let from = self.means.partition_point(|one| *one < mean - KIND_DISTANCE);
        let to = self.means.partition_point(|one| *one <= mean + KIND_DISTANCE);
        if to < from + MIN_KIND_WORKERS {
            return None;
        }
        let (before, after) = (self.sums.get(from)?, self.sums.get(to)?);
        let weights = after.weights - before.weights;
        let mean = (after.means - before.means) / weights;
        let square = (after.squares - before.squares) / weights - mean * mean;
        let variance = square - (after.variances - before.variances) / weights;
        Some(Estimate::new(mean, variance.clamp(MIN_KIND_VARIANCE, MAX_KIND_VARIANCE)))
    }
}

/// Combines what a worker shows with what its kind lets expect, relative to the usual worker.
fn with_kind(own: Estimate, known: &KnownWorkers, usual: f64) -> Estimate {
    let prior = known.kind_near(own.mean).unwrap_or(Estimate::new(usual, UNKNOWN_VARIANCE));
    let part = own.variance / (own.variance + prior.variance);
    let mean = own.mean + part * (prior.mean - own.mean) - usual;
    Estimate::new(mean, part * prior.variance)
}
