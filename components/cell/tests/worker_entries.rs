//! Entries of the worker list that others than the worker have written.

mod simulation;

use cell::{
    Action, ActiveRun, Cell, CellSettings, EndedRun, Ending, JobStatus, PollAnswer, StartAnswer,
    StartOrder, StepSpec, WorkerReport,
};
use simulation::{job, policy, report};
use types::{Millis, Resources, WorkerId};

const NOW: Millis = Millis(3_000);

fn cell() -> Cell {
    let settings = CellSettings {
        lease_ms: Millis(4_500),
        max_lease_ms: Millis(6_000),
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
        unequal_workers: false,
        learn_run_times: false,
        decide_by_run_times: false,
    };
    let mut cell = Cell::new(settings, 1, 1_700_000_000_000);
    cell.set_policy(policy().into());
    cell
}

fn poll(cell: &mut Cell, born: u64, ended: Vec<EndedRun>, active: Vec<ActiveRun>, now: Millis) {
    let worker: WorkerId = "w0".parse().expect("worker id");
    let answer =
        PollAnswer { incarnation_unix_ms: born, clock_ms: now, active, ended, more_ended: false };
    cell.poll_answered(&worker, now, &answer, now);
}

/// Starts a job of one task, and returns the order.
fn start(cell: &mut Cell, id: &str, now: Millis) -> StartOrder {
    let need = Resources { cpu_milli: 1_000, mem_mb: 100, accels: 0 };
    let step = StepSpec { tasks: 1, need, estimate_ms: Millis(500), ..StepSpec::default() };
    cell.add_job(job(id, "batch", "large", vec![step]), now);
    cell.tick(now);
    cell.schedule(now);
    let order = |action| if let Action::Start(order) = action { Some(*order) } else { None };
    let order = cell.take_actions().into_iter().find_map(order).expect("a start");
    cell.start_answered(&order, StartAnswer::Started, now + Millis(3));
    order
}

fn done(order: &StartOrder, sequence: u64) -> EndedRun {
    EndedRun {
        sequence,
        task: order.task.clone(),
        attempt: order.attempt,
        ending: Ending::Done,
        checkpoint: "".into(),
    }
}

/// Guards against ends that are never processed: a restart of the worker was not noticed, since an entry
/// of its list had shown a start in the far future, and the ends of the new incarnation are counted anew.
#[test]
fn a_restart_is_noticed_whatever_start_an_entry_has_shown() {
    let mut cell = cell();
    cell.worker_listed(WorkerReport { incarnation_unix_ms: u64::MAX, ..report("w0") }, NOW);
    poll(&mut cell, 5, Vec::new(), Vec::new(), NOW);
    cell.worker_listed(report("w0"), NOW + Millis(10));
    for (number, born) in [(1, 5), (2, 6), (3, 7)] {
        let now = NOW + Millis(number * 1_000);
        poll(&mut cell, born, Vec::new(), Vec::new(), now);
        poll(&mut cell, born, Vec::new(), Vec::new(), now + Millis(5));
        cell.worker_listed(WorkerReport { incarnation_unix_ms: born, ..report("w0") }, now);
        let order = start(&mut cell, &format!("{number:016x}"), now + Millis(10));
        let end = done(&order, 1);
        poll(&mut cell, born, vec![end], Vec::new(), now + Millis(600));
        assert_eq!(cell.status(&order.task.step.job), Some(JobStatus::Running), "not stored yet");
        let batch = cell.take_batch(28).expect("the end of the job");
        assert!(
            batch.records[0].ended.is_some(),
            "the end in incarnation {born} was not processed"
        );
        cell.batch_stored(&batch);
    }
}

