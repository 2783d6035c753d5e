//! Messages exchanged with back ends, in the format that the back ends publish.
//!
//! Every deadline is expressed on the clock of the machine that enforces it. A message that was
//! delayed in transit, or sent by a process that was paused, is therefore rejected in time
//! without any assumption about the sender's clock.

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    Attempt, DomainId, Epoch, Millis, RackId, RequestId, Resources, RunnerId, TaskId, WorkerId,
};

/// Renews a worker's lease and starts and stops tasks in a single message.
///
/// The worker rejects an epoch lower than the highest it has seen, and a sequence number that is
/// not higher than the last one of the same epoch. If the incarnation is not its own, it ignores
/// everything but the epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Sequence number of the owner's messages within the epoch.
    pub sequence: u64,
    /// The worker's incarnation as last reported; zero if not known yet.
    pub incarnation: u64,
    /// Lease expiry on the worker's clock. The worker then stops all its tasks, unless a later
    /// message extends the lease.
    pub lease_until_ms: Millis,
    /// Tasks to start. Starting a task that is already running has no effect.
    pub start: Vec<StartTask>,
    /// Tasks to stop.
    pub stop: Vec<StopTask>,
    /// Ended tasks whose result carobsill has stored, so that the worker may discard them.
    pub forget: Vec<TaskId>,
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// The attempt number.
    pub attempt: Attempt,
    /// Resources granted to the task.
    pub resources: Resources,
    /// Declared run time; zero for services, which have none.
    pub run_ms: Millis,
}

/// A task to stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopTask {
    /// The task.
    pub task: TaskId,
    /// The attempt number.
    pub attempt: Attempt,
    /// Whether to write a checkpoint before stopping.
    pub checkpoint: bool,
}

/// A worker's response to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncAnswer {
    /// Changes each time the worker starts.
    pub incarnation: u64,
    /// Current time on the worker's clock.
    pub clock_ms: Millis,
    /// All running tasks.
    pub running: Vec<RunningTask>,
    /// Ended tasks that the worker has not yet been told to forget.
    pub finished: Vec<FinishedTask>,
}

/// A task running on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The attempt number.
    pub attempt: Attempt,
    /// Resources granted to the task.
    pub resources: Resources,
    /// Measured resource usage, which lags behind the current usage.
    pub used: Resources,
}

/// How a task ended on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerTaskEnd {
    /// It ran to completion.
    Done,
    /// It failed on its own.
    Failed,
    /// It was stopped, on request or because the lease expired.
    Stopped,
    /// The worker did not start it.
    Refused,
}

/// A task that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedTask {
    /// The task.
    pub task: TaskId,
    /// The attempt number.
    pub attempt: Attempt,
    /// How it ended.
    pub end: WorkerTaskEnd,
}

/// State of a back end, independent of the vendor's report format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// Accepts new work.
    Up,
    /// Accepts no new work and finishes the work it has.
    Leaving,
    /// Out of service.
    Down,
}

/// A runner's status report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// State of the runner.
    pub state: BackendState,
    /// Changes each time the runner starts.
    pub incarnation: u64,
    /// Current time on the runner's clock.
    pub clock_ms: Millis,
    /// Number of request slots.
    pub slots: u32,
    /// Requests in progress.
    pub running: Vec<RequestId>,
}

/// Kind of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmKind {
    /// Runs tasks.
    Worker,
    /// Serves requests.
    Runner,
    /// Runs carobsill's own processes.
    Entry,
}

/// A VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: CompactString,
    /// What the VM runs.
    pub kind: VmKind,
    /// Failure domain.
    pub domain: DomainId,
    /// Rack within the failure domain.
    pub rack: RackId,
    /// Base URL of the service on the VM.
    pub url: CompactString,
    /// Vendor of the service on the VM.
    #[serde(default)]
    pub vendor: CompactString,
    /// Total resources of a worker.
    #[serde(default)]
    pub capacity: Resources,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// A worker from the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Base URL.
    pub url: CompactString,
    /// Rack within the failure domain.
    pub rack: RackId,
    /// Total resources.
    pub capacity: Resources,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// A runner from the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerInfo {
    /// Name of the runner.
    pub runner: RunnerId,
    /// Base URL.
    pub url: CompactString,
    /// Vendor, which determines the format of its status reports.
    pub vendor: CompactString,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}
