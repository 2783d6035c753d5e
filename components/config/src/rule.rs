//! The kinds of rules. Each line of the rules file holds one.

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};
use types::{DomainId, JobKind, KeyId, Millis, PoolId, Priority, QueueId, Spread, TeamId};

use crate::KeyHash;

/// One rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rule {
    /// A pool of workers and runners.
    Pool(PoolRule),
    /// A team and its share.
    Team(TeamRule),
    /// A key of a team.
    Key(KeyRule),
    /// A key of an operator, for the administration API.
    Operator(OperatorRule),
    /// The upper limit of a team.
    Limit(LimitRule),
    /// A queue.
    Queue(QueueRule),
    /// How the runners of a vendor report their state.
    Vendor(VendorRule),
    /// Work of a queue runs in one failure domain only.
    Pin(PinRule),
    /// Work of a queue never runs in a failure domain.
    Avoid(AvoidRule),
    /// A part of a pool that only urgent work may use.
    Headroom(HeadroomRule),
}

impl Rule {
    /// The word that starts the rule.
    pub fn word(&self) -> &'static str {
        match self {
            Rule::Pool(_) => "pool",
            Rule::Team(_) => "team",
            Rule::Key(_) => "key",
            Rule::Operator(_) => "operator",
            Rule::Limit(_) => "limit",
            Rule::Queue(_) => "queue",
            Rule::Vendor(_) => "vendor",
            Rule::Pin(_) => "pin",
            Rule::Avoid(_) => "avoid",
            Rule::Headroom(_) => "headroom",
        }
    }

    /// What the rule is about. No two rules may have the same word and subject.
    pub fn subject(&self) -> CompactString {
        match self {
            Rule::Pool(rule) => CompactString::new(rule.name.as_str()),
            Rule::Team(rule) => CompactString::new(rule.name.as_str()),
            Rule::Key(rule) => CompactString::new(rule.name.as_str()),
            Rule::Operator(rule) => CompactString::new(rule.name.as_str()),
            Rule::Limit(rule) => CompactString::new(rule.team.as_str()),
            Rule::Queue(rule) => CompactString::new(rule.name.as_str()),
            Rule::Vendor(rule) => rule.name.clone(),
            Rule::Pin(rule) => CompactString::new(rule.queue.as_str()),
            Rule::Avoid(rule) => CompactString::from(format!("{} {}", rule.queue, rule.domain)),
            Rule::Headroom(rule) => CompactString::new(rule.pool.as_str()),
        }
    }
}

/// A pool: the workers and runners of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRule {
    /// Name.
    pub name: PoolId,
    /// Failure domain whose back ends belong to it.
    pub domain: DomainId,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRule {
    /// Name.
    pub name: TeamId,
    /// Weight of its share when the cell is full.
    pub share: u32,
}

/// A key. The secret itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRule {
    /// Name, which callers present together with the secret.
    pub name: KeyId,
    /// The team that it stands for.
    pub team: TeamId,
    /// Hash of the secret.
    pub sha256: KeyHash,
}

/// A key of an operator. The secret itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRule {
    /// Name, which operators present together with the secret.
    pub name: KeyId,
    /// Hash of the secret.
    pub sha256: KeyHash,
}

/// The upper limit on what a team may run over all pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitRule {
    /// The team.
    pub team: TeamId,
    /// Cores granted to its tasks.
    #[serde(default)]
    pub cores: Option<u64>,
    /// Memory granted to its tasks, in gibibytes.
    #[serde(default)]
    pub mem_gb: Option<u64>,
    /// Accelerators granted to its tasks.
    #[serde(default)]
    pub accels: Option<u64>,
    /// Runner slots used by its requests.
    #[serde(default)]
    pub slots: Option<u64>,
}

/// What a queue takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkKind {
    /// Requests whose caller waits for the answer.
    Request,
    /// Services.
    Service,
    /// Batch jobs.
    Batch,
    /// Gang jobs.
    Gang,
}

impl WorkKind {
    /// The kind of job that the queue takes; none for requests.
    pub fn job_kind(self) -> Option<JobKind> {
        match self {
            WorkKind::Request => None,
            WorkKind::Service => Some(JobKind::Service),
            WorkKind::Batch => Some(JobKind::Batch),
            WorkKind::Gang => Some(JobKind::Gang),
        }
    }
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueRule {
    /// Name.
    pub name: QueueId,
    /// What it takes.
    pub kind: WorkKind,
    /// Order against other queues.
    #[serde(default)]
    pub priority: Priority,
    /// Layout of tasks.
    #[serde(default)]
    pub policy: Spread,
    /// Whether work is taken without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether work is idempotent unless its caller says otherwise.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Time that a request may take in all unless its caller gives a shorter one.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: Millis,
    /// Time that a runner may work on one request.
    #[serde(default = "default_run_limit_ms")]
    pub run_limit_ms: Millis,
}

fn default_true() -> bool {
    true
}

fn default_deadline_ms() -> Millis {
    Millis(10_000)
}

fn default_run_limit_ms() -> Millis {
    Millis(2_000)
}

/// How runners report their state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VendorForm {
    /// A JSON object.
    Json,
    /// Lines of `key=value`.
    Text,
    /// HTTP status and headers without a body.
    Headers,
}

/// A vendor of runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VendorRule {
    /// Name, as in the platform's list of VMs.
    pub name: CompactString,
    /// Form of its state reports.
    pub form: VendorForm,
}

/// Keeps a queue's work in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PinRule {
    /// The queue.
    pub queue: QueueId,
    /// The only failure domain for it.
    pub domain: DomainId,
}

/// Keeps a queue's work out of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvoidRule {
    /// The queue.
    pub queue: QueueId,
    /// The failure domain to avoid.
    pub domain: DomainId,
}

/// Reserves a part of a pool for urgent work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadroomRule {
    /// The pool.
    pub pool: PoolId,
    /// Part of the pool's processors, in percent.
    pub percent: u32,
}
