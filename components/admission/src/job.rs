//! What the decision needs to know about a job.

use forecast::{CoreMillis, CpuMilli, QueueForecast};
use types::{Millis, QueueId, Resources, TeamId};

use crate::allowance::{MAX_WEIGHT, usable_weight};

/// A job to be decided on.
#[derive(Debug, Clone, PartialEq)]
pub struct JobFacts {
    /// Its queue.
    pub queue: QueueId,
    /// Its team; none on a public queue.
    pub team: Option<TeamId>,
    /// Share of its team in jobs per second; 0 if it has none.
    pub weight: f64,
    /// Limit of its team; 0 is no limit.
    pub limit: Resources,
    /// Declared run time of its critical path.
    pub critical_path_ms: Millis,
    /// Objective for the time from acceptance to its end; 0 if the queue has none.
    pub objective_ms: Millis,
    /// Its work, by declared run times.
    pub work: CoreMillis,
    /// For each resource, the most that a task needs.
    pub largest_task: Resources,
    /// Processor capacity of its widest gang.
    pub widest_gang: CpuMilli,
    /// It runs at due times, not once on acceptance.
    pub recurs: bool,
}

/// Input on which no forecast can be based.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidInput {
    /// The weight of the team is zero or absent.
    NoWeight,
    /// The weight of the team is negative, not a number, or larger than any rate of jobs.
    AbsurdWeight,
    /// A task needs more than the limit of its team.
    LimitBelowTask,
    /// The queue has no objective.
    NoObjective,
    /// A task needs more than any worker has, or a gang more than the service has.
    WiderThanService,
}

impl InvalidInput {
    /// Number of kinds.
    pub const KINDS: usize = 5;

    /// What it means for the job, for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoWeight => "the team has no weight: its jobs count as within its share",
            Self::AbsurdWeight => "the weight of the team is absurd and is ignored",
            Self::LimitBelowTask => "a task needs more than the limit of the team: it waits",
            Self::NoObjective => "the queue has no objective: its jobs are never refused",
            Self::WiderThanService => "the job is wider than the service: it waits for workers",
        }
    }
}

impl JobFacts {
    /// Inputs of the job that do not depend on the forecast and are invalid.
    pub fn invalid_inputs(&self) -> Vec<InvalidInput> {
        let mut found = Vec::new();
        if self.team.is_some() && usable_weight(self.weight).is_none() {
            let is_absurd =
                !self.weight.is_finite() || self.weight < 0.0 || self.weight > MAX_WEIGHT;
            found.push(if is_absurd { InvalidInput::AbsurdWeight } else { InvalidInput::NoWeight });
        }
        if self.exceeds_limit() {
            found.push(InvalidInput::LimitBelowTask);
        }
        if self.objective_ms == Millis(0) {
            found.push(InvalidInput::NoObjective);
        }
        found
    }

    pub(crate) fn exceeds_limit(&self) -> bool {
        let exceeds = |limit: u64, need: u64| limit > 0 && need > limit;
        exceeds(self.limit.cpu_milli, self.largest_task.cpu_milli)
            || exceeds(self.limit.mem_mb, self.largest_task.mem_mb)
            || exceeds(self.limit.accels, self.largest_task.accels)
    }

    pub(crate) fn is_wider_than(&self, service: &QueueForecast) -> bool {
        self.largest_task.cpu_milli > service.largest_worker.0
            || self.widest_gang > service.capacity
    }
}
