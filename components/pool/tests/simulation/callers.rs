//! Callers and their entries. The entries use the production request plan over simulated messages.

use std::net::SocketAddr;

use backends::RunResult;
use entry::{IncomingRequest, NextStep, RequestPlan};
use libs::rand::Rng;
use pool::{Event, ReplyTo};
use types::{
    CallId, GrantHolder, JobCommand, JobId, JobKind, JobSpec, Message, Millis, NodeId,
    NotRunReason, Outcome, PlacementPolicy, Priority, RequestId, Resources, RunEnd, RunReport,
    RunnerId, SlotGrant, SlotRequest,
};

use super::{Delivery, Fault, Simulation, pool_id};
use standin::RunRequest;

/// Interval at which an entry checks whether the owner is still the same.
const OWNER_CHECK_MS: u64 = 100;
/// Time after which an entry treats a run without an answer as lost.
const RUN_TIMEOUT_MS: u64 = 1_500;

/// Progress of a caller's request or command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerState {
    Waiting,
    Done(Outcome),
}

/// What a caller's entry is waiting for.
#[derive(Debug, Clone)]
enum Awaiting {
    Reply { owner: usize, call: CallId },
    Run { grant: Box<SlotGrant>, owner: usize, since: u64 },
    Nothing,
}

/// One request or command and the state of its entry.
pub struct Caller {
    pub entry: usize,
    pub state: CallerState,
    pub done_at: u64,
    pub started_at: u64,
    pub incoming: Option<IncomingRequest>,
    pub command: Option<JobCommand>,
    plan: Option<RequestPlan>,
    awaiting: Awaiting,
    deadline_at: u64,
    may_have_run: bool,
    /// Number of calls to owners so far.
    call_count: u64,
    /// The last call, as it was sent.
    last_call: Option<Event>,
}

fn entry_id(entry: usize) -> NodeId {
    NodeId { name: format!("entry-{entry}").parse().unwrap(), incarnation: 7 }
}

fn reply_to(entry: usize) -> ReplyTo {
    let port = u16::try_from(entry).unwrap();
    ReplyTo { node: entry_id(entry), address: SocketAddr::from(([127, 0, 0, 1], port)) }
}

impl Simulation {
    /// Posts a request through an entry.
    pub fn post_request(
        &mut self,
        entry: usize,
        id: &str,
        has_caller_id: bool,
        idempotent: bool,
    ) -> usize {
        let id: RequestId = id.parse().unwrap();
        let incoming = IncomingRequest {
            holder: GrantHolder { node: entry_id(entry), submission: self.callers.len() as u64 },
            content_hash: types::stable_hash(&[id.as_str().as_bytes()]),
            id,
            has_caller_id,
            team: Some("mill".parse().unwrap()),
            queue: if idempotent { "checks" } else { "orders" }.parse().unwrap(),
            priority: Priority::Normal,
            idempotent,
            deadline_at: Millis(self.now + 6_000),
            run_limit_ms: Millis(1_000),
            body: Vec::new(),
        };
        let plan = RequestPlan::new(&incoming, &[pool_id()]);
        self.add_caller(entry, Some(incoming), None, Some(plan), 6_000)
    }

    /// Sends a job command through an entry.
    pub fn post_command(&mut self, entry: usize, command: JobCommand) -> usize {
        self.add_caller(entry, None, Some(command), None, 10_000)
    }

    /// Submits a batch or gang job.
    pub fn post_job(
        &mut self,
        entry: usize,
        id: &str,
        kind: JobKind,
        tasks: u32,
        cores: u64,
        idempotent: bool,
    ) -> usize {
        let spec = JobSpec {
            id: format!("north:{id}").parse().unwrap(),
            team: "mill".parse().unwrap(),
            queue: if kind == JobKind::Gang { "plans" } else { "formulas" }.parse().unwrap(),
            kind,
            priority: Priority::Normal,
            spread: PlacementPolicy::Pack,
            tasks,
            per_task: Resources { cpu_milli: cores * 1000, mem_mb: 1024, accels: 0 },
            run_ms: Millis(700),
            idempotent,
        };
        self.post_command(entry, JobCommand::Submit(spec))
    }

    pub fn cancel_job(&mut self, entry: usize, id: &str) -> usize {
        let id: JobId = format!("north:{id}").parse().unwrap();
        self.post_command(entry, JobCommand::Cancel(id, "mill".parse().unwrap()))
    }

    fn add_caller(
        &mut self,
        entry: usize,
        incoming: Option<IncomingRequest>,
        command: Option<JobCommand>,
        plan: Option<RequestPlan>,
        timeout_ms: u64,
    ) -> usize {
        self.callers.push(Caller {
            entry,
            state: CallerState::Waiting,
            done_at: 0,
            started_at: self.now,
            incoming,
            command,
            plan,
            awaiting: Awaiting::Nothing,
            deadline_at: self.now + timeout_ms,
            may_have_run: false,
            call_count: 0,
            last_call: None,
        });
        let caller = self.callers.len() - 1;
        self.send_after(1, Delivery::CheckCaller(caller));
        caller
    }

