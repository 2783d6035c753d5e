//! A chain of leaders with short terms: each loads what the one before has stored, as processes do that
//! hand over in turn.

use std::collections::BTreeMap;

use cell::{
    Action, ActiveRun, Cell, CellSettings, EndedRun, Ending, JobRecord, PollAnswer, PollOrder,
    Progress, RosterRow, StartAnswer, StartOrder, StepSpec, StopOrder, TaskKey, WorkerAccount,
    WorkerReport,
};
use types::{JobId, Millis, Resources, WorkerId};

use crate::simulation::{job, policy, report};

/// Lease that leaders grant.
pub const LEASE_MS: Millis = Millis(4_500);
/// Longest lease that workers grant.
pub const MAX_LEASE_MS: Millis = Millis(6_000);
/// A term, from one hand-over to the next.
pub const TERM_MS: Millis = Millis(1_200);
/// Part of a term before the state is loaded.
const LOAD_MS: Millis = Millis(200);
/// Part of that for the calls to the store after the election.
const LOAD_CALLS_MS: Millis = Millis(70);
/// Resolution of the simulated time.
const STEP_MS: Millis = Millis(5);
/// Period of [`Cell::tick`].
const TICK_MS: u64 = 100;
/// Delay between an answer and the next poll, and after a failed poll.
const POLL_DELAY_MS: Millis = Millis(10);
const FAILED_POLL_DELAY_MS: Millis = Millis(250);
/// Time until a poll is answered.
const ANSWER_MS: Millis = Millis(5);

/// How a worker treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Answers,
    /// Calls are carried out, and their answers are lost.
    AnswersLost,
    /// No call arrives but those that were sent before, and what runs goes on.
    CutOff,
    /// No call arrives, and nothing runs any more.
    Cut,
}

/// A worker whose clock is 2% slow.
#[derive(Debug)]
pub struct FakeWorker {
    pub report: WorkerReport,
    pub listed: bool,
    pub link: Link,
    /// Tasks that run there, with their attempts.
    pub runs: BTreeMap<TaskKey, u32>,
    ended: Vec<EndedRun>,
    next_end: u64,
    fence: u64,
    /// Latest deadline in a call to it, on its own clock.
    pub deadline_ms: Millis,
}

/// Clock of each worker.
fn worker_clock(now: Millis) -> Millis {
    Millis(500 + now.0 * 98 / 100)
}

/// Earliest time at which the clock of each worker shows `clock_ms`.
fn time_of_clock(clock_ms: Millis) -> Millis {
    Millis(clock_ms.0.saturating_sub(500) * 100 / 98)
}

impl FakeWorker {
    /// Time at which the leases expire that were granted last.
    pub fn leases_end_ms(&self) -> Millis {
        time_of_clock(self.deadline_ms)
    }

    fn accepts_fence(&mut self, fence: u64) -> bool {
        let accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        accepted
    }

    fn end_run(&mut self, task: &TaskKey, ending: Ending) {
        let Some(attempt) = self.runs.remove(task) else { return };
        self.next_end += 1;
        self.ended.push(EndedRun {
            sequence: self.next_end,
            task: task.clone(),
            attempt,
            ending,
            checkpoint: Default::default(),
        });
    }

