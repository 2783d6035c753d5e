//! What the cell has to be done, and how it is told the outcome.

use std::net::SocketAddr;
use std::rc::Rc;

use libs::compact_str::CompactString;
use types::{Millis, WorkerId};

use crate::model::{JobRecord, StepKey, TaskKey};

/// An order to start a task.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Where to.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub attempt: u32,
    /// Orders with a lower fence are refused by the worker from then on.
    pub fence: u64,
    /// The job, for the payload.
    pub record: Rc<JobRecord>,
    /// Checkpoint to go on from; empty if there is none.
    pub checkpoint: CompactString,
    /// Ticket of the advisor.
    pub ticket: Option<CompactString>,
    /// Time on the worker's clock after which the order is refused.
    pub deadline_ms: Millis,
}

/// An order to stop a run.
#[derive(Debug, Clone)]
pub struct StopOrder {
    /// Where to.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub attempt: u32,
    /// Orders with a lower fence are refused by the worker from then on.
    pub fence: u64,
}

/// An order to slow a run down, or to let it go again.
#[derive(Debug, Clone)]
pub struct PaceOrder {
    /// The run.
    pub run: StopOrder,
    /// Share of its work it may do, 0 to 100.
    pub percent: u32,
}

/// A call that renews the leases of a worker and reads its runs.
#[derive(Debug, Clone)]
pub struct LookOrder {
    /// Its address.
    pub address: SocketAddr,
    /// Orders with a lower fence are refused by the worker from then on.
    pub fence: u64,
    /// New end of the leases on the worker's clock; none before its clock is known.
    pub deadline_ms: Option<Millis>,
    /// Ends up to this number are stored and may be forgotten.
    pub ack: u64,
    /// Longest wait for an end.
    pub wait_ms: Millis,
}

/// Something to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Start a task.
    Start(Box<StartOrder>),
    /// Stop a run.
    Stop(StopOrder),
    /// Slow a run down or let it go.
    Pace(PaceOrder),
    /// Look at a worker at once.
    Look(WorkerId),
    /// Have a machine ask the advisor.
    Ask {
        /// Machine that makes the call.
        machine: CompactString,
        /// Number of the call.
        call: u64,
        /// Step to ask about.
        step: StepKey,
        /// Workers to name.
        workers: Vec<(WorkerId, u64)>,
    },
    /// A worker has seen a higher epoch: another leader is in charge.
    Deposed,
}

/// Why a worker refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher epoch.
    Fenced,
    /// A run with the same or a higher number was there.
    OldAttempt,
    /// The order's deadline has passed.
    Late,
    /// It does not fit.
    NoRoom,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another life of the worker than the one meant.
    OtherLife,
    /// The worker does not understand the order.
    Malformed,
}

/// Answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs.
    Started,
    /// It does not run.
    Refused(Refusal),
    /// The order was not sent.
    NotSent,
    /// No answer: it may run, now or later.
    Unanswered,
}
