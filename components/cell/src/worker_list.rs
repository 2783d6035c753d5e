//! Changes of the list of workers.

use evacuation::Evacuations;
use eventlog::event;
use types::{Millis, WorkerId};

use crate::action::Action;
use crate::cell::Cell;
use crate::worker::{MAX_CALL_DELAY_MS, Worker, WorkerReport, with_clock_drift};

/// Margin for calls in flight from a former leader, which renews no leases once its own has
/// expired.
const FORMER_LEADER_MARGIN_MS: Millis = Millis(200);
/// Epoch of the first leader.
const FIRST_EPOCH: u64 = 1;
/// Time after which an unlisted worker without runs is removed.
const UNLISTED_RETENTION_MS: Millis = Millis(20_000);

impl Cell {
    /// Adds or updates a worker from its entry in the list of workers. One whose entry no worker can
    /// have written counts as unlisted.
    pub fn worker_listed(&mut self, report: WorkerReport, now: Millis) {
        if let Some(problem) = report.problem() {
            event!("worker.entry_rejected", "worker" => report.id.as_str(), "problem" => problem,
                "address" => report.address.to_string(), "capacity" => report.capacity.to_string());
            self.worker_unlisted(&report.id, now);
            return;
        }
        let late_starts_until_ms = now + self.late_starts_ms();
        match self.workers.get_mut(&report.id) {
            Some(worker) => {
                // Workers write their entries again and again, mostly without a change.
                self.needs_scheduling |= worker.report != report || !worker.listed;
                if worker.report.draining != report.draining
                    || worker.report.capacity != report.capacity
                    || worker.report.domain != report.domain
                    || !worker.listed
                {
                    event!("worker.changed", "worker" => report.id.as_str(),
                        "draining" => report.draining, "was_listed" => worker.listed,
                        "capacity" => report.capacity.to_string(),
                        "domain" => report.domain.as_ref().map(|domain| domain.as_str()),
                        "used" => worker.used.to_string());
                }
                worker.listed = true;
                let restarted = report.incarnation_unix_ms > worker.incarnation_unix_ms;
                worker.leaves_ms = leaves_ms(&report, now);
                worker.cold_until_ms = now + report.cold_remaining_ms;
                worker.is_evacuated = is_evacuated(&self.evacuations, &report, now);
                worker.report = report;
                if restarted {
                    worker.expect_late_starts(late_starts_until_ms);
                    // Only the new incarnation can tell which orders reached it.
                    self.actions.push(Action::Poll(worker.report.id.clone()));
                }
            }
            None => {
                self.needs_scheduling = true;
                event!("worker.found", "worker" => report.id.as_str(),
                    "address" => report.address.to_string(), "capacity" => report.capacity.to_string());
                let leaves_ms = leaves_ms(&report, now);
                let is_evacuated = is_evacuated(&self.evacuations, &report, now);
                let cold_until_ms = now + report.cold_remaining_ms;
                let mut worker = Worker::new(report, now);
                worker.leaves_ms = leaves_ms;
                worker.is_evacuated = is_evacuated;
                worker.cold_until_ms = cold_until_ms;
                if self.recovering {
                    worker.unseen_runs_until_ms = now + self.longest_former_lease_ms();
                }
                if self.epoch == FIRST_EPOCH {
                    // No former leader has called it.
                    worker.long_leases_until_ms = Some(now);
                }
                let id = worker.report.id.clone();
                self.workers.insert(id.clone(), worker);
                self.recall_worker(&id);
            }
        }
    }

    /// Adds an unlisted worker that a former leader used. Does nothing if the worker is known.
    ///
    /// Such a worker has lost touch with the store, but may have answered the former leader until
    /// its term ended, and may have restarted, so its leases may be the longest ones.
    pub(crate) fn add_former_leader_worker(&mut self, report: WorkerReport, now: Millis) {
        if self.workers.contains_key(&report.id) {
            return;
        }
        event!("worker.of_former_leader", "worker" => report.id.as_str());
        let mut worker = Worker::new(report, now);
        worker.listed = false;
        worker.unseen_runs_until_ms = now + self.longest_former_lease_ms();
        self.workers.insert(worker.report.id.clone(), worker);
    }

    /// Time after which the leases have expired that a former leader has granted.
    pub(crate) fn former_leader_lease_ms(&self) -> Millis {
        with_clock_drift(self.settings.lease_ms) + FORMER_LEADER_MARGIN_MS
    }

    /// The same for a worker that may have restarted lately: it may have taken the deadline in a call to
    /// its former incarnation for one on its own clock.
    fn longest_former_lease_ms(&self) -> Millis {
        if self.epoch == FIRST_EPOCH {
            return self.former_leader_lease_ms();
        }
        with_clock_drift(self.settings.max_lease_ms) + FORMER_LEADER_MARGIN_MS
    }

    /// Time in which an unanswered call may start a run on a worker that has restarted, and in which that
    /// run's lease expires.
    pub(crate) fn late_starts_ms(&self) -> Millis {
        MAX_CALL_DELAY_MS + self.longest_former_lease_ms()
    }

    /// Records that a worker is no longer in the list of workers.
    pub fn worker_unlisted(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.listed {
            event!("worker.unlisted", "worker" => id.as_str(), "runs" => worker.runs.len());
            worker.listed = false;
            worker.unlisted_since_ms = now;
        }
    }

    /// Removes unlisted workers that can no longer run any task of this cell.
    pub(crate) fn remove_unlisted_workers(&mut self, now: Millis) {
        self.workers.retain(|_, worker| {
            worker.listed
                || !worker.runs.is_empty()
                || now < worker.leases_end_ms()
                || now.since(worker.unlisted_since_ms) < UNLISTED_RETENTION_MS
        });
    }
}

/// Whether the domain in a worker's entry is evacuated, or the worker has not returned yet.
fn is_evacuated(evacuations: &Evacuations, report: &WorkerReport, now: Millis) -> bool {
    !evacuations.takes_work(report.domain.as_ref(), &report.id, now)
}

/// Earliest time at which a draining worker leaves, if known.
fn leaves_ms(report: &WorkerReport, now: Millis) -> Option<Millis> {
    report.leaves_in_ms.filter(|_| report.draining).map(|left_ms| now + left_ms)
}