/// Guards against a start on a worker without the label that the task requires, and against one beyond its
/// capacity: it came back under its id with others, and its entry was still that of its former incarnation.
#[test]
fn a_worker_gets_no_work_by_the_entry_of_its_former_incarnation() {
    let mut cell = cell();
    let labelled = WorkerReport { labels: vec!["b".into()], ..report("w0") };
    cell.worker_listed(labelled.clone(), NOW);
    poll(&mut cell, 5, Vec::new(), Vec::new(), NOW);
    poll(&mut cell, 6, Vec::new(), Vec::new(), NOW + Millis(500));
    poll(&mut cell, 6, Vec::new(), Vec::new(), NOW + Millis(505));
    let need = Resources { cpu_milli: 1_000, mem_mb: 100, accels: 0 };
    let usual = StepSpec { tasks: 1, need, estimate_ms: Millis(500), ..StepSpec::default() };
    let requires = StepSpec { label: Some("b".into()), ..usual.clone() };
    cell.add_job(job("00000000000000a1", "batch", "large", vec![requires]), NOW);
    cell.add_job(job("00000000000000a2", "batch", "large", vec![usual]), NOW);
    let started = |cell: &mut Cell, now| {
        cell.tick(now);
        cell.schedule(now);
        let job = |action| match action {
            Action::Start(order) => Some(order.task.step.job.to_string()),
            _ => None,
        };
        cell.take_actions().into_iter().filter_map(job).collect::<Vec<_>>()
    };
    assert!(
        started(&mut cell, NOW + Millis(510)).is_empty(),
        "its entry is of another incarnation"
    );
    let renewed = WorkerReport { incarnation_unix_ms: 6, labels: vec!["a".into()], ..labelled };
    cell.worker_listed(renewed, NOW + Millis(800));
    assert_eq!(started(&mut cell, NOW + Millis(810)), ["00000000000000a2"], "it has no label b");
}

/// A worker whose entry shows no start is taken for what the entry says.
#[test]
fn a_worker_whose_entry_shows_no_start_gets_work() {
    let mut cell = cell();
    cell.worker_listed(WorkerReport { incarnation_unix_ms: 0, ..report("w0") }, NOW);
    poll(&mut cell, 7, Vec::new(), Vec::new(), NOW);
    start(&mut cell, "00000000000000a1", NOW + Millis(10));
}

/// Guards against sums that overflow: amounts that no worker has would take part in them.
#[test]
fn a_worker_with_an_absurd_entry_is_unlisted_until_its_entry_is_sound() {
    let sound = report("w0");
    let address = "127.0.0.1:0".parse().expect("an address");
    let cpu = Resources { cpu_milli: u64::MAX, ..sound.capacity };
    let memory = Resources { mem_mb: u64::MAX, ..sound.capacity };
    let absurd = [
        WorkerReport { capacity: cpu, ..sound.clone() },
        WorkerReport { capacity: memory, ..sound.clone() },
        WorkerReport { cold_remaining_ms: Millis(u64::MAX), ..sound.clone() },
        WorkerReport { leaves_in_ms: Some(Millis(u64::MAX)), draining: true, ..sound.clone() },
        WorkerReport { address, ..sound.clone() },
    ];
    for entry in absurd {
        let mut cell = cell();
        cell.worker_listed(entry.clone(), NOW);
        assert!(cell.worker_ids().is_empty(), "it is not known before: {entry:?}");
        cell.worker_listed(sound.clone(), NOW);
        poll(&mut cell, 5, Vec::new(), Vec::new(), NOW);
        assert_eq!(cell.cpu_capacity(), (16_000, 16_000));
        cell.worker_listed(entry.clone(), NOW + Millis(10));
        assert_eq!(cell.cpu_capacity(), (0, 0), "it takes no new work: {entry:?}");
        let order = cell.poll_order(&"w0".parse().expect("id"), true, NOW + Millis(20));
        let order = order.expect("what runs there goes on");
        assert_eq!(order.address, sound.address, "{entry:?}");
        assert!(order.deadline_ms.is_some(), "its leases are renewed: {entry:?}");
        cell.worker_listed(sound.clone(), NOW + Millis(30));
        assert_eq!(cell.cpu_capacity(), (16_000, 16_000));
    }
}
