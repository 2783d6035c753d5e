//! A leader whose machine becomes slow hands over.

mod support;

use std::rc::Rc;

use clock::CancellationToken;
use cluster::{Node, Ports};
use libs::tokio;
use support::{Environment, TestProcessor, node_at, ports, run, run_node_until};
use tokio::net::TcpListener;
use types::Millis;

/// Creates a process that its peers can reach.
async fn reachable_node(
    name: &str,
    environment: &Rc<Environment>,
    processor: &TestProcessor,
) -> Rc<Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let ports =
        Ports { processor: Box::new(processor.clone()), ..ports(environment, &Rc::default()) };
    let node = node_at(name, address, ports);
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
