//! The table of known processes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use libs::rand::SeedableRng;
use libs::rand::rngs::StdRng;
use libs::rand::seq::IndexedRandom;
use types::{
    Epoch, Gossip, Heartbeat, Liveness, Millis, NodeId, NodeName, PoolId, Role, rendezvous,
    stable_hash,
};

/// Up to this many peers all hear each other directly.
const DIRECT_PEERS: usize = 16;
/// Peers drawn for each round of heartbeats beyond that.
const FANOUT: usize = 3;
/// Whole states of other processes that one message passes on beyond that.
const RELAYED: usize = 2;
/// Signs of life of other processes that one message passes on beyond that.
const RELAYED_ALIVE: usize = 40;
/// Beyond that, a process that is only heard through others is suspected after this many times the
/// usual silence.
const SAMPLED_PATIENCE: u64 = 5;
/// Schedulers that each owner of a pool sends its heartbeats to directly, so that its death is
/// noticed as fast as in a small deployment.
const POOL_WATCHERS: usize = 2;
/// Silence after which a process is no longer counted among the known ones.
const FORGET_MS: Millis = Millis(600_000);

/// What the table needs to know of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembersSettings {
    /// Addresses of all processes, as configured. May contain the own address.
    pub seeds: Vec<SocketAddr>,
    /// Silence after which a peer is suspected.
    pub suspect_ms: Millis,
    /// Silence from the key-value service after which rules count as unconfirmed.
    pub unconfirmed_ms: Millis,
    /// Seed of the choice of peers.
    pub random_seed: u64,
}

/// What is known of one peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that heartbeat arrived.
    pub heard_at: Millis,
    /// Whether it is alive as far as known.
    pub alive: bool,
    /// Its highest counter, which may be newer than that of its heartbeat.
    pub sequence: u64,
    /// Checksum of its name and incarnation.
    node_hash: u32,
}

/// A change of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A peer is alive. `restarted` means that its name was known under another incarnation.
    Alive {
        /// Its name.
        name: NodeName,
        /// Its address.
        address: SocketAddr,
        /// Whether it is another incarnation than before.
        restarted: bool,
    },
    /// A peer has been silent for too long.
    Suspected {
        /// Its name.
        name: NodeName,
    },
    /// A peer has left in order.
    Left {
        /// Its name.
        name: NodeName,
    },
    /// A peer owns other pools than before.
    Owns {
        /// Its name.
        name: NodeName,
    },
}

/// The table of known processes, as one of them sees it.
pub struct Members {
    settings: MembersSettings,
    own: Heartbeat,
    peers: BTreeMap<NodeName, Peer>,
    /// Names of peers by the checksum that signs of life carry.
    by_hash: BTreeMap<u32, NodeName>,
    /// Addresses that count towards a majority, with the time they were last heard or configured.
    known: BTreeMap<SocketAddr, Millis>,
    /// When the rules were last confirmed by the key-value service, directly or through peers.
    confirmed_at: Option<Millis>,
    /// When the last round began.
    ticked_at: Option<Millis>,
    /// Nothing is trusted before this, because the own process was paused.
    distrust_until: Millis,
    random: StdRng,
    /// The schedulers for which `ranking` was computed.
    ranked_schedulers: BTreeSet<NodeName>,
    /// The first schedulers in the rendezvous order of each pool.
    ranking: BTreeMap<PoolId, Vec<NodeName>>,
}

