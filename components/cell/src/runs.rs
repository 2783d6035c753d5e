//! Runs of tasks on workers: start and stop orders, and the answers to them.

use std::collections::BTreeMap;

use eventlog::event;
use libs::compact_str::CompactString;
use types::{JobId, Millis, Resources, TeamId, WorkerId};

use crate::action::{Action, PollOrder, Refusal, StartAnswer, StartOrder, StopOrder};
use crate::cell::Cell;
use crate::job::Phase;
use crate::learning::RunForecasts;
use crate::model::{StepSpec, TaskKey};
use crate::permission::StartPermission;
use crate::worker::{Run, RunState};

/// Time from sending a start order after which the worker refuses it.
pub const START_DEADLINE_MS: Millis = Millis(2_500);
/// Time by which leases are shorter while another process may have been elected: a leader learns of its
/// successor once a peer that is silent no longer counts as live, or sooner. The successor waits for a
/// whole lease from its election.
const UNNOTICED_SUCCESSOR_MS: Millis = Millis(1_500);
/// Times that an unanswered start is sent again. This is safe, since a worker starts a run once.
const MAX_RESENDS: u32 = 3;
/// Delay before a task is started again after a refusal that the task did not cause.
const RETRY_MS: Millis = Millis(100);
/// Attempt numbers reserved for a task in each epoch.
const ATTEMPTS_PER_EPOCH: u32 = 1_000;

impl Cell {
    /// Assigns a run to a worker and orders its start.
    pub(crate) fn start_run(
        &mut self,
        worker_id: &WorkerId,
        key: TaskKey,
        spec: &StepSpec,
        attempt: u32,
        ticket: Option<CompactString>,
        now: Millis,
    ) {
        let lease_ms = self.granted_lease_ms();
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let record = job.record.clone();
        let Some(step) = job.step_mut(key.step.occurrence, key.step.step) else { return };
        step.set_phase(key.index, Phase::Placed(worker_id.clone()));
        step.last_start_ms = now;
        step.advice.task_started();
        let Some(task) = step.tasks.get_mut(key.index) else { return };
        task.attempt = attempt;
        let checkpoint = task.checkpoint.clone();
        let has_losses = !task.losses.is_empty();
        let is_from_start = checkpoint.is_empty();
        let forecast = step.forecast;
        let deadline_ms = worker.clock_now(now) + START_DEADLINE_MS.min(lease_ms);
        worker.lease_deadline_ms = worker.lease_deadline_ms.max(deadline_ms);
        let mut run = new_run(spec, record.team.clone(), attempt, RunState::Starting, now);
        run.has_losses = has_losses;
        run.from_start = is_from_start;
        if !is_from_start {
            run.progress_base = None;
        }
        run.expect(forecast, worker.slowness(), self.settings.decide_by_run_times);
        event!("task.start", "task" => key.to_string(), "attempt" => attempt,
            "worker" => worker_id.as_str(), "epoch" => self.epoch,
            "free" => worker.free().to_string(),
            "last_answer_ms_ago" => now.since(worker.last_answer_ms).0);
        add_team_usage(&mut self.used_by_team, &run);
        self.speeds.use_capacity(worker, &run.charge);
        worker.add_run(key.clone(), run);
        self.start_retries.record_call();
        self.actions.push(Action::Start(Box::new(StartOrder {
            worker: worker_id.clone(),
            address: worker.report.address,
            incarnation_unix_ms: worker.incarnation_unix_ms,
            task: key,
            attempt,
            fence: worker.fence(self.epoch),
            record,
            checkpoint,
            ticket,
            deadline_ms,
        })));
    }

