//! Stores job progress in batches, each conditional on the previous one.

use std::rc::Rc;

use cell::{Batch, RosterRow, WorkerAccount};
use eventlog::event;
use libs::tokio;
use types::Millis;

use crate::codec::{decode, encode};
use crate::handed_advice::AdviceToStore;
use crate::keys;
use crate::leader::Leader;
use crate::node::Node;
use crate::ports::{Commit, StoreError, Transaction};

/// Time between two batches while the next one is not full. Runs that end within it share a call.
const BATCH_PERIOD_MS: Millis = Millis(20);
/// Time between two looks at the roster, for each worker: a look takes some 10 us for 100 workers.
const ROSTER_PERIOD_US_PER_WORKER: u64 = 30;
/// Delay after a failed batch.
const RETRY_DELAY_MS: Millis = Millis(100);
/// Jobs in a batch: the store takes 32 entries per transaction, three of which are the two
/// conditions and the batch ID.
const MAX_BATCH_JOBS: usize = 28;
/// Time between two removals of expired jobs.
const EXPIRY_PERIOD_MS: Millis = Millis(5_000);
/// Jobs removed in one transaction: each has three keys.
const MAX_EXPIRED_JOBS: usize = 9;
/// Cancellations removed in one transaction: each has a condition and a key.
const MAX_EXPIRED_CANCELLATIONS: usize = 15;

/// What the next leader needs to know of the workers.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct WorkerStates {
    roster: Vec<RosterRow>,
    accounts: Vec<WorkerAccount>,
}

/// Outcome of storing a batch.
#[derive(Clone, Copy)]
enum BatchOutcome {
    /// Stored, with the revision of the batch key.
    Stored(u64),
    /// Another process leads.
    Deposed,
    /// Not stored, or the outcome could not be determined.
    Failed,
}

impl Node {
    pub(crate) async fn store_loop(self: Rc<Self>, leader: Rc<Leader>) {
        let mut states = WorkerStates::default();
        let mut next_roster_ms = clock::now();
        loop {
            leader.store_requested.notified().await;
            match self.store_next_batch(&leader).await {
                Some(BatchOutcome::Failed) => {
                    tokio::time::sleep(RETRY_DELAY_MS.to_duration()).await;
                    leader.store_requested.notify_one();
                    continue;
                }
                // There may be more changes than fit into one batch.
                Some(_) => leader.store_requested.notify_one(),
                None => {}
            }
            let pause_ms = if leader.cell.borrow().dirty_jobs() >= MAX_BATCH_JOBS {
                Millis(0)
            } else {
                BATCH_PERIOD_MS
            };
            if clock::now() >= next_roster_ms {
                self.store_roster(&leader, &mut states).await;
                let workers = leader.polled_workers.borrow().len() as u64;
                let period_ms = Millis(workers * ROSTER_PERIOD_US_PER_WORKER / 1_000);
                next_roster_ms = clock::now() + period_ms;
            }
            tokio::time::sleep(pause_ms.to_duration()).await;
        }
    }

    /// Stores all pending changes at the end of a term, and beside them the last roster. The next
    /// leader recovers what could not be stored.
    pub(crate) async fn store_remaining(&self, leader: &Leader) {
        let states = {
            let mut cell = leader.cell.borrow_mut();
            WorkerStates { roster: cell.last_roster(clock::now()), accounts: cell.accounts() }
        };
        let changes = async {
            while let Some(BatchOutcome::Stored(_)) = self.store_next_batch(leader).await {}
        };
        let (stored, ()) = tokio::join!(self.write_last_roster(leader, &states), changes);
        if !stored {
            event!("leader.roster_unstored", "epoch" => leader.epoch());
        }
    }

    /// Writes the last roster of a term. An earlier write that was under way as the term ended may have
    /// replaced the roster that it follows.
    async fn write_last_roster(&self, leader: &Leader, states: &WorkerStates) -> bool {
        if self.write_roster(leader, states, leader.changed_advice()).await {
            return true;
        }
        leader.roster_revision.set(None);
        self.write_roster(leader, states, None).await
    }

