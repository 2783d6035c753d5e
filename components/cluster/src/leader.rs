//! The leader: loads the stored state, then keeps the cell, the store and the workers synchronized.

use std::cell::{Cell as StdCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

use cell::{
    Cell, JobRecord, Progress, RetryBudget, RosterRow, StartPermission, TermStart, WorkerAccount,
};
use clock::CancellationToken;
use eventlog::event;
use job_memory::Grants;
use libs::futures_util::FutureExt;
use libs::tokio;
use tokio::sync::Notify;
use types::{JobId, Millis, WorkerId};

use crate::capacity::CapacityForecast;
use crate::codec::decode;
use crate::handed_advice::StoredAdvice;
use crate::intake::{Notice, Source, cancellation_age};
use crate::keys;
use crate::load::LoadMeter;
use crate::node::{LEADER_COOLDOWN_MS, Node};
use crate::ports::{Item, StoreError};
use crate::tenure::{self, PeersView};

/// Number of lease renewals per lease duration.
const RENEWALS_PER_LEASE: u64 = 4;
/// Longest time to store pending changes at the end of a term. The next leader reads the remaining
/// ones from the workers, which keep ended runs until they are acknowledged.
const HAND_OVER_TIMEOUT_MS: Millis = Millis(300);
/// The same on a slow machine, where storing takes longer than the next leader needs to read the
/// changes from the workers. The last roster takes one call.
const SLOW_HAND_OVER_TIMEOUT_MS: Millis = Millis(120);
/// Delay after a failed attempt to load the stored state.
const LOAD_RETRY_DELAY_MS: Millis = Millis(100);
/// Time after which a leader that cannot load the stored state yields. A state of 1 MB takes 1.1 s on
/// a link of 10 Mbit/s.
const MAX_LOAD_MS: Millis = Millis(4_000);
/// Period of checking for a peer with much more CPU. A small leader yields before it has read the list of
/// workers, which fills its link for seconds in a large fleet.
const PEER_CHECK_PERIOD_MS: Millis = Millis(250);
/// Period of [`Cell::tick`].
const TICK_MS: Millis = Millis(100);
/// Interval of the log lines on the leader's load.
const LOAD_LOG_PERIOD_MS: Millis = Millis(1_000);
/// Pause after a placement round, in durations of that round: a quarter of the leader's time is
/// enough for rounds.
const PAUSE_FACTOR: u64 = 3;
/// Longest pause between two placement rounds.
const MAX_PAUSE_MS: Millis = Millis(50);
/// Processor time for the first poll of a worker with its new connection, on half a core.
const FIRST_POLL_COST_MS: f64 = 1.0;
/// Shortest time between two placement rounds, so that one round serves many events.
const MIN_ROUND_MS: Millis = Millis(4);

/// State of this process during one term as leader.
pub(crate) struct Leader {
    pub(crate) cell: RefCell<Cell>,
    epoch: u64,
    /// Revision of the leader key, on which every write of this term is conditional.
    pub(crate) revision: u64,
    lease: u64,
    /// Send time of the last call that created or renewed the lease.
    confirmed_ms: StdCell<Millis>,
    /// Whether the stored state has been loaded.
    pub(crate) loaded: StdCell<bool>,
    /// When it has been loaded.
    loaded_ms: StdCell<Millis>,
    /// When the election was known to be won. Former leaders have written nothing since.
    elected_ms: Millis,
    /// Notices that came before the stored state was loaded.
    pub(crate) early_notices: RefCell<Vec<Notice>>,
    /// Revision after which the intake is watched.
    pub(crate) intake_after: StdCell<u64>,
    /// Up to when the changes of the intake are known: last answer of its watch, or send time of the
    /// last list.
    pub(crate) intake_heard_ms: StdCell<Millis>,
    /// Notified when all jobs are to be read again, since changes of the intake were missed.
    pub(crate) jobs_missed: Notify,
    /// Revision after which the list of workers is watched.
    pub(crate) workers_after: StdCell<u64>,
    /// Revision after which the requests to evacuate domains are watched.
    pub(crate) evacuations_after: StdCell<u64>,
    /// Send time of the last call that read these requests.
    pub(crate) evacuations_read_ms: StdCell<Millis>,
    /// Starts are held, since these requests could not be read.
    pub(crate) evacuations_are_overdue: StdCell<bool>,
    /// Starts are held, since the intake could not be read.
    pub(crate) intake_is_overdue: StdCell<bool>,
    pub(crate) batch_revision: StdCell<u64>,
    /// Revision of the stored roster; `None` if unknown.
    pub(crate) roster_revision: StdCell<Option<u64>>,
    /// What is stored of the advisor's answers.
    pub(crate) stored_advice: StoredAdvice,
    /// The election of this leader is stored.
    pub(crate) term_start_is_stored: StdCell<bool>,
    /// Limits hedged polls.
    pub(crate) hedge_budget: RefCell<RetryBudget>,
    /// Workers with a running polling loop.
    pub(crate) polled_workers: RefCell<BTreeSet<WorkerId>>,
    /// Notified when ends that a worker reported are stored.
    pub(crate) ends_stored: RefCell<BTreeMap<WorkerId, Rc<Notify>>>,
    /// Memory granted to jobs of which this leader may not know yet.
    pub(crate) grants: RefCell<Grants>,
    load: RefCell<LoadMeter>,
    /// Forecast of capacity.
    pub(crate) capacity: RefCell<CapacityForecast>,
    pub(crate) changed: Notify,
    pub(crate) store_requested: Notify,
    /// Held while a batch is stored, because each batch is conditional on the previous one.
    pub(crate) storing: tokio::sync::Mutex<()>,
    /// Held while jobs are removed and while all are listed: a job in a list that was read before its
    /// removal would count as new.
    pub(crate) removing: tokio::sync::Mutex<()>,
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
        cell.set_memory_limit(node.jobs_limit_bytes());
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
            loaded_ms: StdCell::default(),
            elected_ms: clock::now(),
            early_notices: RefCell::default(),
            intake_after: StdCell::new(0),
            intake_heard_ms: StdCell::default(),
            jobs_missed: Notify::new(),
            workers_after: StdCell::new(0),
            evacuations_after: StdCell::new(0),
            evacuations_read_ms: StdCell::default(),
            evacuations_are_overdue: StdCell::default(),
            intake_is_overdue: StdCell::default(),
            batch_revision: StdCell::new(0),
            roster_revision: StdCell::new(None),
            stored_advice: StoredAdvice::default(),
            term_start_is_stored: StdCell::default(),
            hedge_budget: RefCell::default(),
            polled_workers: RefCell::default(),
            ends_stored: RefCell::default(),
            grants: RefCell::default(),
            load: RefCell::new(LoadMeter::new(clock::now())),
            capacity: RefCell::default(),
            changed: Notify::new(),
            store_requested: Notify::new(),
            storing: tokio::sync::Mutex::new(()),
            removing: tokio::sync::Mutex::new(()),
            token: CancellationToken::new(),
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }
}

