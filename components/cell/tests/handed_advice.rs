//! Answers of the advisor: for which workers they hold, and that they outlive the leader.

mod simulation;

use std::collections::BTreeSet;

use cell::{
    Action, AdvicePolicy, AdviceRecords, Cell, CellSettings, JobRecord, MAX_ADVICE_BYTES,
    PollAnswer, QueuePolicy, Recurrence, StepKey, StepSpec,
};
use libs::postcard;
use simulation::{job, policy, report};
use types::{Millis, Resources, WorkerId};

const ADVICE: AdvicePolicy =
    AdvicePolicy { call_ms: 400.0, per_worker_ms: 6.0, valid_ms: Millis(2_000) };
const QUEUE: &str = "watch";
/// Incarnation of the workers at first.
const INCARNATION: u64 = 5;
/// Within this time a step that may ask does so.
const ASK_MS: u64 = 5_000;

/// A call for advice.
struct Call {
    number: u64,
    step: StepKey,
    workers: Vec<(WorkerId, u64)>,
}

impl Call {
    fn ids(&self) -> BTreeSet<WorkerId> {
        self.workers.iter().map(|(id, _)| id.clone()).collect()
    }
}

/// A leader with its clock.
struct Leader {
    cell: Cell,
    now: Millis,
}

impl Leader {
    fn new(epoch: u64) -> Self {
        let settings = CellSettings {
            lease_ms: Millis(3_600),
            max_lease_ms: Millis(6_000),
            ended_retention_ms: Millis(120_000),
            poll_wait_ms: Millis(400),
            unequal_workers: false,
            learn_run_times: false,
            decide_by_run_times: false,
        };
        let mut cell = Cell::new(settings, epoch, 1_700_000_000_000);
        let mut policy = policy();
        let queue = QueuePolicy {
            service: "service".into(),
            priority: 1,
            max_attempts: 3,
            target_factor: 2.2,
            target_latency_ms: Millis(2_500),
            advice: Some(ADVICE),
            public: true,
        };
        policy.queues.insert(QUEUE.parse().expect("queue"), queue);
        cell.set_policy(policy.into());
        cell.set_callers(&["m1".into(), "m2".into(), "m3".into()]);
        Self { cell, now: Millis(0) }
    }

    fn add_worker(&mut self, name: &str, incarnation_unix_ms: u64) {
        let mut report = report(name);
        report.incarnation_unix_ms = incarnation_unix_ms;
        self.cell.worker_listed(report, self.now);
        // A restart shows in the first answer, and is over with the second.
        self.poll(name, incarnation_unix_ms);
        self.poll(name, incarnation_unix_ms);
    }

    fn add_workers(&mut self, count: usize) {
        (0..count).for_each(|number| self.add_worker(&format!("w{number}"), INCARNATION));
    }

    fn poll(&mut self, name: &str, incarnation_unix_ms: u64) {
        self.now = self.now + Millis(1);
        let answer = PollAnswer {
            incarnation_unix_ms,
            clock_ms: self.now,
            active: Vec::new(),
            ended: Vec::new(),
            more_ended: false,
        };
        let sent_ms = self.now;
        self.now = self.now + Millis(1);
        self.cell.poll_answered(&name.parse().expect("worker id"), sent_ms, &answer, self.now);
    }

    /// The leader that follows, with the job of this one. Its workers have not been found yet.
    fn successor(&self, record: &JobRecord) -> Self {
        let mut next = Self::new(self.cell.epoch() + 1);
        next.now = self.now + Millis(1_000);
        next.cell.restore(record.clone(), None, next.now);
        next
    }

    /// Takes over what the former leader stored.
    fn restore_advice(&mut self, stored: &[u8]) {
        let records: AdviceRecords = postcard::from_bytes(stored).expect("readable records");
        self.cell.restore_advice(&records, self.now);
    }

