//! Messages between carobsill's own processes.

use std::fmt;
use std::net::SocketAddr;

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    Attempt, CallId, Epoch, GrantHolder, JobId, JobSpec, JobView, Millis, NodeId, Outcome, PoolId,
    Priority, QueueId, RequestId, Resources, RulesVersion, RunnerId, TeamId, WorkerId,
};

/// A message together with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The process that sent it.
    pub from: NodeId,
    /// Where that process listens for messages.
    pub reply_to: SocketAddr,
    /// The message.
    pub message: Message,
    /// Time of sending. The receiver advances its clock past it, which orders events causally.
    pub stamp: crate::HybridTimestamp,
}

/// All messages between carobsill's own processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic state of the sender and of some of its peers.
    Heartbeat(Gossip),
    /// From one owner to the others: resource usage of teams in a pool, for fair sharing across
    /// all pools.
    TeamUsage(PoolId, Epoch, Vec<TeamUsage>),
    /// Requests a copy of the rules if the receiver has a newer version than this.
    RulesRequest(RulesVersion),
    /// A copy of the rules.
    Rules(VersionedRules),
    /// Entry to owner: requests a runner slot.
    SlotRequest(SlotRequest),
    /// Owner to entry: grants a slot for immediate use.
    SlotGrant(SlotGrant),
    /// Owner to entry: the request gets no slot and has this outcome.
    SlotRefusal(CallId, Outcome),
    /// Entry to owner: reports how the use of a slot ended.
    SlotReport(RunReport),
    /// Entry to owner: changes a job.
    JobCommand(CallId, JobCommand),
    /// Entry to owner: queries jobs.
    JobQuery(CallId, JobQuery),
    /// Owner to entry: the outcome of a job command.
    JobOutcome(CallId, Outcome),
    /// Owner to entry: the jobs that match a query.
    Jobs(CallId, Vec<JobView>),
    /// Entry to scheduler: requests the status of the pools that the scheduler owns.
    StatusQuery(CallId),
    /// Scheduler to entry: status of the pools that the scheduler owns.
    Status(CallId, Vec<PoolStatus>),
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Owns pools.
    Scheduler,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Entry => "entry",
            Role::Scheduler => "scheduler",
        })
    }
}

/// What one peer is sent in one round of heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own state, followed by the state of some other processes.
    pub heartbeats: Vec<Heartbeat>,
    /// Liveness of further processes, without their state.
    pub alive: Vec<Liveness>,
}

/// Proof that a process is alive, much smaller than its full state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Liveness {
    /// Hash of the process's name and incarnation.
    pub node_hash: u32,
    /// Sequence number of its latest heartbeat.
    pub sequence: u64,
}

/// State of one process, disseminated by gossip. The highest `sequence` of an incarnation wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process.
    pub node: NodeId,
    /// Address on which it listens for messages.
    pub address: SocketAddr,
    /// Its role.
    pub role: Role,
    /// Sequence number, incremented by the process itself.
    pub sequence: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it may own pools. False for a scheduler that has just started and is still learning
    /// which pools have owners.
    pub accepts_pools: bool,
    /// Version of its rules.
    pub rules_version: RulesVersion,
    /// How recently its rules were confirmed.
    pub freshness: RulesFreshness,
    /// The pools that it owns, or has handed over during its shutdown.
    pub owned: Vec<Ownership>,
}

/// How recently the key-value service confirmed the rules of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RulesFreshness {
    /// Age of the latest confirmation, whether received directly or relayed by peers.
    pub confirmed_age_ms: Millis,
}

/// A pool and the epoch under which it is owned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The pool.
    pub pool: PoolId,
    /// The owner's epoch.
    pub epoch: Epoch,
}

/// Resource usage of one team in one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamId,
    /// Resources granted to its running tasks.
    pub running: Resources,
}

/// The rules text with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRules {
    /// Version in the key-value service.
    pub version: RulesVersion,
    /// The rules text as written by the operators.
    pub text: String,
}

