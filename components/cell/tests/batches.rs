//! Batches of job progress, and when the end of a run may be acknowledged.

mod simulation;

use cell::{Cell, CellSettings, EndedRun, Ending, PollAnswer, Progress, StepSpec, WorkerReport};
use simulation::{job, policy, task};
use types::{Millis, Resources, WorkerId};

const NOW: Millis = Millis(1_000);

fn settings() -> CellSettings {
    CellSettings {
        lease_ms: Millis(4_500),
        max_lease_ms: Millis(6_000),
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
        unequal_workers: false,
        learn_run_times: false,
        decide_by_run_times: false,
    }
}

fn worker(name: &str) -> WorkerReport {
    WorkerReport {
        id: name.parse().expect("worker id"),
        incarnation_unix_ms: 5,
        address: "127.0.0.1:1".parse().expect("address"),
        service: "service".into(),
        domain: None,
        rack: None,
        labels: Vec::new(),
        capacity: Resources { cpu_milli: 4_000, mem_mb: 4_000, accels: 0 },
        draining: false,
        leaves_in_ms: None,
        cold_remaining_ms: Millis(0),
    }
}

fn poll_answer(ended: Vec<EndedRun>) -> PollAnswer {
    PollAnswer {
        incarnation_unix_ms: 5,
        clock_ms: Millis(500),
        active: Vec::new(),
        ended,
        more_ended: false,
    }
}

fn ended(sequence: u64, index: u32, attempt: u32, ending: Ending) -> EndedRun {
    EndedRun {
        sequence,
        task: task("00000000000000aa", 0, index),
        attempt,
        ending,
        checkpoint: Default::default(),
    }
}

fn cell_with_job(tasks: u32) -> Cell {
    let mut cell = Cell::new(settings(), 1, 1_700_000_000_000);
    cell.set_policy(policy().into());
    let step = StepSpec { tasks, estimate_ms: Millis(100), ..StepSpec::default() };
    cell.add_job(job("00000000000000aa", "batch", "large", vec![step]), NOW);
    cell
}

fn id(name: &str) -> WorkerId {
    name.parse().expect("worker id")
}

#[test]
fn an_end_is_not_acknowledged_while_its_batch_is_on_its_way() {
    let mut cell = cell_with_job(2);
    cell.worker_listed(worker("w0"), NOW);
    cell.poll_answered(&id("w0"), NOW, &poll_answer(vec![ended(1, 0, 1, Ending::Done)]), NOW);
    let first = cell.take_batch(10).expect("a change to store");
    // A second caller, such as the hand-over at shutdown, gets no batch meanwhile.
    assert!(cell.take_batch(10).is_none());
    let order = cell.poll_order(&id("w0"), false, NOW).expect("a known worker");
    assert_eq!(order.ack, 0);
    cell.batch_stored(&first);
    let order = cell.poll_order(&id("w0"), false, NOW).expect("a known worker");
    assert_eq!(order.ack, 1);
}

#[test]
fn failed_runs_count_once_each_in_whatever_order_they_are_heard() {
    let mut cell = cell_with_job(1);
    for (name, attempt) in [("w0", 3), ("w1", 1), ("w0", 3), ("w1", 1)] {
        cell.worker_listed(worker(name), NOW);
        let sent = Millis(NOW.0 + u64::from(attempt));
        cell.poll_answered(
            &id(name),
            sent,
            &poll_answer(vec![ended(1, 0, attempt, Ending::Failed)]),
            sent,
        );
    }
    let batch = cell.take_batch(10).expect("a change to store");
    let stored: &Progress = &batch.records[0];
    assert_eq!(stored.ended, None);
    assert_eq!(stored.occurrences[0].1[0].failures, vec![(0, vec![3, 1])]);
}

#[test]
fn the_next_leader_counts_an_end_that_was_stored_but_not_acknowledged_once() {
    let mut first = cell_with_job(1);
    first.worker_listed(worker("w0"), NOW);
    let shown = poll_answer(vec![ended(1, 0, 1, Ending::Failed)]);
    first.poll_answered(&id("w0"), NOW, &shown, NOW);
    let stored = first.take_batch(10).expect("a change to store").records[0].clone();
    let mut next = Cell::new(settings(), 2, 1_700_000_000_000);
    next.set_policy(policy().into());
    let step = StepSpec { tasks: 1, estimate_ms: Millis(100), ..StepSpec::default() };
    let record = job("00000000000000aa", "batch", "large", vec![step]);
    next.restore(record, Some(&stored), NOW);
    next.worker_listed(worker("w0"), NOW);
    next.poll_answered(&id("w0"), NOW, &shown, NOW);
    let again = next.take_batch(10).expect("a change to store").records[0].clone();
    assert_eq!(again.occurrences[0].1[0].failures, vec![(0, vec![1])]);
}

