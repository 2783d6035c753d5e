//! Whole sessions of the decision core in virtual time, as golden files.

mod world;

use types::JobKind;
use world::{Fault, World};

fn log_of(world: &World) -> String {
    world.log.join("\n")
}

#[test]
fn an_owner_dies_and_its_tasks_go_on() {
    let mut world = World::new(1, 2);
    world.run_until(1_000);
    world.post_job(0, "a1", JobKind::Batch, 3, 2, true);
    world.run_until(1_500);
    let owner = world.owner().unwrap();
    world.kill_node(owner);
    world.run_until(6_000);
    world.heal_all();
    world.run_until(20_000);
    world.check_end();
    insta::assert_snapshot!(log_of(&world));
}

#[test]
fn an_owner_is_paused_past_its_leases_and_a_worker_is_out_of_reach_for_the_next() {
    let mut world = World::new(2, 2);
    world.run_until(1_000);
    world.post_job(0, "a1", JobKind::Batch, 4, 3, true);
    world.run_until(1_600);
    let owner = world.owner().unwrap();
    world.begin(Fault::Pause(owner), 12_000);
    for node in 0..world::NODES {
        if node != owner {
            world.cut_worker(node, 0, 9_000);
        }
    }
    world.run_until(30_000);
    world.check_end();
    insta::assert_snapshot!(log_of(&world));
}

#[test]
fn the_store_loses_answers_while_orders_come_in() {
    let mut world = World::new(3, 2);
    world.run_until(1_000);
    world.begin(Fault::StoreLossy, 3_000);
    for number in 0..4 {
        world.post_request(0, &format!("n{number}"), true, false);
        world.run_until(world.now + 200);
    }
    world.post_request(1, "n0", true, false);
    world.run_until(20_000);
    world.check_end();
    insta::assert_snapshot!(log_of(&world));
}

#[test]
fn a_limit_is_lowered_while_the_store_is_down() {
    let mut world = World::new(4, 3);
    world.run_until(1_000);
    world.post_job(0, "a1", JobKind::Batch, 6, 2, true);
    world.run_until(2_000);
    world.begin(Fault::StoreDown, 8_000);
    world.set_limit(2, 4, 6);
    world.run_until(30_000);
    world.check_end();
    insta::assert_snapshot!(log_of(&world));
}
