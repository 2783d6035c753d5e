//! A process of the cluster: its state and the loops that keep it up to date.

use std::cell::{Cell as StdCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use admission::{Admission, LogLimit, SeenJobs};
use cell::CellSettings;
use clock::CancellationToken;
use eventlog::event;
use job_memory::Allowance;
use libs::compact_str::CompactString;
use libs::rand::seq::IndexedRandom;
use libs::{rand, tokio};
use metrics::Metrics;
use types::Millis;
use web::Client;

use crate::lag::LagDetector;
use crate::leader::Leader;
use crate::local_rules::{LocalRules, RulesProblem};
use crate::peers::{Answer, Heartbeat, LeaderInfo, Message, Peer};
use crate::ports::{Ports, Rules, StoreError};
use crate::speed::SpeedMonitor;

/// Period of heartbeats to the leader: four of them fit into a leader's lease.
const HEARTBEAT_PERIOD_MS: Millis = Millis(250);
/// Peers that a process without the store contacts in each round. A round reaches a peer with the
/// store with a probability of 98% while a third of the processes has lost it.
const CONTACTED_PEERS: usize = 4;
/// Peers in a heartbeat to a process that knows as many as the sender. All of a hundred are reported
/// within half a minute, so that replaced ones become known.
const REPORTED_PEERS: usize = 4;
/// A heartbeat that starts an exchange reports few peers; the answer has the list.
const NO_PEERS_WANTED: usize = usize::MAX;
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT_MS: Millis = Millis(350);
/// Period of searching for a leader while none is known.
const SEARCH_PERIOD_MS: Millis = Millis(100);
/// A peer without a heartbeat for this long is not considered live.
const PEER_TIMEOUT_MS: Millis = Millis(1_500);
/// A gap between two ticks that is logged as a pause of the process.
const STALL_MS: Millis = Millis(700);
/// Time for which a process that was too slow to lead, or could not load the state, leaves elections
/// to others.
pub(crate) const LEADER_COOLDOWN_MS: Millis = Millis(30_000);
/// Period of measuring the speed of the machine while another process leads.
const SPEED_PERIOD_MS: Millis = Millis(500);
/// Number of processes in cooldown at which no further hand-over takes place: the load is then too
/// high for any process, and a hand-over would only cost time.
const MAX_COOLING_DOWN: usize = 2;
/// Period of the lag measurement.
const TICK_MS: Millis = Millis(100);
/// Time until the platform has noticed that the process is not ready: it checks once a second and
/// requires two failures.
const UNREADY_DELAY_MS: Millis = Millis(2_600);
/// Time for open requests at shutdown: callers wait at most 3 s, and shutdown may take 6 s in
/// total.
const DRAIN_MS: Millis = Millis(2_400);

/// Settings of a process.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Unique name of this process.
    pub name: CompactString,
    /// Address that accepts messages from peers.
    pub peer_address: SocketAddr,
    /// CPU share in thousandths of a core.
    pub cpu_milli: u32,
    /// Duration of the leader's lease in the store.
    pub leader_lease_ms: Millis,
    /// Time from a request to evacuate a failure domain after which nothing may start there; none if
    /// the deployment has no evacuations.
    pub evacuation_ms: Option<Millis>,
    /// Time from an acknowledged cancellation after which nothing of the job may start.
    pub cancel_ms: Millis,
    /// Whether jobs that cannot be done while they are of use are refused.
    pub admission: bool,
    /// Memory of the machine, beyond which the platform ends the process, in MB.
    pub memory_mb: u64,
    /// Settings of the cell.
    pub cell: CellSettings,
}

