//! Places waiting tasks on workers.

use std::collections::BTreeMap;

use eventlog::event;
use libs::compact_str::CompactString;
use types::{JobId, Millis, RackId, Resources, TeamId, WorkerId};

use crate::action::Action;
use crate::advice::{AdviceCandidate, call_ms};
use crate::cell::Cell;
use crate::fit;
use crate::job::{Job, Phase, Step};
use crate::model::{AdvicePolicy, FinalState, QueuePolicy, StepKey, StepSpec, TaskKey};
use crate::ranking::{Outlook, Rank, rank};
use crate::worker::Worker;

/// A ticket is renewed this long before it expires, plus the duration of a short call.
const ADVICE_LEAD_MS: Millis = Millis(150);

/// Share of the workers' processor capacity that deferrable work leaves free, in percent. A burst
/// of urgent work arrives within a second, and preempting other work for it takes as long.
const HEADROOM_PERCENT: u64 = 10;

/// Share of a team's limit that its deferrable work leaves to its urgent work, in percent: about
/// what a burst of twice the usual load adds.
const TEAM_HEADROOM_PERCENT: u64 = 15;

/// Time for which the last attempt of a task waits for a worker whose last run did not fail.
const LAST_ATTEMPT_WAIT_MS: Millis = Millis(1_000);

/// A step with tasks to start.
struct Candidate {
    rank: Rank,
    key: StepKey,
}

impl Cell {
    /// Runs a scheduling round: starts the tasks that can start now. Does nothing before the first
    /// configuration.
    pub fn schedule(&mut self, now: Millis) {
        if !self.may_start || !self.policy_known || !self.needs_scheduling {
            return;
        }
        self.needs_scheduling = false;
        self.check_recovery(now);
        self.urgent_demand = Resources::ZERO;
        let mut candidates = self.candidates(now);
        candidates.sort_by_key(|candidate| candidate.rank);
        // Free resources only shrink within a round.
        let mut headroom = true;
        for candidate in candidates {
            if candidate.rank.is_deferrable() {
                headroom = headroom && self.has_headroom();
                if !headroom {
                    continue;
                }
            }
            self.place_step(&candidate, now);
        }
    }

    /// Whether more processor capacity is free than is reserved for urgent work.
    fn has_headroom(&self) -> bool {
        let (free, total) = self.cpu_capacity();
        free * 100 > total * HEADROOM_PERCENT
    }