    fn finish(&mut self, caller: usize, outcome: Outcome) {
        if self.callers[caller].state != CallerState::Waiting {
            return;
        }
        self.callers[caller].state = CallerState::Done(outcome.clone());
        self.callers[caller].done_at = self.now;
        self.callers[caller].awaiting = Awaiting::Nothing;
        let description = match &self.callers[caller].command {
            Some(JobCommand::Submit(spec)) => format!("submit {}", spec.id),
            Some(JobCommand::Cancel(id, _)) => format!("cancel {id}"),
            None => format!("request {}", self.callers[caller].incoming.as_ref().unwrap().id),
        };
        let outcome_name = match &outcome {
            Outcome::NotRun { reason, .. } => format!("not_run {reason}"),
            outcome => outcome.as_str().to_owned(),
        };
        self.log.push(format!("{} caller of {description} receives {outcome_name}", self.now));
        self.check_outcome(caller, &outcome);
    }

    /// Periodic check of the entry: handles time-outs and a change of owner.
    pub(super) fn check_caller(&mut self, index: usize) {
        if self.callers[index].state != CallerState::Waiting {
            return;
        }
        let now = self.now;
        let past_deadline = now >= self.callers[index].deadline_at;
        match self.callers[index].awaiting.clone() {
            Awaiting::Run { grant, since, .. } => {
                if now >= since + RUN_TIMEOUT_MS {
                    self.handle_run_result(index, grant.attempt.0, RunResult::Lost);
                }
            }
            Awaiting::Reply { owner, .. } if self.owner() == Some(owner) && !past_deadline => {}
            _ if past_deadline => self.time_out(index),
            _ => self.call_owner(index),
        }
        self.send_after(OWNER_CHECK_MS, Delivery::CheckCaller(index));
    }

    fn time_out(&mut self, index: usize) {
        let caller = &self.callers[index];
        let outcome = match &caller.plan {
            Some(plan) => plan.at_deadline(),
            None if caller.may_have_run => Outcome::unknown("no answer"),
            None => Outcome::not_run(NotRunReason::NoOwner, Millis(1000)),
        };
        self.finish(index, outcome);
    }

    /// Returns a new call number. Answers to earlier calls of this caller are ignored.
    fn new_call_id(&mut self, index: usize) -> CallId {
        self.callers[index].call_count += 1;
        CallId(((index as u64) << 32) | self.callers[index].call_count)
    }

    fn call_owner(&mut self, index: usize) {
        let Some(owner) = self.owner() else {
            self.callers[index].awaiting = Awaiting::Nothing;
            return;
        };
        let call = self.new_call_id(index);
        let caller = &mut self.callers[index];
        caller.awaiting = Awaiting::Reply { owner, call };
        let from = reply_to(caller.entry);
        let event = match (&caller.incoming, &caller.plan, &caller.command) {
            (Some(incoming), Some(plan), _) => Event::SlotRequest(
                from,
                SlotRequest {
                    call,
                    pool: pool_id(),
                    holder: incoming.holder.clone(),
                    request: incoming.id.clone(),
                    content_hash: incoming.content_hash,
                    team: incoming.team.clone(),
                    queue: incoming.queue.clone(),
                    priority: incoming.priority,
                    idempotent: incoming.idempotent,
                    remaining_ms: Millis(caller.deadline_at - self.now),
                    run_limit_ms: incoming.run_limit_ms,
                    is_retry: plan.is_retry(),
                    has_unresolved_run: plan.has_unresolved_run(),
                },
            ),
            (_, _, Some(command)) => {
                caller.may_have_run = true;
                Event::Command(from, call, command.clone())
            }
            _ => return,
        };
        self.callers[index].last_call = Some(event.clone());
        self.send_to_node(owner, event);
    }

    /// Delivers a duplicate of the caller's last call to the current owner.
    pub fn resend_last_call(&mut self, index: usize) {
        let Some(event) = self.callers[index].last_call.clone() else { return };
        let Some(owner) = self.owner() else { return };
        self.send_after(1, Delivery::Node(owner, event));
    }

    fn send_to_node(&mut self, node: usize, event: Event) {
        let copies = if self.is_lost() { 0 } else { 1 };
        let duplicates = usize::from(self.is_lost());
        for _ in 0..copies + duplicates {
            let delay = self.delay();
            self.send_after(delay, Delivery::Node(node, event.clone()));
        }
    }

    pub(super) fn handle_entry_message(&mut self, entry: usize, message: Message) {
        match message {
            Message::SlotGrant(grant) => self.handle_grant(entry, grant),
            Message::SlotRefusal(call, outcome) => self.handle_refusal(call, outcome),
            Message::JobOutcome(call, outcome) => self.handle_outcome(call, outcome),
            _ => {}
        }
    }

