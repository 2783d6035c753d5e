//! Who takes the lead after a kill.

mod world;

use std::rc::Rc;

use world::{Outside, node, run, run_node_until};

/// Epochs given so far: each election writes the epoch once.
fn epochs(outside: &Rc<Outside>) -> usize {
    outside.writes_of("epoch")
}

/// Load pattern: the leader's process is killed and starts again half a second later, while jobs
/// keep coming. Its lease in the store would run for a second more.
#[test]
fn a_restarted_process_takes_over_from_its_former_life_at_once() {
    let outside = Rc::new(Outside::default());
    for life in 1..=2 {
        run(async {
            let led = run_node_until(node("one", &outside), || epochs(&outside) == life).await;
            assert!(led, "life {life} did not take the lead");
        });
    }
}

#[test]
fn another_process_waits_for_the_end_of_the_lease() {
    let outside = Rc::new(Outside::default());
    run(async {
        assert!(run_node_until(node("one", &outside), || epochs(&outside) == 1).await);
    });
    run(async {
        let found = || outside.value("leader").is_some() && epochs(&outside) > 1;
        assert!(!run_node_until(node("two", &outside), found).await, "a lease was broken");
    });
}
