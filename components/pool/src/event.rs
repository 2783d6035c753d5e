//! What a pool is told and what it asks its process to do.

use std::net::SocketAddr;
use std::sync::Arc;

use config::{Rules, VendorForm};
use libs::compact_str::CompactString;
use timeline::EventKind;
use types::{
    CallId, Epoch, JobCommand, JobQuery, Message, NodeId, RequestAsk, RunReport, RunnerId,
    RunnerInfo, RunnerReport, SyncAnswer, SyncRequest, TeamUse, WorkerId, WorkerInfo,
};

/// Where a reply goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyTo {
    /// The process that asked.
    pub node: NodeId,
    /// Its address.
    pub address: SocketAddr,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// New rules are in force.
    Rules(Arc<Rules>),
    /// The platform's list of back ends in this pool's failure domain, which may be out of date.
    Backends(Vec<WorkerInfo>, Vec<RunnerInfo>),
    /// This process should try to become the owner.
    Claim,
    /// This process should hand the pool over.
    Release,
    /// A peer was heard to hold this epoch.
    PeerEpoch(Epoch),
    /// Whether leases may be renewed: false while this process may have been replaced unnoticed.
    Trusted(bool),
    /// What teams use in all other pools.
    UseElsewhere(Vec<TeamUse>),
    /// The key-value service answered, or did not.
    Store(u64, Result<StoreAnswer, StoreFailure>),
    /// A worker answered a sync, or did not.
    WorkerAnswer(WorkerId, u64, Result<SyncAnswer, CallFailure>),
    /// A runner answered a poll, or did not.
    RunnerAnswer(RunnerId, u64, Result<RunnerReport, CallFailure>),
    /// An entry asks for a slot.
    Ask(ReplyTo, RequestAsk),
    /// An entry reports the end of a slot's use.
    Report(RunReport),
    /// An entry changes a job.
    Command(ReplyTo, CallId, JobCommand),
    /// An entry asks about jobs.
    Query(ReplyTo, CallId, JobQuery),
}

/// Why a call to a back end has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The call may have arrived.
    Unanswered,
    /// The call surely did not arrive.
    NotSent,
    /// The back end has seen a higher epoch, so that another process owns the pool.
    StaleEpoch,
}

/// A call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a key.
    Get {
        /// The key.
        key: CompactString,
    },
    /// Writes a key if its version is as expected.
    Swap {
        /// The key.
        key: CompactString,
        /// Expected version; zero if the key must not exist.
        expected: u64,
        /// New value.
        value: Vec<u8>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: CompactString,
    },
}

/// An answer of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The key does not exist.
    Missing,
    /// The key's version and value.
    Found(u64, Vec<u8>),
    /// The write took effect; the new version.
    Swapped(u64),
    /// The key is gone.
    Deleted,
}

/// Why a call to the key-value service has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// A write found another version.
    Conflict,
    /// The call may have taken effect.
    Unanswered,
    /// The call surely did not take effect.
    NotSent,
    /// The call was not sent, because this process has used up its rate for the moment.
    Throttled,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the key-value service and report its answer under this token.
    Store(u64, StoreCall),
    /// Sync a worker and report its answer under this call number.
    SyncWorker {
        /// The worker.
        worker: WorkerId,
        /// Its base URL.
        url: CompactString,
        /// Call number.
        call: u64,
        /// Whether the worker failed to answer lately.
        suspect: bool,
        /// The message.
        request: SyncRequest,
    },
    /// Ask a runner for its state and report its answer under this call number.
    PollRunner {
        /// The runner.
        runner: RunnerId,
        /// Its base URL.
        url: CompactString,
        /// Form of its reports.
        form: VendorForm,
        /// Call number.
        call: u64,
        /// Whether the runner failed to answer lately.
        suspect: bool,
        /// The owner's epoch, which the runner checks from now on.
        epoch: Epoch,
    },
    /// Send a message to another process.
    Send(SocketAddr, Message),
    /// Add a line to the time line.
    Record {
        /// What changed.
        kind: EventKind,
        /// The owner's epoch.
        epoch: Epoch,
        /// What it concerns.
        subject: CompactString,
        /// Anything else worth knowing.
        detail: CompactString,
    },
    /// Add 1 to a counter.
    Count(&'static str),
}
