//! Chooses workers for the waiting tasks of a step.

use std::collections::BTreeMap;

use evacuation::cold_slowness;
use libs::compact_str::CompactString;
use types::{Millis, RackId, Resources, WorkerId};
use unequal_workers::SLOWNESS_WEIGHT;

use crate::cell::Cell;
use crate::fit;
use crate::job::Task;
use crate::model::{QueuePolicy, StepKey, StepSpec, TaskKey};
use crate::ranking::{Outlook, Rank};
use crate::round::{BestFirst, count};
use crate::worker::Worker;

/// Time for which the last attempt of a task waits for a worker whose last run did not fail.
const LAST_ATTEMPT_WAIT_MS: Millis = Millis(1_000);

/// Share of a team's limit that its deferrable work leaves to its urgent work, in percent: about
/// what a burst of twice the usual load adds.
const TEAM_HEADROOM_PERCENT: u64 = 15;

/// A step that looks for workers in a scheduling round.
pub(crate) struct WaitingStep<'a> {
    pub(crate) key: &'a StepKey,
    pub(crate) spec: &'a StepSpec,
    pub(crate) queue: &'a QueuePolicy,
    pub(crate) rank: Rank,
    /// It goes before all others, since it has waited too long.
    pub(crate) has_turn: bool,
    /// Indexes of the tasks that wait.
    pub(crate) tasks: &'a [u32],
    pub(crate) now: Millis,
}

/// A task with the worker chosen for it, and the ticket to use there.
pub(crate) type Placed = (u32, WorkerId, Option<CompactString>);

impl WaitingStep<'_> {
    /// Whether it can end within its objective, and may preempt others for that.
    pub(crate) fn is_urgent(&self) -> bool {
        self.rank.outlook == Outlook::InTime && self.queue.priority == 0
    }

    /// Penalty of a worker that is cold now, for a step that must start now to be in time.
    fn cold_penalty(&self, worker: &Worker, slowdown: Option<f64>) -> f64 {
        let cold_ms = worker.cold_until_ms.since(self.now);
        if self.rank.outlook != Outlook::InTime || cold_ms == Millis(0) {
            return 0.0;
        }
        let slowness = cold_slowness(cold_ms, slowdown.unwrap_or_default(), self.spec.estimate_ms);
        SLOWNESS_WEIGHT * (slowness - 1.0)
    }

    fn reserved_percent(&self) -> u64 {
        if self.rank.is_deferrable() && !self.has_turn { TEAM_HEADROOM_PERCENT } else { 0 }
    }
}