    /// Removes a run from a worker. Its task waits again if this was its latest run.
    pub(crate) fn release_run(
        &mut self,
        worker_id: &WorkerId,
        key: &TaskKey,
        delay_ms: Millis,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(run) = worker.remove_run(key) else { return };
        subtract_team_usage(&mut self.used_by_team, &run);
        self.needs_scheduling = true;
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let Some(step) = job.step_mut(key.step.occurrence, key.step.step) else { return };
        let Some(task) = step.tasks.get_mut(key.index) else { return };
        if task.phase == Phase::Placed(worker_id.clone()) && task.attempt == run.attempt {
            task.not_before_ms = now + delay_ms;
            step.set_phase(key.index, Phase::Waiting);
        }
    }

    /// Orders a run to stop, unless a stop was ordered before.
    pub(crate) fn stop_run(
        &mut self,
        worker_id: &WorkerId,
        key: &TaskKey,
        reason: &str,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let address = worker.report.address;
        let incarnation_unix_ms = worker.incarnation_unix_ms;
        let fence = worker.fence(self.epoch);
        let Some(run) = worker.runs.get_mut(key) else { return };
        if matches!(run.state, RunState::Stopping | RunState::Stopped) {
            return;
        }
        event!("task.stop", "task" => key.to_string(), "attempt" => run.attempt,
            "worker" => worker_id.as_str(), "why" => reason);
        run.state = RunState::Stopping;
        run.state_changed_ms = now;
        run.stop_sent_ms = now;
        let order = StopOrder {
            worker: worker_id.clone(),
            address,
            incarnation_unix_ms,
            task: key.clone(),
            attempt: run.attempt,
            fence,
        };
        self.actions.push(Action::Stop(order));
    }

    /// Processes the answer to a start, or its absence.
    ///
    /// Load pattern: one order in twenty gets no answer and is carried out seconds later. The
    /// same order is sent again at once, which is safe since a worker starts a run only once.
    pub fn start_answered(&mut self, order: &StartOrder, answer: StartAnswer, now: Millis) {
        let (worker_id, key) = (&order.worker, &order.task);
        if answer == StartAnswer::Started {
            self.record_begun(&key.step.job);
        }
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        // Its worker has restarted since, and refuses the order once it has seen the new fencing token.
        let is_outdated = order.fence < worker.fence(self.epoch);
        let Some(run) = worker.runs.get_mut(key) else { return };
        if run.attempt != order.attempt {
            return;
        }
        run.has_unanswered_start |= answer == StartAnswer::Unanswered;
        if run.state != RunState::Starting {
            return;
        }
        if answer != StartAnswer::Started {
            event!("task.start_failed", "task" => key.to_string(), "attempt" => order.attempt,
                "worker" => worker_id.as_str(), "answer" => format!("{answer:?}"),
                "resends" => run.resends);
        }
        // A worker of an evacuated domain gets no start again: whether it runs shows in the next poll.
        let may_resend = !is_outdated
            && !worker.is_evacuated
            && !self.holds_starts
            && self.start_permission.allows_any();
        let again = answer == StartAnswer::Unanswered && run.resends < MAX_RESENDS && may_resend;
        if again && self.start_retries.try_take() {
            run.resends += 1;
            self.actions.push(Action::Start(Box::new(order.clone())));
            return;
        }
        match conclusive_answer(answer, run.resends, is_outdated) {
            StartAnswer::Started => {
                run.state = RunState::Running;
                run.state_changed_ms = now;
                return;
            }
            StartAnswer::Unanswered => {
                // The next poll shows whether it runs; if not, it is stopped before a retry.
                worker.health.mark_suspect(now);
                run.state_changed_ms = now;
                run.missed_polls = 1;
                self.actions.push(Action::Poll(worker_id.clone()));
                return;
            }
            StartAnswer::NotSent => {
                worker.reachable = false;
                worker.health.mark_suspect(now);
            }
            // A new incarnation also refuses orders for the former one, so this is no sign of
            // another leader.
            StartAnswer::Refused(Refusal::Fenced) if is_outdated => {}
            StartAnswer::Refused(Refusal::Fenced) => self.actions.push(Action::Deposed),
            StartAnswer::Refused(Refusal::Unhealthy) => worker.health.mark_suspect(now),
            StartAnswer::Refused(Refusal::InsufficientResources) => {
                self.actions.push(Action::Poll(worker_id.clone()));
            }
            StartAnswer::Refused(Refusal::Ticket) => {
                if let Some(step) = self.step_mut(&key.step) {
                    step.advice.drop_ticket(worker_id);
                }
            }
            StartAnswer::Refused(Refusal::WrongIncarnation) => {
                worker.attached = false;
                self.actions.push(Action::Poll(worker_id.clone()));
            }
            StartAnswer::Refused(
                Refusal::StaleAttempt | Refusal::DeadlinePassed | Refusal::Malformed,
            ) => {}
        }
        self.withdraw_loss(key, order.attempt);
        self.release_run(worker_id, key, RETRY_MS, now);
    }

