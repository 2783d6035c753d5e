//! Who goes first.
//!
//! Load pattern: bursts of two on a fleet that is four fifths busy. For some seconds there is
//! more work than room, and what is served late is worth a fifth of what is served in time.
//! Steps that must begin now to meet their objective go first, by priority; those that are late
//! but still worth something follow; then those that can wait without being late; what is too
//! late to be of use takes idle room. What a team sends beyond its share takes room that others
//! leave, also what is kept free for bursts: it is short.

use std::collections::BTreeMap;

use types::{Millis, TeamId};

use crate::model::QueuePolicy;

/// A job that ends within this many objectives is late; after that it is worth nothing.
const LATE_FACTOR: f64 = 3.0;

/// A job can wait while more than this part of its objective is to spare: declared run times are
/// off by half and more.
const DEFERRABLE_SLACK_FRACTION: f64 = 0.35;

/// Jobs of the most urgent queues never wait for others.
fn is_deferrable_queue(policy: &QueuePolicy) -> bool {
    policy.priority > 0
}

/// What a job can still reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// It can still end within its objective.
    InTime,
    /// It can still end within three objectives.
    Late,
    /// It can end within its objective also if it begins later.
    Deferrable,
    /// It could end within its objective, but its team sends more than its share.
    OverShare,
    /// It is too late to be of use, but must be done.
    Overdue,
    /// It is late, and beyond its team's share.
    LateOverShare,
}

/// Position of a step among all that wait. Lower goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) outlook: Outlook,
    pub(crate) priority: u32,
    pub(crate) deadline_ms: Millis,
}

impl Rank {
    /// Whether the step leaves some room to more urgent work that may come.
    pub(crate) fn is_deferrable(&self) -> bool {
        matches!(self.outlook, Outlook::Deferrable | Outlook::Overdue)
    }
}

/// Time by which a job should end, from its acceptance.
pub(crate) fn objective_ms(policy: &QueuePolicy, critical_path_ms: Millis) -> Millis {
    let stretched = policy.target_factor * critical_path_ms.0 as f64;
    Millis(stretched as u64) + policy.target_latency_ms
}

/// Ranks a step.
///
/// `due_ms` is when the job was accepted or due, `left_ms` the work left on its longest chain.
pub(crate) fn rank(
    policy: &QueuePolicy,
    due_ms: Millis,
    critical_path_ms: Millis,
    left_ms: Millis,
    over_share: bool,
    lasting: bool,
    now: Millis,
) -> Rank {
    let objective = objective_ms(policy, critical_path_ms);
    let late_limit = Millis((objective.0 as f64 * LATE_FACTOR) as u64);
    let ends = now + left_ms;
    let slack = (due_ms + objective).since(ends);
    let deferrable_slack = Millis((objective.0 as f64 * DEFERRABLE_SLACK_FRACTION) as u64);
    let outlook = if !lasting && is_deferrable_queue(policy) && slack > deferrable_slack {
        Outlook::Deferrable
    } else if lasting || ends <= due_ms + objective {
        Outlook::InTime
    } else if ends <= due_ms + late_limit {
        Outlook::Late
    } else {
        Outlook::Overdue
    };
    let outlook = match outlook {
        Outlook::InTime if over_share => Outlook::OverShare,
        Outlook::Late | Outlook::Overdue if over_share => Outlook::LateOverShare,
        other => other,
    };
    Rank { outlook, priority: policy.priority, deadline_ms: due_ms + objective }
}

/// Jobs a team may send at once, in seconds of its rate: callers come unevenly.
const SHARE_BURST_S: f64 = 2.0;

/// What is left of a team's share.
#[derive(Debug)]
struct Allowance {
    /// Jobs that may still come within the share.
    jobs: f64,
    /// Time of the last update, Unix milliseconds.
    updated_unix_ms: u64,
}

/// Counts jobs of each team against its share.
///
/// Load pattern: one team sends several times its share for many seconds. Its share of each
/// second is served like the jobs of others, and only what exceeds it waits for idle room.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    allowances: BTreeMap<TeamId, Allowance>,
}

impl Shares {
    /// A job of the team was accepted; `weight` is the team's share in jobs a second, 0 for no
    /// bound. Returns whether the job is over the share; such a job takes nothing from it.
    pub(crate) fn count_job(&mut self, team: &TeamId, weight: f64, updated_unix_ms: u64) -> bool {
        if weight <= 0.0 {
            return false;
        }
        let max_jobs = (weight * SHARE_BURST_S).max(1.0);
        let allowance = self
            .allowances
            .entry(team.clone())
            .or_insert(Allowance { jobs: max_jobs, updated_unix_ms });
        let passed_s = updated_unix_ms.saturating_sub(allowance.updated_unix_ms) as f64 / 1_000.0;
        allowance.jobs = (allowance.jobs + passed_s * weight).min(max_jobs);
        allowance.updated_unix_ms = allowance.updated_unix_ms.max(updated_unix_ms);
        let within = allowance.jobs >= 1.0;
        if within {
            allowance.jobs -= 1.0;
        }
        !within
    }
}
