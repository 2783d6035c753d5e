//! Polling of workers whose answers are lost.

mod support;

use std::rc::Rc;

use support::{Environment, job, node, run, run_node_until};
use types::Millis;

/// Longer than the silence after which the roster reports a worker as silent.
const UNREACHABLE_MS: Millis = Millis(1_500);

/// Guards against a new leader that is held up by lost answers: with up to a fifth of the answers
/// lost, no inherited task may start before the last worker has answered its first poll.
#[test]
fn lost_answer_does_not_delay_a_new_leader() {
    run_job_with_lost_answers(1);
}

/// Of 540 workers some lost two answers in a row, and one of them held up all inherited tasks for 0.9 s.
#[test]
fn two_lost_answers_do_not_delay_a_new_leader() {
    run_job_with_lost_answers(2);
}

/// Runs a job on a worker whose first answers are lost.
fn run_job_with_lost_answers(lost: u32) {
    let environment = Rc::new(Environment::default());
    environment.add_worker("only");
    environment.unanswered_polls.set(lost);
    run(async {
        let node = node("one", &environment);
        let sender = node.clone();
        libs::tokio::task::spawn_local(async move { sender.accept(job(1)).await });
        let ended = || environment.count_writes("progress/") > 0;
        assert!(run_node_until(node, ended).await, "the job did not end");
    });
}

/// Guards against lost tasks on a worker that was unreachable for a while during a store outage:
/// its leases must be renewed once it is back, although no new roster can be stored.
#[test]
fn worker_unreachable_during_a_store_outage_gets_its_leases_renewed() {
    let environment = Rc::new(Environment::default());
    environment.add_worker("only");
    run(async {
        let observed = environment.clone();
        assert!(
            run_node_until(node("one", &environment), || observed.lease_renewals.get() > 0).await
        );
        environment.store_is_down.set(true);
        // Allows a store call to fail, so that the process notices the outage.
        libs::tokio::time::sleep(Millis(500).to_duration()).await;
        environment.workers_are_unreachable.set(true);
        libs::tokio::time::sleep(UNREACHABLE_MS.to_duration()).await;
        environment.workers_are_unreachable.set(false);
        let before = environment.lease_renewals.get();
        libs::tokio::time::sleep(UNREACHABLE_MS.to_duration()).await;
        assert!(
            environment.lease_renewals.get() > before,
            "leases are not renewed after the worker is back"
        );
    });
}

/// Tasks of half a second end on a worker every few milliseconds, while the ends before are stored.
#[test]
fn a_worker_with_unstored_ends_is_polled_again_at_once_while_the_store_works() {
    let now = cluster::NextPoll { wait: false, delay_ms: Millis(0) };
    assert_eq!(cluster::next_poll(true, false), now);
    assert_eq!(cluster::next_poll(false, false), cluster::NextPoll { wait: true, ..now });
    assert!(cluster::next_poll(true, true).delay_ms >= Millis(200));
}
