//! Membership table of the known processes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use libs::rand::SeedableRng;
use libs::rand::rngs::StdRng;
use libs::rand::seq::IndexedRandom;
use types::{
    Epoch, Gossip, Heartbeat, Liveness, Millis, NodeId, NodeName, PoolId, Role, rendezvous,
    stable_hash,
};

/// Up to this number of peers, every process sends heartbeats to every other one.
const MAX_DIRECT_PEERS: usize = 16;
/// Above `MAX_DIRECT_PEERS`: random peers that receive a heartbeat in each round.
const FANOUT: usize = 3;
/// Above `MAX_DIRECT_PEERS`: heartbeats of other processes relayed in one message.
const RELAYED_HEARTBEATS: usize = 2;
/// Above `MAX_DIRECT_PEERS`: liveness entries of other processes relayed in one message.
const RELAYED_LIVENESS: usize = 40;
/// Above `MAX_DIRECT_PEERS`: factor on the suspicion timeout of processes that are only heard
/// indirectly.
const INDIRECT_TIMEOUT_FACTOR: u64 = 5;
/// Number of schedulers to which each pool owner sends its heartbeats directly, so that its failure
/// is detected as fast as in a small deployment.
const POOL_WATCHERS: usize = 2;
/// Silence after which a process is removed from the table and no longer counts for the majority.
const REMOVE_AFTER_MS: Millis = Millis(600_000);

/// Settings of the membership table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Configured addresses of all processes. May contain the own address.
    pub seeds: Vec<SocketAddr>,
    /// Silence after which a peer is suspected.
    pub suspect_ms: Millis,
    /// Time without confirmation by the key-value service after which rules count as unconfirmed.
    pub unconfirmed_ms: Millis,
    /// Seed for the random choice of peers.
    pub random_seed: u64,
}

/// State of a known peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Newest heartbeat of the peer.
    pub heartbeat: Heartbeat,
    /// When the peer's newest heartbeat or liveness entry arrived.
    pub last_heard_at: Millis,
    /// Whether the peer is considered alive.
    pub alive: bool,
    /// Highest sequence number of the peer, which may be newer than that of `heartbeat`.
    pub sequence: u64,
    /// Hash of the peer's name and incarnation.
    node_hash: u32,
}

/// A change to the membership table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A peer is new, restarted, or alive again after a suspicion.
    Alive {
        /// Name of the peer.
        name: NodeName,
        /// Address of the peer.
        address: SocketAddr,
        /// Whether the peer was known before with another incarnation.
        restarted: bool,
    },
    /// A peer has been silent for longer than the suspicion timeout.
    Suspected {
        /// Name of the peer.
        name: NodeName,
    },
    /// A peer is shutting down gracefully.
    Left {
        /// Name of the peer.
        name: NodeName,
    },
    /// The set of pools or epochs that a peer owns has changed.
    Owns {
        /// Name of the peer.
        name: NodeName,
    },
}

/// The membership table of one process.
pub struct MembershipTable {
    settings: MembershipSettings,
    own: Heartbeat,
    peers: BTreeMap<NodeName, Peer>,
    /// Names of peers by the hash in liveness entries.
    by_hash: BTreeMap<u32, NodeName>,
    /// Addresses that count towards the majority, with the time when they were last heard from, or
    /// initially configured.
    known: BTreeMap<SocketAddr, Millis>,
    /// When the rules were last confirmed by the key-value service, directly or through peers.
    confirmed_at: Option<Millis>,
    /// Start of the last round.
    last_tick_at: Option<Millis>,
    /// End of the time after a pause of the own process in which nothing is to be trusted. Set, but
    /// not evaluated yet.
    distrust_until: Millis,
    random: StdRng,
    /// Schedulers for which `ranking` was computed.
    ranked_schedulers: BTreeSet<NodeName>,
    /// Front of the rendezvous order of the schedulers, by pool.
    ranking: BTreeMap<PoolId, Vec<NodeName>>,
}

impl MembershipTable {
    /// Creates a table with only the own process and the configured addresses.
    pub fn new(settings: MembershipSettings, own: Heartbeat, now: Millis) -> Self {
        let known = settings
            .seeds
            .iter()
            .filter(|seed| **seed != own.address)
            .map(|seed| (*seed, now))
            .collect();
        let random = StdRng::seed_from_u64(settings.random_seed);
        Self {
            settings,
            own,
            peers: BTreeMap::new(),
            by_hash: BTreeMap::new(),
            known,
            confirmed_at: None,
            last_tick_at: None,
            distrust_until: Millis(0),
            random,
            ranked_schedulers: BTreeSet::new(),
            ranking: BTreeMap::new(),
        }
    }

