//! Watches the store for changes relevant to the leader: accepted and cancelled jobs, workers.

use std::rc::Rc;

use cell::JobRecord;
use eventlog::event;
use libs::tokio;
use serde::{Deserialize, Serialize};
use types::{JobId, Millis};

use crate::codec::decode;
use crate::keys;
use crate::leader::{Leader, cancelled_id, read};
use crate::node::Node;
use crate::ports::{Change, Item, StoreError, StoreResult, WorkerChange};

/// Longest time that one watch of the workers waits for changes.
const WORKERS_WAIT_MS: Millis = Millis(1_500);
/// Longest time that one watch of the intake waits for changes. With the delay between two watches and a
/// hedge it stays below [`USUAL_NEWS_AGE_MS`].
const INTAKE_WAIT_MS: Millis = Millis(1_000);
/// A watch of the intake that is unanswered this long after its wait time is hedged by one that does not
/// wait: usual calls take some milliseconds, and a lost answer is noticed only after 900 ms.
const HEDGE_DELAY_MS: Millis = Millis(250);
/// Time for a scheduling round and until the store's next answer, which shows that it can be reached.
const LAST_ORDER_MARGIN_MS: Millis = Millis(700);
/// Age of the news of cancellations that is usual: the delay between two watches, a watch without
/// changes, and its hedge.
const USUAL_NEWS_AGE_MS: Millis = Millis(2_000);
/// Delay between two watches of the intake, which only serves as a fallback for lost messages.
const INTAKE_PERIOD_MS: Millis = Millis(500);
/// Delay between two watches of the workers: a draining worker must be noticed within 2 s.
const WORKERS_PERIOD_MS: Millis = Millis(300);
/// Changes in an answer from which on the next watch of the workers starts at once. The store sends at
/// most some hundred changes in an answer, so that with a delay after each one the watch of a large fleet
/// would fall behind for good.
const WORKERS_BACKLOG_CHANGES: usize = 200;
/// The same for the intake, whose changes are larger, so that fewer may fit into an answer.
const INTAKE_BACKLOG_CHANGES: usize = 50;
/// Delay after a failed watch.
const RETRY_DELAY_MS: Millis = Millis(150);

/// Delay before the next watch of the workers, after an answer with a number of changes.
///
/// Load pattern: each worker writes its entry every 1.5 s, which counts as a change. 3,000 workers
/// make 2,000 changes a second.
pub fn next_workers_watch_delay_ms(changes: usize) -> Millis {
    if changes >= WORKERS_BACKLOG_CHANGES { Millis(0) } else { WORKERS_PERIOD_MS }
}

/// A notice of a change of the intake.
pub(crate) enum Notice {
    /// A job is stored as accepted.
    Accepted(Box<JobRecord>),
    /// The cancellation of a job is stored.
    Cancelled(JobId),
}

/// Age of the news of cancellations up to which starts may be ordered.
fn max_news_age_ms(cancel_ms: Millis) -> Millis {
    (cancel_ms - LAST_ORDER_MARGIN_MS).max(USUAL_NEWS_AGE_MS)
}

/// How a leader learned of a change of the intake.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Source {
    /// A message of the process that stored it.
    Notice,
    /// The watch of the store.
    Watch,
    /// A list of the store, after a loss of its history.
    List,
    /// The stored state that a new leader loads.
    Load,
}

/// Stored value of a cancellation. Those of earlier versions are empty.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Cancellation {
    /// When it was stored, by the clock of the process that stored it.
    pub(crate) unix_ms: u64,
}

/// Time since a cancellation was stored, if its value tells.
pub(crate) fn cancellation_age(item: &Item) -> Option<Millis> {
    let stored: Cancellation = decode(&item.value).ok()?;
    Some(Millis(eventlog::unix_ms().saturating_sub(stored.unix_ms)))
}

impl Node {
    /// Passes a notice to the cell, if this process leads. While it loads the stored state, notices
    /// wait: the change may be newer than what it has read.
    pub(crate) fn on_notice(&self, notice: Notice) {
        let Some(leader) = self.leadership.borrow().clone() else { return };
        if !leader.loaded.get() {
            leader.early_notices.borrow_mut().push(notice);
            return;
        }
        match notice {
            Notice::Accepted(record) => self.on_job_accepted(*record),
            Notice::Cancelled(id) => self.on_job_cancelled(&id, Source::Notice, None),
        }
    }

