//! Stores job progress in batches, each conditional on the previous one.

use std::rc::Rc;

use cell::{Batch, RosterRow};
use eventlog::event;
use libs::tokio;
use types::Millis;

use crate::codec::{decode, encode};
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
/// Cancellations removed in one transaction.
const MAX_EXPIRED_CANCELLATIONS: usize = 28;

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
        let mut roster = Vec::new();
        let mut last_expiry_ms = clock::now();
        let mut next_roster_ms = last_expiry_ms;
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
                self.store_roster(&leader, &mut roster).await;
                let workers = leader.polled_workers.borrow().len() as u64;
                let period_ms = Millis(workers * ROSTER_PERIOD_US_PER_WORKER / 1_000);
                next_roster_ms = clock::now() + period_ms;
            }
            if clock::now().since(last_expiry_ms) > EXPIRY_PERIOD_MS {
                last_expiry_ms = clock::now();
                self.remove_expired_jobs(&leader).await;
                self.remove_expired_cancellations(&leader).await;
            }
            tokio::time::sleep(pause_ms.to_duration()).await;
        }
    }

    /// Stores all pending changes at the end of a term, and beside them the last roster. The next
    /// leader recovers what could not be stored.
    pub(crate) async fn store_remaining(&self, leader: &Leader) {
        let roster = leader.cell.borrow_mut().last_roster(clock::now());
        let changes = async {
            while let Some(BatchOutcome::Stored(_)) = self.store_next_batch(leader).await {}
        };
        let (stored, ()) = tokio::join!(self.write_roster(leader, &roster), changes);
        if !stored {
            event!("leader.roster_unstored", "epoch" => leader.epoch());
        }
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
    async fn store_roster(&self, leader: &Leader, last_stored: &mut Vec<RosterRow>) {
        if self.store_failures.get() > 0 {
            // A worker that the roster reports as silent gets no leases or tasks until a newer
            // roster is stored, which is impossible during a store outage.
            return;
        }
        let roster = leader.cell.borrow_mut().roster(clock::now());
        if roster == *last_stored {
            return;
        }
        if self.write_roster(leader, &roster).await {
            leader.cell.borrow_mut().roster_stored(&roster);
            *last_stored = roster;
        } else {
            // The outcome is unknown: read the revision, then store the roster again.
            leader.roster_revision.set(None);
            last_stored.clear();
        }
    }

    /// Writes a roster on condition that the previous one is in place. Returns whether it is stored.
    async fn write_roster(&self, leader: &Leader, roster: &Vec<RosterRow>) -> bool {
        let Some(revision) = self.roster_revision(leader).await else { return false };
        let value = match encode(roster) {
            Ok(value) => value,
            Err(error) => {
                event!("store.encode_failed", "key" => keys::ROSTER, "error" => error.to_string());
                return false;
            }
        };
        let transaction = Transaction {
            expected: vec![
                (keys::LEADER.to_owned(), leader.revision),
                (keys::ROSTER.to_owned(), revision),
            ],
            puts: vec![(keys::ROSTER.to_owned(), value, 0)],
            removes: Vec::new(),
        };
        let stored = self.store_result(self.ports.store.commit(&transaction).await);
        let Ok(Commit::Done(revision)) = stored else { return false };
        leader.roster_revision.set(Some(revision));
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

    /// Removes the cancellations of jobs that have not become known.
    async fn remove_expired_cancellations(&self, leader: &Leader) {
        let expired = leader.cell.borrow().expired_cancellations(clock::now());
        for chunk in expired.chunks(MAX_EXPIRED_CANCELLATIONS) {
            let removes = chunk.iter().map(keys::cancel).collect();
            if !self.remove_keys(leader, removes).await {
                event!("job.remove_failed", "cancellations" => chunk.len());
                return;
            }
            leader.cell.borrow_mut().forget_cancellations(chunk);
        }
    }

    /// Removes keys on condition that this process leads. Returns whether they are removed.
    async fn remove_keys(&self, leader: &Leader, removes: Vec<String>) -> bool {
        let transaction = Transaction {
            expected: vec![(keys::LEADER.to_owned(), leader.revision)],
            puts: Vec::new(),
            removes,
        };
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
            // A list of all jobs takes seconds, in which ends are to be stored.
            let Ok(_guard) = leader.removing.try_lock() else { return };
            if !self.remove_keys(leader, removes).await {
                // The next call removes the rest, also the jobs that may be gone.
                event!("job.remove_failed", "jobs" => chunk.len());
                return;
            }
            leader.cell.borrow_mut().forget_jobs(chunk);
        }
    }
}
