//! The kinds of rules. Each line of the rules file contains one rule.

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};
use types::{DomainId, JobKind, KeyId, Millis, PlacementPolicy, PoolId, Priority, QueueId, TeamId};

use crate::KeyHash;

/// A rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rule {
    /// Defines a pool of workers and runners.
    Pool(PoolRule),
    /// Defines a team and its share.
    Team(TeamRule),
    /// Defines an API key of a team.
    Key(KeyRule),
    /// Defines an operator's key for the administration API.
    Operator(OperatorRule),
    /// Sets the upper limit of a team.
    Limit(LimitRule),
    /// Defines a queue.
    Queue(QueueRule),
    /// Sets the format in which a vendor's runners report their state.
    Vendor(VendorRule),
    /// Restricts the work of a queue to one failure domain.
    Pin(PinRule),
    /// Excludes the work of a queue from a failure domain.
    Avoid(AvoidRule),
    /// Reserves part of a pool for urgent work.
    Headroom(HeadroomRule),
    /// Excludes all new work from a failure domain.
    Evacuate(EvacuateRule),
}

impl Rule {
    /// The kind of the rule, as written in the rules file.
    pub fn kind(&self) -> &'static str {
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
            Rule::Evacuate(_) => "evacuate",
        }
    }

    /// The object that the rule applies to. Kind and subject together are unique in a rules file.
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
            Rule::Evacuate(rule) => CompactString::new(rule.domain.as_str()),
        }
    }
}

/// Defines a pool: the workers and runners of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRule {
    /// Name of the pool.
    pub name: PoolId,
    /// Failure domain whose back ends belong to the pool.
    pub domain: DomainId,
}

/// Defines a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRule {
    /// Name of the team.
    pub name: TeamId,
    /// Weight in fair sharing when the cell is full.
    pub share: u32,
}

/// Defines an API key of a team. The secret itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRule {
    /// Name of the key, which callers send together with the secret.
    pub name: KeyId,
    /// Team that the key authenticates.
    pub team: TeamId,
    /// Hash of the secret.
    pub sha256: KeyHash,
}

/// Defines an operator's key. The secret itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRule {
    /// Name of the key, which operators send together with the secret.
    pub name: KeyId,
    /// Hash of the secret.
    pub sha256: KeyHash,
}

/// Sets the upper limit of a team, summed over all pools. Omitted resources are not limited.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitRule {
    /// Team that is limited.
    pub team: TeamId,
    /// CPU cores granted to its tasks.
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

/// The kind of work that a queue accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkKind {
    /// Requests whose caller waits for the response.
    Request,
    /// Services.
    Service,
    /// Batch jobs.
    Batch,
    /// Gang jobs.
    Gang,
}

impl WorkKind {
    /// The matching kind of job; `None` for requests.
    pub fn job_kind(self) -> Option<JobKind> {
        match self {
            WorkKind::Request => None,
            WorkKind::Service => Some(JobKind::Service),
            WorkKind::Batch => Some(JobKind::Batch),
            WorkKind::Gang => Some(JobKind::Gang),
        }
    }
}

/// Defines a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueRule {
    /// Name of the queue.
    pub name: QueueId,
    /// Kind of work that it accepts.
    pub kind: WorkKind,
    /// Priority relative to other queues.
    #[serde(default)]
    pub priority: Priority,
    /// Placement policy for the tasks of its jobs.
    #[serde(default)]
    pub policy: PlacementPolicy,
    /// Whether work is accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether work is idempotent if its caller does not say so.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Maximum total time of a request, unless its caller sets a shorter one.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: Millis,
    /// Maximum time that a runner may spend on one request.
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

/// Format in which runners report their state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReportFormat {
    /// A JSON object.
    Json,
    /// Lines of `key=value`.
    Text,
    /// HTTP status and headers, without a body.
    Headers,
}

/// Sets the report format of a vendor's runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VendorRule {
    /// Name of the vendor, as in the platform's list of VMs.
    pub name: CompactString,
    /// Format of its state reports.
    pub form: ReportFormat,
}

/// Restricts the work of a queue to one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PinRule {
    /// Queue that is restricted.
    pub queue: QueueId,
    /// Only failure domain in which its work may run.
    pub domain: DomainId,
}

/// Excludes the work of a queue from a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvoidRule {
    /// Queue that is restricted.
    pub queue: QueueId,
    /// Failure domain in which its work may not run.
    pub domain: DomainId,
}

/// Reserves part of a pool for urgent work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadroomRule {
    /// Pool in which capacity is reserved.
    pub pool: PoolId,
    /// Reserved part of the pool's CPU capacity, in percent.
    pub percent: u32,
}

/// Excludes all new work from a failure domain. What runs there continues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuateRule {
    /// Failure domain in which nothing may start.
    pub domain: DomainId,
}
