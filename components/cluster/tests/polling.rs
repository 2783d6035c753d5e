//! Looks at workers that lose answers.

mod world;

use std::rc::Rc;

use types::Millis;
use world::{Outside, job, node, run, run_node_until};

/// Longer than the silence after which the next leader is told of it.
const DARK_MS: Millis = Millis(1_500);

/// Load pattern: a fifth of the workers' answers is lost while a new leader looks at all of them,
/// and no inherited task may start before the last one has answered.
#[test]
fn a_lost_answer_does_not_hold_up_a_new_leader() {
    let outside = Rc::new(Outside::default());
    outside.add_worker("only");
    outside.lost_looks.set(1);
    run(async {
        let node = node("one", &outside);
        let sender = node.clone();
        libs::tokio::task::spawn_local(async move { sender.accept(job(1)).await });
        let ended = || outside.writes_of("progress/") > 0;
        assert!(run_node_until(node, ended).await, "the job did not end");
    });
}

/// Load pattern: a worker is dark for a while during an outage of the store. Its tasks run on when
/// it is back, although no roster can be stored that says so.
#[test]
fn a_worker_that_was_dark_in_an_outage_gets_its_leases_renewed() {
    let outside = Rc::new(Outside::default());
    outside.add_worker("only");
    run(async {
        let seen = outside.clone();
        assert!(run_node_until(node("one", &outside), || seen.renewals.get() > 0).await);
        outside.store_is_down.set(true);
        // The first failed call shows the outage.
        libs::tokio::time::sleep(Millis(500).to_duration()).await;
        outside.workers_are_dark.set(true);
        libs::tokio::time::sleep(DARK_MS.to_duration()).await;
        outside.workers_are_dark.set(false);
        let before = outside.renewals.get();
        libs::tokio::time::sleep(DARK_MS.to_duration()).await;
        assert!(outside.renewals.get() > before, "its tasks lapse");
    });
}
