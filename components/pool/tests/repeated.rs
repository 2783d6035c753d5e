//! Messages that arrive more than once.

mod world;

use types::Outcome;
use world::{CallerEnd, World};

fn ran(world: &World, caller: usize) -> bool {
    matches!(world.callers[caller].end, CallerEnd::Told(Outcome::Ran(_)))
}

/// A non-idempotent request whose ask arrives again while it runs, and then a new try of its caller.
#[test]
fn an_ask_that_arrives_twice_grants_once() {
    let mut world = World::new(5, 2);
    world.run_until(1_000);
    let first = world.post_request(0, "n1", true, false);
    world.run_until(1_040);
    world.repeat_ask(first);
    world.run_until(3_000);
    assert!(ran(&world, first));
    world.repeat_ask(first);
    world.run_until(4_000);
    world.post_request(1, "n1", true, false);
    world.run_until(20_000);
    world.check_end();
}

/// The same, with another owner that knows of the request only from the journal.
#[test]
fn an_ask_that_arrives_again_at_the_next_owner_is_not_granted() {
    let mut world = World::new(6, 2);
    world.run_until(1_000);
    let first = world.post_request(0, "n1", true, false);
    world.run_until(1_060);
    let owner = world.owner().unwrap();
    world.kill_node(owner);
    world.run_until(4_000);
    world.repeat_ask(first);
    world.run_until(6_000);
    world.heal_all();
    world.post_request(1, "n1", true, false);
    world.run_until(40_000);
    world.check_end();
}
