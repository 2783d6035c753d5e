//! Why tasks wait although their turn has come, as the log and the metrics say it.

mod simulation;

use cell::{
    Action, ActiveRun, AdvicePolicy, Cell, CellSettings, EndedRun, Ending, HoldingWorker, Policy,
    PollAnswer, RosterRow, StartAnswer, StartOrder, StartPermission, StepKey, StepSpec, WaitCounts,
    WaitReason, WaitingTasks,
};
use simulation::{job, policy, report, task};
use types::{Millis, Resources, WorkerId};

const JOB: &str = "00000000000000a1";
const OTHER_JOB: &str = "00000000000000a2";
const NOW: Millis = Millis(3_000);

/// A leader of an epoch without configuration and workers.
fn bare(epoch: u64) -> Cell {
    let settings = CellSettings {
        lease_ms: Millis(4_500),
        max_lease_ms: Millis(6_000),
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
        unequal_workers: false,
        learn_run_times: false,
        decide_by_run_times: false,
    };
    Cell::new(settings, epoch, 1_700_000_000_000)
}

/// The first leader, with an empty worker `w0`.
fn leader() -> Cell {
    let mut cell = bare(1);
    cell.set_policy(policy().into());
    cell.worker_listed(report("w0"), NOW);
    poll(&mut cell, "w0", Vec::new(), Vec::new(), NOW);
    cell
}

fn id(name: &str) -> WorkerId {
    name.parse().expect("worker id")
}

fn poll(cell: &mut Cell, name: &str, active: Vec<ActiveRun>, ended: Vec<EndedRun>, now: Millis) {
    let answer =
        PollAnswer { incarnation_unix_ms: 5, clock_ms: now, active, ended, more_ended: false };
    cell.poll_answered(&id(name), now, &answer, now);
}

fn step(tasks: u32, cores: u64) -> StepSpec {
    let need = Resources { cpu_milli: cores * 1_000, mem_mb: 100, accels: 0 };
    StepSpec { tasks, need, estimate_ms: Millis(60_000), ..StepSpec::default() }
}

fn run_of(order: &StartOrder) -> ActiveRun {
    ActiveRun {
        task: order.task.clone(),
        attempt: order.attempt,
        checkpoint: Default::default(),
        percent: 10,
        gauge: 0,
    }
}

fn round(cell: &mut Cell, now: Millis) -> Vec<Action> {
    cell.tick(now);
    cell.schedule(now);
    cell.take_actions()
}

fn starts(cell: &mut Cell, now: Millis) -> Vec<StartOrder> {
    let order = |action| if let Action::Start(order) = action { Some(*order) } else { None };
    round(cell, now).into_iter().filter_map(order).collect()
}

fn store(cell: &mut Cell) {
    while let Some(batch) = cell.take_batch(28) {
        cell.batch_stored(&batch);
    }
}

/// Starts the tasks that can start, and confirms them.
fn start_all(cell: &mut Cell, now: Millis) -> Vec<StartOrder> {
    let orders = starts(cell, now);
    for order in &orders {
        cell.start_answered(order, StartAnswer::Started, now);
    }
    orders
}

/// Rounds every 100 ms. What waits at their end.
fn after(cell: &mut Cell, from: Millis, for_ms: u64) -> Vec<WaitingTasks> {
    for ms in (0..=for_ms).step_by(100) {
        round(cell, from + Millis(ms));
    }
    cell.waiting_tasks().to_vec()
}

/// The reason why the tasks of the only step that waits do so, 3 s later.
fn reason(cell: &mut Cell, from: Millis) -> WaitReason {
    let waiting = after(cell, from, 3_000);
    assert_eq!(waiting.len(), 1, "{waiting:?}");
    waiting[0].reason.clone()
}

#[test]
fn nothing_is_reported_before_two_seconds_or_while_earlier_steps_run() {
    let mut cell = leader();
    let later = StepSpec { after: vec![0], ..step(1, 4) };
    cell.add_job(job(JOB, "batch", "large", vec![step(5, 4), later]), NOW);
    assert_eq!(start_all(&mut cell, NOW).len(), 4);
    assert!(after(&mut cell, NOW, 1_900).is_empty());
    let waiting = after(&mut cell, NOW + Millis(2_000), 1_500);
    let key = StepKey { job: JOB.parse().expect("job id"), occurrence: 0, step: 0 };
    let expected = WaitingTasks {
        step: key,
        index: 4,
        tasks: 1,
        waited_ms: waiting[0].waited_ms,
        reason: WaitReason::NoRoom,
    };
    assert_eq!(waiting, [expected]);
    assert!(waiting[0].waited_ms >= Millis(2_500), "{:?}", waiting[0].waited_ms);
    assert_eq!(cell.wait_counts(), WaitCounts { no_room: 1, ..WaitCounts::default() });
}

