//! The index of workers by room.

use std::collections::{BTreeMap, BTreeSet};

use types::{RackId, Resources, Spread, WorkerId};

use crate::room::{least_room, room};

/// Workers that a spreading search compares.
const SPREAD_CANDIDATES: usize = 24;

/// A worker as the index sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSlot {
    /// Rack of the worker.
    pub rack: RackId,
    /// What it has.
    pub capacity: Resources,
    /// What is not granted.
    pub free: Resources,
    /// Whether it takes new tasks.
    pub open: bool,
}

/// What a search looks for.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// What the task is granted.
    pub resources: &'a Resources,
    /// How tasks of the job are laid out.
    pub spread: Spread,
    /// Tasks of the same job by rack, for spreading.
    pub by_rack: &'a BTreeMap<RackId, u32>,
    /// Tasks of the same job by worker, for spreading.
    pub by_worker: &'a BTreeMap<WorkerId, u32>,
    /// Part of each worker's processors that must stay free, in percent.
    pub headroom_percent: u64,
    /// Workers not to use.
    pub avoid: &'a BTreeSet<WorkerId>,
}

/// All workers of a pool.
#[derive(Debug, Clone, Default)]
pub struct Index {
    workers: BTreeMap<WorkerId, WorkerSlot>,
    /// Open workers without accelerators, by room.
    plain: BTreeSet<(u64, WorkerId)>,
    /// Open workers with accelerators, by room.
    accelerated: BTreeSet<(u64, WorkerId)>,
    /// Largest capacity of any worker, in each resource.
    largest: Resources,
    total: Resources,
}

impl Index {
    /// Adds or replaces a worker.
    pub fn insert(&mut self, id: WorkerId, slot: WorkerSlot) {
        self.remove(&id);
        self.largest.cpu_milli = self.largest.cpu_milli.max(slot.capacity.cpu_milli);
        self.largest.mem_mb = self.largest.mem_mb.max(slot.capacity.mem_mb);
        self.total = self.total.plus(&slot.capacity);
        self.link(&id, &slot);
        self.workers.insert(id, slot);
    }

    /// Removes a worker.
    pub fn remove(&mut self, id: &WorkerId) -> Option<WorkerSlot> {
        let slot = self.workers.remove(id)?;
        self.unlink(id, &slot);
        self.total = self.total.minus(&slot.capacity);
        Some(slot)
    }

    /// A worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerSlot> {
        self.workers.get(id)
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerSlot)> {
        self.workers.iter()
    }

    /// Capacity of all workers together.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Whether some worker could hold the task if it ran nothing else.
    pub fn could_hold(&self, need: &Resources) -> bool {
        self.workers.values().any(|slot| slot.capacity.holds(need))
    }

    /// How many such tasks all workers could hold if they ran nothing else.
    pub fn could_hold_tasks(&self, need: &Resources) -> u64 {
        self.workers.values().map(|slot| times_held(&slot.capacity, need)).sum()
    }

    /// Opens or closes a worker for new tasks.
    pub fn set_open(&mut self, id: &WorkerId, open: bool) {
        self.change(id, |slot| slot.open = open);
    }

    /// Takes resources of a worker. False if it does not have them, in which case nothing changes.
    pub fn take(&mut self, id: &WorkerId, need: &Resources) -> bool {
        if !self.workers.get(id).is_some_and(|slot| slot.free.holds(need)) {
            return false;
        }
        self.change(id, |slot| slot.free = slot.free.minus(need));
        true
    }

    /// Gives resources back to a worker.
    pub fn give(&mut self, id: &WorkerId, amount: &Resources) {
        self.change(id, |slot| slot.free = slot.free.plus(amount));
    }

    /// Finds an open worker for a task. Tasks without accelerators go to plain workers first.
    pub fn find(&self, need: &Need<'_>) -> Option<&WorkerId> {
        let wants_accels = need.resources.accels > 0;
        let plain = if wants_accels { None } else { self.find_in(&self.plain, need) };
        plain.or_else(|| self.find_in(&self.accelerated, need))
    }

    fn find_in<'a>(
        &'a self,
        set: &'a BTreeSet<(u64, WorkerId)>,
        need: &Need<'_>,
    ) -> Option<&'a WorkerId> {
        match need.spread {
            Spread::Pack => self.find_tightest(set, need),
            Spread::Spread => self.find_spread(set, need),
        }
    }

    fn find_tightest<'a>(
        &'a self,
        set: &'a BTreeSet<(u64, WorkerId)>,
        need: &Need<'_>,
    ) -> Option<&'a WorkerId> {
        let least = least_room(need.resources, &self.largest);
        let from = (least, WorkerId::default());
        set.range(from..).map(|(_, id)| id).find(|id| self.fits(id, need))
    }

    fn find_spread<'a>(
        &'a self,
        set: &'a BTreeSet<(u64, WorkerId)>,
        need: &Need<'_>,
    ) -> Option<&'a WorkerId> {
        let count = |tasks: Option<&u32>| tasks.copied().unwrap_or(0);
        let roomiest = set.iter().rev().map(|(_, id)| id).filter(|id| self.fits(id, need));
        roomiest.take(SPREAD_CANDIDATES).min_by_key(|id| {
            let rack = self.workers.get(id).map(|slot| &slot.rack);
            (count(rack.and_then(|rack| need.by_rack.get(rack))), count(need.by_worker.get(id)))
        })
    }

    fn fits(&self, id: &WorkerId, need: &Need<'_>) -> bool {
        let Some(slot) = self.workers.get(id) else { return false };
        if !slot.free.holds(need.resources) || need.avoid.contains(id) {
            return false;
        }
        let kept_free = slot.capacity.cpu_milli * need.headroom_percent / 100;
        slot.free.cpu_milli - need.resources.cpu_milli >= kept_free
    }

    fn change(&mut self, id: &WorkerId, change: impl FnOnce(&mut WorkerSlot)) {
        let Some(mut slot) = self.workers.remove(id) else { return };
        self.unlink(id, &slot);
        change(&mut slot);
        self.link(id, &slot);
        self.workers.insert(id.clone(), slot);
    }

    fn link(&mut self, id: &WorkerId, slot: &WorkerSlot) {
        if slot.open {
            self.set_of(slot).insert((room(&slot.free, &slot.capacity), id.clone()));
        }
    }

    fn unlink(&mut self, id: &WorkerId, slot: &WorkerSlot) {
        if slot.open {
            self.set_of(slot).remove(&(room(&slot.free, &slot.capacity), id.clone()));
        }
    }

    fn set_of(&mut self, slot: &WorkerSlot) -> &mut BTreeSet<(u64, WorkerId)> {
        if slot.capacity.accels > 0 { &mut self.accelerated } else { &mut self.plain }
    }
}

/// How many times `need` fits into `capacity`.
fn times_held(capacity: &Resources, need: &Resources) -> u64 {
    let times = |all: u64, one: u64| all.checked_div(one).unwrap_or(u64::MAX);
    times(capacity.cpu_milli, need.cpu_milli)
        .min(times(capacity.mem_mb, need.mem_mb))
        .min(times(capacity.accels, need.accels))
        .min(u64::from(u32::MAX))
}
