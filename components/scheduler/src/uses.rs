//! Exchanges what teams use in each pool, within a budget of bytes.

use std::collections::BTreeMap;

use types::{Epoch, Millis, PoolId, Resources, TeamId, TeamUse};

/// Bytes a second that telling others may take.
const BYTES_PER_S: u64 = 2_048;
/// Shortest time between two tellings.
const MIN_PERIOD_MS: Millis = Millis(2_000);
/// Encoded size of one team's use, about.
const TEAM_BYTES: u64 = 20;
/// Encoded size of the rest of a message, about.
const MESSAGE_BYTES: u64 = 80;

/// What is known of all pools.
#[derive(Default)]
pub(crate) struct UseExchange {
    pools: BTreeMap<PoolId, (Epoch, Vec<TeamUse>)>,
    /// When this process last told of its own pools.
    told_at: BTreeMap<PoolId, Millis>,
}

impl UseExchange {
    /// Takes what teams use in a pool, unless a newer owner has told already.
    pub(crate) fn note(&mut self, pool: &PoolId, epoch: Epoch, uses: Vec<TeamUse>) {
        if self.pools.get(pool).is_none_or(|(known, _)| *known <= epoch) {
            self.pools.insert(pool.clone(), (epoch, uses));
        }
    }

    /// Whether others may be told now. Notes that they are.
    ///
    /// The period grows with the size of the message and the count of receivers. Each telling is
    /// the whole present state, so that nothing queues up.
    pub(crate) fn may_send(
        &mut self,
        now: Millis,
        pool: &PoolId,
        uses: &[TeamUse],
        receivers: usize,
    ) -> bool {
        let bytes = (MESSAGE_BYTES + TEAM_BYTES * uses.len() as u64) * receivers as u64;
        let period_ms = Millis(bytes * 1_000 / BYTES_PER_S).max(MIN_PERIOD_MS);
        let due = self.told_at.get(pool).is_none_or(|at| now.since(*at) >= period_ms);
        if due {
            self.told_at.insert(pool.clone(), now);
        }
        due
    }

    /// What teams use in all pools but one.
    pub(crate) fn elsewhere(&self, pool: &PoolId) -> Vec<TeamUse> {
        let mut sums: BTreeMap<&TeamId, Resources> = BTreeMap::new();
        let others = self.pools.iter().filter(|(other, _)| *other != pool);
        for team_use in others.flat_map(|(_, (_, uses))| uses) {
            let sum = sums.entry(&team_use.team).or_default();
            *sum = sum.plus(&team_use.running);
        }
        sums.into_iter().map(|(team, running)| TeamUse { team: team.clone(), running }).collect()
    }
}