    /// Passes on the notices that came while the stored state was loaded.
    pub(crate) fn apply_early_notices(&self, leader: &Leader) {
        let notices = leader.early_notices.take();
        if !notices.is_empty() {
            event!("leader.early_notices", "epoch" => leader.epoch(), "notices" => notices.len());
        }
        notices.into_iter().for_each(|notice| self.on_notice(notice));
    }

    fn on_job_accepted(&self, record: JobRecord) {
        if let Some(leader) = self.loaded_term() {
            let now = clock::now();
            let id = record.id.clone();
            let is_new = leader.cell.borrow().status(&id).is_none();
            leader.cell.borrow_mut().add_job(record, now);
            if is_new && self.settings.admission {
                self.note_accepted(&leader, &id, now);
            }
            leader.changed.notify_one();
        }
    }

    fn on_job_cancelled(&self, id: &JobId, source: Source, age_ms: Option<Millis>) {
        if let Some(leader) = self.loaded_term() {
            if leader.cell.borrow_mut().cancel_job(id, age_ms.unwrap_or_default(), clock::now()) {
                self.record_cancellation(&leader, id, source, age_ms);
            }
            leader.changed.notify_one();
        }
    }

    /// Logs and counts that the leader has learned of a cancellation.
    pub(crate) fn record_cancellation(
        &self,
        leader: &Leader,
        id: &JobId,
        source: Source,
        age_ms: Option<Millis>,
    ) {
        event!("leader.cancellation", "job" => id.as_str(), "source" => format!("{source:?}"),
            "age_ms" => age_ms.map(|age| age.0), "epoch" => leader.epoch());
        self.metrics.count("cancellations_learned");
        if let Some(age_ms) = age_ms {
            self.metrics.time_ms("cancellation_age_ms", age_ms.0);
        }
    }

    pub(crate) async fn watch_intake(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            let after = leader.intake_after.get();
            let watched = self.watch_intake_hedged(after).await;
            match self.store_result(watched) {
                Ok((changes, at)) => {
                    for change in &changes {
                        self.apply_intake_change(change, Source::Watch);
                    }
                    self.metrics.add("intake_changes", changes.len() as u64);
                    leader.intake_after.set(at);
                    leader.changed.notify_one();
                    // A full answer does not reach up to the present.
                    if changes.len() < INTAKE_BACKLOG_CHANGES {
                        leader.intake_heard_ms.set(clock::now());
                        tokio::time::sleep(INTAKE_PERIOD_MS.to_duration()).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    event!("store.history_gone", "prefix" => keys::INTAKE, "after" => after);
                    self.list_cancellations(&leader).await;
                    tokio::time::sleep(RETRY_DELAY_MS.to_duration()).await;
                }
                Err(_recorded) => tokio::time::sleep(RETRY_DELAY_MS.to_duration()).await,
            }
        }
    }

    /// Waits for changes after a revision, with a second call if the answer is late. The first answer
    /// counts.
    async fn watch_intake_hedged(&self, after: u64) -> StoreResult<(Vec<Change>, u64)> {
        let store = &self.ports.store;
        let mut watch = store.watch(keys::INTAKE, after, INTAKE_WAIT_MS);
        let late = tokio::time::sleep((INTAKE_WAIT_MS + HEDGE_DELAY_MS).to_duration());
        tokio::select! {
            watched = &mut watch => return watched,
            () = late => {}
        }
        self.metrics.count("intake_watches_hedged");
        tokio::select! {
            watched = &mut watch => watched,
            watched = store.watch(keys::INTAKE, after, Millis(0)) => watched,
        }
    }

    /// Whether the store answers this process, but the stored cancellations could not be read for so
    /// long that a start could come too late. In an outage of the store the leader goes on with the
    /// work that it knows.
    pub(crate) fn intake_overdue(&self, leader: &Leader) -> bool {
        let age_ms = self.store_answered_ms.get().since(leader.intake_heard_ms.get());
        let is_overdue =
            self.holds_lease(leader) && age_ms > max_news_age_ms(self.settings.cancel_ms);
        if leader.intake_is_overdue.replace(is_overdue) != is_overdue {
            event!("leader.intake_overdue", "epoch" => leader.epoch(), "overdue" => is_overdue,
                "age_ms" => age_ms.0);
        }
        is_overdue
    }

