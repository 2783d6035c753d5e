//! One process of the cluster: what it knows, and the loops that keep it current.

use std::cell::{Cell as StdCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use cell::CellSettings;
use clock::CancellationToken;
use eventlog::event;
use libs::compact_str::CompactString;
use libs::{rand, tokio};
use metrics::Metrics;
use types::Millis;
use web::Client;

use crate::lag::LagDetector;
use crate::leader::Leader;
use crate::peers::{Answer, Hello, LeaderInfo, Message, Peer};
use crate::ports::{Ports, RawRules, Rules, StoreError};

/// Period of signs of life to the leader: four of them fit into a leader's lease.
const HELLO_PERIOD_MS: Millis = Millis(250);
/// Longest wait for an answer to a sign of life.
const HELLO_TIMEOUT_MS: Millis = Millis(350);
/// Period of looking for a leader while there is none.
const SEARCH_PERIOD_MS: Millis = Millis(100);
/// A process not heard for this long is left out.
pub(crate) const PEER_TIMEOUT_MS: Millis = Millis(1_500);
/// Rules not confirmed for this long are not followed: two seconds for a change to be in force,
/// and five more that a partial outage of the store may add, less the way of a request.
const RULES_STALE_MS: Millis = Millis(6_500);
/// A gap between two ticks that shows that the process stood still.
const PAUSE_MS: Millis = Millis(700);
/// A process that was too slow to lead leaves the lead to others for this long.
const REST_MS: Millis = Millis(30_000);
/// With this many processes resting, the load is too high for any of them, and a hand-over would
/// only cost time.
const MOST_RESTING: usize = 2;
/// Period of the clock watch.
const TICK_MS: Millis = Millis(100);
/// The platform checks readiness each second and takes two misses for down.
const READINESS_NOTICED_MS: Millis = Millis(2_600);
/// Time for open requests at the end: callers wait 3 s at most, and the process has 6 s in all.
const DRAIN_MS: Millis = Millis(2_400);

/// Fixed figures of a process.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of this process.
    pub name: CompactString,
    /// Where it takes messages of other processes.
    pub peer_address: SocketAddr,
    /// Processor share, thousandths of a core.
    pub strength: u32,
    /// Length of a leader's lease in the store.
    pub leader_lease_ms: Millis,
    /// Figures of the cell.
    pub cell: CellSettings,
}

/// Rules in force here.
#[derive(Debug, Default)]
pub(crate) struct RulesHere {
    pub(crate) raw: RawRules,
    pub(crate) rules: Option<Rules>,
    /// When they were last known to be the newest.
    pub(crate) confirmed_ms: Millis,
}

/// Another process as heard.
pub(crate) struct PeerState {
    pub(crate) peer: Peer,
    pub(crate) heard_ms: Millis,
    /// When the store last answered it.
    pub(crate) store_ms: Millis,
    /// It was too slow to lead lately.
    pub(crate) rests: bool,
}

/// One process of the cluster.
pub struct Node {
    /// Handle to itself, for tasks that it starts.
    pub(crate) this: Weak<Node>,
    pub(crate) settings: NodeSettings,
    pub(crate) ports: Ports,
    pub(crate) client: Client,
    /// Counters of this process.
    pub metrics: Metrics,
    pub(crate) boot: u64,
    pub(crate) secret: RefCell<Option<String>>,
    pub(crate) rules: RefCell<RulesHere>,
    pub(crate) leader: RefCell<Option<LeaderInfo>>,
    pub(crate) leading: RefCell<Option<Rc<Leader>>>,
    pub(crate) peers: RefCell<BTreeMap<CompactString, PeerState>>,
    /// When the store last answered, and whether its last call failed.
    pub(crate) store_ms: StdCell<Millis>,
    pub(crate) store_failures: StdCell<u32>,
    pub(crate) pending_seen: RefCell<BTreeMap<types::QueueId, (u64, Millis)>>,
    pub(crate) stopping: CancellationToken,
    /// Does not take the lead before this time.
    pub(crate) rests_until_ms: StdCell<Millis>,
    /// When the store was first seen without a leader.
    pub(crate) leaderless_ms: StdCell<Option<Millis>>,
}

