//! Which scheduler should own which pool.

use std::collections::{BTreeMap, BTreeSet};

use types::{NodeName, PoolId, rendezvous};

/// The first so many schedulers in a pool's rendezvous order watch its owner.
const PREFERRED: usize = 2;

/// Assigns each pool to a live scheduler, evenly and with few moves when a scheduler comes or goes.
///
/// Pools keep their present owner while it is live and owns no more than its even part. The others
/// go to their best scheduler by rendezvous hashing that owns at most one more than that, because
/// the best ones watch the pool and notice first that it has no owner. All processes with the same
/// view compute the same result.
pub fn assign_pools(
    pools: &BTreeSet<PoolId>,
    schedulers: &BTreeSet<NodeName>,
    owners: &BTreeMap<PoolId, NodeName>,
) -> BTreeMap<PoolId, NodeName> {
    let mut assigned = BTreeMap::new();
    if schedulers.is_empty() {
        return assigned;
    }
    let most = pools.len().div_ceil(schedulers.len());
    let mut loads: BTreeMap<&NodeName, usize> = schedulers.iter().map(|name| (name, 0)).collect();
    for pool in pools {
        let Some((owner, load)) = owners.get(pool).and_then(|owner| loads.get_key_value(owner))
        else {
            continue;
        };
        let (owner, load) = (*owner, *load);
        if load < most {
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
            .find(|name| loads.get(*name).is_some_and(|load| *load < most))
            .filter(|name| ranked.iter().position(|other| other == *name) < Some(PREFERRED))
            .or_else(|| {
                ranked.iter().find(|name| loads.get(*name).is_some_and(|load| *load <= most))
            });
        if let Some(chosen) = chosen {
            *loads.entry(*chosen).or_default() += 1;
            assigned.insert(pool.clone(), (*chosen).clone());
        }
    }
    assigned
}
