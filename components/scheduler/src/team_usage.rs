//! Exchanges the resources that teams use in each pool between pool owners, within a bandwidth
//! budget.

use std::collections::BTreeMap;

use types::{Epoch, Millis, PoolId, Resources, TeamId, TeamUsage};

/// Bandwidth that one pool's usage messages may take.
const MAX_BYTES_PER_S: u64 = 2_048;
/// Shortest time between two usage messages of a pool.
const MIN_PERIOD_MS: Millis = Millis(2_000);
/// Approximate encoded size of one team's usage.
const TEAM_BYTES: u64 = 20;
/// Approximate encoded size of the rest of a message.
const MESSAGE_OVERHEAD_BYTES: u64 = 80;

/// The known usage of all pools.
#[derive(Default)]
pub(crate) struct UsageExchange {
    pools: BTreeMap<PoolId, (Epoch, Vec<TeamUsage>)>,
    /// When this process last sent the usage of each of its own pools.
    sent_at: BTreeMap<PoolId, Millis>,
}

impl UsageExchange {
    /// Records the usage in a pool, unless an owner with a higher epoch has reported already.
    pub(crate) fn record(&mut self, pool: &PoolId, epoch: Epoch, usage: Vec<TeamUsage>) {
        if self.pools.get(pool).is_none_or(|(known, _)| *known <= epoch) {
            self.pools.insert(pool.clone(), (epoch, usage));
        }
    }

    /// Returns whether a pool's usage is due to be sent, and if so records the time.
    ///
    /// The period grows with the size of the message and the number of receivers. Each message
    /// carries the complete current usage, so that skipped ones need not be sent later.
    pub(crate) fn should_send(
        &mut self,
        now: Millis,
        pool: &PoolId,
        usage: &[TeamUsage],
        receivers: usize,
    ) -> bool {
        let bytes = (MESSAGE_OVERHEAD_BYTES + TEAM_BYTES * usage.len() as u64) * receivers as u64;
        let period_ms = Millis(bytes * 1_000 / MAX_BYTES_PER_S).max(MIN_PERIOD_MS);
        let is_due = self.sent_at.get(pool).is_none_or(|at| now.since(*at) >= period_ms);
        if is_due {
            self.sent_at.insert(pool.clone(), now);
        }
        is_due
    }

    /// Returns the usage of each team, summed over all pools except `pool`.
    pub(crate) fn in_other_pools(&self, pool: &PoolId) -> Vec<TeamUsage> {
        let mut sums: BTreeMap<&TeamId, Resources> = BTreeMap::new();
        let others = self.pools.iter().filter(|(other, _)| *other != pool);
        for team_use in others.flat_map(|(_, (_, usage))| usage) {
            let sum = sums.entry(&team_use.team).or_default();
            *sum = sum.plus(&team_use.running);
        }
        sums.into_iter().map(|(team, running)| TeamUsage { team: team.clone(), running }).collect()
    }
}
