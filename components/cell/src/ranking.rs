//! Ranking of the steps that wait for workers.
//!
//! Load pattern: bursts of twice the usual load on a fleet that is 80% busy. For some seconds
//! there is more work than capacity, and a job that ends late is worth a fifth of one in time.
//! Steps that must start now to meet their objective come first, by priority. Late steps that are
//! still worth something come next, then steps that can be deferred without being late. Steps that
//! are too late to be of use get idle capacity. Work beyond a team's share gets capacity that
//! others leave, including the headroom kept for bursts, since such work is short.

use std::collections::BTreeMap;

use types::{Millis, TeamId};

use crate::model::QueuePolicy;

/// A job that ends within this multiple of its objective is late; after that it is worth nothing.
const LATE_FACTOR: f64 = 3.0;

/// A job can be deferred while its slack exceeds this fraction of its objective. The margin allows
/// for declared run times that are off by half and more.
const DEFERRABLE_SLACK_FRACTION: f64 = 0.35;

/// Jobs of queues with the highest priority are never deferred.
fn is_deferrable_queue(policy: &QueuePolicy) -> bool {
    policy.priority > 0
}

/// Prospect of a job against its objective, in the order in which jobs are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// It can end within its objective if it starts now.
    InTime,
    /// It can end within three times its objective.
    Late,
    /// It can end within its objective even if it starts later.
    Deferrable,
    /// It can end within its objective, but exceeds the share of its team.
    OverShare,
    /// It is too late to be of use, but must still be done.
    Overdue,
    /// It is late or overdue, and exceeds the share of its team.
    LateOverShare,
}

/// Rank of a waiting step; lower ranks are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) outlook: Outlook,
    pub(crate) priority: u32,
    /// In Unix milliseconds.
    pub(crate) deadline_unix_ms: Millis,
}

impl Rank {
    /// Whether the step must leave headroom for more urgent work that may arrive.
    pub(crate) fn is_deferrable(&self) -> bool {
        matches!(self.outlook, Outlook::Deferrable | Outlook::Overdue)
    }
}

/// Objective for the time from acceptance to the end of a job.
pub(crate) fn objective_ms(policy: &QueuePolicy, critical_path_ms: Millis) -> Millis {
    let stretched = policy.target_factor * critical_path_ms.0 as f64;
    Millis(stretched as u64) + policy.target_latency_ms
}

/// Whether a job is too late to be of use, and is served last. Times are Unix milliseconds.
pub(crate) fn is_overdue(
    policy: &QueuePolicy,
    due_unix_ms: Millis,
    critical_path_ms: Millis,
    left_ms: Millis,
    unix_ms: Millis,
) -> bool {
    let objective = objective_ms(policy, critical_path_ms);
    unix_ms + left_ms > due_unix_ms + Millis((objective.0 as f64 * LATE_FACTOR) as u64)
}

/// Critical path of a job, and the work left on it from a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PathLeft {
    pub(crate) critical_path_ms: Millis,
    pub(crate) left_ms: Millis,
    /// 90th percentile of `left_ms` as far as it is learned; `left_ms` otherwise.
    pub(crate) high_left_ms: Millis,
}

/// Ranks a step.
///
/// `due_unix_ms` is the time at which the job was accepted or due. Times are Unix milliseconds: most jobs are
/// older than the process of a leader that has just been started, whose clock begins at zero.
pub(crate) fn rank(
    policy: &QueuePolicy,
    due_unix_ms: Millis,
    path: &PathLeft,
    over_share: bool,
    long_running: bool,
    unix_ms: Millis,
) -> Rank {
    let objective = objective_ms(policy, path.critical_path_ms);
    let late_limit = Millis((objective.0 as f64 * LATE_FACTOR) as u64);
    let ends = unix_ms + path.left_ms;
    let slack = (due_unix_ms + objective).since(ends);
    let deferrable_slack = Millis((objective.0 as f64 * DEFERRABLE_SLACK_FRACTION) as u64);
    let is_safe = unix_ms + path.high_left_ms <= due_unix_ms + objective;
    let is_deferrable = is_deferrable_queue(policy) && slack > deferrable_slack && is_safe;
    let outlook = if !long_running && is_deferrable {
        Outlook::Deferrable
    } else if long_running || ends <= due_unix_ms + objective {
        Outlook::InTime
    } else if ends <= due_unix_ms + late_limit {
        Outlook::Late
    } else {
        Outlook::Overdue
    };
    let outlook = match outlook {
        Outlook::InTime if over_share => Outlook::OverShare,
        Outlook::Late | Outlook::Overdue if over_share => Outlook::LateOverShare,
        other => other,
    };
    Rank { outlook, priority: policy.priority, deadline_unix_ms: due_unix_ms + objective }
}

/// Burst within a team's share, in seconds of its rate, since jobs arrive unevenly.
const SHARE_BURST_S: f64 = 2.0;

/// Token bucket of a team's share.
#[derive(Debug)]
struct Allowance {
    /// Jobs that may still arrive within the share.
    jobs: f64,
    /// Time of the last update in Unix milliseconds.
    updated_unix_ms: u64,
    /// Time of the last job beyond the share in Unix milliseconds.
    beyond_unix_ms: Option<u64>,
}

/// Counts the jobs of each team against its share.
///
/// Load pattern: one team sends several times its share for many seconds. Its share of each
/// second is served like the jobs of others; only the excess waits for idle capacity.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    allowances: BTreeMap<TeamId, Allowance>,
}

impl Shares {
    /// Counts an accepted job of a team whose share is `weight` jobs per second, 0 for no bound.
    /// Returns whether the job exceeds the share; such a job takes nothing from it.
    pub(crate) fn count_job(&mut self, team: &TeamId, weight: f64, updated_unix_ms: u64) -> bool {
        if weight <= 0.0 {
            return false;
        }
        let max_jobs = (weight * SHARE_BURST_S).max(1.0);
        let allowance = self.allowances.entry(team.clone()).or_insert(Allowance {
            jobs: max_jobs,
            updated_unix_ms,
            beyond_unix_ms: None,
        });
        let passed_s = updated_unix_ms.saturating_sub(allowance.updated_unix_ms) as f64 / 1_000.0;
        allowance.jobs = (allowance.jobs + passed_s * weight).min(max_jobs);
        allowance.updated_unix_ms = allowance.updated_unix_ms.max(updated_unix_ms);
        let within = allowance.jobs >= 1.0;
        if within {
            allowance.jobs -= 1.0;
        } else {
            allowance.beyond_unix_ms = Some(allowance.updated_unix_ms);
        }
        !within
    }

    /// Teams with a job beyond their share since a time in Unix milliseconds.
    pub(crate) fn teams_beyond(&self, since_unix_ms: u64) -> Vec<TeamId> {
        let beyond = self.allowances.iter().filter(|(_, allowance)| {
            allowance.beyond_unix_ms.is_some_and(|last| last >= since_unix_ms)
        });
        beyond.map(|(team, _)| team.clone()).collect()
    }
}
