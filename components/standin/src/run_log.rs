//! Log of all runs of tasks and requests, kept by the stand-ins as ground truth for tests.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Kind of work that a run belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunKind {
    /// A task on a worker.
    Task,
    /// A request on a runner.
    Request,
}

/// One run of a task or request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Whether a task or a request ran.
    pub kind: RunKind,
    /// Id of the task or request.
    pub id: String,
    /// Attempt number.
    pub attempt: u64,
    /// Name of the worker or runner.
    #[serde(rename = "place")]
    pub backend: String,
    /// Start time on the clock of the stand-in process.
    pub started_ms: u64,
    /// End time on the same clock; `None` while it runs.
    pub ended_ms: Option<u64>,
    /// Whether it ran to completion, not stopped or failed.
    pub completed: bool,
}

/// All runs, and every start that exceeded a worker's capacity.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<Vec<RunRecord>>,
    overcommits: Mutex<Vec<String>>,
}

impl RunLog {
    /// Records the start of a run and returns its index.
    pub fn record_start(&self, run: RunRecord) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    /// Records the end of the run at `index`.
    pub fn record_end(&self, index: usize, ended_ms: u64, completed: bool) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(index) {
            run.ended_ms = Some(ended_ms);
            run.completed = completed;
        }
    }

    /// Records a start that exceeded a worker's capacity.
    pub fn record_overcommit(&self, description: String) {
        self.overcommits.lock().unwrap_or_else(PoisonError::into_inner).push(description);
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns a description of every start that exceeded a worker's capacity.
    pub fn overcommits(&self) -> Vec<String> {
        self.overcommits.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the ids of tasks and requests of which two runs overlapped in time.
    pub fn overlapping_ids(&self) -> Vec<String> {
        let mut runs = self.runs();
        runs.sort_by(|a, b| (&a.id, a.started_ms).cmp(&(&b.id, b.started_ms)));
        let overlaps = |pair: &[RunRecord]| {
            let same_work = pair[0].id == pair[1].id && pair[0].kind == pair[1].kind;
            same_work && pair[0].ended_ms.is_none_or(|ended_ms| ended_ms > pair[1].started_ms)
        };
        runs.windows(2).filter(|pair| overlaps(pair)).map(|pair| pair[0].id.clone()).collect()
    }
}
