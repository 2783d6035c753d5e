//! The durable state of a pool in the key-value service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use errors::{Error, Result};
use libs::compact_str::CompactString;
use libs::postcard;
use serde::{Deserialize, Serialize};
use types::{
    Attempt, CallId, Epoch, GrantHolder, JobId, JobSpec, JobState, NodeId, PoolId, RequestId,
    TaskCounts, TaskId, WorkerId,
};

/// Number of ended jobs whose outcome is kept.
const MAX_ENDED_JOBS: usize = 1_000;
/// Number of ended non-idempotent requests whose outcome is kept.
const MAX_ENDED_REQUESTS: usize = 5_000;

/// Final result of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// It ran to completion.
    Done,
    /// It failed and is not retried.
    Failed,
    /// It may or may not have run, and must not run again.
    Unknown,
}

/// Final result of a non-idempotent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestEnd {
    /// It ran to completion.
    Ran,
    /// It did not run.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

/// A change of the durable state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    JobAccepted(JobSpec),
    /// A job was cancelled.
    JobCancelled(JobId),
    /// A non-idempotent task is about to start.
    TaskIntent(TaskId),
    /// A task reached its final result.
    TaskEnded(TaskId, TaskEnd),
    /// A non-idempotent request is about to be granted a slot.
    RequestIntent {
        /// Id of the request.
        request: RequestId,
        /// Checksum of the request's content.
        content_hash: u64,
        /// The only holder that may use the grant.
        holder: GrantHolder,
        /// Call number of the holder's slot request that the grant answers. Later calls of a holder
        /// have higher numbers.
        call: CallId,
        /// The current attempt.
        attempt: Attempt,
    },
    /// A non-idempotent request ended.
    RequestEnded(RequestId, RequestEnd),
    /// Tasks may be placed on a worker from now on. The string is its URL.
    WorkerJoined(WorkerId, CompactString),
    /// A worker certainly runs no task and gets no more tasks.
    WorkerLeft(WorkerId),
}

/// A job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableJob {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Tasks with a final result.
    pub ended: BTreeMap<u32, TaskEnd>,
    /// Non-idempotent tasks that may have started.
    pub intents: BTreeSet<u32>,
}

/// A job that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Final state.
    pub state: JobState,
    /// Number of tasks by result.
    pub counts: TaskCounts,
}

/// A non-idempotent request that was granted a slot or is about to be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableRequest {
    /// Checksum of the request's content.
    pub content_hash: u64,
    /// The holder that got, or may have got, the grant.
    pub holder: GrantHolder,
    /// Call number of the holder's slot request that the grant answers.
    pub call: CallId,
    /// The latest attempt.
    pub attempt: Attempt,
    /// Final result; none while the request may still run.
    pub end: Option<RequestEnd>,
}

/// The state that a new owner recovers from.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobId, DurableJob>,
    /// Ended jobs, oldest first.
    pub ended_jobs: VecDeque<EndedJob>,
    /// Non-idempotent requests, in progress or ended.
    pub requests: BTreeMap<RequestId, DurableRequest>,
    /// Ended requests, oldest first.
    pub ended_requests: VecDeque<RequestId>,
    /// Workers that may run tasks, with their URLs.
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
        if self.ended_jobs.len() > MAX_ENDED_JOBS {
            self.ended_jobs.pop_front();
        }
    }

    fn end_request(&mut self, id: &RequestId, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.end.replace(end).is_some() {
            return;
        }
        self.ended_requests.push_back(id.clone());
        if self.ended_requests.len() <= MAX_ENDED_REQUESTS {
            return;
        }
        if let Some(oldest) = self.ended_requests.pop_front() {
            self.requests.remove(&oldest);
        }
    }

    /// Finds an ended job by its id.
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
/// A compare-and-swap of this document is the only way to become the owner and the only way to add
/// records. The next commit of a stale owner therefore fails.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The owner; none after a planned handover.
    pub owner: Option<NodeId>,
    /// Increases with each change of ownership.
    pub epoch: Epoch,
    /// Identifies the last write, so that a writer that got no answer can find out whether its
    /// write took effect.
    pub write_id: u64,
    /// Number of the snapshot on which the records build; none if the base state is empty.
    pub snapshot: Option<u64>,
    /// Records since the snapshot.
    pub records: Vec<Record>,
}

impl Head {
    /// Key of a pool's head document.
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
    // Serialization cannot fail: postcard supports all types used here.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| Error::Codec(error.to_string()))
}