    /// Record to be stored for the next leader.
    fn stored_advice(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.cell.advice_records(self.now)).expect("encoded records")
    }

    /// The next call for advice within [`ASK_MS`].
    fn next_call(&mut self) -> Option<Call> {
        let until = self.now + Millis(ASK_MS);
        while self.now < until {
            self.cell.tick(self.now);
            self.cell.schedule(self.now);
            self.now = self.now + Millis(10);
            for action in self.cell.take_actions() {
                if let Action::RequestAdvice { call, step, workers, .. } = action {
                    return Some(Call { number: call, step, workers });
                }
            }
        }
        None
    }

    /// Answers a call so that only these workers are allowed.
    fn answer(&mut self, call: &Call, allowed: &BTreeSet<WorkerId>) {
        self.now = self.now + Millis((ADVICE.call_ms + 6.0 * call.workers.len() as f64) as u64);
        let tickets: Vec<_> = call
            .workers
            .iter()
            .filter(|(id, _)| allowed.contains(id))
            .map(|(id, _)| (id.clone(), "ticket".into()))
            .collect();
        let answer = Some((tickets.as_slice(), ADVICE.valid_ms));
        self.cell.advice_answered(call.number, &call.step, &call.workers, answer, self.now);
    }
}

/// A job with a task that lasts and takes a whole worker.
fn lasting_job() -> JobRecord {
    let step = StepSpec {
        tasks: 1,
        need: Resources { cpu_milli: 16_000, mem_mb: 100, accels: 0 },
        long_running: true,
        ..StepSpec::default()
    };
    job("00000000000000a1", QUEUE, "team", vec![step])
}

/// Guards against a worker that is never used for a step again, since its former incarnation, of another
/// kind, was denied.
#[test]
fn a_worker_that_has_restarted_is_asked_about_again() {
    let mut leader = Leader::new(2);
    leader.add_workers(8);
    leader.cell.add_job(lasting_job(), leader.now);
    let mut denied = BTreeSet::new();
    while let Some(call) = leader.next_call() {
        assert!(denied.is_disjoint(&call.ids()), "a denied worker is named again");
        denied.extend(call.ids());
        leader.answer(&call, &BTreeSet::new());
    }
    assert_eq!(denied.len(), 8, "workers without an answer");
    leader.add_worker("w3", INCARNATION + 1);
    let call = leader.next_call().expect("a call after the restart");
    assert_eq!(call.workers, [("w3".parse().expect("worker id"), INCARNATION + 1)]);
}

/// Plays a leader that gets answers to `calls` calls and hands over to the next, where `restart` is the worker
/// that restarts meanwhile. Returns the workers of these calls, and the next leader.
fn hand_over(
    record: &JobRecord,
    workers: usize,
    calls: usize,
    allowed: &BTreeSet<WorkerId>,
    restart: Option<&str>,
) -> (BTreeSet<WorkerId>, Leader) {
    let mut leader = Leader::new(2);
    leader.add_workers(workers);
    leader.cell.add_job(record.clone(), leader.now);
    let mut asked = BTreeSet::new();
    for _ in 0..calls {
        let call = leader.next_call().expect("a call");
        asked.extend(call.ids());
        leader.answer(&call, allowed);
    }
    let mut next = leader.successor(record);
    for number in 0..workers {
        let name = format!("w{number}");
        let is_new = restart == Some(name.as_str());
        next.add_worker(&name, if is_new { INCARNATION + 1 } else { INCARNATION });
    }
    next.restore_advice(&leader.stored_advice());
    (asked, next)
}

/// Guards against a step that gets no ticket while leaders change: each of them named the same workers, all
/// of which the advisor had denied to the one before.
#[test]
fn the_next_leader_does_not_name_a_worker_that_was_denied() {
    let (denied, mut next) = hand_over(&lasting_job(), 60, 2, &BTreeSet::new(), None);
    let call = next.next_call().expect("a call of the next leader");
    assert!(denied.is_disjoint(&call.ids()), "named again: {:?}", call.ids());
    assert!(call.workers.len() > 6, "few are named after empty answers: {}", call.workers.len());
}

