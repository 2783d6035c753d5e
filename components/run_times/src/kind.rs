//! What the declared run time of one kind of work says about the true one.

use std::collections::VecDeque;

use crate::robust::{Estimate, lower_median};

/// Steps that are remembered: the kind is followed within some tens of steps.
const MAX_POINTS: usize = 48;
/// Factor by which each step counts less than the one after it, so that about 25 count.
const DECAY: f64 = 0.96;
/// Steps from which a kind is judged.
pub(crate) const MIN_POINTS: usize = 5;
/// Weight of the assumption that the run time is proportional to the declared one, as a sum of squares: that
/// of two steps whose declared times differ by a factor of two.
const SLOPE_PRIOR: f64 = 0.5;
/// Largest distance of a declared time from the usual one, in logarithms: a factor of 20. Nonsense beyond it
/// counts as this.
const MAX_DECLARED_DISTANCE: f64 = 3.0;
/// Standard deviation of ln(true / declared) while the kind is unknown: that of the worst kind measured.
pub(crate) const UNKNOWN_WIDTH: f64 = 0.9;
/// Least standard deviation of the sizes of a kind.
const MIN_WIDTH: f64 = 0.08;
/// Steps in a row that differ the same way, after which earlier ones are forgotten.
const SHIFT_POINTS: usize = 5;
/// Least distance of these, in logarithms and in widths.
const SHIFT_DISTANCE: f64 = 0.5;
const SHIFT_WIDTHS: f64 = 1.5;
/// Factor by which what was learned of errors that steps of one job share is forgotten with each step.
const JOB_DECAY: f64 = 0.97;
/// Sum of squares that stands for "steps of one job do not share their error".
const JOB_PRIOR: f64 = 0.5;

/// One step whose size is known.
#[derive(Debug, Clone, Copy)]
struct Point {
    id: u64,
    /// Logarithm of the declared time; none if it was 0.
    declared: Option<f64>,
    size: f64,
    /// Distance from what was expected before.
    surprise: f64,
}

/// Relation of the true to the declared run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Line {
    /// Usual declared time and usual size.
    pub(crate) declared: f64,
    pub(crate) size: f64,
    pub(crate) slope: f64,
    /// Standard deviation of sizes around the line.
    pub(crate) width: f64,
    /// Steps that it stands on.
    pub(crate) steps: f64,
}

impl Line {
    pub(crate) fn at(&self, declared: Option<f64>) -> Estimate {
        let distance = declared.map_or(0.0, |declared| declared - self.declared);
        let distance = distance.clamp(-MAX_DECLARED_DISTANCE, MAX_DECLARED_DISTANCE);
        let variance = self.width * self.width * (1.0 + 1.0 / self.steps.max(1.0));
        Estimate::new(self.size + self.slope * distance, variance)
    }
}

/// One kind of work.
#[derive(Debug, Default)]
pub(crate) struct Kind {
    pub(crate) service: usize,
    pub(crate) last_used: u64,
    points: VecDeque<Point>,
    next_id: u64,
    line: Option<Line>,
    /// What a former leader had learned; counts until there are enough steps.
    pub(crate) restored: Option<Line>,
    /// Sums over steps of what their own error and the mean error of earlier steps of the job were.
    job_product: f64,
    job_square: f64,
}

impl Kind {
    /// A kind of which a former leader may have known the line.
    pub(crate) fn with_former(restored: Option<Line>) -> Self {
        Self { restored, ..Self::default() }
    }

    pub(crate) fn line(&self) -> Option<&Line> {
        self.line.as_ref().or(self.restored.as_ref())
    }

    /// Records the size of a step, or changes it if `point` says that it was recorded. Returns the point.
    pub(crate) fn record(&mut self, point: Option<u64>, declared: Option<f64>, size: f64) -> u64 {
        if let Some(id) = point {
            if let Some(known) = self.points.iter_mut().find(|known| known.id == id) {
                known.size = size;
                self.fit();
            }
            return id;
        }
        let surprise = self.line().map_or(0.0, |line| size - line.at(declared).mean);
        let id = self.next_id;
        self.next_id += 1;
        self.points.push_back(Point { id, declared, size, surprise });
        if self.points.len() > MAX_POINTS {
            self.points.pop_front();
        }
        self.forget_if_shifted();
        self.fit();
        id
    }

