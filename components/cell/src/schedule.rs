//! Places waiting tasks on workers.

use eventlog::event;
use libs::compact_str::CompactString;
use types::{Millis, Resources, WorkerId};

use crate::cell::Cell;
use crate::job::{Job, Phase, Step, Waited};
use crate::model::{FinalState, StepKey, StepSpec, TaskKey};
use crate::place::{Placed, WaitingStep};
use crate::ranking::{Rank, rank};
use crate::recovery::HeldTasks;
use crate::round::count;

/// Share of a service's processor capacity that deferrable work leaves free, in percent. A burst
/// of urgent work arrives within a second, and preempting other work for it takes as long.
const HEADROOM_PERCENT: u64 = 10;

/// A step with tasks to start.
pub(crate) struct Candidate {
    pub(crate) rank: Rank,
    pub(crate) key: StepKey,
    /// Service whose workers run it.
    pub(crate) service: CompactString,
    /// How long it has had neither a start nor a turn.
    pub(crate) waited: Waited,
    /// One of its tasks crashes the workers that start it.
    pub(crate) crashes_workers: bool,
}

impl Cell {
    /// Runs a scheduling round: starts the tasks that can start now. Does nothing before the first
    /// configuration.
    pub fn schedule(&mut self, now: Millis) {
        self.run_round(now);
        self.scan_waits(now);
    }

