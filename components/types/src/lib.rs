//! Types shared by all processes: ids, units, jobs, outcomes, and the messages exchanged between
//! processes and with back ends.

mod backend;
mod hash;
mod ids;
mod job;
mod message;
mod outcome;
mod timestamp;
mod units;

pub use backend::{
    BackendState, FinishedTask, RunnerInfo, RunnerReport, RunningTask, StartTask, StopTask,
    SyncAnswer, SyncRequest, Vm, VmKind, WorkerEnd, WorkerInfo,
};
pub use hash::{rendezvous, stable_hash};
pub use ids::{
    Attempt, CallId, DomainId, Epoch, Holder, JobId, KeyId, NodeId, NodeName, PoolId, QueueId,
    RackId, RequestId, RulesVersion, RunnerId, TaskId, TeamId, WorkerId,
};
pub use job::{JobKind, JobSpec, JobState, JobView, Priority, Spread, TaskCounts};
pub use message::{
    Envelope, Freshness, Gossip, Heartbeat, JobCommand, JobQuery, Liveness, Message, Ownership,
    PoolStatus, RequestAsk, Role, RulesCopy, RunEnd, RunReport, RunnerStatus, SlotGrant,
    TeamStatus, TeamUse, WorkerStatus,
};
pub use outcome::{Answer, NotRunReason, Outcome};
pub use timestamp::HybridTimestamp;
pub use units::{Millis, Resources};