impl Node {
    /// A process that has not started its loops.
    pub fn new(settings: NodeSettings, ports: Ports, client: Client) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            this: this.clone(),
            settings,
            ports,
            client,
            metrics: Metrics::new(None),
            boot: rand::random(),
            secret: RefCell::default(),
            rules: RefCell::default(),
            leader: RefCell::default(),
            leading: RefCell::default(),
            peers: RefCell::default(),
            store_ms: StdCell::default(),
            store_failures: StdCell::default(),
            pending_seen: RefCell::default(),
            stopping: CancellationToken::new(),
            rests_until_ms: StdCell::default(),
            leaderless_ms: StdCell::default(),
        })
    }

    /// Runs until the token is cancelled, then hands over and returns once callers have left.
    pub async fn run(self: Rc<Self>, token: CancellationToken, callers: CancellationToken) {
        tokio::task::spawn_local(self.clone().follow_rules());
        tokio::task::spawn_local(self.clone().follow_leader());
        tokio::task::spawn_local(self.clone().watch_clock());
        token.cancelled().await;
        event!("process.stopping", "leads" => self.leads());
        self.stopping.cancel();
        self.step_down("shutting down").await;
        tokio::time::sleep(READINESS_NOTICED_MS.to_duration()).await;
        callers.cancel();
        tokio::time::sleep(DRAIN_MS.to_duration()).await;
        event!("process.stopped");
    }

    pub(crate) fn me(&self) -> Peer {
        Peer {
            name: self.settings.name.clone(),
            address: self.settings.peer_address,
            strength: self.settings.strength,
        }
    }

    /// Whether this process takes callers' work.
    pub fn ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.rules_fresh()
    }

    /// Whether the rules here are surely in force.
    pub fn rules_fresh(&self) -> bool {
        let rules = self.rules.borrow();
        rules.rules.is_some() && clock::now().since(rules.confirmed_ms) < RULES_STALE_MS
    }

    /// The rules here; none before the first configuration.
    pub fn rules(&self) -> Option<Rules> {
        self.rules.borrow().rules.clone()
    }

    pub(crate) fn leads(&self) -> bool {
        self.leading.borrow().is_some()
    }

    /// Notes the outcome of a call to the store.
    pub(crate) fn store_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match &result {
            Ok(_) | Err(StoreError::HistoryGone | StoreError::LeaseGone) => {
                if self.store_failures.replace(0) > 0 {
                    event!("store.regained",
                        "silent_ms" => clock::now().since(self.store_ms.get()).0);
                }
                self.store_ms.set(clock::now());
            }
            Err(error) => {
                self.metrics.count("store_calls_failed");
                let failures = self.store_failures.get();
                self.store_failures.set(failures.saturating_add(1));
                if failures == 0 {
                    event!("store.lost", "error" => error.to_string());
                }
            }
        }
        result
    }

    pub(crate) fn hello(&self) -> Hello {
        let now = clock::now();
        let rules = self.rules.borrow();
        Hello {
            from: self.me(),
            leader: self.leader.borrow().clone(),
            leads: self.leads(),
            lease_held: self.leading.borrow().as_ref().is_some_and(|own| self.holds_lease(own)),
            rules_revision: rules.raw.revision,
            rules_age_ms: now.since(rules.confirmed_ms),
            store_age_ms: now.since(self.store_ms.get()),
            peers: self.live_peers(),
            rests: self.rests(),
        }
    }

    /// Processes heard lately, without this one.
    pub(crate) fn live_peers(&self) -> Vec<Peer> {
        self.live_states(&self.peers.borrow()).map(|state| state.peer.clone()).collect()
    }

    pub(crate) fn live_states<'a>(
        &self,
        peers: &'a BTreeMap<CompactString, PeerState>,
    ) -> impl Iterator<Item = &'a PeerState> + use<'a> {
        let now = clock::now();
        peers.values().filter(move |state| now.since(state.heard_ms) < PEER_TIMEOUT_MS)
    }

    /// Takes in what another process told of itself.
    pub(crate) fn heard(&self, hello: &Hello) {
        let now = clock::now();
        let state = PeerState {
            peer: hello.from.clone(),
            heard_ms: now,
            store_ms: now - hello.store_age_ms,
            rests: hello.rests,
        };
        self.peers.borrow_mut().insert(hello.from.name.clone(), state);
        for peer in &hello.peers {
            if peer.name != self.settings.name {
                self.peers.borrow_mut().entry(peer.name.clone()).or_insert_with(|| PeerState {
                    peer: peer.clone(),
                    heard_ms: Millis(0),
                    store_ms: Millis(0),
                    rests: false,
                });
            }
        }
        if let Some(leader) = &hello.leader {
            self.leader_heard(leader);
        }
        self.rules_heard(hello, now);
    }

    fn leader_heard(&self, leader: &LeaderInfo) {
        let known = self.leader.borrow().as_ref().map_or(0, |known| known.epoch);
        if leader.epoch <= known {
            return;
        }
        event!("leader.heard", "epoch" => leader.epoch, "name" => leader.peer.name.as_str());
        *self.leader.borrow_mut() = Some(leader.clone());
        let deposed = self.leading.borrow().as_ref().is_some_and(|own| own.epoch() < leader.epoch);
        if deposed {
            self.drop_lead("a higher epoch was heard");
        }
    }

    /// Keeps in touch with the leader, and takes the lead when there is none.
    async fn follow_leader(self: Rc<Self>) {
        while !self.stopping.is_cancelled() {
            if self.leads() {
                tokio::time::sleep(HELLO_PERIOD_MS.to_duration()).await;
                continue;
            }
            if self.greet_leader().await {
                tokio::time::sleep(HELLO_PERIOD_MS.to_duration()).await;
                continue;
            }
            self.find_leader().await;
            let jitter = Millis(rand::random_range(0..SEARCH_PERIOD_MS.0));
            tokio::time::sleep((SEARCH_PERIOD_MS + jitter).to_duration()).await;
        }
        // Stays in touch while it stops, so that its requests are served to the end.
        loop {
            if !self.greet_leader().await {
                self.find_leader().await;
            }
            tokio::time::sleep(HELLO_PERIOD_MS.to_duration()).await;
        }
    }

    /// Whether the known leader still leads.
    async fn greet_leader(&self) -> bool {
        let Some(leader) = self.leader.borrow().clone() else { return false };
        if leader.boot == self.boot {
            return false;
        }
        let message = Message::Hello(self.hello());
        match self.send(leader.peer.address, &message, HELLO_TIMEOUT_MS).await {
            Ok(Answer::Hello(hello)) => {
                // A leader that has lost the store is replaced, if the store can be reached from here.
                let leads = hello.leads && hello.lease_held;
                self.heard(&hello);
                leads
            }
            _ => false,
        }
    }

    /// Hears another process, for a leader or rules that this one cannot read in the store.
    pub(crate) async fn greet_peers(&self) {
        for peer in self.live_or_known_peers() {
            let message = Message::Hello(self.hello());
            if let Ok(Answer::Hello(hello)) =
                self.send(peer.address, &message, HELLO_TIMEOUT_MS).await
            {
                self.heard(&hello);
            }
        }
    }

    fn live_or_known_peers(&self) -> Vec<Peer> {
        self.peers.borrow().values().map(|state| state.peer.clone()).collect()
    }

    async fn watch_clock(self: Rc<Self>) {
        let mut last = clock::now();
        let mut lag = LagDetector::default();
        loop {
            tokio::time::sleep(TICK_MS.to_duration()).await;
            let now = clock::now();
            if now.since(last) > PAUSE_MS {
                event!("process.paused", "for_ms" => now.since(last).0, "leads" => self.leads());
            }
            let late_by_ms = now.since(last + TICK_MS);
            last = now;
            if !self.leads() {
                lag.reset();
            } else if lag.record_tick(late_by_ms) && self.may_rest() {
                event!("leader.too_slow", "late_by_ms" => late_by_ms.0);
                self.rests_until_ms.set(now + REST_MS);
                self.step_down("short of processor time").await;
            }
        }
    }

    /// Whether another process can lead as well as this one, and few have handed over lately.
    fn may_rest(&self) -> bool {
        let peers = self.peers.borrow();
        let (resting, ready): (Vec<&PeerState>, Vec<&PeerState>) =
            self.live_states(&peers).partition(|state| state.rests);
        let as_strong = |state: &&PeerState| state.peer.strength >= self.settings.strength;
        resting.len() < MOST_RESTING && ready.iter().any(as_strong)
    }

    /// Whether this process has handed over the lead lately for want of processor time.
    pub(crate) fn rests(&self) -> bool {
        clock::now() < self.rests_until_ms.get()
    }
}