#[test]
fn ends_are_acknowledged_job_by_job_and_ended_jobs_are_stored_first() {
    let mut cell = cell_with_job(2);
    let step = StepSpec { tasks: 1, estimate_ms: Millis(100), ..StepSpec::default() };
    cell.add_job(job("00000000000000bb", "batch", "large", vec![step]), NOW);
    cell.worker_listed(worker("w0"), NOW);
    let last = EndedRun { task: task("00000000000000bb", 0, 0), ..ended(2, 0, 1, Ending::Done) };
    let shown = poll_answer(vec![ended(1, 0, 1, Ending::Done), last]);
    cell.poll_answered(&id("w0"), NOW, &shown, NOW);
    let ack = |cell: &mut Cell| cell.poll_order(&id("w0"), false, NOW).expect("known").ack;
    let first = cell.take_batch(1).expect("a change to store");
    assert_eq!(first.records[0].id.as_str(), "00000000000000bb");
    cell.batch_stored(&first);
    // End 1 belongs to a job that is not stored yet, so end 2 can't be acknowledged either.
    assert_eq!(ack(&mut cell), 0);
    let second = cell.take_batch(1).expect("a change to store");
    cell.batch_stored(&second);
    assert_eq!(ack(&mut cell), 2);
}

/// Jobs with low ids change all the time. An end of another job that is not stored for long keeps
/// the worker from acknowledging its later ends, and the leader from waiting for them.
#[test]
fn jobs_are_stored_in_the_order_of_their_first_change() {
    let mut cell = cell_with_job(2);
    let wide = StepSpec { tasks: 20, estimate_ms: Millis(100), ..StepSpec::default() };
    for job_id in ["0000000000000001", "00000000000000ff"] {
        cell.add_job(job(job_id, "batch", "large", vec![wide.clone()]), NOW);
    }
    for name in ["w0", "w1"] {
        cell.worker_listed(worker(name), NOW);
    }
    let end = |job_id: &str, sequence: u64, index| EndedRun {
        task: task(job_id, 0, index),
        ..ended(sequence, 0, 1, Ending::Done)
    };
    let other = poll_answer(vec![end("00000000000000ff", 1, 0)]);
    cell.poll_answered(&id("w0"), NOW, &other, NOW);
    let mut batches = 0;
    while cell.poll_order(&id("w0"), false, NOW).expect("known").ack == 0 {
        batches += 1;
        assert!(batches < 3, "the end is never stored");
        let sequence = u64::from(batches);
        let busy = poll_answer(vec![end("0000000000000001", sequence, batches)]);
        let sent = Millis(NOW.0 + sequence);
        cell.poll_answered(&id("w1"), sent, &busy, sent);
        let batch = cell.take_batch(1).expect("a change to store");
        cell.batch_stored(&batch);
    }
}

/// Guards against a gang that starts again after it was done: the end of its second member was forgotten,
/// while the batch that held the end of the first one was on its way and failed with the leader.
#[test]
fn the_end_of_a_gang_member_is_not_acknowledged_before_the_gang_is_stored_as_done() {
    let mut cell = Cell::new(settings(), 1, 1_700_000_000_000);
    cell.set_policy(policy().into());
    let step = StepSpec { tasks: 2, gang: true, estimate_ms: Millis(100), ..StepSpec::default() };
    cell.add_job(job("00000000000000aa", "batch", "large", vec![step]), NOW);
    for name in ["w0", "w1"] {
        cell.worker_listed(worker(name), NOW);
    }
    let ack = |cell: &mut Cell, name| cell.poll_order(&id(name), false, NOW).expect("known").ack;
    cell.poll_answered(&id("w0"), NOW, &poll_answer(vec![ended(1, 0, 1, Ending::Done)]), NOW);
    let first = cell.take_batch(10).expect("a change to store");
    cell.poll_answered(&id("w1"), NOW, &poll_answer(vec![ended(1, 1, 1, Ending::Done)]), NOW);
    assert_eq!((ack(&mut cell, "w0"), ack(&mut cell, "w1")), (0, 0), "the batch is on its way");
    cell.batch_failed(&first);
    assert_eq!((ack(&mut cell, "w0"), ack(&mut cell, "w1")), (0, 0), "the batch has failed");
    let second = cell.take_batch(10).expect("a change to store");
    cell.batch_stored(&second);
    assert_eq!((ack(&mut cell, "w0"), ack(&mut cell, "w1")), (1, 1));
}
