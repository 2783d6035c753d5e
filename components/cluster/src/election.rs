//! Leader election: the leader is the process whose lease holds the leader key in the store.

use eventlog::event;
use serde::{Deserialize, Serialize};
use types::Millis;

use crate::codec::{decode, encode};
use crate::keys;
use crate::leader::Leader;
use crate::node::Node;
use crate::peers::{LeaderInfo, Peer};
use crate::ports::{Commit, StoreError, Transaction};

/// A peer with more than this percentage of the own CPU share is preferred as leader.
const MUCH_LARGER_PERCENT: u32 = 150;
/// Time for which smaller processes leave the election to larger ones, which may start up to 300 ms
/// later and need several store calls to be elected.
const LARGER_PEER_DELAY_MS: Millis = Millis(1_000);
/// Time for which a process without rules leaves the election to those that have some: a leader
/// starts nothing without them. Reading them takes one call if the store answers.
const NO_RULES_DELAY_MS: Millis = Millis(1_000);
/// Time for which a process on a slow machine leaves the election to others.
const SLOW_MACHINE_DELAY_MS: Millis = Millis(1_000);
/// Time for which a process in cooldown leaves the election to all others, which stand within a
/// second. The leases on workers outlast it, so that no work is lost if this process is the only one.
const COOLDOWN_DELAY_MS: Millis = Millis(1_500);
/// Time without an answer from the store after which peers are contacted, to learn the leader.
const CONTACT_PEERS_AFTER_MS: Millis = Millis(600);

/// Revision of the leader key while it does not exist.
const NO_LEADER: u64 = 0;

/// The last epoch, and the largest CPU share of any process that has led so far.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct EpochRecord {
    epoch: u64,
    max_cpu_milli: u32,
}

impl Node {
    /// Reads the leader from the store, or stands for election if there is none.
    pub(crate) async fn find_leader(&self) {
        match self.store_result(self.ports.store.get(keys::LEADER).await) {
            Ok(Some(item)) => match decode::<LeaderInfo>(&item.value) {
                Ok(leader)
                    if self.is_previous_incarnation(&leader) && !self.stopping.is_cancelled() =>
                {
                    event!("leader.previous_incarnation", "epoch" => leader.epoch,
                        "incarnation" => leader.incarnation);
                    self.campaign(item.revision).await;
                }
                Ok(leader) => {
                    // Messages to peers need the secret; the next round retries after an error.
                    self.ensure_secret().await.ok();
                    self.record_leader(leader);
                }
                Err(error) => event!("leader.decode_failed", "error" => error.to_string()),
            },
            Ok(None) if self.stopping.is_cancelled() => {}
            Ok(None) => self.campaign(NO_LEADER).await,
            Err(_recorded) => {
                if clock::now().since(self.store_answered_ms.get()) > CONTACT_PEERS_AFTER_MS {
                    self.contact_peers();
                }
            }
        }
    }

    /// Whether a process with much more CPU is live or has led before, and the time reserved for it
    /// to be elected has not passed.
    fn defers_to_larger_peer(&self, max_cpu_milli: u32, leaderless_ms: Millis) -> bool {
        let larger_exists = self.is_much_larger(max_cpu_milli) || self.larger_peer().is_some();
        leaderless_ms < LARGER_PEER_DELAY_MS && larger_exists
    }

    /// Whether this process has no rules, and the time reserved for others has not passed.
    fn defers_without_rules(&self, leaderless_ms: Millis) -> bool {
        leaderless_ms < NO_RULES_DELAY_MS && self.rules.borrow().rules.is_none()
    }

    /// Whether the machine seems to be slower than usual now, and the time reserved for others has
    /// not passed. A machine that has just become slow may not be known to be slow yet.
    fn defers_while_slow(&self, leaderless_ms: Millis) -> bool {
        if leaderless_ms >= SLOW_MACHINE_DELAY_MS {
            return false;
        }
        self.measure_speed();
        self.speed.borrow().seems_slow()
    }

    /// Whether this process is in cooldown, and the time reserved for others has not passed.
    fn defers_in_cooldown(&self, leaderless_ms: Millis) -> bool {
        leaderless_ms < COOLDOWN_DELAY_MS && self.cooling_down()
    }

    /// Time since this process first saw that there is no leader.
    fn leaderless_ms(&self) -> Millis {
        let now = clock::now();
        let since = self.leaderless_since_ms.get().unwrap_or(now);
        self.leaderless_since_ms.set(Some(since));
        now.since(since)
    }

    /// A live peer that has much more CPU than this process and could lead.
    pub(crate) fn larger_peer(&self) -> Option<Peer> {
        let peers = self.peers.borrow();
        let mut candidates = self.live_states(&peers).filter(|state| state.could_lead());
        candidates
            .find(|state| self.is_much_larger(state.peer.cpu_milli))
            .map(|state| state.peer.clone())
    }

