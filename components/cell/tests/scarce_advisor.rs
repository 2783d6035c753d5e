//! Steps that need advice while the advisor serves few calls: none starves, and few calls are made
//! for each step.
//!
//! Load pattern: two services, one with accelerators, whose queues need calls of 14 ms to 800 ms;
//! bursts of two on top of a fleet that is 80% busy; six machines that call the advisor one call
//! at a time.

mod simulation;

use std::collections::BTreeMap;

use cell::{AdvicePolicy, Policy, QueuePolicy, StepSpec, TeamPolicy};
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use simulation::{Faults, Simulation, Worker, job};
use types::{JobId, Millis, Resources};

const NEVER: Millis = Millis(u64::MAX);
/// End of the traffic.
const TRAFFIC_MS: u64 = 20_000;
/// Time after the traffic within which all jobs must be done at the usual load, but for tasks that
/// run then.
const FINISH_MS: u64 = 14_000;
/// Time after that within which all jobs must be done: the longest task takes 5.4 s.
const LAST_TASKS_MS: u64 = 6_000;
/// Longest time for which a job may have nothing running although there is room for it.
const MAX_IDLE_MS: u64 = 3_000;
/// Period of looking for such jobs.
const LOOK_MS: u64 = 100;

fn queue(
    service: &str,
    priority: u32,
    factor: f64,
    latency_ms: u64,
    advice: (f64, f64),
) -> QueuePolicy {
    QueuePolicy {
        service: service.into(),
        priority,
        max_attempts: 4,
        target_factor: factor,
        target_latency_ms: Millis(latency_ms),
        advice: Some(AdvicePolicy {
            call_ms: advice.0,
            per_worker_ms: advice.1,
            valid_ms: Millis(2_000),
        }),
        public: false,
    }
}

fn policy() -> Policy {
    let mut policy = Policy { version: 1, ..Policy::default() };
    let queues = [
        ("check", queue("booking", 0, 1.5, 250, (10.0, 0.14))),
        ("rollup", queue("booking", 2, 4.0, 3_000, (130.0, 1.8))),
        ("scan", queue("imaging", 1, 2.2, 1_000, (560.0, 8.0))),
        ("fit", queue("imaging", 2, 4.0, 3_000, (170.0, 2.4))),
    ];
    for (name, queue) in queues {
        policy.queues.insert(name.parse().expect("queue"), queue);
    }
    policy.teams.insert("team".parse().expect("team"), TeamPolicy::default());
    policy
}

fn workers() -> Vec<Worker> {
    let booking = (0..18u32).map(|number| Worker::new(&format!("b{number}"), 64_000));
    let imaging = (0..6u32).map(|number| {
        let mut worker = Worker::new(&format!("i{number}"), 32_000);
        worker.service = "imaging".into();
        worker.capacity.accels = 8;
        worker
    });
    let mut workers: Vec<Worker> = booking.chain(imaging).collect();
    for worker in workers.iter_mut().take(18) {
        worker.service = "booking".into();
        worker.capacity.mem_mb = 1_000_000;
    }
    workers
}

/// One job of a queue: its steps.
fn steps(queue: &str, rng: &mut StdRng) -> Vec<StepSpec> {
    let mut step = |tasks: std::ops::Range<u32>, cpu_milli: u64, estimate_ms: u64| StepSpec {
        tasks: rng.random_range(tasks),
        need: Resources { cpu_milli, mem_mb: 100, accels: 0 },
        estimate_ms: Millis(rng.random_range(estimate_ms / 2..estimate_ms * 3 / 2)),
        ..StepSpec::default()
    };
    match queue {
        "check" => {
            let first = step(1..11, 6_100, 560);
            let second = StepSpec { after: vec![0], ..step(1..11, 6_100, 560) };
            vec![first, second]
        }
        "rollup" => {
            let first = StepSpec { checkpoints: true, ..step(4..24, 13_000, 3_600) };
            let second =
                StepSpec { after: vec![0], checkpoints: true, ..step(4..24, 13_000, 3_600) };
            vec![first, second]
        }
        "scan" => {
            let mut gang = StepSpec { gang: true, ..step(1..3, 15_000, 5_600) };
            gang.need.accels = [2, 4, 8, 8][rng.random_range(0..4)];
            vec![gang]
        }
        _ => {
            let mut fit = StepSpec { checkpoints: true, ..step(1..16, 2_800, 3_000) };
            fit.need.accels = 1;
            vec![fit]
        }
    }
}

