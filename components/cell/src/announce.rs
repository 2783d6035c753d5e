//! Starts that are stored before they are ordered: those of suspects and of tasks with presumed losses.
//!
//! Load pattern: such a task crashes its worker, and its leader dies before it has stored that. So the start is
//! announced: the worker is reserved, and its incarnation is stored with the task. The next leader counts
//! a crash if that incarnation is gone, and withdraws the announcement if it answers. While the store is
//! down, none of them starts. Gangs are not announced: their members start on many workers at once.

use eventlog::event;
use forecast::NameHash;
use libs::compact_str::CompactString;
use types::{Millis, WorkerId};

use crate::cell::Cell;
use crate::job::{Phase, Step, Task};
use crate::losses::Trial;
use crate::model::{LossKind, LostRun, StepKey, TaskKey};
use crate::place::{Placed, WaitingStep};
use crate::polling::PollAnswer;
use crate::worker::Worker;

/// Time for which a worker stays reserved while an announcement is stored, which usually takes some tens of
/// milliseconds.
const MAX_RESERVED_MS: Millis = Millis(1_000);

impl Task {
    /// Attempt number of the start that this leader has announced and not ordered yet, if any.
    fn announced_attempt(&self, epoch: u64) -> Option<u32> {
        let is_announced = |loss: &&LostRun| matches!(loss.kind, LossKind::Announced { .. });
        let last = self.losses.iter().rfind(is_announced)?;
        let is_own = last.attempt >= Cell::next_attempt(epoch, 0);
        (is_own && last.attempt > self.attempt).then_some(last.attempt)
    }
}

impl Step {
    /// Removes the tasks whose start is announced from those that are to start. Returns the ones that this leader
    /// has announced, and the others.
    pub(crate) fn split_announced(&self, tasks: &mut Vec<u32>, epoch: u64) -> (Vec<u32>, Vec<u32>) {
        if !self.has_losses {
            return Default::default();
        }
        let (suspects, rest): (Vec<u32>, Vec<u32>) =
            tasks.iter().partition(|index| self.tasks.get(**index).is_some_and(Task::is_announced));
        *tasks = rest;
        suspects.into_iter().partition(|index| {
            self.tasks.get(*index).is_some_and(|task| task.announced_attempt(epoch).is_some())
        })
    }

    /// Attempt numbers of the next runs of tasks: the announced ones, or above all earlier ones. The members
    /// of a gang share theirs.
    pub(crate) fn next_attempts(&self, epoch: u64, gang: bool, placed: &[Placed]) -> Vec<u32> {
        let next = |task: &Task| {
            task.announced_attempt(epoch).unwrap_or(Cell::next_attempt(epoch, task.attempt))
        };
        let of_task = |index: u32| self.tasks.get(index).map_or(0, next);
        let highest = self.tasks.started().map(|(_, task)| task.attempt).max().unwrap_or(0);
        let shared = Cell::next_attempt(epoch, highest);
        let attempt = |(index, ..): &Placed| if gang { shared } else { of_task(*index) };
        placed.iter().map(attempt).collect()
    }
}

impl Cell {
    /// Reserves workers for suspects for which there is room now, and records their starts. They may be
    /// ordered once that is stored. Returns their number.
    pub(crate) fn announce(&mut self, waiting: &WaitingStep<'_>) -> usize {
        let placed = self.choose_workers(waiting);
        let epoch = self.epoch;
        let attempts = self.step(waiting.key).map(|step| step.next_attempts(epoch, false, &placed));
        let mut announced = 0;
        for ((index, id, _), attempt) in placed.iter().zip(attempts.unwrap_or_default()) {
            let free = self.workers.get_mut(id).filter(|worker| worker.trial.is_none());
            let Some(worker) = free else { continue };
            let task = TaskKey { step: waiting.key.clone(), index: *index };
            let kind = LossKind::Announced {
                worker: NameHash::of(id.as_str()),
                incarnation_unix_ms: worker.incarnation_unix_ms,
            };
            worker.trial = Some(Trial::reserved(task, waiting.now));
            event!("task.announced", "step" => waiting.key.to_string(), "index" => *index,
                "attempt" => attempt, "worker" => id.as_str());
            let step = self.step_mut(waiting.key);
            if let Some(task) = step.and_then(|step| step.tasks.get_mut(*index)) {
                task.losses.push(LostRun { attempt, kind });
            }
            self.dirty.mark(&waiting.key.job);
            announced += 1;
        }
        self.unindex(placed.iter().map(|(_, id, _)| id));
        announced
    }

    /// Chooses the reserved workers for announced starts, and withdraws the announcements whose worker
    /// cannot take the task any more.
    pub(crate) fn take_reserved_workers(
        &mut self,
        waiting: &WaitingStep<'_>,
        announced: &[u32],
    ) -> Vec<Placed> {
        let mut placed = Vec::new();
        let mut slots = self.team_slots(waiting.key, waiting.spec);
        for index in announced {
            let task = TaskKey { step: waiting.key.clone(), index: *index };
            match self.reserved_worker(&task, waiting).filter(|_| slots > 0) {
                Some((id, ticket)) => {
                    slots -= 1;
                    placed.push((*index, id, ticket));
                }
                None => self.withdraw_announcement(&task),
            }
        }
        placed
    }

    /// The worker that is reserved for a task, with the ticket to use there, if it still accepts the task.
    fn reserved_worker(
        &mut self,
        task: &TaskKey,
        waiting: &WaitingStep<'_>,
    ) -> Option<(WorkerId, Option<CompactString>)> {
        let (id, worker) = self.workers.iter().find(|(_, one)| one.is_reserved_for(task))?;
        let (id, incarnation_unix_ms) = (id.clone(), worker.incarnation_unix_ms);
        if !self.may_try(&id, waiting) {
            return None;
        }
        let advice = &self.step(waiting.key)?.advice;
        let ticket = advice.ticket(&id, incarnation_unix_ms, waiting.now);
        let ticket = ticket.map(|ticket| ticket.text.clone());
        let is_missing = waiting.queue.advice.is_some() && ticket.is_none();
        (!is_missing).then_some((id, ticket))
    }

