//! Workers that restart or are replaced one after the other while leaders change, under tasks that are sound.

mod simulation;

use cell::{FinalState, StepSpec};
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use simulation::{Faults, Simulation, Worker, job, policy};
use types::{JobId, Millis, Resources, WorkerId};

const WORKERS: u64 = 12;
const JOBS: u64 = 100;
const FIRST_MS: u64 = 1_000;
const FAULTS_END_MS: Millis = Millis(24_000);
const END_MS: Millis = Millis(60_000);
/// Time for which a worker drains before it leaves.
const DRAIN_MS: Millis = Millis(2_500);
/// Time until a worker that has left is replaced.
const REPLACED_MS: u64 = 300;
/// Seeds of each kind of restart.
const SEEDS: u64 = 12;

/// How workers leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    /// They are back under their ids, so many milliseconds later. Each restarts again and again.
    After(u64),
    /// Others take their places. Each leaves once.
    Replaced,
    /// The same, after they have drained.
    Drained,
}

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("job id")
}

/// Jobs over 20 s, while leaders hand over or die about once a second.
fn simulation(seed: u64) -> Simulation {
    let workers = (0..WORKERS).map(|number| Worker::new(&format!("w{number}"), 16_000)).collect();
    let faults = Faults {
        leader_steps_down: 70,
        leader_dies: if seed % 2 == 1 { 30 } else { 0 },
        lose_answer: if seed % 4 > 1 { 20 } else { 0 },
        ..Faults::default()
    };
    let mut sim = Simulation::new(seed, policy(), workers, faults, FAULTS_END_MS);
    let mut rng = StdRng::seed_from_u64(seed);
    for number in 0..JOBS {
        let estimate_ms = Millis(rng.random_range(200..4_000));
        let need = Resources { cpu_milli: rng.random_range(500..3_000), mem_mb: 100, accels: 0 };
        let tasks = rng.random_range(1..5);
        let step = StepSpec { tasks, need, estimate_ms, ..StepSpec::default() };
        let queue = if number % 3 == 0 { "batch" } else { "watch" };
        let at = Millis(500 + number * 200);
        let mut record = job(id(number).as_str(), queue, "large", vec![step]);
        record.accepted_unix_ms += at.0;
        sim.submit_at(at, record);
    }
    sim
}

/// Restarts a worker in each period, in turn.
fn restart_workers(sim: &mut Simulation, restart: Restart, period_ms: Millis) {
    sim.crashed_return_replaced = !matches!(restart, Restart::After(_));
    for number in 0.. {
        let at = Millis(FIRST_MS + number * period_ms.0);
        if at >= FAULTS_END_MS || (sim.crashed_return_replaced && number >= WORKERS) {
            return;
        }
        let id: WorkerId = format!("w{}", number % WORKERS).parse().expect("worker id");
        match restart {
            Restart::After(down_ms) => sim.crash_at(at, &id, down_ms),
            Restart::Replaced => sim.crash_at(at, &id, REPLACED_MS),
            Restart::Drained => {
                sim.run_until(at);
                sim.workers.get_mut(&id).expect("a worker").draining = true;
                sim.crash_at(at + DRAIN_MS, &id, REPLACED_MS);
            }
        }
    }
}

fn check(restart: Restart, period_ms: Millis) {
    let mut problems = Vec::new();
    for seed in 0..SEEDS {
        let mut sim = simulation(seed);
        restart_workers(&mut sim, restart, period_ms);
        sim.run_until(END_MS);
        let violations = sim.checks.violations.iter().map(|one| format!("seed {seed}: {one}"));
        problems.extend(violations);
        for number in 0..JOBS {
            let id = id(number);
            let end = sim.checks.stored_ends.get(&id);
            if end != Some(&FinalState::Completed) {
                problems.push(format!("seed {seed}: {id} is {end:?}"));
            }
        }
    }
    assert!(problems.is_empty(), "{} problems: {problems:#?}", problems.len());
}

/// Guards against sound jobs that are shown as failed: the losses of their tasks counted against them.
#[test]
fn sound_jobs_are_completed_while_workers_restart_in_turn() {
    check(Restart::After(600), Millis(800));
}

/// The same where silent workers stay away for as long as a lease.
#[test]
fn sound_jobs_are_completed_while_workers_are_away_for_long() {
    check(Restart::After(5_000), Millis(1_000));
}

/// The same with workers that are replaced without notice.
#[test]
fn sound_jobs_are_completed_while_workers_are_replaced() {
    check(Restart::Replaced, Millis(900));
}

/// The same with workers that drain before they are replaced.
#[test]
fn sound_jobs_are_completed_while_drained_workers_are_replaced() {
    check(Restart::Drained, Millis(900));
}
