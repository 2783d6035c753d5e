//! The operators' rules, indexed for lookup.

use std::collections::BTreeMap;

use libs::compact_str::CompactString;
use types::{DomainId, KeyId, Millis, PoolId, QueueId, Resources, RulesVersion, TeamId};

use crate::text::parse_lines;
use crate::{
    KeyHash, KeyRule, LimitRule, PoolRule, Problem, QueueRule, ReportFormat, Rule, TeamRule, check,
};

/// Millicores per CPU core.
const MILLI_PER_CORE: u64 = 1000;
const MIB_PER_GIB: u64 = 1024;

/// A validated set of rules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rules {
    /// Version of the rules in the key-value service.
    pub version: RulesVersion,
    /// Source text, as written by operators.
    pub text: String,
    teams: BTreeMap<TeamId, TeamRule>,
    keys: BTreeMap<KeyId, KeyRule>,
    operators: BTreeMap<KeyId, KeyHash>,
    limits: BTreeMap<TeamId, Limit>,
    queues: BTreeMap<QueueId, QueueRule>,
    pools: BTreeMap<PoolId, PoolRule>,
    vendors: BTreeMap<CompactString, ReportFormat>,
    pins: BTreeMap<QueueId, DomainId>,
    avoids: BTreeMap<QueueId, Vec<DomainId>>,
    headrooms: BTreeMap<PoolId, u32>,
    /// Evacuated failure domains, with who requested it.
    evacuations: BTreeMap<DomainId, String>,
}

/// Upper limit of a team, summed over all pools. Resources without a limit hold `u64::MAX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Resources granted to running tasks.
    pub resources: Resources,
    /// Runner slots in use.
    pub slots: u64,
}

impl Limit {
    /// Limit of a team that has no limit rule.
    pub const NONE: Limit = Limit {
        resources: Resources { cpu_milli: u64::MAX, mem_mb: u64::MAX, accels: u64::MAX },
        slots: u64::MAX,
    };
}

impl From<&LimitRule> for Limit {
    fn from(rule: &LimitRule) -> Self {
        let scaled = |bound: Option<u64>, factor: u64| {
            bound.map_or(u64::MAX, |value| value.saturating_mul(factor))
        };
        Self {
            resources: Resources {
                cpu_milli: scaled(rule.cores, MILLI_PER_CORE),
                mem_mb: scaled(rule.mem_gb, MIB_PER_GIB),
                accels: scaled(rule.accels, 1),
            },
            slots: scaled(rule.slots, 1),
        }
    }
}

/// Result of checking a presented key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyCheck {
    /// The key is valid and belongs to this team.
    Team(TeamId),
    /// The key does not exist, or the secret does not match.
    Invalid,
}

impl Rules {
    /// Parses and validates a rules file. On failure, returns all problems in line order.
    pub fn parse(version: RulesVersion, text: &str) -> Result<Self, Vec<Problem>> {
        let (lines, mut problems) = parse_lines(text);
        problems.extend(check::check(&lines));
        if !problems.is_empty() {
            problems.sort();
            return Err(problems);
        }
        let mut rules = Self { version, text: text.to_owned(), ..Self::default() };
        for line in lines {
            rules.insert(line.rule, line.requested_by);
        }
        Ok(rules)
    }

