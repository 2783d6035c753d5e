//! Jobs that one leader knows and another one does not know yet.

mod simulation;

use cell::{
    Action, ActiveRun, Cell, CellSettings, EndedRun, Ending, FinalState, JobRecord, JobStatus,
    PollAnswer, StartPermission, StepSpec, TaskKey,
};
use simulation::{job, policy, report, task};
use types::{Millis, Resources, WorkerId};

const JOB: &str = "00000000000000a1";
const NOW: Millis = Millis(3_000);

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

/// A leader that has seen two empty workers.
fn cell() -> Cell {
    let mut cell = Cell::new(settings(), 2, 1_700_000_000_000);
    cell.set_policy(policy().into());
    for name in ["w0", "w1"] {
        cell.worker_listed(report(name), NOW);
        poll(&mut cell, name, Vec::new(), Vec::new(), NOW);
    }
    cell
}

fn record(id: &str) -> JobRecord {
    let need = Resources { cpu_milli: 4_000, mem_mb: 100, accels: 0 };
    let step = StepSpec { tasks: 1, need, estimate_ms: Millis(8_000), ..StepSpec::default() };
    job(id, "batch", "large", vec![step])
}

fn worker(name: &str) -> WorkerId {
    name.parse().expect("worker id")
}

fn poll(cell: &mut Cell, name: &str, active: Vec<ActiveRun>, ended: Vec<EndedRun>, now: Millis) {
    let answer =
        PollAnswer { incarnation_unix_ms: 5, clock_ms: now, active, ended, more_ended: false };
    cell.poll_answered(&worker(name), now, &answer, now);
}

/// Jobs and workers of the starts that a scheduling round orders.
fn starts(cell: &mut Cell, now: Millis) -> Vec<(TaskKey, WorkerId)> {
    cell.tick(now);
    cell.schedule(now);
    let order = |action| match action {
        Action::Start(order) => Some((order.task, order.worker)),
        _ => None,
    };
    cell.take_actions().into_iter().filter_map(order).collect()
}

/// Guards against two runs of a task: a leader whose lease had ended started a job that was stored after
/// its successor had read the jobs.
#[test]
fn a_leader_without_its_lease_starts_no_job_that_it_did_not_know_before() {
    let mut cell = cell();
    cell.add_job(record(JOB), NOW);
    cell.set_start_permission(StartPermission::JobsKnownBefore(NOW + Millis(10)));
    cell.add_job(record("00000000000000a2"), NOW + Millis(10));
    let started = starts(&mut cell, NOW + Millis(20));
    assert_eq!(started.len(), 1, "{started:?}");
    assert_eq!(started[0].0.step.job.as_str(), JOB);
    cell.set_start_permission(StartPermission::AllJobs);
    assert_eq!(starts(&mut cell, NOW + Millis(30)).len(), 1, "the lease is renewed");
}

/// Guards against a cancelled job that runs on: a list of the intake has cancellations first, and the
/// notice of the job was lost with the former leader.
#[test]
fn a_job_that_becomes_known_after_its_cancellation_does_not_start() {
    let mut cell = cell();
    let mut lasting = record(JOB);
    lasting.spec.steps[0].long_running = true;
    for record in [lasting, record("00000000000000a2")] {
        let id = record.id.clone();
        cell.cancel_job(&id, Millis(0), NOW);
        cell.add_job(record, NOW + Millis(1_000));
        let cancelled = JobStatus::Ended(FinalState::Cancelled);
        assert_eq!(cell.status(&id), Some(cancelled), "as callers see it");
        assert!(starts(&mut cell, NOW + Millis(1_010)).is_empty());
    }
    assert_eq!(cell.dirty_jobs(), 2, "the ends are to be stored");
}

/// Guards against memory that is never freed: a cancellation is remembered no longer than its job would be.
#[test]
fn the_cancellation_of_a_job_that_stays_unknown_is_forgotten() {
    let mut cell = cell();
    let id = JOB.parse().expect("job id");
    cell.cancel_job(&id, Millis(0), NOW);
    let expired = cell.expired_cancellations(NOW + Millis(200_000));
    assert_eq!(expired, [id]);
    cell.forget_cancellations(&expired);
    assert!(cell.expired_cancellations(NOW + Millis(400_000)).is_empty());
    cell.add_job(record(JOB), NOW + Millis(200_010));
    assert_eq!(starts(&mut cell, NOW + Millis(200_020)).len(), 1);
}

/// Guards against a store that fills up while leaders change: each counted the time of a cancellation anew.
#[test]
fn the_time_for_which_a_cancellation_is_kept_does_not_begin_anew_with_a_leader() {
    let mut cell = cell();
    let id = JOB.parse().expect("job id");
    cell.cancel_job(&id, Millis(200_000), NOW);
    assert_eq!(cell.expired_cancellations(NOW + Millis(10)), [id]);
}

/// Guards against two runs of a task: its job became known while a run of it was being stopped.
#[test]
fn a_task_waits_for_the_end_of_a_run_that_was_found_before_its_job_was_known() {
    let mut cell = cell();
    let key = task(JOB, 0, 0);
    let attempt = 1_001;
    let stray = ActiveRun {
        task: key.clone(),
        attempt,
        checkpoint: Default::default(),
        percent: 3,
        gauge: 0,
    };
    poll(&mut cell, "w0", vec![stray], Vec::new(), NOW + Millis(10));
    cell.add_job(record(JOB), NOW + Millis(20));
    assert!(starts(&mut cell, NOW + Millis(30)).is_empty(), "it runs on w0");
    let ending = Ending::Stopped;
    let end = EndedRun { sequence: 1, task: key.clone(), attempt, ending, checkpoint: "".into() };
    poll(&mut cell, "w0", Vec::new(), vec![end], NOW + Millis(40));
    let started = starts(&mut cell, NOW + Millis(50));
    assert_eq!(started.iter().map(|(task, _)| task).collect::<Vec<_>>(), [&key]);
}

/// Guards against a team beyond its limit, and against an idle worker: what a run of an unknown job takes
/// is known with its job.
#[test]
fn a_run_that_was_found_before_its_job_was_known_counts_for_the_team_as_what_it_is() {
    let mut cell = cell();
    let stray = |index| ActiveRun {
        task: task(JOB, 0, index),
        attempt: 1_001,
        checkpoint: Default::default(),
        percent: 3,
        gauge: 0,
    };
    poll(&mut cell, "w0", vec![stray(0)], Vec::new(), NOW + Millis(10));
    // The limit of the team is 24 cores.
    let mut first = record(JOB);
    first.team = Some("small".parse().expect("team"));
    cell.add_job(first, NOW + Millis(20));
    let mut second = record("00000000000000a2");
    second.team = Some("small".parse().expect("team"));
    second.spec.steps[0].tasks = 8;
    cell.add_job(second, NOW + Millis(20));
    let started = starts(&mut cell, NOW + Millis(30));
    let on_w0 = started.iter().filter(|(_, on)| *on == worker("w0")).count();
    assert!(on_w0 > 0, "the rest of w0 is free: {started:?}");
    assert_eq!(started.len(), 5, "the limit of the team: {started:?}");
}
