//! Fair shares of teams: weighted dominant-resource fairness with exponentially decayed use.

use std::collections::BTreeMap;

use config::Rules;
use types::{Millis, Resources, TeamId, TeamUsage};

/// Time after which past use counts half.
const HALF_LIFE_MS: f64 = 120_000.0;
/// Weight of past use relative to current use.
const DECAYED_SHARE_WEIGHT: f64 = 1.0;
/// Factor that converts a score into an integer, which can be ordered.
const SCORE_SCALE: f64 = 1e12;

#[derive(Debug, Clone, Copy, Default)]
struct TeamState {
    weight: u32,
    running: Resources,
    other_pools: Resources,
    /// Exponential moving average of the dominant share.
    decayed_share: f64,
}

/// Resource use of each team, relative to its share.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    teams: BTreeMap<TeamId, TeamState>,
    total: Resources,
    decayed_at: Millis,
}

impl Shares {
    /// Applies the weights of new rules.
    pub(crate) fn set_rules(&mut self, rules: &Rules) {
        for team in rules.teams() {
            self.teams.entry(team.name.clone()).or_default().weight = team.share;
        }
    }

    /// Sets the total capacity to which dominant shares relate.
    pub(crate) fn set_total(&mut self, total: Resources) {
        self.total = total;
    }

    /// Resets the use in this pool.
    pub(crate) fn reset(&mut self) {
        for state in self.teams.values_mut() {
            state.running = Resources::ZERO;
        }
    }

    /// Sets the use in all other pools.
    pub(crate) fn set_other_pools_usage(&mut self, usage: &[TeamUsage]) {
        for state in self.teams.values_mut() {
            state.other_pools = Resources::ZERO;
        }
        for team_usage in usage {
            let state = self.teams.entry(team_usage.team.clone()).or_default();
            state.other_pools = state.other_pools.plus(&team_usage.running);
        }
    }

    /// Adds to a team's use.
    pub(crate) fn acquire(&mut self, team: &TeamId, amount: &Resources) {
        let state = self.teams.entry(team.clone()).or_default();
        state.running = state.running.plus(amount);
    }

    /// Subtracts from a team's use.
    pub(crate) fn release(&mut self, team: &TeamId, amount: &Resources) {
        if let Some(state) = self.teams.get_mut(team) {
            state.running = state.running.minus(amount);
        }
    }

    /// A team's use in this pool.
    pub(crate) fn running(&self, team: &TeamId) -> Resources {
        self.teams.get(team).map(|state| state.running).unwrap_or_default()
    }

    /// Teams with a use in this pool.
    pub(crate) fn usage(&self) -> Vec<TeamUsage> {
        let running = self.teams.iter().filter(|(_, state)| state.running != Resources::ZERO);
        running
            .map(|(team, state)| TeamUsage { team: team.clone(), running: state.running })
            .collect()
    }

    /// Updates the moving averages.
    pub(crate) fn tick(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.decayed_at).0 as f64;
        self.decayed_at = now;
        let decay = 0.5_f64.powf(elapsed_ms / HALF_LIFE_MS);
        let total = self.total;
        for state in self.teams.values_mut() {
            let current = state.running.plus(&state.other_pools).dominant_share(&total);
            state.decayed_share = state.decayed_share * decay + current * (1.0 - decay);
        }
    }

    /// Score of a team; the team with the lowest score is served first.
    pub(crate) fn score(&self, team: &TeamId) -> u64 {
        let Some(state) = self.teams.get(team) else { return 0 };
        let current = state.running.plus(&state.other_pools).dominant_share(&self.total);
        let used = current + DECAYED_SHARE_WEIGHT * state.decayed_share;
        (used / f64::from(state.weight.max(1)) * SCORE_SCALE) as u64
    }

    /// Weight of a team's share.
    pub(crate) fn weight(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |state| state.weight)
    }
}
