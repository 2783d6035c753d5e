//! Nearness of teams to their shares: weighted dominant-resource fairness with decayed use.

use std::collections::BTreeMap;

use config::Rules;
use types::{Millis, Resources, TeamId, TeamUse};

/// Time over which past use loses half of its weight.
const HALF_LIFE_MS: f64 = 120_000.0;
/// Weight of past use against present use.
const HISTORY_WEIGHT: f64 = 1.0;
/// Scale that turns a score into an ordered whole number.
const SCORE_SCALE: f64 = 1e12;

#[derive(Debug, Clone, Copy, Default)]
struct TeamState {
    weight: u32,
    running: Resources,
    elsewhere: Resources,
    /// Decayed mean of the dominant share.
    history: f64,
}

/// What each team uses against its share.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    teams: BTreeMap<TeamId, TeamState>,
    total: Resources,
    decayed_at: Millis,
}

impl Shares {
    /// Takes the weights of new rules.
    pub(crate) fn set_rules(&mut self, rules: &Rules) {
        for team in rules.teams() {
            self.teams.entry(team.name.clone()).or_default().weight = team.share;
        }
    }

    /// Sets what all pools together have.
    pub(crate) fn set_total(&mut self, total: Resources) {
        self.total = total;
    }

    /// Forgets what runs in this pool.
    pub(crate) fn reset(&mut self) {
        for state in self.teams.values_mut() {
            state.running = Resources::ZERO;
        }
    }

    /// Takes what teams use in other pools.
    pub(crate) fn set_elsewhere(&mut self, uses: &[TeamUse]) {
        for state in self.teams.values_mut() {
            state.elsewhere = Resources::ZERO;
        }
        for team_use in uses {
            let state = self.teams.entry(team_use.team.clone()).or_default();
            state.elsewhere = state.elsewhere.plus(&team_use.running);
        }
    }

    /// Notes that a team's task starts.
    pub(crate) fn take(&mut self, team: &TeamId, amount: &Resources) {
        let state = self.teams.entry(team.clone()).or_default();
        state.running = state.running.plus(amount);
    }

    /// Notes that a team's task has ended.
    pub(crate) fn give(&mut self, team: &TeamId, amount: &Resources) {
        if let Some(state) = self.teams.get_mut(team) {
            state.running = state.running.minus(amount);
        }
    }

    /// What a team runs in this pool.
    pub(crate) fn running(&self, team: &TeamId) -> Resources {
        self.teams.get(team).map(|state| state.running).unwrap_or_default()
    }

    /// Teams that run something in this pool.
    pub(crate) fn uses(&self) -> Vec<TeamUse> {
        let running = self.teams.iter().filter(|(_, state)| state.running != Resources::ZERO);
        running
            .map(|(team, state)| TeamUse { team: team.clone(), running: state.running })
            .collect()
    }

    /// Moves the history on.
    pub(crate) fn tick(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.decayed_at).0 as f64;
        self.decayed_at = now;
        let keep = 0.5_f64.powf(elapsed_ms / HALF_LIFE_MS);
        let total = self.total;
        for state in self.teams.values_mut() {
            let present = state.running.plus(&state.elsewhere).dominant_share(&total);
            state.history = state.history * keep + present * (1.0 - keep);
        }
    }

    /// Order of teams: the one with the lowest score is served first.
    pub(crate) fn score(&self, team: &TeamId) -> u64 {
        let Some(state) = self.teams.get(team) else { return 0 };
        let present = state.running.plus(&state.elsewhere).dominant_share(&self.total);
        let used = present + HISTORY_WEIGHT * state.history;
        (used / f64::from(state.weight.max(1)) * SCORE_SCALE) as u64
    }

    /// Weight of a team's share.
    pub(crate) fn weight(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |state| state.weight)
    }
}
