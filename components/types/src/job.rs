//! Job specifications, and job states as shown to callers and operators.

use std::fmt;
use std::str::FromStr;

use errors::Error;
use serde::{Deserialize, Serialize};

use crate::{JobId, Millis, PoolId, QueueId, Resources, TeamId};

macro_rules! string_enum {
    ($name:ident, $kind:literal, $($variant:ident = $text:literal),+) => {
        impl $name {
            /// The stable name of this value, used in messages and stored data.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text),+
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
                    $($text => Ok(Self::$variant),)+
                    _ => Err(Error::Parse($kind, text.to_owned())),
                }
            }
        }
    };
}

/// How the tasks of a job start and end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Tasks run until the job is cancelled.
    Service,
    /// Tasks run to completion independently of each other.
    Batch,
    /// Tasks run to completion and are started all together or not at all.
    Gang,
}
string_enum!(JobKind, "job kind", Service = "service", Batch = "batch", Gang = "gang");

/// Priority of a queue. Lower values start first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Starts within seconds even in a full pool, by preemption of other work.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// Starts when no other work is waiting, and may be preempted by urgent work.
    Low,
}
string_enum!(Priority, "priority", Urgent = "urgent", Normal = "normal", Low = "low");

/// How the tasks of a job are distributed over workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlacementPolicy {
    /// Prefer the fullest workers, measured by their scarcest resource.
    #[default]
    Pack,
    /// Distribute tasks over as many racks and workers as possible.
    Spread,
}
string_enum!(PlacementPolicy, "placement policy", Pack = "pack", Spread = "spread");

/// An accepted job, with the defaults of its queue filled in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id, assigned by the entry process or derived from the caller's idempotency key.
    pub id: JobId,
    /// The team that submitted it.
    pub team: TeamId,
    /// The queue it was submitted to.
    pub queue: QueueId,
    /// How its tasks start and end.
    pub kind: JobKind,
    /// Priority of its queue.
    pub priority: Priority,
    /// Placement policy of its queue.
    pub spread: PlacementPolicy,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources granted to each task.
    pub per_task: Resources,
    /// Declared run time of a task.
    pub run_ms: Millis,
    /// Whether a task that may already have run can safely be run again.
    pub idempotent: bool,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task has started yet.
    Waiting,
    /// At least one task is running or has ended.
    Running,
    /// All tasks have succeeded.
    Done,
    /// A task has failed permanently.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// It is not known whether a non-idempotent task has run.
    Unknown,
}
string_enum!(
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
    /// Whether the state of the job can still change.
    pub fn is_live(self) -> bool {
        matches!(self, JobState::Waiting | JobState::Running)
    }
}

/// Number of tasks of a job in each state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Not started yet.
    pub waiting: u32,
    /// Running, or assumed to be running until they are known to have ended.
    pub running: u32,
    /// Succeeded.
    pub done: u32,
    /// Failed permanently.
    pub failed: u32,
    /// Not known whether they have run.
    pub unknown: u32,
}

/// A job as shown to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Specification of the job.
    pub spec: JobSpec,
    /// The pool that the job belongs to.
    pub pool: PoolId,
    /// State of the job.
    pub state: JobState,
    /// Number of its tasks in each state.
    pub counts: TaskCounts,
    /// Time since the current owner of the pool accepted or recovered the job.
    pub age_ms: Millis,
    /// Why the job is waiting and what would let it start; empty if it is not waiting.
    pub explanation: String,
}
