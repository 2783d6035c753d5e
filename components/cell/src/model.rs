//! Jobs that callers submit and policies that operators configure.

use std::collections::BTreeMap;
use std::fmt;

use forecast::NameHash;
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
    /// Run time of a task as declared by the caller; often inaccurate.
    pub estimate_ms: Millis,
    /// Earlier steps that must complete first.
    pub after: Vec<u16>,
    /// The tasks save checkpoints.
    pub checkpoints: bool,
    /// The tasks make progress only while all of them run (gang scheduling).
    pub gang: bool,
    /// The tasks should share a rack: they are slower across racks.
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks.
    pub label: Option<CompactString>,
    /// Rack that holds the tasks' data, preferred for placement.
    pub data_rack: Option<RackId>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Several copies of a task may run at the same time.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run. Tasks with the same image behave alike.
    pub image: CompactString,
    /// Target for the tail latency of a serving task.
    pub latency_target_ms: Option<Millis>,
    /// The tasks use only idle processor time, so no processor capacity is reserved for them.
    pub uses_idle_cpu: bool,
    /// Most tasks that the scheduler may stop at the same time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Resources that one task reserves on a worker.
    pub fn charge(&self) -> Resources {
        if self.uses_idle_cpu { Resources { cpu_milli: 0, ..self.need } } else { self.need }
    }
}

/// Due times of a recurring job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// First due time in Unix milliseconds.
    pub first_unix_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: Millis,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// Specification of a job, as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct JobSpec {
    /// Text passed to each task unchanged.
    pub payload: String,
    /// Steps, numbered from 0.
    pub steps: Vec<StepSpec>,
    /// Due times of a recurring job.
    pub recurrence: Option<Recurrence>,
}

/// Most tasks of one occurrence of a job.
pub const MAX_TASKS: u64 = 10_000;
/// Memory of a job without its steps and its payload, in bytes, with its id in some indexes.
const JOB_BYTES: usize = 1_024;
/// Most steps of a job. One whose steps all have tasks has no more.
pub const MAX_STEPS: usize = MAX_TASKS as usize;
/// Most dependencies between the steps of a job: what the text of the largest job, 262,144 bytes, can name.
pub const MAX_DEPENDENCIES: usize = 131_072;
/// Longest payload of a job, in bytes, as callers are told.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Most occurrences of a job.
pub const MAX_OCCURRENCES: u32 = 10_000;

impl JobSpec {
    /// Number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Memory that a leader needs for the job before any of its tasks has started, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let steps = self.steps.len() as u64 * crate::job::STEP_BYTES;
        self.record_bytes() + steps + self.tasks() / 8
    }

    /// Memory of what does not change with the progress of the job, in bytes.
    pub(crate) fn record_bytes(&self) -> u64 {
        let texts = |step: &StepSpec| {
            let label = step.label.as_ref().map_or(0, |label| label.len());
            label + step.image.len() + step.after.len() * size_of::<u16>()
        };
        let steps: usize = self.steps.iter().map(texts).sum();
        let of_each_step = size_of::<StepSpec>() + 2 * size_of::<Millis>();
        (JOB_BYTES + self.payload.len() + steps + self.steps.len() * of_each_step) as u64
    }

    /// Returns why the job is too large to be accepted, if it is.
    pub fn too_large(&self) -> Option<&'static str> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Some("the payload of the job is too long");
        }
        if self.steps.len() > MAX_STEPS {
            return Some("the job has too many steps");
        }
        let dependencies: usize = self.steps.iter().map(|step| step.after.len()).sum();
        if dependencies > MAX_DEPENDENCIES {
            return Some("the job has too many dependencies");
        }
        if self.tasks() > MAX_TASKS {
            return Some("the job has too many tasks");
        }
        let occurrences = self.recurrence.map_or(0, |recurrence| recurrence.occurrences);
        (occurrences > MAX_OCCURRENCES).then_some("the job has too many occurrences")
    }
}

/// Duration of calls to the advisor, and validity of its tickets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Fixed part of a call's duration in milliseconds.
    pub call_ms: f64,
    /// Additional duration for each worker named, in milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: Millis,
}

/// Configuration of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Service whose workers run the tasks of the queue.
    pub service: CompactString,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the completion objective: multiplies the critical path of the job.
    pub target_factor: f64,
    /// Constant part of the completion objective, added to the scaled critical path.
    pub target_latency_ms: Millis,
    /// Set if tasks of the queue need a ticket of the advisor.
    pub advice: Option<AdvicePolicy>,
    /// Callers need no key.
    pub public: bool,
}

