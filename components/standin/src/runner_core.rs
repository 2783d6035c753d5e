//! State machine of a simulated runner: which requests it starts and runs. No threads or sockets.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::{BackendState, Millis, RequestId, RunnerReport};

use crate::run_log::{RunKind, RunLog, RunRecord};

/// A request to run, as parsed from its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Attempt number.
    pub attempt: u64,
    /// Epoch of the owner that granted the slot.
    pub epoch: u64,
    /// Incarnation of the runner that the slot was granted on.
    pub incarnation: u64,
    /// Latest start, exclusive, on the runner's clock.
    pub start_before_ms: Millis,
    /// Time at which the run is stopped, on the runner's clock.
    pub end_before_ms: Millis,
}

/// State of a runner: accepted epoch, incarnation and running requests.
pub struct RunnerCore {
    name: String,
    slots: u32,
    epoch: u64,
    incarnation: u64,
    /// Whether the runner reports that it is leaving.
    pub leaving: bool,
    /// Index in the run log of each running request.
    running: BTreeMap<RequestId, usize>,
    run_log: Arc<RunLog>,
}

impl RunnerCore {
    /// Creates an idle runner.
    pub fn new(name: String, slots: u32, incarnation: u64, run_log: Arc<RunLog>) -> Self {
        Self {
            name,
            slots,
            epoch: 0,
            incarnation,
            leaving: false,
            running: BTreeMap::new(),
            run_log,
        }
    }

    /// Name of the runner.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Answers a state poll. Returns `None` if `epoch` is lower than the highest one seen; from then
    /// on, only `epoch` and higher ones are accepted.
    pub fn report(&mut self, now: Millis, epoch: u64) -> Option<RunnerReport> {
        if epoch < self.epoch {
            return None;
        }
        self.epoch = epoch;
        Some(RunnerReport {
            state: if self.leaving { BackendState::Leaving } else { BackendState::Up },
            incarnation: self.incarnation,
            clock_ms: now,
            slots: self.slots,
            running: self.running.keys().cloned().collect(),
        })
    }

    /// Starts a request. Returns the reason as an error if it must not start.
    pub fn begin(&mut self, now: Millis, run_request: &RunRequest) -> Result<(), &'static str> {
        if run_request.epoch < self.epoch {
            return Err("stale epoch");
        }
        if run_request.incarnation != self.incarnation {
            return Err("runner restarted since the grant");
        }
        if now >= run_request.start_before_ms {
            return Err("past the latest start");
        }
        if self.running.len() >= self.slots as usize {
            return Err("no free slot");
        }
        if self.running.contains_key(&run_request.id) {
            return Err("request is already running");
        }
        let run = self.run_log.record_start(RunRecord {
            kind: RunKind::Request,
            id: run_request.id.to_string(),
            attempt: run_request.attempt,
            backend: self.name.clone(),
            started_ms: now.0,
            ended_ms: None,
            completed: false,
        });
        self.running.insert(run_request.id.clone(), run);
        Ok(())
    }

    /// Returns whether the request is running.
    pub fn is_running(&self, id: &RequestId) -> bool {
        self.running.contains_key(id)
    }

    /// Ends a request. Returns false if it is not running.
    pub fn end(&mut self, now: Millis, id: &RequestId, completed: bool) -> bool {
        let Some(run) = self.running.remove(id) else { return false };
        self.run_log.record_end(run, now.0, completed);
        true
    }

    /// Drops all running requests, as in a power cut, and starts with a new incarnation.
    pub fn restart(&mut self, now: Millis) {
        self.incarnation += 1;
        for (_, run) in std::mem::take(&mut self.running) {
            self.run_log.record_end(run, now.0, false);
        }
    }
}
