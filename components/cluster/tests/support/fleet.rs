//! Workers that run tasks for as long as these take, drain and are replaced, and an advisor that allows a fixed
//! third of them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use cell::{
    ActiveRun, EndedRun, Ending, PaceOrder, PollAnswer, PollOrder, Refusal, StartAnswer,
    StartOrder, StepKey, StopOrder, TaskKey, WorkerReport,
};
use cluster::{
    Advice, Advisor, Directory, LocalBoxFuture, PollOutcome, StoreResult, WorkerChange, Workers,
};
use libs::tokio;
use types::{Millis, Resources, WorkerId};

use super::address;

/// Duration of a call to a worker that answers, and time after which a call to one that is gone fails.
const CALL_MS: Millis = Millis(3);
const CALL_TIMEOUT_MS: Millis = Millis(1_000);
/// Time from a stop to the end of the run.
const STOP_MS: Millis = Millis(900);
/// Period at which ends and expiries are noted.
const STEP_MS: Millis = Millis(5);
/// Duration of a call to the store.
const STORE_CALL_MS: Millis = Millis(25);
/// Duration of a call to the advisor, and for each worker that it names.
pub const ADVICE_MS: u64 = 400;
pub const ADVICE_MS_A_WORKER: u64 = 6;
/// Life of a ticket.
pub const TICKET_MS: Millis = Millis(4_000);

async fn sleep(ms: Millis) {
    tokio::time::sleep(ms.to_duration()).await;
}

/// A run on a worker.
#[derive(Debug)]
struct FleetRun {
    attempt: u32,
    need: Resources,
    lasts: bool,
    started_ms: Millis,
    /// When its work is done, or its stop is.
    ends_ms: Option<(Millis, Ending)>,
}

#[derive(Debug)]
struct FleetWorker {
    report: WorkerReport,
    /// When it leaves, once that is announced.
    leaves_ms: Option<Millis>,
    listed: bool,
    /// Calls arrive. It has left otherwise, or hangs.
    answers: bool,
    runs: BTreeMap<TaskKey, FleetRun>,
    last_attempts: BTreeMap<TaskKey, u32>,
    ended: Vec<EndedRun>,
    next_end: u64,
    fence: u64,
    deadline_ms: Millis,
}

impl FleetWorker {
    /// Its entry in the list.
    fn entry(&self, now: Millis) -> WorkerReport {
        let leaves_in_ms = self.leaves_ms.map(|leaves_ms| leaves_ms.since(now));
        WorkerReport { leaves_in_ms, ..self.report.clone() }
    }

    fn end_run(&mut self, task: &TaskKey, ending: Ending) -> bool {
        let Some(run) = self.runs.remove(task) else { return false };
        self.next_end += 1;
        self.ended.push(EndedRun {
            sequence: self.next_end,
            task: task.clone(),
            attempt: run.attempt,
            ending,
            checkpoint: "".into(),
        });
        run.lasts
    }

    /// Tasks whose runs end now.
    fn due(&self, now: Millis) -> Vec<(TaskKey, Ending)> {
        let expired = now >= self.deadline_ms;
        let ending = |run: &FleetRun| match run.ends_ms {
            Some((at_ms, ending)) if now >= at_ms => Some(ending),
            _ => expired.then_some(Ending::LeaseExpired),
        };
        let due = self.runs.iter().filter_map(|(task, run)| Some((task.clone(), ending(run)?)));
        due.collect()
    }

    fn free(&self) -> Resources {
        let used = self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.need));
        self.report.capacity.minus(&used)
    }
}

/// A time without a run of a task that lasts.
#[derive(Debug, Clone)]
pub struct Gap {
    pub task: String,
    pub from_ms: Millis,
    pub lasted_ms: Millis,
}

/// A call to the advisor.
#[derive(Debug, Clone)]
pub struct AdviceCall {
    pub machine: String,
    pub step: StepKey,
    pub sent_ms: Millis,
    pub answered_ms: Millis,
    pub named: Vec<WorkerId>,
    pub denied: Vec<WorkerId>,
}