    fn is_much_larger(&self, cpu_milli: u32) -> bool {
        cpu_milli * 100 > self.settings.cpu_milli * MUCH_LARGER_PERCENT
    }

    fn record_leader(&self, leader: LeaderInfo) {
        self.leaderless_since_ms.set(None);
        let known = self.leader.borrow().as_ref().map(|known| known.epoch);
        if known.is_none_or(|known| known < leader.epoch) {
            event!("leader.found", "epoch" => leader.epoch, "name" => leader.peer.name.as_str(),
                "known" => known);
            *self.leader.borrow_mut() = Some(leader);
        }
    }

    /// Whether the leader is a previous incarnation of this process, which has ended: its address
    /// now belongs to this process, so there is no need to wait for its lease to expire.
    fn is_previous_incarnation(&self, leader: &LeaderInfo) -> bool {
        leader.peer.address == self.settings.peer_address
            && leader.peer.name == self.settings.name
            && leader.incarnation != self.incarnation
    }

    /// Stands for election, on condition that the leader key has this revision.
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
                    event!("leader.epoch_decode_failed", "error" => error.to_string());
                    return Ok(());
                }
            },
        };
        let known = self.leader.borrow().as_ref().map_or(0, |leader| leader.epoch);
        let leaderless_ms = self.leaderless_ms();
        if self.defers_to_larger_peer(last.max_cpu_milli, leaderless_ms)
            || self.defers_without_rules(leaderless_ms)
            || self.defers_while_slow(leaderless_ms)
            || self.defers_in_cooldown(leaderless_ms)
        {
            return Ok(());
        }
        let info = LeaderInfo {
            epoch: last.epoch.max(known) + 1,
            peer: self.own_peer(),
            incarnation: self.incarnation,
        };
        let record = EpochRecord {
            epoch: info.epoch,
            max_cpu_milli: last.max_cpu_milli.max(self.settings.cpu_milli),
        };
        let (Ok(value), Ok(epoch)) = (encode(&info), encode(&record)) else { return Ok(()) };
        let sent_ms = clock::now();
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
        if self.stopping.is_cancelled() {
            return self.leave_election(info.epoch, lease).await;
        }
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
            // The stop came during the call, and has found no term to end.
            Some(_) if self.stopping.is_cancelled() => {
                return self.leave_election(info.epoch, lease).await;
            }
            Some(revision) => {
                event!("leader.elected", "epoch" => info.epoch, "name" => info.peer.name.as_str(),
                    "leaderless_ms" => leaderless_ms.0, "in_cooldown" => self.cooling_down());
                self.leaderless_since_ms.set(None);
                *self.leader.borrow_mut() = Some(info.clone());
                let leader = Leader::new(self, info.epoch, revision, lease, sent_ms);
                self.start_term(leader);
            }
            None => {
                // The lease expires if this call fails.
                self.store_result(store.end_lease(lease).await).ok();
            }
        }
        Ok(())
    }

    /// Ends the lease of a candidate that stops, so that another process can be elected at once.
    async fn leave_election(&self, epoch: u64, lease: u64) -> Result<(), StoreError> {
        event!("leader.election_left", "epoch" => epoch, "why" => "shutting down");
        // The lease expires if this call fails.
        self.store_result(self.ports.store.end_lease(lease).await)
    }

    /// Records for the next election that a larger process exists, so that small ones leave it to those
    /// that are as large.
    ///
    /// Load pattern: hundreds of processes, of which one in eight is large. Most know few of their
    /// peers, so that mostly a small one would be elected, again and again.
    pub(crate) async fn record_larger_process(&self, leader: &Leader, cpu_milli: u32) {
        if let Err(error) = self.try_record_larger_process(leader, cpu_milli).await {
            event!("leader.larger_process_unrecorded", "error" => error.to_string());
        }
    }

    async fn try_record_larger_process(
        &self,
        leader: &Leader,
        cpu_milli: u32,
    ) -> Result<(), StoreError> {
        let store = &self.ports.store;
        let Some(item) = self.store_result(store.get(keys::EPOCH).await)? else { return Ok(()) };
        let Ok(mut record) = decode::<EpochRecord>(&item.value) else { return Ok(()) };
        record.max_cpu_milli = record.max_cpu_milli.max(cpu_milli);
        let Ok(value) = encode(&record) else { return Ok(()) };
        let transaction = Transaction {
            expected: vec![
                (keys::LEADER.to_owned(), leader.revision),
                (keys::EPOCH.to_owned(), item.revision),
            ],
            puts: vec![(keys::EPOCH.to_owned(), value, 0)],
            removes: Vec::new(),
        };
        self.store_result(store.commit(&transaction).await).map(drop)
    }

    /// Reads the cluster's secret, or creates it if there is none. Returns `false` after an attempt
    /// to create it: the next call reads the stored one.
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
        // Not used yet: another process may have created the secret first.
        self.store_result(self.ports.store.commit(&transaction).await)?;
        Ok(false)
    }
}
