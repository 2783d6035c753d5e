//! Tasks on workers: starting, ending, reconciling with what workers say, and lapsing.

use std::collections::BTreeMap;

use placement::WorkerSlot;
use timeline::EventKind;
use types::{
    Attempt, BackendState, JobId, JobKind, JobState, Millis, Priority, Resources, RunnerInfo,
    RunningTask, SyncAnswer, TaskId, TeamId, WorkerEnd, WorkerId, WorkerInfo,
};

use crate::event::{Action, CallFailure};
use crate::jobs::{Job, TaskState};
use crate::limits::Amount;
use crate::pool::{FollowUp, Pool};
use crate::record::{Record, TaskEnd};
use crate::runners::Runner;
use crate::workers::{Phase, PlacedTask, Worker, lapse_after};

/// Failures of a task after which it counts as failed for good.
const MAX_TASK_FAILURES: u32 = 3;
/// A syncing call without an answer counts as failed after this time.
const SYNC_TIMEOUT_MS: Millis = Millis(5_000);

impl Pool {
    /// Takes the platform's list. A back end that it no longer names is treated as leaving.
    pub(crate) fn set_backends(
        &mut self,
        now: Millis,
        workers: Vec<WorkerInfo>,
        runners: Vec<RunnerInfo>,
    ) {
        let mut unlisted: Vec<WorkerId> = Vec::new();
        for (id, worker) in &mut self.workers.by_id {
            if worker.listed && !workers.iter().any(|info| info.worker == *id) {
                worker.listed = false;
                unlisted.push(id.clone());
            }
        }
        for info in workers {
            self.set_worker(info);
        }
        for id in unlisted {
            self.update_open(&id);
        }
        self.drop_unneeded_workers();
        for runner in self.runners.by_id.values_mut() {
            runner.listed = runners.iter().any(|info| info.runner == runner.info.runner);
        }
        for info in runners {
            let id = info.runner.clone();
            match self.runners.by_id.get_mut(&id) {
                Some(runner) => runner.info = info,
                None => {
                    self.runners.by_id.insert(id, Runner::new(info));
                }
            }
        }
        self.runners.by_id.retain(|_, runner| {
            let may_run = !runner.grants.is_empty() && runner.state != BackendState::Down;
            runner.listed || may_run || runner.lapse_at.is_some_and(|at| at > now)
        });
        self.needs_placing = true;
    }

    fn set_worker(&mut self, info: WorkerInfo) {
        let id = info.worker.clone();
        if let Some(worker) = self.workers.by_id.get_mut(&id) {
            if worker.listed && worker.info == info {
                return;
            }
            let capacity_changed = worker.info.capacity != info.capacity;
            let left_now = info.leaving && !worker.info.leaving;
            worker.info = info;
            worker.listed = true;
            if left_now {
                self.record_event(EventKind::WorkerLeaving, id.as_str(), "");
            }
            if capacity_changed {
                self.index_worker(&id);
            }
        } else {
            self.workers.by_id.insert(id.clone(), Worker::new(info, true));
            self.index_worker(&id);
        }
        self.update_open(&id);
        self.shares.set_total(self.index.total());
    }

