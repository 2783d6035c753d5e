//! The time line: one JSON line for each change of state, ordered causally over all processes.

mod merge;
mod writer;

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};
use types::{Epoch, NodeId, PoolId, Stamp};

pub use merge::{Filter, merge_lines};
pub use writer::Timeline;

/// What changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The process is ready.
    ProcessReady,
    /// The process began a graceful shutdown.
    ProcessStopping,
    /// Rules of a version are in force in this process.
    RulesInForce,
    /// The process can no longer confirm that its rules are current.
    RulesUnconfirmed,
    /// A peer is suspected to be dead.
    PeerSuspected,
    /// A peer was heard again or for the first time.
    PeerAlive,
    /// The process became owner of a pool.
    PoolOwned,
    /// The process is no longer owner of a pool.
    PoolLost,
    /// The process handed a pool over.
    PoolReleased,
    /// A worker is attached.
    WorkerAttached,
    /// A worker's lease has surely lapsed, with all its tasks.
    WorkerLapsed,
    /// A worker is quarantined because its tasks fail.
    WorkerQuarantined,
    /// A worker leaves and gets no new tasks.
    WorkerLeaving,
    /// A runner changed its state.
    RunnerState,
    /// A job is durable.
    JobAccepted,
    /// A job ended.
    JobEnded,
    /// A task was sent to a worker.
    TaskStarted,
    /// A task ended.
    TaskEnded,
    /// A task was preempted for urgent work.
    TaskPreempted,
    /// A request was refused or its outcome could not be found out.
    RequestRefused,
    /// The key-value service changed between answering and not answering.
    StoreState,
}

/// One line of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Causal time.
    pub stamp: Stamp,
    /// The process that saw the change.
    pub node: NodeId,
    /// What changed.
    pub kind: EventKind,
    /// The pool concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolId>,
    /// The epoch under which the process acts on the pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Id of the job, request, worker, runner or peer concerned.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub subject: CompactString,
    /// Anything else worth knowing.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub detail: CompactString,
}
