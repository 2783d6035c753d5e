//! Scheduler nodes: the pool under test, pause buffering and simulated membership.

use libs::rand::Rng;
use libs::rand::rngs::StdRng;
use pool::{Action, CallFailure, Event, Mechanisms, Pool, PoolSettings};
use types::{Epoch, Millis, NodeId, RunnerId, SyncRequest, WorkerId};

use super::{Delivery, Fault, NODES, Simulation, pool_id};

/// Duration of worker leases.
pub const LEASE_MS: Millis = Millis(4_000);
/// Time without heartbeats after which a node is no longer confirmed.
const UNCONFIRMED_MS: u64 = 3_000;
/// Time without heartbeats after which an owner is suspected.
const SUSPECT_MS: u64 = 1_250;

/// A simulated scheduler node.
pub struct SimNode {
    pub pool: Pool,
    pub id: NodeId,
    pub dead: bool,
    /// Events that arrived while the node was paused, and its initial events.
    pub inbox: Vec<Event>,
    /// Offset of the node's clock from the simulated time.
    clock_offset_ms: u64,
    /// Speed of the node's clock relative to the simulated time, in parts per thousand.
    clock_rate_per_mille: u64,
    /// When the node last exchanged heartbeats with the other nodes.
    pub last_heartbeat_at: u64,
    incarnation: u64,
}

impl SimNode {
    pub fn new(index: usize, incarnation: u64, random: &mut StdRng) -> Self {
        let id = NodeId {
            name: format!("scheduler-{index}").parse().unwrap(),
            incarnation: incarnation << 20,
        };
        let pool = Pool::new(PoolSettings {
            pool: pool_id(),
            domain: "north".parse().unwrap(),
            node: NodeId { incarnation: id.incarnation + index as u64, ..id.clone() },
            lease_ms: LEASE_MS,
            poll_ms: Millis(500),
            commit_ms: Millis(20),
            unconfirmed_ms: Millis(UNCONFIRMED_MS),
            random_seed: random.random(),
            mechanisms: Mechanisms::default(),
        });
        let clock_offset_ms = random.random_range(0..100_000);
        // Derived from the offset instead of drawn, so that the regression seeds keep their
        // schedules.
        let clock_rate_per_mille = 996 + clock_offset_ms % 9;
        Self {
            pool,
            id,
            dead: false,
            inbox: Vec::new(),
            clock_offset_ms,
            clock_rate_per_mille,
            last_heartbeat_at: 0,
            incarnation,
        }
    }
}

impl Simulation {
    /// Delivers an event to a node, or buffers it while the node is paused.
    pub fn deliver_event(&mut self, node: usize, event: Event) {
        if self.nodes[node].dead {
            return;
        }
        if self.has(&Fault::Pause(node)) {
            let is_tick = matches!(event, Event::Tick);
            if !is_tick || self.nodes[node].inbox.is_empty() {
                self.nodes[node].inbox.push(event);
            }
            return;
        }
        let waiting = std::mem::take(&mut self.nodes[node].inbox);
        for event in waiting.into_iter().chain([event]) {
            let state = &self.nodes[node];
            let now = Millis(self.now * state.clock_rate_per_mille / 1_000 + state.clock_offset_ms);
            let actions = self.nodes[node].pool.step(now, event);
            for action in actions {
                self.execute(node, action);
            }
        }
    }

    pub(super) fn resume(&mut self, node: usize) {
        self.deliver_event(node, Event::Tick);
    }

    fn execute(&mut self, node: usize, action: Action) {
        let delay = self.delay();
        match action {
            Action::Store(token, call) => {
                self.send_after(delay, Delivery::Store { node, token, call })
            }
            Action::SyncWorker { worker, call, request, .. } => {
                let is_duplicated = self.is_lost();
                if is_duplicated {
                    let duplicate = Delivery::Sync {
                        node,
                        worker: worker.clone(),
                        call,
                        request: request.clone(),
                    };
                    let duplicate_delay = self.delay() + 3_000;
                    self.send_after(duplicate_delay, duplicate);
                }
                self.send_after(delay, Delivery::Sync { node, worker, call, request });
            }
            Action::PollRunner { runner, call, epoch, .. } => {
                self.send_after(delay, Delivery::Poll { node, runner, call, epoch });
            }
            Action::Send(to, message) => {
                if !self.is_lost() {
                    let entry = usize::from(to.port());
                    self.send_after(delay, Delivery::Entry(entry, message));
                }
            }
            Action::RecordEvent { kind, epoch, subject, detail } => {
                self.log.push(format!(
                    "{} node {node} epoch {epoch} {kind:?} {subject} {detail}",
                    self.now
                ));
            }
            Action::IncrementCounter(_) => {}
        }
    }

