//! Leader election after a process was killed.

mod support;

use std::rc::Rc;

use clock::CancellationToken;
use libs::tokio;
use support::{
    Environment, LARGE_CPU_MILLI, address, node, node_with_cpu, node_with_lease, ports, run,
    run_node_until,
};
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

/// Guards against a process that answers as the leader and does nothing: a task of its term had panicked.
#[test]
fn a_panic_ends_the_term() {
    let environment = Rc::new(Environment::default());
    run(async {
        let ports = ports(&environment, &Rc::default());
        let node = node_with_lease("one", address(), ports, Millis(1_200));
        environment.worker_watch_panics.set(true);
        let elected_again = run_node_until(node, || elections(&environment) > 1).await;
        assert!(elected_again, "nobody leads");
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

/// Guards against a process that rests for 30 s after it could not load the state, although no other
/// could lead.
#[test]
fn a_process_that_could_not_load_the_state_tries_again_when_it_is_alone() {
    let environment = Rc::new(Environment::default());
    run(async {
        environment.ranges_fail.set(true);
        let only = node("one", &environment);
        let yielded = || elections(&environment) == 1 && environment.value("leader").is_none();
        // The process gives up after 4 s.
        let has_yielded = run_node_until(only, yielded).await;
        assert!(has_yielded, "the leader has not yielded");
        environment.ranges_fail.set(false);
        let until = clock::now() + Millis(3_000);
        while environment.value("leader").is_none() {
            assert!(clock::now() < until, "nobody leads");
            tokio::time::sleep(Millis(20).to_duration()).await;
        }
    });
}

/// Share of a core of a small process.
const SMALL_CPU_MILLI: u32 = 120;
/// Longer than five elections of processes that yield after a second.
const ELECTIONS_MS: Millis = Millis(6_000);

/// Starts a process that its peers can reach.
async fn start(name: &str, environment: &Rc<Environment>, cpu_milli: u32) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let own_address = listener.local_addr().expect("address");
    let ports = ports(environment, &Rc::default());
    let node = node_with_cpu(name, own_address, ports, Millis(1_200), cpu_milli);
    let served = node.clone();
    let handler = move |request| served.clone().serve_peer(request);
    let token = CancellationToken::new;
    tokio::task::spawn_local(web::serve(listener, handler, token()));
    tokio::task::spawn_local(node.run(token(), token()));
}

/// Guards against seconds without a leader at the start of a large cluster: small processes were
/// elected one after the other, and each of them yielded to a larger one that was not elected next.
#[test]
fn a_small_leader_yields_to_a_large_process_that_is_elected_next() {
    let environment = Rc::new(Environment::default());
    run(async {
        for number in 0..14 {
            start(&format!("small-{number}"), &environment, SMALL_CPU_MILLI).await;
        }
        let is_led = || environment.value("leader").is_some();
        while !is_led() {
            tokio::time::sleep(Millis(20).to_duration()).await;
        }
        start("large", &environment, LARGE_CPU_MILLI).await;
        tokio::time::sleep(ELECTIONS_MS.to_duration()).await;
        let leader = environment.value("leader").unwrap_or_default();
        assert!(String::from_utf8_lossy(&leader).contains("large"), "a small process leads");
    });
    let elections = environment.count_writes("leader");
    assert!(elections <= 2, "{elections} elections");
}

/// More than a process makes until it has been elected for the first time.
const STORE_CALLS: u32 = 60;
/// Longer than the store calls of an election.
const CAMPAIGN_MS: Millis = Millis(800);

/// Starts a process alone and stops it after so many calls to the store.
async fn stop_after_calls(calls: u32, environment: Rc<Environment>) {
    let (node, token) = (node("one", &environment), CancellationToken::new());
    tokio::task::spawn_local(node.run(token.clone(), CancellationToken::new()));
    while environment.store_calls.get() < calls {
        tokio::time::sleep(Millis(1).to_duration()).await;
    }
    token.cancel();
}

/// Guards against seconds without a leader after a stop: a process that was stopped while its election went on
/// took the lead after it had stepped down, and kept it in the store until the lease expired.
#[test]
fn a_process_that_stops_during_its_election_does_not_keep_the_lead() {
    run(async {
        let environments: Vec<_> =
            (0..STORE_CALLS).map(|_| Rc::new(Environment::default())).collect();
        let stops = (0..).zip(&environments).map(|(calls, environment)| {
            tokio::task::spawn_local(stop_after_calls(calls, environment.clone()))
        });
        for stop in stops.collect::<Vec<_>>() {
            stop.await.expect("a stop");
        }
        tokio::time::sleep(CAMPAIGN_MS.to_duration()).await;
        let elected = environments.iter().filter(|one| elections(one) > 0).count();
        assert!(elected > 0 && elected < environments.len(), "{elected} elections");
        let leading = || -> Vec<u32> {
            let led = |(_, one): &(u32, &Rc<Environment>)| one.value("leader").is_some();
            (0..).zip(&environments).filter(led).map(|(calls, _)| calls).collect()
        };
        // A hand-over that goes on is waited for.
        let until = clock::now() + Millis(5_000);
        while !leading().is_empty() && clock::now() < until {
            tokio::time::sleep(Millis(20).to_duration()).await;
        }
        assert_eq!(leading(), Vec::<u32>::new(), "calls after which a stopped process leads");
    });
}
