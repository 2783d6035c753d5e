//! What the stand-ins say really ran.

use serde::Deserialize;

/// One run of a task or request.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TruthRun {
    /// `task` or `request`.
    pub kind: String,
    /// Id of the task or request.
    pub id: String,
    /// The try.
    pub attempt: u64,
    /// The worker or runner.
    pub place: String,
    /// When it started.
    pub started_ms: u64,
    /// When it ended; none while it runs.
    pub ended_ms: Option<u64>,
    /// Whether it ran to its end.
    pub completed: bool,
}

/// All runs in numbers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TruthSummary {
    /// Runs started.
    pub runs: usize,
    /// Runs that came to their end.
    pub completed: usize,
    /// Runs in progress.
    pub running: usize,
    /// Ids that ran in two places at once.
    pub doubled: Vec<String>,
    /// Cases of a worker given more than it holds.
    pub overfilled: Vec<String>,
}
