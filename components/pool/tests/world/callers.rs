//! Callers and their entries: the entry's own plan over fake messages.

use std::net::SocketAddr;

use backends::RunResult;
use entry::{Incoming, Next, Plan};
use libs::rand::Rng;
use pool::{Event, ReplyTo};
use types::{
    CallId, Holder, JobCommand, JobId, JobKind, JobSpec, Message, Millis, NodeId, NotRunReason,
    Outcome, Priority, RequestAsk, RequestId, Resources, RunEnd, RunReport, RunnerId, SlotGrant,
    Spread,
};

use super::{Delivery, Fault, World, pool_id};
use standin::RunOrder;

/// Time after which an entry looks whether the owner is still the same.
const OWNER_CHECK: u64 = 100;
/// Time after which an entry gives a run up.
const RUN_TIMEOUT: u64 = 1_500;

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEnd {
    /// Not yet.
    Waiting,
    /// With this outcome.
    Told(Outcome),
}

/// What a caller's entry waits for.
#[derive(Debug, Clone)]
enum Waits {
    Reply { owner: usize, call: CallId },
    Run { grant: Box<SlotGrant>, owner: usize, since: u64 },
    Nothing,
}

/// One request or command with its entry.
pub struct Caller {
    pub entry: usize,
    pub end: CallerEnd,
    pub told_at: u64,
    pub started_at: u64,
    pub incoming: Option<Incoming>,
    pub command: Option<JobCommand>,
    plan: Option<Plan>,
    waits: Waits,
    deadline_at: u64,
    may_have_run: bool,
    /// Number of asks so far.
    asks: u64,
    /// The newest ask, as it was sent.
    last_ask: Option<Event>,
}

fn entry_id(entry: usize) -> NodeId {
    NodeId { name: format!("entry-{entry}").parse().unwrap(), incarnation: 7 }
}

fn reply_to(entry: usize) -> ReplyTo {
    let port = u16::try_from(entry).unwrap();
    ReplyTo { node: entry_id(entry), address: SocketAddr::from(([127, 0, 0, 1], port)) }
}

impl World {
    /// A caller posts a request through an entry.
    pub fn post_request(
        &mut self,
        entry: usize,
        id: &str,
        id_is_callers: bool,
        idempotent: bool,
    ) -> usize {
        let id: RequestId = id.parse().unwrap();
        let incoming = Incoming {
            holder: Holder { node: entry_id(entry), run: self.callers.len() as u64 },
            content_hash: types::stable_hash(&[id.as_str().as_bytes()]),
            id,
            id_is_callers,
            team: Some("mill".parse().unwrap()),
            queue: if idempotent { "checks" } else { "orders" }.parse().unwrap(),
            priority: Priority::Normal,
            idempotent,
            deadline_at: Millis(self.now + 6_000),
            run_limit_ms: Millis(1_000),
            body: Vec::new(),
        };
        let plan = Plan::new(&incoming, &[pool_id()]);
        self.add_caller(entry, Some(incoming), None, Some(plan), 6_000)
    }

    /// A caller sends a job command through an entry.
    pub fn post_command(&mut self, entry: usize, command: JobCommand) -> usize {
        self.add_caller(entry, None, Some(command), None, 10_000)
    }