/// Requests a runner slot on behalf of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Correlates the response.
    pub call: CallId,
    /// The pool that is asked for a slot.
    pub pool: PoolId,
    /// The only user of the grant.
    pub holder: GrantHolder,
    /// The request. All its attempts share the id.
    pub request: RequestId,
    /// Hash of the request's content, to detect an id that is reused for different content.
    pub content_hash: u64,
    /// The team that the slot is charged to; none for a request without a key on an open queue.
    pub team: Option<TeamId>,
    /// The queue.
    pub queue: QueueId,
    /// Priority of the queue.
    pub priority: Priority,
    /// Whether it may be run again after a run with unknown result.
    pub idempotent: bool,
    /// Time left until its deadline when this message was sent.
    pub remaining_ms: Millis,
    /// Maximum time that a runner may spend on it.
    pub run_limit_ms: Millis,
    /// Whether an earlier run may have started, for this holder or an earlier one.
    pub is_retry: bool,
    /// Whether the holder used an earlier grant and does not know how that run ended.
    pub has_unresolved_run: bool,
}

/// Permission to send one request to one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Correlates with the [`SlotRequest`].
    pub call: CallId,
    /// The pool.
    pub pool: PoolId,
    /// The owner's epoch, checked by the runner.
    pub epoch: Epoch,
    /// The request.
    pub request: RequestId,
    /// The attempt number.
    pub attempt: Attempt,
    /// The runner.
    pub runner: RunnerId,
    /// Base URL of the runner.
    pub url: CompactString,
    /// Expected incarnation of the runner, checked by the runner.
    pub incarnation: u64,
    /// Latest start on the runner's clock. The runner refuses to start the request after this.
    pub start_before_ms: Millis,
    /// Latest end on the runner's clock. The runner then stops working on the request.
    pub end_before_ms: Millis,
}

/// How the use of a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The runner's complete response arrived.
    Answered,
    /// The runner is certain not to have started the request.
    NotStarted,
    /// The request may have run. The runner stops it no later than at the end of the grant.
    Unresolved,
}

/// An entry's report on the use of a slot grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The pool.
    pub pool: PoolId,
    /// The request.
    pub request: RequestId,
    /// The attempt number.
    pub attempt: Attempt,
    /// How it ended.
    pub end: RunEnd,
    /// Time from sending the request to the runner until the end.
    pub took_ms: Millis,
    /// The response to a non-idempotent request, kept for callers that retry.
    pub answer: Option<crate::Answer>,
}

/// A change to a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Accepts a job.
    Submit(JobSpec),
    /// Cancels a job of the team.
    Cancel(JobId, TeamId),
}

/// A query for jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobQuery {
    /// One job.
    ById(JobId),
    /// All jobs of a team in the pool.
    ByTeam(PoolId, TeamId),
}

/// A pool as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolId,
    /// The owner.
    pub owner: NodeId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Workers.
    pub workers: Vec<WorkerStatus>,
    /// Runners.
    pub runners: Vec<RunnerStatus>,
    /// Teams.
    pub teams: Vec<TeamStatus>,
    /// Number of jobs whose state can still change.
    pub live_jobs: u32,
    /// Number of requests waiting for a slot.
    pub waiting_requests: u32,
}

/// A worker as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: WorkerId,
    /// Name of the state.
    pub state: CompactString,
    /// Total resources.
    pub capacity: Resources,
    /// Resources granted to tasks.
    pub granted: Resources,
    /// Number of tasks on the worker.
    pub tasks: u32,
}

/// A runner as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerStatus {
    /// The runner.
    pub runner: RunnerId,
    /// Name of the state.
    pub state: CompactString,
    /// Number of slots in use.
    pub busy: u32,
    /// Number of slots that may currently be used at the same time.
    pub window: u32,
    /// Total number of slots.
    pub slots: u32,
}

/// A team as shown to operators, within one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamId,
    /// Weight of its share.
    pub share: u32,
    /// Resources of its running tasks in this pool.
    pub running: Resources,
    /// The part of its upper limit that is allotted to this pool; none without a limit.
    pub limit_slice: Option<Resources>,
    /// Number of its waiting tasks.
    pub waiting_tasks: u32,
}
