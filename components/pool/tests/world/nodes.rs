//! Scheduler nodes: the pool's core, its inbox, and a stand-in for membership.

use libs::rand::Rng;
use libs::rand::rngs::StdRng;
use pool::{Action, CallFailure, Event, Mechanisms, Pool, PoolSettings};
use types::{Epoch, Millis, NodeId, RunnerId, SyncRequest, WorkerId};

use super::{Delivery, Fault, NODES, World, pool_id};

/// Term of workers' leases.
pub const LEASE: Millis = Millis(4_000);
/// Time without the key-value service and other nodes after which a node trusts nothing.
const UNCONFIRMED: u64 = 3_000;
/// Silence after which the owner is suspected.
const SUSPECT: u64 = 1_250;

/// A node.
pub struct Sim {
    pub pool: Pool,
    pub id: NodeId,
    pub dead: bool,
    /// Events that arrived while it was paused.
    pub inbox: Vec<Event>,
    /// Its own clock is the world's plus this.
    offset: u64,
    /// Its own clock's speed, in parts per thousand of the world's.
    rate: u64,
    /// When it last exchanged heartbeats with the others.
    pub heard_at: u64,
    incarnation: u64,
}

impl Sim {
    pub fn new(index: usize, incarnation: u64, random: &mut StdRng) -> Self {
        let id = NodeId {
            name: format!("scheduler-{index}").parse().unwrap(),
            incarnation: incarnation << 20,
        };
        let pool = Pool::new(PoolSettings {
            pool: pool_id(),
            domain: "north".parse().unwrap(),
            me: NodeId { incarnation: id.incarnation + index as u64, ..id.clone() },
            lease_ms: LEASE,
            poll_ms: Millis(500),
            commit_ms: Millis(20),
            unconfirmed_ms: Millis(UNCONFIRMED),
            random_seed: random.random(),
            mechanisms: Mechanisms::default(),
        });
        let offset = random.random_range(0..100_000);
        // Not drawn from the world's numbers, so that kept seeds keep their schedules.
        let rate = 996 + offset % 9;
        Self { pool, id, dead: false, inbox: Vec::new(), offset, rate, heard_at: 0, incarnation }
    }
}

impl World {
    /// Gives a node an event, now or when it goes on.
    pub fn give_event(&mut self, node: usize, event: Event) {
        if self.sims[node].dead {
            return;
        }
        if self.has(&Fault::Pause(node)) {
            let is_tick = matches!(event, Event::Tick);
            if !is_tick || self.sims[node].inbox.is_empty() {
                self.sims[node].inbox.push(event);
            }
            return;
        }
        let waiting = std::mem::take(&mut self.sims[node].inbox);
        for event in waiting.into_iter().chain([event]) {
            let sim = &self.sims[node];
            let now = Millis(self.now * sim.rate / 1_000 + sim.offset);
            let actions = self.sims[node].pool.step(now, event);
            for action in actions {
                self.act(node, action);
            }
        }
    }

    pub(super) fn resume(&mut self, node: usize) {
        self.give_event(node, Event::Tick);
    }

    fn act(&mut self, node: usize, action: Action) {
        let delay = self.delay();
        match action {
            Action::Store(token, call) => {
                self.send_after(delay, Delivery::Store { node, token, call })
            }
            Action::SyncWorker { worker, call, request, .. } => {
                let doubled = self.is_lost();
                if doubled {
                    let again = Delivery::Sync {
                        node,
                        worker: worker.clone(),
                        call,
                        request: request.clone(),
                    };
                    let late = self.delay() + 3_000;
                    self.send_after(late, again);
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
            Action::Record { kind, epoch, subject, detail } => {
                self.log.push(format!(
                    "{} node {node} epoch {epoch} {kind:?} {subject} {detail}",
                    self.now
                ));
            }
            Action::Count(_) => {}
        }
    }

    pub(super) fn answer_sync(
        &mut self,
        node: usize,
        id: &WorkerId,
        call: u64,
        request: &SyncRequest,
    ) {
        let cut = self.has(&Fault::WorkerCut(node, id.clone()));
        let now = Millis(self.now);
        let answer = if cut {
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

    pub(super) fn answer_poll(&mut self, node: usize, id: &RunnerId, call: u64, epoch: Epoch) {
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

    /// Whether a node exchanges heartbeats with the others.
    fn is_connected(&self, node: usize) -> bool {
        !self.sims[node].dead && !self.has(&Fault::Pause(node)) && !self.has(&Fault::Cut(node))
    }

    /// What membership would tell each node.
    pub(super) fn beat(&mut self) {
        for node in 0..NODES {
            if self.is_connected(node) {
                self.sims[node].heard_at = self.now;
            }
        }
        for node in 0..NODES {
            if !self.sims[node].dead && !self.has(&Fault::Pause(node)) {
                self.beat_node(node);
            }
        }
    }

    fn beat_node(&mut self, node: usize) {
        let connected = self.is_connected(node);
        // As in `membership`: what counts is when it last heard others, also over a pause of its own.
        let trusted = self.now - self.sims[node].heard_at < UNCONFIRMED;
        self.give_event(node, Event::Trusted(trusted));
        if !connected {
            return;
        }
        let owners: Vec<(usize, Epoch)> = (0..NODES)
            .filter_map(|other| self.sims[other].pool.ownership().map(|owned| (other, owned.epoch)))
            .collect();
        let heard: Vec<(usize, Epoch)> = owners
            .into_iter()
            .filter(|(other, _)| *other != node && self.now - self.sims[*other].heard_at < SUSPECT)
            .collect();
        if let Some((_, epoch)) = heard.iter().max_by_key(|(_, epoch)| *epoch) {
            self.give_event(node, Event::PeerEpoch(*epoch));
        }
        let suspicious = self.has(&Fault::Suspicious(node));
        if self.sims[node].pool.is_idle() && (heard.is_empty() || suspicious) {
            self.give_event(node, Event::Claim);
        }
    }

    /// Kills a node.
    pub fn kill_node(&mut self, node: usize) {
        self.sims[node].dead = true;
        self.sims[node].inbox.clear();
        self.log.push(format!("{} node {node} killed", self.now));
    }

    /// Starts a killed node again, as another incarnation.
    pub fn restart_node(&mut self, node: usize) {
        let incarnation = self.sims[node].incarnation + 1;
        self.sims[node] = Sim::new(node, incarnation, &mut self.random);
        self.introduce(node);
        self.log.push(format!("{} node {node} started", self.now));
    }

    /// The node that owns the pool with the highest epoch, as entries would learn.
    pub fn owner(&self) -> Option<usize> {
        let owners = (0..NODES).filter(|node| self.is_connected(*node) || !self.sims[*node].dead);
        owners
            .filter_map(|node| self.sims[node].pool.ownership().map(|owned| (owned.epoch, node)))
            .filter(|(_, node)| self.now - self.sims[*node].heard_at < SUSPECT)
            .max()
            .map(|(_, node)| node)
    }
}
