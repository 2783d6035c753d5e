//! How the operators' configuration reaches a process, from the store and from peers.

#[path = "rules_from_peers/processes.rs"]
mod processes;
mod support;

use std::rc::Rc;

use libs::tokio;
use processes::{Cluster, LATE, Process, START_TIMEOUT_MS, within};
use support::link::Delivery;
use support::{Environment, node_at, ports, run};
use types::Millis;

/// Rules that take 1.28 s on the link, longer than the timeout of any call to a peer or the store.
const LARGE_BYTES: usize = 1_600_000;
/// Rules that take 0.2 s on the link.
const MEDIUM_BYTES: usize = 250_000;
/// Rules that take 0.04 s on the link.
const SMALL_BYTES: usize = 50_000;
const PEERS: usize = 20;
/// Revisions of later configurations, which are their versions as well.
const NEW: u64 = 2;
const NEWER: u64 = 3;
/// Several periods of heartbeats.
const JOIN_MS: Millis = Millis(1_500);
/// Long enough for a process to turn to its peers.
const OUTAGE_MS: Millis = Millis(2_000);
/// Longer than [`IN_FORCE_MS`].
const SLOW_TRANSFER_MS: Millis = Millis(2_500);
const QUICK_SUCCESSION_MS: Millis = Millis(300);
/// Time in which a change must be in force.
const IN_FORCE_MS: Millis = Millis(3_000);
/// More than five times the duration of the longest transfer.
const ARRIVAL_TIMEOUT_MS: Millis = Millis(8_000);

/// Guards against copies of the same rules that fill the link of a process: it hears of newer rules
/// from many peers, several times a second, and needs them once.
#[test]
fn newer_rules_are_requested_from_one_peer_at_a_time() {
    run(async {
        let cluster = Cluster::new(MEDIUM_BYTES);
        let late = cluster.start_late().await;
        late.wait_until_leader().await;
        let mut peers = Vec::new();
        for number in 0..PEERS {
            peers.push(cluster.start_peer(&format!("peer-{number}"), Delivery::Complete).await);
        }
        cut_off_and_publish(&late, &peers).await;
        let arrived = late.has_new_rules_within(ARRIVAL_TIMEOUT_MS).await;
        assert_eq!(cluster.link.most_in_progress(), 1, "transfers at one time");
        assert!(arrived, "the rules do not arrive");
    });
}

/// Guards against a configuration that never comes into force on a slow link, because its transfer
/// takes longer than the timeout of the request.
#[test]
fn large_rules_arrive_from_a_peer_on_a_slow_link() {
    run(async {
        let cluster = Cluster::new(LARGE_BYTES);
        let leader = cluster.start_peer("leader", Delivery::Complete).await;
        leader.wait_until_leader().await;
        let late = cluster.start_late().await;
        leader.wait_until_joined_by_late().await;
        cut_off_and_publish(&late, &[leader]).await;
        assert!(late.has_new_rules_within(ARRIVAL_TIMEOUT_MS).await, "the rules do not arrive");
    });
}

/// Guards against waiting for a peer that stopped sending, while others have the rules.
#[test]
fn stalled_peer_does_not_keep_newer_rules_away() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let leader = cluster.start_peer("leader", Delivery::Stalls).await;
        leader.wait_until_leader().await;
        let peer = cluster.start_peer("peer", Delivery::Complete).await;
        let late = cluster.start_late().await;
        leader.wait_until_joined_by_late().await;
        cut_off_and_publish(&late, &[leader, peer]).await;
        assert!(late.has_new_rules_within(ARRIVAL_TIMEOUT_MS).await, "the rules do not arrive");
    });
}

/// Guards against a second copy of rules that the store delivers: each change would pass through
/// the leader's link once for each process.
#[test]
fn peers_are_not_asked_for_rules_that_the_store_delivers() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let leader = cluster.start_peer("leader", Delivery::Complete).await;
        leader.wait_until_leader().await;
        let late = cluster.start_late().await;
        leader.wait_until_joined_by_late().await;
        late.wait_until_ready().await;
        // A process without any rules may ask its peers.
        let transfers_at_start = cluster.link.transfers();
        leader.stored.newest.set(NEW);
        assert!(leader.has_new_rules_within(START_TIMEOUT_MS).await);
        // The next heartbeat reports the new revision before the store does.
        let heartbeats = leader.heartbeats_of_late.get();
        assert!(within(START_TIMEOUT_MS, || leader.heartbeats_of_late.get() > heartbeats).await);
        late.stored.newest.set(NEW);
        assert!(late.has_new_rules_within(ARRIVAL_TIMEOUT_MS).await, "the store's rules are late");
        assert_eq!(cluster.link.transfers(), transfers_at_start, "transfers from peers");
    });
}

/// Guards against old rules in a process that reaches the store for everything but the
/// configuration, such as over a link that is too slow for it.
#[test]
fn peers_are_asked_while_only_the_configuration_cannot_be_read() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let leader = cluster.start_peer("leader", Delivery::Complete).await;
        leader.wait_until_leader().await;
        let late = cluster.start_late().await;
        leader.wait_until_joined_by_late().await;
        late.wait_until_ready().await;
        late.stored.fails.set(true);
        leader.stored.newest.set(NEW);
        assert!(late.has_new_rules_within(ARRIVAL_TIMEOUT_MS).await, "the rules do not arrive");
    });
}