/// Workers, their list, and what has happened on them.
#[derive(Default)]
pub struct Fleet {
    workers: RefCell<BTreeMap<WorkerId, FleetWorker>>,
    changes: RefCell<Vec<WorkerChange>>,
    numbers: Cell<u32>,
    /// Ends of the last runs of tasks that last and have none.
    idle_since_ms: RefCell<BTreeMap<TaskKey, Millis>>,
    pub gaps: RefCell<Vec<Gap>>,
    /// Tasks that ran twice at the same time, or again after they were done.
    pub twice: RefCell<Vec<String>>,
    pub advice_calls: RefCell<Vec<AdviceCall>>,
    pub starts: RefCell<Vec<(TaskKey, WorkerId, Millis)>>,
    /// Tasks with a run that was done, and whose end was acknowledged.
    done: RefCell<BTreeSet<TaskKey>>,
    /// Times at which machines went down, with all calls that they had in progress.
    ends_of_machines: RefCell<Vec<(String, Millis)>>,
}

impl Fleet {
    /// Adds a worker with a new id.
    pub fn add_worker(&self, cores: u64) -> WorkerId {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        let id: WorkerId = format!("w{number:03}").parse().expect("worker id");
        let report = WorkerReport {
            id: id.clone(),
            incarnation_unix_ms: u64::from(number) + 1,
            address: address(),
            service: "mill".into(),
            domain: None,
            rack: None,
            labels: Vec::new(),
            capacity: Resources { cpu_milli: cores * 1_000, mem_mb: 64_000, accels: 0 },
            draining: false,
            leaves_in_ms: None,
            cold_remaining_ms: Millis(0),
        };
        let worker = FleetWorker {
            report: report.clone(),
            leaves_ms: None,
            listed: true,
            answers: true,
            runs: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 0,
            fence: 0,
            deadline_ms: Millis(0),
        };
        self.workers.borrow_mut().insert(id.clone(), worker);
        self.changes.borrow_mut().push(WorkerChange::Listed(Box::new(report)));
        id
    }

    /// Announces that a worker leaves.
    pub fn drain(&self, id: &WorkerId, leaves_in_ms: Millis) {
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(id).expect("a worker");
        worker.report.draining = true;
        worker.leaves_ms = Some(clock::now() + leaves_in_ms);
        let report = Box::new(worker.entry(clock::now()));
        self.changes.borrow_mut().push(WorkerChange::Listed(report));
    }

    /// Ends a worker with all its runs. Nobody learns of their ends.
    pub fn leave(&self, id: &WorkerId) {
        let mut workers = self.workers.borrow_mut();
        let worker = workers.get_mut(id).expect("a worker");
        worker.listed = false;
        worker.answers = false;
        let now = clock::now();
        for (task, run) in std::mem::take(&mut worker.runs) {
            if run.lasts {
                self.idle_since_ms.borrow_mut().insert(task, now);
            }
        }
        self.changes.borrow_mut().push(WorkerChange::Unlisted(id.clone()));
    }

    /// Lets calls to a worker hang; what runs there goes on.
    pub fn hang(&self, id: &WorkerId) {
        self.workers.borrow_mut().get_mut(id).expect("a worker").answers = false;
    }