    /// The own heartbeat, for updates.
    pub fn own_heartbeat_mut(&mut self) -> &mut Heartbeat {
        &mut self.own
    }

    /// The own heartbeat.
    pub fn own_heartbeat(&self) -> &Heartbeat {
        &self.own
    }

    /// Peers that are alive and not leaving.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.alive && !peer.heartbeat.leaving)
    }

    /// All peers in the table, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Names of all live schedulers that may own pools, including the own process if it is one.
    pub fn live_schedulers(&self) -> BTreeSet<NodeName> {
        let own = std::iter::once(&self.own).filter(|own| !own.leaving);
        let heartbeats = own.chain(self.alive().map(|peer| &peer.heartbeat));
        heartbeats
            .filter(|heartbeat| heartbeat.role == Role::Scheduler && heartbeat.accepts_pools)
            .map(|heartbeat| heartbeat.node.name.clone())
            .collect()
    }

    /// The live owner of a pool, by highest epoch. May be the own process.
    pub fn owner_of(&self, pool: &PoolId) -> Option<(&Heartbeat, Epoch)> {
        let alive = self.peers.values().filter(|peer| peer.alive).map(|peer| &peer.heartbeat);
        alive
            .chain(std::iter::once(&self.own))
            .filter_map(|heartbeat| {
                let owned = heartbeat.owned.iter().find(|owned| owned.pool == *pool)?;
                Some((heartbeat, owned.epoch))
            })
            .max_by_key(|(_, epoch)| *epoch)
    }

    /// The highest epoch under which any peer has reported to own a pool.
    pub fn highest_epoch(&self, pool: &PoolId) -> Option<Epoch> {
        let heartbeats = self.peers.values().map(|peer| &peer.heartbeat);
        heartbeats
            .flat_map(|heartbeat| &heartbeat.owned)
            .filter(|owned| owned.pool == *pool)
            .map(|owned| owned.epoch)
            .max()
    }

    /// Whether more than half of all known processes, including the own one, are alive.
    pub fn has_majority(&self) -> bool {
        let alive = 1 + self.peers.values().filter(|peer| peer.alive).count();
        let known = 1 + self.known.len();
        2 * alive > known
    }

    /// Records that the key-value service confirmed the own rules version.
    pub fn confirm_rules(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether keys and rules may be trusted.
    ///
    /// True if the key-value service confirmed them recently. Otherwise true only if a majority of
    /// the known processes is alive: then the service itself is probably down, and rules cannot
    /// change.
    pub fn rules_trusted(&self, now: Millis) -> bool {
        let recently =
            self.confirmed_at.is_some_and(|at| now.since(at) < self.settings.unconfirmed_ms);
        recently || self.has_majority()
    }

    /// Starts a round: marks silent peers as suspected and returns the changes.
    pub fn tick(&mut self, now: Millis) -> Vec<Change> {
        let suspect_ms = self.settings.suspect_ms;
        self.detect_pause(now);
        let mut changes = Vec::new();
        let watched = self.watched_owners();
        let is_sampled = self.known.len() > MAX_DIRECT_PEERS;
        for (name, peer) in &mut self.peers {
            let is_direct = !is_sampled || watched.contains(name);
            let timeout_factor = if is_direct { 1 } else { INDIRECT_TIMEOUT_FACTOR };
            if peer.alive && now.since(peer.last_heard_at) >= Millis(suspect_ms.0 * timeout_factor)
            {
                peer.alive = false;
                changes.push(Change::Suspected { name: name.clone() });
            }
        }
        self.peers.retain(|_, peer| now.since(peer.last_heard_at) < REMOVE_AFTER_MS);
        self.by_hash.retain(|_, name| self.peers.contains_key(name));
        self.known.retain(|_, last_heard_at| now.since(*last_heard_at) < REMOVE_AFTER_MS);
        changes
    }

    /// Detects a pause of the own process and discards the rules confirmation: messages sent before
    /// the pause may still arrive, so nothing is to be trusted until peers had time to send new
    /// heartbeats.
    fn detect_pause(&mut self, now: Millis) {
        let suspect_ms = self.settings.suspect_ms;
        let paused = self.last_tick_at.is_some_and(|at| now.since(at) >= suspect_ms);
        self.last_tick_at = Some(now);
        if paused {
            self.confirmed_at = None;
            self.distrust_until = now + suspect_ms;
        }
    }

    /// Returns the messages to send in this round, with their target addresses.
    pub fn heartbeats(&mut self, now: Millis) -> Vec<(SocketAddr, Gossip)> {
        self.own.sequence += 1;
        let confirmed_at = self.confirmed_at.unwrap_or(Millis(0));
        self.own.freshness.confirmed_age_ms = match self.confirmed_at {
            Some(_) => now.since(confirmed_at),
            None => Millis(u64::MAX),
        };
        let targets = self.choose_targets();
        let relayed_heartbeats = self.relayed_heartbeats(now);
        let alive = self.relayed_liveness();
        targets
            .into_iter()
            .map(|target| {
                let mut heartbeats = vec![self.own.clone()];
                heartbeats.extend(
                    relayed_heartbeats
                        .iter()
                        .filter(|heartbeat| heartbeat.address != target)
                        .cloned(),
                );
                (target, Gossip { heartbeats, alive: alive.clone() })
            })
            .collect()
    }

    fn choose_targets(&mut self) -> Vec<SocketAddr> {
        // Leaving peers do not count towards the majority, but still serve requests and need to
        // know the pool owners.
        let leaving = self.peers.values().filter(|peer| peer.alive && peer.heartbeat.leaving);
        let leaving = leaving.map(|peer| peer.heartbeat.address);
        let addresses: BTreeSet<SocketAddr> = self.known.keys().copied().chain(leaving).collect();
        let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        if addresses.len() <= MAX_DIRECT_PEERS {
            return addresses;
        }
        let sampled: Vec<SocketAddr> =
            addresses.choose_multiple(&mut self.random, FANOUT).copied().collect();
        self.refresh_ranking();
        let own = self.own.node.name.clone();
        let pools: Vec<PoolId> = self.own.owned.iter().map(|owned| owned.pool.clone()).collect();
        let watchers: Vec<NodeName> =
            pools.iter().flat_map(|pool| self.watchers_of(pool, &own)).collect();
        let watchers = watchers.iter().filter_map(|name| self.peers.get(name));
        let addresses = watchers.map(|peer| peer.heartbeat.address);
        let targets: BTreeSet<SocketAddr> = sampled.into_iter().chain(addresses).collect();
        targets.into_iter().collect()
    }

    /// The schedulers that watch a pool's owner directly and would take over the pool.
    fn watchers_of(&mut self, pool: &PoolId, owner: &NodeName) -> Vec<NodeName> {
        let ranked = self.ranking.entry(pool.clone()).or_insert_with(|| {
            let ranked = rendezvous(pool.as_str(), self.ranked_schedulers.iter());
            ranked.into_iter().take(POOL_WATCHERS + 1).cloned().collect()
        });
        ranked.iter().filter(|name| *name != owner).take(POOL_WATCHERS).cloned().collect()
    }

    /// Clears the ranking of schedulers if their set has changed.
    fn refresh_ranking(&mut self) {
        let schedulers = self.live_schedulers();
        if schedulers != self.ranked_schedulers {
            self.ranked_schedulers = schedulers;
            self.ranking.clear();
        }
    }

    /// Pool owners that this process watches directly.
    fn watched_owners(&mut self) -> BTreeSet<NodeName> {
        self.refresh_ranking();
        let alive = self.peers.values().filter(|peer| peer.alive).map(|peer| &peer.heartbeat);
        let owned: Vec<(PoolId, NodeName)> = alive
            .flat_map(|owner| {
                owner.owned.iter().map(|owned| (owned.pool.clone(), owner.node.name.clone()))
            })
            .collect();
        let own = self.own.node.name.clone();
        let watches =
            |(pool, owner): &(PoolId, NodeName)| self.watchers_of(pool, owner).contains(&own);
        owned.into_iter().filter(watches).map(|(_, owner)| owner).collect()
    }

    /// Heartbeats of other processes to relay. None if all processes are direct peers.
    fn relayed_heartbeats(&mut self, now: Millis) -> Vec<Heartbeat> {
        if self.known.len() <= MAX_DIRECT_PEERS {
            return Vec::new();
        }
        let alive: Vec<&Peer> = self.peers.values().filter(|peer| peer.alive).collect();
        let sampled = alive.choose_multiple(&mut self.random, RELAYED_HEARTBEATS);
        sampled.map(|peer| age_heartbeat(peer, now)).collect()
    }

    /// Liveness entries of other processes to relay. None if all processes are direct peers.
    fn relayed_liveness(&mut self) -> Vec<Liveness> {
        if self.known.len() <= MAX_DIRECT_PEERS {
            return Vec::new();
        }
        let alive: Vec<&Peer> = self.peers.values().filter(|peer| peer.alive).collect();
        let sampled = alive.choose_multiple(&mut self.random, RELAYED_LIVENESS);
        let liveness =
            |peer: &&Peer| Liveness { node_hash: peer.node_hash, sequence: peer.sequence };
        sampled.map(liveness).collect()
    }

    /// Processes one received message and returns the changes.
    pub fn receive(&mut self, gossip: Gossip, now: Millis) -> Vec<Change> {
        let heartbeats = gossip.heartbeats.into_iter();
        let mut changes: Vec<Change> =
            heartbeats.filter_map(|heartbeat| self.receive_heartbeat(heartbeat, now)).collect();
        changes.extend(
            gossip.alive.iter().filter_map(|liveness| self.receive_liveness(liveness, now)),
        );
        changes
    }

    fn receive_liveness(&mut self, liveness: &Liveness, now: Millis) -> Option<Change> {
        let name = self.by_hash.get(&liveness.node_hash)?;
        let peer = self.peers.get_mut(name)?;
        if liveness.sequence <= peer.sequence {
            return None;
        }
        peer.sequence = liveness.sequence;
        peer.last_heard_at = now;
        let was_alive = std::mem::replace(&mut peer.alive, true);
        let address = peer.heartbeat.address;
        self.known.insert(address, now);
        (!was_alive).then(|| Change::Alive { name: name.clone(), address, restarted: false })
    }

    fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Millis) -> Option<Change> {
        if heartbeat.node.name == self.own.node.name {
            return None;
        }
        let name = heartbeat.node.name.clone();
        let address = heartbeat.address;
        let before = self.peers.get(&name).cloned();
        let old = before.as_ref().map(|peer| &peer.heartbeat);
        if old.is_some_and(|old| !is_newer(&heartbeat, old)) {
            return None;
        }
        self.confirm_rules_via(&heartbeat, now);
        if let Some(old) = old.filter(|old| old.address != address) {
            self.known.remove(&old.address);
        }
        let restarted = old.is_some_and(|old| old.node != heartbeat.node);
        let was_leaving = old.is_some_and(|old| old.leaving) && !restarted;
        let was_alive = before.as_ref().is_some_and(|peer| peer.alive) && !restarted;
        let leaving = heartbeat.leaving;
        let sequence = heartbeat
            .sequence
            .max(before.as_ref().filter(|_| !restarted).map_or(0, |peer| peer.sequence));
        let known_hash = before.as_ref().filter(|_| !restarted).map(|peer| peer.node_hash);
        let node_hash = known_hash.unwrap_or_else(|| hash_node(&heartbeat.node));
        self.by_hash.insert(node_hash, name.clone());
        let owns_same = old.is_some_and(|old| owns_same(old, &heartbeat));
        self.peers.insert(
            name.clone(),
            Peer { heartbeat, last_heard_at: now, alive: true, sequence, node_hash },
        );
        if leaving {
            self.known.remove(&address);
            if !was_leaving {
                return Some(Change::Left { name });
            }
            return (!owns_same).then_some(Change::Owns { name });
        }
        self.known.insert(address, now);
        if !was_alive {
            return Some(Change::Alive { name, address, restarted });
        }
        (!owns_same).then_some(Change::Owns { name })
    }

    /// Takes over the rules confirmation of a peer that has the same rules version.
    fn confirm_rules_via(&mut self, heartbeat: &Heartbeat, now: Millis) {
        let age_ms = heartbeat.freshness.confirmed_age_ms;
        let has_same_rules = heartbeat.rules_version == self.own.rules_version;
        if has_same_rules && age_ms <= now {
            self.confirm_rules(now - age_ms);
        }
    }
}

