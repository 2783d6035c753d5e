//! What a pool keeps in the key-value service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use errors::{Error, Result};
use libs::compact_str::CompactString;
use libs::postcard;
use serde::{Deserialize, Serialize};
use types::{
    Attempt, CallId, Epoch, Holder, JobId, JobSpec, JobState, NodeId, PoolId, RequestId,
    TaskCounts, TaskId, WorkerId,
};

/// Ended jobs whose outcome is kept.
const KEPT_ENDED_JOBS: usize = 1_000;
/// Ended non-idempotent requests whose outcome is kept.
const KEPT_ENDED_REQUESTS: usize = 5_000;

/// How a task ended for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// It ran to its end.
    Done,
    /// It failed as often as is allowed.
    Failed,
    /// It may or may not have run, and must not run again.
    Unknown,
}

/// How a non-idempotent request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestEnd {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

/// One change to a pool's durable state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job is accepted.
    JobAccepted(JobSpec),
    /// A job is cancelled.
    JobCancelled(JobId),
    /// A non-idempotent task is about to start.
    TaskIntent(TaskId),
    /// A task ended for good.
    TaskEnded(TaskId, TaskEnd),
    /// A non-idempotent request is about to be granted a slot.
    RequestIntent {
        /// The request.
        request: RequestId,
        /// Checksum of its content.
        content_hash: u64,
        /// The only one that gets the grant.
        holder: Holder,
        /// The holder's ask that the grant answers. Later asks of a holder have higher numbers.
        call: CallId,
        /// The try.
        attempt: Attempt,
    },
    /// A non-idempotent request ended.
    RequestEnded(RequestId, RequestEnd),
    /// A worker may be given tasks from now on.
    WorkerJoined(WorkerId, CompactString),
    /// A worker surely runs nothing and is given no more tasks.
    WorkerLeft(WorkerId),
}

/// A job that can still change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableJob {
    /// The job.
    pub spec: JobSpec,
    /// Tasks that ended for good.
    pub ended: BTreeMap<u32, TaskEnd>,
    /// Non-idempotent tasks that may have started.
    pub intents: BTreeSet<u32>,
}

/// A job that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// The job.
    pub spec: JobSpec,
    /// How it ended.
    pub state: JobState,
    /// Its tasks.
    pub counts: TaskCounts,
}

/// A non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableRequest {
    /// Checksum of its content.
    pub content_hash: u64,
    /// Who got, or may have got, the grant.
    pub holder: Holder,
    /// The holder's ask that the grant answers.
    pub call: CallId,
    /// The newest try.
    pub attempt: Attempt,
    /// How it ended; none while it may still run.
    pub end: Option<RequestEnd>,
}

/// Everything that a new owner needs to know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// Jobs that can still change.
    pub jobs: BTreeMap<JobId, DurableJob>,
    /// Jobs that ended, oldest first.
    pub ended_jobs: VecDeque<EndedJob>,
    /// Non-idempotent requests.
    pub requests: BTreeMap<RequestId, DurableRequest>,
    /// Requests that ended, oldest first.
    pub ended_requests: VecDeque<RequestId>,
    /// Workers that may run tasks.
    pub workers: BTreeMap<WorkerId, CompactString>,
}

impl DurableState {
    /// Applies one record.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::JobAccepted(spec) => {
                let job = DurableJob {
                    spec: spec.clone(),
                    ended: BTreeMap::new(),
                    intents: BTreeSet::new(),
                };
                self.jobs.insert(spec.id.clone(), job);
            }
            Record::JobCancelled(job) => self.end_job(job, JobState::Cancelled),
            Record::TaskIntent(task) => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.intents.insert(task.index);
                }
            }
            Record::TaskEnded(task, end) => self.end_task(task, *end),
            Record::RequestIntent { request, content_hash, holder, call, attempt } => {
                let entry = DurableRequest {
                    content_hash: *content_hash,
                    holder: holder.clone(),
                    call: *call,
                    attempt: *attempt,
                    end: None,
                };
                self.requests.insert(request.clone(), entry);
            }
            Record::RequestEnded(request, end) => self.end_request(request, *end),
            Record::WorkerJoined(worker, url) => {
                self.workers.insert(worker.clone(), url.clone());
            }
            Record::WorkerLeft(worker) => {
                self.workers.remove(worker);
            }
        }
    }

    fn end_task(&mut self, task: &TaskId, end: TaskEnd) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.ended.insert(task.index, end);
        if job.ended.len() < job.spec.tasks as usize {
            return;
        }
        let state = state_of_ended(job);
        self.end_job(&task.job, state);
    }

    fn end_job(&mut self, id: &JobId, state: JobState) {
        let Some(job) = self.jobs.remove(id) else { return };
        let counts = count_ended(&job);
        self.ended_jobs.push_back(EndedJob { spec: job.spec, state, counts });
        if self.ended_jobs.len() > KEPT_ENDED_JOBS {
            self.ended_jobs.pop_front();
        }
    }

    fn end_request(&mut self, id: &RequestId, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.end.replace(end).is_some() {
            return;
        }
        self.ended_requests.push_back(id.clone());
        if self.ended_requests.len() <= KEPT_ENDED_REQUESTS {
            return;
        }
        if let Some(oldest) = self.ended_requests.pop_front() {
            self.requests.remove(&oldest);
        }
    }

    /// An ended job.
    pub fn ended_job(&self, id: &JobId) -> Option<&EndedJob> {
        self.ended_jobs.iter().rev().find(|job| job.spec.id == *id)
    }
}

fn state_of_ended(job: &DurableJob) -> JobState {
    let any = |end: TaskEnd| job.ended.values().any(|one| *one == end);
    if any(TaskEnd::Unknown) {
        JobState::Unknown
    } else if any(TaskEnd::Failed) {
        JobState::Failed
    } else {
        JobState::Done
    }
}

fn count_ended(job: &DurableJob) -> TaskCounts {
    let count = |end: TaskEnd| job.ended.values().filter(|one| **one == end).count() as u32;
    let (done, failed, unknown) =
        (count(TaskEnd::Done), count(TaskEnd::Failed), count(TaskEnd::Unknown));
    TaskCounts {
        waiting: job.spec.tasks - done - failed - unknown,
        running: 0,
        done,
        failed,
        unknown,
    }
}

/// The document that decides who owns a pool and what its durable state is.
///
/// Its compare-and-swap is the only way to become owner and the only way to add records, so that
/// a stale owner's next commit fails.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The owner; none after a planned hand-over.
    pub owner: Option<NodeId>,
    /// Grows with each change of the owner.
    pub epoch: Epoch,
    /// Marks the last write, so that a writer without an answer can find out whether it took effect.
    pub write_id: u64,
    /// Number of the snapshot that the records continue; none for an empty state.
    pub snapshot: Option<u64>,
    /// Records since the snapshot.
    pub records: Vec<Record>,
}

impl Head {
    /// Key of a pool's head.
    pub fn key(pool: &PoolId) -> CompactString {
        CompactString::from(format!("pools/{pool}/head"))
    }

    /// Key of a pool's snapshot.
    pub fn snapshot_key(pool: &PoolId, snapshot: u64) -> CompactString {
        CompactString::from(format!("pools/{pool}/snapshot-{snapshot}"))
    }

    /// Encodes the head.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a head.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

impl DurableState {
    /// Encodes the state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // The types hold nothing that the format cannot express.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| Error::Codec(error.to_string()))
}