    /// Listed workers that do not drain, oldest first.
    pub fn in_service(&self) -> Vec<WorkerId> {
        let workers = self.workers.borrow();
        let found = workers.iter().filter(|(_, one)| one.listed && !one.report.draining);
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Workers that run a task.
    pub fn runners_of(&self, task: &TaskKey) -> Vec<WorkerId> {
        let workers = self.workers.borrow();
        let found = workers.iter().filter(|(_, one)| one.runs.contains_key(task));
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Number of tasks that last and run.
    pub fn lasting_runs(&self) -> usize {
        let workers = self.workers.borrow();
        workers.values().flat_map(|one| one.runs.values()).filter(|run| run.lasts).count()
    }

    /// Number of all tasks that run.
    pub fn all_runs(&self) -> usize {
        self.workers.borrow().values().map(|one| one.runs.len()).sum()
    }

    /// Ends runs as their work, their stops and their leases end.
    pub async fn play(self: Rc<Self>) {
        loop {
            sleep(STEP_MS).await;
            let now = clock::now();
            for worker in self.workers.borrow_mut().values_mut() {
                for (task, ending) in worker.due(now) {
                    if worker.end_run(&task, ending) {
                        self.idle_since_ms.borrow_mut().insert(task, now);
                    }
                }
            }
        }
    }

    /// Times without a run so far, with those that have not ended.
    pub fn all_gaps(&self) -> Vec<Gap> {
        let now = clock::now();
        let idle = self.idle_since_ms.borrow();
        let open = idle.iter().map(|(task, from_ms)| Gap {
            task: task.to_string(),
            from_ms: *from_ms,
            lasted_ms: now.since(*from_ms),
        });
        self.gaps.borrow().iter().cloned().chain(open).collect()
    }

    /// Notes that a machine of the system has gone down.
    pub fn machine_ended(&self, machine: &str) {
        self.ends_of_machines.borrow_mut().push((machine.to_owned(), clock::now()));
    }

    /// Whether the advisor allows a worker: one of three, whatever the step.
    pub fn allows(&self, id: &WorkerId) -> bool {
        let number: u32 = id.as_str()[1..].parse().expect("a number");
        number.is_multiple_of(3)
    }

    fn note_start(&self, order: &StartOrder, now: Millis) {
        let task = &order.task;
        self.starts.borrow_mut().push((task.clone(), order.worker.clone(), now));
        if let Some(from_ms) = self.idle_since_ms.borrow_mut().remove(task) {
            let lasted_ms = now.since(from_ms);
            self.gaps.borrow_mut().push(Gap { task: task.to_string(), from_ms, lasted_ms });
        }
        let runners = self.runners_of(task);
        if runners.len() > 1 {
            self.twice.borrow_mut().push(format!("{task} on {runners:?} at {now}"));
        }
        if self.done.borrow().contains(task) {
            self.twice.borrow_mut().push(format!("{task} after it was done, at {now}"));
        }
    }

    fn try_start(&self, order: &StartOrder, now: Millis) -> StartAnswer {
        let needs_ticket = order.record.policy.advice.is_some();
        let is_allowed = self.allows(&order.worker);
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(&order.worker) else { return StartAnswer::Unanswered };
        if order.fence < worker.fence {
            return StartAnswer::Refused(Refusal::Fenced);
        }
        worker.fence = order.fence;
        let Some(spec) = order.record.spec.steps.get(usize::from(order.task.step.step)) else {
            return StartAnswer::Refused(Refusal::Malformed);
        };
        if needs_ticket && !(is_allowed && order.ticket.is_some()) {
            return StartAnswer::Refused(Refusal::Ticket);
        }
        if worker.runs.get(&order.task).is_some_and(|run| run.attempt == order.attempt) {
            return StartAnswer::Started;
        }
        let last = worker.last_attempts.get(&order.task).copied().unwrap_or(0);
        if order.attempt <= last {
            return StartAnswer::Refused(Refusal::StaleAttempt);
        }
        if now >= order.deadline_ms {
            return StartAnswer::Refused(Refusal::DeadlinePassed);
        }
        if !worker.free().covers(&spec.need) {
            return StartAnswer::Refused(Refusal::InsufficientResources);
        }
        worker.deadline_ms = worker.deadline_ms.max(order.deadline_ms);
        worker.last_attempts.insert(order.task.clone(), order.attempt);
        let done = (!spec.long_running).then_some((now + spec.estimate_ms, Ending::Done));
        let run = FleetRun {
            attempt: order.attempt,
            need: spec.need,
            lasts: spec.long_running,
            started_ms: now,
            ends_ms: done,
        };
        worker.runs.insert(order.task.clone(), run);
        drop(workers);
        self.note_start(order, now);
        StartAnswer::Started
    }

    /// Number of the last end of a run on a worker.
    fn last_end(&self, id: &WorkerId) -> Option<u64> {
        self.workers.borrow().get(id).map(|worker| worker.next_end)
    }

    fn answers(&self, id: &WorkerId) -> bool {
        self.workers.borrow().get(id).is_some_and(|worker| worker.answers)
    }

    fn answer_to_poll(&self, id: &WorkerId, now: Millis) -> PollOutcome {
        let workers = self.workers.borrow();
        let Some(worker) = workers.get(id).filter(|worker| worker.answers) else {
            return PollOutcome::Failed;
        };
        let percent = |run: &FleetRun| match run.ends_ms {
            Some((at_ms, Ending::Done)) => {
                let whole_ms = at_ms.since(run.started_ms).0.max(1);
                (now.since(run.started_ms).0 * 100 / whole_ms).min(99) as u32
            }
            _ => 100,
        };
        let active = |(task, run): (&TaskKey, &FleetRun)| ActiveRun {
            task: task.clone(),
            attempt: run.attempt,
            checkpoint: "".into(),
            percent: percent(run),
            gauge: 0,
        };
        PollOutcome::Answered(Box::new(PollAnswer {
            incarnation_unix_ms: worker.report.incarnation_unix_ms,
            clock_ms: now,
            active: worker.runs.iter().map(active).collect(),
            ended: worker.ended.clone(),
            more_ended: false,
        }))
    }
}

/// The ports of one machine to the fleet.
#[derive(Clone)]
pub struct FleetPorts {
    pub fleet: Rc<Fleet>,
    pub machine: String,
    /// The advisor handles one call at a time for each machine.
    pub advisor_turn: Rc<tokio::sync::Mutex<()>>,
}

impl Directory for FleetPorts {
    fn list(&self) -> LocalBoxFuture<'_, StoreResult<(Vec<WorkerReport>, u64)>> {
        Box::pin(async move {
            sleep(STORE_CALL_MS).await;
            let workers = self.fleet.workers.borrow();
            let listed = workers.values().filter(|worker| worker.listed);
            let reports = listed.map(|worker| worker.entry(clock::now())).collect();
            Ok((reports, self.fleet.changes.borrow().len() as u64))
        })
    }

    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Vec<WorkerChange>, u64)>> {
        Box::pin(async move {
            let until = clock::now() + wait_ms;
            loop {
                sleep(STORE_CALL_MS).await;
                let all = self.fleet.changes.borrow();
                let newer = all.get(after as usize..).unwrap_or_default().to_vec();
                if !newer.is_empty() || clock::now() > until {
                    return Ok((newer, all.len() as u64));
                }
            }
        })
    }
}

