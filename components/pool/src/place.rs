//! Placement: chooses which waiting task starts next, and on which worker.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use placement::TaskRequirements;
use types::{JobId, JobKind, Millis, Priority, Resources, TeamId, WorkerId};

use crate::jobs::BlockedReason;
use crate::limits::Amount;
use crate::pool::Pool;
use crate::workers::Worker;

/// Number of jobs of one team to try before moving on to the next team.
const LOOKAHEAD_JOBS: usize = 4;
/// Maximum number of tasks placed in one step. The rest wait for the next step, so that other
/// events are not delayed.
const MAX_TASKS_PER_STEP: usize = 512;
/// Time that a gang waits for capacity before workers are reserved for it.
const RESERVE_AFTER_MS: Millis = Millis(5_000);
/// Maximum share of all workers that may be reserved for gangs at the same time.
const MAX_RESERVED_PERCENT: usize = 25;
/// Maximum duration of a reservation.
const MAX_RESERVATION_MS: Millis = Millis(600_000);

/// Workers that are reserved for a gang.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) workers: BTreeSet<WorkerId>,
    pub(crate) since: Millis,
}

/// Resource needs that did not fit in the current round. Needs that are at least as large are
/// skipped.
type UnplaceableNeeds = Vec<Resources>;

impl Pool {
    /// Places waiting tasks until nothing more fits.
    pub(crate) fn place_jobs(&mut self, now: Millis) {
        if !self.needs_placement || self.queue.is_empty() {
            return;
        }
        self.needs_placement = false;
        self.drop_stale_reservations(now);
        let mut budget = MAX_TASKS_PER_STEP;
        for priority in [Priority::Urgent, Priority::Normal, Priority::Low] {
            self.place_priority(now, priority, &mut budget);
        }
    }

    fn place_priority(&mut self, now: Millis, priority: Priority, budget: &mut usize) {
        let teams = self.queue.teams(priority);
        let mut order: BinaryHeap<Reverse<(u64, TeamId)>> =
            teams.map(|team| Reverse((self.score(team), team.clone()))).collect();
        let mut unplaceable = UnplaceableNeeds::new();
        while let Some(Reverse((_, team))) = order.pop() {
            if *budget == 0 {
                self.needs_placement = true;
                return;
            }
            if self.nothing_fits(priority, &unplaceable) {
                return;
            }
            let placed = self.place_next(now, priority, &team, &mut unplaceable);
            if placed > 0 {
                *budget = budget.saturating_sub(placed);
                order.push(Reverse((self.score(&team), team)));
            }
        }
    }

    /// Whether no more jobs of a priority can be placed. All urgent jobs are tried, because each
    /// may preempt. All jobs are tried while there are reservations, because a gang may fit by now.
    fn nothing_fits(&self, priority: Priority, unplaceable: &UnplaceableNeeds) -> bool {
        let may_preempt = priority == Priority::Urgent && self.settings.mechanisms.preemption;
        !may_preempt
            && self.reservations.is_empty()
            && self.queue.all_need_at_least(priority, unplaceable)
    }

    fn score(&self, team: &TeamId) -> u64 {
        if self.settings.mechanisms.shares { self.shares.score(team) } else { 0 }
    }

    /// Places the next task or gang of a team. Returns the number of placed tasks.
    fn place_next(
        &mut self,
        now: Millis,
        priority: Priority,
        team: &TeamId,
        unplaceable: &mut UnplaceableNeeds,
    ) -> usize {
        for id in self.queue.first(priority, team, LOOKAHEAD_JOBS) {
            let is_gang = self.jobs.get(&id).is_some_and(|job| job.spec.kind == JobKind::Gang);
            let placed = if is_gang {
                self.place_gang(now, &id)
            } else {
                self.place_one(now, &id, unplaceable)
            };
            if placed > 0 {
                return placed;
            }
        }
        0
    }

    fn place_one(&mut self, now: Millis, id: &JobId, unplaceable: &mut UnplaceableNeeds) -> usize {
        let Some(job) = self.jobs.get(id) else { return 0 };
        let Some(index) = job.waiting.first().copied() else { return 0 };
        let need = job.spec.per_task;
        let team = job.spec.team.clone();
        let is_urgent = job.spec.priority == Priority::Urgent;
        let demand = Amount::of_resources(need.times(job.waiting.len() as u64));
        if !self.limits.allows(&team, &Amount::of_resources(need), &demand) {
            self.set_blocked_reason(id, BlockedReason::Limit);
            return 0;
        }
        let known_unplaceable =
            unplaceable.iter().any(|unplaceable_need| need.covers(unplaceable_need));
        let found = if known_unplaceable { None } else { self.find_worker(id) };
        let Some(worker) = found else {
            if !known_unplaceable {
                unplaceable.push(need);
            }
            let could_fit = known_unplaceable || self.index.fits_any_idle_worker(&need);
            self.set_blocked_reason(
                id,
                if could_fit { BlockedReason::NoCapacity } else { BlockedReason::NeverFits },
            );
            if is_urgent && self.settings.mechanisms.preemption {
                self.preempt_for(now, id);
            }
            return 0;
        };
        self.place_task(now, id, index, &worker);
        1
    }

    /// Finds a worker for a job's next task, preferably one on which no task of the job has failed.
    pub(crate) fn find_worker(&self, id: &JobId) -> Option<WorkerId> {
        let job = self.jobs.get(id)?;
        let is_urgent = job.spec.priority == Priority::Urgent;
        let headroom = if is_urgent { 0 } else { self.rules.headroom_percent(&self.settings.pool) };
        let no_workers = BTreeSet::new();
        let need = TaskRequirements {
            resources: &job.spec.per_task,
            spread: job.spec.spread,
            by_rack: &job.by_rack,
            by_worker: &job.by_worker,
            headroom_percent: u64::from(headroom),
            avoid: &job.failed_on,
        };
        let found = self.index.find(&need);
        found.or_else(|| self.index.find(&TaskRequirements { avoid: &no_workers, ..need })).cloned()
    }