    /// A caller submits a batch or gang job.
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
            spread: Spread::Pack,
            tasks,
            per_task: Resources { cpu_milli: cores * 1000, mem_mb: 1024, accels: 0 },
            run_ms: Millis(700),
            idempotent,
        };
        self.post_command(entry, JobCommand::Submit(spec))
    }

    /// A caller cancels a job.
    pub fn cancel_job(&mut self, entry: usize, id: &str) -> usize {
        let id: JobId = format!("north:{id}").parse().unwrap();
        self.post_command(entry, JobCommand::Cancel(id, "mill".parse().unwrap()))
    }

    fn add_caller(
        &mut self,
        entry: usize,
        incoming: Option<Incoming>,
        command: Option<JobCommand>,
        plan: Option<Plan>,
        patience: u64,
    ) -> usize {
        self.callers.push(Caller {
            entry,
            end: CallerEnd::Waiting,
            told_at: 0,
            started_at: self.now,
            incoming,
            command,
            plan,
            waits: Waits::Nothing,
            deadline_at: self.now + patience,
            may_have_run: false,
            asks: 0,
            last_ask: None,
        });
        let caller = self.callers.len() - 1;
        self.send_after(1, Delivery::Wake(caller));
        caller
    }

    fn tell(&mut self, caller: usize, outcome: Outcome) {
        if self.callers[caller].end != CallerEnd::Waiting {
            return;
        }
        self.callers[caller].end = CallerEnd::Told(outcome.clone());
        self.callers[caller].told_at = self.now;
        self.callers[caller].waits = Waits::Nothing;
        let what = match &self.callers[caller].command {
            Some(JobCommand::Submit(spec)) => format!("submit {}", spec.id),
            Some(JobCommand::Cancel(id, _)) => format!("cancel {id}"),
            None => format!("request {}", self.callers[caller].incoming.as_ref().unwrap().id),
        };
        let word = match &outcome {
            Outcome::NotRun { reason, .. } => format!("not_run {reason}"),
            outcome => outcome.as_str().to_owned(),
        };
        self.log.push(format!("{} caller of {what} is told {word}", self.now));
        self.check_told(caller, &outcome);
    }

    /// The entry of a caller looks around.
    pub(super) fn wake_caller(&mut self, index: usize) {
        if self.callers[index].end != CallerEnd::Waiting {
            return;
        }
        let now = self.now;
        let past_deadline = now >= self.callers[index].deadline_at;
        match self.callers[index].waits.clone() {
            Waits::Run { grant, since, .. } => {
                if now >= since + RUN_TIMEOUT {
                    self.take_run_result(index, grant.attempt.0, RunResult::Lost);
                }
            }
            Waits::Reply { owner, .. } if self.owner() == Some(owner) && !past_deadline => {}
            _ if past_deadline => self.give_up(index),
            _ => self.ask(index),
        }
        self.send_after(OWNER_CHECK, Delivery::Wake(index));
    }

    fn give_up(&mut self, index: usize) {
        let caller = &self.callers[index];
        let outcome = match &caller.plan {
            Some(plan) => plan.at_deadline(),
            None if caller.may_have_run => Outcome::unknown("no answer"),
            None => Outcome::not_run(NotRunReason::NoOwner, Millis(1000)),
        };
        self.tell(index, outcome);
    }

    /// Number of the call of a caller's newest ask. Earlier calls are dropped.
    fn new_call(&mut self, index: usize) -> CallId {
        self.callers[index].asks += 1;
        CallId(((index as u64) << 32) | self.callers[index].asks)
    }

    fn ask(&mut self, index: usize) {
        let Some(owner) = self.owner() else {
            self.callers[index].waits = Waits::Nothing;
            return;
        };
        let call = self.new_call(index);
        let caller = &mut self.callers[index];
        caller.waits = Waits::Reply { owner, call };
        let from = reply_to(caller.entry);
        let event = match (&caller.incoming, &caller.plan, &caller.command) {
            (Some(incoming), Some(plan), _) => Event::Ask(
                from,
                RequestAsk {
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
                    lost_a_run: plan.lost_a_run(),
                },
            ),
            (_, _, Some(command)) => {
                caller.may_have_run = true;
                Event::Command(from, call, command.clone())
            }
            _ => return,
        };
        self.callers[index].last_ask = Some(event.clone());
        self.send_to_node(owner, event);
    }

    /// The newest ask of a caller arrives once more, at whoever owns the pool.
    pub fn repeat_ask(&mut self, index: usize) {
        let Some(event) = self.callers[index].last_ask.clone() else { return };
        let Some(owner) = self.owner() else { return };
        self.send_after(1, Delivery::Node(owner, event));
    }

    fn send_to_node(&mut self, node: usize, event: Event) {
        let copies = if self.is_lost() { 0 } else { 1 };
        let doubled = usize::from(self.is_lost());
        for _ in 0..copies + doubled {
            let delay = self.delay();
            self.send_after(delay, Delivery::Node(node, event.clone()));
        }
    }

    pub(super) fn tell_entry(&mut self, entry: usize, message: Message) {
        match message {
            Message::SlotGrant(grant) => self.take_grant(entry, grant),
            Message::SlotRefusal(call, outcome) => self.take_refusal(call, outcome),
            Message::JobOutcome(call, outcome) => self.take_outcome(call, outcome),
            _ => {}
        }
    }

    /// The caller that waits for the reply to this call, and whom it asked.
    fn waiting_for(&self, call: CallId) -> Option<(usize, usize)> {
        let index = usize::try_from(call.0 >> 32).unwrap();
        match self.callers.get(index)?.waits {
            Waits::Reply { owner, call: current } if current == call => Some((index, owner)),
            _ => None,
        }
    }

    fn take_grant(&mut self, _entry: usize, grant: SlotGrant) {
        let Some((index, owner)) = self.waiting_for(grant.call) else {
            // Nobody waits any more: the slot is given back to whoever owns the pool.
            if let Some(owner) = self.owner() {
                self.report(owner, &grant, RunEnd::NotStarted, None);
            }
            return;
        };
        if self.now >= self.callers[index].deadline_at {
            self.report(owner, &grant, RunEnd::NotStarted, None);
            self.give_up(index);
            return;
        }
        // An entry may be paused between the grant and sending the request.
        let pause = if self.loss > 0 && self.random.random_bool(0.05) { 4_000 } else { 0 };
        let delay = self.delay() + pause;
        let work = Millis(self.random.random_range(5..1_200));
        self.log.push(format!(
            "{} grant {} of {} on {}",
            self.now, grant.attempt, grant.request, grant.runner
        ));
        let order = RunOrder {
            id: grant.request.clone(),
            attempt: grant.attempt.0,
            epoch: grant.epoch.0,
            incarnation: grant.incarnation,
            start_before: grant.start_before_ms,
            end_before: grant.end_before_ms,
        };
        let runner: RunnerId = grant.runner.clone();
        self.callers[index].waits = Waits::Run { grant: Box::new(grant), owner, since: self.now };
        self.send_after(delay, Delivery::Run { caller: index, runner, order, work });
    }

    pub(super) fn take_run_result(&mut self, index: usize, attempt: u64, result: RunResult) {
        let Waits::Run { grant, owner, .. } = self.callers[index].waits.clone() else { return };
        if grant.attempt.0 != attempt {
            return;
        }
        let word = match &result {
            RunResult::Answered(_) => "answered",
            RunResult::NotStarted => "not started",
            RunResult::Lost => "lost",
        };
        self.log.push(format!("{} run {} of {} {word}", self.now, attempt, grant.request));
        self.callers[index].waits = Waits::Nothing;
        let kept = match &result {
            RunResult::Answered(answer) => Some(answer.clone()),
            _ => None,
        };
        let Some(plan) = &mut self.callers[index].plan else { return };
        let (end, next) = plan.after_run(&grant.pool, result, || true);
        self.report(owner, &grant, end, kept);
        self.follow(index, next);
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

    fn follow(&mut self, index: usize, next: Next) {
        match next {
            Next::Done(outcome) => self.tell(index, outcome),
            Next::Ask if self.now < self.callers[index].deadline_at => self.ask(index),
            // The next look around asks again or gives up.
            Next::Ask | Next::AskLater => self.callers[index].waits = Waits::Nothing,
        }
    }

    fn take_refusal(&mut self, call: CallId, outcome: Outcome) {
        let Some((index, _)) = self.waiting_for(call) else { return };
        let Some(plan) = &self.callers[index].plan else { return };
        let next = plan.after_refusal(outcome);
        self.follow(index, next);
    }

    fn take_outcome(&mut self, call: CallId, outcome: Outcome) {
        let Some((index, _)) = self.waiting_for(call) else { return };
        let temporary = match &outcome {
            Outcome::NotRun { retry_after_ms, .. } => *retry_after_ms > Millis(0),
            Outcome::InProgress { .. } | Outcome::Unknown { .. } => true,
            _ => false,
        };
        if temporary {
            self.callers[index].waits = Waits::Nothing;
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
        self.tell(index, outcome);
    }

    /// Whether a random fault is a pause of an entry's runner.
    pub fn cut_worker(&mut self, node: usize, worker: usize, lasts: u64) {
        let id = self.workers.keys().nth(worker % self.workers.len()).unwrap().clone();
        self.begin(Fault::WorkerCut(node, id), lasts);
    }
}