    fn expire(&mut self, now: Millis) {
        if worker_clock(now) < self.deadline_ms {
            return;
        }
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, Ending::LeaseExpired);
        }
    }

    fn poll(&mut self, order: &PollOrder, now: Millis) -> Option<PollAnswer> {
        if !self.is_reached() || !self.accepts_fence(order.fence) {
            return None;
        }
        if let Some(deadline_ms) = order.deadline_ms {
            self.deadline_ms = self.deadline_ms.max(deadline_ms);
        }
        self.ended.retain(|end| end.sequence > order.ack);
        let run = |(task, attempt): (&TaskKey, &u32)| ActiveRun {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: Default::default(),
            percent: 100,
            gauge: 0,
        };
        (self.link == Link::Answers).then(|| PollAnswer {
            incarnation_unix_ms: self.report.incarnation_unix_ms,
            clock_ms: worker_clock(now),
            active: self.runs.iter().map(run).collect(),
            ended: self.ended.clone(),
            more_ended: false,
        })
    }

    fn is_reached(&self) -> bool {
        matches!(self.link, Link::Answers | Link::AnswersLost)
    }

    fn start(&mut self, order: &StartOrder, now: Millis) -> StartAnswer {
        if !self.is_reached() {
            return StartAnswer::Unanswered;
        }
        self.carry_out_start(order, now);
        match self.link {
            Link::Answers => StartAnswer::Started,
            _ => StartAnswer::Unanswered,
        }
    }

    fn carry_out_start(&mut self, order: &StartOrder, now: Millis) {
        if self.accepts_fence(order.fence) && worker_clock(now) < order.deadline_ms {
            self.deadline_ms = self.deadline_ms.max(order.deadline_ms);
            self.runs.insert(order.task.clone(), order.attempt);
        }
    }

    fn stop(&mut self, order: &StopOrder) -> bool {
        let carried_out = self.is_reached() && self.accepts_fence(order.fence);
        if carried_out {
            self.end_run(&order.task, Ending::Stopped);
        }
        carried_out && self.link == Link::Answers
    }
}

/// A poll on its way, and when its answer or its failure arrives.
struct Poll {
    sent_ms: Millis,
    due_ms: Millis,
    /// None for a poll that is not answered.
    answer: Option<PollAnswer>,
}

/// A start, as the worker has seen it.
#[derive(Debug, Clone)]
pub struct Start {
    pub at_ms: Millis,
    pub task: TaskKey,
}

/// What is stored, the workers, and the time.
pub struct Chain {
    pub now: Millis,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub starts: Vec<Start>,
    /// Tasks that ran twice at the same time.
    pub twice: Vec<String>,
    /// Time until a poll that is not answered fails.
    pub failure_ms: Millis,
    /// Starts are not answered, and carried out this much later.
    pub late_starts_ms: Option<Millis>,
    late_starts: Vec<(Millis, StartOrder)>,
    /// Times by which a poll of a worker has failed.
    pub failed_polls: Vec<(WorkerId, Millis)>,
    epoch: u64,
    jobs: Vec<JobRecord>,
    progress: BTreeMap<JobId, Progress>,
    roster: Vec<RosterRow>,
    accounts: Vec<WorkerAccount>,
}

pub fn worker_id(name: &str) -> WorkerId {
    name.parse().expect("worker id")
}

/// A job whose tasks last until it is cancelled.
pub fn lasting_job(id: &str, tasks: u32, cores: u64) -> JobRecord {
    let need = Resources { cpu_milli: cores * 1_000, mem_mb: 100, accels: 0 };
    let step = StepSpec { tasks, need, long_running: true, ..StepSpec::default() };
    job(id, "batch", "large", vec![step])
}

impl Chain {
    /// Workers of 16 cores that answer.
    pub fn new(workers: &[&str], jobs: Vec<JobRecord>) -> Self {
        let mut chain = Self {
            now: Millis(1_000),
            workers: BTreeMap::new(),
            starts: Vec::new(),
            twice: Vec::new(),
            failure_ms: Millis(1_000),
            late_starts_ms: None,
            late_starts: Vec::new(),
            failed_polls: Vec::new(),
            epoch: 0,
            jobs,
            progress: BTreeMap::new(),
            roster: Vec::new(),
            accounts: Vec::new(),
        };
        workers.iter().for_each(|name| chain.add_worker(name));
        chain
    }

    pub fn add_worker(&mut self, name: &str) {
        let worker = FakeWorker {
            report: report(name),
            listed: true,
            link: Link::Answers,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 0,
            fence: 0,
            deadline_ms: Millis(0),
        };
        self.workers.insert(worker_id(name), worker);
    }

    pub fn worker(&mut self, name: &str) -> &mut FakeWorker {
        self.workers.get_mut(&worker_id(name)).expect("a worker")
    }

    /// Ends a run on a worker.
    pub fn end_run(&mut self, name: &str, task: &TaskKey) {
        self.worker(name).end_run(task, Ending::Stopped);
    }