    /// Stores the next batch. Returns `None` if nothing has changed.
    async fn store_next_batch(&self, leader: &Leader) -> Option<BatchOutcome> {
        let _guard = leader.storing.lock().await;
        let batch = leader.cell.borrow_mut().take_batch(MAX_BATCH_JOBS)?;
        let began_ms = clock::now();
        let outcome = self.store_batch(leader, &batch).await;
        self.metrics.time_ms("batch_ms", clock::now().since(began_ms).0);
        match outcome {
            BatchOutcome::Stored(revision) => {
                leader.batch_revision.set(revision);
                leader.cell.borrow_mut().batch_stored(&batch);
                for end in &batch.ends {
                    if let Some(stored) = leader.ends_stored.borrow().get(&end.worker) {
                        stored.notify_one();
                    }
                }
                self.metrics.count("batches");
            }
            BatchOutcome::Deposed => self.end_term("the store has another leader"),
            BatchOutcome::Failed => leader.cell.borrow_mut().batch_failed(&batch),
        }
        Some(outcome)
    }

    async fn store_batch(&self, leader: &Leader, batch: &Batch) -> BatchOutcome {
        // A new ID for each attempt distinguishes it from an earlier call without an answer.
        let batch_id: u64 = libs::rand::random();
        let Ok(id_value) = encode(&batch_id) else { return BatchOutcome::Failed };
        let mut transaction = Transaction {
            expected: vec![
                (keys::LEADER.to_owned(), leader.revision),
                (keys::BATCH.to_owned(), leader.batch_revision.get()),
            ],
            puts: vec![(keys::BATCH.to_owned(), id_value, 0)],
            removes: Vec::new(),
        };
        for record in &batch.records {
            match encode(record) {
                Ok(value) => transaction.puts.push((keys::progress(&record.id), value, 0)),
                Err(error) => {
                    event!("store.encode_failed", "job" => record.id.as_str(),
                        "error" => error.to_string());
                }
            }
        }
        match self.store_result(self.ports.store.commit(&transaction).await) {
            Ok(Commit::Done(revision)) => BatchOutcome::Stored(revision),
            Ok(Commit::Conflict) | Err(StoreError::Unanswered) => {
                self.resolve_batch(leader, batch_id).await
            }
            Err(_recorded) => BatchOutcome::Failed,
        }
    }

    /// Determines the outcome of a batch, and the revision left by earlier batches whose outcome is
    /// unknown.
    async fn resolve_batch(&self, leader: &Leader, batch_id: u64) -> BatchOutcome {
        let store = &self.ports.store;
        let Ok(current) = self.store_result(store.get(keys::LEADER).await) else {
            return BatchOutcome::Failed;
        };
        if current.is_none_or(|item| item.revision != leader.revision) {
            return BatchOutcome::Deposed;
        }
        let Ok(stored) = self.store_result(store.get(keys::BATCH).await) else {
            return BatchOutcome::Failed;
        };
        let Some(item) = stored else { return BatchOutcome::Failed };
        leader.batch_revision.set(item.revision);
        match decode::<u64>(&item.value) {
            Ok(stored_id) if stored_id == batch_id => BatchOutcome::Stored(item.revision),
            Ok(_) => BatchOutcome::Failed,
            Err(error) => {
                event!("store.item_decode_failed", "key" => keys::BATCH,
                    "error" => error.to_string());
                BatchOutcome::Failed
            }
        }
    }

    /// Stores the worker states that the next leader needs. Each roster is conditional on the
    /// previous one, so that a delayed write of an older roster fails.
    async fn store_roster(&self, leader: &Leader, last_stored: &mut WorkerStates) {
        if self.store_failures.get() > 0 {
            // A worker that the roster reports as silent gets no leases or tasks until a newer
            // roster is stored, which is impossible during a store outage.
            return;
        }
        let states = {
            let mut cell = leader.cell.borrow_mut();
            WorkerStates { roster: cell.roster(clock::now()), accounts: cell.accounts() }
        };
        if states == *last_stored {
            return;
        }
        let advice = leader.due_advice(clock::now());
        if self.write_roster(leader, &states, advice).await {
            leader.cell.borrow_mut().roster_stored(&states.roster);
            *last_stored = states;
        } else {
            // The outcome is unknown: read the revision, then store the roster again.
            leader.roster_revision.set(None);
            *last_stored = WorkerStates::default();
        }
    }