    /// Reads all cancellations, from whose revision the watch goes on. Those of jobs that are missing yet
    /// are kept until these are read, which may take seconds.
    async fn list_cancellations(&self, leader: &Leader) {
        let sent_ms = clock::now();
        if let Some(at) = self.list_intake(leader, keys::CANCELS).await {
            leader.intake_heard_ms.set(sent_ms);
            leader.intake_after.set(at);
            leader.jobs_missed.notify_one();
        }
    }

    /// Reads all jobs after a loss of history, beside the watch.
    pub(crate) async fn list_missed_jobs(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            leader.jobs_missed.notified().await;
            while !self.list_jobs(&leader).await {
                tokio::time::sleep(RETRY_DELAY_MS.to_duration()).await;
            }
        }
    }

    async fn list_jobs(&self, leader: &Leader) -> bool {
        let _guard = leader.removing.lock().await;
        self.list_intake(leader, keys::JOBS).await.is_some()
    }

    /// Reads a part of the intake. Returns the revision of the list; `None` if it failed.
    async fn list_intake(&self, leader: &Leader, prefix: &'static str) -> Option<u64> {
        let sent_ms = clock::now();
        let listed = self.store_result(self.ports.store.range(prefix).await);
        let took_ms = clock::now().since(sent_ms);
        match listed {
            Ok((items, at)) => {
                event!("intake.listed", "prefix" => prefix, "items" => items.len(), "at" => at,
                    "took_ms" => took_ms.0);
                for item in items {
                    self.apply_intake_change(&Change::Put(item), Source::List);
                }
                Some(at)
            }
            Err(error) => {
                event!("intake.list_failed", "prefix" => prefix, "error" => error.to_string(),
                    "took_ms" => took_ms.0,
                    "age_ms" => clock::now().since(leader.intake_heard_ms.get()).0);
                None
            }
        }
    }

    fn apply_intake_change(&self, change: &Change, source: Source) {
        let Change::Put(item) = change else { return };
        if let Some(id) = cancelled_id(&item.key) {
            self.on_job_cancelled(&id, source, cancellation_age(item));
        } else if let Some(record) = read::<JobRecord>(item) {
            self.on_job_accepted(record);
        }
    }

    pub(crate) async fn watch_workers(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            let after = leader.workers_after.get();
            let changes = self.ports.directory.changes(after, WORKERS_WAIT_MS).await;
            match self.store_result(changes) {
                Ok((changes, at)) => {
                    let delay_ms = next_workers_watch_delay_ms(changes.len());
                    self.metrics.add("worker_changes", changes.len() as u64);
                    for change in changes {
                        apply_worker_change(&leader, change);
                    }
                    leader.workers_after.set(at);
                    leader.changed.notify_one();
                    tokio::time::sleep(delay_ms.to_duration()).await;
                }
                Err(StoreError::HistoryGone) => {
                    event!("store.history_gone", "prefix" => "workers", "after" => after);
                    self.reload_workers(&leader).await;
                    tokio::time::sleep(RETRY_DELAY_MS.to_duration()).await;
                }
                Err(_recorded) => tokio::time::sleep(RETRY_DELAY_MS.to_duration()).await,
            }
        }
    }

    async fn reload_workers(&self, leader: &Leader) {
        let Ok((reports, at)) = self.store_result(self.ports.directory.list().await) else {
            return;
        };
        let now = clock::now();
        let mut cell = leader.cell.borrow_mut();
        let listed: Vec<_> = reports.iter().map(|report| report.id.clone()).collect();
        for report in reports {
            cell.worker_listed(report, now);
        }
        for id in cell.worker_ids() {
            if !listed.contains(&id) {
                cell.worker_unlisted(&id, now);
            }
        }
        leader.workers_after.set(at);
    }
}

fn apply_worker_change(leader: &Leader, change: WorkerChange) {
    let now = clock::now();
    let mut cell = leader.cell.borrow_mut();
    match change {
        WorkerChange::Listed(report) => cell.worker_listed(*report, now),
        WorkerChange::Unlisted(id) => cell.worker_unlisted(&id, now),
    }
}
