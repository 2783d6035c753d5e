//! What carobsill and the back ends say to each other, in the back ends' published form.
//!
//! Every deadline is given on the clock of the machine that enforces it. A message that was
//! delayed on its way, or written by a process that was paused, is therefore refused in time
//! without any assumption about the sender's clock.

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    Attempt, DomainId, Epoch, Millis, RackId, RequestId, Resources, RunnerId, TaskId, WorkerId,
};

/// Renews a worker's lease, starts and stops tasks, all in one message.
///
/// The worker refuses an epoch lower than the highest it has seen, and a sequence that is not
/// higher than the last one of the same epoch. It ignores everything but the epoch if the
/// incarnation is not its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Order of the owner's messages.
    pub sequence: u64,
    /// The worker's incarnation as last heard; zero if not heard yet.
    pub incarnation: u64,
    /// On the worker's clock: it stops all its tasks at this time unless a later message extends it.
    pub lease_until_ms: Millis,
    /// Tasks to start. Starting a task again that runs already changes nothing.
    pub start: Vec<StartTask>,
    /// Tasks to stop.
    pub stop: Vec<StopTask>,
    /// Ended tasks whose end is kept by carobsill, so that the worker may drop it.
    pub forget: Vec<TaskId>,
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub task: TaskId,
    /// The try.
    pub attempt: Attempt,
    /// What it is granted.
    pub resources: Resources,
    /// Declared run time; zero for services.
    pub run_ms: Millis,
}

/// A task to stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopTask {
    /// The task.
    pub task: TaskId,
    /// The try.
    pub attempt: Attempt,
    /// Whether to save its progress first.
    pub checkpoint: bool,
}

/// A worker's answer to a sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncAnswer {
    /// Changes with each start of the worker.
    pub incarnation: u64,
    /// The worker's clock.
    pub clock_ms: Millis,
    /// All tasks that run.
    pub running: Vec<RunningTask>,
    /// All tasks that ended and are not forgotten yet.
    pub finished: Vec<FinishedTask>,
}

/// A task that runs on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The try.
    pub attempt: Attempt,
    /// What it is granted.
    pub resources: Resources,
    /// What it uses, with a lag.
    pub used: Resources,
}

/// How a task ended on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerEnd {
    /// It ran to its end.
    Done,
    /// It failed by itself.
    Failed,
    /// It was stopped, by order or because the lease ran out.
    Stopped,
    /// The worker did not start it.
    Refused,
}

/// A task that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedTask {
    /// The task.
    pub task: TaskId,
    /// The try.
    pub attempt: Attempt,
    /// How it ended.
    pub end: WorkerEnd,
}

/// State of a back end, whatever form its vendor reports it in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendState {
    /// Takes new work.
    Up,
    /// Takes no new work and ends what it has.
    Leaving,
    /// Does nothing.
    Down,
}

/// A runner's report of its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// State.
    pub state: BackendState,
    /// Changes with each start of the runner.
    pub incarnation: u64,
    /// The runner's clock.
    pub clock_ms: Millis,
    /// Slots that it has.
    pub slots: u32,
    /// Requests that it works on.
    pub running: Vec<RequestId>,
}

/// Kind of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmKind {
    /// Runs tasks.
    Worker,
    /// Answers requests.
    Runner,
    /// Runs carobsill's own processes.
    Entry,
}

/// A VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: CompactString,
    /// Kind.
    pub kind: VmKind,
    /// Failure domain.
    pub domain: DomainId,
    /// Rack.
    pub rack: RackId,
    /// Base URL of what it runs.
    pub url: CompactString,
    /// Vendor of what it runs.
    #[serde(default)]
    pub vendor: CompactString,
    /// What a worker has.
    #[serde(default)]
    pub capacity: Resources,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
}

/// A worker as taken from the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Name.
    pub worker: WorkerId,
    /// Base URL.
    pub url: CompactString,
    /// Rack.
    pub rack: RackId,
    /// What it has.
    pub capacity: Resources,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// A runner as taken from the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerInfo {
    /// Name.
    pub runner: RunnerId,
    /// Base URL.
    pub url: CompactString,
    /// Vendor, which decides the form of its reports.
    pub vendor: CompactString,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}
