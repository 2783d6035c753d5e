//! Scores workers for the placement of a task.
//!
//! Load pattern: workers of different sizes, some of them slow, and tasks that take a third of a
//! small worker. Fast workers are preferred, since the last task decides when a step ends. Among
//! equally fast ones the tightest fit wins, so that large tasks still find a worker.

use types::{Millis, Resources};

use crate::model::StepSpec;
use crate::worker::Worker;

/// Weight of a worker's slowness relative to how tightly the task fits.
const SLOWNESS_WEIGHT: f64 = 2.0;
/// Penalty for a rack other than that of the data or of the step's other tasks.
const FAR_RACK_PENALTY: f64 = 4.0;

/// Score of placing a task of `step` on `worker` with `free` resources left; higher is better.
/// None if the task does not fit.
pub(crate) fn score(
    step: &StepSpec,
    worker: &Worker,
    free: &Resources,
    rack_of_others: Option<&types::RackId>,
) -> Option<f64> {
    if !free.covers(&step.charge()) {
        return None;
    }
    let after = free.minus(&step.charge());
    let left = after.dominant_share(&worker.report.capacity);
    let preferred_rack = step.data_rack.as_ref().or(rack_of_others);
    let far = preferred_rack.is_some() && preferred_rack != worker.report.rack.as_ref();
    let penalty = if far { FAR_RACK_PENALTY } else { 0.0 };
    Some(-SLOWNESS_WEIGHT * worker.slowness() - left - penalty)
}

/// Penalty of a worker for a task that was lost with its last one, in runs that would be lost if the
/// task is `on_trial` and crashes it, or that a conclusive trial is worth if the worker may crash
/// without the task.
pub(crate) fn loss_penalty(worker: &Worker, on_trial: bool, unix_ms: u64, now: Millis) -> f64 {
    /// Greater than any difference between two scores.
    const RUN_WEIGHT: f64 = 1_000.0;
    /// It has restarted lately, and may do so again.
    const UNSETTLED_RUNS: f64 = 10.0;
    /// A run that has just started there may crash it.
    const FRESH_RUNS: f64 = 5.0;
    let mut runs = if on_trial { worker.runs.len() as f64 } else { 0.0 };
    if !worker.is_settled(unix_ms) {
        runs += UNSETTLED_RUNS;
    }
    if worker.has_fresh_run(now) {
        runs += FRESH_RUNS;
    }
    RUN_WEIGHT * runs
}
