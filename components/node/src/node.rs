//! Membership and rules of one process.

use std::collections::BTreeSet;
use std::sync::Arc;

use config::{Rules, Settings};
use libs::log::{error, info, warn};
use libs::rand::{self, Rng};
use membership::{Change, Members, MembersSettings};
use net::Mesh;
use timeline::{EventKind, Timeline};
use types::{
    Envelope, Freshness, Gossip, Heartbeat, Message, Millis, NodeId, NodeName, Ownership, Role,
    RulesCopy, RulesVersion, rendezvous,
};

use crate::rules_watch::{RulesUpdate, RulesWatch};

/// Schedulers that watch the rules in the key-value service.
const WATCHERS: usize = 2;
/// Shortest time between two asks for the same rules version.
const ASK_AGAIN_MS: Millis = Millis(200);

/// Something that changed and concerns the rest of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeChange {
    /// New rules are in force.
    Rules(Arc<Rules>),
    /// The set of live processes or pool owners may be another one.
    Members,
    /// Whether rules and leases are trusted has changed.
    Trust(bool),
}

/// Membership and rules of one process, driven by its main thread.
pub struct Node {
    members: Members,
    rules: Arc<Rules>,
    mesh: Mesh,
    timeline: Timeline,
    watch: RulesWatch,
    trusted: bool,
    asked: Option<(RulesVersion, Millis)>,
    refused: Option<RulesVersion>,
}

impl Node {
    /// A node that knows no peers and has no rules.
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
            takes_pools: false,
            rules_version: RulesVersion(0),
            freshness: Freshness::default(),
            owned: Vec::new(),
        };
        let member_settings = MembersSettings {
            seeds: settings.process.peers.clone(),
            suspect_ms: settings.timing.suspect_ms,
            unconfirmed_ms: settings.timing.unconfirmed_ms,
            random_seed: rand::rng().random(),
        };
        Self {
            members: Members::new(member_settings, own, now),
            rules: Arc::new(Rules::default()),
            mesh,
            timeline,
            watch,
            trusted: true,
            asked: None,
            refused: None,
        }
    }

    /// The table of processes.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The rules in force. Version 0 means that there are none yet.
    pub fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }

    /// Whether keys, rules and leases may be trusted.
    pub fn trusted(&self) -> bool {
        self.trusted
    }

    /// Says which pools this process owns.
    pub fn set_owned(&mut self, owned: Vec<Ownership>) {
        self.members.own_mut().owned = owned;
    }

    /// Says that this process may own pools from now on.
    pub fn set_accepts_pools(&mut self) {
        self.members.own_mut().takes_pools = true;
    }

    /// Says that this process is shutting down.
    pub fn set_leaving(&mut self) {
        self.members.own_mut().leaving = true;
    }

    /// Does a round of heartbeats.
    pub fn tick(&mut self, now: Millis) -> Vec<NodeChange> {
        let changes = self.members.tick(now);
        let mut told = self.note_changes(changes);
        self.send_heartbeats(now);
        let watches = self.watchers().contains(&self.members.own().node.name);
        self.watch.set_active(watches);
        told.extend(self.update_trust(now));
        told
    }

    /// Sends the own state to peers now.
    pub fn send_heartbeats(&mut self, now: Millis) {
        for (address, gossip) in self.members.heartbeats(now) {
            self.mesh.send(address, Message::Heartbeat(gossip));
        }
    }

    fn watchers(&self) -> BTreeSet<NodeName> {
        let schedulers = self.members.live_schedulers();
        rendezvous("rules", schedulers.iter()).into_iter().take(WATCHERS).cloned().collect()
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
            warn!("rules are unconfirmed: neither the key-value service nor most peers are heard");
            self.timeline.record(EventKind::RulesUnconfirmed, "", "");
        }
        Some(NodeChange::Trust(trusted))
    }

    /// Takes a message. Returns it if it is not about membership or rules.
    pub fn receive(
        &mut self,
        now: Millis,
        envelope: Envelope,
    ) -> (Vec<NodeChange>, Option<Envelope>) {
        let reply_to = envelope.reply_to;
        match envelope.message {
            Message::Heartbeat(gossip) => (self.take_gossip(now, gossip), None),
            Message::RulesAsk(known) => {
                if self.rules.version > known {
                    let copy =
                        RulesCopy { version: self.rules.version, text: self.rules.text.clone() };
                    self.mesh.send(reply_to, Message::Rules(copy));
                }
                (Vec::new(), None)
            }
            Message::Rules(copy) => (self.take_rules(copy).into_iter().collect(), None),
            message => (Vec::new(), Some(Envelope { message, ..envelope })),
        }
    }

    fn take_gossip(&mut self, now: Millis, gossip: Gossip) -> Vec<NodeChange> {
        let newest = gossip.heartbeats.iter().max_by_key(|heartbeat| heartbeat.rules_version);
        let newer = newest.map(|heartbeat| (heartbeat.rules_version, heartbeat.address));
        let changes = self.members.receive(gossip, now);
        if let Some((version, address)) = newer.filter(|(version, _)| *version > self.rules.version)
        {
            let asked_lately = self
                .asked
                .is_some_and(|(asked, at)| asked == version && now.since(at) < ASK_AGAIN_MS);
            if !asked_lately && self.refused != Some(version) {
                self.asked = Some((version, now));
                self.mesh.send(address, Message::RulesAsk(self.rules.version));
            }
        }
        self.note_changes(changes)
    }

    fn note_changes(&mut self, changes: Vec<Change>) -> Vec<NodeChange> {
        let told = if changes.is_empty() { Vec::new() } else { vec![NodeChange::Members] };
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
        told
    }

    /// Takes what the watch of the key-value service found out.
    pub fn handle_rules_update(&mut self, now: Millis, news: RulesUpdate) -> Option<NodeChange> {
        match news {
            RulesUpdate::Confirmed(version) => {
                if version == self.rules.version || self.refused == Some(version) {
                    self.members.confirm_rules(now);
                }
                None
            }
            RulesUpdate::Found(copy) => {
                let version = copy.version;
                let change = self.take_rules(copy);
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

    /// Puts rules in force if they are newer than the present ones.
    fn take_rules(&mut self, copy: RulesCopy) -> Option<NodeChange> {
        if copy.version <= self.rules.version || self.refused == Some(copy.version) {
            return None;
        }
        match Rules::parse(copy.version, &copy.text) {
            Ok(rules) => {
                self.rules = Arc::new(rules);
                self.members.own_mut().rules_version = copy.version;
                self.watch.set_known(copy.version);
                self.timeline.record(EventKind::RulesInForce, &copy.version.to_string(), "");
                info!("rules of version {} are in force", copy.version);
                Some(NodeChange::Rules(self.rules.clone()))
            }
            Err(problems) => {
                // 'carobsill apply' checks before it writes, so somebody wrote past it.
                error!("rules of version {} are refused: {}", copy.version, problems[0]);
                self.refused = Some(copy.version);
                self.watch.set_known(copy.version);
                None
            }
        }
    }
}
