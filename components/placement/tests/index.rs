//! Compares the index with a linear search over all workers.

use std::collections::{BTreeMap, BTreeSet};

use placement::{TaskRequirements, WorkerIndex, WorkerSlot};
use proptest::prelude::*;
use types::{PlacementPolicy, RackId, Resources, WorkerId};

fn resources(cpu_milli: u64, mem_mb: u64, accels: u64) -> Resources {
    Resources { cpu_milli, mem_mb, accels }
}

fn build_index(free_resources: &[(u64, u64, u64)]) -> WorkerIndex {
    let mut index = WorkerIndex::default();
    for (number, (cpu, memory, accels)) in free_resources.iter().enumerate() {
        let capacity = resources(32_000, 65_536, if number % 3 == 0 { 4 } else { 0 });
        let free = resources(*cpu, *memory, (*accels).min(capacity.accels));
        let rack = format!("r{}", number % 2).parse().unwrap();
        index.insert(worker(number), WorkerSlot { rack, capacity, free, schedulable: true });
    }
    index
}

fn worker(number: usize) -> WorkerId {
    format!("w{number}").parse().unwrap()
}

fn find(
    index: &WorkerIndex,
    need: &Resources,
    spread: PlacementPolicy,
    by_rack: &BTreeMap<RackId, u32>,
) -> Option<WorkerId> {
    let (by_worker, avoid) = (BTreeMap::new(), BTreeSet::new());
    let need = TaskRequirements {
        resources: need,
        spread,
        by_rack,
        by_worker: &by_worker,
        headroom_percent: 0,
        avoid: &avoid,
    };
    index.find(&need).cloned()
}

proptest! {
    #[test]
    fn worker_is_found_if_and_only_if_one_fits(
        free_resources in prop::collection::vec((0_u64..32_001, 0_u64..65_537, 0_u64..5), 1..40),
        cpu in 1_u64..33_000, memory in 1_u64..66_000, accels in 0_u64..3,
        is_spread in any::<bool>(),
    ) {
        let index = build_index(&free_resources);
        let need = resources(cpu, memory, accels);
        let spread = if is_spread { PlacementPolicy::Spread } else { PlacementPolicy::Pack };
        let any_fits = index.iter().any(|(_, slot)| slot.free.covers(&need));
        let found = find(&index, &need, spread, &BTreeMap::new());
        prop_assert_eq!(found.is_some(), any_fits);
        if let Some(found) = found {
            prop_assert!(index.get(&found).unwrap().free.covers(&need));
        }
    }

    #[test]
    fn reserving_and_releasing_restores_the_index(
        free_resources in prop::collection::vec((0_u64..32_001, 0_u64..65_537, 0_u64..5), 1..20),
        cpu in 1_u64..32_000,
    ) {
        let mut index = build_index(&free_resources);
        let need = resources(cpu, 1, 0);
        let before: Vec<_> = index.iter().map(|(id, slot)| (id.clone(), slot.clone())).collect();
        if let Some(id) = find(&index, &need, PlacementPolicy::Pack, &BTreeMap::new()) {
            prop_assert!(index.allocate(&id, &need));
            index.release(&id, &need);
        }
        let after: Vec<_> = index.iter().map(|(id, slot)| (id.clone(), slot.clone())).collect();
        prop_assert_eq!(before, after);
    }
}

#[test]
fn tasks_without_accelerators_prefer_workers_without_them() {
    let index = build_index(&[(1_000, 1_024, 4), (32_000, 65_536, 0)]);
    let need = resources(1_000, 1_024, 0);
    assert_eq!(find(&index, &need, PlacementPolicy::Pack, &BTreeMap::new()), Some(worker(1)));
}

#[test]
fn packing_prefers_the_fullest_worker_and_spreading_the_emptiest_rack() {
    let index = build_index(&[
        (0, 0, 0),
        (20_000, 40_000, 0),
        (8_000, 16_384, 0),
        (0, 0, 0),
        (16_000, 32_768, 0),
    ]);
    let need = resources(2_000, 1_024, 0);
    assert_eq!(find(&index, &need, PlacementPolicy::Pack, &BTreeMap::new()), Some(worker(2)));
    let used = BTreeMap::from([("r1".parse().unwrap(), 3)]);
    let spread = find(&index, &need, PlacementPolicy::Spread, &used).unwrap();
    assert_eq!(index.get(&spread).unwrap().rack, "r0".parse().unwrap());
}
