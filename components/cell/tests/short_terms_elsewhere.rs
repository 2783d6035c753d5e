//! Chains of leaders that hand over about once a second: what each of them learns or waits for must not begin
//! again with the next one for ever.

mod simulation;

use std::collections::{BTreeMap, BTreeSet};

use cell::{
    Action, ActiveRun, Cell, CellSettings, EndedRun, Ending, FinalState, JobRecord, JobStatus,
    LossKind, LostRun, PollAnswer, Progress, RosterRow, StartAnswer, StepProgress, StepSpec,
    TaskKey, TaskLosses, TermStart, WorkerAccount, WorkerReport,
};
use simulation::{job, policy, report, task};
use types::{JobId, Millis, Resources, WorkerId};

const UNIX_START_MS: u64 = 1_700_000_000_000;
/// Length of a term, from the load of the stored state to the hand-over.
const SHORT_TERM_MS: u64 = 1_200;
/// Time without a leader between two terms.
const GAP_MS: u64 = 50;
const STEP_MS: u64 = 50;
const TICK_MS: u64 = 100;
/// Calls to a worker that does not answer fail this long after the start of the term.
const FAILED_CALL_MS: u64 = 700;
/// Time since the start of the first process of the chain.
const UPTIME_MS: Millis = Millis(100_000);

/// How a worker takes calls.
#[derive(Clone, Copy, PartialEq)]
enum Calls {
    Answered,
    /// They fail after their time-out.
    Failed,
    /// No call is answered within the term.
    Pending,
}

struct Running {
    attempt: u32,
    started_ms: Millis,
    /// Time that it takes; none if it runs until it is stopped.
    takes_ms: Option<Millis>,
    stalls: bool,
}

struct Worker {
    report: WorkerReport,
    calls: Calls,
    runs: BTreeMap<TaskKey, Running>,
    ended: Vec<EndedRun>,
    ends: u64,
    /// What starts here makes no progress.
    stalls: bool,
}

impl Worker {
    fn new(name: &str) -> Self {
        Self {
            report: report(name),
            calls: Calls::Answered,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            stalls: false,
        }
    }

    fn run(&mut self, key: TaskKey, attempt: u32, started_ms: Millis) {
        let run = Running { attempt, started_ms, takes_ms: None, stalls: self.stalls };
        self.runs.insert(key, run);
    }

    fn end(&mut self, key: &TaskKey, ending: Ending) {
        let Some(run) = self.runs.remove(key) else { return };
        self.ends += 1;
        self.ended.push(EndedRun {
            sequence: self.ends,
            task: key.clone(),
            attempt: run.attempt,
            ending,
            checkpoint: Default::default(),
        });
    }

    fn advance(&mut self, now: Millis) {
        let is_done =
            |run: &Running| run.takes_ms.is_some_and(|takes| now >= run.started_ms + takes);
        let done: Vec<TaskKey> =
            self.runs.iter().filter(|(_, run)| is_done(run)).map(|(key, _)| key.clone()).collect();
        done.iter().for_each(|key| self.end(key, Ending::Done));
    }

    fn answer(&self, now: Millis) -> PollAnswer {
        let percent = |run: &Running| match run.takes_ms {
            _ if run.stalls => 0,
            None => 100,
            Some(takes) => (now.since(run.started_ms).0 * 100 / takes.0.max(1)).min(99) as u32,
        };
        let active = self.runs.iter().map(|(key, run)| ActiveRun {
            task: key.clone(),
            attempt: run.attempt,
            checkpoint: Default::default(),
            percent: percent(run),
            gauge: 0,
        });
        PollAnswer {
            incarnation_unix_ms: self.report.incarnation_unix_ms,
            clock_ms: now,
            active: active.collect(),
            ended: self.ended.clone(),
            more_ended: false,
        }
    }
}

/// Leaders that follow each other, what they have stored, and their workers.
struct Chain {
    now: Millis,
    term_ms: u64,
    epoch: u64,
    elected_ms: Millis,
    cell: Cell,
    jobs: Vec<JobRecord>,
    progress: BTreeMap<JobId, Progress>,
    roster: Vec<RosterRow>,
    accounts: Vec<WorkerAccount>,
    term_starts: Vec<TermStart>,
    workers: BTreeMap<WorkerId, Worker>,
    /// All starts, in their order.
    started: Vec<TaskKey>,
}

fn new_cell(epoch: u64, unix_start_ms: u64) -> Cell {
    let settings = CellSettings {
        lease_ms: Millis(4_500),
        max_lease_ms: Millis(6_000),
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
        unequal_workers: false,
        learn_run_times: false,
        decide_by_run_times: false,
    };
    let mut cell = Cell::new(settings, epoch, unix_start_ms);
    cell.set_policy(policy().into());
    cell
}

