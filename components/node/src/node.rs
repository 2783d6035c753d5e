//! Membership and rules of a process.

use std::collections::BTreeSet;
use std::sync::Arc;

use config::{Rules, Settings};
use libs::log::{error, info, warn};
use libs::rand::{self, Rng};
use membership::{Change, MembershipSettings, MembershipTable};
use net::Mesh;
use timeline::{EventKind, Timeline};
use types::{
    Envelope, Gossip, Heartbeat, Message, Millis, NodeId, NodeName, Ownership, Role,
    RulesFreshness, RulesVersion, VersionedRules, rendezvous,
};

use crate::rules_watch::{RulesUpdate, RulesWatch};

/// Number of schedulers that watch the rules in the key-value service.
const RULES_WATCHERS: usize = 2;
/// Shortest time between two requests to peers for the same rules version.
const RULES_REQUEST_INTERVAL_MS: Millis = Millis(200);

/// A change that the rest of the process must react to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeChange {
    /// New rules are in force.
    Rules(Arc<Rules>),
    /// The set of live processes or of pool owners may have changed.
    Members,
    /// Rules and leases have become trusted or untrusted.
    Trust(bool),
}

/// Membership and rules of a process, driven by its main thread.
pub struct Node {
    members: MembershipTable,
    rules: Arc<Rules>,
    mesh: Mesh,
    timeline: Timeline,
    watch: RulesWatch,
    trusted: bool,
    /// Rules version that was last requested from a peer, and when.
    requested: Option<(RulesVersion, Millis)>,
    /// Rules version that was last found to be invalid.
    rejected: Option<RulesVersion>,
}

impl Node {
    /// Creates a node that knows no peers and has no rules.
    pub fn new(
        identity: NodeId,
        role: Role,
        settings: &Settings,
        mesh: Mesh,
        timeline: Timeline,
        watch: RulesWatch,
        now: Millis,
    ) -> Self {
        let own = Heartbeat {
            node: identity,
            address: mesh.address(),
            role,
            sequence: 0,
            leaving: false,
            accepts_pools: false,
            rules_version: RulesVersion(0),
            freshness: RulesFreshness::default(),
            owned: Vec::new(),
        };
        let member_settings = MembershipSettings {
            seeds: settings.process.peers.clone(),
            suspect_ms: settings.timing.suspect_ms,
            unconfirmed_ms: settings.timing.unconfirmed_ms,
            random_seed: rand::rng().random(),
        };
        Self {
            members: MembershipTable::new(member_settings, own, now),
            rules: Arc::new(Rules::default()),
            mesh,
            timeline,
            watch,
            trusted: true,
            requested: None,
            rejected: None,
        }
    }

    /// Returns the table of known processes.
    pub fn members(&self) -> &MembershipTable {
        &self.members
    }

