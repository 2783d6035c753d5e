//! Index of workers by free fraction.

use std::collections::{BTreeMap, BTreeSet};

use types::{PlacementPolicy, RackId, Resources, WorkerId};

use crate::free_fraction::{free_fraction, min_free_fraction};

/// Number of candidate workers compared by a search with [`PlacementPolicy::Spread`].
const SPREAD_CANDIDATES: usize = 24;

/// Resources and state of an indexed worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSlot {
    /// Rack of the worker.
    pub rack: RackId,
    /// Total resources.
    pub capacity: Resources,
    /// Resources that are not granted to tasks.
    pub free: Resources,
    /// Whether the worker accepts new tasks.
    pub schedulable: bool,
}

/// Criteria of a search.
#[derive(Debug, Clone, Copy)]
pub struct TaskRequirements<'a> {
    /// Resources that the task requires.
    pub resources: &'a Resources,
    /// Placement strategy of the job.
    pub spread: PlacementPolicy,
    /// Number of tasks of the same job by rack, for spreading.
    pub by_rack: &'a BTreeMap<RackId, u32>,
    /// Number of tasks of the same job by worker, for spreading.
    pub by_worker: &'a BTreeMap<WorkerId, u32>,
    /// Percentage of each worker's CPU that must stay free.
    pub headroom_percent: u64,
    /// Excluded workers.
    pub avoid: &'a BTreeSet<WorkerId>,
}

/// The workers of a pool, ordered by free fraction.
#[derive(Debug, Clone, Default)]
pub struct WorkerIndex {
    workers: BTreeMap<WorkerId, WorkerSlot>,
    /// Schedulable workers without accelerators, by free fraction.
    without_accels: BTreeSet<(u64, WorkerId)>,
    /// Schedulable workers with accelerators, by free fraction.
    with_accels: BTreeSet<(u64, WorkerId)>,
    /// Largest CPU and memory capacity of any worker so far.
    largest: Resources,
    total: Resources,
}

impl WorkerIndex {
    /// Adds or replaces a worker.
    pub fn insert(&mut self, id: WorkerId, slot: WorkerSlot) {
        self.remove(&id);
        self.largest.cpu_milli = self.largest.cpu_milli.max(slot.capacity.cpu_milli);
        self.largest.mem_mb = self.largest.mem_mb.max(slot.capacity.mem_mb);
        self.total = self.total.plus(&slot.capacity);
        self.add_to_order(&id, &slot);
        self.workers.insert(id, slot);
    }

    /// Removes a worker and returns its slot.
    pub fn remove(&mut self, id: &WorkerId) -> Option<WorkerSlot> {
        let slot = self.workers.remove(id)?;
        self.remove_from_order(id, &slot);
        self.total = self.total.minus(&slot.capacity);
        Some(slot)
    }