/// Guards against a leader that hands on only what it has asked itself.
#[test]
fn answers_outlive_several_leaders() {
    let record = lasting_job();
    let (denied, first) = hand_over(&record, 60, 2, &BTreeSet::new(), None);
    // It has neither workers that answered nor calls of its own.
    let mut second = first.successor(&record);
    (0..60).for_each(|number| second.cell.worker_listed(report(&format!("w{number}")), second.now));
    second.restore_advice(&first.stored_advice());
    let mut third = second.successor(&record);
    third.add_workers(60);
    third.restore_advice(&second.stored_advice());
    let call = third.next_call().expect("a call");
    assert!(denied.is_disjoint(&call.ids()), "named again: {:?}", call.ids());
}

/// Guards against tasks that start on a ticket that has expired, and against calls that look for other
/// workers first.
#[test]
fn the_next_leader_names_allowed_workers_first() {
    let record = lasting_job();
    let named_by = |calls| hand_over(&record, 60, calls, &BTreeSet::new(), None).0;
    // Those that the third call names.
    let allowed = &named_by(3) - &named_by(2);
    let (_, mut next) = hand_over(&record, 60, 3, &allowed, None);
    next.now = next.now + ADVICE.valid_ms;
    let call = next.next_call().expect("a call of the next leader, without a start before it");
    assert!(call.ids().is_subset(&allowed), "others are named: {:?}", call.ids());
}

/// Guards against answers that come too late for the leader that has asked: with terms of a second and
/// calls of half a second each leader asked for a ticket, and the next one could not use it.
#[test]
fn the_next_leader_uses_tickets_that_are_valid() {
    let record = lasting_job();
    let named_by = |calls| hand_over(&record, 60, calls, &BTreeSet::new(), None).0;
    let allowed = &named_by(3) - &named_by(2);
    let (_, mut next) = hand_over(&record, 60, 3, &allowed, None);
    next.cell.tick(next.now);
    next.cell.schedule(next.now);
    let start = next.cell.take_actions().into_iter().find_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    let start = start.expect("a start without a call");
    assert!(allowed.contains(&start.worker), "{:?} is not allowed", start.worker);
    assert_eq!(start.ticket.as_deref(), Some("ticket"));
}

/// Guards against a worker that is never used again for a step, since its former incarnation, of another
/// kind, was denied to a former leader.
#[test]
fn the_next_leader_asks_about_a_worker_that_has_restarted() {
    let (denied, mut next) = hand_over(&lasting_job(), 4, 1, &BTreeSet::new(), Some("w2"));
    assert_eq!(denied.len(), 4, "workers without an answer");
    let call = next.next_call().expect("a call of the next leader");
    assert_eq!(call.workers, [("w2".parse().expect("worker id"), INCARNATION + 1)]);
}

/// Guards against answers that are lost since no task of a later occurrence has run.
#[test]
fn answers_on_a_later_occurrence_are_handed_on() {
    let mut record = lasting_job();
    record.spec.recurrence = Some(Recurrence {
        first_unix_ms: 1_700_000_000_000,
        interval_ms: Millis(1),
        occurrences: 3,
    });
    let (denied, mut next) = hand_over(&record, 60, 6, &BTreeSet::new(), None);
    assert!(denied.len() > 6, "few workers are denied");
    assert!(next.cell.advice_records(next.now).steps() > 1, "answers on one occurrence only");
    assert!(next.next_call().is_some());
}

/// Guards against answers on jobs and workers that are gone.
#[test]
fn only_open_jobs_and_known_workers_are_in_the_record() {
    let record = lasting_job();
    let (_, next) = hand_over(&record, 60, 2, &BTreeSet::new(), None);
    assert!(next.cell.advice_records(next.now).denied() > 6);
    // A leader that knows none of these workers.
    let mut other = next.successor(&record);
    other.restore_advice(&next.stored_advice());
    assert_eq!(other.cell.advice_records(other.now).denied(), 0);
    let mut ended = next.successor(&record);
    ended.add_workers(60);
    ended.cell.cancel_job(&record.id, Millis(0), ended.now);
    ended.restore_advice(&next.stored_advice());
    assert_eq!(ended.cell.advice_records(ended.now).steps(), 0);
}

