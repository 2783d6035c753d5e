//! Numbers of callers and workers at the limits of their types. Tests check for overflow.

mod simulation;

use cell::{
    Action, ActiveRun, Cell, CellSettings, JobSpec, PollAnswer, Recurrence, StartAnswer, StepSpec,
};
use simulation::{job, policy, report};
use types::{Millis, Resources, WorkerId};

const NOW: Millis = Millis(3_000);
const LARGEST: Millis = Millis(u64::MAX);

fn cell() -> Cell {
    let settings = CellSettings {
        lease_ms: Millis(4_500),
        max_lease_ms: Millis(6_000),
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
        unequal_workers: true,
        learn_run_times: true,
        decide_by_run_times: true,
    };
    let mut cell = Cell::new(settings, 1, 1_700_000_000_000);
    cell.set_policy(policy().into());
    cell.worker_listed(report("w0"), NOW);
    poll(&mut cell, Vec::new(), NOW, NOW);
    cell
}

fn poll(cell: &mut Cell, active: Vec<ActiveRun>, clock_ms: Millis, now: Millis) {
    let worker: WorkerId = "w0".parse().expect("worker id");
    cell.poll_order(&worker, true, now);
    let answer = PollAnswer {
        incarnation_unix_ms: 5,
        clock_ms,
        active,
        ended: Vec::new(),
        more_ended: false,
    };
    cell.poll_answered(&worker, now, &answer, now);
    cell.adjust_pace(&worker, now);
}

fn steps() -> Vec<StepSpec> {
    let need = Resources { cpu_milli: 1_000, mem_mb: 100, accels: 0 };
    let first = StepSpec { tasks: 2, need, estimate_ms: LARGEST, ..StepSpec::default() };
    let second = StepSpec { after: vec![0], ..first.clone() };
    let third = StepSpec { after: vec![0, 1], latency_target_ms: Some(Millis(1)), ..first.clone() };
    let idle = StepSpec { uses_idle_cpu: true, ..first.clone() };
    vec![first, second, third, idle]
}

/// Guards against a leader that ends, and all its successors with it, because of one job.
#[test]
fn a_job_with_the_largest_times_is_taken_and_others_start() {
    for recurrence in [
        None,
        Some(Recurrence { first_unix_ms: u64::MAX, interval_ms: LARGEST, occurrences: u32::MAX }),
        Some(Recurrence { first_unix_ms: 1, interval_ms: LARGEST, occurrences: 3 }),
    ] {
        let mut cell = cell();
        let mut largest = job("00000000000000a1", "batch", "large", steps());
        largest.spec = JobSpec { recurrence, ..largest.spec };
        largest.objective_ms();
        cell.add_job(largest.clone(), NOW);
        let mut usual = job("00000000000000a2", "batch", "large", steps()[..1].to_vec());
        usual.spec.steps[0].estimate_ms = Millis(500);
        cell.add_job(usual, NOW);
        let mut started = Vec::new();
        for round in 1..30 {
            let now = NOW + Millis(round * 300);
            cell.tick(now);
            cell.schedule(now);
            cell.capacity_counts(now);
            for action in cell.take_actions() {
                if let Action::Start(order) = action {
                    cell.start_answered(&order, StartAnswer::Started, now);
                    started.push(*order);
                }
            }
            let active = started.iter().map(|order| ActiveRun {
                task: order.task.clone(),
                attempt: order.attempt,
                checkpoint: "".into(),
                percent: round as u32,
                gauge: u64::MAX,
            });
            poll(&mut cell, active.collect(), NOW + Millis(round * 300), now);
        }
        let usual_started = started.iter().any(|order| order.task.step.job.as_str().ends_with("2"));
        assert!(usual_started, "{recurrence:?}");
        let mut next = self::cell();
        next.restore(largest, None, NOW);
        next.tick(NOW + Millis(100));
        next.schedule(NOW + Millis(100));
    }
}

/// Guards against a leader that ends because of one worker.
#[test]
fn a_worker_whose_clock_jumps_is_borne() {
    let mut cell = cell();
    for (number, clock_ms) in (1u64..).zip([LARGEST, Millis(0), LARGEST, Millis(1)]) {
        let now = NOW + Millis(number * 1_000);
        poll(&mut cell, Vec::new(), clock_ms, now);
        cell.tick(now);
        cell.schedule(now);
        cell.roster(now);
        cell.poll_failed(&"w0".parse().expect("worker id"), now + Millis(10));
        cell.tick(now + Millis(20));
    }
}
