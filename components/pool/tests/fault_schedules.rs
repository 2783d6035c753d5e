//! Random fault schedules on a simulated pool. All invariants are checked after each delivery.
//!
//! `CAROBSILL_SCHEDULES` sets the number of schedules, `CAROBSILL_FIRST_SEED` the first seed.

mod simulation;

use libs::rand::Rng;
use simulation::{ENTRIES, Fault, NODES, Simulation};
use types::JobKind;

/// Default number of schedules.
const SCHEDULES: u64 = 60;
/// Number of random steps in each schedule.
const STEPS: u32 = 200;
/// Time within which all work must have ended after the last fault.
const SETTLE_MS: u64 = 60_000;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Seeds that have failed before.
const REGRESSION_SEEDS: [u64; 6] = [11, 26, 46, 1061, 2154, 3512];

#[test]
fn regression_seeds_hold_all_invariants() {
    REGRESSION_SEEDS.into_iter().for_each(run_schedule);
}

#[test]
fn random_schedules_hold_all_invariants() {
    let first = env_number("CAROBSILL_FIRST_SEED", 1);
    let count = env_number("CAROBSILL_SCHEDULES", SCHEDULES);
    for seed in first..first + count {
        let result = std::panic::catch_unwind(|| run_schedule(seed));
        if let Err(panic) = result {
            eprintln!("seed {seed} failed");
            std::panic::resume_unwind(panic);
        }
    }
}

fn run_schedule(seed: u64) {
    let mut sim = Simulation::new(seed, 3);
    sim.loss_percent = 2;
    sim.run_until(2_000);
    for step in 0..STEPS {
        random_step(&mut sim, step);
        let pause = sim.random.random_range(1..400);
        sim.run_until(sim.now + pause);
    }
    sim.heal_all();
    sim.run_until(sim.now + SETTLE_MS);
    sim.check_end();
}

/// Performs a random operation or injects a random fault.
fn random_step(sim: &mut Simulation, step: u32) {
    let entry = sim.random.random_range(0..ENTRIES);
    let node = sim.random.random_range(0..NODES);
    let duration_ms = sim.random.random_range(200..9_000);
    match sim.random.random_range(0..100) {
        0..25 => {
            sim.post_request(entry, &format!("q{step}"), false, true);
        }
        25..45 => {
            sim.post_request(entry, &format!("n{step}"), true, false);
        }
        45..52 => {
            // A caller repeats an earlier request, through any entry.
            let earlier = sim.random.random_range(0..=step);
            sim.post_request(entry, &format!("n{earlier}"), true, false);
        }
        52..62 => {
            let tasks = sim.random.random_range(1..4);
            sim.post_job(entry, &format!("a{step}"), JobKind::Batch, tasks, 2, true);
        }
        62..68 => {
            sim.post_job(entry, &format!("b{step}"), JobKind::Batch, 2, 3, false);
        }
        68..71 => {
            sim.post_job(entry, &format!("g{step}"), JobKind::Gang, 3, 2, true);
        }
        71..75 => {
            let earlier = sim.random.random_range(0..=step);
            sim.cancel_job(entry, &format!("a{earlier}"));
        }
        75..79 => sim.inject(Fault::Pause(node), duration_ms),
        79..82 => sim.inject(Fault::Isolate(node), duration_ms),
        82..85 => sim.inject(Fault::StoreDown, duration_ms),
        85..88 => sim.inject(Fault::StoreLossy, duration_ms),
        88..92 => {
            let worker = sim.random.random_range(0..3);
            sim.disconnect_worker(node, worker, 2 * duration_ms);
        }
        92..94 => sim.inject(Fault::FalseSuspicion(node), 500),
        94..96 => {
            if sim.nodes[node].dead {
                sim.restart_node(node);
            } else if sim.nodes.iter().filter(|node| node.dead).count() == 0 {
                sim.kill_node(node);
            }
        }
        96..98 => {
            let worker = sim.random.random_range(0..3);
            let now = types::Millis(sim.now);
            let id = sim.workers.keys().nth(worker).unwrap().clone();
            sim.log.push(format!("{} worker {id} restarts", sim.now));
            sim.workers.get_mut(&id).unwrap().restart(now);
        }
        _ => {
            let cores = sim.random.random_range(6..20);
            let version = sim.rules.version.0 + 1;
            sim.log.push(format!("{} limit {cores} cores", sim.now));
            sim.set_limit(version, cores, 6);
        }
    }
}
