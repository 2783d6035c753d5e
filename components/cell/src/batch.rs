//! What is stored, in batches, and which ends of runs that settles.

use std::collections::BTreeSet;

use eventlog::event;
use types::{JobId, Millis, WorkerId};

use crate::cell::Cell;
use crate::job::Job;
use crate::model::Progress;

/// Ended jobs are kept this long for callers that ask, beyond the promised time.
const EXTRA_RETENTION_MS: Millis = Millis(10_000);

/// The end of a run that a batch holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEnd {
    /// The worker that listed it.
    pub worker: WorkerId,
    /// Start of that life of the worker, Unix milliseconds.
    pub incarnation_unix_ms: u64,
    /// Number of the end in that life.
    pub number: u64,
}

/// What is to be stored at once, and what is settled by that.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// Progress of changed jobs.
    pub records: Vec<Progress>,
    /// Ends of runs that the records hold.
    pub ends: Vec<StoredEnd>,
}

impl Cell {
    /// What to store now, at most `limit` jobs. None if nothing changed, or while the batch
    /// before is neither stored nor failed: its changes are not safe yet.
    pub fn take_batch(&mut self, limit: usize) -> Option<Batch> {
        if self.batch_in_flight {
            return None;
        }
        let ids = self.next_to_store(limit);
        if ids.is_empty() {
            return None;
        }
        for id in &ids {
            self.dirty.remove(id);
        }
        let records: Vec<Progress> =
            ids.iter().filter_map(|id| self.jobs.get(id)).map(Job::progress).collect();
        let mut ends = Vec::new();
        for (id, worker) in &self.workers {
            let covered = worker.unstored_ends.iter().filter(|(_, job)| ids.contains(job));
            ends.extend(covered.map(|(number, _)| StoredEnd {
                worker: id.clone(),
                incarnation_unix_ms: worker.incarnation_unix_ms,
                number: *number,
            }));
        }
        self.batch_in_flight = true;
        Some(Batch { records, ends })
    }

    /// Changed jobs, those that have ended first: their callers wait for the end.
    fn next_to_store(&self, limit: usize) -> BTreeSet<JobId> {
        let ended = |id: &&JobId| self.jobs.get(*id).is_some_and(|job| job.ended.is_some());
        let (first, then): (Vec<&JobId>, Vec<&JobId>) = self.dirty.iter().partition(ended);
        first.into_iter().chain(then).take(limit).cloned().collect()
    }

    /// The batch is stored.
    pub fn batch_stored(&mut self, batch: &Batch) {
        self.batch_in_flight = false;
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
                worker.unstored_ends.remove(&end.number);
            }
        }
    }

    /// The batch was not stored, or maybe not.
    pub fn batch_failed(&mut self, batch: &Batch) {
        self.batch_in_flight = false;
        self.dirty.extend(batch.records.iter().map(|record| record.id.clone()));
    }

    /// Jobs whose time to be known has passed. They are forgotten here.
    pub fn take_expired(&mut self, now: Millis) -> Vec<JobId> {
        let keep = self.settings.keep_ended_ms + EXTRA_RETENTION_MS;
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.end_stored && now.since(job.ended_ms) > keep)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.jobs.remove(id);
        }
        expired
    }
}