impl Node {
    pub(crate) fn start_term(&self, leader: Leader) {
        let leader = Rc::new(leader);
        *self.leadership.borrow_mut() = Some(leader.clone());
        let Some(node) = self.this.upgrade() else { return };
        self.spawn_in_term(&leader, node.run_term(leader.clone()));
    }

    /// Runs a task until it or the term ends. A task that panics ends the term: the process would go on
    /// to answer as the leader, and do nothing.
    pub(crate) fn spawn_in_term(&self, leader: &Leader, task: impl Future<Output = ()> + 'static) {
        let Some(node) = self.this.upgrade() else { return };
        let (token, epoch) = (leader.token.clone(), leader.epoch);
        tokio::task::spawn_local(async move {
            let ended = tokio::select! {
                // Nothing of the term goes on once it is cancelled, also what is ready.
                biased;
                () = token.cancelled() => return,
                ended = AssertUnwindSafe(task).catch_unwind() => ended,
            };
            let leads = node.leadership.borrow().as_ref().is_some_and(|own| own.epoch == epoch);
            if ended.is_err() && leads {
                node.end_term("a task of the term has panicked");
            }
        });
    }

    /// The current term of this process, once its state is loaded.
    pub(crate) fn loaded_term(&self) -> Option<Rc<Leader>> {
        self.leadership.borrow().clone().filter(|leader| leader.loaded.get())
    }

