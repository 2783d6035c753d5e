//! Batches of job progress to store, and the run ends that may be acknowledged once stored.

use std::collections::{BTreeMap, BTreeSet};

use eventlog::event;
use types::{JobId, Millis, WorkerId};

use crate::cell::Cell;
use crate::job::Job;
use crate::model::Progress;

/// Time for which ended jobs are kept beyond the promised one.
const EXTRA_RETENTION_MS: Millis = Millis(10_000);

/// The end of a run whose effect is part of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEnd {
    /// Worker that reported the end.
    pub worker: WorkerId,
    /// Start of that incarnation of the worker in Unix milliseconds.
    pub incarnation_unix_ms: u64,
    /// Sequence number of the end in that incarnation.
    pub sequence: u64,
}

/// Records to store in one transaction.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// Progress of the changed jobs.
    pub records: Vec<Progress>,
    /// Run ends that are covered by the records.
    pub ends: Vec<StoredEnd>,
}

/// Jobs that changed since they were last stored.
#[derive(Debug, Default)]
pub(crate) struct DirtyJobs {
    /// Number of the first change of each job.
    first_changes: BTreeMap<JobId, u64>,
    changes: u64,
    /// Jobs of the batch that is being stored.
    in_flight: BTreeSet<JobId>,
}

impl DirtyJobs {
    pub(crate) fn mark(&mut self, id: &JobId) {
        self.changes += 1;
        self.first_changes.entry(id.clone()).or_insert(self.changes);
    }

    pub(crate) fn len(&self) -> usize {
        self.first_changes.len()
    }

    /// Whether all changes of a job are stored.
    pub(crate) fn is_stored(&self, id: &JobId) -> bool {
        !self.contains(id) && !self.is_in_flight(id)
    }

    /// Whether a batch that holds the job is being stored.
    pub(crate) fn is_in_flight(&self, id: &JobId) -> bool {
        self.in_flight.contains(id)
    }

    pub(crate) fn contains(&self, id: &JobId) -> bool {
        self.first_changes.contains_key(id)
    }
}

impl Cell {
    /// Takes the next batch of at most `limit` jobs. None if nothing changed, or while the
    /// previous batch is neither stored nor failed, since its changes are not durable yet.
    pub fn take_batch(&mut self, limit: usize) -> Option<Batch> {
        if self.batch_in_flight {
            return None;
        }
        let ids = self.next_to_store(limit);
        if ids.is_empty() {
            return None;
        }
        for id in &ids {
            self.dirty.first_changes.remove(id);
        }
        let records: Vec<Progress> =
            ids.iter().filter_map(|id| self.jobs.get(id)).map(Job::progress).collect();
        let mut ends = Vec::new();
        for (id, worker) in &self.workers {
            let covered =
                worker.unstored_ends.iter().filter(|(_, task)| ids.contains(&task.step.job));
            ends.extend(covered.map(|(sequence, _)| StoredEnd {
                worker: id.clone(),
                incarnation_unix_ms: worker.incarnation_unix_ms,
                sequence: *sequence,
            }));
        }
        self.batch_in_flight = true;
        self.dirty.in_flight = ids;
        Some(Batch { records, ends })
    }

    /// Changed jobs to store next. Ended jobs come first, since callers wait for the end, then those
    /// that have waited longest: until a job is stored, no later end of its workers is acknowledged.
    fn next_to_store(&self, limit: usize) -> BTreeSet<JobId> {
        let has_ended = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.ended.is_some());
        let mut ordered: Vec<(bool, u64, &JobId)> = self
            .dirty
            .first_changes
            .iter()
            .map(|(id, number)| (!has_ended(id), *number, id))
            .collect();
        ordered.sort_unstable();
        ordered.into_iter().take(limit).map(|(.., id)| id.clone()).collect()
    }

    /// Records that a batch was stored.
    pub fn batch_stored(&mut self, batch: &Batch) {
        self.batch_in_flight = false;
        self.dirty.in_flight.clear();
        for record in &batch.records {
            if let Some(job) = self.jobs.get_mut(&record.id)
                && record.ended.is_some()
                && !job.end_stored
            {
                job.end_stored = true;
                event!("job.end_stored", "job" => record.id.as_str(),
                    "end" => format!("{:?}", record.ended));
            }
        }
        for end in &batch.ends {
            if let Some(worker) = self.workers.get_mut(&end.worker)
                && worker.incarnation_unix_ms == end.incarnation_unix_ms
            {
                worker.unstored_ends.remove(&end.sequence);
            }
        }
    }

    /// Records that a batch was not stored, or that this is unknown. Its jobs are stored again.
    pub fn batch_failed(&mut self, batch: &Batch) {
        self.batch_in_flight = false;
        self.dirty.in_flight.clear();
        for record in &batch.records {
            self.dirty.mark(&record.id);
        }
    }

    /// Ended jobs whose retention time has passed. They stay known until [`Cell::forget_jobs`], since
    /// a job that is not known counts as new when the store lists it.
    pub fn expired_jobs(&self, now: Millis) -> Vec<JobId> {
        let keep = self.retention_ms();
        let is_expired = |job: &Job| job.end_stored && now.since(job.ended_ms) > keep;
        let expired = self.jobs.iter().filter(|(_, job)| is_expired(job));
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Jobs whose cancellation was kept for as long as an ended job, and which have not become known.
    pub fn expired_cancellations(&self, now: Millis) -> Vec<JobId> {
        let stored_before_unix_ms = self.unix_ms(now).saturating_sub(self.retention_ms().0);
        let is_expired =
            |(_, stored_unix_ms): &(&JobId, &u64)| **stored_unix_ms < stored_before_unix_ms;
        self.early_cancels.iter().filter(is_expired).map(|(id, _)| id.clone()).collect()
    }

    fn retention_ms(&self) -> Millis {
        self.settings.ended_retention_ms + EXTRA_RETENTION_MS
    }

    /// Forgets cancellations that were removed from the store.
    pub fn forget_cancellations(&mut self, ids: &[JobId]) {
        for id in ids {
            self.early_cancels.remove(id);
        }
    }

    /// Forgets expired jobs that were removed from the store.
    pub fn forget_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.jobs.remove(id);
            self.open_jobs.remove(id);
        }
    }
}