impl Cell {
    /// Chooses a worker for each waiting task, as far as free resources allow. Only a step that has
    /// its turn may use the workers that are held.
    pub(crate) fn choose_workers(&self, waiting: &WaitingStep<'_>) -> Vec<Placed> {
        let WaitingStep { key, spec, queue, now, .. } = *waiting;
        let Some(step) = self.step(key) else {
            return Vec::new();
        };
        let is_last_attempt = |index: u32| {
            let counted = if spec.gang { 0 } else { index };
            step.tasks.get(counted).is_some_and(|task| {
                task.failed.len() as u32 + 1 >= queue.max_attempts
                    && now < task.not_before_ms + LAST_ATTEMPT_WAIT_MS
            })
        };
        let mut limit = self.team_slots_with_reserve(key, spec, waiting.reserved_percent());
        if limit == 0 {
            return Vec::new();
        }
        let unix_ms = self.unix_ms(now);
        let rule = self.speed_rule(waiting);
        let mut fast_slots = rule.fast_slots;
        let mut free: BTreeMap<&WorkerId, (Resources, u32)> = BTreeMap::new();
        let mut rack: Option<RackId> = None;
        let charge = spec.charge();
        let mut consider = |id, worker: &Worker| {
            count(&self.work.workers, 1);
            if !waiting.has_turn && self.held_workers.contains(id) {
                return;
            }
            if !worker.free().covers(&charge) && !spec.same_rack {
                return;
            }
            let counts = spec.same_rack || spec.max_per_worker.is_some();
            let of_step = if counts { worker.count_runs(key) } else { 0 };
            if of_step > 0 && spec.same_rack {
                rack.clone_from(&worker.report.rack);
            }
            if worker.accepts(queue, spec, now)
                && worker.free().covers(&charge)
                && rule.may_start_on(worker)
            {
                free.insert(id, (worker.free(), of_step as u32));
            }
        };
        // For a rack, also workers without room are examined: they tell where the other tasks run.
        let with_room = self.workers_with_room(&queue.service, charge);
        if queue.advice.is_some() {
            // Few workers have a ticket, or few have room, so only the fewer are examined.
            let allowed = step.advice.allowed_count();
            let with_room: Vec<&WorkerId> = with_room.map(|(id, _)| id).take(allowed).collect();
            let examined = if spec.same_rack || with_room.len() == allowed {
                step.advice.allowed_workers().collect()
            } else {
                with_room
            };
            for id in examined {
                let Some((id, worker)) = self.workers.get_key_value(id) else { continue };
                if step.advice.ticket(id, worker.incarnation_unix_ms, now).is_some() {
                    consider(id, worker);
                }
            }
        } else if spec.same_rack {
            self.workers.iter().for_each(|(id, worker)| consider(id, worker));
        } else {
            with_room.for_each(|(id, worker)| consider(id, worker));
        }
        let cold_slowdown = self.policy.cold_slowdowns.get(&queue.service).copied();
        let mut best_first: Option<BestFirst<'_>> = None;
        let mut chosen = Vec::new();
        for index in waiting.tasks {
            if limit == 0 {
                break;
            }
            let last_attempt = is_last_attempt(*index);
            let state = step.tasks.get(*index);
            let was_lost = state.is_some_and(|task| !task.losses.is_empty());
            let on_trial = !spec.gang && state.is_some_and(Task::is_suspect);
            let task = TaskKey { step: key.clone(), index: *index };
            let runs_task = |id: &WorkerId| {
                self.workers.get(id).is_some_and(|worker| worker.runs.contains_key(&task))
            };
            // The reserve of fast capacity holds for each task, also within one step.
            let is_reserved = |id: &WorkerId| {
                fast_slots == 0 && self.workers.get(id).is_some_and(|worker| !rule.is_slow(worker))
            };
            let takes_more = |count: u32| spec.max_per_worker.is_none_or(|most| count < most);
            let score = |id: &WorkerId, room: &Resources, rack: Option<&RackId>| {
                count(&self.work.workers, 1);
                let worker = self.workers.get(id)?;
                let score = fit::score(spec, worker, room, rack, &rule)?;
                Some((worker, score - waiting.cold_penalty(worker, cold_slowdown)))
            };
            let is_special = last_attempt || was_lost || on_trial;
            let best = if is_special {
                free.iter()
                    .filter(|(_, (_, count))| takes_more(*count))
                    .filter(|(id, _)| {
                        !on_trial || !chosen.iter().any(|(_, taken, _)| taken == **id)
                    })
                    .filter(|(id, _)| !runs_task(id) && !is_reserved(id))
                    .filter_map(|(id, (room, _))| {
                        let (worker, score) = score(id, room, rack.as_ref())?;
                        if last_attempt && worker.health.failed_last_run() {
                            return None;
                        }
                        let penalty = if was_lost {
                            fit::loss_penalty(worker, on_trial, unix_ms, now)
                        } else {
                            0.0
                        };
                        Some((score - penalty, *id))
                    })
                    .max_by(|(left, _), (right, _)| left.total_cmp(right))
                    .map(|(_, id)| id)
            } else {
                let best_first = best_first.get_or_insert_with(|| {
                    let usable = free.iter().filter(|(_, (_, count))| takes_more(*count));
                    BestFirst::new(usable.filter_map(|(id, (room, _))| {
                        score(id, room, rack.as_ref()).map(|(_, score)| (score, *id))
                    }))
                });
                best_first.take(|id| !runs_task(id) && !is_reserved(id))
            };
            if is_special {
                // What it takes from the workers is not in their order.
                best_first = None;
            }
            let Some(id) = best else {
                if last_attempt || on_trial {
                    continue;
                }
                break;
            };
            if let Some((room, count)) = free.get_mut(id) {
                *room = room.minus(&spec.charge());
                *count += 1;
                if let Some(best_first) = best_first.as_mut()
                    && takes_more(*count)
                    && let Some((_, score)) = score(id, room, rack.as_ref())
                {
                    best_first.add(score, id);
                }
            }
            if spec.same_rack && rack.is_none() {
                rack = self.workers.get(id).and_then(|worker| worker.report.rack.clone());
                best_first = None;
            }
            if self.workers.get(id).is_some_and(|worker| !rule.is_slow(worker)) {
                fast_slots = fast_slots.saturating_sub(1);
            }
            let incarnation = self.workers.get(id).map_or(0, |worker| worker.incarnation_unix_ms);
            let ticket = step.advice.ticket(id, incarnation, now).map(|ticket| ticket.text.clone());
            chosen.push((*index, id.clone(), ticket));
            if on_trial {
                let id = id.clone();
                free.remove(&id);
            }
            limit -= 1;
        }
        chosen
    }
}