    fn run_round(&mut self, now: Millis) {
        let may_start = self.start_permission.allows_any() && !self.holds_starts;
        if !may_start || !self.policy_known || !self.needs_scheduling {
            return;
        }
        self.needs_scheduling = false;
        self.update_evacuated_workers(now);
        self.check_recovery(now);
        self.update_held_tasks(now);
        self.urgent_demand = Resources::ZERO;
        self.rooms = self.rooms();
        self.update_spare_fast_capacity(now);
        self.held_workers.clear();
        let mut candidates = self.candidates(now);
        self.begin_round(candidates.len(), now);
        self.waiting.count(&candidates);
        count(&self.work.steps, candidates.len());
        self.choose_turns(&candidates, now);
        candidates.sort_by_key(|candidate| candidate.rank);
        let turns = self.turns.move_to_front(&mut candidates);
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.crashes_workers {
                self.give_up_crashing(&candidate.key, now);
                continue;
            }
            let has_turn = index < turns;
            let leaves_headroom = candidate.rank.is_deferrable() && !has_turn;
            if leaves_headroom && !self.has_headroom(&candidate.service) {
                continue;
            }
            self.place_step(candidate, has_turn, now);
        }
    }

    /// Whether a service has more processor capacity free than it reserves for urgent work. With
    /// workers of unequal speed only fast ones are reserved, as their placement decides.
    fn has_headroom(&self, service: &CompactString) -> bool {
        if !self.urgent_services.contains(service) || self.speeds.has_slow(service) {
            return true;
        }
        let Some(room) = self.rooms.get(service) else { return true };
        room.free.cpu_milli * 100 > room.total.cpu_milli * HEADROOM_PERCENT
    }

    fn candidates(&mut self, now: Millis) -> Vec<Candidate> {
        let policy = self.policy.clone();
        let unix_ms = Millis(self.unix_ms(now));
        let mut found = Vec::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if !self.start_permission.allows_job(job.known_ms) {
                continue;
            }
            let record = job.record.clone();
            let queue = Cell::queue_policy(&policy, &record);
            let numbers: Vec<u32> = job.open_occurrences.keys().copied().collect();
            for number in numbers {
                let due_unix_ms = job.due_by(number, unix_ms);
                let age_ms = unix_ms.since(due_unix_ms);
                for ready in ready_steps(job, number, &self.held_tasks, age_ms, now) {
                    let path = job.path_from(number, ready.index, ready.left_ms);
                    let rank = rank(
                        queue,
                        due_unix_ms,
                        &path,
                        job.over_share,
                        ready.long_running,
                        unix_ms,
                    );
                    job.outlook = rank.outlook;
                    found.push(Candidate {
                        rank,
                        key: StepKey { job: id.clone(), occurrence: number, step: ready.index },
                        service: queue.service.clone(),
                        waited: ready.waited,
                        crashes_workers: ready.crashes_workers,
                    });
                }
            }
        }
        found
    }

    fn place_step(&mut self, candidate: &Candidate, has_turn: bool, now: Millis) {
        let key = &candidate.key;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let record = job.record.clone();
        let Some(spec) = record.spec.steps.get(usize::from(key.step)) else { return };
        let policy = self.policy.clone();
        let queue = Cell::queue_policy(&policy, &record);
        let Some(step) = job.step(key.occurrence, key.step) else { return };
        if !spec.long_running && has_exhausted_task(step, queue.max_attempts) {
            event!("job.failed", "job" => key.job.as_str(), "step" => key.to_string(),
                "max_attempts" => queue.max_attempts);
            self.end_job(&key.job, FinalState::Failed, now);
            return;
        }
        let mut tasks: Vec<u32> = step
            .tasks
            .iter()
            .filter(|(_, task)| task.phase == Phase::Waiting && task.not_before_ms <= now)
            .map(|(index, _)| index)
            .collect();
        let waiting = tasks.len();
        tasks.retain(|index| !self.held_tasks.holds_task(key, *index));
        if spec.gang && tasks.len() < waiting {
            return;
        }
        if spec.gang && tasks.len() < step.tasks.len() {
            self.stop_partial_gang(key, now);
            return;
        }
        step.retain_startable(&mut tasks, self.dirty.is_stored(&key.job), spec.gang);
        if tasks.is_empty() || (spec.gang && tasks.len() < step.tasks.len()) {
            return;
        }
        let rank = candidate.rank;
        if !spec.gang {
            let (announced, others) = step.split_announced(&mut tasks, self.epoch);
            let waiting = WaitingStep { key, spec, queue, rank, has_turn, tasks: &others, now };
            self.start_announced(&waiting, &announced);
            self.announce_or_seek_room(&waiting);
            if tasks.is_empty() {
                return;
            }
        }
        let waiting = WaitingStep { key, spec, queue, rank, has_turn, tasks: &tasks, now };
        let started = self.start_waiting(&waiting);
        if started < tasks.len() {
            self.seek_room(&waiting, tasks.len() - started);
        }
    }

    /// Announces the starts of tasks, and prepares room for those that find none.
    fn announce_or_seek_room(&mut self, waiting: &WaitingStep<'_>) {
        if waiting.tasks.is_empty() {
            return;
        }
        let announced = self.announce(waiting);
        if announced < waiting.tasks.len() {
            self.seek_room(waiting, waiting.tasks.len() - announced);
        }
    }

    /// Starts announced tasks on the workers that are reserved for them.
    fn start_announced(&mut self, waiting: &WaitingStep<'_>, announced: &[u32]) {
        if !announced.is_empty() {
            let placed = self.take_reserved_workers(waiting, announced);
            self.start_chosen(waiting, placed.clone());
            self.end_reservations(waiting.key, &placed);
        }
    }

    /// Starts the tasks of a step that find room, a gang only as a whole. Returns their number.
    fn start_waiting(&mut self, waiting: &WaitingStep<'_>) -> usize {
        let charge = waiting.spec.charge();
        if !self.rooms.get_mut(&waiting.queue.service).may_fit(&charge) {
            return 0;
        }
        let placed = self.choose_workers(waiting);
        let started = placed.len();
        if started == 0 || (waiting.spec.gang && started < waiting.tasks.len()) {
            return 0;
        }
        self.start_chosen(waiting, placed);
        started
    }

    /// Starts tasks of a step on the workers that are chosen for them.
    fn start_chosen(&mut self, waiting: &WaitingStep<'_>, placed: Vec<Placed>) {
        let started = placed.len();
        if started == 0 {
            return;
        }
        let service = &waiting.queue.service;
        let workers: Vec<WorkerId> = placed.iter().map(|(_, worker, _)| worker.clone()).collect();
        self.unindex(workers.iter());
        self.start_placed(waiting.key, waiting.spec, placed, waiting.now);
        self.index_again(workers);
        let used = waiting.spec.charge().times(started as u64);
        self.rooms.get_mut(service).start(&used);
        if waiting.is_urgent() {
            self.speeds.record_urgent_start(service, &used, waiting.now);
        }
        self.turns.started(service, &used, waiting.has_turn);
        if waiting.has_turn {
            self.end_turn(service);
        }
    }

    /// Prepares room for `tasks` tasks that found none: requests advice, preempts less urgent work
    /// for urgent steps, and holds workers for a step that has its turn.
    fn seek_room(&mut self, waiting: &WaitingStep<'_>, tasks: usize) {
        let WaitingStep { key, spec, queue, now, .. } = *waiting;
        let in_limit = self.team_slots(key, spec).min(tasks as u64);
        if let Some(advice) = &queue.advice {
            self.request_advice(waiting, advice, in_limit);
        }
        if waiting.has_turn && in_limit > 0 {
            let held = self.workers_to_hold(waiting);
            self.held_workers.extend(held);
        }
        if waiting.is_urgent() && in_limit == 0 {
            self.preempt_within_team(key, spec, queue, tasks, now);
        } else if waiting.is_urgent() {
            self.preempt(waiting, tasks);
        }
    }

    fn start_placed(&mut self, key: &StepKey, spec: &StepSpec, placed: Vec<Placed>, now: Millis) {
        let epoch = self.epoch;
        let attempts = self.step(key).map(|step| step.next_attempts(epoch, spec.gang, &placed));
        let attempts = attempts.unwrap_or_default();
        if spec.gang {
            self.share_gang_checkpoint(key);
        }
        for ((index, worker, ticket), attempt) in placed.into_iter().zip(attempts) {
            let task = TaskKey { step: key.clone(), index };
            self.start_run(&worker, task, spec, attempt, ticket, now);
            self.begin_trial(&worker, key, index, now);
        }
        self.log_if_placed(key, now);
    }

    /// Logs how long a step waited, once all its tasks are placed.
    fn log_if_placed(&self, key: &StepKey, now: Millis) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key.occurrence, key.step) else { return };
        if step.waiting > 0 {
            return;
        }
        event!("step.placed", "step" => key.to_string(), "tasks" => step.tasks.len(),
            "priority" => Cell::queue_policy(&self.policy, &job.record).priority,
            "wait_ms" => now.since(step.ready_ms.unwrap_or(now)).0,
            "advice_calls" => step.advice.calls, "outlook" => format!("{:?}", job.outlook));
    }

    /// Sets the same checkpoint for all members of a gang.
    fn share_gang_checkpoint(&mut self, key: &StepKey) {
        let Some(step) = self.step_mut(key) else {
            return;
        };
        let shared = step
            .tasks
            .started()
            .filter(|(_, task)| !task.checkpoint.is_empty())
            .max_by_key(|(_, task)| task.attempt)
            .map(|(_, task)| task.checkpoint.clone());
        let Some(shared) = shared else { return };
        for index in 0..step.tasks.len() as u32 {
            if let Some(task) = step.tasks.get_mut(index) {
                task.checkpoint.clone_from(&shared);
            }
        }
    }

    /// Stops a gang of which only some members run, so that it starts again as a whole.
    fn stop_partial_gang(&mut self, key: &StepKey, now: Millis) {
        let Some(step) = self.step(key) else {
            return;
        };
        let placed: Vec<(TaskKey, WorkerId)> = step
            .tasks
            .started()
            .filter_map(|(index, task)| match &task.phase {
                Phase::Placed(worker) => {
                    Some((TaskKey { step: key.clone(), index }, worker.clone()))
                }
                Phase::Waiting | Phase::Done => None,
            })
            .collect();
        for (task, worker) in placed {
            self.stop_run(&worker, &task, "gang is incomplete", now);
        }
        self.round.preemptible.clear();
    }
}

