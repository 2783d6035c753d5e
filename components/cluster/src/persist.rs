//! Stores the progress of jobs, in batches, each conditional on the one before.

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

/// Shortest time between two batches: ends of that time share a call, and other writes of the
/// leader take their turn however many batches wait.
const BATCH_PERIOD_MS: Millis = Millis(20);
/// Pause after a failed batch.
const RETRY_MS: Millis = Millis(100);
/// Jobs in a batch: the store takes 32 entries, three of which are conditions and the number.
const BATCH_JOBS: usize = 28;
/// Batches between two looks for jobs that may be forgotten.
const EXPIRE_PERIOD_MS: Millis = Millis(5_000);
/// Jobs forgotten in one call: each has three keys.
const EXPIRE_JOBS: usize = 9;

/// Outcome of one batch.
#[derive(Clone, Copy)]
enum Stored {
    Done(u64),
    Deposed,
    Failed,
}

impl Node {
    pub(crate) async fn store_loop(self: Rc<Self>, leader: Rc<Leader>) {
        let mut roster = Vec::new();
        let mut expired_ms = clock::now();
        loop {
            leader.to_store.notified().await;
            match self.store_next(&leader).await {
                Some(Stored::Failed) => {
                    tokio::time::sleep(RETRY_MS.to_duration()).await;
                    leader.to_store.notify_one();
                    continue;
                }
                // There may be more changes than fit into a batch.
                Some(_) => leader.to_store.notify_one(),
                None => {}
            }
            self.store_roster(&leader, &mut roster).await;
            if clock::now().since(expired_ms) > EXPIRE_PERIOD_MS {
                expired_ms = clock::now();
                self.forget_jobs(&leader).await;
            }
            tokio::time::sleep(BATCH_PERIOD_MS.to_duration()).await;
        }
    }

    /// Stores all changes, at the end of a term. What cannot be stored is left to the next leader.
    pub(crate) async fn store_rest(&self, leader: &Leader) {
        while let Some(Stored::Done(_)) = self.store_next(leader).await {}
    }

    /// Stores the next batch; none if nothing changed.
    async fn store_next(&self, leader: &Leader) -> Option<Stored> {
        let _one_at_a_time = leader.storing.lock().await;
        let batch = leader.cell.borrow_mut().take_batch(BATCH_JOBS)?;
        let began_ms = clock::now();
        let outcome = self.store_batch(leader, &batch).await;
        self.metrics.time_ms("batch_ms", clock::now().since(began_ms).0);
        match outcome {
            Stored::Done(revision) => {
                leader.batch_revision.set(revision);
                leader.cell.borrow_mut().batch_stored(&batch);
                self.metrics.count("batches");
            }
            Stored::Deposed => self.drop_lead("the store has another leader"),
            Stored::Failed => leader.cell.borrow_mut().batch_failed(&batch),
        }
        Some(outcome)
    }

    async fn store_batch(&self, leader: &Leader, batch: &Batch) -> Stored {
        // Drawn anew for each try, so that a lost call is told from this one.
        let number: u64 = libs::rand::random();
        let Ok(number_value) = encode(&number) else { return Stored::Failed };
        let mut transaction = Transaction {
            expected: vec![
                (keys::LEADER.to_owned(), leader.revision),
                (keys::BATCH.to_owned(), leader.batch_revision.get()),
            ],
            puts: vec![(keys::BATCH.to_owned(), number_value, 0)],
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
            Ok(Commit::Done(revision)) => Stored::Done(revision),
            Ok(Commit::Conflict) | Err(StoreError::Unanswered) => {
                self.resolve_batch(leader, number).await
            }
            Err(_noted) => Stored::Failed,
        }
    }

    /// Finds out what became of a batch, and of lost ones before it.
    async fn resolve_batch(&self, leader: &Leader, number: u64) -> Stored {
        let store = &self.ports.store;
        let Ok(current) = self.store_result(store.get(keys::LEADER).await) else {
            return Stored::Failed;
        };
        if current.is_none_or(|item| item.revision != leader.revision) {
            return Stored::Deposed;
        }
        let Ok(stored) = self.store_result(store.get(keys::BATCH).await) else {
            return Stored::Failed;
        };
        let Some(item) = stored else { return Stored::Failed };
        leader.batch_revision.set(item.revision);
        match decode::<u64>(&item.value) {
            Ok(found) if found == number => Stored::Done(item.revision),
            Ok(_) => Stored::Failed,
            Err(error) => {
                event!("store.unreadable", "key" => keys::BATCH, "error" => error.to_string());
                Stored::Failed
            }
        }
    }

    /// Stores what the next leader must know of workers. Each roster is conditional on the one
    /// before, so that a lost one that is carried out late fails.
    async fn store_roster(&self, leader: &Leader, known: &mut Vec<RosterRow>) {
        if self.store_failures.get() > 0 {
            // A roster that cannot be stored must not keep workers from work.
            return;
        }
        let roster = leader.cell.borrow_mut().roster(clock::now());
        if roster == *known {
            return;
        }
        let Some(revision) = self.roster_revision(leader).await else { return };
        let value = match encode(&roster) {
            Ok(value) => value,
            Err(error) => {
                event!("store.encode_failed", "key" => keys::ROSTER, "error" => error.to_string());
                return;
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
        if let Ok(Commit::Done(revision)) = stored {
            leader.roster_revision.set(Some(revision));
            leader.cell.borrow_mut().roster_stored(&roster);
            *known = roster;
        } else {
            // It may have been stored, so it is stored again, after its revision is read.
            leader.roster_revision.set(None);
            known.clear();
        }
    }

    async fn roster_revision(&self, leader: &Leader) -> Option<u64> {
        if leader.roster_revision.get().is_none() {
            let read = self.store_result(self.ports.store.get(keys::ROSTER).await);
            let revision = read.ok()?.map_or(0, |item| item.revision);
            leader.roster_revision.set(Some(revision));
        }
        leader.roster_revision.get()
    }

    /// Removes jobs whose time to be known has passed.
    async fn forget_jobs(&self, leader: &Leader) {
        let expired = leader.cell.borrow_mut().take_expired(clock::now());
        for some in expired.chunks(EXPIRE_JOBS) {
            let transaction = Transaction {
                expected: vec![(keys::LEADER.to_owned(), leader.revision)],
                puts: Vec::new(),
                removes: some
                    .iter()
                    .flat_map(|id| [keys::job(id), keys::cancel(id), keys::progress(id)])
                    .collect(),
            };
            // What stays is loaded and removed by the next leader.
            if self.store_result(self.ports.store.commit(&transaction).await).is_err() {
                event!("job.forget_failed", "jobs" => some.len());
            }
        }
    }
}
