//! Processes of which one gets new rules late, over a slow link.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use cell::Policy;
use clock::CancellationToken;
use cluster::{
    Configuration, LocalBoxFuture, Node, Ports, RawRules, Rules, StoreError, StoreResult,
};
use libs::tokio;
use tokio::net::TcpListener;
use types::Millis;

use super::support::link::{Delivery, Link};
use super::support::{Environment, node_at, ports};

/// Name of the process that gets new rules late.
pub const LATE: &str = "late";
/// Revision of the first configuration, which is its version as well.
const OLD: u64 = 1;
/// Version that does not decode.
const MALFORMED: u64 = u64::MAX;
/// Duration of reading the configuration from the store.
const FETCH_MS: Millis = Millis(25);
const CHECK_PERIOD_MS: Millis = Millis(5);
/// Some hundred times the duration of a start and an election.
pub const START_TIMEOUT_MS: Millis = Millis(10_000);

/// Processes that share a store. One of them, `late`, is on a slow link.
pub struct Cluster {
    environment: Rc<Environment>,
    rules_bytes: usize,
    /// Carries the answers of the peers.
    pub link: Rc<Link>,
}

/// A running process.
pub struct Process {
    pub node: Rc<Node>,
    environment: Rc<Environment>,
    /// The configuration as the store shows it to this process.
    pub stored: Rc<StoredRules>,
    pub store_is_unreachable: Rc<Cell<bool>>,
    /// Number of heartbeats from `late`.
    pub heartbeats_of_late: Rc<Cell<u32>>,
}

impl Cluster {
    pub fn new(rules_bytes: usize) -> Self {
        Self { environment: Rc::default(), rules_bytes, link: Link::new(rules_bytes) }
    }

    /// Starts the process that gets new rules late.
    pub async fn start_late(&self) -> Process {
        let listener = listen().await;
        let process = self.create(LATE, address_of(&listener));
        process.run(listener);
        process
    }

    /// Starts a leader, and `late` as its follower, with the same rules.
    pub async fn start_pair(&self) -> (Process, Process) {
        let leader = self.start_peer("leader", Delivery::Complete).await;
        leader.wait_until_leader().await;
        let late = self.start_late().await;
        leader.wait_until_joined_by_late().await;
        late.wait_until_ready().await;
        (leader, late)
    }

    /// Starts a process whose answers arrive over the link.
    pub async fn start_peer(&self, name: &str, delivery: Delivery) -> Process {
        let (public, listener) = (listen().await, listen().await);
        let process = self.create(name, address_of(&public));
        self.link.clone().connect(public, address_of(&listener), delivery);
        process.run(listener);
        process
    }

    /// Starts a process that sends heartbeats, and accepts connections but answers nothing.
    pub async fn start_silent_peer(&self, name: &str) -> (Process, TcpListener) {
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
    pub async fn wait_until_leader(&self) {
        let leads = || self.environment.value("leader").is_some();
        assert!(within(START_TIMEOUT_MS, leads).await, "no leader");
    }

    /// Waits for a heartbeat of `late`, which then knows its leader and the cluster's secret.
    pub async fn wait_until_joined_by_late(&self) {
        let joined = || self.heartbeats_of_late.get() > 0;
        assert!(within(START_TIMEOUT_MS, joined).await, "no heartbeat");
    }

    pub async fn wait_until_ready(&self) {
        assert!(within(START_TIMEOUT_MS, || self.node.ready()).await, "not ready");
    }

    pub async fn has_new_rules_within(&self, timeout_ms: Millis) -> bool {
        within(timeout_ms, || self.version() > Some(OLD)).await
    }

    pub fn version(&self) -> Option<u64> {
        self.node.rules().map(|rules| rules.policy.version)
    }
}

/// The configuration as the store shows it to a process.
pub struct StoredRules {
    rules_bytes: usize,
    pub newest: Cell<u64>,
    /// All reads fail.
    pub fails: Cell<bool>,
    /// No watch succeeds, because the history is compacted at once.
    pub history_is_gone: Cell<bool>,
    /// The text cannot be decoded.
    pub is_malformed: Cell<bool>,
    /// Duration of the transfer of the text.
    pub transfer_ms: Cell<Millis>,
    /// Number of transfers of the text.
    pub transfers: Cell<usize>,
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
pub async fn within(timeout_ms: Millis, condition: impl Fn() -> bool) -> bool {
    let until = clock::now() + timeout_ms;
    while !condition() {
        if clock::now() > until {
            return false;
        }
        tokio::time::sleep(CHECK_PERIOD_MS.to_duration()).await;
    }
    true
}