    /// Returns the caller that waits for the reply to this call, and the owner that it called.
    fn caller_awaiting(&self, call: CallId) -> Option<(usize, usize)> {
        let index = usize::try_from(call.0 >> 32).unwrap();
        match self.callers.get(index)?.awaiting {
            Awaiting::Reply { owner, call: current } if current == call => Some((index, owner)),
            _ => None,
        }
    }

    fn handle_grant(&mut self, _entry: usize, grant: SlotGrant) {
        let Some((index, owner)) = self.caller_awaiting(grant.call) else {
            // The caller no longer waits for this grant: return the slot to the current owner.
            if let Some(owner) = self.owner() {
                self.report(owner, &grant, RunEnd::NotStarted, None);
            }
            return;
        };
        if self.now >= self.callers[index].deadline_at {
            self.report(owner, &grant, RunEnd::NotStarted, None);
            self.time_out(index);
            return;
        }
        // An entry can be paused between receiving the grant and sending the request.
        let pause = if self.loss_percent > 0 && self.random.random_bool(0.05) { 4_000 } else { 0 };
        let delay = self.delay() + pause;
        let work_ms = Millis(self.random.random_range(5..1_200));
        self.log.push(format!(
            "{} grant {} of {} on {}",
            self.now, grant.attempt, grant.request, grant.runner
        ));
        let run_request = RunRequest {
            id: grant.request.clone(),
            attempt: grant.attempt.0,
            epoch: grant.epoch.0,
            incarnation: grant.incarnation,
            start_before_ms: grant.start_before_ms,
            end_before_ms: grant.end_before_ms,
        };
        let runner: RunnerId = grant.runner.clone();
        self.callers[index].awaiting =
            Awaiting::Run { grant: Box::new(grant), owner, since: self.now };
        self.send_after(delay, Delivery::StartRun { caller: index, runner, run_request, work_ms });
    }

    pub(super) fn handle_run_result(&mut self, index: usize, attempt: u64, result: RunResult) {
        let Awaiting::Run { grant, owner, .. } = self.callers[index].awaiting.clone() else {
            return;
        };
        if grant.attempt.0 != attempt {
            return;
        }
        let result_name = match &result {
            RunResult::Answered(_) => "answered",
            RunResult::NotStarted => "not started",
            RunResult::Lost => "lost",
        };
        self.log.push(format!("{} run {} of {} {result_name}", self.now, attempt, grant.request));
        self.callers[index].awaiting = Awaiting::Nothing;
        let answer = match &result {
            RunResult::Answered(answer) => Some(answer.clone()),
            _ => None,
        };
        let Some(plan) = &mut self.callers[index].plan else { return };
        let (end, next) = plan.after_run(&grant.pool, result, || true);
        self.report(owner, &grant, end, answer);
        self.apply_next(index, next);
    }

    fn report(
        &mut self,
        owner: usize,
        grant: &SlotGrant,
        end: RunEnd,
        answer: Option<types::Answer>,
    ) {
        let report = RunReport {
            pool: grant.pool.clone(),
            request: grant.request.clone(),
            attempt: grant.attempt,
            end,
            took_ms: Millis(10),
            answer,
        };
        self.send_to_node(owner, Event::Report(report));
    }

    fn apply_next(&mut self, index: usize, next: NextStep) {
        match next {
            NextStep::Done(outcome) => self.finish(index, outcome),
            NextStep::RequestSlot if self.now < self.callers[index].deadline_at => {
                self.call_owner(index)
            }
            // The next periodic check calls again or times out.
            NextStep::RequestSlot | NextStep::RequestSlotLater => {
                self.callers[index].awaiting = Awaiting::Nothing
            }
        }
    }

    fn handle_refusal(&mut self, call: CallId, outcome: Outcome) {
        let Some((index, _)) = self.caller_awaiting(call) else { return };
        let Some(plan) = &self.callers[index].plan else { return };
        let next = plan.after_rejection(outcome);
        self.apply_next(index, next);
    }

    fn handle_outcome(&mut self, call: CallId, outcome: Outcome) {
        let Some((index, _)) = self.caller_awaiting(call) else { return };
        let temporary = match &outcome {
            Outcome::NotRun { retry_after_ms, .. } => *retry_after_ms > Millis(0),
            Outcome::InProgress { .. } | Outcome::Unknown { .. } => true,
            _ => false,
        };
        if temporary {
            self.callers[index].awaiting = Awaiting::Nothing;
            return;
        }
        if let Outcome::Accepted(job) = &outcome
            && let Some(JobCommand::Submit(spec)) = &self.callers[index].command
        {
            self.accepted.insert(job.to_string(), spec.idempotent);
        }
        if let Outcome::Cancelled(job) = &outcome {
            self.cancelled.insert(job.to_string());
        }
        self.finish(index, outcome);
    }

    /// Makes a worker unreachable for a node.
    pub fn disconnect_worker(&mut self, node: usize, worker: usize, duration_ms: u64) {
        let id = self.workers.keys().nth(worker % self.workers.len()).unwrap().clone();
        self.inject(Fault::WorkerUnreachable(node, id), duration_ms);
    }
}
