//! Leader election after a process was killed.

mod support;

use std::rc::Rc;

use support::{Environment, node, run, run_node_until};

/// Number of elections so far: each one writes the epoch once.
fn elections(environment: &Rc<Environment>) -> usize {
    environment.count_writes("epoch")
}

/// Guards against an outage after the leader was killed and restarted at once: its previous lease
/// is still valid in the store, and the new run must not wait for it to expire.
#[test]
fn restarted_leader_takes_over_without_waiting_for_its_previous_lease() {
    let environment = Rc::new(Environment::default());
    for start in 1..=2 {
        run(async {
            let elected =
                run_node_until(node("one", &environment), || elections(&environment) == start)
                    .await;
            assert!(elected, "start {start} did not become leader");
        });
    }
}

#[test]
fn other_process_waits_for_the_lease_to_expire() {
    let environment = Rc::new(Environment::default());
    run(async {
        assert!(run_node_until(node("one", &environment), || elections(&environment) == 1).await);
    });
    run(async {
        let elected_again = || environment.value("leader").is_some() && elections(&environment) > 1;
        assert!(
            !run_node_until(node("two", &environment), elected_again).await,
            "a valid lease was ignored"
        );
    });
}
