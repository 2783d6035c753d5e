//! What the decisions thread is told by the other threads of its process.

use errors::Error;
use node::RulesNews;
use pool::{CallFailure, StoreAnswer, StoreFailure};
use types::{PoolId, RunnerId, RunnerReport, SyncAnswer, Vm, WorkerId};

/// One input.
#[derive(Debug, Clone)]
pub(crate) enum Input {
    /// Time for pools to look at deadlines and leases.
    Tick,
    /// Time for a round of heartbeats.
    Heartbeat,
    /// News about the rules.
    Rules(RulesNews),
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// An answer of the key-value service to a call of a pool.
    Store(PoolId, u64, Result<StoreAnswer, StoreFailure>),
    /// A worker's answer.
    Worker(PoolId, WorkerId, u64, Result<SyncAnswer, CallFailure>),
    /// A runner's answer.
    Runner(PoolId, RunnerId, u64, Result<RunnerReport, CallFailure>),
}

/// HTTP status by which a back end says that it has seen a higher epoch.
const STALE_EPOCH_STATUS: u16 = 409;

/// What an error of a call to a back end means for its pool.
pub(crate) fn call_failure(error: &Error) -> CallFailure {
    match error {
        Error::Refused(STALE_EPOCH_STATUS, _) => CallFailure::StaleEpoch,
        Error::Net(_) => CallFailure::NotSent,
        _ => CallFailure::Unanswered,
    }
}