    /// Drops workers that are not listed and surely run nothing.
    fn drop_unneeded_workers(&mut self) {
        let unneeded: Vec<WorkerId> = self
            .workers
            .by_id
            .iter()
            .filter(|(id, worker)| {
                let may_run = !worker.tasks.is_empty() || self.workers.unresolved.contains(*id);
                !worker.listed && !may_run && !worker.joining
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in unneeded {
            if self.workers.by_id.get(&id).is_some_and(|worker| worker.joined) {
                self.append(Record::WorkerLeft(id.clone()), None);
            }
            self.workers.by_id.remove(&id);
            self.index.remove(&id);
        }
    }

    pub(crate) fn rebuild_index(&mut self) {
        self.index = placement::Index::default();
        let ids: Vec<WorkerId> = self.workers.by_id.keys().cloned().collect();
        for id in &ids {
            self.index_worker(id);
        }
        self.shares.set_total(self.index.total());
    }

    fn index_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get(id) else { return };
        let granted =
            worker.tasks.values().fold(Resources::ZERO, |sum, task| sum.plus(&task.resources));
        let slot = WorkerSlot {
            rack: worker.info.rack.clone(),
            capacity: worker.info.capacity,
            free: worker.info.capacity.minus(&granted),
            open: worker.is_open(),
        };
        self.index.insert(id.clone(), slot);
    }

    /// Opens or closes a worker in the index after something about it has changed.
    pub(crate) fn update_open(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get(id) else { return };
        let open = worker.is_open();
        if self.index.get(id).is_some_and(|slot| slot.open != open) {
            self.index.set_open(id, open);
            self.needs_placing |= open;
        }
    }

    /// The line in which a job of this priority waits.
    pub(crate) fn line_priority(&self, priority: Priority) -> Priority {
        if self.settings.mechanisms.priorities { priority } else { Priority::Normal }
    }

    /// Makes a job's waiting tasks eligible for placement.
    pub(crate) fn enqueue_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.recovering || job.waiting.is_empty() {
            return;
        }
        let place = (job.place, id.clone());
        let priority = self.line_priority(job.spec.priority);
        self.queue.insert(priority, &job.spec.team, place);
        self.needs_placing = true;
    }

    /// Places a waiting task on a worker. The caller has checked room, limits and order.
    pub(crate) fn place_task(&mut self, now: Millis, id: &JobId, index: u32, worker_id: &WorkerId) {
        let attempt = self.new_attempt();
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(worker) = self.workers.by_id.get_mut(worker_id) else { return };
        let spec = &job.spec;
        if !self.index.take(worker_id, &spec.per_task) {
            return;
        }
        let phase = if spec.idempotent { Phase::Queued } else { Phase::Committing };
        let placed = PlacedTask {
            attempt,
            team: spec.team.clone(),
            priority: spec.priority,
            resources: spec.per_task,
            run_ms: if spec.kind == JobKind::Service { Millis(0) } else { spec.run_ms },
            placed_at: now,
            phase,
            stopping: None,
            orphan: false,
        };
        let (team, resources, idempotent) = (spec.team.clone(), spec.per_task, spec.idempotent);
        let task = job.task_id(index);
        job.set_placed(index, worker_id.clone(), worker.rack(), attempt);
        job.blocked = None;
        let all_placed = job.waiting.is_empty();
        let (priority, place) = (job.spec.priority, (job.place, id.clone()));
        let priority =
            if self.settings.mechanisms.priorities { priority } else { Priority::Normal };
        worker.tasks.insert(task.clone(), placed);
        let on_trial = worker.on_trial;
        if all_placed {
            self.queue.remove(priority, &team, &place);
        }
        self.limits.take(&team, &Amount::of_resources(resources));
        self.shares.take(&team, &resources);
        if on_trial {
            self.update_open(worker_id);
        }
        if !idempotent {
            self.append(Record::TaskIntent(task.clone()), Some(FollowUp::StartTask(task)));
        }
        self.push(Action::Count("tasks.placed"));
    }

    /// The intent of a non-idempotent task is committed: it may be sent now.
    pub(crate) fn queue_start(&mut self, task: &TaskId) {
        let Some(TaskState::Placed { worker, .. }) = self.task_state(task) else { return };
        let placed =
            self.workers.by_id.get_mut(&worker).and_then(|worker| worker.tasks.get_mut(task));
        if let Some(placed) = placed.filter(|placed| placed.phase == Phase::Committing) {
            placed.phase = Phase::Queued;
        }
    }

    fn task_state(&self, task: &TaskId) -> Option<TaskState> {
        self.jobs.get(&task.job).and_then(|job| job.task(task.index)).cloned()
    }

