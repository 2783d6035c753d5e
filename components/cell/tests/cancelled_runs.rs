//! Runs of a cancelled job whose orders get no answer.

mod simulation;

use cell::{
    Action, ActiveRun, Cell, CellSettings, JobRecord, PollAnswer, StartAnswer, StartOrder, StepSpec,
};
use simulation::{job, policy, report};
use types::{JobId, Millis, Resources, WorkerId};

const JOB: &str = "00000000000000a1";
const NOW: Millis = Millis(3_000);
/// Time within which a stop without an answer is sent again.
const STOP_AGAIN_MS: Millis = Millis(1_000);

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
    cell
}

fn record() -> JobRecord {
    let need = Resources { cpu_milli: 4_000, mem_mb: 100, accels: 0 };
    let step = StepSpec { tasks: 1, need, estimate_ms: Millis(8_000), ..StepSpec::default() };
    job(JOB, "batch", "large", vec![step])
}

fn id() -> JobId {
    JOB.parse().expect("job id")
}

fn worker() -> WorkerId {
    "w0".parse().expect("worker id")
}

fn poll(cell: &mut Cell, active: Vec<ActiveRun>, now: Millis) {
    let answer = PollAnswer {
        incarnation_unix_ms: 5,
        clock_ms: now,
        active,
        ended: Vec::new(),
        more_ended: false,
    };
    cell.poll_answered(&worker(), now, &answer, now);
}

fn active(order: &StartOrder) -> ActiveRun {
    let (task, attempt) = (order.task.clone(), order.attempt);
    ActiveRun { task, attempt, checkpoint: "".into(), percent: 1, gauge: 0 }
}

/// Starts and stops that the cell orders.
fn orders(cell: &mut Cell, now: Millis) -> (Vec<StartOrder>, usize) {
    cell.tick(now);
    cell.schedule(now);
    let (mut starts, mut stops) = (Vec::new(), 0);
    for action in cell.take_actions() {
        match action {
            Action::Start(order) => starts.push(*order),
            Action::Stop(_) => stops += 1,
            _ => {}
        }
    }
    (starts, stops)
}

fn start(cell: &mut Cell) -> StartOrder {
    poll(cell, Vec::new(), NOW);
    cell.add_job(record(), NOW);
    orders(cell, NOW).0.pop().expect("a start")
}

/// Guards against a start that is sent again after the cancellation.
#[test]
fn a_start_without_an_answer_is_not_sent_again_once_its_job_is_cancelled() {
    let mut cell = cell();
    let order = start(&mut cell);
    cell.cancel_job(&id(), Millis(0), NOW + Millis(100));
    cell.start_answered(&order, StartAnswer::Unanswered, NOW + Millis(350));
    let (starts, stops) = orders(&mut cell, NOW + Millis(360));
    assert_eq!((starts.len(), stops), (0, 1));
}

/// Guards against a cancelled run that goes on: its start was carried out late, and its stop got no answer.
#[test]
fn a_run_that_starts_late_is_stopped_until_the_worker_confirms_it() {
    let mut cell = cell();
    let order = start(&mut cell);
    cell.cancel_job(&id(), Millis(0), NOW + Millis(100));
    assert_eq!(orders(&mut cell, NOW + Millis(110)).1, 1);
    cell.start_answered(&order, StartAnswer::Unanswered, NOW + Millis(350));
    cell.stop_answered(&worker(), &order.task, order.attempt, false, NOW + Millis(800));
    poll(&mut cell, vec![active(&order)], NOW + Millis(2_000));
    let (starts, stops) = orders(&mut cell, NOW + Millis(2_000) + STOP_AGAIN_MS);
    assert_eq!((starts.len(), stops), (0, 1), "it is not stopped again");
}

/// Guards against a cancelled run that goes on under the next leader.
#[test]
fn an_adopted_run_of_a_cancelled_job_is_stopped() {
    let order = start(&mut cell());
    let mut next = cell();
    next.restore(record(), None, NOW);
    next.cancel_job(&id(), Millis(0), NOW);
    poll(&mut next, vec![active(&order)], NOW + Millis(50));
    let (starts, stops) = orders(&mut next, NOW + Millis(60));
    assert_eq!((starts.len(), stops), (0, 1));
}