    pub(super) fn handle_sync(
        &mut self,
        node: usize,
        id: &WorkerId,
        call: u64,
        request: &SyncRequest,
    ) {
        let is_unreachable = self.has(&Fault::WorkerUnreachable(node, id.clone()));
        let now = Millis(self.now);
        let answer = if is_unreachable {
            Err(CallFailure::Unanswered)
        } else {
            let worker = self.workers.get_mut(id).unwrap();
            worker.sync(now, request).ok_or(CallFailure::StaleEpoch)
        };
        let lost = self.is_lost();
        let answer = if lost { Err(CallFailure::Unanswered) } else { answer };
        let delay = self.delay() + if answer.is_err() { 200 } else { 0 };
        self.send_after(delay, Delivery::Node(node, Event::WorkerAnswer(id.clone(), call, answer)));
    }

    pub(super) fn handle_poll(&mut self, node: usize, id: &RunnerId, call: u64, epoch: Epoch) {
        let now = Millis(self.now);
        let report = self.runners.get_mut(id).unwrap().report(now, epoch.0);
        let lost = self.is_lost();
        let answer = match report {
            _ if lost => Err(CallFailure::Unanswered),
            Some(report) => Ok(report),
            None => Err(CallFailure::StaleEpoch),
        };
        let delay = self.delay();
        self.send_after(delay, Delivery::Node(node, Event::RunnerAnswer(id.clone(), call, answer)));
    }

    /// Whether a node exchanges heartbeats with the other nodes.
    fn is_connected(&self, node: usize) -> bool {
        !self.nodes[node].dead && !self.has(&Fault::Pause(node)) && !self.has(&Fault::Isolate(node))
    }

    /// Exchanges heartbeats and updates the membership of each running node.
    pub(super) fn exchange_heartbeats(&mut self) {
        for node in 0..NODES {
            if self.is_connected(node) {
                self.nodes[node].last_heartbeat_at = self.now;
            }
        }
        for node in 0..NODES {
            if !self.nodes[node].dead && !self.has(&Fault::Pause(node)) {
                self.update_membership(node);
            }
        }
    }

    fn update_membership(&mut self, node: usize) {
        let connected = self.is_connected(node);
        // As in `membership`, the time since the last heartbeat from other nodes counts, including
        // pauses of the node itself.
        let confirmed = self.now - self.nodes[node].last_heartbeat_at < UNCONFIRMED_MS;
        self.deliver_event(node, Event::MembershipConfirmed(confirmed));
        if !connected {
            return;
        }
        let owners: Vec<(usize, Epoch)> = (0..NODES)
            .filter_map(|other| {
                self.nodes[other].pool.ownership().map(|owned| (other, owned.epoch))
            })
            .collect();
        let alive_owners: Vec<(usize, Epoch)> = owners
            .into_iter()
            .filter(|(other, _)| {
                *other != node && self.now - self.nodes[*other].last_heartbeat_at < SUSPECT_MS
            })
            .collect();
        if let Some((_, epoch)) = alive_owners.iter().max_by_key(|(_, epoch)| *epoch) {
            self.deliver_event(node, Event::PeerEpoch(*epoch));
        }
        let falsely_suspects = self.has(&Fault::FalseSuspicion(node));
        if self.nodes[node].pool.is_idle() && (alive_owners.is_empty() || falsely_suspects) {
            self.deliver_event(node, Event::Claim);
        }
    }

    pub fn kill_node(&mut self, node: usize) {
        self.nodes[node].dead = true;
        self.nodes[node].inbox.clear();
        self.log.push(format!("{} node {node} killed", self.now));
    }

    /// Restarts a killed node with a new incarnation.
    pub fn restart_node(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = SimNode::new(node, incarnation, &mut self.random);
        self.send_rules_and_backends(node);
        self.log.push(format!("{} node {node} started", self.now));
    }

    /// The owner with the highest epoch among those not suspected, as seen by the entries.
    pub fn owner(&self) -> Option<usize> {
        let owners = (0..NODES).filter(|node| self.is_connected(*node) || !self.nodes[*node].dead);
        owners
            .filter_map(|node| self.nodes[node].pool.ownership().map(|owned| (owned.epoch, node)))
            .filter(|(_, node)| self.now - self.nodes[*node].last_heartbeat_at < SUSPECT_MS)
            .max()
            .map(|(_, node)| node)
    }
}