    /// Records that a worker has begun a task of a job. An order shows nothing, since it may be
    /// refused or lost.
    pub(crate) fn record_begun(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.has_begun = true;
        }
    }

    /// Processes the answer to a stop, or its absence.
    pub fn stop_answered(
        &mut self,
        worker_id: &WorkerId,
        key: &TaskKey,
        attempt: u32,
        confirmed: bool,
        now: Millis,
    ) {
        let Some(run) = self.workers.get_mut(worker_id).and_then(|worker| worker.runs.get_mut(key))
        else {
            return;
        };
        if confirmed && run.attempt == attempt && run.state == RunState::Stopping {
            run.state = RunState::Stopped;
            run.state_changed_ms = now;
            self.actions.push(Action::Poll(worker_id.clone()));
        }
    }

    /// Returns the next poll of a worker; none if the worker is unknown.
    pub fn poll_order(&mut self, id: &WorkerId, wait: bool, now: Millis) -> Option<PollOrder> {
        let lease_ms = self.granted_lease_ms();
        let idle_wait_ms = idle_poll_wait_ms(self.settings.poll_wait_ms, self.workers.len());
        let worker = self.workers.get_mut(id)?;
        // The end of a run is reported at once, so the wait only matters for lost answers and for the
        // progress of runs. A serving task has neither an expected end nor progress.
        let is_idle = worker.runs.values().all(|run| {
            run.state == RunState::Running && run.estimate_ms == Millis(0) && run.percent >= 100
        });
        let wait_ms = match (wait && !worker.has_former_runs, is_idle) {
            (false, _) => Millis(0),
            (true, false) => self.settings.poll_wait_ms,
            (true, true) => idle_wait_ms.min(Millis(lease_ms.0 / 2)),
        };
        // The leases of a worker that does not answer must expire, so that its tasks can start
        // elsewhere. While starts are disabled or a roster reports the worker as silent, the next
        // leader relies on their expiry.
        let renews = self.start_permission.allows_any()
            && worker.reachable
            && !worker.reported_silent
            && worker.last_answer_ms > Millis(0);
        let deadline_ms = renews.then(|| worker.clock_now(now) + lease_ms);
        if let Some(deadline) = deadline_ms {
            worker.lease_deadline_ms = worker.lease_deadline_ms.max(deadline);
        }
        let fence = worker.fence(self.epoch);
        let address = worker.report.address;
        let incarnation_unix_ms = worker.incarnation_unix_ms;
        let ack = worker.acknowledgeable_end();
        Some(PollOrder { address, incarnation_unix_ms, fence, deadline_ms, ack, wait_ms })
    }

    /// Longest lease that orders may set now. It is shorter while another process may have been elected.
    fn granted_lease_ms(&self) -> Millis {
        let lease_ms = self.settings.lease_ms;
        match self.start_permission {
            StartPermission::AllJobs => lease_ms,
            StartPermission::JobsKnownBefore(_) | StartPermission::Nothing => {
                lease_ms - UNNOTICED_SUCCESSOR_MS.min(Millis(lease_ms.0 / 2))
            }
        }
    }

    /// Attempt number for the next run of a task, above all earlier ones.
    pub(crate) fn next_attempt(epoch: u64, last: u32) -> u32 {
        let first = u32::try_from(epoch.saturating_sub(1)).unwrap_or(0) * ATTEMPTS_PER_EPOCH + 1;
        first.max(last + 1)
    }

    /// Epoch of the leader that has started an attempt, or a later one.
    pub(crate) fn epoch_of(attempt: u32) -> u64 {
        u64::from(attempt.saturating_sub(1) / ATTEMPTS_PER_EPOCH) + 1
    }
}

