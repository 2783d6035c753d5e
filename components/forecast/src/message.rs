//! The forecast as the leader's heartbeat answers carry it.

use serde::{Deserialize, Serialize};
use types::Millis;

use crate::units::{CpuMilli, ForecastVersion, NameHash};

/// Most queues in a forecast. With 64 bytes each, 40 processes and 4 answers a second they take
/// 1.3 Mbit/s of the leader's link, which may have 10.
pub const MAX_QUEUES: usize = 16;
/// Most teams in a forecast.
pub const MAX_TEAMS: usize = 32;

/// Estimates of the time until a new job starts; zero if it would not wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartEstimate {
    /// Lower estimate for the work that is served last: the backlog is worked off beside what comes in
    /// and is served first, since work that is in time goes before late work.
    pub lower_ms: Millis,
    /// Upper estimate for the work that is served last.
    pub upper_ms: Millis,
}

impl StartEstimate {
    /// Middle of the estimate.
    pub fn middle_ms(&self) -> Millis {
        (self.lower_ms + self.upper_ms).half()
    }
}

/// Forecast for one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueForecast {
    /// The queue.
    pub queue: NameHash,
    /// A job within the share of its team.
    pub within: StartEstimate,
    /// A job beyond the share of its team.
    pub beyond: StartEstimate,
    /// Largest likely rate at which the service does work.
    pub rate: CpuMilli,
    /// Least likely actual run time of its tasks over the declared one.
    pub run_percent: u16,
    /// Part of the service's capacity that is free in whole tasks like those of the queue.
    pub free_percent: u8,
    /// Capacity of the service.
    pub capacity: CpuMilli,
    /// Largest capacity of one of its workers.
    pub largest_worker: CpuMilli,
}

/// Forecast of a leader. A job of a queue that is not listed starts without a wait.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forecast {
    /// Number within the leader's term.
    pub version: ForecastVersion,
    /// Age of the counts from which it was made, when it was sent.
    pub age_ms: Millis,
    /// Queues in which a new job would wait.
    pub queues: Vec<QueueForecast>,
    /// Teams that exceeded their share lately.
    pub teams_beyond_share: Vec<NameHash>,
}

impl Forecast {
    /// Forecast for a queue; none if a job would start without a wait.
    pub fn queue(&self, queue: NameHash) -> Option<&QueueForecast> {
        self.queues.iter().find(|forecast| forecast.queue == queue)
    }
}