#[test]
fn a_task_that_starts_is_no_longer_reported() {
    let mut cell = leader();
    cell.add_job(job(JOB, "batch", "large", vec![step(2, 16)]), NOW);
    let order = start_all(&mut cell, NOW).remove(0);
    assert_eq!(reason(&mut cell, NOW), WaitReason::NoRoom);
    let ended = EndedRun {
        sequence: 1,
        task: order.task.clone(),
        attempt: order.attempt,
        ending: Ending::Done,
        checkpoint: Default::default(),
    };
    let now = NOW + Millis(3_100);
    poll(&mut cell, "w0", Vec::new(), vec![ended], now);
    assert_eq!(start_all(&mut cell, now).len(), 1);
    assert!(after(&mut cell, now, 1_000).is_empty());
    assert_eq!(cell.wait_counts(), WaitCounts::default());
}

#[test]
fn a_missing_configuration_is_named() {
    let mut cell = bare(1);
    cell.worker_listed(report("w0"), NOW);
    cell.add_job(job(JOB, "batch", "large", vec![step(3, 1)]), NOW);
    assert_eq!(reason(&mut cell, NOW), WaitReason::NoConfiguration);
    assert_eq!(cell.wait_counts(), WaitCounts { no_configuration: 3, ..WaitCounts::default() });
}

#[test]
fn starts_that_are_not_permitted_are_named() {
    let mut cell = leader();
    cell.set_start_permission(StartPermission::JobsKnownBefore(NOW));
    cell.add_job(job(JOB, "batch", "large", vec![step(1, 1)]), NOW);
    assert_eq!(reason(&mut cell, NOW), WaitReason::NoLease);
    cell.set_start_permission(StartPermission::Nothing);
    assert_eq!(reason(&mut cell, NOW + Millis(4_000)), WaitReason::NoLease);
    cell.set_start_permission(StartPermission::AllJobs);
    cell.hold_starts(true);
    assert_eq!(reason(&mut cell, NOW + Millis(8_000)), WaitReason::StartsHeld);
    assert_eq!(cell.wait_counts(), WaitCounts { not_permitted: 1, ..WaitCounts::default() });
}

/// A successor that reaches `w1` only, and has read a roster.
fn successor(rows: &[RosterRow]) -> Cell {
    let mut next = bare(2);
    next.set_policy(policy().into());
    next.restore(job(JOB, "batch", "large", vec![step(1, 1)]), None, NOW);
    next.worker_listed(report("w0"), NOW);
    next.worker_listed(report("w1"), NOW);
    rows.iter().for_each(|row| next.restore_roster_row(row, NOW, NOW));
    poll(&mut next, "w1", Vec::new(), Vec::new(), NOW);
    next
}

fn row(listed_as: &str, tasks: Option<Vec<cell::TaskKey>>) -> RosterRow {
    RosterRow {
        worker: id(listed_as),
        address: "127.0.0.1:1".parse().expect("address"),
        incarnation_unix_ms: 5,
        silent_lease_left_ms: Some(Millis(3_500)),
        tasks,
    }
}

#[test]
fn the_worker_that_holds_up_all_inherited_tasks_is_named() {
    let mut next = successor(&[row("w0", None)]);
    let holding = HoldingWorker { worker: Some(id("w0")), listed: true, for_ms: Some(Millis(500)) };
    assert_eq!(reason(&mut next, NOW), WaitReason::WorkerUnseen(holding));
    assert_eq!(next.wait_counts(), WaitCounts { held: 1, ..WaitCounts::default() });
}

#[test]
fn the_worker_that_may_run_a_task_unseen_is_named() {
    let mut next = successor(&[row("w9", Some(vec![task(JOB, 0, 0)]))]);
    poll(&mut next, "w0", Vec::new(), Vec::new(), NOW);
    let holding =
        HoldingWorker { worker: Some(id("w9")), listed: false, for_ms: Some(Millis(500)) };
    assert_eq!(reason(&mut next, NOW), WaitReason::TaskUnseen(holding));
}

#[test]
fn a_leader_without_a_list_of_workers_is_named() {
    let mut next = bare(2);
    next.set_policy(policy().into());
    next.restore(job(JOB, "batch", "large", vec![step(1, 1)]), None, NOW);
    assert_eq!(reason(&mut next, NOW), WaitReason::WorkerUnseen(HoldingWorker::default()));
}

/// A run of a former leader that the task does not need: a later attempt has failed.
#[test]
fn a_run_that_must_end_first_is_named() {
    let mut cell = leader();
    cell.worker_listed(report("w1"), NOW);
    poll(&mut cell, "w1", Vec::new(), Vec::new(), NOW);
    let later = StepSpec { after: vec![0], ..step(1, 1) };
    cell.add_job(job(JOB, "batch", "large", vec![step(1, 1), later]), NOW);
    let order = start_all(&mut cell, NOW).remove(0);
    let other = if order.worker == id("w0") { "w1" } else { "w0" };
    let stray = ActiveRun { attempt: order.attempt - 1, ..run_of(&order) };
    poll(&mut cell, other, vec![stray], Vec::new(), NOW + Millis(100));
    let ending = |ending| EndedRun {
        sequence: 1,
        task: order.task.clone(),
        attempt: order.attempt,
        ending,
        checkpoint: Default::default(),
    };
    let mut done = cell;
    poll(
        &mut done,
        order.worker.as_str(),
        Vec::new(),
        vec![ending(Ending::Done)],
        NOW + Millis(200),
    );
    let holding = HoldingWorker { worker: Some(id(other)), listed: true, for_ms: None };
    assert_eq!(reason(&mut done, NOW + Millis(200)), WaitReason::EarlierStepRuns(holding));
}

