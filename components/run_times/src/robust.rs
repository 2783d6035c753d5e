//! Means that a few outliers do not move.

/// A value and its variance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Estimate {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

impl Estimate {
    pub(crate) fn new(mean: f64, variance: f64) -> Self {
        Self { mean, variance }
    }
}

/// The lower median; 0 of nothing. Of two values the lower is taken, since outliers are long runs.
pub(crate) fn lower_median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// Median of weighted values; 0 of nothing.
pub(crate) fn weighted_median(mut values: Vec<(f64, f64)>) -> f64 {
    values.sort_by(|left, right| left.0.total_cmp(&right.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut passed = 0.0;
    for (value, weight) in &values {
        passed += weight;
        if passed >= half {
            return *value;
        }
    }
    0.0
}

/// Mean by precision in which values further than `clip` from `start` count less. None of
/// nothing.
pub(crate) fn clipped_mean(
    values: impl Iterator<Item = Estimate>,
    start: f64,
    clip: f64,
) -> Option<Estimate> {
    let mut sum = 0.0;
    let mut precision = 0.0;
    for value in values {
        let distance = (value.mean - start).abs();
        // Beyond the clip the influence of a value falls with its distance.
        let part = clip / distance.max(clip);
        let weight = part * part / value.variance;
        sum += weight * value.mean;
        precision += weight;
    }
    (precision > 0.0).then(|| Estimate::new(sum / precision, 1.0 / precision))
}
