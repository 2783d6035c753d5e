//! Runs of one step.

use libs::compact_str::CompactString;
use types::{Millis, WorkerId};

use crate::model::WorkKind;
use crate::robust::{Estimate, clipped_mean, lower_median};

/// Runs of a step that are remembered.
pub(crate) const MAX_SAMPLES: usize = 64;
/// Distance from which a run counts less for the size of its step. Twice the usual spread.
const SAMPLE_CLIP: f64 = 0.5;
/// Variance of a task's run time within its step: 15 to 30% were measured.
pub(crate) const RUN_VARIANCE: f64 = 0.25 * 0.25;
/// Error of a run's projected time at one percent of progress. It falls with the percent shown, which is
/// rounded to a whole number and seen late.
const PERCENT_ERROR: f64 = 1.0;

/// What one run shows of the step's size.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) task: u32,
    pub(crate) worker: WorkerId,
    /// Logarithm of its whole run time, projected if it has not ended.
    pub(crate) ln_ms: f64,
    /// Percent on which it stands; 100 if it has ended.
    pub(crate) percent: u32,
    pub(crate) ended: bool,
    /// Its time depends on its own worker only.
    pub(crate) tells_worker: bool,
    /// The worker was compared with the step.
    pub(crate) judged: bool,
}

/// One step.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) kind: WorkKind,
    pub(crate) service: CompactString,
    /// Logarithm of the declared run time; none if it is 0.
    pub(crate) declared: Option<f64>,
    pub(crate) tasks: u32,
    pub(crate) samples: Vec<Sample>,
    /// Ends seen, also those that are no longer remembered.
    pub(crate) ended: u32,
    pub(crate) unjudged: u32,
    pub(crate) first_unjudged_ms: Millis,
    /// Where its size is recorded at its kind.
    pub(crate) point: Option<u64>,
}

impl StepState {
    /// Adds a run, or what is newly known of it.
    pub(crate) fn put(&mut self, sample: Sample) {
        if let Some(known) = self.samples.iter_mut().find(|known| known.task == sample.task) {
            // A task whose run was stopped starts again; the newer run counts.
            *known = sample;
            return;
        }
        if self.samples.len() >= MAX_SAMPLES {
            let oldest = self.samples.iter().position(|known| known.judged).unwrap_or(0);
            self.samples.remove(oldest);
        }
        self.samples.push(sample);
    }

    /// Size of the step as each run shows it, in the order of the samples.
    pub(crate) fn sizes(&self, slowness: impl Fn(&WorkerId) -> Estimate) -> Vec<Estimate> {
        let size = |sample: &Sample| {
            let slowness = slowness(&sample.worker);
            let shown = if sample.ended {
                0.0
            } else {
                let error = PERCENT_ERROR / f64::from(sample.percent.max(1));
                error * error
            };
            let variance = RUN_VARIANCE + slowness.variance + shown;
            Estimate::new(sample.ln_ms - slowness.mean, variance)
        };
        self.samples.iter().map(size).collect()
    }

    /// Size of the step by what its runs show, without that at `except`, and by what its kind lets
    /// expect.
    pub(crate) fn size(
        &self,
        sizes: &[Estimate],
        except: Option<usize>,
        prior: Option<Estimate>,
    ) -> Option<Estimate> {
        let others = sizes.iter().enumerate().filter(|(index, _)| except != Some(*index));
        let mut values: Vec<Estimate> = others.map(|(_, size)| *size).collect();
        let start = match (values.as_slice(), prior) {
            ([], _) => return prior,
            // One run of many may be a straggler.
            ([only], Some(prior)) if self.tasks > 1 => {
                clipped_mean([*only, prior].into_iter(), only.mean, f64::MAX)?.mean
            }
            _ => lower_median(values.iter().map(|value| value.mean).collect()),
        };
        values.extend(prior);
        clipped_mean(values.into_iter(), start, SAMPLE_CLIP)
    }
}
