//! Free resources of each service during a scheduling round, and what waiting steps may count on.
//!
//! Load pattern: several times more work waits than has room. Advice for steps that cannot start
//! while their tickets are valid takes the advisor's time from those that can, and looking for
//! workers with room for each waiting step takes the leader's.

use std::collections::BTreeMap;

use libs::compact_str::CompactString;
use types::{Millis, Resources};

use crate::cell::Cell;

/// Steps of a service that may ask for advice ahead of any room, however little becomes free.
const MIN_STEPS_AHEAD: u32 = 2;

/// Resources of one service.
#[derive(Debug, Default)]
pub(crate) struct Room {
    pub(crate) total: Resources,
    pub(crate) free: Resources,
    /// For each resource, the most that any worker had free at the start of the round.
    largest: Resources,
    /// Part of `free` that no step of a better rank is about to use.
    unclaimed: Resources,
    /// Resources that runs free in a second.
    freed_per_s: Resources,
    /// Resources that become free and are needed by steps of a better rank.
    claimed_ahead: Resources,
    steps_ahead: u32,
}

impl Room {
    /// Whether a worker may have room for a task.
    pub(crate) fn may_fit(&self, charge: &Resources) -> bool {
        self.largest.covers(charge)
    }

    /// Counts resources that were given to a step.
    pub(crate) fn start(&mut self, used: &Resources) {
        self.free = self.free.minus(used);
        self.unclaimed = self.unclaimed.minus(used);
    }

    /// Whether a task may find room that no step of a better rank is about to use.
    pub(crate) fn fits(&self, charge: &Resources) -> bool {
        self.may_fit(charge) && self.unclaimed.covers(charge)
    }

    /// Claims free resources for `tasks` tasks of a step that waits for advice on workers with room.
    pub(crate) fn claim(&mut self, charge: &Resources, tasks: u64) {
        self.unclaimed = self.unclaimed.minus(&charge.times(tasks));
    }

    /// Claims resources that become free for `tasks` tasks that wait. Returns whether there will be
    /// enough for one within `ahead_ms`.
    pub(crate) fn claim_ahead(&mut self, charge: &Resources, tasks: u64, ahead_ms: Millis) -> bool {
        self.steps_ahead += 1;
        let becomes_free = freed_within(&self.freed_per_s, ahead_ms).minus(&self.claimed_ahead);
        self.claimed_ahead = self.claimed_ahead.plus(&charge.times(tasks));
        self.steps_ahead <= MIN_STEPS_AHEAD || becomes_free.covers(charge)
    }
}

fn freed_within(per_s: &Resources, ms: Millis) -> Resources {
    Resources {
        cpu_milli: per_s.cpu_milli * ms.0 / 1_000,
        mem_mb: per_s.mem_mb * ms.0 / 1_000,
        accels: per_s.accels * ms.0 / 1_000,
    }
}

/// Resources of all services.
#[derive(Debug, Default)]
pub(crate) struct Rooms(BTreeMap<CompactString, Room>);

impl Rooms {
    pub(crate) fn get(&self, service: &CompactString) -> Option<&Room> {
        self.0.get(service)
    }

    pub(crate) fn get_mut(&mut self, service: &CompactString) -> &mut Room {
        self.0.entry(service.clone()).or_default()
    }
}

impl Cell {
    /// Resources of the workers that accept new work, at the start of a scheduling round.
    pub(crate) fn rooms(&self) -> Rooms {
        let mut rooms = Rooms::default();
        for worker in self.workers.values() {
            if !worker.is_in_service() {
                continue;
            }
            let free = worker.free();
            let room = rooms.get_mut(&worker.report.service);
            room.total = room.total.plus(&worker.report.capacity);
            room.free = room.free.plus(&free);
            if worker.attached && worker.reachable {
                room.unclaimed = room.unclaimed.plus(&free);
                room.largest = Resources {
                    cpu_milli: room.largest.cpu_milli.max(free.cpu_milli),
                    mem_mb: room.largest.mem_mb.max(free.mem_mb),
                    accels: room.largest.accels.max(free.accels),
                };
            }
        }
        for (service, freed) in &self.freed_per_s {
            rooms.get_mut(service).freed_per_s = *freed;
        }
        rooms
    }

    /// Updates the rates at which runs free resources, from their declared run times.
    pub(crate) fn update_turnover(&mut self) {
        self.freed_per_s.clear();
        // What becomes free in an evacuated domain is of no use.
        for worker in self.workers.values().filter(|worker| !worker.is_evacuated) {
            let per_s = worker.runs.values().filter(|run| run.estimate_ms.0 > 0).fold(
                Resources::ZERO,
                |sum, run| {
                    let rate = |amount: u64| amount * 1_000 / run.estimate_ms.0;
                    sum.plus(&Resources {
                        cpu_milli: rate(run.charge.cpu_milli),
                        mem_mb: rate(run.charge.mem_mb),
                        accels: rate(run.charge.accels * ACCEL_SCALE),
                    })
                },
            );
            let sum = self.freed_per_s.entry(worker.report.service.clone()).or_default();
            *sum = sum.plus(&per_s);
        }
        for sum in self.freed_per_s.values_mut() {
            sum.accels /= ACCEL_SCALE;
        }
    }
}

/// Rates of accelerators are summed in thousandths, since one run frees less than one a second.
const ACCEL_SCALE: u64 = 1_000;
