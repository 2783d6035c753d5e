//! The work of the leader: load what is stored, then keep the cell and the world in step.

use std::cell::{Cell as StdCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use cell::{Cell, JobRecord, Progress, RepeatBudget, RosterRow};
use clock::CancellationToken;
use eventlog::event;
use libs::tokio;
use tokio::sync::Notify;
use types::{JobId, Millis, WorkerId};

use crate::codec::decode;
use crate::keys;
use crate::node::{Node, PEER_TIMEOUT_MS};
use crate::ports::{Item, StoreError};

/// Renewals of the leader's lease within its length.
const RENEWALS_PER_LEASE: u64 = 4;
/// The lease counts as held until this long before its end, for the way of orders.
const LEASE_MARGIN_MS: Millis = Millis(150);
/// Longest time to store what is left at the end of a term. The next leader reads the rest from
/// the workers, which keep ends until they are acknowledged.
const HAND_OVER_MS: Millis = Millis(300);
/// Pause after a failed attempt to load.
const LOAD_RETRY_MS: Millis = Millis(100);
/// Period of looking for a stronger process.
const YIELD_PERIOD_MS: Millis = Millis(1_000);
/// Period of the cell's clock.
const TICK_MS: Millis = Millis(100);
/// Shortest time between two rounds of placement, so that one round serves many events.
const ROUND_MS: Millis = Millis(4);

/// A term of leadership.
pub(crate) struct Leader {
    pub(crate) cell: RefCell<Cell>,
    epoch: u64,
    /// Revision of the leader's key, the condition of every write of this term.
    pub(crate) revision: u64,
    lease: u64,
    /// When the last call that was answered with a valid lease was sent.
    confirmed_ms: StdCell<Millis>,
    /// The stored state is loaded.
    pub(crate) loaded: StdCell<bool>,
    /// Revision after which intake and the list of workers are watched.
    pub(crate) intake_after: StdCell<u64>,
    pub(crate) workers_after: StdCell<u64>,
    pub(crate) batch_revision: StdCell<u64>,
    /// Revision of the stored roster; none if it is not known.
    pub(crate) roster_revision: StdCell<Option<u64>>,
    /// Looks without an answer that may be sent again.
    pub(crate) hedge_budget: RefCell<RepeatBudget>,
    /// Workers with a loop of looks.
    pub(crate) polled_workers: RefCell<BTreeSet<WorkerId>>,
    pub(crate) changed: Notify,
    pub(crate) store_requested: Notify,
    /// Held while changes are stored, so that batches follow one another.
    pub(crate) storing: tokio::sync::Mutex<()>,
    pub(crate) token: CancellationToken,
}

impl Leader {
    pub(crate) fn new(
        node: &Node,
        epoch: u64,
        revision: u64,
        lease: u64,
        confirmed_ms: Millis,
    ) -> Self {
        let mut cell = Cell::new(node.settings.cell.clone(), epoch, unix_start_ms());
        if let Some(rules) = node.rules() {
            cell.set_policy(rules.policy);
        }
        Self {
            cell: RefCell::new(cell),
            epoch,
            revision,
            lease,
            confirmed_ms: StdCell::new(confirmed_ms),
            loaded: StdCell::new(false),
            intake_after: StdCell::new(0),
            workers_after: StdCell::new(0),
            batch_revision: StdCell::new(0),
            roster_revision: StdCell::new(None),
            hedge_budget: RefCell::default(),
            polled_workers: RefCell::default(),
            changed: Notify::new(),
            store_requested: Notify::new(),
            storing: tokio::sync::Mutex::new(()),
            token: CancellationToken::new(),
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }
}

impl Node {
    pub(crate) fn take_lead(&self, leader: Leader) {
        let leader = Rc::new(leader);
        *self.leading.borrow_mut() = Some(leader.clone());
        let Some(node) = self.this.upgrade() else { return };
        let run = async move {
            let token = leader.token.clone();
            tokio::select! {
                () = node.lead(leader) => {}
                () = token.cancelled() => {}
            }
        };
        tokio::task::spawn_local(run);
    }

    /// The term in progress, once its state is loaded.
    pub(crate) fn loaded_term(&self) -> Option<Rc<Leader>> {
        self.leading.borrow().clone().filter(|leader| leader.loaded.get())
    }

    /// Ends the term without telling the store.
    pub(crate) fn drop_lead(&self, why: &str) {
        if let Some(leader) = self.leading.borrow_mut().take() {
            event!("leader.dropped", "epoch" => leader.epoch, "why" => why);
            leader.token.cancel();
        }
    }

    /// Ends the term and lets another process take the lead at once.
    pub(crate) async fn step_down(&self, why: &str) {
        let Some(leader) = self.leading.borrow().clone() else { return };
        if leader.loaded.get() {
            leader.cell.borrow_mut().set_may_start(false);
            // No more looks, so that the changes come to an end.
            leader.token.cancel();
            let stored = self.store_remaining(&leader);
            if tokio::time::timeout(HAND_OVER_MS.to_duration(), stored).await.is_err() {
                event!("leader.rest_unstored", "epoch" => leader.epoch);
            }
        }
        self.drop_lead(why);
        // The lease ends by itself if this call is lost.
        self.store_result(self.ports.store.end_lease(leader.lease).await).ok();
    }

    async fn lead(self: Rc<Self>, leader: Rc<Leader>) {
        let renewing = self.clone().keep_lease(leader.clone());
        let working = async {
            let began_ms = clock::now();
            while let Err(error) = self.load(&leader).await {
                event!("leader.load_failed", "error" => error.to_string());
                tokio::time::sleep(LOAD_RETRY_MS.to_duration()).await;
            }
            event!("leader.loaded", "epoch" => leader.epoch,
                "took_ms" => clock::now().since(began_ms).0);
            leader.loaded.set(true);
            tokio::join!(
                self.clone().watch_intake(leader.clone()),
                self.clone().watch_workers(leader.clone()),
                self.clone().store_loop(leader.clone()),
                self.clone().tick_cell(leader.clone()),
                self.clone().place_tasks(leader.clone()),
            );
        };
        tokio::join!(renewing, working, self.clone().yield_to_stronger());
    }

    async fn keep_lease(self: Rc<Self>, leader: Rc<Leader>) {
        let period = Millis(self.settings.leader_lease_ms.0 / RENEWALS_PER_LEASE);
        loop {
            tokio::time::sleep(period.to_duration()).await;
            let asked_ms = clock::now();
            match self.store_result(self.ports.store.renew(leader.lease).await) {
                Ok(()) => leader.confirmed_ms.set(asked_ms),
                Err(StoreError::LeaseGone) => {
                    self.drop_lead("the lease has ended");
                    return;
                }
                Err(_recorded) => {}
            }
        }
    }

    /// Whether the lease in the store has surely not ended.
    pub(crate) fn holds_lease(&self, leader: &Leader) -> bool {
        let held_until = leader.confirmed_ms.get() + self.settings.leader_lease_ms;
        clock::now() + LEASE_MARGIN_MS < held_until
    }

    /// Whether this process may still order starts.
    ///
    /// Within its lease no other can lead. After it only while the others, too, have had no
    /// answer from the store since the lease could have ended: then nobody was elected.
    fn may_start(&self, leader: &Leader) -> bool {
        if self.holds_lease(leader) {
            return true;
        }
        let now = clock::now();
        let held_until = leader.confirmed_ms.get() + self.settings.leader_lease_ms;
        let peers = self.peers.borrow();
        let mut heard = peers.values().filter(|state| now.since(state.heard_ms) < PEER_TIMEOUT_MS);
        let known = peers.len();
        let recent = heard.clone().count();
        let none_reached_store = heard.all(|state| state.store_ms < held_until);
        recent * 2 >= known && recent > 0 && none_reached_store
    }

    async fn load(&self, leader: &Leader) -> Result<(), StoreError> {
        let store = &self.ports.store;
        let (intake, progress, batch, roster, workers) = tokio::join!(
            store.range(keys::INTAKE),
            store.range(keys::PROGRESS),
            store.get(keys::BATCH),
            store.get(keys::ROSTER),
            self.ports.directory.list(),
        );
        let (intake, intake_after) = self.store_result(intake)?;
        let (progress, _) = self.store_result(progress)?;
        let batch = self.store_result(batch)?;
        let roster = self.store_result(roster)?;
        let (workers, workers_after) = self.store_result(workers)?;
        let now = clock::now();
        let progress: BTreeMap<JobId, Progress> = progress
            .iter()
            .filter_map(read::<Progress>)
            .map(|progress| (progress.id.clone(), progress))
            .collect();
        let (cancels, jobs): (Vec<Item>, Vec<Item>) =
            intake.into_iter().partition(|item| item.key.starts_with(keys::CANCELS));
        let mut records: Vec<JobRecord> = jobs.iter().filter_map(read).collect();
        records.sort_by_key(|record| record.accepted_unix_ms);
        let mut cell = leader.cell.borrow_mut();
        for record in records {
            let stored = progress.get(&record.id);
            cell.restore(record, stored, now);
        }
        for item in &cancels {
            if let Some(id) = cancelled_id(&item.key) {
                cell.cancelled(&id, now);
            }
        }
        for report in workers {
            cell.worker_listed(report, now);
        }
        let former = roster.as_ref().and_then(read::<Vec<RosterRow>>);
        for row in former.unwrap_or_default() {
            cell.take_roster_row(&row, now);
        }
        leader.roster_revision.set(Some(roster.map_or(0, |item| item.revision)));
        leader.batch_revision.set(batch.map_or(0, |item| item.revision));
        leader.intake_after.set(intake_after);
        leader.workers_after.set(workers_after);
        Ok(())
    }

    /// Hands the lead over when a much stronger process is heard.
    async fn yield_to_stronger(self: Rc<Self>) {
        loop {
            tokio::time::sleep(YIELD_PERIOD_MS.to_duration()).await;
            let Some(peer) = self.stronger_peer() else { continue };
            event!("leader.yields", "to" => peer.name.as_str(), "strength" => peer.strength,
                "own" => self.settings.strength);
            // The term's tasks end with it, this one among them.
            let node = self.clone();
            tokio::task::spawn_local(async move {
                node.step_down("a stronger process is there").await;
            });
            return;
        }
    }

    async fn tick_cell(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            {
                let mut cell = leader.cell.borrow_mut();
                cell.set_unix_start(unix_start_ms());
                cell.tick(clock::now());
                let mut callers: Vec<_> =
                    self.live_peers().into_iter().map(|peer| peer.name).collect();
                callers.push(self.settings.name.clone());
                cell.set_callers(&callers);
                let (free, whole) = cell.room();
                self.metrics.gauge("free_cpu_milli", free);
                self.metrics.gauge("whole_cpu_milli", whole);
                self.metrics.gauge("jobs_known", cell.jobs_known());
            }
            self.start_polling(&leader);
            leader.changed.notify_one();
            tokio::time::sleep(TICK_MS.to_duration()).await;
        }
    }

    async fn place_tasks(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            leader.changed.notified().await;
            let began_ms = clock::now();
            let actions = {
                let may_start = self.may_start(&leader);
                let mut cell = leader.cell.borrow_mut();
                cell.set_may_start(may_start);
                cell.schedule(clock::now());
                cell.take_actions()
            };
            for action in actions {
                self.execute(&leader, action);
            }
            leader.store_requested.notify_one();
            // A long round is followed by a long pause, so that answers are taken in between.
            let took_ms = clock::now().since(began_ms);
            self.metrics.time_ms("placement_round_ms", took_ms.0);
            tokio::time::sleep(ROUND_MS.max(took_ms).to_duration()).await;
        }
    }
}

/// Time of day at the start of the process clock.
fn unix_start_ms() -> u64 {
    eventlog::unix_ms().saturating_sub(clock::now().0)
}

/// Decodes a stored item; one that cannot be read is logged and left out.
pub(crate) fn read<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    decode(&item.value)
        .inspect_err(|error| {
            event!("store.unreadable", "key" => item.key.as_str(), "error" => error.to_string());
        })
        .ok()
}

/// The job that a cancellation's key names.
pub(crate) fn cancelled_id(key: &str) -> Option<JobId> {
    key.strip_prefix(keys::CANCELS)?.parse().ok()
}