    fn candidates(&mut self, now: Millis) -> Vec<Candidate> {
        let policy = self.policy.clone();
        let unix_ms = self.unix_ms(now);
        let mut found = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.ended.is_some() {
                continue;
            }
            // A worker that was not seen yet may run tasks of this job.
            let unseen_runs = job.inherited && self.recovering;
            let numbers: Vec<u32> = job.open_occurrences.keys().copied().collect();
            for number in numbers {
                let due_ms = now - Millis(unix_ms.saturating_sub(job.due_unix_ms(number)));
                let queue = Cell::queue_policy(&policy, &job.record).clone();
                for (step, left_ms, long_running) in ready_steps(job, number, unseen_runs, now) {
                    let rank = rank(
                        &queue,
                        due_ms,
                        job.critical_path_ms,
                        left_ms,
                        job.over_share,
                        long_running,
                        now,
                    );
                    job.outlook = rank.outlook;
                    let key = StepKey { job: id.clone(), occurrence: number, step };
                    found.push(Candidate { rank, key });
                }
            }
        }
        found
    }

    fn place_step(&mut self, candidate: &Candidate, now: Millis) {
        let key = &candidate.key;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let record = job.record.clone();
        let Some(spec) = record.spec.steps.get(usize::from(key.step)) else { return };
        let policy = self.policy.clone();
        let queue = Cell::queue_policy(&policy, &record).clone();
        let Some(step) = job.step(key.occurrence, key.step) else { return };
        if !spec.long_running && has_exhausted_task(step, queue.max_attempts) {
            event!("job.failed", "job" => key.job.as_str(), "step" => key.to_string(),
                "max_attempts" => queue.max_attempts);
            self.end_job(&key.job, FinalState::Failed, now);
            return;
        }
        let waiting: Vec<u32> = (0u32..)
            .zip(&step.tasks)
            .filter(|(_, task)| task.phase == Phase::Waiting && task.not_before_ms <= now)
            .map(|(index, _)| index)
            .collect();
        if spec.gang && waiting.len() < step.tasks.len() {
            self.stop_partial_gang(key, now);
            return;
        }
        let reserved_percent =
            if candidate.rank.is_deferrable() { TEAM_HEADROOM_PERCENT } else { 0 };
        let placed = self.choose_workers(key, spec, &queue, &waiting, reserved_percent, now);
        let all_placed = !spec.gang || placed.len() == waiting.len();
        let started = if all_placed { placed.len() } else { 0 };
        if all_placed {
            self.start_placed(key, spec, placed, now);
        }
        if started < waiting.len()
            && let Some(advice) = queue.advice
        {
            self.request_advice(key, spec, &queue, advice, waiting.len() - started, now);
        }
        let urgent = candidate.rank.outlook == Outlook::InTime && queue.priority == 0;
        if started < waiting.len() && urgent {
            if self.team_slots(key, spec) == 0 {
                self.preempt_within_team(key, spec, &queue, waiting.len() - started, now);
            } else {
                self.preempt(key, spec, &queue, waiting.len() - started, now);
            }
        }
    }

    fn start_placed(
        &mut self,
        key: &StepKey,
        spec: &StepSpec,
        placed: Vec<(u32, WorkerId, Option<CompactString>)>,
        now: Millis,
    ) {
        let highest = self
            .step(key)
            .and_then(|step| step.tasks.iter().map(|task| task.attempt).max())
            .unwrap_or(0);
        let shared = Cell::next_attempt(self.epoch, highest);
        if spec.gang {
            self.share_gang_checkpoint(key);
        }
        for (index, worker, ticket) in placed {
            let last = self
                .step(key)
                .and_then(|step| step.tasks.get(index as usize))
                .map_or(0, |task| task.attempt);
            let attempt = if spec.gang { shared } else { Cell::next_attempt(self.epoch, last) };
            let task = TaskKey { step: key.clone(), index };
            self.start_run(&worker, task, spec, attempt, ticket, now);
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
            .iter()
            .filter(|task| !task.checkpoint.is_empty())
            .max_by_key(|task| task.attempt)
            .map(|task| task.checkpoint.clone())
            .unwrap_or_default();
        for task in &mut step.tasks {
            task.checkpoint = shared.clone();
        }
    }

    /// Stops a gang of which only some members run, so that it starts again as a whole.
    fn stop_partial_gang(&mut self, key: &StepKey, now: Millis) {
        let Some(step) = self.step(key) else {
            return;
        };
        let placed: Vec<(TaskKey, WorkerId)> = (0u32..)
            .zip(&step.tasks)
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
    }

    /// Chooses a worker for each waiting task, as far as free resources allow.
    fn choose_workers(
        &self,
        key: &StepKey,
        spec: &StepSpec,
        queue: &QueuePolicy,
        waiting: &[u32],
        reserved_percent: u64,
        now: Millis,
    ) -> Vec<(u32, WorkerId, Option<CompactString>)> {
        let Some(step) = self.step(key) else {
            return Vec::new();
        };
        let is_last_attempt = |index: u32| {
            let counted = if spec.gang { 0 } else { index as usize };
            step.tasks.get(counted).is_some_and(|task| {
                task.failed.len() as u32 + 1 >= queue.max_attempts
                    && now < task.not_before_ms + LAST_ATTEMPT_WAIT_MS
            })
        };
        let mut free: BTreeMap<&WorkerId, (Resources, u32)> = BTreeMap::new();
        let mut rack: Option<RackId> = None;
        let charge = spec.charge();
        let mut consider = |id, worker: &Worker| {
            if !worker.free().covers(&charge) && !spec.same_rack {
                return;
            }
            let of_step = worker.count_runs(key);
            if of_step > 0 && spec.same_rack {
                rack.clone_from(&worker.report.rack);
            }
            if worker.accepts(queue, spec, now) && worker.free().covers(&charge) {
                free.insert(id, (worker.free(), of_step as u32));
            }
        };
        if queue.advice.is_some() {
            // Few workers have a ticket, so only these are examined.
            for id in step.advice.allowed_workers() {
                let Some((id, worker)) = self.workers.get_key_value(id) else { continue };
                if step.advice.ticket(id, worker.incarnation_unix_ms, now).is_some() {
                    consider(id, worker);
                }
            }
        } else {
            for (id, worker) in &self.workers {
                consider(id, worker);
            }
        }
        let mut limit = self.team_slots_with_reserve(key, spec, reserved_percent);
        let mut chosen = Vec::new();
        for index in waiting {
            if limit == 0 {
                break;
            }
            let last_attempt = is_last_attempt(*index);
            let task = TaskKey { step: key.clone(), index: *index };
            let best = free
                .iter()
                .filter(|(_, (_, count))| spec.max_per_worker.is_none_or(|most| *count < most))
                .filter_map(|(id, (room, _))| {
                    let worker = self.workers.get(*id)?;
                    if worker.runs.contains_key(&task)
                        || (last_attempt && worker.health.failed_last_run())
                    {
                        return None;
                    }
                    fit::score(spec, worker, room, rack.as_ref()).map(|score| (score, *id))
                })
                .max_by(|(left, _), (right, _)| left.total_cmp(right));
            let Some((_, id)) = best else {
                if last_attempt {
                    continue;
                }
                break;
            };
            if let Some((room, count)) = free.get_mut(id) {
                *room = room.minus(&spec.charge());
                *count += 1;
            }
            if spec.same_rack && rack.is_none() {
                rack = self.workers.get(id).and_then(|worker| worker.report.rack.clone());
            }
            let incarnation = self.workers.get(id).map_or(0, |worker| worker.incarnation_unix_ms);
            let ticket = step.advice.ticket(id, incarnation, now).map(|ticket| ticket.text.clone());
            chosen.push((*index, id.clone(), ticket));
            limit -= 1;
        }
        chosen
    }

    /// Number of further tasks of the step that fit the limit of its team.
    fn team_slots(&self, key: &StepKey, spec: &StepSpec) -> u64 {
        self.team_slots_with_reserve(key, spec, 0)
    }

    /// Like `team_slots`, with a part of the team's limit kept free.
    fn team_slots_with_reserve(
        &self,
        key: &StepKey,
        spec: &StepSpec,
        reserved_percent: u64,
    ) -> u64 {
        let Some(job) = self.jobs.get(&key.job) else { return 0 };
        let Some(team) = &job.record.team else { return u64::MAX };
        let Some(policy) = self.policy.teams.get(team) else { return u64::MAX };
        let used = self.used_by_team.get(team).copied().unwrap_or_default();
        let used = used.plus(&self.possible_usage(team));
        let max_tasks = |limit: u64, used: u64, need: u64| {
            let usable_limit = limit * (100 - reserved_percent) / 100;
            if limit == 0 || need == 0 {
                u64::MAX
            } else {
                usable_limit.saturating_sub(used) / need
            }
        };
        max_tasks(policy.limit.cpu_milli, used.cpu_milli, spec.need.cpu_milli)
            .min(max_tasks(policy.limit.mem_mb, used.mem_mb, spec.need.mem_mb))
            .min(max_tasks(policy.limit.accels, used.accels, spec.need.accels))
    }

    /// Explains why the waiting tasks of a job do not run, with a line for each step.
    pub fn explain(&self, id: &JobId, now: Millis) -> Vec<String> {
        let Some(job) = self.jobs.get(id) else { return vec!["no such job".to_owned()] };
        let policy = Cell::queue_policy(&self.policy, &job.record);
        let mut lines = vec![format!(
            "ended {:?}, inherited {}, recovering {}, configuration known {}",
            job.ended, job.inherited, self.recovering, self.policy_known
        )];
        for (number, occurrence) in &job.open_occurrences {
            for (index, (step, spec)) in
                (0u16..).zip(occurrence.steps.iter().zip(&job.record.spec.steps))
            {
                let key = StepKey { job: id.clone(), occurrence: *number, step: index };
                let fitting =
                    self.workers.values().filter(|w| w.free().covers(&spec.charge())).count();
                let advised = self
                    .workers
                    .iter()
                    .filter(|(id, w)| step.advice.ticket(id, w.incarnation_unix_ms, now).is_some())
                    .count();
                lines.push(format!(
                    "step {number}.{index}: {} of {} tasks done, {} wait; after {:?}; room on \
                     {fitting} workers, {}tickets for {advised}, asking {}; the team may start {}",
                    step.done,
                    step.tasks.len(),
                    step.waiting,
                    spec.after,
                    if policy.advice.is_some() { "" } else { "no advice needed, " },
                    step.advice.call_pending,
                    self.team_slots(&key, spec),
                ));
            }
        }
        lines
    }

    /// Resources that inherited tasks of a team may use on workers that were not seen yet.
    fn possible_usage(&self, team: &TeamId) -> Resources {
        if !self.recovering {
            return Resources::ZERO;
        }
        let of_team = |job: &&Job| {
            job.inherited && job.ended.is_none() && job.record.team.as_ref() == Some(team)
        };
        let mut sum = Resources::ZERO;
        for job in self.jobs.values().filter(of_team) {
            for occurrence in job.open_occurrences.values() {
                for (step, spec) in occurrence.steps.iter().zip(&job.record.spec.steps) {
                    sum = sum.plus(&spec.need.times(u64::from(step.waiting)));
                }
            }
        }
        sum
    }

    /// Requests advice on workers for tasks that found none.
    fn request_advice(
        &mut self,
        key: &StepKey,
        spec: &StepSpec,
        queue: &QueuePolicy,
        advice: AdvicePolicy,
        tasks: usize,
        now: Millis,
    ) {
        let may_ask = self.step(key).is_some_and(|step| step.advice.may_ask(now));
        let shortest_ms = call_ms(&advice, 1);
        if !may_ask || !self.callers.has_free(shortest_ms, now) || self.team_slots(key, spec) == 0 {
            return;
        }
        let mut usable: Vec<AdviceCandidate> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                worker.accepts(queue, spec, now) && worker.report.capacity.covers(&spec.charge())
            })
            .map(|(id, worker)| AdviceCandidate {
                id: id.clone(),
                incarnation_unix_ms: worker.incarnation_unix_ms,
                slots: worker.slots(key, spec),
            })
            .collect();
        usable.sort_by_key(|one| std::cmp::Reverse(one.slots));
        let Some(step) = self.step(key) else { return };
        let lead_ms = ADVICE_LEAD_MS + Millis(call_ms(&advice, 8) as u64);
        let lead_ms = lead_ms.min(Millis(advice.valid_ms.0 / 2));
        let workers = step.advice.workers_to_ask(&usable, tasks as u64, lead_ms, now);
        if workers.is_empty() {
            return;
        }
        let duration_ms = call_ms(&advice, workers.len());
        let Some((caller, call)) = self.callers.reserve(duration_ms, now) else { return };
        if let Some(step) = self.step_mut(key) {
            step.advice.call_pending = true;
            step.advice.calls += 1;
        }
        event!("advice.requested", "step" => key.to_string(), "workers" => workers.len(),
            "machine" => caller.as_str(), "takes_ms" => duration_ms, "tasks" => tasks);
        self.actions.push(Action::RequestAdvice { caller, call, step: key.clone(), workers });
    }
}