    /// Returns the rules in force. Version 0 means that none have been received yet.
    pub fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }

    /// Returns whether keys, rules and leases may be trusted.
    pub fn trusted(&self) -> bool {
        self.trusted
    }

    /// Sets the pools that this process owns, which heartbeats announce.
    pub fn set_owned(&mut self, owned: Vec<Ownership>) {
        self.members.own_heartbeat_mut().owned = owned;
    }

    /// Announces in heartbeats that this process can own pools from now on.
    pub fn set_accepts_pools(&mut self) {
        self.members.own_heartbeat_mut().accepts_pools = true;
    }

    /// Announces in heartbeats that this process is shutting down.
    pub fn set_leaving(&mut self) {
        self.members.own_heartbeat_mut().leaving = true;
    }

    /// Checks for failed peers, sends a round of heartbeats and updates the trust in the rules.
    pub fn tick(&mut self, now: Millis) -> Vec<NodeChange> {
        let changes = self.members.tick(now);
        let mut node_changes = self.handle_member_changes(changes);
        self.send_heartbeats(now);
        let is_watcher = self.watchers().contains(&self.members.own_heartbeat().node.name);
        self.watch.set_active(is_watcher);
        node_changes.extend(self.update_trust(now));
        node_changes
    }

    /// Sends heartbeats to peers immediately.
    pub fn send_heartbeats(&mut self, now: Millis) {
        for (address, gossip) in self.members.heartbeats(now) {
            self.mesh.send(address, Message::Heartbeat(gossip));
        }
    }

    fn watchers(&self) -> BTreeSet<NodeName> {
        let schedulers = self.members.live_schedulers();
        rendezvous("rules", schedulers.iter()).into_iter().take(RULES_WATCHERS).cloned().collect()
    }

    fn update_trust(&mut self, now: Millis) -> Option<NodeChange> {
        let trusted = self.members.rules_trusted(now);
        if trusted == self.trusted {
            return None;
        }
        self.trusted = trusted;
        if trusted {
            info!("rules are confirmed again");
        } else {
            warn!(
                "rules are unconfirmed: contact neither with the key-value service nor with most peers"
            );
            self.timeline.record(EventKind::RulesUnconfirmed, "", "");
        }
        Some(NodeChange::Trust(trusted))
    }

    /// Handles a message from a peer. Returns it if it does not concern membership or rules.
    pub fn receive(
        &mut self,
        now: Millis,
        envelope: Envelope,
    ) -> (Vec<NodeChange>, Option<Envelope>) {
        let reply_to = envelope.reply_to;
        match envelope.message {
            Message::Heartbeat(gossip) => (self.handle_gossip(now, gossip), None),
            Message::RulesRequest(known) => {
                if self.rules.version > known {
                    let copy = VersionedRules {
                        version: self.rules.version,
                        text: self.rules.text.clone(),
                    };
                    self.mesh.send(reply_to, Message::Rules(copy));
                }
                (Vec::new(), None)
            }
            Message::Rules(copy) => (self.apply_rules(copy).into_iter().collect(), None),
            message => (Vec::new(), Some(Envelope { message, ..envelope })),
        }
    }

    fn handle_gossip(&mut self, now: Millis, gossip: Gossip) -> Vec<NodeChange> {
        let newest = gossip.heartbeats.iter().max_by_key(|heartbeat| heartbeat.rules_version);
        let newer = newest.map(|heartbeat| (heartbeat.rules_version, heartbeat.address));
        let changes = self.members.receive(gossip, now);
        if let Some((version, address)) = newer.filter(|(version, _)| *version > self.rules.version)
        {
            let is_requested = self.requested.is_some_and(|(requested, at)| {
                requested == version && now.since(at) < RULES_REQUEST_INTERVAL_MS
            });
            if !is_requested && self.rejected != Some(version) {
                self.requested = Some((version, now));
                self.mesh.send(address, Message::RulesRequest(self.rules.version));
            }
        }
        self.handle_member_changes(changes)
    }

    fn handle_member_changes(&mut self, changes: Vec<Change>) -> Vec<NodeChange> {
        let node_changes = if changes.is_empty() { Vec::new() } else { vec![NodeChange::Members] };
        for change in changes {
            match change {
                Change::Alive { name, address, restarted } => {
                    if restarted {
                        self.mesh.reconnect(address);
                    }
                    self.timeline.record(EventKind::PeerAlive, name.as_str(), &address.to_string());
                }
                Change::Suspected { name } => {
                    self.timeline.record(EventKind::PeerSuspected, name.as_str(), "")
                }
                Change::Owns { .. } => {}
                Change::Left { name } => {
                    self.timeline.record(EventKind::PeerSuspected, name.as_str(), "left")
                }
            }
        }
        node_changes
    }

    /// Handles a result of the rules watch.
    pub fn handle_rules_update(&mut self, now: Millis, update: RulesUpdate) -> Option<NodeChange> {
        match update {
            RulesUpdate::Confirmed(version) => {
                if version == self.rules.version || self.rejected == Some(version) {
                    self.members.confirm_rules(now);
                }
                None
            }
            RulesUpdate::Found(copy) => {
                let version = copy.version;
                let change = self.apply_rules(copy);
                if version == self.rules.version {
                    self.members.confirm_rules(now);
                }
                if change.is_some() {
                    self.send_heartbeats(now);
                }
                change
            }
        }
    }

    /// Applies rules if they are valid and newer than those in force.
    fn apply_rules(&mut self, copy: VersionedRules) -> Option<NodeChange> {
        if copy.version <= self.rules.version || self.rejected == Some(copy.version) {
            return None;
        }
        match Rules::parse(copy.version, &copy.text) {
            Ok(rules) => {
                self.rules = Arc::new(rules);
                self.members.own_heartbeat_mut().rules_version = copy.version;
                self.watch.set_known(copy.version);
                self.timeline.record(EventKind::RulesInForce, &copy.version.to_string(), "");
                info!("rules version {} is in force", copy.version);
                Some(NodeChange::Rules(self.rules.clone()))
            }
            Err(problems) => {
                // 'carobsill apply' validates the rules before it writes them, so these were written in
                // another way.
                error!("rules version {} is invalid and ignored: {}", copy.version, problems[0]);
                self.rejected = Some(copy.version);
                self.watch.set_known(copy.version);
                None
            }
        }
    }
}
