//! What really ran, as the stand-ins saw it.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Kind of a run.
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
pub struct Run {
    /// Kind.
    pub kind: RunKind,
    /// Id of the task or request.
    pub id: String,
    /// The try.
    pub attempt: u64,
    /// The worker or runner.
    pub place: String,
    /// When it started, on the stand-in's clock.
    pub started_ms: u64,
    /// When it ended; none while it runs.
    pub ended_ms: Option<u64>,
    /// Whether it ran to its end.
    pub completed: bool,
}

/// All runs, and each time a worker was given more than it holds.
#[derive(Debug, Default)]
pub struct Truth {
    runs: Mutex<Vec<Run>>,
    overfilled: Mutex<Vec<String>>,
}

impl Truth {
    /// Notes a start. Returns the number of the run.
    pub fn start(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    /// Notes an end.
    pub fn end(&self, run: usize, ended_ms: u64, completed: bool) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(run) = runs.get_mut(run) {
            run.ended_ms = Some(ended_ms);
            run.completed = completed;
        }
    }

    /// Notes that a worker was given more than it holds.
    pub fn overfilled(&self, what: String) {
        self.overfilled.lock().unwrap_or_else(PoisonError::into_inner).push(what);
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// All cases of overfilled workers so far.
    pub fn overfills(&self) -> Vec<String> {
        self.overfilled.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ids that ran in two places at once.
    pub fn doubled(&self) -> Vec<String> {
        let mut runs = self.runs();
        runs.sort_by(|a, b| (&a.id, a.started_ms).cmp(&(&b.id, b.started_ms)));
        let overlaps = |pair: &[Run]| {
            let same = pair[0].id == pair[1].id && pair[0].kind == pair[1].kind;
            same && pair[0].ended_ms.is_none_or(|ended_ms| ended_ms > pair[1].started_ms)
        };
        runs.windows(2).filter(|pair| overlaps(pair)).map(|pair| pair[0].id.clone()).collect()
    }
}
