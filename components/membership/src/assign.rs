//! Assignment of pools to schedulers.

use std::collections::{BTreeMap, BTreeSet};

use types::{NodeName, PoolId, rendezvous};

/// Number of schedulers at the front of a pool's rendezvous order that watch its owner.
const WATCHERS: usize = 2;

/// Assigns each pool to a live scheduler, evenly and with few moves when a scheduler joins or
/// leaves.
///
/// A pool keeps its current owner while that is live and owns no more than an even share. Any other
/// pool goes to one of its preferred schedulers by rendezvous hashing if that owns less than an
/// even share; otherwise to the first in rendezvous order that would own at most one pool more than
/// an even share. The preferred schedulers watch the pool and are the first to notice that it has
/// no owner. All processes with the same view compute the same result.
pub fn assign_pools(
    pools: &BTreeSet<PoolId>,
    schedulers: &BTreeSet<NodeName>,
    owners: &BTreeMap<PoolId, NodeName>,
) -> BTreeMap<PoolId, NodeName> {
    let mut assigned = BTreeMap::new();
    if schedulers.is_empty() {
        return assigned;
    }
    let quota = pools.len().div_ceil(schedulers.len());
    let mut loads: BTreeMap<&NodeName, usize> = schedulers.iter().map(|name| (name, 0)).collect();
    for pool in pools {
        let Some((owner, load)) = owners.get(pool).and_then(|owner| loads.get_key_value(owner))
        else {
            continue;
        };
        let (owner, load) = (*owner, *load);
        if load < quota {
            loads.insert(owner, load + 1);
            assigned.insert(pool.clone(), owner.clone());
        }
    }
    for pool in pools {
        if assigned.contains_key(pool) {
            continue;
        }
        let ranked = rendezvous(pool.as_str(), schedulers.iter());
        let chosen = ranked
            .iter()
            .find(|name| loads.get(*name).is_some_and(|load| *load < quota))
            .filter(|name| ranked.iter().position(|other| other == *name) < Some(WATCHERS))
            .or_else(|| {
                ranked.iter().find(|name| loads.get(*name).is_some_and(|load| *load <= quota))
            });
        if let Some(chosen) = chosen {
            *loads.entry(*chosen).or_default() += 1;
            assigned.insert(pool.clone(), (*chosen).clone());
        }
    }
    assigned
}