/// Plays the load until all of it should be done.
fn play(seed: u64, load_percent: u64) -> Simulation {
    let mut sim = start(seed, load_percent);
    sim.run_until(Millis(TRAFFIC_MS + FINISH_MS));
    sim
}

/// Prepares the load. `load_percent` scales the rates.
fn start(seed: u64, load_percent: u64) -> Simulation {
    let mut sim = Simulation::new(seed, policy(), workers(), Faults::default(), NEVER);
    sim.set_machines(&["m1", "m2", "m3", "m4", "m5", "m6"]);
    sim.round_ms = Millis(4);
    sim.advisor.scarce = true;
    sim.advisor.denied_percent = 55;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0u64;
    // Queue, jobs in ten seconds, and the burst on top: from, to and factor.
    let traffic = [
        ("check", 66, (4_000, 8_000, 2.0)),
        ("rollup", 4, (12_000, 16_000, 1.7)),
        ("scan", 6, (0, 0, 1.0)),
        ("fit", 6, (2_000, 6_000, 1.8)),
    ];
    for (queue, per_ten_seconds, burst) in traffic {
        let mut at = 200.0;
        while at < TRAFFIC_MS as f64 {
            let in_burst = at >= f64::from(burst.0) && at < f64::from(burst.1);
            let factor = if in_burst { burst.2 } else { 1.0 };
            number += 1;
            let mut record = job(&format!("{number:016x}"), queue, "team", steps(queue, &mut rng));
            record.accepted_unix_ms += at as u64;
            record.policy = policy().queues[&queue.parse().expect("queue")].clone();
            sim.submit_at(Millis(at as u64), record);
            let mean_ms = 1_000_000.0 / (f64::from(per_ten_seconds) * load_percent as f64 * factor);
            at += mean_ms * rng.random_range(0.5..1.5);
        }
    }
    sim
}

/// Jobs that are not done although the advisor allows enough workers, with the reason.
fn unfinished(sim: &Simulation) -> Vec<(JobId, Vec<String>)> {
    let open = sim.open_jobs().into_iter().filter(|id| sim.can_run(id));
    open.map(|id| (id.clone(), sim.explain(&id))).collect()
}

fn calls_per_step(sim: &Simulation) -> f64 {
    let calls: u32 = sim.advisor.calls.values().sum();
    f64::from(calls) / sim.advisor.calls.len() as f64
}

#[test]
fn all_jobs_are_done_soon_after_the_traffic() {
    for seed in 0..3 {
        let mut sim = play(seed, 100);
        assert!(sim.checks.violations.is_empty(), "{:?}", sim.checks.violations);
        let waiting: Vec<_> =
            unfinished(&sim).into_iter().filter(|(id, _)| sim.waits(id)).collect();
        assert!(waiting.is_empty(), "seed {seed}: {} jobs wait, {waiting:#?}", waiting.len());
        sim.run_until(Millis(TRAFFIC_MS + FINISH_MS + LAST_TASKS_MS));
        let unfinished = unfinished(&sim);
        assert!(unfinished.is_empty(), "seed {seed}: {} jobs, {unfinished:#?}", unfinished.len());
    }
}

/// After an overload of half as much again, steps of all ranks wait for advice.
#[test]
fn no_job_starves_while_there_is_room_for_it() {
    for seed in 0..4 {
        let mut sim = start(seed, 320);
        let mut idle_ms: BTreeMap<JobId, u64> = BTreeMap::new();
        for now in (TRAFFIC_MS..TRAFFIC_MS + 2 * FINISH_MS).step_by(LOOK_MS as usize) {
            sim.run_until(Millis(now));
            let startable: Vec<JobId> =
                sim.open_jobs().into_iter().filter(|id| sim.could_start(id)).collect();
            idle_ms.retain(|id, _| startable.contains(id));
            for id in startable {
                let idle = idle_ms.entry(id.clone()).or_default();
                *idle += LOOK_MS;
                assert!(
                    *idle <= MAX_IDLE_MS,
                    "seed {seed}, {now} ms: {id} has nothing running: {:#?}",
                    sim.explain(&id)
                );
            }
        }
    }
}

/// The target is 1.2 calls for each step in the mean over a day with bursts.
#[test]
fn few_calls_are_made_for_each_step() {
    for seed in 0..3 {
        let sim = play(seed, 100);
        let calls = calls_per_step(&sim);
        assert!(calls <= 1.2, "seed {seed}: {calls:.2} calls a step, {} ms", sim.advisor.busy_ms);
    }
}