    /// Ends the term without revoking the lease in the store.
    pub(crate) fn end_term(&self, why: &str) {
        if let Some(leader) = self.leadership.borrow_mut().take() {
            event!("leader.dropped", "epoch" => leader.epoch, "why" => why);
            leader.token.cancel();
        }
    }

    /// Ends the term and revokes the lease, so that another process can be elected at once.
    pub(crate) async fn step_down(&self, why: &str) {
        let Some(leader) = self.leadership.borrow().clone() else { return };
        if leader.loaded.get() {
            leader.cell.borrow_mut().set_start_permission(StartPermission::Nothing);
            // Stops the polling loops, so that no further changes arise.
            leader.token.cancel();
            let stored = self.store_remaining(&leader);
            let is_slow = self.speed.borrow().is_slow();
            let timeout_ms = if is_slow { SLOW_HAND_OVER_TIMEOUT_MS } else { HAND_OVER_TIMEOUT_MS };
            if tokio::time::timeout(timeout_ms.to_duration(), stored).await.is_err() {
                event!("leader.changes_unstored", "epoch" => leader.epoch);
            }
        }
        self.end_term(why);
        // The lease expires if this call fails.
        self.store_result(self.ports.store.end_lease(leader.lease).await).ok();
    }

    async fn run_term(self: Rc<Self>, leader: Rc<Leader>) {
        let renewing = self.clone().renew_lease(leader.clone());
        let yielding = self.clone().yield_to_larger_peer(leader.clone());
        let working = async {
            if !self.load_or_yield(&leader).await {
                return;
            }
            tokio::join!(
                self.clone().watch_intake(leader.clone()),
                self.clone().list_missed_jobs(leader.clone()),
                self.clone().watch_workers(leader.clone()),
                self.clone().watch_evacuations(leader.clone()),
                self.clone().store_loop(leader.clone()),
                self.clone().remove_expired(leader.clone()),
                self.clone().tick_cell(leader.clone()),
                self.clone().place_tasks(leader.clone()),
                self.clone().keep_run_times(leader.clone()),
            );
        };
        tokio::join!(renewing, working, yielding);
    }

    /// Loads the stored state. Returns `false` after giving up the lead, so that a process that
    /// reaches the store better can take over.
    async fn load_or_yield(self: &Rc<Self>, leader: &Rc<Leader>) -> bool {
        let began_ms = clock::now();
        while let Err(error) = self.load(leader).await {
            let took_ms = clock::now().since(began_ms);
            event!("leader.load_failed", "error" => error.to_string(), "took_ms" => took_ms.0);
            if took_ms > MAX_LOAD_MS {
                self.cooldown_until_ms.set(clock::now() + LEADER_COOLDOWN_MS);
                let node = self.clone();
                tokio::task::spawn_local(async move {
                    node.step_down("cannot load the stored state").await;
                });
                return false;
            }
            tokio::time::sleep(LOAD_RETRY_DELAY_MS.to_duration()).await;
        }
        event!("leader.loaded", "epoch" => leader.epoch,
            "took_ms" => clock::now().since(began_ms).0);
        leader.loaded_ms.set(clock::now());
        leader.loaded.set(true);
        self.apply_early_notices(leader);
        true
    }

    /// Renews the lease. A renewal starts in each period, whether or not the one before was
    /// answered: an answer that is lost takes most of the lease until the call times out.
    async fn renew_lease(self: Rc<Self>, leader: Rc<Leader>) {
        let period = Millis(self.settings.leader_lease_ms.0 / RENEWALS_PER_LEASE);
        loop {
            tokio::time::sleep(period.to_duration()).await;
            self.spawn_in_term(&leader, self.clone().renew_once(leader.clone()));
        }
    }

    async fn renew_once(self: Rc<Self>, leader: Rc<Leader>) {
        let sent_ms = clock::now();
        match self.store_result(self.ports.store.renew(leader.lease).await) {
            Ok(()) => leader.confirmed_ms.set(leader.confirmed_ms.get().max(sent_ms)),
            Err(StoreError::LeaseGone) => self.end_term("the lease has expired or was revoked"),
            Err(_recorded) => {}
        }
    }

