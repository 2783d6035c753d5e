//! The timeline: one JSON line for each state change, causally ordered across all processes.

mod merge;
mod writer;

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};
use types::{Epoch, HybridTimestamp, NodeId, PoolId};

pub use merge::{Filter, merge_lines};
pub use writer::Timeline;

/// Kind of a state change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The process is ready.
    ProcessReady,
    /// The process started a graceful shutdown.
    ProcessStopping,
    /// A version of the rules took effect in this process.
    RulesInForce,
    /// The process can no longer confirm that its rules are current.
    RulesUnconfirmed,
    /// A peer is suspected to be dead.
    PeerSuspected,
    /// A peer was heard for the first time, or again after it was suspected.
    PeerAlive,
    /// The process became the owner of a pool.
    PoolOwned,
    /// The process lost the ownership of a pool.
    PoolLost,
    /// The process handed over a pool.
    PoolReleased,
    /// A worker was attached: it accepted the owner's epoch and reported its tasks.
    WorkerAttached,
    /// A worker's lease has certainly expired, and its tasks have stopped with it.
    WorkerLapsed,
    /// A worker was quarantined because its tasks fail.
    WorkerQuarantined,
    /// A worker is about to be removed and gets no new tasks.
    WorkerLeaving,
    /// The state of a runner changed.
    RunnerState,
    /// A job was stored durably.
    JobAccepted,
    /// A job ended.
    JobEnded,
    /// A task was sent to a worker.
    TaskStarted,
    /// A task ended.
    TaskEnded,
    /// A task was preempted in favour of urgent work.
    TaskPreempted,
    /// A request was refused, or its outcome could not be determined.
    RequestRefused,
    /// The key-value service became available or unavailable.
    StoreState,
}

/// One line of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Causal timestamp.
    pub stamp: HybridTimestamp,
    /// The process that observed the change.
    pub node: NodeId,
    /// Kind of the change.
    pub kind: EventKind,
    /// The pool concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolId>,
    /// The epoch under which the process acts on the pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Id of the job, request, worker, runner or peer concerned, or the version of the rules.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub subject: CompactString,
    /// Additional information as text.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub detail: CompactString,
}