/// Whether a task that waits has failed as often as allowed: its last failure was reported before
/// the first configuration.
fn has_exhausted_task(step: &Step, max_attempts: u32) -> bool {
    step.tasks.iter().any(|task| {
        task.phase == Phase::Waiting
            && !task.failed.is_empty()
            && task.failed.len() as u32 >= max_attempts
    })
}

/// Steps of an occurrence that have tasks to start and whose earlier steps are done: index, work
/// left on the critical path from there, and whether the tasks are long-running.
fn ready_steps(
    job: &mut Job,
    number: u32,
    unseen_runs: bool,
    now: Millis,
) -> Vec<(u16, Millis, bool)> {
    let record = job.record.clone();
    let Some(occurrence) = job.open_occurrences.get_mut(&number) else { return Vec::new() };
    let done: Vec<bool> = occurrence.steps.iter().map(Step::is_done).collect();
    let mut ready = Vec::new();
    for (index, (step, spec)) in occurrence.steps.iter_mut().zip(&record.spec.steps).enumerate() {
        let earlier_done =
            spec.after.iter().all(|earlier| done.get(usize::from(*earlier)) == Some(&true));
        if !earlier_done || step.waiting == 0 || (unseen_runs && !step.never_started) {
            continue;
        }
        step.ready_ms.get_or_insert(now);
        let Ok(index) = u16::try_from(index) else { continue };
        ready.push((index, critical_path_from(&record.spec.steps, index), spec.long_running));
    }
    ready
}

/// Declared run time of the longest chain that begins with a step.
fn critical_path_from(steps: &[StepSpec], first: u16) -> Millis {
    let mut chain_ends: Vec<Option<u64>> = vec![None; steps.len()];
    for (index, step) in steps.iter().enumerate() {
        let before = if index == usize::from(first) {
            Some(0)
        } else {
            step.after
                .iter()
                .filter_map(|earlier| chain_ends.get(usize::from(*earlier)).copied().flatten())
                .max()
        };
        if let Some(slot) = chain_ends.get_mut(index) {
            *slot = before.map(|before| before + step.estimate_ms.0);
        }
    }
    Millis(chain_ends.into_iter().flatten().max().unwrap_or(0))
}
