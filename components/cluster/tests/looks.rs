//! Looks at workers that lose answers.

mod world;

use std::rc::Rc;

use world::{Outside, job, node, run, run_node_until};

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