/// Last known state of a peer.
pub(crate) struct PeerState {
    pub(crate) peer: Peer,
    /// `None` for a peer that is known from others only.
    pub(crate) last_heartbeat_ms: Option<Millis>,
    /// When the store last answered this peer.
    pub(crate) store_answered_ms: Millis,
    /// The peer recently handed over leadership because it was too slow.
    pub(crate) cooling_down: bool,
    /// The peer's machine is slower than usual.
    pub(crate) is_slow: bool,
    /// Memory that accepted jobs may take in the peer, in bytes; none if it has not told or is of an earlier
    /// version, which does not bound it.
    pub(crate) jobs_limit_bytes: Option<u64>,
}

impl PeerState {
    pub(crate) fn is_live(&self, now: Millis) -> bool {
        self.last_heartbeat_ms.is_some_and(|last| now.since(last) < PEER_TIMEOUT_MS)
    }

    pub(crate) fn could_lead(&self) -> bool {
        !self.cooling_down && !self.is_slow
    }
}

/// One process of the cluster.
pub struct Node {
    /// Weak self-reference for spawned tasks.
    pub(crate) this: Weak<Node>,
    pub(crate) settings: NodeSettings,
    pub(crate) ports: Ports,
    pub(crate) client: Client,
    /// Metrics of this process.
    pub metrics: Metrics,
    pub(crate) incarnation: u64,
    pub(crate) secret: RefCell<Option<String>>,
    pub(crate) rules: RefCell<LocalRules>,
    /// The problem with the rules that was logged last.
    pub(crate) logged_rules_problem: StdCell<Option<RulesProblem>>,
    pub(crate) leader: RefCell<Option<LeaderInfo>>,
    pub(crate) leadership: RefCell<Option<Rc<Leader>>>,
    pub(crate) peers: RefCell<BTreeMap<CompactString, PeerState>>,
    /// When the store last answered.
    pub(crate) store_answered_ms: StdCell<Millis>,
    /// Number of consecutive failed store calls.
    pub(crate) store_failures: StdCell<u32>,
    pub(crate) pending_cache: RefCell<BTreeMap<types::QueueId, (u64, Millis)>>,
    /// What this process knows of the capacity.
    pub(crate) admission: RefCell<Admission>,
    /// Memory of the jobs that this process may accept without asking the leader.
    pub(crate) allowance: RefCell<Allowance>,
    /// Jobs that this process has stored or tried to store.
    pub(crate) seen_jobs: RefCell<SeenJobs>,
    /// Limits log lines on invalid input of the admission.
    pub(crate) invalid_input_log: RefCell<LogLimit>,
    pub(crate) stopping: CancellationToken,
    pub(crate) speed: RefCell<SpeedMonitor>,
    /// Leaves elections to others until this time.
    pub(crate) cooldown_until_ms: StdCell<Millis>,
    /// Since when the store has had no leader, as seen by this process.
    pub(crate) leaderless_since_ms: StdCell<Option<Millis>>,
}

