//! Passing the operators' configuration on between processes.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use cell::Policy;
use clock::CancellationToken;
use cluster::{
    Configuration, LocalBoxFuture, Node, Ports, RawRules, Rules, StoreError, StoreResult,
};
use libs::tokio;
use support::link::{Delivery, Link};
use support::{Environment, node_at, ports, run};
use tokio::net::TcpListener;
use types::Millis;

/// Name of the process that gets new rules late.
const LATE: &str = "late";
/// Rules that take 1.28 s on the link, longer than the timeout of any call to a peer or the store.
const LARGE_BYTES: usize = 1_600_000;
/// Rules that take 0.2 s on the link.
const MEDIUM_BYTES: usize = 250_000;
/// Rules that take 0.04 s on the link.
const SMALL_BYTES: usize = 50_000;
const PEERS: usize = 20;
/// Revisions of the configuration, which are its versions as well.
const OLD: u64 = 1;
const NEW: u64 = 2;
/// Duration of reading the configuration from the store.
const FETCH_MS: Millis = Millis(25);
/// Several periods of heartbeats.
const JOIN_MS: Millis = Millis(1_500);
/// Long enough for a process to turn to its peers.
const OUTAGE_MS: Millis = Millis(2_000);
/// Time in which a change must be in force.
const IN_FORCE_MS: Millis = Millis(3_000);
const CHECK_PERIOD_MS: Millis = Millis(5);
/// Some hundred times the duration of a start and an election.
const START_TIMEOUT_MS: Millis = Millis(10_000);
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
        leader.newest.set(NEW);
        assert!(leader.has_new_rules_within(START_TIMEOUT_MS).await);
        // The next heartbeat reports the new revision, less than one polling period before the
        // store does.
        let heartbeats = leader.heartbeats_of_late.get();
        assert!(within(START_TIMEOUT_MS, || leader.heartbeats_of_late.get() > heartbeats).await);
        late.newest.set(NEW);
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
        late.fetch_fails.set(true);
        leader.newest.set(NEW);
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
        late.fetch_fails.set(true);
        late.store_is_unreachable.set(true);
        tokio::time::sleep(OUTAGE_MS.to_duration()).await;
        late.newest.set(NEW);
        late.fetch_fails.set(false);
        late.store_is_unreachable.set(false);
        assert!(late.has_new_rules_within(IN_FORCE_MS).await, "the rules do not arrive");
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
        assert!(within(IN_FORCE_MS, || !late.node.ready()).await, "serves by old rules");
    });
}

/// Cuts a process off from the store, then gives its peers new rules.
async fn cut_off_and_publish(late: &Process, peers: &[Process]) {
    late.wait_until_ready().await;
    for peer in peers {
        peer.wait_until_ready().await;
    }
    late.fetch_fails.set(true);
    late.store_is_unreachable.set(true);
    for peer in peers {
        peer.newest.set(NEW);
    }
}

/// Processes that share a store. One of them, `late`, is on a slow link.
struct Cluster {
    environment: Rc<Environment>,
    rules_bytes: usize,
    /// Carries the answers of the peers.
    link: Rc<Link>,
}

/// A running process.
struct Process {
    node: Rc<Node>,
    environment: Rc<Environment>,
    /// Newest revision that the store shows to this process.
    newest: Rc<Cell<u64>>,
    /// The configuration cannot be read from the store.
    fetch_fails: Rc<Cell<bool>>,
    store_is_unreachable: Rc<Cell<bool>>,
    /// Number of heartbeats from `late`.
    heartbeats_of_late: Rc<Cell<u32>>,
}

impl Cluster {
    fn new(rules_bytes: usize) -> Self {
        Self { environment: Rc::default(), rules_bytes, link: Link::new(rules_bytes) }
    }

    /// Starts the process that gets new rules late.
    async fn start_late(&self) -> Process {
        let listener = listen().await;
        let process = self.create(LATE, address_of(&listener));
        process.run(listener);
        process
    }

    /// Starts a process whose answers arrive over the link.
    async fn start_peer(&self, name: &str, delivery: Delivery) -> Process {
        let (public, listener) = (listen().await, listen().await);
        let process = self.create(name, address_of(&public));
        self.link.clone().connect(public, address_of(&listener), delivery);
        process.run(listener);
        process
    }

