//! Memory of jobs that wait: many tasks, and occurrences that are due all at once.

mod simulation;

use std::collections::BTreeSet;

use cell::{
    Action, Cell, CellSettings, EndedRun, Ending, JobRecord, JobStatus, PollAnswer, Recurrence,
    StartAnswer, StartOrder, StepSpec,
};
use simulation::{job, policy, report};
use types::{Millis, Resources, WorkerId};

/// Memory of the smallest machine of any deployment.
const MACHINE_BYTES: u64 = 160_000_000;
const UNIX_START_MS: u64 = 1_700_000_000_000;
const MINUTE_MS: u64 = 60_000;

fn cell(epoch: u64) -> Cell {
    let settings = CellSettings {
        lease_ms: Millis(4_500),
        max_lease_ms: Millis(6_000),
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
        unequal_workers: false,
        learn_run_times: false,
        decide_by_run_times: false,
    };
    let mut cell = Cell::new(settings, epoch, UNIX_START_MS);
    cell.set_policy(policy().into());
    cell
}

fn record(number: u64, tasks: u32, occurrences: Option<u32>) -> JobRecord {
    let need = Resources { cpu_milli: 1_000, mem_mb: 100, accels: 0 };
    let step = StepSpec { tasks, need, estimate_ms: Millis(1_000), ..StepSpec::default() };
    let mut record = job(&format!("{number:016x}"), "batch", "large", vec![step]);
    record.accepted_unix_ms = UNIX_START_MS;
    // All due times have passed.
    record.spec.recurrence = occurrences.map(|occurrences| Recurrence {
        first_unix_ms: UNIX_START_MS - u64::from(occurrences) * MINUTE_MS,
        interval_ms: Millis(MINUTE_MS),
        occurrences,
    });
    record
}

/// Peak memory of this process.
fn peak_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the state of the process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("peak memory");
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    kilobytes.expect("a number") * 1_024
}

/// Guards against leaders that the memory of accepted jobs ends, one after the other.
#[test]
fn waiting_tasks_and_due_occurrences_take_little_memory() {
    let mut cell = cell(1);
    cell.worker_listed(report("w1"), Millis(0));
    (0..250).for_each(|number| cell.add_job(record(number, 10_000, None), Millis(0)));
    (250..255).for_each(|number| cell.add_job(record(number, 60, Some(10_000)), Millis(0)));
    for tick in 1..20 {
        cell.tick(Millis(tick * 100));
        cell.schedule(Millis(tick * 100));
    }
    let peak_bytes = peak_bytes();
    assert!(peak_bytes < MACHINE_BYTES, "{peak_bytes} bytes");
    assert!(cell.memory_bytes() < MACHINE_BYTES / 4, "{} bytes", cell.memory_bytes());
}

/// Passes the answer to a poll of `w1`.
fn poll(cell: &mut Cell, ended: Vec<EndedRun>, now: Millis) {
    let id: WorkerId = "w1".parse().expect("worker id");
    let answer = PollAnswer {
        incarnation_unix_ms: report("w1").incarnation_unix_ms,
        clock_ms: now,
        active: Vec::new(),
        ended,
        more_ended: false,
    };
    cell.poll_answered(&id, now - Millis(1), &answer, now);
}

fn starts(cell: &mut Cell, now: Millis) -> Vec<StartOrder> {
    cell.tick(now);
    cell.schedule(now);
    let order = |action| if let Action::Start(order) = action { Some(*order) } else { None };
    cell.take_actions().into_iter().filter_map(order).collect()
}

fn end(order: &StartOrder, sequence: u64) -> EndedRun {
    EndedRun {
        sequence,
        task: order.task.clone(),
        attempt: order.attempt,
        ending: Ending::Done,
        checkpoint: Default::default(),
    }
}

/// Guards against occurrences that are left out, or held up, when many are due at once.
#[test]
fn all_due_occurrences_run_in_their_order() {
    const OCCURRENCES: u32 = 3_000;
    let mut cell = cell(1);
    cell.worker_listed(report("w1"), Millis(0));
    poll(&mut cell, Vec::new(), Millis(10));
    let recurring = record(1, 1, Some(OCCURRENCES));
    cell.add_job(recurring.clone(), Millis(20));
    let (mut now, mut sequence, mut seen) = (Millis(100), 0, Vec::new());
    while cell.status(&recurring.id) != Some(JobStatus::Ended(cell::FinalState::Completed)) {
        let mut ended = Vec::new();
        for order in starts(&mut cell, now) {
            cell.start_answered(&order, StartAnswer::Started, now);
            seen.push(order.task.step.occurrence);
            sequence += 1;
            ended.push(end(&order, sequence));
        }
        assert!(!ended.is_empty(), "nothing starts after {} occurrences", seen.len());
        now = now + Millis(50);
        poll(&mut cell, ended, now);
        if let Some(batch) = cell.take_batch(28) {
            cell.batch_stored(&batch);
        }
        now = now + Millis(50);
    }
    assert!(seen.is_sorted(), "an earlier occurrence starts after a later one");
    assert_eq!(seen.iter().collect::<BTreeSet<_>>().len(), OCCURRENCES as usize);
}

/// Guards against a second run of a task whose occurrence the new leader has not opened when it hears of
/// its end.
#[test]
fn an_end_in_an_occurrence_that_is_not_open_counts() {
    const OCCURRENCES: u32 = 3_000;
    let mut cell = cell(2);
    cell.worker_listed(report("w1"), Millis(0));
    let recurring = record(1, 100, Some(OCCURRENCES));
    cell.restore(recurring.clone(), None, Millis(0));
    cell.tick(Millis(50));
    let task = format!("{}.{}.0.7", recurring.id, OCCURRENCES - 1).parse().expect("task");
    let ended =
        EndedRun { sequence: 1, task, attempt: 1, ending: Ending::Done, checkpoint: "".into() };
    poll(&mut cell, vec![ended], Millis(100));
    assert!(cell.has_unstored_ends(&"w1".parse().expect("worker id")), "the end is not stored");
    let batch = cell.take_batch(28).expect("the end is stored");
    let (number, steps) = batch.records[0].occurrences.last().expect("the last occurrence");
    assert_eq!((*number, &steps[0].done[..]), (OCCURRENCES - 1, &[7][..]));
}
