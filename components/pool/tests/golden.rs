//! Golden-file tests of simulated sessions in virtual time.

mod simulation;

use simulation::{Fault, Simulation};
use types::JobKind;

fn log_of(sim: &Simulation) -> String {
    sim.log.join("\n")
}

#[test]
fn tasks_continue_after_the_owner_crashes() {
    let mut sim = Simulation::new(1, 2);
    sim.run_until(1_000);
    sim.post_job(0, "a1", JobKind::Batch, 3, 2, true);
    sim.run_until(1_500);
    let owner = sim.owner().unwrap();
    sim.kill_node(owner);
    sim.run_until(6_000);
    sim.heal_all();
    sim.run_until(20_000);
    sim.check_end();
    insta::assert_snapshot!(log_of(&sim));
}

#[test]
fn an_owner_is_paused_past_its_leases_and_its_successor_cannot_reach_a_worker() {
    let mut sim = Simulation::new(2, 2);
    sim.run_until(1_000);
    sim.post_job(0, "a1", JobKind::Batch, 4, 3, true);
    sim.run_until(1_600);
    let owner = sim.owner().unwrap();
    sim.inject(Fault::Pause(owner), 12_000);
    for node in 0..simulation::NODES {
        if node != owner {
            sim.disconnect_worker(node, 0, 9_000);
        }
    }
    sim.run_until(30_000);
    sim.check_end();
    insta::assert_snapshot!(log_of(&sim));
}

#[test]
fn the_store_loses_answers_during_non_idempotent_requests() {
    let mut sim = Simulation::new(3, 2);
    sim.run_until(1_000);
    sim.inject(Fault::StoreLossy, 3_000);
    for number in 0..4 {
        sim.post_request(0, &format!("n{number}"), true, false);
        sim.run_until(sim.now + 200);
    }
    sim.post_request(1, "n0", true, false);
    sim.run_until(20_000);
    sim.check_end();
    insta::assert_snapshot!(log_of(&sim));
}

#[test]
fn a_limit_is_lowered_while_the_store_is_down() {
    let mut sim = Simulation::new(4, 3);
    sim.run_until(1_000);
    sim.post_job(0, "a1", JobKind::Batch, 6, 2, true);
    sim.run_until(2_000);
    sim.inject(Fault::StoreDown, 8_000);
    sim.set_limit(2, 4, 6);
    sim.run_until(30_000);
    sim.check_end();
    insta::assert_snapshot!(log_of(&sim));
}