/// Most workers, steps and workers asked about for a step in the largest fleet.
const LARGE_FLEET: usize = 5_000;
const STEPS: usize = 3_000;
const ASKED_OF_STEP: usize = 90;

/// Guards against a record that fills the link or is too large for the store.
#[test]
fn the_record_of_a_large_fleet_is_bounded() {
    let mut leader = Leader::new(2);
    let ids: Vec<WorkerId> = (0..LARGE_FLEET)
        .map(|number| format!("i-{number:010x}").parse().expect("worker id"))
        .collect();
    for id in &ids {
        let mut report = report(id.as_str());
        report.incarnation_unix_ms = 1_700_000_000_000;
        leader.cell.worker_listed(report, leader.now);
    }
    for number in 0..STEPS {
        let mut record = lasting_job();
        record.id = format!("{number:016x}").parse().expect("job id");
        let step = StepKey { job: record.id.clone(), occurrence: 0, step: 0 };
        leader.cell.add_job(record, leader.now);
        // The workers of one step take more than the whole record.
        let count = if number == 0 { LARGE_FLEET } else { ASKED_OF_STEP };
        let asked: Vec<_> = (0..count)
            .map(|place| (ids[(number * 37 + place) % LARGE_FLEET].clone(), 1_700_000_000_000))
            .collect();
        let allowed: Vec<_> =
            asked.iter().step_by(10).map(|(id, _)| (id.clone(), "ticket".into())).collect();
        let answer = Some((allowed.as_slice(), ADVICE.valid_ms));
        leader.cell.advice_answered(number as u64, &step, &asked, answer, leader.now);
    }
    let records = leader.cell.advice_records(leader.now);
    let bytes = leader.stored_advice().len();
    assert!(bytes <= MAX_ADVICE_BYTES, "{bytes} bytes");
    assert!(bytes > MAX_ADVICE_BYTES * 9 / 10, "only {bytes} bytes are used");
    // A step takes a third of the record at most, and the workers of any other one some 2,100 bytes.
    assert!(records.steps() > 20, "one step takes most: {} steps", records.steps());
    assert!(records.allowed() > records.steps(), "{} allowed", records.allowed());
}

/// Guards against a leader that fails on a record with values that no leader has written.
#[test]
fn a_damaged_record_is_harmless() {
    let record = lasting_job();
    let step = |occurrence, step| StepKey { job: record.id.clone(), occurrence, step };
    let w1: WorkerId = "w1".parse().expect("worker id");
    let indexes = vec![0u32, 1, u32::MAX];
    let tickets: Vec<_> =
        indexes[1..].iter().map(|index| (*index, "ticket".to_owned(), u64::MAX)).collect();
    let none = Vec::<(u32, String, u64)>::new();
    let steps = vec![
        (step(0, 0), indexes.clone(), tickets, indexes.clone(), u32::MAX),
        (step(u32::MAX, 0), indexes.clone(), none.clone(), Vec::new(), 0),
        (step(0, 7), indexes.clone(), none, Vec::new(), 0),
    ];
    let rates = vec![(record.queue.clone(), f64::NAN), (record.queue.clone(), -3.0)];
    let stored = postcard::to_allocvec(&(vec![(w1, INCARNATION)], steps, rates)).expect("record");
    let mut leader = Leader::new(2).successor(&record);
    // A call names a hundred of them at most.
    leader.add_workers(150);
    leader.restore_advice(&stored);
    let call = leader.next_call().expect("a call");
    leader.answer(&call, &BTreeSet::new());
    assert!(leader.next_call().is_some());
}
