//! Who leads: the process whose lease holds the leader's key in the store.

use eventlog::event;
use serde::{Deserialize, Serialize};
use types::Millis;

use crate::codec::{decode, encode};
use crate::keys;
use crate::leader::Leader;
use crate::node::Node;
use crate::peers::{LeaderInfo, Peer};
use crate::ports::{Commit, StoreError, Transaction};

/// A process with this part of another's strength leaves the lead to that one.
const MUCH_STRONGER_PERCENT: u32 = 150;
/// Time that weak processes leave to strong ones to take the lead: they may start later by
/// 300 ms, and an election takes some calls.
const STRONGER_FIRST_MS: Millis = Millis(1_000);
/// Without an answer of the store for this long, other processes are asked for the leader.
const ASK_PEERS_MS: Millis = Millis(600);

/// Revision of the leader's key while it does not exist.
const NO_LEADER: u64 = 0;

/// The last epoch, and the strongest process that ever led.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct EpochRecord {
    epoch: u64,
    strongest: u32,
}

impl Node {
    /// Reads the leader from the store, or takes the lead if there is none.
    pub(crate) async fn find_leader(&self) {
        match self.store_result(self.ports.store.get(keys::LEADER).await) {
            Ok(Some(item)) => match decode::<LeaderInfo>(&item.value) {
                Ok(leader) if self.is_former_life(&leader) && !self.stopping.is_cancelled() => {
                    event!("leader.former_life", "epoch" => leader.epoch, "boot" => leader.boot);
                    self.campaign(item.revision).await;
                }
                Ok(leader) => {
                    // Without the secret no message can be sent; the next round tries again.
                    self.ensure_secret().await.ok();
                    self.note_leader(leader);
                }
                Err(error) => event!("leader.unreadable", "error" => error.to_string()),
            },
            Ok(None) if self.stopping.is_cancelled() || self.rests() => {}
            Ok(None) => self.campaign(NO_LEADER).await,
            Err(_recorded) => {
                if clock::now().since(self.store_ms.get()) > ASK_PEERS_MS {
                    self.greet_peers().await;
                }
            }
        }
    }

    /// Whether a much stronger process is or was there, that should lead and has had no time yet.
    fn leaves_lead_to_stronger(&self, strongest: u32) -> bool {
        let now = clock::now();
        let since = self.leaderless_ms.get().unwrap_or(now);
        self.leaderless_ms.set(Some(since));
        let stronger = self.is_much_stronger(strongest) || self.stronger_peer().is_some();
        now.since(since) < STRONGER_FIRST_MS && stronger
    }

    /// A process heard lately that is much stronger than this one and would lead.
    pub(crate) fn stronger_peer(&self) -> Option<Peer> {
        let peers = self.peers.borrow();
        let mut candidates = self.live_states(&peers).filter(|state| !state.rests);
        candidates
            .find(|state| self.is_much_stronger(state.peer.strength))
            .map(|state| state.peer.clone())
    }

    fn is_much_stronger(&self, strength: u32) -> bool {
        strength * 100 > self.settings.strength * MUCH_STRONGER_PERCENT
    }

    fn note_leader(&self, leader: LeaderInfo) {
        self.leaderless_ms.set(None);
        let known = self.leader.borrow().as_ref().map(|known| known.epoch);
        if known.is_none_or(|known| known < leader.epoch) {
            event!("leader.found", "epoch" => leader.epoch, "name" => leader.peer.name.as_str(),
                "known" => known);
            *self.leader.borrow_mut() = Some(leader);
        }
    }

    /// Whether the leader is a former life of this process. That one is surely over, since its
    /// address is ours now, so its lease need not be waited for.
    fn is_former_life(&self, leader: &LeaderInfo) -> bool {
        leader.peer.address == self.settings.peer_address
            && leader.peer.name == self.settings.name
            && leader.boot != self.boot
    }

    /// Tries to take the lead while the leader's key has this revision.
    async fn campaign(&self, leader_revision: u64) {
        if let Err(error) = self.try_campaign(leader_revision).await {
            event!("leader.campaign_failed", "error" => error.to_string());
        }
    }

    async fn try_campaign(&self, leader_revision: u64) -> Result<(), StoreError> {
        let store = &self.ports.store;
        if !self.ensure_secret().await? {
            return Ok(());
        }
        let item = self.store_result(store.get(keys::EPOCH).await)?;
        let (last, epoch_revision) = match &item {
            None => (EpochRecord::default(), 0),
            Some(item) => match decode::<EpochRecord>(&item.value) {
                Ok(record) => (record, item.revision),
                Err(error) => {
                    event!("leader.epoch_unreadable", "error" => error.to_string());
                    return Ok(());
                }
            },
        };
        let known = self.leader.borrow().as_ref().map_or(0, |leader| leader.epoch);
        if self.leaves_lead_to_stronger(last.strongest) {
            return Ok(());
        }
        let info =
            LeaderInfo { epoch: last.epoch.max(known) + 1, peer: self.me(), boot: self.boot };
        let record = EpochRecord {
            epoch: info.epoch,
            strongest: last.strongest.max(self.settings.strength),
        };
        let (Ok(value), Ok(epoch)) = (encode(&info), encode(&record)) else { return Ok(()) };
        let asked_ms = clock::now();
        let lease = self.store_result(store.lease(self.settings.leader_lease_ms).await)?;
        let transaction = Transaction {
            expected: vec![
                (keys::LEADER.to_owned(), leader_revision),
                (keys::EPOCH.to_owned(), epoch_revision),
            ],
            puts: vec![
                (keys::LEADER.to_owned(), value.clone(), lease),
                (keys::EPOCH.to_owned(), epoch, 0),
            ],
            removes: Vec::new(),
        };
        let revision = match self.store_result(store.commit(&transaction).await) {
            Ok(Commit::Done(revision)) => Some(revision),
            Ok(Commit::Conflict) => None,
            Err(StoreError::Unanswered) => self
                .store_result(store.get(keys::LEADER).await)?
                .filter(|item| item.value == value)
                .map(|item| item.revision),
            Err(error) => return Err(error),
        };
        match revision {
            Some(revision) => {
                event!("leader.elected", "epoch" => info.epoch, "name" => info.peer.name.as_str());
                self.leaderless_ms.set(None);
                *self.leader.borrow_mut() = Some(info.clone());
                let leader = Leader::new(self, info.epoch, revision, lease, asked_ms);
                self.take_lead(leader);
            }
            None => {
                // The lease ends by itself if this call is lost.
                self.store_result(store.end_lease(lease).await).ok();
            }
        }
        Ok(())
    }

    /// Reads the cluster's secret, or makes it. False if another process is making it.
    pub(crate) async fn ensure_secret(&self) -> Result<bool, StoreError> {
        if self.secret.borrow().is_some() {
            return Ok(true);
        }
        if let Some(item) = self.store_result(self.ports.store.get(keys::SECRET).await)? {
            *self.secret.borrow_mut() = Some(String::from_utf8_lossy(&item.value).into_owned());
            return Ok(true);
        }
        let secret = format!("{:032x}", libs::rand::random::<u128>());
        let transaction = Transaction {
            expected: vec![(keys::SECRET.to_owned(), 0)],
            puts: vec![(keys::SECRET.to_owned(), secret.into_bytes(), 0)],
            removes: Vec::new(),
        };
        // Read again in any case: another process may have been first.
        self.store_result(self.ports.store.commit(&transaction).await)?;
        Ok(false)
    }
}