    /// Returns the slot of a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerSlot> {
        self.workers.get(id)
    }

    /// Iterates over all workers.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerSlot)> {
        self.workers.iter()
    }

    /// Total capacity of all workers.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Whether any worker could hold the task if it were idle.
    pub fn fits_any_idle_worker(&self, need: &Resources) -> bool {
        self.workers.values().any(|slot| slot.capacity.covers(need))
    }

    /// Number of such tasks that all workers together could hold if they were idle.
    pub fn idle_task_capacity(&self, need: &Resources) -> u64 {
        self.workers.values().map(|slot| tasks_that_fit(&slot.capacity, need)).sum()
    }

    /// Sets whether a worker accepts new tasks.
    pub fn set_schedulable(&mut self, id: &WorkerId, schedulable: bool) {
        self.update(id, |slot| slot.schedulable = schedulable);
    }

    /// Reserves resources of a worker. Returns `false` without a change if they are not free.
    pub fn allocate(&mut self, id: &WorkerId, need: &Resources) -> bool {
        if !self.workers.get(id).is_some_and(|slot| slot.free.covers(need)) {
            return false;
        }
        self.update(id, |slot| slot.free = slot.free.minus(need));
        true
    }

    /// Releases reserved resources of a worker.
    pub fn release(&mut self, id: &WorkerId, amount: &Resources) {
        self.update(id, |slot| slot.free = slot.free.plus(amount));
    }

    /// Finds a schedulable worker for a task. Tasks without accelerators prefer workers without them.
    pub fn find(&self, need: &TaskRequirements<'_>) -> Option<&WorkerId> {
        let wants_accels = need.resources.accels > 0;
        let without_accels =
            if wants_accels { None } else { self.find_in(&self.without_accels, need) };
        without_accels.or_else(|| self.find_in(&self.with_accels, need))
    }

    fn find_in<'a>(
        &'a self,
        order: &'a BTreeSet<(u64, WorkerId)>,
        need: &TaskRequirements<'_>,
    ) -> Option<&'a WorkerId> {
        match need.spread {
            PlacementPolicy::Pack => self.find_packed(order, need),
            PlacementPolicy::Spread => self.find_spread(order, need),
        }
    }

    fn find_packed<'a>(
        &'a self,
        order: &'a BTreeSet<(u64, WorkerId)>,
        need: &TaskRequirements<'_>,
    ) -> Option<&'a WorkerId> {
        let min_fraction = min_free_fraction(need.resources, &self.largest);
        let from = (min_fraction, WorkerId::default());
        order.range(from..).map(|(_, id)| id).find(|id| self.fits(id, need))
    }

    fn find_spread<'a>(
        &'a self,
        order: &'a BTreeSet<(u64, WorkerId)>,
        need: &TaskRequirements<'_>,
    ) -> Option<&'a WorkerId> {
        let count = |tasks: Option<&u32>| tasks.copied().unwrap_or(0);
        let emptiest_first = order.iter().rev().map(|(_, id)| id).filter(|id| self.fits(id, need));
        emptiest_first.take(SPREAD_CANDIDATES).min_by_key(|id| {
            let rack = self.workers.get(id).map(|slot| &slot.rack);
            (count(rack.and_then(|rack| need.by_rack.get(rack))), count(need.by_worker.get(id)))
        })
    }

    fn fits(&self, id: &WorkerId, need: &TaskRequirements<'_>) -> bool {
        let Some(slot) = self.workers.get(id) else { return false };
        if !slot.free.covers(need.resources) || need.avoid.contains(id) {
            return false;
        }
        let headroom_milli = slot.capacity.cpu_milli * need.headroom_percent / 100;
        slot.free.cpu_milli - need.resources.cpu_milli >= headroom_milli
    }

    fn update(&mut self, id: &WorkerId, update: impl FnOnce(&mut WorkerSlot)) {
        let Some(mut slot) = self.workers.remove(id) else { return };
        self.remove_from_order(id, &slot);
        update(&mut slot);
        self.add_to_order(id, &slot);
        self.workers.insert(id.clone(), slot);
    }

    fn add_to_order(&mut self, id: &WorkerId, slot: &WorkerSlot) {
        if slot.schedulable {
            self.order_of(slot).insert((free_fraction(&slot.free, &slot.capacity), id.clone()));
        }
    }

    fn remove_from_order(&mut self, id: &WorkerId, slot: &WorkerSlot) {
        if slot.schedulable {
            self.order_of(slot).remove(&(free_fraction(&slot.free, &slot.capacity), id.clone()));
        }
    }

    fn order_of(&mut self, slot: &WorkerSlot) -> &mut BTreeSet<(u64, WorkerId)> {
        if slot.capacity.accels > 0 { &mut self.with_accels } else { &mut self.without_accels }
    }
}

/// Number of tasks with `need` that fit into `capacity`.
fn tasks_that_fit(capacity: &Resources, need: &Resources) -> u64 {
    let quotient = |all: u64, one: u64| all.checked_div(one).unwrap_or(u64::MAX);
    quotient(capacity.cpu_milli, need.cpu_milli)
        .min(quotient(capacity.mem_mb, need.mem_mb))
        .min(quotient(capacity.accels, need.accels))
        .min(u64::from(u32::MAX))
}
