//! Answers of the advisor: for which workers they hold.

mod simulation;

use std::collections::BTreeSet;

use cell::{
    Action, AdvicePolicy, Cell, CellSettings, JobRecord, PollAnswer, QueuePolicy, StepKey, StepSpec,
};
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
