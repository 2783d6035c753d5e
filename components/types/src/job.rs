//! Jobs: what is submitted, and how it is shown.

use std::fmt;
use std::str::FromStr;

use errors::Error;
use serde::{Deserialize, Serialize};

use crate::{JobId, Millis, PoolId, QueueId, Resources, TeamId};

macro_rules! word_enum {
    ($name:ident, $kind:literal, $($variant:ident = $word:literal),+) => {
        impl $name {
            /// The stable word for this value.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $word),+
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                match text {
                    $($word => Ok(Self::$variant),)+
                    _ => Err(Error::Parse($kind, text.to_owned())),
                }
            }
        }
    };
}

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Tasks run until they are cancelled.
    Service,
    /// Tasks run to their end, each on its own.
    Batch,
    /// Tasks run to their end and start all at once or not at all.
    Gang,
}
word_enum!(JobKind, "job kind", Service = "service", Batch = "batch", Gang = "gang");

/// Order between queues. Lower values start first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Starts within seconds, also in a full pool.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// Starts when nothing else waits, and may be preempted by urgent work.
    Low,
}
word_enum!(Priority, "priority", Urgent = "urgent", Normal = "normal", Low = "low");

/// How the tasks of a job are laid over workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Fill workers tightly by the scarcest resource.
    #[default]
    Pack,
    /// Put tasks on as many racks and workers as possible.
    Spread,
}
word_enum!(Spread, "placement policy", Pack = "pack", Spread = "spread");

/// A job as accepted. Defaults of its queue are already filled in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id, given by the entry process or by the caller's idempotency key.
    pub id: JobId,
    /// The team that submitted it.
    pub team: TeamId,
    /// The queue it was submitted to.
    pub queue: QueueId,
    /// Kind.
    pub kind: JobKind,
    /// Priority of its queue.
    pub priority: Priority,
    /// Placement policy of its queue.
    pub spread: Spread,
    /// Number of tasks.
    pub tasks: u32,
    /// What each task is granted.
    pub per_task: Resources,
    /// Declared run time of a task.
    pub run_ms: Millis,
    /// Whether a task that may have run can be run again.
    pub idempotent: bool,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs yet.
    Waiting,
    /// Some task runs or has ended.
    Running,
    /// All tasks have ended well.
    Done,
    /// A task has failed for good.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// A non-idempotent task may or may not have run.
    Unknown,
}
word_enum!(
    JobState,
    "job state",
    Waiting = "waiting",
    Running = "running",
    Done = "done",
    Failed = "failed",
    Cancelled = "cancelled",
    Unknown = "unknown"
);

impl JobState {
    /// Whether the job can still change.
    pub fn is_live(self) -> bool {
        matches!(self, JobState::Waiting | JobState::Running)
    }
}

/// Number of tasks of a job by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Not started.
    pub waiting: u32,
    /// Running, or not yet known to have ended.
    pub running: u32,
    /// Ended well.
    pub done: u32,
    /// Ended badly for good.
    pub failed: u32,
    /// May or may not have run.
    pub unknown: u32,
}

/// A job as shown to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub spec: JobSpec,
    /// The pool that holds it.
    pub pool: PoolId,
    /// Its state.
    pub state: JobState,
    /// Its tasks by state.
    pub counts: TaskCounts,
    /// Time since its acceptance by the present owner.
    pub age_ms: Millis,
    /// Why it waits and what would start it; empty if it does not wait.
    pub explanation: String,
}
