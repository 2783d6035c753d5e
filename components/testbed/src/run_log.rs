//! Run log of the stand-ins, as their HTTP interface returns it.

use serde::Deserialize;

/// One run of a task or request.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RunRecord {
    /// `task` or `request`.
    pub kind: String,
    /// Id of the task or request.
    pub id: String,
    /// Attempt number.
    pub attempt: u64,
    /// Name of the worker or runner.
    #[serde(rename = "place")]
    pub backend: String,
    /// Start time on the stand-ins' clock.
    pub started_ms: u64,
    /// End time on the same clock; `None` while it runs.
    pub ended_ms: Option<u64>,
    /// Whether it ran to completion.
    pub completed: bool,
}

/// Summary of the run log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RunSummary {
    /// Number of runs started.
    pub runs: usize,
    /// Number of runs that ran to completion.
    pub completed: usize,
    /// Number of runs in progress.
    pub running: usize,
    /// Ids of tasks and requests of which two runs overlapped in time.
    #[serde(rename = "doubled")]
    pub overlapping_ids: Vec<String>,
    /// Starts that exceeded a worker's capacity.
    #[serde(rename = "overfilled")]
    pub overcommits: Vec<String>,
}
