//! What a runner accepts and works on, without threads or sockets.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::{BackendState, Millis, RequestId, RunnerReport};

use crate::truth::{Run, RunKind, Truth};

/// A request to work on, as its headers say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOrder {
    /// The request.
    pub id: RequestId,
    /// The try.
    pub attempt: u64,
    /// Epoch of the owner that granted the slot.
    pub epoch: u64,
    /// Incarnation of the runner that the grant is for.
    pub incarnation: u64,
    /// On the runner's clock: not started after this.
    pub start_before: Millis,
    /// On the runner's clock: stopped at this time.
    pub end_before: Millis,
}

/// A runner's state.
pub struct RunnerCore {
    name: String,
    slots: u32,
    epoch: u64,
    incarnation: u64,
    /// Whether it is about to leave.
    pub leaving: bool,
    running: BTreeMap<RequestId, usize>,
    truth: Arc<Truth>,
}

impl RunnerCore {
    /// A runner that works on nothing.
    pub fn new(name: String, slots: u32, incarnation: u64, truth: Arc<Truth>) -> Self {
        Self { name, slots, epoch: 0, incarnation, leaving: false, running: BTreeMap::new(), truth }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Answers a poll. None if its epoch is stale. A higher epoch than any seen becomes the lowest
    /// accepted one.
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

    /// Starts work on a request. Errors: why it must not start.
    pub fn begin(&mut self, now: Millis, order: &RunOrder) -> Result<(), &'static str> {
        if order.epoch < self.epoch {
            return Err("stale epoch");
        }
        if order.incarnation != self.incarnation {
            return Err("restarted since");
        }
        if now >= order.start_before {
            return Err("too late");
        }
        if self.running.len() >= self.slots as usize {
            return Err("no free slot");
        }
        if self.running.contains_key(&order.id) {
            return Err("runs already");
        }
        let run = self.truth.start(Run {
            kind: RunKind::Request,
            id: order.id.to_string(),
            attempt: order.attempt,
            place: self.name.clone(),
            started_ms: now.0,
            ended_ms: None,
            completed: false,
        });
        self.running.insert(order.id.clone(), run);
        Ok(())
    }

    /// Whether it works on a request.
    pub fn works_on(&self, id: &RequestId) -> bool {
        self.running.contains_key(id)
    }

    /// Ends work on a request. False if it was ended before.
    pub fn end(&mut self, now: Millis, id: &RequestId, completed: bool) -> bool {
        let Some(run) = self.running.remove(id) else { return false };
        self.truth.end(run, now.0, completed);
        true
    }

    /// Stops everything without a trace, as a power cut does, and starts again.
    pub fn restart(&mut self, now: Millis) {
        self.incarnation += 1;
        for (_, run) in std::mem::take(&mut self.running) {
            self.truth.end(run, now.0, false);
        }
    }
}