impl Chain {
    /// A chain whose first leader inherits from an earlier one.
    fn new(term_ms: u64, workers: Vec<Worker>, jobs: Vec<JobRecord>) -> Self {
        let workers = workers.into_iter().map(|worker| (worker.report.id.clone(), worker));
        Self {
            now: UPTIME_MS,
            term_ms,
            epoch: 1,
            elected_ms: UPTIME_MS,
            cell: new_cell(1, UNIX_START_MS),
            jobs,
            progress: BTreeMap::new(),
            roster: Vec::new(),
            accounts: Vec::new(),
            term_starts: Vec::new(),
            workers: workers.collect(),
            started: Vec::new(),
        }
    }

    fn elect(&mut self) {
        self.epoch += 1;
        self.elected_ms = self.now;
        let mut cell = new_cell(self.epoch, UNIX_START_MS);
        cell.restore_term_starts(&self.term_starts, self.now);
        self.term_starts = cell.term_starts().to_vec();
        for record in &self.jobs {
            cell.restore(record.clone(), self.progress.get(&record.id), self.now);
        }
        for worker in self.workers.values() {
            cell.worker_listed(worker.report.clone(), self.now);
        }
        self.roster.iter().for_each(|row| cell.restore_roster_row(row, self.now, self.now));
        self.accounts.iter().for_each(|account| cell.restore_account(account));
        self.cell = cell;
    }

    fn add_job(&mut self, record: JobRecord) {
        self.cell.add_job(record.clone(), self.now);
        self.jobs.push(record);
    }

    fn store_batches(&mut self) {
        while let Some(batch) = self.cell.take_batch(28) {
            for record in &batch.records {
                self.progress.insert(record.id.clone(), record.clone());
            }
            self.cell.batch_stored(&batch);
            for end in &batch.ends {
                let worker = self.workers.get_mut(&end.worker).expect("a worker");
                worker.ended.retain(|ended| ended.sequence != end.sequence);
            }
        }
    }

    fn hand_over(&mut self) {
        (self.roster, self.accounts) = (self.cell.last_roster(self.now), self.cell.accounts());
        self.store_batches();
        self.now = self.now + Millis(GAP_MS);
        self.elect();
    }

    fn poll(&mut self) {
        let now = self.now;
        let led_ms = now.since(self.elected_ms).0;
        for (id, worker) in &mut self.workers {
            self.cell.poll_order(id, false, now).expect("a known worker");
            match worker.calls {
                Calls::Answered => {
                    worker.advance(now);
                    self.cell.poll_answered(id, now, &worker.answer(now), now);
                }
                Calls::Failed if led_ms >= FAILED_CALL_MS => self.cell.poll_failed(id, now),
                Calls::Failed | Calls::Pending => {}
            }
        }
    }