    /// Writes a roster, the accounts and answers of the advisor on condition that the previous roster is in
    /// place. Returns whether they are stored.
    async fn write_roster(
        &self,
        leader: &Leader,
        states: &WorkerStates,
        advice: Option<AdviceToStore>,
    ) -> bool {
        let Some(revision) = self.roster_revision(leader).await else { return false };
        let (roster, accounts) = match (encode(&states.roster), encode(&states.accounts)) {
            (Ok(roster), Ok(accounts)) => (roster, accounts),
            (Err(error), _) | (_, Err(error)) => {
                event!("store.encode_failed", "key" => keys::ROSTER, "error" => error.to_string());
                return false;
            }
        };
        let mut puts =
            vec![(keys::ROSTER.to_owned(), roster, 0), (keys::ACCOUNTS.to_owned(), accounts, 0)];
        if !leader.term_start_is_stored.get()
            && let Ok(term_starts) = encode(&leader.cell.borrow().term_starts())
        {
            puts.push((keys::TERM_STARTS.to_owned(), term_starts, 0));
        }
        puts.extend(advice.as_ref().map(AdviceToStore::put));
        let transaction = Transaction {
            expected: vec![
                (keys::LEADER.to_owned(), leader.revision),
                (keys::ROSTER.to_owned(), revision),
            ],
            puts,
            removes: Vec::new(),
        };
        let stored = self.store_result(self.ports.store.commit(&transaction).await);
        leader.advice_written(advice, matches!(stored, Ok(Commit::Done(_))));
        let Ok(Commit::Done(revision)) = stored else { return false };
        leader.roster_revision.set(Some(revision));
        leader.term_start_is_stored.set(true);
        true
    }

    async fn roster_revision(&self, leader: &Leader) -> Option<u64> {
        if leader.roster_revision.get().is_none() {
            let read = self.store_result(self.ports.store.get(keys::ROSTER).await);
            let revision = read.ok()?.map_or(0, |item| item.revision);
            leader.roster_revision.set(Some(revision));
        }
        leader.roster_revision.get()
    }

    /// Removes what is kept for callers once its retention time has passed.
    pub(crate) async fn remove_expired(self: Rc<Self>, leader: Rc<Leader>) {
        loop {
            tokio::time::sleep(EXPIRY_PERIOD_MS.to_duration()).await;
            self.remove_expired_jobs(&leader).await;
            self.remove_expired_cancellations(&leader).await;
        }
    }

    /// Removes the cancellations of jobs that have not become known, unless the job is stored by now.
    async fn remove_expired_cancellations(&self, leader: &Leader) {
        let expired = leader.cell.borrow().expired_cancellations(clock::now());
        for chunk in expired.chunks(MAX_EXPIRED_CANCELLATIONS) {
            let no_jobs = chunk.iter().map(|id| (keys::job(id), 0)).collect();
            let removes = chunk.iter().map(keys::cancel).collect();
            if !self.remove_keys(leader, no_jobs, removes).await {
                event!("job.remove_failed", "cancellations" => chunk.len());
                continue;
            }
            leader.cell.borrow_mut().forget_cancellations(chunk);
        }
    }

    /// Removes keys on condition that this process leads, and on further ones. Returns whether they are
    /// removed.
    async fn remove_keys(
        &self,
        leader: &Leader,
        mut expected: Vec<(String, u64)>,
        removes: Vec<String>,
    ) -> bool {
        expected.push((keys::LEADER.to_owned(), leader.revision));
        let transaction = Transaction { expected, puts: Vec::new(), removes };
        let removed = self.store_result(self.ports.store.commit(&transaction).await);
        matches!(removed, Ok(Commit::Done(_)))
    }

    /// Removes ended jobs whose retention time has passed.
    async fn remove_expired_jobs(&self, leader: &Leader) {
        let expired = leader.cell.borrow().expired_jobs(clock::now());
        for chunk in expired.chunks(MAX_EXPIRED_JOBS) {
            let removes = chunk
                .iter()
                .flat_map(|id| [keys::job(id), keys::cancel(id), keys::progress(id)])
                .collect();
            let _guard = leader.removing.lock().await;
            if !self.remove_keys(leader, Vec::new(), removes).await {
                // The next call removes the rest, also the jobs that may be gone.
                event!("job.remove_failed", "jobs" => chunk.len());
                return;
            }
            leader.cell.borrow_mut().forget_jobs(chunk);
        }
    }
}