/// Hash of a process's name and incarnation.
fn hash_node(node: &NodeId) -> u32 {
    let hash = stable_hash(&[node.name.as_str().as_bytes(), &node.incarnation.to_le_bytes()]);
    (hash >> 32) as u32
}

/// Whether two heartbeats report the same pools with the same epochs.
fn owns_same(old: &Heartbeat, new: &Heartbeat) -> bool {
    let pools = |heartbeat: &Heartbeat| -> Vec<_> {
        heartbeat.owned.iter().map(|owned| (owned.pool.clone(), owned.epoch)).collect()
    };
    pools(old) == pools(new)
}

/// Whether a heartbeat supersedes another one from a process of the same name.
fn is_newer(new: &Heartbeat, old: &Heartbeat) -> bool {
    if new.node.incarnation != old.node.incarnation {
        // Incarnations begin with the wall-clock time, so later runs of a process have larger ones.
        return new.node.incarnation > old.node.incarnation;
    }
    new.sequence > old.sequence
}

/// A peer's heartbeat, with the time since it arrived added to the age of its confirmation.
fn age_heartbeat(peer: &Peer, now: Millis) -> Heartbeat {
    let mut heartbeat = peer.heartbeat.clone();
    let age_ms = &mut heartbeat.freshness.confirmed_age_ms;
    *age_ms = *age_ms + now.since(peer.last_heard_at);
    heartbeat
}
