//! What a step needs, and which workers it should use for that.

use types::Millis;

use crate::fleet::Fleet;

/// Weight of a worker's slowness relative to how tightly the task fits.
pub const SLOWNESS_WEIGHT: f64 = 2.0;
/// Penalty for a rack other than that of the data or of the step's other tasks.
const FAR_RACK_PENALTY: f64 = 4.0;
/// Advantage of a slow worker for work that can give up a fast one: more than any difference in fit,
/// less than that of a rack.
const SLOW_CLASS_ADVANTAGE: f64 = 3.0;
/// Weight of slowness for such work within a class, so that it avoids the slowest workers.
const SLOWNESS_WEIGHT_WITHIN_CLASS: f64 = 0.1;
/// Penalty of a worker on which the work would be late: more than all other differences.
const LATE_THERE_PENALTY: f64 = 100.0;
/// Margin on the longer run time of work with slack, since declared run times are inaccurate.
const SLACK_MARGIN: f64 = 1.25;
/// Time from the end of the last task until the job's end is known.
const END_REPORT_MS: f64 = 50.0;

/// What a step needs of a worker's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Need {
    /// The fastest worker; any may be used.
    Fastest,
    /// It is late soon: `slack_ms` is the time left if the rest of its job runs on usual workers.
    Urgent {
        /// Time left until its deadline after the rest of its job.
        slack_ms: Millis,
    },
    /// It can run longer: `slack_ms` is the time left if the rest of its job runs on usual workers.
    Deferrable {
        /// Time left until its deadline after the rest of its job.
        slack_ms: Millis,
    },
    /// It never ends, and no one waits for it on a slow worker.
    LongRunning,
}

/// A step that looks for workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// What it needs.
    pub need: Need,
    /// Run time of the rest of its job from this step on, on usual workers.
    pub left_ms: Millis,
    /// A fast worker may become free for it.
    pub has_fast_workers: bool,
}

/// A worker for one task of a step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Run time on it relative to a usual worker.
    pub slowness: f64,
    /// Share of its resources that stay free, from 0 to 1.
    pub left_share: f64,
    /// It is in another rack than the data or the step's other tasks.
    pub is_far: bool,
}

impl Work {
    /// Whether a task may use a worker now; if not, it should wait for a faster one.
    pub fn may_use(&self, fleet: &Fleet, slowness: f64) -> bool {
        if !fleet.is_slow(slowness) || !self.has_fast_workers || !self.is_late_on(slowness) {
            return true;
        }
        // Waiting for a fast worker is of use only while the step is in time there.
        self.is_late_on(fleet.fast_slowness())
    }

    /// Score of a worker; the highest one is used first.
    pub fn score(&self, fleet: &Fleet, choice: &Choice) -> f64 {
        let Choice { slowness, left_share, is_far } = *choice;
        let penalty = if is_far { FAR_RACK_PENALTY } else { 0.0 };
        let fastest_first = -SLOWNESS_WEIGHT * slowness - left_share - penalty;
        if !self.prefers_slow() || !fleet.has_slow() {
            return fastest_first;
        }
        if self.is_late_on(slowness) {
            return fastest_first - LATE_THERE_PENALTY;
        }
        let class = if fleet.is_slow(slowness) { SLOW_CLASS_ADVANTAGE } else { 0.0 };
        class - SLOWNESS_WEIGHT_WITHIN_CLASS * slowness - left_share - penalty
    }

    /// Place of a worker in the order in which a call for advice names workers; lower comes first.
    /// Workers with the same place are alike.
    pub fn advice_place(&self, fleet: &Fleet, slowness: f64) -> u8 {
        let is_slow = fleet.is_slow(slowness);
        match (self.prefers_slow(), is_slow) {
            _ if !fleet.has_slow() => 0,
            (true, true) if self.is_late_on(slowness) => 2,
            (true, _) => u8::from(!is_slow),
            (false, _) => u8::from(is_slow),
        }
    }

    fn prefers_slow(&self) -> bool {
        matches!(self.need, Need::Deferrable { .. } | Need::LongRunning)
    }

    /// Whether the job would miss its deadline if the rest of it ran on such workers.
    fn is_late_on(&self, slowness: f64) -> bool {
        let longer_ms = self.left_ms.0 as f64 * (slowness - 1.0);
        match self.need {
            Need::Urgent { slack_ms } => longer_ms + END_REPORT_MS > slack_ms.0 as f64,
            Need::Deferrable { slack_ms } => longer_ms * SLACK_MARGIN > slack_ms.0 as f64,
            Need::Fastest | Need::LongRunning => false,
        }
    }
}
