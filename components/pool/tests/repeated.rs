//! Duplicate messages.

mod simulation;

use simulation::{CallerState, Simulation};
use types::Outcome;

fn has_run(sim: &Simulation, caller: usize) -> bool {
    matches!(sim.callers[caller].state, CallerState::Done(Outcome::Ran(_)))
}

/// The slot request for a non-idempotent request is delivered again while the request runs, and once
/// more after it has run. Then the caller retries. The request must run only once.
#[test]
fn a_duplicate_slot_request_is_granted_once() {
    let mut sim = Simulation::new(5, 2);
    sim.run_until(1_000);
    let first = sim.post_request(0, "n1", true, false);
    sim.run_until(1_040);
    sim.resend_last_call(first);
    sim.run_until(3_000);
    assert!(has_run(&sim, first));
    sim.resend_last_call(first);
    sim.run_until(4_000);
    sim.post_request(1, "n1", true, false);
    sim.run_until(20_000);
    sim.check_end();
}

/// The duplicate slot request reaches a new owner, which knows of the request only from the
/// journal.
#[test]
fn a_duplicate_slot_request_is_not_granted_by_the_next_owner() {
    let mut sim = Simulation::new(6, 2);
    sim.run_until(1_000);
    let first = sim.post_request(0, "n1", true, false);
    sim.run_until(1_060);
    let owner = sim.owner().unwrap();
    sim.kill_node(owner);
    sim.run_until(4_000);
    sim.resend_last_call(first);
    sim.run_until(6_000);
    sim.heal_all();
    sim.post_request(1, "n1", true, false);
    sim.run_until(40_000);
    sim.check_end();
}