    fn insert(&mut self, rule: Rule, requested_by: String) {
        match rule {
            Rule::Pool(rule) => {
                self.pools.insert(rule.name.clone(), rule);
            }
            Rule::Team(rule) => {
                self.teams.insert(rule.name.clone(), rule);
            }
            Rule::Key(rule) => {
                self.keys.insert(rule.name.clone(), rule);
            }
            Rule::Operator(rule) => {
                self.operators.insert(rule.name, rule.sha256);
            }
            Rule::Limit(rule) => {
                self.limits.insert(rule.team.clone(), Limit::from(&rule));
            }
            Rule::Queue(rule) => {
                self.queues.insert(rule.name.clone(), rule);
            }
            Rule::Vendor(rule) => {
                self.vendors.insert(rule.name, rule.form);
            }
            Rule::Pin(rule) => {
                self.pins.insert(rule.queue, rule.domain);
            }
            Rule::Avoid(rule) => self.avoids.entry(rule.queue).or_default().push(rule.domain),
            Rule::Headroom(rule) => {
                self.headrooms.insert(rule.pool, rule.percent);
            }
            Rule::Evacuate(rule) => {
                self.evacuations.insert(rule.domain, requested_by);
            }
        }
    }

    /// All teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamRule> {
        self.teams.values()
    }

    /// A team.
    pub fn team(&self, name: &TeamId) -> Option<&TeamRule> {
        self.teams.get(name)
    }

    /// The upper limit of a team, if it has one.
    pub fn limit(&self, team: &TeamId) -> Option<Limit> {
        self.limits.get(team).copied()
    }

    /// All upper limits, by team.
    pub fn limits(&self) -> impl Iterator<Item = (&TeamId, Limit)> {
        self.limits.iter().map(|(team, limit)| (team, *limit))
    }

    /// A queue.
    pub fn queue(&self, name: &QueueId) -> Option<&QueueRule> {
        self.queues.get(name)
    }

    /// All queues.
    pub fn queues(&self) -> impl Iterator<Item = &QueueRule> {
        self.queues.values()
    }

    /// The largest run limit of all queues.
    pub fn max_run_limit_ms(&self) -> Millis {
        self.queues.values().map(|queue| queue.run_limit_ms).max().unwrap_or_default()
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolRule> {
        self.pools.values()
    }

    /// A pool.
    pub fn pool(&self, name: &PoolId) -> Option<&PoolRule> {
        self.pools.get(name)
    }

    /// The format of a vendor's state reports; JSON for vendors without a rule.
    pub fn report_format(&self, vendor: &str) -> ReportFormat {
        self.vendors.get(vendor).copied().unwrap_or(ReportFormat::Json)
    }

    /// Returns whether work of a queue may run in a failure domain.
    pub fn allows(&self, queue: &QueueId, domain: &DomainId) -> bool {
        let pinned_elsewhere = self.pins.get(queue).is_some_and(|pinned| pinned != domain);
        let avoided = self.avoids.get(queue).is_some_and(|avoided| avoided.contains(domain));
        !pinned_elsewhere && !avoided
    }

    /// The pools in which work of a queue may run, sorted by name.
    pub fn pools_for(&self, queue: &QueueId) -> Vec<PoolId> {
        let allowed = self.pools.values().filter(|pool| self.allows(queue, &pool.domain));
        allowed.map(|pool| pool.name.clone()).collect()
    }

    /// The part of a pool that is reserved for urgent work, in percent.
    pub fn headroom_percent(&self, pool: &PoolId) -> u32 {
        self.headrooms.get(pool).copied().unwrap_or(0)
    }

    /// Who requested that nothing starts in a failure domain, if it is evacuated. Such a domain keeps
    /// its place in [`Rules::pools_for`]: retries of a request must reach the pool of earlier runs.
    pub fn evacuation(&self, domain: &DomainId) -> Option<&str> {
        self.evacuations.get(domain).map(String::as_str)
    }

    /// Returns whether name and secret are those of an operator's key.
    pub fn is_operator_key(&self, name: &KeyId, secret: &str) -> bool {
        self.operators.get(name).is_some_and(|hash| hash.matches(secret))
    }

    /// Authenticates a team's key.
    pub fn authenticate(&self, name: &KeyId, secret: &str) -> KeyCheck {
        match self.keys.get(name) {
            Some(key) if key.sha256.matches(secret) => KeyCheck::Team(key.team.clone()),
            _ => KeyCheck::Invalid,
        }
    }
}
