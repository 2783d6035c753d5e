//! Stops running tasks to make room for urgent jobs, and to enforce lowered limits.

use timeline::EventKind;
use types::{JobId, Millis, Resources, TaskId, TeamId, WorkerId};

use crate::limits::Amount;
use crate::pool::Pool;
use crate::workers::{PlacedTask, Worker};

/// Maximum number of preemptions of one task.
const MAX_PREEMPTIONS: u32 = 2;
/// Minimum time between two preemption rounds for the same job, so that preempted tasks can stop
/// first.
const PREEMPTION_COOLDOWN_MS: Millis = Millis(2_000);
/// Maximum number of workers on which tasks are preempted for one job in one round.
const MAX_PREEMPTION_WORKERS: usize = 16;

/// Tasks to stop on one worker.
struct Victims {
    worker: WorkerId,
    tasks: Vec<TaskId>,
    /// Lost work, in core-milliseconds.
    cost: u64,
}

impl Pool {
    /// Makes room for the waiting tasks of an urgent job by checkpointing the tasks that lose the
    /// least work.
    pub(crate) fn preempt_for(&mut self, now: Millis, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job
            .capacity_requested_at
            .is_some_and(|requested_at| now.since(requested_at) < PREEMPTION_COOLDOWN_MS)
        {
            return;
        }
        job.capacity_requested_at = Some(now);
        let need = job.spec.per_task;
        let count = job.waiting.len().min(MAX_PREEMPTION_WORKERS);
        let mut candidates: Vec<Victims> = self
            .workers
            .by_id
            .iter()
            .filter_map(|(id, worker)| self.select_victims(now, id, worker, &need))
            .collect();
        candidates.sort_by_key(|victims| victims.cost);
        for victims in candidates.into_iter().take(count) {
            self.checkpoint(&victims);
        }
    }

    fn select_victims(
        &self,
        now: Millis,
        id: &WorkerId,
        worker: &Worker,
        need: &Resources,
    ) -> Option<Victims> {
        if !worker.is_schedulable() {
            return None;
        }
        let mut free = self.index.get(id)?.free;
        let mut candidates: Vec<(u64, &TaskId, &PlacedTask)> = worker
            .tasks
            .iter()
            .filter(|(task, placed)| self.may_preempt(task, placed))
            .map(|(task, placed)| (wasted_work(now, placed), task, placed))
            .collect();
        candidates.sort_by_key(|(cost, _, placed)| (std::cmp::Reverse(placed.priority), *cost));
        let mut victims = Victims { worker: id.clone(), tasks: Vec::new(), cost: 0 };
        for (cost, task, placed) in candidates {
            if free.covers(need) {
                break;
            }
            free = free.plus(&placed.resources);
            victims.cost += cost;
            victims.tasks.push(task.clone());
        }
        (free.covers(need) && !victims.tasks.is_empty()).then_some(victims)
    }

    fn may_preempt(&self, task: &TaskId, placed: &PlacedTask) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let preempted = job.preemptions.get(&task.index).copied().unwrap_or(0);
        let is_less_urgent = placed.priority > types::Priority::Urgent;
        let has_end = placed.run_ms > Millis(0);
        is_less_urgent
            && has_end
            && job.spec.idempotent
            && placed.stopping.is_none()
            && preempted < MAX_PREEMPTIONS
    }

    fn checkpoint(&mut self, victims: &Victims) {
        for task in &victims.tasks {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                *job.preemptions.entry(task.index).or_default() += 1;
            }
            self.stop_task(&victims.worker, task);
            self.record_event(EventKind::TaskPreempted, &task.to_string(), victims.worker.as_str());
        }
    }

    /// Stops a placed task. A task that was not sent yet is requeued at once.
    fn stop_task(&mut self, worker: &WorkerId, task: &TaskId) {
        let placed =
            self.workers.by_id.get_mut(worker).and_then(|worker| worker.tasks.get_mut(task));
        match placed {
            Some(placed) if placed.is_unsent() => self.requeue_task(worker, task),
            Some(placed) => {
                placed.stopping = Some(true);
                self.workers.pending_syncs.insert(worker.clone());
            }
            None => {}
        }
    }

    /// Stops tasks of teams that use more than their slice, after a limit was lowered.
    pub(crate) fn stop_over_limits(&mut self) {
        for team in self.limits.teams_over_slice() {
            self.stop_excess(&team);
        }
    }

    fn stop_excess(&mut self, team: &TeamId) {
        let Some(slice) = self.limits.slice(team) else { return };
        let mut running: Vec<(bool, Millis, WorkerId, TaskId, Resources, bool)> = Vec::new();
        for (id, worker) in &self.workers.by_id {
            for (task, placed) in worker.tasks.iter().filter(|(_, placed)| placed.team == *team) {
                let idempotent = self.jobs.get(&task.job).is_some_and(|job| job.spec.idempotent);
                let stopping = placed.stopping.is_some();
                let entry = (
                    idempotent,
                    placed.placed_at,
                    id.clone(),
                    task.clone(),
                    placed.resources,
                    stopping,
                );
                running.push(entry);
            }
        }
        let mut used = self.limits.used(team);
        for (.., resources, _) in running.iter().filter(|(.., stopping)| *stopping) {
            used = used.minus(&Amount::of_resources(*resources));
        }
        // Stop idempotent tasks first, and among them the newest, which lose the least work.
        running.sort_by_key(|(idempotent, placed_at, ..)| {
            std::cmp::Reverse((*idempotent, *placed_at))
        });
        for (_, _, worker, task, resources, stopping) in running {
            let excess = used.resources.minus(&slice.resources);
            if excess == Resources::ZERO {
                return;
            }
            if !stopping {
                self.stop_task(&worker, &task);
                used = used.minus(&Amount::of_resources(resources));
            }
        }
    }
}

/// Work that is lost if a task is stopped now, in core-milliseconds.
fn wasted_work(now: Millis, placed: &PlacedTask) -> u64 {
    now.since(placed.placed_at).0 * placed.resources.cpu_milli / 1000
}