    /// Elects the next leader, which loads what is stored.
    pub fn elect(&mut self) -> Term<'_> {
        self.run_workers_until(self.now + LOAD_MS);
        self.epoch += 1;
        let settings = CellSettings {
            lease_ms: LEASE_MS,
            max_lease_ms: MAX_LEASE_MS,
            ended_retention_ms: Millis(120_000),
            poll_wait_ms: Millis(0),
            unequal_workers: false,
            learn_run_times: false,
            decide_by_run_times: false,
        };
        let mut cell = Cell::new(settings, self.epoch, 1_700_000_000_000);
        cell.set_policy(policy().into());
        for record in &self.jobs {
            cell.restore(record.clone(), self.progress.get(&record.id), self.now);
        }
        for worker in self.workers.values().filter(|worker| worker.listed) {
            cell.worker_listed(worker.report.clone(), self.now);
        }
        for row in &self.roster {
            cell.restore_roster_row(row, self.now - LOAD_CALLS_MS, self.now);
        }
        for account in &self.accounts {
            cell.restore_account(account);
        }
        Term { chain: self, cell, polls: BTreeMap::new(), next_polls: BTreeMap::new() }
    }

    /// Lets leaders follow one another, each for a term.
    pub fn lead(&mut self, terms: u32) {
        for _ in 0..terms {
            let mut term = self.elect();
            term.run(TERM_MS - LOAD_MS);
            term.hand_over();
        }
    }

    /// Lets one leader lead for a while.
    pub fn lead_for(&mut self, duration_ms: Millis) {
        let mut term = self.elect();
        term.run(duration_ms);
        term.hand_over();
    }

    /// First start of a task after a time.
    pub fn start_after(&self, task: &TaskKey, after: Millis) -> Option<&Start> {
        self.starts.iter().find(|start| start.task == *task && start.at_ms > after)
    }

    /// Roster entry of a worker.
    pub fn row(&self, name: &str) -> Option<&RosterRow> {
        self.roster.iter().find(|row| row.worker.as_str() == name)
    }

    fn run_workers_until(&mut self, until: Millis) {
        while self.now < until {
            self.now = self.now + STEP_MS;
            self.play_workers();
        }
    }

    fn play_workers(&mut self) {
        let now = self.now;
        self.workers.values_mut().for_each(|worker| worker.expire(now));
        let due: Vec<_> = self.late_starts.extract_if(.., |(at_ms, _)| *at_ms <= now).collect();
        for (_, order) in due {
            let worker = self.workers.get_mut(&order.worker);
            if let Some(worker) = worker.filter(|worker| worker.link != Link::Cut) {
                worker.carry_out_start(&order, now);
                self.check_runs(&order.task);
            }
        }
    }

    /// Notes a task that runs on several workers.
    fn check_runs(&mut self, task: &TaskKey) {
        let running = self.workers.iter().filter(|(_, worker)| worker.runs.contains_key(task));
        let ids: Vec<&str> = running.map(|(id, _)| id.as_str()).collect();
        if ids.len() > 1 {
            self.twice.push(format!("{task} runs on {ids:?} at {}", self.now));
        }
    }
}

/// The term of one leader.
pub struct Term<'a> {
    pub chain: &'a mut Chain,
    cell: Cell,
    polls: BTreeMap<WorkerId, Poll>,
    next_polls: BTreeMap<WorkerId, Millis>,
}