impl Workers for FleetPorts {
    fn start<'a>(&'a self, order: &'a StartOrder) -> LocalBoxFuture<'a, StartAnswer> {
        Box::pin(async move {
            sleep(CALL_MS).await;
            if !self.fleet.answers(&order.worker) {
                sleep(CALL_TIMEOUT_MS).await;
                return StartAnswer::Unanswered;
            }
            self.fleet.try_start(order, clock::now())
        })
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> LocalBoxFuture<'a, bool> {
        Box::pin(async move {
            sleep(CALL_MS).await;
            if !self.fleet.answers(&order.worker) {
                sleep(CALL_TIMEOUT_MS).await;
                return false;
            }
            let mut workers = self.fleet.workers.borrow_mut();
            let Some(worker) = workers.get_mut(&order.worker) else { return false };
            if order.fence < worker.fence {
                return false;
            }
            let last = worker.last_attempts.entry(order.task.clone()).or_default();
            *last = (*last).max(order.attempt);
            if let Some(run) = worker.runs.get_mut(&order.task)
                && run.attempt == order.attempt
                && !matches!(run.ends_ms, Some((_, Ending::Stopped)))
            {
                run.ends_ms = Some((clock::now() + STOP_MS, Ending::Stopped));
            }
            true
        })
    }

    fn pace<'a>(&'a self, _order: &'a PaceOrder) -> LocalBoxFuture<'a, bool> {
        Box::pin(std::future::ready(true))
    }