    /// Whether the lease in the store is certain to be still valid.
    pub(crate) fn holds_lease(&self, leader: &Leader) -> bool {
        tenure::holds_lease(self.lease_ends_ms(leader), clock::now())
    }

    /// When the lease in the store ends, unless it is renewed.
    fn lease_ends_ms(&self, leader: &Leader) -> Millis {
        leader.confirmed_ms.get() + self.settings.leader_lease_ms
    }

    fn peers_view(&self, now: Millis) -> PeersView {
        let peers = self.peers.borrow();
        let live = || self.live_states(&peers);
        PeersView {
            known: peers.len(),
            live: live().count(),
            store_answered_ms: live().map(|state| state.store_answered_ms).max().unwrap_or(now),
        }
    }

    /// Sets what the cell may start, and logs when that changes other than by time.
    fn update_start_permission(&self, leader: &Leader) {
        let now = clock::now();
        let ends_ms = self.lease_ends_ms(leader);
        let peers = self.peers_view(now);
        let permission = tenure::start_permission(ends_ms, &peers, now);
        let mut cell = leader.cell.borrow_mut();
        let former = cell.start_permission();
        if std::mem::discriminant(&former) != std::mem::discriminant(&permission) {
            event!("leader.start_permission", "epoch" => leader.epoch,
                "permission" => format!("{permission:?}"), "now_ms" => now.0,
                "lease_left_ms" => ends_ms.since(now).0, "live_peers" => peers.live,
                "known_peers" => peers.known,
                "peers_store_age_ms" => now.since(peers.store_answered_ms).0);
        }
        cell.set_start_permission(permission);
    }

    /// Holds starts while the leader may not know what must not start.
    fn update_held_starts(&self, leader: &Leader) {
        let (evacuations, intake) = (self.evacuations_overdue(leader), self.intake_overdue(leader));
        leader.cell.borrow_mut().hold_starts(evacuations || intake);
    }

