//! Actions that the cell requests, and the answers that are reported back to it.

use std::net::SocketAddr;
use std::rc::Rc;

use libs::compact_str::CompactString;
use types::{Millis, WorkerId};

use crate::model::{JobRecord, StepKey, TaskKey};

/// An order to start a task.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Target worker.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Incarnation of the worker that the order is for, by its start in Unix milliseconds. No other
    /// one may carry it out.
    pub incarnation_unix_ms: u64,
    /// Task that the order is about.
    pub task: TaskKey,
    /// Attempt number of the run.
    pub attempt: u32,
    /// Fencing token: after this order the worker refuses orders with a lower one.
    pub fence: u64,
    /// Job of the task; holds the payload.
    pub record: Rc<JobRecord>,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: CompactString,
    /// Ticket issued by the advisor, if the queue needs one.
    pub ticket: Option<CompactString>,
    /// Time on the worker's clock after which the worker refuses the order.
    pub deadline_ms: Millis,
}

/// An order to stop a run.
#[derive(Debug, Clone)]
pub struct StopOrder {
    /// Target worker.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Incarnation of the worker that the order is for, by its start in Unix milliseconds. No other
    /// one may carry it out.
    pub incarnation_unix_ms: u64,
    /// Task that the order is about.
    pub task: TaskKey,
    /// Attempt number of the run.
    pub attempt: u32,
    /// Fencing token: after this order the worker refuses orders with a lower one.
    pub fence: u64,
}

/// An order to change the speed of a run.
#[derive(Debug, Clone)]
pub struct PaceOrder {
    /// Run to change.
    pub run: StopOrder,
    /// Allowed speed in percent of full speed, 0 to 100.
    pub percent: u32,
}

/// A call that renews the leases of a worker and reads its runs.
#[derive(Debug, Clone)]
pub struct PollOrder {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Incarnation of the worker that the call is for, by its start in Unix milliseconds. Any other one
    /// may only be asked for its state.
    pub incarnation_unix_ms: u64,
    /// Fencing token: after this order the worker refuses orders with a lower one.
    pub fence: u64,
    /// New expiry of the leases on the worker's clock; none if they are not renewed.
    pub deadline_ms: Option<Millis>,
    /// Ends up to this number are stored, so the worker may drop them.
    pub ack: u64,
    /// Longest time that the worker may hold the call while no run ends.
    pub wait_ms: Millis,
}

/// An action for the owner of the cell to carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Start a task.
    Start(Box<StartOrder>),
    /// Stop a run.
    Stop(StopOrder),
    /// Change the speed of a run.
    Pace(PaceOrder),
    /// Poll a worker without waiting for the next period.
    Poll(WorkerId),
    /// Request advice through one of the calling machines.
    RequestAdvice {
        /// Calling machine to use.
        caller: CompactString,
        /// Number that identifies the call.
        call: u64,
        /// Step to get advice for.
        step: StepKey,
        /// Workers to name, each with the start of its incarnation in Unix milliseconds.
        workers: Vec<(WorkerId, u64)>,
    },
    /// A worker has seen a higher epoch, so another leader has taken over.
    Deposed,
}

/// Why a worker refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker already had a run of the task with the same or a higher attempt number.
    StaleAttempt,
    /// The order's deadline has passed.
    DeadlinePassed,
    /// The worker lacks free resources.
    InsufficientResources,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The worker reports that it is unhealthy, and did not start the run.
    Unhealthy,
    /// Another incarnation of the worker answers, or another worker. The order did not reach it.
    WrongIncarnation,
    /// The worker could not parse the order.
    Malformed,
}

/// Answer to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker runs the task.
    Started,
    /// The worker refused the order, so the task does not run.
    Refused(Refusal),
    /// The order was not sent.
    NotSent,
    /// No answer: the task may be running, or may start later.
    Unanswered,
}