    fn set_blocked_reason(&mut self, id: &JobId, blocked: BlockedReason) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.blocked = Some(blocked);
        }
    }

    /// Places all waiting tasks of a gang, or none. Returns the number of placed tasks.
    fn place_gang(&mut self, now: Millis, id: &JobId) -> usize {
        let Some(job) = self.jobs.get(id) else { return 0 };
        let waiting: Vec<u32> = job.waiting.iter().copied().collect();
        let total = job.spec.per_task.times(waiting.len() as u64);
        let team = job.spec.team.clone();
        let total = Amount::of_resources(total);
        if !self.limits.allows(&team, &total, &total) {
            self.set_blocked_reason(id, BlockedReason::Limit);
            return 0;
        }
        let had_reservation = self.reservations.contains_key(id);
        if had_reservation {
            self.set_reserved(id, false);
        }
        let Some(workers) = self.find_gang_workers(id, waiting.len()) else {
            self.set_blocked_reason(id, BlockedReason::NoCapacity);
            if had_reservation {
                self.set_reserved(id, true);
            } else {
                self.reserve_for(now, id);
            }
            return 0;
        };
        self.reservations.remove(id);
        for (index, worker) in waiting.iter().zip(&workers) {
            self.place_task(now, id, *index, worker);
        }
        waiting.len()
    }

    /// Finds workers for `count` tasks of a job at the same time. Leaves the index unchanged.
    fn find_gang_workers(&mut self, id: &JobId, count: usize) -> Option<Vec<WorkerId>> {
        let need = self.jobs.get(id)?.spec.per_task;
        let mut workers = Vec::with_capacity(count);
        while workers.len() < count {
            let Some(worker) = self.find_worker(id) else { break };
            if !self.index.allocate(&worker, &need) {
                break;
            }
            workers.push(worker);
        }
        for worker in &workers {
            self.index.release(worker, &need);
        }
        (workers.len() == count).then_some(workers)
    }

    /// Reserves enough workers for a gang that has waited for long, so that smaller tasks do not
    /// take each bit of capacity that becomes free. Prefers the workers that have enough free
    /// capacity earliest.
    fn reserve_for(&mut self, now: Millis, id: &JobId) {
        let reserved: usize = self.reservations.values().map(|one| one.workers.len()).sum();
        let max_reserved = self.workers.by_id.len() * MAX_RESERVED_PERCENT / 100;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let since = *job.capacity_requested_at.get_or_insert(now);
        if !self.settings.mechanisms.reservations || now.since(since) < RESERVE_AFTER_MS {
            return;
        }
        let need = job.spec.per_task;
        let missing = job.waiting.len();
        let mut fits: Vec<(Millis, &WorkerId)> = self
            .workers
            .by_id
            .iter()
            .filter(|(_, worker)| worker.is_schedulable())
            .flat_map(|(id, worker)| fit_times(worker, &need).into_iter().map(move |at| (at, id)))
            .collect();
        fits.sort();
        if fits.len() < missing {
            return;
        }
        let workers: BTreeSet<WorkerId> =
            fits.into_iter().take(missing).map(|(_, id)| id.clone()).collect();
        if reserved + workers.len() > max_reserved {
            return;
        }
        self.reservations.insert(id.clone(), Reservation { workers, since: now });
        self.set_reserved(id, true);
    }

    fn set_reserved(&mut self, job: &JobId, reserved: bool) {
        let Some(reservation) = self.reservations.get(job) else { return };
        for id in reservation.workers.clone() {
            if let Some(worker) = self.workers.by_id.get_mut(&id) {
                worker.reserved = reserved;
            }
            self.update_schedulable(&id);
        }
    }

    fn drop_stale_reservations(&mut self, now: Millis) {
        let is_stale = |job: &JobId, reservation: &Reservation| {
            let is_waiting = self.jobs.get(job).is_some_and(|job| !job.waiting.is_empty());
            !is_waiting || now.since(reservation.since) >= MAX_RESERVATION_MS
        };
        let stale: Vec<JobId> = self
            .reservations
            .iter()
            .filter(|(job, one)| is_stale(job, one))
            .map(|(job, _)| job.clone())
            .collect();
        for id in stale {
            self.set_reserved(&id, false);
            self.reservations.remove(&id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.capacity_requested_at = None;
            }
        }
    }
}

/// The times at which the worker can take each further task of this size, in order, if its running
/// tasks end after their declared run time. Tasks without a declared run time are assumed not to
/// end.
fn fit_times(worker: &Worker, need: &Resources) -> Vec<Millis> {
    let granted =
        worker.tasks.values().fold(Resources::ZERO, |sum, task| sum.plus(&task.resources));
    let mut free = worker.info.capacity.minus(&granted);
    let mut ends: Vec<(Millis, Resources)> = worker
        .tasks
        .values()
        .filter(|task| task.run_ms > Millis(0))
        .map(|task| (task.placed_at + task.run_ms, task.resources))
        .collect();
    ends.sort_by_key(|(at, _)| *at);
    let mut times = Vec::new();
    let mut at = Millis(0);
    let mut ends = ends.into_iter();
    loop {
        if free.covers(need) && *need != Resources::ZERO {
            free = free.minus(need);
            times.push(at);
            continue;
        }
        let Some((end, resources)) = ends.next() else { return times };
        at = end;
        free = free.plus(&resources);
    }
}