impl Members {
    /// A table that knows only its own process and the configured addresses.
    pub fn new(settings: MembersSettings, own: Heartbeat, now: Millis) -> Self {
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
            ticked_at: None,
            distrust_until: Millis(0),
            random,
            ranked_schedulers: BTreeSet::new(),
            ranking: BTreeMap::new(),
        }
    }

    /// The own heartbeat, to change what it says.
    pub fn own_mut(&mut self) -> &mut Heartbeat {
        &mut self.own
    }

    /// The own heartbeat.
    pub fn own(&self) -> &Heartbeat {
        &self.own
    }

    /// Peers that are alive and not leaving.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.alive && !peer.heartbeat.leaving)
    }

    /// All peers that were heard lately, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Names of all schedulers that may own pools and are alive, with the own process if it is one.
    pub fn live_schedulers(&self) -> BTreeSet<NodeName> {
        let own = std::iter::once(&self.own).filter(|own| !own.leaving);
        let heartbeats = own.chain(self.alive().map(|peer| &peer.heartbeat));
        heartbeats
            .filter(|heartbeat| heartbeat.role == Role::Scheduler && heartbeat.takes_pools)
            .map(|heartbeat| heartbeat.node.name.clone())
            .collect()
    }

    /// The live owner of a pool with the highest epoch. The owner may be the own process.
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

    /// The highest epoch of a pool that any process was heard to hold.
    pub fn highest_epoch(&self, pool: &PoolId) -> Option<Epoch> {
        let heartbeats = self.peers.values().map(|peer| &peer.heartbeat);
        heartbeats
            .flat_map(|heartbeat| &heartbeat.owned)
            .filter(|owned| owned.pool == *pool)
            .map(|owned| owned.epoch)
            .max()
    }

    /// Whether more than half of all known processes, the own one included, are heard.
    pub fn hears_majority(&self) -> bool {
        let alive = 1 + self.peers.values().filter(|peer| peer.alive).count();
        let known = 1 + self.known.len();
        2 * alive > known
    }

    /// Notes that the key-value service confirmed the own rules version.
    pub fn confirm_rules(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether keys and rules may be trusted at this moment.
    ///
    /// True while the key-value service confirmed them recently. Without that, true only while most
    /// known processes are heard: then the service itself is likely down, and nobody can change rules.
    pub fn rules_trusted(&self, now: Millis) -> bool {
        let recently =
            self.confirmed_at.is_some_and(|at| now.since(at) < self.settings.unconfirmed_ms);
        recently || self.hears_majority()
    }

    /// Starts a round: suspects silent peers and returns the changes.
    pub fn tick(&mut self, now: Millis) -> Vec<Change> {
        let suspect_ms = self.settings.suspect_ms;
        self.notice_pause(now);
        let mut changes = Vec::new();
        let watched = self.watched_owners();
        let is_sampled = self.known.len() > DIRECT_PEERS;
        for (name, peer) in &mut self.peers {
            let is_direct = !is_sampled || watched.contains(name);
            let patience = if is_direct { 1 } else { SAMPLED_PATIENCE };
            if peer.alive && now.since(peer.heard_at) >= Millis(suspect_ms.0 * patience) {
                peer.alive = false;
                changes.push(Change::Suspected { name: name.clone() });
            }
        }
        self.peers.retain(|_, peer| now.since(peer.heard_at) < FORGET_MS);
        self.by_hash.retain(|_, name| self.peers.contains_key(name));
        self.known.retain(|_, heard_at| now.since(*heard_at) < FORGET_MS);
        changes
    }

    /// After a pause of the own process, messages from before the pause may still arrive: nothing is
    /// trusted until peers had the time to be heard anew.
    fn notice_pause(&mut self, now: Millis) {
        let suspect_ms = self.settings.suspect_ms;
        let paused = self.ticked_at.is_some_and(|at| now.since(at) >= suspect_ms);
        self.ticked_at = Some(now);
        if paused {
            self.confirmed_at = None;
            self.distrust_until = now + suspect_ms;
        }
    }

    /// The heartbeats to send in this round, by address.
    pub fn heartbeats(&mut self, now: Millis) -> Vec<(SocketAddr, Gossip)> {
        self.own.sequence += 1;
        let confirmed_at = self.confirmed_at.unwrap_or(Millis(0));
        self.own.freshness.confirmed_age_ms = match self.confirmed_at {
            Some(_) => now.since(confirmed_at),
            None => Millis(u64::MAX),
        };
        let targets = self.choose_targets();
        let relayed = self.relayed(now);
        let alive = self.relayed_alive();
        targets
            .into_iter()
            .map(|target| {
                let mut heartbeats = vec![self.own.clone()];
                heartbeats.extend(
                    relayed.iter().filter(|heartbeat| heartbeat.address != target).cloned(),
                );
                (target, Gossip { heartbeats, alive: alive.clone() })
            })
            .collect()
    }

    fn choose_targets(&mut self) -> Vec<SocketAddr> {
        // Leaving peers do not count any more, but still serve requests and need to know the owners.
        let leaving = self.peers.values().filter(|peer| peer.alive && peer.heartbeat.leaving);
        let leaving = leaving.map(|peer| peer.heartbeat.address);
        let addresses: BTreeSet<SocketAddr> = self.known.keys().copied().chain(leaving).collect();
        let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        if addresses.len() <= DIRECT_PEERS {
            return addresses;
        }
        let drawn: Vec<SocketAddr> =
            addresses.choose_multiple(&mut self.random, FANOUT).copied().collect();
        self.refresh_ranking();
        let own = self.own.node.name.clone();
        let pools: Vec<PoolId> = self.own.owned.iter().map(|owned| owned.pool.clone()).collect();
        let watchers: Vec<NodeName> =
            pools.iter().flat_map(|pool| self.watchers_of(pool, &own)).collect();
        let watchers = watchers.iter().filter_map(|name| self.peers.get(name));
        let addresses = watchers.map(|peer| peer.heartbeat.address);
        let targets: BTreeSet<SocketAddr> = drawn.into_iter().chain(addresses).collect();
        targets.into_iter().collect()
    }

    /// The schedulers that watch a pool's owner directly, and would take the pool over.
    fn watchers_of(&mut self, pool: &PoolId, owner: &NodeName) -> Vec<NodeName> {
        let ranked = self.ranking.entry(pool.clone()).or_insert_with(|| {
            let ranked = rendezvous(pool.as_str(), self.ranked_schedulers.iter());
            ranked.into_iter().take(POOL_WATCHERS + 1).cloned().collect()
        });
        ranked.iter().filter(|name| *name != owner).take(POOL_WATCHERS).cloned().collect()
    }

    /// Forgets the ranking of schedulers if their set has changed.
    fn refresh_ranking(&mut self) {
        let schedulers = self.live_schedulers();
        if schedulers != self.ranked_schedulers {
            self.ranked_schedulers = schedulers;
            self.ranking.clear();
        }
    }

    /// Owners of pools that this process watches directly.
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

    /// Heartbeats of others to pass on: none while everybody hears everybody directly.
    fn relayed(&mut self, now: Millis) -> Vec<Heartbeat> {
        if self.known.len() <= DIRECT_PEERS {
            return Vec::new();
        }
        let alive: Vec<&Peer> = self.peers.values().filter(|peer| peer.alive).collect();
        let drawn = alive.choose_multiple(&mut self.random, RELAYED);
        drawn.map(|peer| age_heartbeat(peer, now)).collect()
    }

    /// Signs of life of others to pass on: none while everybody hears everybody directly.
    fn relayed_alive(&mut self) -> Vec<Liveness> {
        if self.known.len() <= DIRECT_PEERS {
            return Vec::new();
        }
        let alive: Vec<&Peer> = self.peers.values().filter(|peer| peer.alive).collect();
        let drawn = alive.choose_multiple(&mut self.random, RELAYED_ALIVE);
        let liveness =
            |peer: &&Peer| Liveness { node_hash: peer.node_hash, sequence: peer.sequence };
        drawn.map(liveness).collect()
    }

    /// Takes what arrived in one message and returns the changes.
    pub fn receive(&mut self, gossip: Gossip, now: Millis) -> Vec<Change> {
        let heartbeats = gossip.heartbeats.into_iter();
        let mut changes: Vec<Change> =
            heartbeats.filter_map(|heartbeat| self.receive_one(heartbeat, now)).collect();
        changes
            .extend(gossip.alive.iter().filter_map(|liveness| self.receive_alive(liveness, now)));
        changes
    }

    fn receive_alive(&mut self, liveness: &Liveness, now: Millis) -> Option<Change> {
        let name = self.by_hash.get(&liveness.node_hash)?;
        let peer = self.peers.get_mut(name)?;
        if liveness.sequence <= peer.sequence {
            return None;
        }
        peer.sequence = liveness.sequence;
        peer.heard_at = now;
        let was_alive = std::mem::replace(&mut peer.alive, true);
        let address = peer.heartbeat.address;
        self.known.insert(address, now);
        (!was_alive).then(|| Change::Alive { name: name.clone(), address, restarted: false })
    }

    fn receive_one(&mut self, heartbeat: Heartbeat, now: Millis) -> Option<Change> {
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
        self.confirm_through(&heartbeat, now);
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
            Peer { heartbeat, heard_at: now, alive: true, sequence, node_hash },
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

    /// A peer with the same rules passes on its confirmation.
    fn confirm_through(&mut self, heartbeat: &Heartbeat, now: Millis) {
        let age_ms = heartbeat.freshness.confirmed_age_ms;
        let is_same = heartbeat.rules_version == self.own.rules_version;
        if is_same && age_ms <= now {
            self.confirm_rules(now - age_ms);
        }
    }
}

/// Checksum of a process's name and incarnation.
fn hash_node(node: &NodeId) -> u32 {
    let hash = stable_hash(&[node.name.as_str().as_bytes(), &node.incarnation.to_le_bytes()]);
    (hash >> 32) as u32
}

/// Whether two heartbeats name the same pools with the same epochs.
fn owns_same(old: &Heartbeat, new: &Heartbeat) -> bool {
    let pools = |heartbeat: &Heartbeat| -> Vec<_> {
        heartbeat.owned.iter().map(|owned| (owned.pool.clone(), owned.epoch)).collect()
    };
    pools(old) == pools(new)
}

/// Whether a heartbeat replaces another one of the same name.
fn is_newer(new: &Heartbeat, old: &Heartbeat) -> bool {
    if new.node.incarnation != old.node.incarnation {
        // Incarnations start with the wall time, so that a later run of a process is larger.
        return new.node.incarnation > old.node.incarnation;
    }
    new.sequence > old.sequence
}

/// A peer's heartbeat with its confirmation aged by the time since it was heard.
fn age_heartbeat(peer: &Peer, now: Millis) -> Heartbeat {
    let mut heartbeat = peer.heartbeat.clone();
    let age_ms = &mut heartbeat.freshness.confirmed_age_ms;
    *age_ms = *age_ms + now.since(peer.heard_at);
    heartbeat
}