/// Configuration of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct TeamPolicy {
    /// Share under contention, in jobs per second; 0 is no bound.
    pub weight: f64,
    /// Most resources that running tasks of the team may use; 0 is no limit.
    pub limit: Resources,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Policy {
    /// Version number; a later version has a higher one.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueId, QueuePolicy>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamPolicy>,
    /// By how much a run is slower on a worker that has just started, by service: 1.0 means that it
    /// takes twice as long. Services without such a time are omitted.
    pub cold_slowdowns: BTreeMap<CompactString, f64>,
}

/// An accepted job as stored; immutable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Id of the job.
    pub id: JobId,
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Team that submitted the job; none on a public queue.
    pub team: Option<TeamId>,
    /// Policy of the queue at acceptance, used once the queue is no longer configured.
    pub policy: QueuePolicy,
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_unix_ms: u64,
}

impl JobRecord {
    /// The step that a task belongs to.
    pub(crate) fn step(&self, task: &TaskKey) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(task.step.step))
    }
}

/// Final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalState {
    /// All tasks are done.
    Completed,
    /// A task used up its attempts.
    Failed,
    /// The caller cancelled the job.
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
    Ended(FinalState),
}

/// Stored progress of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct StepProgress {
    /// Indexes of the tasks that are done.
    pub done: Vec<u32>,
    /// Failed runs by task, as attempt numbers. A count would not do: a worker reports an end
    /// until it is acknowledged, also to the next leader, and ends arrive in any order.
    pub failures: Vec<(u32, Vec<u32>)>,
    /// Last checkpoint by task.
    pub checkpoints: Vec<(u32, CompactString)>,
}

/// A run that was lost with its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// Attempt number of the run.
    pub attempt: u32,
    /// What is known of the run.
    pub kind: LossKind,
}

/// How much a lost run speaks against its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LossKind {
    /// It had started, and nothing shows that its worker lived for long after that. The worker had been
    /// up for long, or was lost at once.
    Early,
    /// Its start was not confirmed, so that the worker may have been gone before; or the worker had
    /// been up for a short time only, so that it may crash by itself; or a run of another job is as
    /// suspect, and this was not the first loss of the task.
    Doubtful,
    /// Its worker lived for some time after the start. It was alone there, or nothing started there
    /// later and the worker had been up for long.
    Late,
    /// Its worker lived for some time after the start, and something else is likely to have ended it.
    Unrelated,
    /// A worker has crashed of whose runs nothing was stored, and the task may have been one of them.
    Presumed,
    /// Its start was to be ordered, and nothing is known of it since.
    Announced {
        /// Worker that was to start it.
        worker: NameHash,
        /// Incarnation of the worker, by its start in Unix milliseconds.
        incarnation_unix_ms: u64,
    },
}

/// Runs of one task that were lost one after the other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLosses {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u16,
    /// Index of the task in the step.
    pub index: u32,
    /// The lost runs, oldest first.
    pub runs: Vec<LostRun>,
}

/// Stored progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Id of the job.
    pub id: JobId,
    /// Final state, once the job has ended.
    pub ended: Option<FinalState>,
    /// Progress of the steps by occurrence; no steps for an occurrence that is done.
    pub occurrences: Vec<(u32, Vec<StepProgress>)>,
    /// Tasks whose last runs were lost with their workers. The last field, since records of earlier
    /// versions end before it.
    pub losses: Vec<TaskLosses>,
}

impl Progress {
    /// Whether starts of suspects are announced in it.
    pub(crate) fn announces_starts(&self) -> bool {
        let mut runs = self.losses.iter().flat_map(|losses| &losses.runs);
        runs.any(|run| matches!(run.kind, LossKind::Announced { .. }))
    }

    /// Whether it shows that a worker has begun a task. A loss does not: the start may not have
    /// reached the worker.
    pub fn shows_begun_task(&self) -> bool {
        let shows_begun = |step: &StepProgress| {
            !step.done.is_empty() || !step.failures.is_empty() || !step.checkpoints.is_empty()
        };
        self.occurrences.iter().any(|(_, steps)| steps.is_empty() || steps.iter().any(shows_begun))
    }
}

/// A step of one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step in the job.
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
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Index of the task in the step.
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
