//! What callers submit and operators configure, as the decision core sees it.

use std::collections::BTreeMap;
use std::fmt;

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};
use types::{JobId, Millis, QueueId, RackId, Resources, TeamId};

/// One step of a job: tasks of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Declared run time. Often far off.
    pub estimate_ms: Millis,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// The tasks save their progress.
    pub checkpoints: bool,
    /// The tasks work only while all of them run.
    pub gang: bool,
    /// The tasks are slower when they run on more than one rack.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub label: Option<CompactString>,
    /// Rack that holds the data.
    pub data_rack: Option<RackId>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Copies of a task may run at the same time.
    pub copies: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run. Tasks of the same image behave alike.
    pub image: CompactString,
    /// Upper bound on the response time tail of a serving task.
    pub latency_target_ms: Option<Millis>,
    /// The tasks take only processor time that others leave, and need no room for it.
    pub scavenges: bool,
    /// Most tasks that the scheduler itself may take away at the same time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What one task takes of a worker's capacity.
    pub fn charge(&self) -> Resources {
        if self.scavenges { Resources { cpu_milli: 0, ..self.need } } else { self.need }
    }
}

/// Due times of a job that runs more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// First due time, Unix milliseconds.
    pub first_unix_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: Millis,
    /// Number of occurrences.
    pub times: u32,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct JobSpec {
    /// Text handed to each task unchanged.
    pub payload: String,
    /// Steps, numbered from 0.
    pub steps: Vec<StepSpec>,
    /// Due times, if it runs more than once.
    pub timetable: Option<Timetable>,
}

/// Cost of asking the advisor.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Fixed time of a call, milliseconds.
    pub call_ms: f64,
    /// Further time for each worker named, milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: Millis,
}

/// What the operators configured for a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Service whose workers run the queue's tasks.
    pub service: CompactString,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Objective: this many times the longest chain of work.
    pub target_factor: f64,
    /// Objective: and this much more.
    pub target_latency_ms: Millis,
    /// Advice that the queue's tasks need, if any.
    pub advice: Option<AdvicePolicy>,
    /// No key is needed.
    pub public: bool,
}

/// What the operators configured for a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct TeamPolicy {
    /// Share when all is full, in jobs a second.
    pub weight: f64,
    /// Most that the team may have running; 0 is no limit.
    pub limit: Resources,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Policy {
    /// Version, rising.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueId, QueuePolicy>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamPolicy>,
}

/// An accepted job as stored. Never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub id: JobId,
    /// Its queue.
    pub queue: QueueId,
    /// The team that submitted it; none on a queue that is open to all.
    pub team: Option<TeamId>,
    /// The queue's policy at acceptance, used when the queue is gone from the configuration.
    pub policy: QueuePolicy,
    /// What to run.
    pub spec: JobSpec,
    /// Time of acceptance, Unix milliseconds.
    pub accepted_unix_ms: u64,
}

impl JobRecord {
    /// The step that a task belongs to.
    pub(crate) fn step(&self, task: &TaskKey) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(task.step.step))
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Final {
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// The job has ended.
    Ended(Final),
}

/// Stored progress of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct StepProgress {
    /// Tasks that are done.
    pub done: Vec<u32>,
    /// Task and the numbers of its failed runs: a worker shows an end again until it is
    /// acknowledged, also to the next leader, which hears of several in any order.
    pub failures: Vec<(u32, Vec<u32>)>,
    /// Last checkpoint, by task.
    pub checkpoints: Vec<(u32, CompactString)>,
}

/// Stored progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The job.
    pub id: JobId,
    /// Set once the job has ended.
    pub ended: Option<Final>,
    /// Steps by occurrence.
    pub occurrences: Vec<(u32, Vec<StepProgress>)>,
}

/// A step of one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Occurrence, 0 for a job that runs once.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The step it belongs to.
    pub step: StepKey,
    /// Number within the step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl std::str::FromStr for TaskKey {
    type Err = errors::Error;

    fn from_str(text: &str) -> Result<Self, errors::Error> {
        let bad = || errors::Error::Parse("task", text.to_owned());
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse::<u32>().ok());
        let index = number().ok_or_else(bad)?;
        let step = number().and_then(|step| u16::try_from(step).ok()).ok_or_else(bad)?;
        let occurrence = number().ok_or_else(bad)?;
        let job = parts.next().ok_or_else(bad)?.parse()?;
        Ok(Self { step: StepKey { job, occurrence, step }, index })
    }
}
