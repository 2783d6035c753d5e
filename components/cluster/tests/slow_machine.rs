//! A leader whose machine becomes slow hands over.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use clock::CancellationToken;
use cluster::{Node, Ports};
use libs::tokio;
use support::{Environment, TestProcessor, node_with_lease, ports, run, run_node_until};
use tokio::net::TcpListener;
use types::Millis;

/// Longer than any test, so that no leader's lease expires.
const LONG_LEASE_MS: Millis = Millis(20_000);
/// Lease of a leader as in a deployment.
const LEASE_MS: Millis = Millis(1_200);
/// Longer than the start of a process.
const START_MS: Millis = Millis(500);
/// Longer than a lease and several elections, shorter than the cooldown of a process.
const TIMEOUT_MS: Millis = Millis(8_000);

/// Creates a process that its peers can reach.
async fn reachable_node(
    name: &str,
    environment: &Rc<Environment>,
    processor: &TestProcessor,
) -> Rc<Node> {
    node_beside_others(name, environment, processor, &Rc::default(), LONG_LEASE_MS).await
}

/// Creates a process that its peers can reach, and that cannot reach the store while
/// `store_is_unreachable` is set.
async fn node_beside_others(
    name: &str,
    environment: &Rc<Environment>,
    processor: &TestProcessor,
    store_is_unreachable: &Rc<Cell<bool>>,
    lease_ms: Millis,
) -> Rc<Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let ports = Ports {
        processor: Box::new(processor.clone()),
        ..ports(environment, store_is_unreachable)
    };
    let node = node_with_lease(name, address, ports, lease_ms);
    let served = node.clone();
    let handler = move |request| served.clone().serve_peer(request);
    tokio::task::spawn_local(web::serve(listener, handler, CancellationToken::new()));
    node
}

fn leads(environment: &Environment, name: &str) -> bool {
    let leader = environment.value("leader").unwrap_or_default();
    String::from_utf8_lossy(&leader).contains(name)
}

/// The process has little to do, so its timers run on time.
#[test]
fn a_leader_on_a_machine_that_becomes_slow_hands_over_although_its_timers_are_on_time() {
    run(async {
        let environment = Rc::new(Environment::default());
        let (slow, sound) = (TestProcessor::default(), TestProcessor::default());
        let first = reachable_node("first", &environment, &slow).await;
        let elected = run_node_until(first, || leads(&environment, "first")).await;
        assert!(elected, "no leader");
        slow.slow.set(true);
        let second = reachable_node("second", &environment, &sound).await;
        let handed_over = run_node_until(second, || leads(&environment, "second")).await;
        assert!(handed_over, "the slow process still leads");
    });
}

/// A leader on a slow machine handed over to a process on a machine that had become slow at the same
/// time, and had not noticed it yet. Which process is elected first is otherwise a matter of chance.
#[test]
fn a_process_leaves_the_election_to_others_from_its_first_slow_measurement_on() {
    /// Elections of two equal processes after which chance is unlikely to have decided.
    const ELECTIONS: u32 = 6;
    for _ in 0..ELECTIONS {
        run(elect_beside_a_slow_process());
    }
}

async fn elect_beside_a_slow_process() {
    let environment = Rc::new(Environment::default());
    let lease = environment.create_lease(Millis(300));
    environment.put("leader", b"another process".to_vec(), lease);
    let (slow, sound) = (TestProcessor::default(), TestProcessor::default());
    let first = reachable_node("first", &environment, &slow).await;
    let second = reachable_node("second", &environment, &sound).await;
    let token = CancellationToken::new;
    tokio::task::spawn_local(first.run(token(), token()));
    let elected = run_node_until(second, || {
        slow.slow.set(slow.measurements.get() > 0);
        leads(&environment, "first") || leads(&environment, "second")
    });
    assert!(elected.await, "no leader");
    assert!(leads(&environment, "second"), "the slow process leads");
}

/// Guards against seconds without a leader: a process that had handed over did not stand for election
/// for 30 s, although no other was left. Accepted work stood still.
#[test]
fn a_process_that_handed_over_leads_again_when_no_other_is_left() {
    run(async {
        let environment = Rc::new(Environment::default());
        let is_lost = Rc::new(Cell::new(false));
        hand_over(&environment, &is_lost).await;
        is_lost.set(true);
        assert!(within(|| leads(&environment, "first")).await, "nobody leads");
    });
}

/// Guards against a process that hands over and wins the next election, too. Which process is elected
/// first is otherwise a matter of chance.
#[test]
fn a_process_that_handed_over_leaves_the_next_election_to_others() {
    /// Elections of two equal processes after which chance is unlikely to have decided.
    const ELECTIONS: u32 = 6;
    for _ in 0..ELECTIONS {
        run(elect_beside_a_process_in_cooldown());
    }
}

async fn elect_beside_a_process_in_cooldown() {
    let environment = Rc::new(Environment::default());
    let is_lost = Rc::new(Cell::new(false));
    hand_over(&environment, &is_lost).await;
    let third = reachable_node("third", &environment, &TestProcessor::default()).await;
    start(third);
    tokio::time::sleep(START_MS.to_duration()).await;
    is_lost.set(true);
    let is_elected = || leads(&environment, "first") || leads(&environment, "third");
    assert!(within(is_elected).await, "no leader");
    assert!(leads(&environment, "third"), "the process in cooldown leads");
}

/// Runs a process `first` that hands over to a process `second`, since its machine is slow for a while.
/// The second one cannot reach the store while `second_is_lost` is set.
async fn hand_over(environment: &Rc<Environment>, second_is_lost: &Rc<Cell<bool>>) {
    let (processor, sound) = (TestProcessor::default(), TestProcessor::default());
    let first =
        node_beside_others("first", environment, &processor, &Rc::default(), LEASE_MS).await;
    start(first);
    assert!(within(|| leads(environment, "first")).await, "no leader");
    processor.slow.set(true);
    start(node_beside_others("second", environment, &sound, second_is_lost, LEASE_MS).await);
    assert!(within(|| leads(environment, "second")).await, "the slow process still leads");
    processor.slow.set(false);
}

fn start(node: Rc<Node>) {
    let token = CancellationToken::new;
    tokio::task::spawn_local(node.run(token(), token()));
}

/// Waits for a condition. Returns `false` if it does not hold within the timeout.
async fn within(condition: impl Fn() -> bool) -> bool {
    let until = clock::now() + TIMEOUT_MS;
    while !condition() {
        if clock::now() > until {
            return false;
        }
        tokio::time::sleep(Millis(5).to_duration()).await;
    }
    true
}
