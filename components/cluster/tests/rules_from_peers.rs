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
const NEWER: u64 = 3;
/// Version that does not decode.
const MALFORMED: u64 = u64::MAX;
/// Duration of reading the configuration from the store.
const FETCH_MS: Millis = Millis(25);
/// Several periods of heartbeats.
const JOIN_MS: Millis = Millis(1_500);
/// Long enough for a process to turn to its peers.
const OUTAGE_MS: Millis = Millis(2_000);
/// Longer than [`IN_FORCE_MS`].
const SLOW_TRANSFER_MS: Millis = Millis(2_500);
const QUICK_SUCCESSION_MS: Millis = Millis(300);
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
        leader.stored.newest.set(NEW);
        assert!(leader.has_new_rules_within(START_TIMEOUT_MS).await);
        // The next heartbeat reports the new revision, less than one polling period before the
        // store does.
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
    /// The configuration as the store shows it to this process.
    stored: Rc<StoredRules>,
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

    /// Starts a leader, and `late` as its follower, with the same rules.
    async fn start_pair(&self) -> (Process, Process) {
        let leader = self.start_peer("leader", Delivery::Complete).await;
        leader.wait_until_leader().await;
        let late = self.start_late().await;
        leader.wait_until_joined_by_late().await;
        late.wait_until_ready().await;
        (leader, late)
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
        let stored = StoredRules::new(self.rules_bytes);
        let store_is_unreachable = Rc::new(Cell::new(false));
        let ports = Ports {
            configuration: Box::new(StoredRulesClient(stored.clone())),
            ..ports(&self.environment, &store_is_unreachable)
        };
        Process {
            node: node_at(name, address, ports),
            environment: self.environment.clone(),
            stored,
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

/// The configuration as the store shows it to a process.
struct StoredRules {
    rules_bytes: usize,
    newest: Cell<u64>,
    /// All reads fail.
    fails: Cell<bool>,
    /// No watch succeeds, because the history is compacted at once.
    history_is_gone: Cell<bool>,
    /// The text cannot be decoded.
    is_malformed: Cell<bool>,
    /// Duration of the transfer of the text.
    transfer_ms: Cell<Millis>,
    /// Number of transfers of the text.
    transfers: Cell<usize>,
}

impl StoredRules {
    fn new(rules_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            rules_bytes,
            newest: Cell::new(OLD),
            fails: Cell::default(),
            history_is_gone: Cell::default(),
            is_malformed: Cell::default(),
            transfer_ms: Cell::default(),
            transfers: Cell::default(),
        })
    }

    async fn transfer(&self) -> StoreResult<(Option<RawRules>, u64)> {
        if self.fails.get() {
            return Err(StoreError::Unanswered);
        }
        let revision = self.newest.get();
        let version = if self.is_malformed.get() { MALFORMED } else { revision };
        let mut text = version.to_le_bytes().to_vec();
        text.resize(self.rules_bytes, 0);
        self.transfers.set(self.transfers.get() + 1);
        tokio::time::sleep(self.transfer_ms.get().to_duration()).await;
        Ok((Some(RawRules { revision, text }), revision))
    }
}

struct StoredRulesClient(Rc<StoredRules>);

impl Configuration for StoredRulesClient {
    fn fetch(&self) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        Box::pin(async move {
            tokio::time::sleep(FETCH_MS.to_duration()).await;
            self.0.transfer().await
        })
    }

    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        Box::pin(async move {
            tokio::time::sleep(FETCH_MS.to_duration()).await;
            if self.0.history_is_gone.get() {
                return Err(StoreError::HistoryGone);
            }
            let changed = || self.0.fails.get() || self.0.newest.get() > after;
            if within(wait_ms, changed).await { self.0.transfer().await } else { Ok((None, after)) }
        })
    }

    fn parse(&self, text: &[u8]) -> errors::Result<Rules> {
        let invalid = || errors::Error::Config("no version".to_owned());
        let version = u64::from_le_bytes(*text.first_chunk().ok_or_else(invalid)?);
        if version == MALFORMED {
            return Err(invalid());
        }
        let policy = Policy { version, ..Policy::default() };
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
