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
    SyncAnswer, SyncRequest, Vm, VmKind, WorkerInfo, WorkerTaskEnd,
};
pub use hash::{rendezvous, stable_hash};
pub use ids::{
    Attempt, CallId, DomainId, Epoch, GrantHolder, JobId, KeyId, NodeId, NodeName, PoolId, QueueId,
    RackId, RequestId, RulesVersion, RunnerId, TaskId, TeamId, WorkerId,
};
pub use job::{JobKind, JobSpec, JobState, JobView, PlacementPolicy, Priority, TaskCounts};
pub use message::{
    Envelope, Gossip, Heartbeat, JobCommand, JobQuery, Liveness, Message, Ownership, PoolStatus,
    Role, RulesFreshness, RunEnd, RunReport, RunnerStatus, SlotGrant, SlotRequest, TeamStatus,
    TeamUsage, VersionedRules, WorkerStatus,
};
pub use outcome::{Answer, NotRunReason, Outcome};
pub use timestamp::HybridTimestamp;
pub use units::{Millis, Resources};