    /// Starts a process that sends heartbeats, and accepts connections but answers nothing.
    async fn start_silent_peer(&self, name: &str) -> (Process, TcpListener) {
        let listener = listen().await;
        let process = self.create(name, address_of(&listener));
        let token = CancellationToken::new;
        tokio::task::spawn_local(process.node.clone().run(token(), token()));
        (process, listener)
    }

    fn create(&self, name: &str, address: SocketAddr) -> Process {
        let newest = Rc::new(Cell::new(OLD));
        let fetch_fails = Rc::new(Cell::new(false));
        let store_is_unreachable = Rc::new(Cell::new(false));
        let configuration = StoredRules {
            rules_bytes: self.rules_bytes,
            newest: newest.clone(),
            fetch_fails: fetch_fails.clone(),
        };
        let ports = Ports {
            configuration: Box::new(configuration),
            ..ports(&self.environment, &store_is_unreachable)
        };
        Process {
            node: node_at(name, address, ports),
            environment: self.environment.clone(),
            newest,
            fetch_fails,
            store_is_unreachable,
            heartbeats_of_late: Rc::default(),
        }
    }
}

impl Process {
    fn run(&self, listener: TcpListener) {
        let (node, heartbeats_of_late) = (self.node.clone(), self.heartbeats_of_late.clone());
        let handler = move |request: web::ServerRequest| {
            // Only its own heartbeats name it, because no process but the leader hears from it.
            if request.body.windows(LATE.len()).any(|bytes| bytes == LATE.as_bytes()) {
                heartbeats_of_late.set(heartbeats_of_late.get() + 1);
            }
            node.clone().serve_peer(request)
        };
        let token = CancellationToken::new;
        tokio::task::spawn_local(web::serve(listener, handler, token()));
        tokio::task::spawn_local(self.node.clone().run(token(), token()));
    }

    /// Waits until some process leads; while there is no other, it is this one.
    async fn wait_until_leader(&self) {
        let leads = || self.environment.value("leader").is_some();
        assert!(within(START_TIMEOUT_MS, leads).await, "no leader");
    }

    /// Waits for a heartbeat of `late`, which then knows its leader and the cluster's secret.
    async fn wait_until_joined_by_late(&self) {
        let joined = || self.heartbeats_of_late.get() > 0;
        assert!(within(START_TIMEOUT_MS, joined).await, "no heartbeat");
    }

    async fn wait_until_ready(&self) {
        assert!(within(START_TIMEOUT_MS, || self.node.ready()).await, "not ready");
    }

    async fn has_new_rules_within(&self, timeout_ms: Millis) -> bool {
        within(timeout_ms, || self.version() == Some(NEW)).await
    }

    fn version(&self) -> Option<u64> {
        self.node.rules().map(|rules| rules.policy.version)
    }
}

/// The configuration as a process reads it from the store.
struct StoredRules {
    rules_bytes: usize,
    newest: Rc<Cell<u64>>,
    fetch_fails: Rc<Cell<bool>>,
}

impl StoredRules {
    fn read(&self) -> StoreResult<(Option<RawRules>, u64)> {
        if self.fetch_fails.get() {
            return Err(StoreError::Unanswered);
        }
        let revision = self.newest.get();
        let mut text = revision.to_le_bytes().to_vec();
        text.resize(self.rules_bytes, 0);
        Ok((Some(RawRules { revision, text }), revision))
    }
}

impl Configuration for StoredRules {
    fn fetch(&self) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        Box::pin(async move {
            tokio::time::sleep(FETCH_MS.to_duration()).await;
            self.read()
        })
    }

    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        Box::pin(async move {
            tokio::time::sleep(FETCH_MS.to_duration()).await;
            let changed = || self.fetch_fails.get() || self.newest.get() > after;
            if within(wait_ms, changed).await { self.read() } else { Ok((None, after)) }
        })
    }

    fn parse(&self, text: &[u8]) -> errors::Result<Rules> {
        let invalid = || errors::Error::Config("no version".to_owned());
        let version = text.first_chunk().ok_or_else(invalid)?;
        let policy = Policy { version: u64::from_le_bytes(*version), ..Policy::default() };
        Ok(Rules { policy: Rc::new(policy), ..Rules::default() })
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// Waits for a condition. Returns `false` if it does not hold within the timeout.
async fn within(timeout_ms: Millis, condition: impl Fn() -> bool) -> bool {
    let until = clock::now() + timeout_ms;
    while !condition() {
        if clock::now() > until {
            return false;
        }
        tokio::time::sleep(CHECK_PERIOD_MS.to_duration()).await;
    }
    true
}