/// Whether a task that waits has failed as often as allowed: its last failure was reported before
/// the first configuration.
fn has_exhausted_task(step: &Step, max_attempts: u32) -> bool {
    step.tasks.started().any(|(_, task)| {
        task.phase == Phase::Waiting
            && !task.failed.is_empty()
            && task.failed.len() as u32 >= max_attempts
    })
}

/// A step that has tasks to start and whose earlier steps are done.
struct ReadyStep {
    index: u16,
    /// Work left on the critical path from this step.
    left_ms: Millis,
    long_running: bool,
    waited: Waited,
    crashes_workers: bool,
}

/// Steps with tasks to start of an occurrence that was due `age_ms` ago.
fn ready_steps(
    job: &mut Job,
    number: u32,
    held: &HeldTasks,
    age_ms: Millis,
    now: Millis,
) -> Vec<ReadyStep> {
    let record = job.record.clone();
    let holds_started = held.all && job.inherited;
    let Some(occurrence) = job.open_occurrences.get_mut(&number) else { return Vec::new() };
    if occurrence.steps.iter().all(|step| step.waiting == 0) {
        return Vec::new();
    }
    // A later step waits for the last run of an earlier one to end: a new leader that finds such a run
    // takes the later step for one that was never started.
    let has_stray = |step: usize| {
        let step = u16::try_from(step).unwrap_or(u16::MAX);
        let key = StepKey { job: record.id.clone(), occurrence: number, step };
        !held.has_no_strays() && held.has_stray_run(&key)
    };
    let steps = occurrence.steps.iter().enumerate();
    let done: Vec<bool> = steps.map(|(index, step)| step.is_done() && !has_stray(index)).collect();
    let mut ready = Vec::new();
    for (index, (step, spec)) in occurrence.steps.iter_mut().zip(&record.spec.steps).enumerate() {
        let earlier_done =
            spec.after.iter().all(|earlier| done.get(usize::from(*earlier)) == Some(&true));
        if !earlier_done || step.waiting == 0 || (holds_started && !step.never_started) {
            continue;
        }
        step.set_ready(age_ms, now);
        let Ok(number) = u16::try_from(index) else { continue };
        ready.push(ReadyStep {
            index: number,
            left_ms: job.left_from_ms.get(index).copied().unwrap_or_default(),
            long_running: spec.long_running,
            waited: step.waited(now),
            crashes_workers: step.has_crashing_task(),
        });
    }
    ready
}
