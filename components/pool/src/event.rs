//! Inputs and outputs of a pool.

use std::net::SocketAddr;
use std::sync::Arc;

use config::{ReportFormat, Rules};
use libs::compact_str::CompactString;
use timeline::EventKind;
use types::{
    CallId, Epoch, JobCommand, JobQuery, Message, NodeId, RunReport, RunnerId, RunnerInfo,
    RunnerReport, SlotRequest, SyncAnswer, SyncRequest, TeamUsage, WorkerId, WorkerInfo,
};

/// Destination of a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyTo {
    /// The process that sent the message.
    pub node: NodeId,
    /// Address of that process.
    pub address: SocketAddr,
}

/// An input of a pool.
#[derive(Debug, Clone)]
pub enum Event {
    /// Periodic timer.
    Tick,
    /// New rules are in force.
    Rules(Arc<Rules>),
    /// The platform's list of back ends in this pool's failure domain, which may be stale.
    Backends(Vec<WorkerInfo>, Vec<RunnerInfo>),
    /// Try to become the owner.
    Claim,
    /// Hand the pool over.
    Release,
    /// A peer announced that it owns the pool in this epoch.
    PeerEpoch(Epoch),
    /// Whether leases may be renewed: false while this process may have been replaced as owner
    /// without noticing.
    MembershipConfirmed(bool),
    /// Resources in use by each team in all other pools.
    OtherPoolsUsage(Vec<TeamUsage>),
    /// Result of the key-value call with this token.
    Store(u64, Result<StoreAnswer, StoreFailure>),
    /// Result of the worker sync with this call number.
    WorkerAnswer(WorkerId, u64, Result<SyncAnswer, CallFailure>),
    /// Result of the runner poll with this call number.
    RunnerAnswer(RunnerId, u64, Result<RunnerReport, CallFailure>),
    /// An entry requests a slot.
    SlotRequest(ReplyTo, SlotRequest),
    /// An entry reports the end of a run.
    Report(RunReport),
    /// An entry sends a command that changes a job.
    Command(ReplyTo, CallId, JobCommand),
    /// An entry queries jobs.
    Query(ReplyTo, CallId, JobQuery),
}

/// Why a call to a back end failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No answer arrived; the call may have been received.
    Unanswered,
    /// The call was certainly not received.
    NotSent,
    /// The back end has seen a higher epoch: another process owns the pool.
    StaleEpoch,
}

/// A call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a key.
    Get {
        /// Key to read.
        key: CompactString,
    },
    /// Writes a key if its version equals the expected one.
    Swap {
        /// Key to write.
        key: CompactString,
        /// Expected version; zero if the key must not exist.
        expected: u64,
        /// New value.
        value: Vec<u8>,
    },
    /// Removes a key.
    Delete {
        /// Key to remove.
        key: CompactString,
    },
}

/// Successful result of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The key does not exist.
    Missing,
    /// Version and value of the key.
    Found(u64, Vec<u8>),
    /// The write took effect and gave the key this version.
    Swapped(u64),
    /// The key was removed.
    Deleted,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// The key has another version than expected.
    Conflict,
    /// No answer arrived; the call may have taken effect.
    Unanswered,
    /// The call certainly did not take effect.
    NotSent,
    /// The call was not sent, because this process has exhausted its call budget.
    Throttled,
}

/// An output of a pool, to be carried out by its process.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the key-value service and return the result under this token.
    Store(u64, StoreCall),
    /// Sync a worker and return the result under this call number.
    SyncWorker {
        /// The worker to call.
        worker: WorkerId,
        /// Base URL of the worker.
        url: CompactString,
        /// Number that identifies the call.
        call: u64,
        /// Whether the last call to the worker failed.
        suspect: bool,
        /// Message to send.
        request: SyncRequest,
    },
    /// Poll the state of a runner and return the result under this call number.
    PollRunner {
        /// The runner to call.
        runner: RunnerId,
        /// Base URL of the runner.
        url: CompactString,
        /// Format of the runner's reports.
        format: ReportFormat,
        /// Number that identifies the call.
        call: u64,
        /// Whether the last call to the runner failed.
        suspect: bool,
        /// Epoch of the owner. The runner rejects lower epochs from now on.
        epoch: Epoch,
    },
    /// Send a message to another process.
    Send(SocketAddr, Message),
    /// Add an event to the timeline.
    RecordEvent {
        /// Kind of the event.
        kind: EventKind,
        /// Epoch of the owner.
        epoch: Epoch,
        /// The job, task, worker or runner concerned, if any.
        subject: CompactString,
        /// Further details as text.
        detail: CompactString,
    },
    /// Increment a counter.
    IncrementCounter(&'static str),
}
