//! Leader election after a process was killed.

mod support;

use std::rc::Rc;

use support::{Environment, address, node, node_with_lease, ports, run, run_node_until};
use types::Millis;

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

/// Guards against a change of leader because one answer of the store is lost: the call times out
/// after three quarters of the lease.
#[test]
fn a_lost_answer_to_a_renewal_does_not_cost_the_lead() {
    let environment = Rc::new(Environment::default());
    run(async {
        let ports = ports(&environment, &Rc::default());
        let node = node_with_lease("one", address(), ports, Millis(1_200));
        let led = run_node_until(node, || environment.value("leader").is_some()).await;
        assert!(led, "no leader");
        environment.unanswered_renewals.set(1);
        let until = clock::now() + Millis(3_000);
        while clock::now() < until {
            libs::tokio::time::sleep(Millis(20).to_duration()).await;
            assert!(environment.value("leader").is_some(), "the lease has expired");
        }
    });
    assert_eq!(elections(&environment), 1);
}

/// Guards against a leader that keeps the lead although it cannot read the stored jobs.
#[test]
fn a_leader_that_cannot_load_the_state_yields() {
    let environment = Rc::new(Environment::default());
    run(async {
        environment.ranges_fail.set(true);
        let first = node("one", &environment);
        let led = run_node_until(first, || environment.value("leader").is_some()).await;
        assert!(led, "no leader");
        let yielded =
            run_node_until(node("two", &environment), || environment.value("leader").is_none());
        assert!(yielded.await, "the first leader still leads");
    });
}
