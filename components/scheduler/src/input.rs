//! Inputs that the decisions thread receives from the other threads of its process.

use errors::Error;
use node::RulesUpdate;
use pool::{CallFailure, StoreAnswer, StoreFailure};
use types::{PoolId, RunnerId, RunnerReport, SyncAnswer, Vm, WorkerId};

/// An input of the decisions thread.
#[derive(Debug, Clone)]
pub(crate) enum Input {
    /// Periodic tick, on which pools check deadlines and leases.
    Tick,
    /// Periodic tick, on which a round of heartbeats is sent.
    Heartbeat,
    /// A new rules version, or the confirmation that the known one is the newest.
    Rules(RulesUpdate),
    /// The platform's current list of VMs.
    Vms(Vec<Vm>),
    /// The key-value service's answer to a pool's call, with the token of that call.
    Store(PoolId, u64, Result<StoreAnswer, StoreFailure>),
    /// A worker's answer, with the id of the call.
    Worker(PoolId, WorkerId, u64, Result<SyncAnswer, CallFailure>),
    /// A runner's answer, with the id of the call.
    Runner(PoolId, RunnerId, u64, Result<RunnerReport, CallFailure>),
}

/// HTTP status with which a back end rejects a call because it has seen a higher epoch.
const STALE_EPOCH_STATUS: u16 = 409;

/// Converts the error of a call to a back end to the failure that its pool handles.
pub(crate) fn call_failure(error: &Error) -> CallFailure {
    match error {
        Error::Refused(STALE_EPOCH_STATUS, _) => CallFailure::StaleEpoch,
        Error::Network(_) => CallFailure::NotSent,
        _ => CallFailure::Unanswered,
    }
}