    fn forget_if_shifted(&mut self) {
        let Some(line) = &self.line else { return };
        let limit = SHIFT_DISTANCE.max(SHIFT_WIDTHS * line.width);
        let first = self.points.len().saturating_sub(SHIFT_POINTS);
        if first < MIN_POINTS {
            return;
        }
        let latest = || self.points.range(first..).map(|point| point.surprise);
        if latest().all(|surprise| surprise > limit) || latest().all(|surprise| surprise < -limit) {
            self.points.drain(..first);
            self.restored = None;
        }
    }

    /// Mean distance of sizes from the declared times, and its variance.
    pub(crate) fn bias(&self) -> Option<Estimate> {
        let distances: Vec<f64> = self
            .points
            .iter()
            .filter_map(|point| point.declared.map(|declared| point.size - declared))
            .collect();
        if distances.len() < MIN_POINTS {
            return None;
        }
        let count = distances.len() as f64;
        let middle = lower_median(distances.clone());
        let spread = lower_median(distances.iter().map(|one| (one - middle).abs()).collect());
        // From the median distance to the standard deviation, and from that to the error of a median.
        let deviation = (spread * 1.48).max(MIN_WIDTH);
        Some(Estimate::new(middle, deviation * deviation * 1.57 / count))
    }

    fn fit(&mut self) {
        if self.points.len() < MIN_POINTS {
            self.line = None;
            return;
        }
        let usual = lower_median(self.points.iter().filter_map(|point| point.declared).collect());
        let near = |declared: f64| {
            declared.clamp(usual - MAX_DECLARED_DISTANCE, usual + MAX_DECLARED_DISTANCE)
        };
        let count = self.points.len();
        let points: Vec<(f64, f64, f64)> = (0..count)
            .zip(&self.points)
            .map(|(index, point)| {
                let age = (count - 1 - index) as f64;
                (point.declared.map_or(usual, near), point.size, DECAY.powf(age))
            })
            .collect();
        let first = fit_line(&points, None);
        self.line = Some(fit_line(&points, Some(&first)));
    }

    /// Records how far a step and the earlier steps of its job were off.
    pub(crate) fn record_job(&mut self, error: f64, earlier_error: f64) {
        self.job_product = self.job_product * JOB_DECAY + error * earlier_error;
        self.job_square = self.job_square * JOB_DECAY + earlier_error * earlier_error;
    }

    /// Part of the error of earlier steps of a job that a step of this kind is likely to share.
    pub(crate) fn shared_with_job(&self) -> f64 {
        (self.job_product / (self.job_square + JOB_PRIOR)).clamp(0.0, 1.0)
    }
}

/// Fits a line to (declared, size, weight). Points far from `former` count less.
fn fit_line(points: &[(f64, f64, f64)], former: Option<&Line>) -> Line {
    let weight = |declared: f64, size: f64, weight: f64| match former {
        None => weight,
        Some(line) => {
            let distance = (size - line.at(Some(declared)).mean).abs();
            let clip = 2.0 * line.width;
            weight * clip / distance.max(clip)
        }
    };
    let weighted = || points.iter().map(|(x, y, w)| (*x, *y, weight(*x, *y, *w)));
    let total: f64 = weighted().map(|(_, _, w)| w).sum::<f64>().max(f64::MIN_POSITIVE);
    let mean_x = weighted().map(|(x, _, w)| x * w).sum::<f64>() / total;
    let mean_y = weighted().map(|(_, y, w)| y * w).sum::<f64>() / total;
    let product: f64 = weighted().map(|(x, y, w)| (x - mean_x) * (y - mean_y) * w).sum();
    let square: f64 = weighted().map(|(x, _, w)| (x - mean_x) * (x - mean_x) * w).sum();
    let slope = ((product + SLOPE_PRIOR) / (square + SLOPE_PRIOR)).clamp(0.0, 1.5);
    let distance = |(x, y, _): (f64, f64, f64)| (y - mean_y - slope * (x - mean_x)).abs();
    let width = (lower_median(weighted().map(distance).collect()) * 1.48).max(MIN_WIDTH);
    Line { declared: mean_x, size: mean_y, slope, width, steps: total }
}