    async fn load(&self, leader: &Leader) -> Result<(), StoreError> {
        let store = &self.ports.store;
        let sent_ms = clock::now();
        let (intake, progress, batch, roster, accounts, advice, term_starts, workers, evacuations) = tokio::join!(
            store.range(keys::INTAKE),
            store.range(keys::PROGRESS),
            store.get(keys::BATCH),
            store.get(keys::ROSTER),
            store.get(keys::ACCOUNTS),
            store.get(keys::ADVICE),
            store.get(keys::TERM_STARTS),
            self.ports.directory.list(),
            self.list_evacuations(),
        );
        let (intake, intake_after) = self.store_result(intake)?;
        let (progress, _) = self.store_result(progress)?;
        let batch = self.store_result(batch)?;
        let roster = self.store_result(roster)?;
        let accounts = self.store_result(accounts)?;
        let advice = self.store_result(advice)?;
        let term_starts = self.store_result(term_starts)?;
        let (workers, workers_after) = self.store_result(workers)?;
        let (evacuations, evacuations_after) = self.store_result(evacuations)?;
        let now = clock::now();
        let progress: BTreeMap<JobId, Progress> = progress
            .iter()
            .filter_map(read_progress)
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
            let Some(id) = cancelled_id(&item.key) else { continue };
            let age_ms = cancellation_age(item);
            if cell.cancel_job(&id, age_ms.unwrap_or_default(), now) {
                self.record_cancellation(leader, &id, Source::Load, age_ms);
            }
        }
        for report in workers {
            cell.worker_listed(report, now);
        }
        let rows = roster.as_ref().and_then(read::<Vec<RosterRow>>);
        for row in rows.unwrap_or_default() {
            cell.restore_roster_row(&row, leader.elected_ms, now);
        }
        let accounts = accounts.as_ref().and_then(read::<Vec<WorkerAccount>>);
        for account in accounts.unwrap_or_default() {
            cell.restore_account(&account);
        }
        leader.restore_advice(&mut cell, advice.as_ref(), now);
        let term_starts = term_starts.as_ref().and_then(read::<Vec<TermStart>>);
        cell.restore_term_starts(&term_starts.unwrap_or_default(), now);
        cell.evacuations_listed(evacuations, now);
        leader.evacuations_after.set(evacuations_after);
        leader.evacuations_read_ms.set(sent_ms);
        leader.roster_revision.set(Some(roster.map_or(0, |item| item.revision)));
        leader.batch_revision.set(batch.map_or(0, |item| item.revision));
        leader.intake_after.set(intake_after);
        leader.intake_heard_ms.set(sent_ms);
        leader.workers_after.set(workers_after);
        Ok(())
    }

    /// Hands leadership over when a peer with much more CPU is live.
    async fn yield_to_larger_peer(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            tokio::time::sleep(PEER_CHECK_PERIOD_MS.to_duration()).await;
            let Some(peer) = self.larger_peer() else { continue };
            event!("leader.yields", "to" => peer.name.as_str(), "cpu_milli" => peer.cpu_milli,
                "own_cpu_milli" => self.settings.cpu_milli);
            self.record_larger_process(&leader, peer.cpu_milli).await;
            // Stepping down cancels all tasks of the term, including this one, so it runs in its
            // own task.
            let node = self.clone();
            tokio::task::spawn_local(async move {
                node.step_down("a process with more CPU is available").await;
            });
            return;
        }
    }

    async fn tick_cell(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            {
                let mut cell = leader.cell.borrow_mut();
                cell.set_clock_offset(unix_start_ms());
                cell.tick(clock::now());
                let mut callers: Vec<_> =
                    self.live_peers().into_iter().map(|peer| peer.name).collect();
                callers.push(self.settings.name.clone());
                cell.set_callers(&callers);
                let (free, whole) = cell.cpu_capacity();
                self.metrics.gauge("free_cpu_milli", free);
                self.metrics.gauge("whole_cpu_milli", whole);
                self.metrics.gauge("jobs_known", cell.jobs_known());
                let losses = cell.loss_counts();
                self.metrics.gauge("runs_lost", losses.lost_runs);
                self.metrics.gauge("jobs_given_up", losses.jobs_given_up);
                self.record_forecasts(&cell.take_forecast_outcomes());
                self.metrics.gauge("advisor_busy_percent", cell.advisor_busy_percent());
                if self.settings.cell.unequal_workers {
                    let speeds = cell.speed_counts();
                    self.metrics.gauge("urgent_run_ms", speeds.urgent_ms);
                    self.metrics.gauge("urgent_run_on_slow_ms", speeds.urgent_on_slow_ms);
                    self.metrics.gauge("other_run_ms", speeds.other_ms);
                    self.metrics.gauge("other_run_on_slow_ms", speeds.other_on_slow_ms);
                    self.metrics.gauge("urgent_steps_ended", speeds.urgent_steps);
                    self.metrics.gauge("urgent_steps_uneven", speeds.uneven_urgent_steps);
                }
                if self.settings.evacuation_ms.is_some() {
                    let counts = cell.evacuation_counts();
                    self.metrics.gauge("domains_evacuated", counts.domains);
                    self.metrics.gauge("runs_in_evacuated_domains", counts.runs);
                    let age_ms = clock::now().since(leader.evacuations_read_ms.get());
                    self.metrics.gauge("evacuations_age_ms", age_ms.0);
                }
            }
            self.log_load(&leader);
            self.update_forecast(&leader);
            self.start_polling(&leader);
            leader.changed.notify_one();
            tokio::time::sleep(TICK_MS.to_duration()).await;
        }
    }

    /// Whether this process leads and is still busy with the first polls of all workers. Its timers are
    /// late then, and so would those of any other new leader be.
    pub(crate) fn is_attaching_workers(&self) -> bool {
        let Some(leader) = self.leadership.borrow().clone() else { return false };
        if !leader.loaded.get() {
            return true;
        }
        let workers = leader.polled_workers.borrow().len();
        let takes_ms = Millis((workers as f64 * FIRST_POLL_COST_MS) as u64);
        clock::now().since(leader.loaded_ms.get()) < takes_ms
    }

    /// Logs once a second what the leader spends its time on, and what waits.
    fn log_load(&self, leader: &Leader) {
        let taken = leader.load.borrow_mut().take(LOAD_LOG_PERIOD_MS, clock::now());
        let Some(load) = taken else { return };
        let waiting = leader.cell.borrow().waiting_steps();
        let intake_age_ms = clock::now().since(leader.intake_heard_ms.get());
        self.metrics.gauge("intake_age_ms", intake_age_ms.0);
        event!("leader.load", "epoch" => leader.epoch, "interval_ms" => load.interval_ms.0,
            "probe_us" => self.speed.borrow().last().as_micros() as u64,
            "rounds" => load.rounds, "rounds_ms" => load.rounds_ms.0,
            "in_time" => waiting.in_time, "late" => waiting.late,
            "deferrable" => waiting.deferrable, "over_share" => waiting.over_share,
            "overdue" => waiting.overdue, "advice_scans" => waiting.advice_scans,
            "intake_age_ms" => intake_age_ms.0,
            "jobs_bytes" => leader.cell.borrow().memory_bytes());
        if self.settings.cell.unequal_workers {
            let speeds = leader.cell.borrow().speed_counts();
            event!("leader.speeds", "epoch" => leader.epoch,
                "urgent_run_ms" => speeds.urgent_ms,
                "urgent_run_on_slow_ms" => speeds.urgent_on_slow_ms,
                "other_run_ms" => speeds.other_ms,
                "other_run_on_slow_ms" => speeds.other_on_slow_ms,
                "urgent_steps" => speeds.urgent_steps,
                "uneven_urgent_steps" => speeds.uneven_urgent_steps);
        }
        let rounds_percent = load.rounds_ms.0 * 100 / load.interval_ms.0.max(1);
        self.metrics.gauge("leader_rounds_percent", rounds_percent);
        self.metrics.gauge("steps_waiting", waiting.total());
        let waits = leader.cell.borrow().wait_counts();
        self.metrics.gauge("tasks_waiting_no_configuration", waits.no_configuration);
        self.metrics.gauge("tasks_waiting_not_permitted", waits.not_permitted);
        self.metrics.gauge("tasks_waiting_held", waits.held);
        self.metrics.gauge("tasks_waiting_back_off", waits.back_off);
        self.metrics.gauge("tasks_waiting_team_limit", waits.team_limit);
        self.metrics.gauge("tasks_waiting_advice", waits.advice);
        self.metrics.gauge("tasks_waiting_no_room", waits.no_room);
    }

    async fn place_tasks(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            leader.changed.notified().await;
            let began_ms = clock::now();
            let actions = {
                self.update_start_permission(&leader);
                self.update_held_starts(&leader);
                let mut cell = leader.cell.borrow_mut();
                cell.schedule(clock::now());
                cell.take_actions()
            };
            for action in actions {
                self.execute(&leader, action);
            }
            leader.store_requested.notify_one();
            // Most of the time is left to answers: a busy leader serves more of them in a round.
            let took_ms = clock::now().since(began_ms);
            leader.load.borrow_mut().record_round(took_ms);
            self.metrics.time_ms("placement_round_ms", took_ms.0);
            let pause_ms = Millis(took_ms.0 * PAUSE_FACTOR).min(MAX_PAUSE_MS).max(MIN_ROUND_MS);
            tokio::time::sleep(pause_ms.to_duration()).await;
        }
    }
}

/// Unix time at the start of the process clock.
fn unix_start_ms() -> u64 {
    eventlog::unix_ms().saturating_sub(clock::now().0)
}

/// Decodes a stored item. Logs an item that cannot be decoded and returns `None`.
pub(crate) fn read<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    decode(&item.value)
        .inspect_err(|error| {
            event!("store.item_decode_failed", "key" => item.key.as_str(),
                "error" => error.to_string());
        })
        .ok()
}

/// Decodes the stored progress of a job. Records of earlier versions end before the list of losses:
/// the byte added here is its length then, and is ignored after a complete record.
pub(crate) fn read_progress(item: &Item) -> Option<Progress> {
    let mut item = item.clone();
    item.value.push(0);
    read(&item)
}

/// Extracts the job ID from the key of a cancellation.
pub(crate) fn cancelled_id(key: &str) -> Option<JobId> {
    key.strip_prefix(keys::CANCELS)?.parse().ok()
}