#[test]
fn the_limit_of_a_team_is_named() {
    let mut cell = leader();
    for name in ["w1", "w2"] {
        cell.worker_listed(report(name), NOW);
        poll(&mut cell, name, Vec::new(), Vec::new(), NOW);
    }
    cell.add_job(job(JOB, "batch", "small", vec![step(7, 4)]), NOW);
    assert_eq!(start_all(&mut cell, NOW).len(), 6, "the limit is 24 cores");
    assert_eq!(reason(&mut cell, NOW), WaitReason::TeamLimit);
    assert_eq!(cell.wait_counts(), WaitCounts { team_limit: 1, ..WaitCounts::default() });
}

#[test]
fn workers_that_take_no_work_are_named() {
    let mut cell = leader();
    cell.poll_failed(&id("w0"), NOW + Millis(20));
    cell.add_job(job(JOB, "batch", "large", vec![step(1, 1)]), NOW + Millis(30));
    let unavailable = WaitReason::WorkersUnavailable { worker: id("w0"), why: "silent" };
    assert_eq!(reason(&mut cell, NOW + Millis(30)), unavailable);
    assert_eq!(cell.wait_counts(), WaitCounts { no_room: 1, ..WaitCounts::default() });
}

fn advised() -> Policy {
    let mut policy = policy();
    for queue in policy.queues.values_mut() {
        queue.advice =
            Some(AdvicePolicy { call_ms: 100.0, per_worker_ms: 1.0, valid_ms: Millis(2_000) });
    }
    policy
}

#[test]
fn what_is_missing_from_the_advisor_is_named() {
    let mut cell = leader();
    cell.set_policy(advised().into());
    cell.add_job(job(JOB, "batch", "large", vec![step(1, 1)]), NOW);
    assert_eq!(reason(&mut cell, NOW), WaitReason::AdviceNotAsked, "no machine can call");
    cell.set_callers(&["one".into()]);
    let now = NOW + Millis(3_100);
    let call = round(&mut cell, now).into_iter().find_map(|action| match action {
        Action::RequestAdvice { call, step, workers, .. } => Some((call, step, workers)),
        _ => None,
    });
    let (call, step, workers) = call.expect("a call");
    assert_eq!(reason(&mut cell, now), WaitReason::AdvicePending);
    let now = now + Millis(3_100);
    cell.advice_answered(call, &step, &workers, Some((&[], Millis(2_000))), now);
    assert_eq!(reason(&mut cell, now), WaitReason::AdviceDenied { denied: 1 });
    assert_eq!(cell.wait_counts(), WaitCounts { advice: 1, ..WaitCounts::default() });
}

/// Work that can start later leaves room for urgent work.
#[test]
fn room_that_is_kept_for_other_work_is_named() {
    let mut cell = leader();
    let mut policy = policy();
    for queue in policy.queues.values_mut() {
        queue.target_factor = 5.0;
    }
    cell.set_policy(policy.into());
    cell.add_job(job(JOB, "batch", "large", vec![step(1, 15)]), NOW);
    assert_eq!(start_all(&mut cell, NOW).len(), 1);
    cell.add_job(job(OTHER_JOB, "batch", "large", vec![step(1, 1)]), NOW);
    assert_eq!(reason(&mut cell, NOW), WaitReason::Reserved);
}

/// A worker that restarts loses a run.
#[test]
fn a_loss_that_is_not_stored_is_named() {
    let mut cell = leader();
    cell.add_job(job(JOB, "batch", "large", vec![step(1, 1)]), NOW);
    start_all(&mut cell, NOW);
    let restarted = PollAnswer {
        incarnation_unix_ms: 6,
        clock_ms: Millis(10),
        active: Vec::new(),
        ended: Vec::new(),
        more_ended: false,
    };
    for ms in [100, 120, 140] {
        let now = NOW + Millis(ms);
        cell.poll_answered(&id("w0"), now - Millis(2), &restarted, now);
    }
    assert_eq!(reason(&mut cell, NOW + Millis(200)), WaitReason::NotStored);
    assert_eq!(cell.wait_counts(), WaitCounts { back_off: 1, ..WaitCounts::default() });
    let report = cell::WorkerReport { incarnation_unix_ms: 6, ..report("w0") };
    cell.worker_listed(report, NOW + Millis(3_300));
    // The start of a task that may have crashed its worker is announced first.
    let started = (0..5).any(|round| {
        store(&mut cell);
        !starts(&mut cell, NOW + Millis(3_400 + round * 100)).is_empty()
    });
    assert!(started, "{:?}", cell.waiting_tasks());
}