    /// Takes a task off its worker and gives back what it was granted.
    fn unplace(&mut self, worker_id: &WorkerId, task: &TaskId) -> Option<PlacedTask> {
        let worker = self.workers.by_id.get_mut(worker_id)?;
        let placed = worker.tasks.remove(task)?;
        self.index.give(worker_id, &placed.resources);
        self.limits.give(&placed.team, &Amount::of_resources(placed.resources));
        self.shares.give(&placed.team, &placed.resources);
        self.needs_placing = true;
        self.update_open(worker_id);
        Some(placed)
    }

    /// A placed task surely does not run and did not end: it waits again.
    pub(crate) fn requeue(&mut self, worker_id: &WorkerId, task: &TaskId) {
        let Some(placed) = self.unplace(worker_id, task) else { return };
        if placed.orphan {
            return;
        }
        let rack = self.rack_of(worker_id);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_waiting(task.index, &rack);
        }
        self.enqueue_job(&task.job);
    }

    /// A placed task ended for good.
    fn end_placed(&mut self, worker_id: &WorkerId, task: &TaskId, end: TaskEnd) {
        let Some(placed) = self.unplace(worker_id, task) else { return };
        if placed.orphan {
            self.forget_on(worker_id, task);
            return;
        }
        let rack = self.rack_of(worker_id);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_placed_ended(task.index, &rack, end);
        }
        self.keep_task_end(worker_id, task, end);
    }

    /// Writes the end of a task to the journal. The worker may forget it after the commit.
    fn keep_task_end(&mut self, worker_id: &WorkerId, task: &TaskId, end: TaskEnd) {
        let forget = FollowUp::Forget(worker_id.clone(), task.clone());
        self.append(Record::TaskEnded(task.clone(), end), Some(forget));
        self.record_event(EventKind::TaskEnded, &task.to_string(), end_word(end));
        self.end_job_if_done(&task.job);
    }

    fn end_job_if_done(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.counts.waiting + job.counts.running > 0 {
            return;
        }
        let state = if job.counts.unknown > 0 {
            JobState::Unknown
        } else if job.counts.failed > 0 {
            JobState::Failed
        } else {
            JobState::Done
        };
        self.record_event(EventKind::JobEnded, id.as_str(), state.as_str());
        self.jobs.remove(id);
    }

    fn rack_of(&self, worker: &WorkerId) -> types::RackId {
        self.workers.by_id.get(worker).map(|worker| worker.rack().clone()).unwrap_or_default()
    }

    fn forget_on(&mut self, worker: &WorkerId, task: &TaskId) {
        if let Some(worker) = self.workers.by_id.get_mut(worker) {
            worker.forget.insert(task.clone());
        }
    }

    /// Sends the syncs that are due.
    pub(crate) fn sync_workers(&mut self, now: Millis) {
        if !self.trusted {
            return;
        }
        let epoch = self.journal.epoch();
        let lease_ms = self.settings.lease_ms;
        let due: Vec<WorkerId> = self
            .workers
            .by_id
            .iter()
            .filter(|(_, worker)| worker.link.call.is_none())
            .filter(|(_, worker)| {
                let has_news = worker.attached && !worker.link.is_suspect() && worker.has_news();
                worker.link.next_call_at <= now || has_news
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let call = self.new_call();
            let Some(worker) = self.workers.by_id.get_mut(&id) else { continue };
            let request = worker.build_sync(call, epoch, lease_ms, now);
            let suspect = worker.link.is_suspect();
            let url = worker.info.url.clone();
            self.push(Action::SyncWorker { worker: id, url, call, suspect, request });
        }
    }

    pub(crate) fn worker_answered(
        &mut self,
        now: Millis,
        id: &WorkerId,
        call: u64,
        answer: Result<SyncAnswer, CallFailure>,
    ) {
        if !self.is_owner() {
            return;
        }
        let poll_ms = self.settings.poll_ms;
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if worker.link.call.is_none_or(|(current, _)| current != call) {
            return;
        }
        match answer {
            Err(CallFailure::StaleEpoch) => self.lose_ownership(Vec::new()),
            Err(_) => {
                worker.link.failed(now, poll_ms);
                self.update_open(id);
            }
            Ok(answer) => self.reconcile(now, id, call, answer),
        }
    }

    /// Compares what a worker says with what this owner believes.
    fn reconcile(&mut self, now: Millis, id: &WorkerId, call: u64, answer: SyncAnswer) {
        let (lease_ms, poll_ms) = (self.settings.lease_ms, self.settings.poll_ms);
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        let restarted =
            worker.link.incarnation != 0 && worker.link.incarnation != answer.incarnation;
        let first_time = !worker.attached;
        worker.link.incarnation = answer.incarnation;
        worker.link.remote_clock_ms = answer.clock_ms;
        worker.link.heard_at = now;
        worker.link.call = None;
        worker.link.failures = 0;
        worker.lapse_at = Some(lapse_after(now, lease_ms));
        worker.attached = true;
        worker.forget.retain(|task| answer.finished.iter().any(|finished| finished.task == *task));
        worker.strays.clear();
        let was_forgotten = worker.forget.clone();
        for finished in &answer.finished {
            if !was_forgotten.contains(&finished.task) {
                self.take_finished(now, id, &finished.task, finished.attempt, finished.end);
            }
        }
        for running in &answer.running {
            self.take_running(now, id, running);
        }
        self.requeue_missing(id, call, restarted, &answer);
        if first_time {
            self.resolve_worker(id);
            self.record_event(EventKind::WorkerAttached, id.as_str(), "");
            self.join_worker(id);
        }
        if let Some(worker) = self.workers.by_id.get_mut(id) {
            worker.link.next_call_at =
                if first_time { now } else { worker.next_sync_after(now, poll_ms, lease_ms) };
        }
        self.update_open(id);
    }

    fn join_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if worker.joined || worker.joining {
            return;
        }
        worker.joining = true;
        let url = worker.info.url.clone();
        self.append(Record::WorkerJoined(id.clone(), url), Some(FollowUp::Joined(id.clone())));
    }

    fn take_finished(
        &mut self,
        now: Millis,
        id: &WorkerId,
        task: &TaskId,
        attempt: Attempt,
        end: WorkerEnd,
    ) {
        let placed = self.workers.by_id.get(id).and_then(|worker| worker.tasks.get(task));
        let is_ours = placed.is_some_and(|placed| placed.attempt == attempt);
        if !is_ours {
            self.take_foreign_finished(id, task, end);
            return;
        }
        match end {
            WorkerEnd::Done | WorkerEnd::Failed if self.is_service(task) => {
                self.note_worker_end(now, id, task, end == WorkerEnd::Failed);
                self.requeue(id, task);
                self.forget_on(id, task);
            }
            WorkerEnd::Done => {
                self.note_worker_end(now, id, task, false);
                self.end_placed(id, task, TaskEnd::Done);
            }
            WorkerEnd::Failed => {
                self.note_worker_end(now, id, task, true);
                self.take_failure(id, task);
            }
            WorkerEnd::Stopped => self.take_stopped(id, task),
            WorkerEnd::Refused => {
                self.requeue(id, task);
                self.forget_on(id, task);
            }
        }
    }

    fn is_service(&self, task: &TaskId) -> bool {
        self.jobs.get(&task.job).is_some_and(|job| job.spec.kind == JobKind::Service)
    }

    /// A task that this owner did not place there ended, or one that was placed elsewhere since.
    fn take_foreign_finished(&mut self, id: &WorkerId, task: &TaskId, end: WorkerEnd) {
        let waits = self.task_state(task) == Some(TaskState::Waiting);
        if waits && end == WorkerEnd::Done {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.set_ended(task.index, TaskEnd::Done);
            }
            self.drop_from_queue_if_placed(&task.job);
            self.keep_task_end(id, task, TaskEnd::Done);
        } else if waits && !self.may_rerun(task) {
            let end = if end == WorkerEnd::Failed { TaskEnd::Failed } else { TaskEnd::Unknown };
            self.end_waiting(id, task, end);
        } else if !self.is_end_uncommitted(task) {
            self.forget_on(id, task);
        }
    }

    /// Whether a task has ended but the worker must remember that until the commit.
    fn is_end_uncommitted(&self, task: &TaskId) -> bool {
        let ended_here = matches!(self.task_state(task), Some(TaskState::Ended(_)));
        let durable = self.journal.state().jobs.get(&task.job);
        let committed = durable.is_none_or(|job| job.ended.contains_key(&task.index));
        !committed && (ended_here || self.jobs.get(&task.job).is_none())
    }

    /// Whether a waiting task can start. False for a non-idempotent task that may have run already.
    fn may_rerun(&self, task: &TaskId) -> bool {
        let durable = self.journal.state().jobs.get(&task.job);
        !durable.is_some_and(|job| !job.spec.idempotent && job.intents.contains(&task.index))
    }

    fn end_waiting(&mut self, worker: &WorkerId, task: &TaskId, end: TaskEnd) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_ended(task.index, end);
        }
        self.drop_from_queue_if_placed(&task.job);
        self.keep_task_end(worker, task, end);
    }

    fn drop_from_queue_if_placed(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.waiting.is_empty() {
            let place = (job.place, id.clone());
            let priority = self.line_priority(job.spec.priority);
            self.queue.remove(priority, &job.spec.team, &place);
        }
    }

    fn note_worker_end(&mut self, now: Millis, id: &WorkerId, task: &TaskId, failed: bool) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if self.settings.mechanisms.quarantine && worker.note_end(task.job.as_str(), failed, now) {
            let detail = format!("{} tasks in a row failed", worker.failures_in_row);
            self.record_event(EventKind::WorkerQuarantined, id.as_str(), &detail);
        }
        self.update_open(id);
    }

    /// A task failed by itself. It is tried again on another worker unless it failed too often.
    fn take_failure(&mut self, id: &WorkerId, task: &TaskId) {
        let worker_is_bad =
            self.workers.by_id.get(id).is_some_and(|worker| worker.quarantined_until.is_some());
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.end_placed(id, task, TaskEnd::Failed);
            return;
        };
        if !job.spec.idempotent {
            self.end_placed(id, task, TaskEnd::Failed);
            return;
        }
        job.failed_on.insert(id.clone());
        let failures = job.failures.entry(task.index).or_default();
        if !worker_is_bad {
            *failures += 1;
        }
        if *failures >= MAX_TASK_FAILURES {
            self.end_placed(id, task, TaskEnd::Failed);
        } else {
            self.requeue(id, task);
            self.forget_on(id, task);
        }
    }

    /// A task was stopped, by order of this owner or because its lease ran out.
    fn take_stopped(&mut self, id: &WorkerId, task: &TaskId) {
        if self.may_rerun(task) {
            self.requeue(id, task);
            self.forget_on(id, task);
        } else {
            self.end_placed(id, task, TaskEnd::Unknown);
        }
    }

    fn take_running(&mut self, now: Millis, id: &WorkerId, running: &RunningTask) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if let Some(placed) = worker.tasks.get_mut(&running.task)
            && placed.attempt == running.attempt
        {
            if placed.phase != Phase::Running {
                placed.phase = Phase::Running;
                self.record_event(EventKind::TaskStarted, &running.task.to_string(), id.as_str());
            }
            return;
        }
        let waits_unseen = self.jobs.get(&running.task.job).is_some_and(|job| {
            job.recovering && job.task(running.task.index) == Some(&TaskState::Waiting)
        });
        if waits_unseen {
            self.adopt_running(now, id, running);
            return;
        }
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if worker.tasks.contains_key(&running.task) {
            // An earlier try of a task that is placed here again.
            worker.strays.insert(running.task.clone(), running.attempt);
        } else {
            self.adopt_orphan(now, id, running);
        }
    }

    /// A task that should not run any more counts until its worker says that it ended.
    fn adopt_orphan(&mut self, now: Millis, id: &WorkerId, running: &RunningTask) {
        let team = self.team_of(&running.task.job);
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        let orphan = PlacedTask {
            attempt: running.attempt,
            team: team.clone(),
            priority: Priority::Normal,
            resources: running.resources,
            run_ms: Millis(0),
            placed_at: now,
            phase: Phase::Running,
            stopping: Some(false),
            orphan: true,
        };
        worker.tasks.insert(running.task.clone(), orphan);
        self.limits.take(&team, &Amount::of_resources(running.resources));
        self.shares.take(&team, &running.resources);
        self.index_worker(id);
    }

    /// The team of a job that was seen at some time. A job that is not known has no team.
    fn team_of(&self, id: &JobId) -> TeamId {
        let state = self.journal.state();
        let live = self.jobs.get(id).map(|job| &job.spec);
        let durable = state.jobs.get(id).map(|job| &job.spec);
        let ended = state.ended_job(id).map(|job| &job.spec);
        live.or(durable).or(ended).map(|spec| spec.team.clone()).unwrap_or_default()
    }

    /// A task that the former owner started goes on.
    fn adopt_running(&mut self, now: Millis, id: &WorkerId, running: &RunningTask) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        let Some(job) = self.jobs.get_mut(&running.task.job) else { return };
        let placed = PlacedTask {
            attempt: running.attempt,
            team: job.spec.team.clone(),
            priority: job.spec.priority,
            resources: running.resources,
            run_ms: job.spec.run_ms,
            placed_at: now,
            phase: Phase::Running,
            stopping: None,
            orphan: false,
        };
        job.set_placed(running.task.index, id.clone(), worker.rack(), running.attempt);
        worker.tasks.insert(running.task.clone(), placed);
        let team = job.spec.team.clone();
        self.limits.take(&team, &Amount::of_resources(running.resources));
        self.shares.take(&team, &running.resources);
        self.index_worker(id);
    }

    /// Tasks that were sent before this answer, and of which the worker says nothing, do not run.
    fn requeue_missing(&mut self, id: &WorkerId, call: u64, restarted: bool, answer: &SyncAnswer) {
        let Some(worker) = self.workers.by_id.get(id) else { return };
        let told: BTreeMap<&TaskId, Attempt> = answer
            .running
            .iter()
            .map(|running| (&running.task, running.attempt))
            .chain(answer.finished.iter().map(|finished| (&finished.task, finished.attempt)))
            .collect();
        let missing: Vec<(TaskId, bool)> = worker
            .tasks
            .iter()
            .filter(|(task, placed)| {
                let was_sent = match placed.phase {
                    Phase::Running => true,
                    Phase::Sent(first_sent) => first_sent <= call,
                    Phase::Queued | Phase::Committing => false,
                };
                was_sent && told.get(task) != Some(&placed.attempt)
            })
            .map(|(task, placed)| (task.clone(), placed.phase == Phase::Running || restarted))
            .collect();
        for (task, may_have_run) in missing {
            if may_have_run && !self.may_rerun(&task) {
                self.end_placed(id, &task, TaskEnd::Unknown);
            } else {
                self.requeue(id, &task);
            }
        }
    }

    /// Frees the tasks of workers whose lease has surely lapsed.
    pub(crate) fn lapse_workers(&mut self, now: Millis) {
        let mut lapsed = Vec::new();
        let mut stuck = Vec::new();
        let mut released = Vec::new();
        for (id, worker) in &mut self.workers.by_id {
            if worker.lapse_at.is_some_and(|at| at <= now) {
                lapsed.push(id.clone());
            }
            if worker.link.call.is_some_and(|(_, sent_at)| now.since(sent_at) >= SYNC_TIMEOUT_MS) {
                stuck.push(id.clone());
            }
            if worker.end_quarantine(now) {
                released.push(id.clone());
            }
        }
        for id in stuck {
            if let Some(worker) = self.workers.by_id.get_mut(&id) {
                worker.link.failed(now, self.settings.poll_ms);
            }
            self.update_open(&id);
        }
        for id in released {
            self.update_open(&id);
        }
        for id in lapsed {
            self.lapse_worker(&id);
        }
    }

    fn lapse_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        worker.lapse_at = None;
        worker.attached = false;
        worker.strays.clear();
        let tasks: Vec<(TaskId, bool)> =
            worker.tasks.iter().map(|(task, placed)| (task.clone(), !placed.is_unsent())).collect();
        self.record_event(EventKind::WorkerLapsed, id.as_str(), &format!("{} tasks", tasks.len()));
        self.update_open(id);
        for (task, was_sent) in tasks {
            if was_sent && !self.may_rerun(&task) {
                self.end_placed(id, &task, TaskEnd::Unknown);
            } else {
                self.requeue(id, &task);
            }
        }
        self.resolve_worker(id);
    }

    /// It is known what a worker of the former owner runs.
    fn resolve_worker(&mut self, id: &WorkerId) {
        if self.workers.unresolved.remove(id) {
            self.check_resolved();
        }
    }

    /// Once all workers of the former owner are known, tasks that none of them runs may start.
    pub(crate) fn check_resolved(&mut self) {
        let unknown = self.unknown_use();
        self.limits.set_unknown(unknown);
        if !self.workers.unresolved.is_empty() {
            return;
        }
        let recovering: Vec<JobId> =
            self.jobs.iter().filter(|job| job.recovering).map(|job| job.spec.id.clone()).collect();
        for id in recovering {
            self.resume_job(&id);
        }
    }

    fn resume_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.recovering = false;
        job.blocked = None;
        let waiting: Vec<TaskId> = job.waiting.iter().map(|index| job.task_id(*index)).collect();
        let nowhere = WorkerId::default();
        for task in waiting {
            if !self.may_rerun(&task) {
                self.end_waiting(&nowhere, &task, TaskEnd::Unknown);
            }
        }
        self.enqueue_job(id);
    }

    /// What any team may be using on workers of the former owner that are not known yet.
    fn unknown_use(&self) -> Amount {
        let unresolved = self.workers.unresolved.iter().filter_map(|id| self.index.get(id));
        let capacity = unresolved.fold(Resources::ZERO, |sum, slot| sum.plus(&slot.capacity));
        Amount::of_resources(capacity)
    }

    /// Stops tasks of a job that is gone. They count until their workers say that they ended.
    pub(crate) fn orphan_tasks(&mut self, job: &Job) {
        for id in job.by_worker.keys() {
            let Some(worker) = self.workers.by_id.get_mut(id) else { continue };
            let first = TaskId { job: job.spec.id.clone(), index: 0 };
            let mut unsent = Vec::new();
            for (task, placed) in
                worker.tasks.range_mut(first..).take_while(|(task, _)| task.job == job.spec.id)
            {
                placed.orphan = true;
                placed.stopping = Some(false);
                if placed.is_unsent() {
                    unsent.push(task.clone());
                }
            }
            for task in unsent {
                self.unplace(id, &task);
            }
        }
    }
}

fn end_word(end: TaskEnd) -> &'static str {
    match end {
        TaskEnd::Done => "done",
        TaskEnd::Failed => "failed",
        TaskEnd::Unknown => "unknown",
    }
}
