//! The part of a team's share that one process serves while the team exceeds its share.

use std::collections::BTreeMap;

use types::{Millis, TeamId};

/// Largest weight that counts as a bound, in jobs per second: more than all processes accept.
pub const MAX_WEIGHT: f64 = 100_000.0;
/// Most teams with an allowance. Further ones count as within their share.
const MAX_TEAMS: usize = 10_000;
/// Time after which an unused allowance is full and need not be kept.
const UNUSED_MS: Millis = Millis(60_000);

/// The weight, if it bounds a share.
pub fn usable_weight(weight: f64) -> Option<f64> {
    (weight > 0.0 && weight <= MAX_WEIGHT).then_some(weight)
}

#[derive(Debug)]
struct Allowance {
    jobs: f64,
    updated_ms: Millis,
}

/// Token buckets of teams. Each process serves an equal part of a team's share.
#[derive(Debug, Default)]
pub(crate) struct Allowances {
    by_team: BTreeMap<TeamId, Allowance>,
}

impl Allowances {
    /// Whether another job of a team is within the part of its share that this process serves.
    pub(crate) fn has_room(
        &mut self,
        team: &TeamId,
        weight: f64,
        processes: u64,
        now: Millis,
    ) -> bool {
        let full = Self::full(weight, processes);
        if !self.by_team.contains_key(team) && self.by_team.len() >= MAX_TEAMS {
            self.by_team.retain(|_, allowance| now.since(allowance.updated_ms) < UNUSED_MS);
            if self.by_team.len() >= MAX_TEAMS {
                return true;
            }
        }
        let allowance =
            self.by_team.entry(team.clone()).or_insert(Allowance { jobs: full, updated_ms: now });
        let passed_s = now.since(allowance.updated_ms).0 as f64 / 1_000.0;
        allowance.jobs = (allowance.jobs + passed_s * weight / processes.max(1) as f64).min(full);
        allowance.updated_ms = now;
        allowance.jobs >= 1.0
    }

    /// Counts a job that was accepted as within the share.
    pub(crate) fn take(&mut self, team: &TeamId) {
        if let Some(allowance) = self.by_team.get_mut(team) {
            allowance.jobs = (allowance.jobs - 1.0).max(0.0);
        }
    }

    /// One second of the share, but at least one job.
    fn full(weight: f64, processes: u64) -> f64 {
        (weight / processes.max(1) as f64).max(1.0)
    }
}