    fn poll<'a>(
        &'a self,
        worker: &'a WorkerId,
        order: &'a PollOrder,
    ) -> LocalBoxFuture<'a, PollOutcome> {
        Box::pin(async move {
            sleep(CALL_MS).await;
            let known = {
                let mut workers = self.fleet.workers.borrow_mut();
                match workers.get_mut(worker).filter(|one| one.answers) {
                    Some(one) if order.fence < one.fence => return PollOutcome::Fenced,
                    Some(one) => {
                        one.fence = order.fence;
                        one.deadline_ms =
                            one.deadline_ms.max(order.deadline_ms.unwrap_or_default());
                        let forgotten = one.ended.extract_if(.., |end| end.sequence <= order.ack);
                        let done = forgotten.filter(|end| end.ending == Ending::Done);
                        self.fleet.done.borrow_mut().extend(done.map(|end| end.task));
                        Some(one.next_end)
                    }
                    None => None,
                }
            };
            let Some(ends) = known else {
                sleep(CALL_TIMEOUT_MS).await;
                return PollOutcome::Failed;
            };
            let until = clock::now() + order.wait_ms;
            while clock::now() < until && self.fleet.last_end(worker) == Some(ends) {
                sleep(STEP_MS).await;
            }
            self.fleet.answer_to_poll(worker, clock::now())
        })
    }
}

impl Advisor for FleetPorts {
    fn advise<'a>(
        &'a self,
        step: &'a StepKey,
        workers: &'a [WorkerId],
        _timeout_ms: Millis,
    ) -> LocalBoxFuture<'a, Option<Advice>> {
        Box::pin(async move {
            let sent_ms = clock::now();
            let _turn = self.advisor_turn.lock().await;
            sleep(Millis(ADVICE_MS + ADVICE_MS_A_WORKER * workers.len() as u64)).await;
            let (allowed, denied): (Vec<WorkerId>, Vec<WorkerId>) =
                workers.iter().cloned().partition(|id| self.fleet.allows(id));
            let (named, answered_ms) = (workers.to_vec(), clock::now());
            let (machine, step) = (self.machine.clone(), step.clone());
            let call = AdviceCall { machine, step, sent_ms, answered_ms, named, denied };
            self.fleet.advice_calls.borrow_mut().push(call);
            let allowed = allowed.into_iter().map(|id| (id, "ticket".into())).collect();
            Some(Advice { allowed, valid_ms: TICKET_MS })
        })
    }
}

/// Time from the advisor's answer until the leader knows it.
const DELIVERY_MS: Millis = Millis(60);
/// Time after which a leader gives a call up.
const ADVICE_TIMEOUT_MS: Millis = Millis(2_400);

impl Fleet {
    /// Calls that name workers which had been denied for the same step. An answer counts once the leader that asked
    /// knows it: it does not if it was told to stop meanwhile, at one of `stops_ms`, or if the machine that called went
    /// down.
    pub fn repeated_denials(&self, stops_ms: &[Millis]) -> Vec<String> {
        let calls = self.advice_calls.borrow();
        let mut repeated = Vec::new();
        for call in calls.iter() {
            let earlier = calls.iter().filter(|one| {
                let is_before = one.answered_ms + DELIVERY_MS < call.sent_ms;
                one.step == call.step && is_before && self.is_known(one, stops_ms)
            });
            let denied: BTreeSet<&WorkerId> = earlier.flat_map(|one| &one.denied).collect();
            let again = call.named.iter().filter(|id| denied.contains(id)).count();
            if again > 0 {
                repeated.push(format!("{again} of {} at {}", call.named.len(), call.sent_ms));
            }
        }
        repeated
    }

    fn is_known(&self, call: &AdviceCall, stops_ms: &[Millis]) -> bool {
        let in_progress = call.sent_ms..=call.answered_ms + DELIVERY_MS;
        let ends = self.ends_of_machines.borrow();
        let machine_ended =
            ends.iter().any(|(name, at_ms)| *name == call.machine && in_progress.contains(at_ms));
        let is_in_time = call.answered_ms.since(call.sent_ms) < ADVICE_TIMEOUT_MS;
        let leader_stopped = stops_ms.iter().any(|stop_ms| in_progress.contains(stop_ms));
        is_in_time && !machine_ended && !leader_stopped
    }
}