impl Term<'_> {
    /// Lets the leader work for a while.
    pub fn run(&mut self, duration_ms: Millis) {
        let until = self.chain.now + duration_ms;
        while self.chain.now < until {
            self.step();
        }
    }

    /// Changes the entry of a worker.
    pub fn list(&mut self, name: &str, change: impl FnOnce(&mut WorkerReport)) {
        let worker = self.chain.worker(name);
        worker.listed = true;
        change(&mut worker.report);
        let report = worker.report.clone();
        self.cell.worker_listed(report, self.chain.now);
    }

    /// Removes the entry of a worker.
    pub fn unlist(&mut self, name: &str) {
        self.chain.worker(name).listed = false;
        self.cell.worker_unlisted(&worker_id(name), self.chain.now);
    }

    /// Changes how a worker treats calls. One that no call reaches is gone, and its runs with it.
    pub fn set_link(&mut self, name: &str, link: Link) {
        let worker = self.chain.worker(name);
        worker.link = link;
        if link == Link::Cut {
            worker.runs.clear();
        }
    }

    /// Stores the last roster. What else has changed was stored before.
    pub fn hand_over(mut self) {
        self.chain.roster = self.cell.last_roster(self.chain.now);
        self.chain.accounts = self.cell.accounts();
        self.store_progress();
    }

    fn step(&mut self) {
        self.chain.now = self.chain.now + STEP_MS;
        self.chain.play_workers();
        let now = self.chain.now;
        self.receive_answers();
        self.send_polls();
        if now.0.is_multiple_of(TICK_MS) {
            self.cell.tick(now);
        }
        self.cell.schedule(now);
        for action in self.cell.take_actions() {
            self.execute(action);
        }
        self.store_progress();
        self.store_roster();
    }

    fn receive_answers(&mut self) {
        let now = self.chain.now;
        let due: Vec<WorkerId> = self
            .polls
            .iter()
            .filter(|(_, poll)| poll.due_ms <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(poll) = self.polls.remove(&id) else { continue };
            let delay_ms = match &poll.answer {
                Some(answer) => {
                    self.cell.poll_answered(&id, poll.sent_ms, answer, now);
                    POLL_DELAY_MS
                }
                None => {
                    self.cell.poll_failed(&id, now);
                    self.chain.failed_polls.push((id.clone(), now));
                    FAILED_POLL_DELAY_MS
                }
            };
            self.next_polls.insert(id, now + delay_ms);
        }
    }

    fn send_polls(&mut self) {
        let now = self.chain.now;
        for id in self.cell.worker_ids() {
            let is_due = self.next_polls.get(&id).is_none_or(|next_ms| *next_ms <= now);
            if self.polls.contains_key(&id) || !is_due {
                continue;
            }
            let Some(order) = self.cell.poll_order(&id, true, now) else { continue };
            let worker = self.chain.workers.get_mut(&id);
            let answer = worker.and_then(|worker| worker.poll(&order, now));
            let takes_ms = if answer.is_some() { ANSWER_MS } else { self.chain.failure_ms };
            let poll = Poll { sent_ms: now, due_ms: now + takes_ms, answer };
            self.polls.insert(id, poll);
        }
    }

    fn execute(&mut self, action: Action) {
        let now = self.chain.now;
        match action {
            Action::Start(order) => {
                if let Some(late_ms) = self.chain.late_starts_ms {
                    self.chain.late_starts.push((now + late_ms, *order));
                    return;
                }
                let Some(worker) = self.chain.workers.get_mut(&order.worker) else { return };
                let answer = worker.start(&order, now);
                self.chain.starts.push(Start { at_ms: now, task: order.task.clone() });
                self.chain.check_runs(&order.task);
                self.cell.start_answered(&order, answer, now);
            }
            Action::Stop(order) => {
                let worker = self.chain.workers.get_mut(&order.worker);
                let confirmed = worker.is_some_and(|worker| worker.stop(&order));
                self.cell.stop_answered(&order.worker, &order.task, order.attempt, confirmed, now);
            }
            Action::Poll(id) => {
                self.next_polls.insert(id, now);
            }
            Action::Pace(_) | Action::RequestAdvice { .. } => {}
            Action::Deposed => panic!("a worker has seen a higher epoch at {now}"),
        }
    }

    fn store_progress(&mut self) {
        while let Some(batch) = self.cell.take_batch(28) {
            for record in &batch.records {
                self.chain.progress.insert(record.id.clone(), record.clone());
            }
            self.cell.batch_stored(&batch);
        }
    }

    fn store_roster(&mut self) {
        let roster = self.cell.roster(self.chain.now);
        if roster != self.chain.roster {
            self.chain.roster = roster;
            self.cell.roster_stored(&self.chain.roster);
        }
    }
}