impl Node {
    /// Creates a process. Its loops start with [`Node::run`].
    pub fn new(settings: NodeSettings, ports: Ports, client: Client) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            this: this.clone(),
            settings,
            ports,
            client,
            metrics: Metrics::new(None),
            incarnation: rand::random(),
            secret: RefCell::default(),
            rules: RefCell::default(),
            logged_rules_problem: StdCell::default(),
            leader: RefCell::default(),
            leadership: RefCell::default(),
            peers: RefCell::default(),
            store_answered_ms: StdCell::default(),
            store_failures: StdCell::default(),
            pending_cache: RefCell::default(),
            admission: RefCell::default(),
            allowance: RefCell::default(),
            seen_jobs: RefCell::default(),
            invalid_input_log: RefCell::default(),
            stopping: CancellationToken::new(),
            speed: RefCell::default(),
            cooldown_until_ms: StdCell::default(),
            leaderless_since_ms: StdCell::default(),
        })
    }

    /// Runs until `token` is cancelled, then hands over leadership, stops accepting callers by
    /// cancelling `callers`, and returns after the drain time.
    pub async fn run(self: Rc<Self>, token: CancellationToken, callers: CancellationToken) {
        tokio::task::spawn_local(self.clone().follow_rules());
        tokio::task::spawn_local(self.clone().follow_leader());
        tokio::task::spawn_local(self.clone().monitor_lag());
        token.cancelled().await;
        event!("process.stopping", "leads" => self.is_leader());
        self.stopping.cancel();
        self.step_down("shutting down").await;
        tokio::time::sleep(UNREADY_DELAY_MS.to_duration()).await;
        callers.cancel();
        tokio::time::sleep(DRAIN_MS.to_duration()).await;
        event!("process.stopped");
    }

    pub(crate) fn own_peer(&self) -> Peer {
        Peer {
            name: self.settings.name.clone(),
            address: self.settings.peer_address,
            cpu_milli: self.settings.cpu_milli,
        }
    }

    /// Whether this process accepts requests from callers.
    pub fn ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.usable_rules().is_ok()
    }

    /// The rules by which callers are served, or why there are none.
    pub fn usable_rules(&self) -> Result<Rules, RulesProblem> {
        self.rules.borrow().usable(clock::now()).cloned()
    }

    /// The rules in force; `None` before the first configuration.
    pub fn rules(&self) -> Option<Rules> {
        self.rules.borrow().rules.clone()
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.leadership.borrow().is_some()
    }

    /// Records whether the store answered, and passes the result on.
    pub(crate) fn store_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match &result {
            Ok(_) | Err(StoreError::HistoryGone | StoreError::LeaseGone) => {
                if self.store_failures.replace(0) > 0 {
                    event!("store.regained",
                        "silent_ms" => clock::now().since(self.store_answered_ms.get()).0);
                }
                self.store_answered_ms.set(clock::now());
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

    /// State to report to a peer that knows `known_peers` processes. It gets all live peers if it
    /// knows fewer than these, otherwise some.
    pub(crate) fn heartbeat(&self, known_peers: usize) -> Heartbeat {
        let now = clock::now();
        let rules = self.rules.borrow();
        Heartbeat {
            from: self.own_peer(),
            leader: self.leader.borrow().clone(),
            is_leader: self.is_leader(),
            lease_held: self.leadership.borrow().as_ref().is_some_and(|own| self.holds_lease(own)),
            rules_revision: rules.raw.revision,
            rules_age_ms: rules.age_ms(now),
            store_age_ms: now.since(self.store_answered_ms.get()),
            peers: self.peers_to_report(known_peers),
            known_peers: self.peers.borrow().len(),
            cooling_down: self.cooling_down(),
            is_slow: self.speed.borrow().is_slow(),
            forecast: self.own_forecast(now).map(Box::new),
            jobs_limit_bytes: self.jobs_limit_bytes(),
            job_allowance_bytes: self.job_allowance_bytes(),
        }
    }

    /// A leader answers every process four times a second, so that the whole list each time would
    /// fill a link of 10 Mbit/s at some 90 processes.
    fn peers_to_report(&self, known_peers: usize) -> Vec<Peer> {
        let live = self.live_peers();
        if known_peers < live.len() {
            return live;
        }
        live.choose_multiple(&mut rand::rng(), REPORTED_PEERS).cloned().collect()
    }

    /// Peers with a recent heartbeat, without this process.
    pub(crate) fn live_peers(&self) -> Vec<Peer> {
        self.live_states(&self.peers.borrow()).map(|state| state.peer.clone()).collect()
    }

    pub(crate) fn live_states<'a>(
        &self,
        peers: &'a BTreeMap<CompactString, PeerState>,
    ) -> impl Iterator<Item = &'a PeerState> + use<'a> {
        let now = clock::now();
        peers.values().filter(move |state| state.is_live(now))
    }

    /// Updates the local state from a peer's heartbeat, which answers a request that was sent at
    /// `sent_ms`, or is a request itself.
    pub(crate) fn record_heartbeat(&self, heartbeat: &Heartbeat, sent_ms: Option<Millis>) {
        let now = clock::now();
        let state = PeerState {
            peer: heartbeat.from.clone(),
            last_heartbeat_ms: Some(now),
            store_answered_ms: now - heartbeat.store_age_ms,
            cooling_down: heartbeat.cooling_down,
            is_slow: heartbeat.is_slow,
            jobs_limit_bytes: Some(heartbeat.jobs_limit_bytes).filter(|bytes| *bytes > 0),
        };
        self.peers.borrow_mut().insert(heartbeat.from.name.clone(), state);
        for peer in &heartbeat.peers {
            if peer.name != self.settings.name {
                self.peers.borrow_mut().entry(peer.name.clone()).or_insert_with(|| PeerState {
                    peer: peer.clone(),
                    last_heartbeat_ms: None,
                    store_answered_ms: Millis(0),
                    cooling_down: false,
                    is_slow: false,
                    jobs_limit_bytes: None,
                });
            }
        }
        if let Some(leader) = &heartbeat.leader {
            self.learn_leader(leader);
        }
        self.record_forecast(heartbeat, now);
        if let Some(bytes) = heartbeat.job_allowance_bytes {
            self.allowance.borrow_mut().renew(bytes);
        }
        self.sync_rules(heartbeat, sent_ms);
    }

    fn learn_leader(&self, leader: &LeaderInfo) {
        let known = self.leader.borrow().as_ref().map_or(0, |known| known.epoch);
        if leader.epoch <= known {
            return;
        }
        event!("leader.learned", "epoch" => leader.epoch, "name" => leader.peer.name.as_str());
        self.leaderless_since_ms.set(None);
        *self.leader.borrow_mut() = Some(leader.clone());
        let deposed =
            self.leadership.borrow().as_ref().is_some_and(|own| own.epoch() < leader.epoch);
        if deposed {
            self.end_term("a peer reported a higher epoch");
        }
    }

    /// Sends heartbeats to the leader, and stands for election when there is none.
    async fn follow_leader(self: Rc<Self>) {
        while !self.stopping.is_cancelled() {
            if self.is_leader() {
                tokio::time::sleep(HEARTBEAT_PERIOD_MS.to_duration()).await;
                continue;
            }
            if self.contact_leader().await {
                tokio::time::sleep(HEARTBEAT_PERIOD_MS.to_duration()).await;
                continue;
            }
            self.find_leader().await;
            let jitter = Millis(rand::random_range(0..SEARCH_PERIOD_MS.0));
            tokio::time::sleep((SEARCH_PERIOD_MS + jitter).to_duration()).await;
        }
        // Heartbeats continue during shutdown, so that open requests can still reach the leader.
        loop {
            if !self.contact_leader().await {
                self.find_leader().await;
            }
            tokio::time::sleep(HEARTBEAT_PERIOD_MS.to_duration()).await;
        }
    }

    /// Sends a heartbeat to the known leader. Returns whether it still leads and holds its lease.
    async fn contact_leader(&self) -> bool {
        let Some(leader) = self.leader.borrow().clone() else { return false };
        if leader.incarnation == self.incarnation {
            return false;
        }
        let message = Message::Heartbeat(self.heartbeat(NO_PEERS_WANTED));
        let sent_ms = clock::now();
        match self.send(leader.peer.address, &message, HEARTBEAT_TIMEOUT_MS).await {
            Ok(Answer::Heartbeat(heartbeat)) => {
                // A leader that cannot reach the store is replaced if this process can reach it.
                let is_leader = heartbeat.is_leader && heartbeat.lease_held;
                self.record_heartbeat(&heartbeat, Some(sent_ms));
                is_leader
            }
            _ => false,
        }
    }

    /// Exchanges heartbeats with some random peers, to learn the leader and the rules while the
    /// store is unreachable. Does not wait for the answers, since silent peers would delay the
    /// caller's own calls.
    pub(crate) fn contact_peers(&self) {
        for peer in self.known_peers().choose_multiple(&mut rand::rng(), CONTACTED_PEERS) {
            let Some(node) = self.this.upgrade() else { return };
            let address = peer.address;
            tokio::task::spawn_local(async move { node.contact_peer(address).await });
        }
    }

    async fn contact_peer(&self, address: SocketAddr) {
        let message = Message::Heartbeat(self.heartbeat(NO_PEERS_WANTED));
        let sent_ms = clock::now();
        if let Ok(Answer::Heartbeat(heartbeat)) =
            self.send(address, &message, HEARTBEAT_TIMEOUT_MS).await
        {
            self.record_heartbeat(&heartbeat, Some(sent_ms));
        }
    }

    fn known_peers(&self) -> Vec<Peer> {
        self.peers.borrow().values().map(|state| state.peer.clone()).collect()
    }

    async fn monitor_lag(self: Rc<Self>) {
        let mut last = clock::now();
        let mut lag = LagDetector::default();
        let mut measured_ms = last;
        self.measure_speed();
        loop {
            tokio::time::sleep(TICK_MS.to_duration()).await;
            self.report_rules_state();
            let now = clock::now();
            if now.since(last) > STALL_MS {
                event!("process.paused", "for_ms" => now.since(last).0,
                    "leads" => self.is_leader());
            }
            let late_by_ms = now.since(last + TICK_MS);
            last = now;
            if self.is_leader() || now.since(measured_ms) >= SPEED_PERIOD_MS {
                measured_ms = now;
                self.measure_speed();
            }
            if !self.is_leader() || self.is_attaching_workers() {
                lag.reset();
            }
            if !self.is_leader() {
                continue;
            }
            let is_late = lag.record_tick(late_by_ms);
            let why = if self.speed.borrow().is_slow() && self.may_leave_slow_machine() {
                "the machine is slower than usual"
            } else if is_late && self.may_hand_over() {
                "short of processor time"
            } else {
                continue;
            };
            event!("leader.too_slow", "late_by_ms" => late_by_ms.0, "why" => why,
                "probe_us" => self.speed.borrow().last().as_micros() as u64);
            self.cooldown_until_ms.set(now + LEADER_COOLDOWN_MS);
            self.step_down(why).await;
        }
    }

    pub(crate) fn measure_speed(&self) {
        let took = self.ports.processor.measure();
        let mut speed = self.speed.borrow_mut();
        let was_slow = speed.is_slow();
        if speed.record(took) != was_slow {
            event!("process.speed", "slow" => !was_slow, "probe_us" => took.as_micros() as u64,
                "usual_us" => speed.usual().as_micros() as u64, "leads" => self.is_leader());
        }
    }

    /// Whether a peer with at least as much CPU is available and few processes are in cooldown.
    fn may_hand_over(&self) -> bool {
        let peers = self.peers.borrow();
        let cooling_down = self.live_states(&peers).filter(|state| state.cooling_down).count();
        cooling_down < MAX_COOLING_DOWN && self.successors(&peers).0 > 0
    }

    /// Whether most of the peers with at least as much CPU could lead. Otherwise all machines have
    /// become slower, and a hand-over would only cost time.
    fn may_leave_slow_machine(&self) -> bool {
        let (available, all) = self.successors(&self.peers.borrow());
        available > 0 && available * 2 >= all
    }

    /// Number of live peers with at least as much CPU that could lead now, and of all of these.
    fn successors(&self, peers: &BTreeMap<CompactString, PeerState>) -> (usize, usize) {
        let large =
            self.live_states(peers).filter(|state| state.peer.cpu_milli >= self.settings.cpu_milli);
        large.fold((0, 0), |(available, all), state| {
            (available + usize::from(state.could_lead()), all + 1)
        })
    }

    /// Whether this process recently handed over leadership because it was short of processor time.
    pub(crate) fn cooling_down(&self) -> bool {
        clock::now() < self.cooldown_until_ms.get()
    }
}