/// Guards against a store that is not read for seconds after an outage, because each silent peer is
/// waited for in turn.
#[test]
fn silent_peers_do_not_delay_the_configuration_after_an_outage() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let late = cluster.start_late().await;
        late.wait_until_leader().await;
        let mut silent = Vec::new();
        for number in 0..PEERS {
            silent.push(cluster.start_silent_peer(&format!("peer-{number}")).await);
        }
        tokio::time::sleep(JOIN_MS.to_duration()).await;
        late.stored.fails.set(true);
        late.store_is_unreachable.set(true);
        tokio::time::sleep(OUTAGE_MS.to_duration()).await;
        late.stored.newest.set(NEW);
        late.stored.fails.set(false);
        late.store_is_unreachable.set(false);
        assert!(late.has_new_rules_within(IN_FORCE_MS).await, "the rules do not arrive");
    });
}

/// Guards against downloads without end, and against refusing callers for good, after a report of a
/// revision that the store does not have.
#[test]
fn reported_revision_that_the_store_does_not_have_is_dropped() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let (leader, late) = cluster.start_pair().await;
        leader.stored.newest.set(NEW);
        assert!(leader.has_new_rules_within(START_TIMEOUT_MS).await);
        leader.store_is_unreachable.set(true);
        leader.stored.fails.set(true);
        tokio::time::sleep(JOIN_MS.to_duration()).await;
        let transfers = late.stored.transfers.get();
        tokio::time::sleep(OUTAGE_MS.to_duration()).await;
        assert!(late.stored.transfers.get() - transfers <= 2, "downloads");
        assert!(late.node.ready(), "refuses callers");
    });
}

/// Guards against downloads of the whole text at the rate of the watches, while the store compacts
/// its history faster than they wait.
#[test]
fn compacted_history_does_not_cause_downloads_without_pause() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let (leader, late) = cluster.start_pair().await;
        late.stored.history_is_gone.set(true);
        leader.stored.newest.set(NEW);
        late.stored.newest.set(NEW);
        tokio::time::sleep(JOIN_MS.to_duration()).await;
        let transfers = late.stored.transfers.get();
        tokio::time::sleep(OUTAGE_MS.to_duration()).await;
        assert!(late.stored.transfers.get() - transfers <= 2, "downloads");
        assert_eq!(cluster.link.transfers(), 0, "transfers from peers");
        assert!(late.node.ready(), "refuses callers");
    });
}

/// Guards against serving by old rules for as long as intermediate versions keep arriving.
#[test]
fn intermediate_version_does_not_extend_the_use_of_old_rules() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let (leader, late) = cluster.start_pair().await;
        late.stored.transfer_ms.set(SLOW_TRANSFER_MS);
        for version in [NEW, NEWER] {
            leader.stored.newest.set(version);
            late.stored.newest.set(version);
            tokio::time::sleep(QUICK_SUCCESSION_MS.to_duration()).await;
        }
        // The newer version has been known for at least the time in which it must be in force.
        tokio::time::sleep(IN_FORCE_MS.to_duration()).await;
        assert_eq!(late.version(), Some(NEW));
        assert!(!late.node.ready(), "serves by old rules");
        assert!(within(ARRIVAL_TIMEOUT_MS, || late.node.ready()).await, "refuses callers");
        assert_eq!(late.version(), Some(NEWER));
    });
}

/// Guards against old rules that stay in use because the newest ones cannot be decoded.
#[test]
fn malformed_version_ends_the_use_of_old_rules() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let (_leader, late) = cluster.start_pair().await;
        late.stored.is_malformed.set(true);
        late.stored.newest.set(NEW);
        assert!(within(IN_FORCE_MS, || !late.node.ready()).await, "serves by old rules");
        late.stored.is_malformed.set(false);
        late.stored.newest.set(NEWER);
        assert!(within(ARRIVAL_TIMEOUT_MS, || late.node.ready()).await, "refuses callers");
    });
}

/// Guards against messages from strangers to a process that does not know the secret yet.
#[test]
fn message_without_a_secret_is_refused_by_a_process_without_one() {
    run(async {
        let environment = Rc::new(Environment::default());
        let node = node_at(LATE, support::address(), ports(&environment, &Rc::default()));
        let request = web::ServerRequest {
            method: web::Method::POST,
            path: "/peer".to_owned(),
            query: String::new(),
            headers: Default::default(),
            body: Default::default(),
        };
        assert_eq!(node.serve_peer(request).await.status, 403);
    });
}

/// Guards against answers by old rules, such as 404 for a new route, while newer ones are overdue.
#[test]
fn process_with_overdue_rules_does_not_serve() {
    run(async {
        let cluster = Cluster::new(SMALL_BYTES);
        let leader = cluster.start_peer("leader", Delivery::Stalls).await;
        leader.wait_until_leader().await;
        let late = cluster.start_late().await;
        leader.wait_until_joined_by_late().await;
        cut_off_and_publish(&late, &[leader]).await;
        assert!(late.node.ready(), "refuses callers before");
        assert!(within(IN_FORCE_MS, || !late.node.ready()).await, "serves by old rules");
        late.stored.newest.set(NEW);
        late.stored.fails.set(false);
        late.store_is_unreachable.set(false);
        assert!(within(ARRIVAL_TIMEOUT_MS, || late.node.ready()).await, "refuses callers after");
    });
}

/// Cuts a process off from the store, then gives its peers new rules.
async fn cut_off_and_publish(late: &Process, peers: &[Process]) {
    late.wait_until_ready().await;
    for peer in peers {
        peer.wait_until_ready().await;
    }
    late.stored.fails.set(true);
    late.store_is_unreachable.set(true);
    for peer in peers {
        peer.stored.newest.set(NEW);
    }
}