    fn execute(&mut self) {
        for action in self.cell.take_actions() {
            match action {
                Action::Start(order) => {
                    let worker = self.workers.get_mut(&order.worker).expect("a worker");
                    let step = usize::from(order.task.step.step);
                    let spec = &order.record.spec.steps[step];
                    let run = Running {
                        attempt: order.attempt,
                        started_ms: self.now,
                        takes_ms: (!spec.long_running).then_some(spec.estimate_ms),
                        stalls: worker.stalls,
                    };
                    worker.runs.insert(order.task.clone(), run);
                    self.started.push(order.task.clone());
                    self.cell.start_answered(&order, StartAnswer::Started, self.now);
                }
                Action::Stop(order) => {
                    let worker = self.workers.get_mut(&order.worker).expect("a worker");
                    worker.end(&order.task, Ending::Stopped);
                    self.cell.stop_answered(
                        &order.worker,
                        &order.task,
                        order.attempt,
                        true,
                        self.now,
                    );
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        if self.epoch == 1 {
            self.elect();
        }
        if self.now.since(self.elected_ms).0 >= self.term_ms {
            self.hand_over();
        }
        self.poll();
        if self.now.0.is_multiple_of(TICK_MS) {
            self.cell.tick(self.now);
        }
        self.cell.schedule(self.now);
        self.execute();
        self.store_batches();
        let (roster, accounts) = (self.cell.roster(self.now), self.cell.accounts());
        self.cell.roster_stored(&roster);
        (self.roster, self.accounts) = (roster, accounts);
        self.now = self.now + Millis(STEP_MS);
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now + Millis(ms);
        while self.now < end {
            self.step();
        }
    }

    /// Starts of a task.
    fn starts_of(&self, key: &TaskKey) -> usize {
        self.started.iter().filter(|started| *started == key).count()
    }

    fn worker(&mut self, name: &str) -> &mut Worker {
        let id: WorkerId = name.parse().expect("worker id");
        self.workers.get_mut(&id).expect("a worker")
    }

    /// A worker crashes and is back at once under its id.
    fn restart(&mut self, name: &str) {
        let unix_ms = UNIX_START_MS + self.now.0;
        let worker = self.worker(name);
        worker.report.incarnation_unix_ms = unix_ms;
        worker.runs.clear();
        worker.ended.clear();
        worker.ends = 0;
        let report = worker.report.clone();
        self.cell.worker_listed(report, self.now);
    }
}

fn step(tasks: u32, cores: u64, estimate_ms: u64) -> StepSpec {
    let need = Resources { cpu_milli: cores * 1_000, mem_mb: 100, accels: 0 };
    StepSpec { tasks, need, estimate_ms: Millis(estimate_ms), ..StepSpec::default() }
}

fn lasting(tasks: u32, cores: u64) -> StepSpec {
    StepSpec { long_running: true, ..step(tasks, cores, 0) }
}

/// A job that was accepted when the clock of the chain showed `at`.
fn accepted(id: &str, queue: &str, steps: Vec<StepSpec>, at: Millis) -> JobRecord {
    JobRecord { accepted_unix_ms: UNIX_START_MS + at.0, ..job(id, queue, "large", steps) }
}

const OLD: &str = "00000000000000a1";

/// Guards against work that never runs: an overdue job gets a turn once it has waited for 5 s, and each
/// leader counted that from its election.
#[test]
fn an_overdue_job_gets_its_turn_although_leaders_change() {
    for term_ms in [u64::MAX, SHORT_TERM_MS] {
        let old = accepted(OLD, "batch", vec![step(1, 16, 400)], Millis(1_000));
        let mut chain = Chain::new(term_ms, vec![Worker::new("w0")], vec![old]);
        for number in 0..150 {
            let id = format!("{:016x}", 0xb000 + number);
            chain.add_job(accepted(&id, "watch", vec![step(1, 16, 400)], chain.now));
            chain.run_for(400);
        }
        assert_eq!(chain.starts_of(&task(OLD, 0, 0)), 1, "terms of {term_ms} ms");
    }
}

/// A job with two tasks that last, both lost early with their workers, one of them twice.
fn lost_early() -> (JobRecord, Progress) {
    let record = accepted(OLD, "watch", vec![lasting(2, 4)], Millis(1_000));
    let early = |attempt| LostRun { attempt, kind: LossKind::Early };
    let losses = |index, runs| TaskLosses { occurrence: 0, step: 0, index, runs };
    let progress = Progress {
        id: record.id.clone(),
        ended: None,
        occurrences: vec![(0, vec![StepProgress::default()])],
        losses: vec![losses(0, vec![early(1), early(2)]), losses(1, vec![early(1)])],
    };
    (record, progress)
}

/// Guards against a task that never runs: it waits until another task of its step, which may crash its workers,
/// has run for 10 s, and each leader counted that from its election.
#[test]
fn a_lost_task_does_not_wait_for_ever_until_another_has_survived() {
    for term_ms in [u64::MAX, SHORT_TERM_MS] {
        let (record, progress) = lost_early();
        let mut chain =
            Chain::new(term_ms, vec![Worker::new("w0"), Worker::new("w1")], vec![record]);
        chain.progress.insert(progress.id.clone(), progress);
        chain.worker("w0").run(task(OLD, 0, 0), 3, Millis(90_000));
        chain.run_for(30_000);
        assert_eq!(chain.starts_of(&task(OLD, 0, 0)), 0, "it runs");
        assert!(chain.starts_of(&task(OLD, 0, 1)) > 0, "terms of {term_ms} ms");
    }
}

/// Guards against a sound job that is shown as failed: the time that a run has lasted counted from the election
/// of the leader, so that a run that was lost just after an election counted as one that crashed its worker by
/// its start, and no run ever lasted long enough to withdraw that.
#[test]
fn a_task_that_has_run_for_long_is_not_blamed_for_restarts_of_its_workers() {
    for term_ms in [u64::MAX, SHORT_TERM_MS] {
        let record = accepted(OLD, "watch", vec![lasting(1, 4)], Millis(1_000));
        let mut chain = Chain::new(term_ms, vec![Worker::new("w0")], vec![record]);
        chain.worker("w0").run(task(OLD, 0, 0), 1, Millis(1_000));
        for restart in 0..6 {
            // 12 s and a little later, 300 ms after an election.
            chain.run_for(12_000);
            while term_ms == SHORT_TERM_MS && chain.now.since(chain.elected_ms) != Millis(300) {
                chain.step();
            }
            let state = chain.cell.status(&OLD.parse().expect("job id"));
            let what = format!("after {restart} restarts, terms of {term_ms} ms");
            assert_ne!(state, Some(JobStatus::Ended(FinalState::Failed)), "{what}");
            assert!(chain.worker("w0").runs.contains_key(&task(OLD, 0, 0)), "{what}");
            chain.restart("w0");
        }
    }
}

/// A task whose worker, by the stored roster, fell silent with it.
fn named_at(worker: &str, incarnation_unix_ms: u64) -> RosterRow {
    RosterRow {
        worker: worker.parse().expect("worker id"),
        address: "127.0.0.1:1".parse().expect("address"),
        incarnation_unix_ms,
        silent_lease_left_ms: Some(Millis(3_000)),
        tasks: Some(vec![task(OLD, 0, 0)]),
    }
}

/// Guards against a task that never runs: its worker has restarted and takes no calls, and each leader waited anew
/// for the time in which unanswered calls may start it there.
#[test]
fn a_restarted_worker_that_takes_no_calls_does_not_hold_its_tasks_for_ever() {
    for term_ms in [u64::MAX, SHORT_TERM_MS] {
        let record = accepted(OLD, "watch", vec![lasting(1, 4)], Millis(1_000));
        let mut silent = Worker::new("w0");
        silent.calls = Calls::Failed;
        silent.report.incarnation_unix_ms = 900;
        let mut chain = Chain::new(term_ms, vec![silent, Worker::new("w1")], vec![record]);
        chain.roster = vec![named_at("w0", 5)];
        // Calls are late by 12 s at most, and the longest lease lasts 6 s.
        chain.run_for(40_000);
        assert_eq!(chain.starts_of(&task(OLD, 0, 0)), 1, "terms of {term_ms} ms");
    }
}

/// Guards against tasks that never run: a listed worker answers no call within a term, and each leader waited anew
/// for the longest lease there, with all that may have been started.
#[test]
fn a_listed_worker_that_never_answers_does_not_hold_all_tasks_for_ever() {
    for term_ms in [u64::MAX, SHORT_TERM_MS] {
        let record = accepted(OLD, "watch", vec![lasting(1, 4)], Millis(1_000));
        let mut silent = Worker::new("w0");
        silent.calls = Calls::Pending;
        let mut chain = Chain::new(term_ms, vec![silent, Worker::new("w1")], vec![record]);
        chain.run_for(40_000);
        assert_eq!(chain.starts_of(&task(OLD, 0, 0)), 1, "terms of {term_ms} ms");
    }
}

/// The same with calls that fail within the term.
#[test]
fn a_listed_worker_whose_calls_fail_holds_all_tasks_for_one_lease() {
    let record = accepted(OLD, "watch", vec![lasting(1, 4)], Millis(1_000));
    let mut silent = Worker::new("w0");
    silent.calls = Calls::Failed;
    let mut chain = Chain::new(SHORT_TERM_MS, vec![silent, Worker::new("w1")], vec![record]);
    chain.run_for(20_000);
    assert_eq!(chain.starts_of(&task(OLD, 0, 0)), 1);
}

/// Guards against work that never ends: a run without progress was found after 1.5 s, counted from the election.
#[test]
fn a_stalled_run_is_found_although_leaders_change() {
    for term_ms in [u64::MAX, SHORT_TERM_MS] {
        let record = accepted(OLD, "watch", vec![step(1, 4, 1_000)], UPTIME_MS);
        let mut stalls = Worker::new("w0");
        stalls.stalls = true;
        stalls.run(task(OLD, 0, 0), 1, UPTIME_MS);
        let mut chain = Chain::new(term_ms, vec![stalls, Worker::new("w1")], vec![record]);
        chain.run_for(30_000);
        assert!(chain.starts_of(&task(OLD, 0, 0)) > 0, "terms of {term_ms} ms");
    }
}

/// Guards against an order of the work that depends on when the leader's process started: a job older than the
/// process counted as accepted at its start, so that what was overdue went before what could be in time.
#[test]
fn a_young_process_ranks_jobs_by_their_age() {
    for uptime_ms in [100_000, 300] {
        let now = Millis(uptime_ms);
        let unix_ms = UNIX_START_MS + 100_000;
        let mut cell = new_cell(2, unix_ms - now.0);
        let old = accepted(OLD, "watch", vec![step(1, 16, 400)], Millis(1_000));
        let new = accepted("00000000000000b1", "watch", vec![step(1, 16, 400)], Millis(99_900));
        let new_id = new.id.clone();
        cell.restore(old, None, now);
        cell.restore(new, None, now);
        let worker = Worker::new("w0");
        let id = worker.report.id.clone();
        cell.worker_listed(worker.report.clone(), now);
        cell.poll_answered(&id, now, &worker.answer(now), now);
        cell.tick(now);
        cell.schedule(now);
        let started: BTreeSet<JobId> = cell
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Start(order) => Some(order.task.step.job),
                _ => None,
            })
            .collect();
        assert_eq!(started, BTreeSet::from([new_id]), "a process of {uptime_ms} ms");
    }
}