    /// Whether the worker that is reserved for a task of a step still accepts it.
    fn may_try(&mut self, id: &WorkerId, waiting: &WaitingStep<'_>) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let trial = worker.trial.take();
        let accepts = worker.accepts(waiting.queue, waiting.spec, waiting.now)
            && worker.free().covers(&waiting.spec.charge());
        worker.trial = trial;
        accepts
    }

    /// Frees workers on which announced tasks have started that are not tried alone.
    pub(crate) fn end_reservations(&mut self, key: &StepKey, started: &[Placed]) {
        for (index, id, _) in started {
            let task = TaskKey { step: key.clone(), index: *index };
            let state = self.jobs.get(&key.job).and_then(|job| job.task(&task));
            if !state.is_some_and(Task::is_suspect)
                && let Some(worker) = self.workers.get_mut(id)
            {
                worker.trial.take_if(|trial| trial.task == task);
            }
        }
    }

    /// Withdraws the announced start of a task that has not been ordered, and frees its worker.
    fn withdraw_announcement(&mut self, key: &TaskKey) {
        let epoch = self.epoch;
        let task = self.jobs.get(&key.step.job).and_then(|job| job.task(key));
        if let Some(attempt) = task.and_then(|task| task.announced_attempt(epoch)) {
            self.withdraw_loss(key, attempt);
        }
        for worker in self.workers.values_mut().filter(|worker| worker.is_reserved_for(key)) {
            worker.trial = None;
            self.needs_scheduling = true;
        }
    }

    /// Frees workers whose reservation is not used: its announcement could not be stored, or its task does
    /// not wait any more.
    pub(crate) fn free_reserved_workers(&mut self, now: Millis) {
        let reserved = self.workers.values().filter_map(|worker| {
            let trial = worker.trial.as_ref()?;
            worker.is_reserved_for(&trial.task).then_some(trial)
        });
        let unused = reserved.filter(|trial| {
            let task = self.jobs.get(&trial.task.step.job).and_then(|job| job.task(&trial.task));
            let waits = task.is_some_and(|task| task.phase == Phase::Waiting);
            !waits || now.since(trial.began_ms) > MAX_RESERVED_MS
        });
        let unused: Vec<TaskKey> = unused.map(|trial| trial.task.clone()).collect();
        unused.iter().for_each(|key| self.withdraw_announcement(key));
    }

    /// Resolves what a former leader has announced for a worker that answers this one for the first time.
    pub(crate) fn resolve_announcements(&mut self, id: &WorkerId, answer: &PollAnswer) {
        let hash = NameHash::of(id.as_str());
        for (key, loss) in self.former_announcements() {
            let LossKind::Announced { worker, incarnation_unix_ms } = loss.kind else { continue };
            let is_active = answer.active.iter().any(|run| run.task == key);
            if worker != hash || is_active {
                // A run that is active there withdraws the announcement once it has survived.
                continue;
            }
            if incarnation_unix_ms == answer.incarnation_unix_ms {
                self.withdraw_loss(&key, loss.attempt);
            } else {
                self.count_as_doubtful(&key, loss.attempt);
            }
        }
    }

    /// Counts what former leaders have announced for workers that have not answered until their leases expired.
    pub(crate) fn count_announcements_of(&mut self, id: &WorkerId) {
        let hash = NameHash::of(id.as_str());
        for (key, loss) in self.former_announcements() {
            if matches!(loss.kind, LossKind::Announced { worker, .. } if worker == hash) {
                self.count_as_doubtful(&key, loss.attempt);
            }
        }
    }

    /// Starts that former leaders have announced and that are not resolved yet.
    fn former_announcements(&self) -> Vec<(TaskKey, LostRun)> {
        if !self.inherits_announcements {
            return Vec::new();
        }
        let own = Cell::next_attempt(self.epoch, 0);
        let is_former =
            |loss: &&LostRun| matches!(loss.kind, LossKind::Announced { .. }) && loss.attempt < own;
        let mut found = Vec::new();
        for (id, job) in self.open_jobs.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            for (occurrence, open) in &job.open_occurrences {
                for (step, state) in (0u16..).zip(&open.steps).filter(|(_, one)| one.has_losses) {
                    let step = StepKey { job: id.clone(), occurrence: *occurrence, step };
                    for (index, task) in state.tasks.started() {
                        let key = || TaskKey { step: step.clone(), index };
                        let losses = task.losses.iter().filter(is_former);
                        found.extend(losses.map(|loss| (key(), *loss)));
                    }
                }
            }
        }
        found
    }

    fn count_as_doubtful(&mut self, key: &TaskKey, attempt: u32) {
        let Some(step) = self.step_mut(&key.step) else { return };
        let Some(task) = step.tasks.get_mut(key.index) else { return };
        for loss in task.losses.iter_mut().filter(|loss| loss.attempt == attempt) {
            loss.kind = LossKind::Doubtful;
        }
        event!("task.lost", "task" => key.to_string(), "attempt" => attempt,
            "why" => "announced by a former leader, and its worker is gone");
        self.dirty.mark(&key.step.job);
    }
}

impl Worker {
    /// Whether it is reserved for a task that has not been started there.
    fn is_reserved_for(&self, key: &TaskKey) -> bool {
        self.trial.as_ref().is_some_and(|trial| trial.task == *key) && !self.runs.contains_key(key)
    }
}
