//! Which worker takes a task.
//!
//! Load pattern: workers of unlike sizes, some slow, and tasks of a third of a small worker.
//! Fast workers come first, since the last task decides when a step ends; among equals the
//! tightest fit, so that wide tasks find room.

use types::Resources;

use crate::model::StepSpec;
use crate::worker::Worker;

/// Weight of a worker's slowness against how tightly the task fits.
const SLOWNESS_WEIGHT: f64 = 2.0;
/// Penalty for a rack other than the data's, or than that of the step's other tasks.
const FAR_RACK_PENALTY: f64 = 4.0;

/// How well a task of `step` goes on `worker`, whose free room is `free`. Higher is better.
/// None if it does not fit.
pub(crate) fn score(
    step: &StepSpec,
    worker: &Worker,
    free: &Resources,
    rack_of_others: Option<&types::RackId>,
) -> Option<f64> {
    if !free.holds(&step.charge()) {
        return None;
    }
    let slowness = if worker.health.slowness > 0.0 { worker.health.slowness } else { 1.0 };
    let after = free.minus(&step.charge());
    let left = after.dominant_share(&worker.report.capacity);
    let preferred_rack = step.data_rack.as_ref().or(rack_of_others);
    let far = preferred_rack.is_some() && preferred_rack != worker.report.rack.as_ref();
    let penalty = if far { FAR_RACK_PENALTY } else { 0.0 };
    Some(-SLOWNESS_WEIGHT * slowness - left - penalty)
}
