//! Work of a leader while many steps wait: it must not grow with steps times workers, or the leader
//! that is to work off a backlog has no time for it.

mod simulation;

use cell::{Policy, StepSpec};
use simulation::{Faults, Simulation, Worker, job, policy};
use types::{Millis, Resources};

const NEVER: Millis = Millis(u64::MAX);
/// Most workers in a call to the advisor.
const MAX_CALL_WORKERS: u64 = 100;

fn step(tasks: u32, cores: u64, estimate_ms: u64) -> StepSpec {
    let need = Resources { cpu_milli: cores * 1_000, mem_mb: 100, accels: 0 };
    StepSpec { tasks, need, estimate_ms: Millis(estimate_ms), ..StepSpec::default() }
}

/// A fleet that is full of long tasks, and a backlog of quick jobs that need advice.
fn backlog(workers: u32, jobs: u32) -> Simulation {
    let policy: Policy = policy();
    let fleet = (0..workers).map(|number| Worker::new(&format!("w{number:03}"), 16_000)).collect();
    let mut sim = Simulation::new(1, policy, fleet, Faults::default(), NEVER);
    let names: Vec<String> = (0..50).map(|number| format!("m{number}")).collect();
    sim.set_machines(&names.iter().map(String::as_str).collect::<Vec<_>>());
    sim.round_ms = Millis(20);
    sim.advisor.denied_percent = 30;
    let mut submit = |number: u32, at_ms: u64, queue: &str, steps: Vec<StepSpec>| {
        let mut record = job(&format!("{number:016x}"), queue, "large", steps);
        record.accepted_unix_ms += at_ms;
        sim.submit_at(Millis(at_ms), record);
    };
    for number in 0..workers {
        submit(number, 100, "batch", vec![step(4, 4, 8_000)]);
    }
    for number in 0..jobs {
        submit(workers + number, 2_000, "quick", vec![step(4, 2, 500)]);
    }
    sim
}

/// Of hundreds of workers without room, a call names a few. All others were looked up for each of
/// the steps that waited, which took a third of the leader's time.
#[test]
fn a_call_for_advice_looks_up_no_more_workers_than_it_may_name() {
    let mut sim = backlog(300, 150);
    sim.run_until(Millis(3_000));
    let waiting = sim.waiting_steps();
    assert!(waiting.total() >= 100, "{waiting:?}");
    assert!(waiting.advice_scans >= 100, "{waiting:?}");
    assert!(waiting.advice_lookups <= waiting.advice_scans * MAX_CALL_WORKERS, "{waiting:?}");
}