/// Longest time that a worker without runs that end may hold a poll. A lease lasts more than twice as
/// long, also for a run that starts meanwhile.
const MAX_IDLE_POLL_WAIT_MS: Millis = Millis(1_500);
/// Polls of idle workers in a second that a leader with half a core affords: each takes about 0.1 ms.
const IDLE_POLLS_PER_S: u64 = 1_500;

/// Longest time that a worker without runs that end may hold a poll, in a fleet of `workers`.
///
/// Load pattern: thousands of workers, most of them idle or with serving tasks only. Polls of all of
/// them several times a second would take more than the processor time of the leader.
fn idle_poll_wait_ms(poll_wait_ms: Millis, workers: usize) -> Millis {
    let affordable_ms = Millis(workers as u64 * 1_000 / IDLE_POLLS_PER_S);
    affordable_ms.min(MAX_IDLE_POLL_WAIT_MS).max(poll_wait_ms)
}

/// What an answer proves about a start that was sent again `resends` times. A refusal of a repeated
/// order proves nothing about the earlier ones: they may have run, or may still arrive. That of an order
/// from before a restart proves nothing about those that the new incarnation took before.
fn conclusive_answer(answer: StartAnswer, resends: u32, is_outdated: bool) -> StartAnswer {
    match answer {
        StartAnswer::Refused(Refusal::Fenced) if resends > 0 && is_outdated => {
            StartAnswer::Unanswered
        }
        StartAnswer::Started
        | StartAnswer::Refused(Refusal::Fenced | Refusal::WrongIncarnation) => answer,
        StartAnswer::Refused(_) | StartAnswer::NotSent if resends > 0 => StartAnswer::Unanswered,
        StartAnswer::Refused(_) | StartAnswer::NotSent | StartAnswer::Unanswered => answer,
    }
}

/// Creates a run that starts now.
pub(crate) fn new_run(
    spec: &StepSpec,
    team: Option<TeamId>,
    attempt: u32,
    state: RunState,
    now: Millis,
) -> Run {
    Run {
        attempt,
        state,
        charge: spec.charge(),
        need: spec.need,
        team,
        state_changed_ms: now,
        started_ms: now,
        adopted: false,
        ran_before_ms: Millis(0),
        first_shown: None,
        stop_sent_ms: Millis(0),
        percent: 0,
        progress_changed_ms: now,
        pace_percent: 100,
        gauge: 0,
        missed_polls: 0,
        resends: 0,
        has_unanswered_start: false,
        has_losses: false,
        estimate_ms: if spec.long_running { Millis(0) } else { spec.estimate_ms },
        from_start: true,
        progress_base: Some((0, now)),
        learned_percent: 0,
        forecasts: RunForecasts::default(),
    }
}

pub(crate) fn add_team_usage(used: &mut BTreeMap<TeamId, Resources>, run: &Run) {
    if let Some(team) = &run.team {
        let sum = used.entry(team.clone()).or_default();
        *sum = sum.plus(&run.need);
    }
}

pub(crate) fn subtract_team_usage(used: &mut BTreeMap<TeamId, Resources>, run: &Run) {
    if let Some(sum) = run.team.as_ref().and_then(|team| used.get_mut(team)) {
        *sum = sum.minus(&run.need);
    }
}
