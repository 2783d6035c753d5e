//! Which jobs count as pending: those of which no worker has begun a task.

mod simulation;

use cell::{
    Action, ActiveRun, Cell, CellSettings, JobRecord, JobStatus, LossKind, LostRun, PollAnswer,
    Progress, Refusal, StartAnswer, StartOrder, StepSpec, TaskLosses,
};
use simulation::{job, policy, report};
use types::{JobId, Millis, Resources, WorkerId};

const JOB: &str = "00000000000000a1";
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
    let mut cell = Cell::new(settings, 2, 1_700_000_000_000);
    cell.set_policy(policy().into());
    cell.worker_listed(report("w0"), NOW);
    poll(&mut cell, Vec::new(), NOW);
    cell
}

fn record(tasks: u32, gang: bool) -> JobRecord {
    let need = Resources { cpu_milli: 1_000, mem_mb: 100, accels: 0 };
    let step = StepSpec { tasks, gang, need, estimate_ms: Millis(8_000), ..StepSpec::default() };
    job(JOB, "batch", "large", vec![step])
}

fn id() -> JobId {
    JOB.parse().expect("job id")
}

fn poll(cell: &mut Cell, active: Vec<ActiveRun>, now: Millis) {
    let worker: WorkerId = "w0".parse().expect("worker id");
    let answer = PollAnswer {
        incarnation_unix_ms: 5,
        clock_ms: now,
        active,
        ended: Vec::new(),
        more_ended: false,
    };
    cell.poll_answered(&worker, now, &answer, now);
}

fn starts(cell: &mut Cell, now: Millis) -> Vec<StartOrder> {
    cell.tick(now);
    cell.schedule(now);
    let order = |action| if let Action::Start(order) = action { Some(*order) } else { None };
    cell.take_actions().into_iter().filter_map(order).collect()
}

fn assert_pending(cell: &Cell, case: &str) {
    assert_eq!(cell.queued_jobs(&"batch".parse().expect("queue")), 1, "{case}");
    assert_eq!(cell.status(&id()), Some(JobStatus::Queued), "{case}");
}

fn assert_begun(cell: &Cell, case: &str) {
    assert_eq!(cell.queued_jobs(&"batch".parse().expect("queue")), 0, "{case}");
    assert_eq!(cell.status(&id()), Some(JobStatus::Running), "{case}");
}

/// Guards against a number of pending jobs that is too low, and against jobs shown as running: all starts
/// of a job had been refused.
#[test]
fn a_job_whose_starts_come_to_nothing_is_pending() {
    let refusals = [
        Refusal::Unhealthy,
        Refusal::InsufficientResources,
        Refusal::Fenced,
        Refusal::StaleAttempt,
        Refusal::DeadlinePassed,
        Refusal::WrongIncarnation,
        Refusal::Ticket,
        Refusal::Malformed,
    ];
    let refused = refusals.map(StartAnswer::Refused);
    for answer in refused.into_iter().chain([StartAnswer::NotSent, StartAnswer::Unanswered]) {
        for (tasks, gang) in [(1, false), (3, false), (3, true)] {
            let case = format!("{answer:?}, {tasks} tasks, gang {gang}");
            let mut cell = cell();
            cell.add_job(record(tasks, gang), NOW);
            let orders = starts(&mut cell, NOW + Millis(10));
            assert_eq!(orders.len(), tasks as usize, "{case}");
            assert_pending(&cell, &format!("{case}, not answered yet"));
            for order in &orders {
                cell.start_answered(order, answer, NOW + Millis(20));
            }
            assert_pending(&cell, &case);
            poll(&mut cell, Vec::new(), NOW + Millis(30));
            assert_pending(&cell, &format!("{case}, polled"));
        }
    }
}

/// A job has begun once one task has, also if other starts are refused or the worker crashes after it.
#[test]
fn a_job_has_begun_once_a_worker_has_begun_a_task() {
    let mut cell = cell();
    cell.add_job(record(2, false), NOW);
    let orders = starts(&mut cell, NOW + Millis(10));
    cell.start_answered(&orders[0], StartAnswer::Started, NOW + Millis(20));
    let unhealthy = StartAnswer::Refused(Refusal::Unhealthy);
    cell.start_answered(&orders[1], unhealthy, NOW + Millis(20));
    assert_begun(&cell, "one of two starts is confirmed");
    poll(&mut cell, Vec::new(), NOW + Millis(30));
    poll(&mut cell, Vec::new(), NOW + Millis(40));
    poll(&mut cell, Vec::new(), NOW + Millis(50));
    assert_begun(&cell, "the run was lost");
}

/// The answer to the start was lost, and the next poll shows the run.
#[test]
fn a_job_has_begun_once_a_poll_shows_a_task_of_it() {
    let mut cell = cell();
    cell.add_job(record(1, false), NOW);
    let order = starts(&mut cell, NOW + Millis(10)).remove(0);
    cell.start_answered(&order, StartAnswer::Unanswered, NOW + Millis(20));
    assert_pending(&cell, "no answer");
    let task = order.task.clone();
    let run =
        ActiveRun { task, attempt: order.attempt, checkpoint: "".into(), percent: 0, gauge: 0 };
    poll(&mut cell, vec![run], NOW + Millis(30));
    assert_begun(&cell, "the poll shows it");
}

/// Guards against a number that is too low after a change of leader: a start that was not answered counts
/// as a loss when its worker falls silent, and losses are stored.
#[test]
fn a_stored_loss_does_not_show_that_a_job_has_begun() {
    let loss = LostRun { attempt: 1, kind: LossKind::Doubtful };
    let losses = vec![TaskLosses { occurrence: 0, step: 0, index: 0, runs: vec![loss] }];
    let progress = Progress { id: id(), ended: None, occurrences: Vec::new(), losses };
    let mut next = cell();
    next.restore(record(1, false), Some(&progress), NOW);
    assert_pending(&next, "a loss");
}
