//! The roster: facts on workers that are stored for the next leader.
//!
//! Load pattern: some workers have not answered for seconds when the leader dies. Inherited tasks
//! may run there, so the next leader waits until their leases have expired. The roster bounds that
//! wait; without it the wait is a full lease duration from the change of leader.
//!
//! A worker that a stored roster reports as silent gets neither a lease nor tasks until a newer
//! roster is stored, so that the roster holds whenever it is read.

use std::net::SocketAddr;

use eventlog::event;
use serde::{Deserialize, Serialize};
use types::{Millis, Resources, WorkerId};

use crate::cell::Cell;
use crate::worker::{Worker, WorkerReport};

/// A worker without an answer for this long is reported as silent; shorter gaps are common.
const SILENT_AFTER_MS: Millis = Millis(1_000);
/// The remaining lease time is rounded up to a multiple of this, so that the roster changes, and is
/// stored, less often.
const LEASE_LEFT_STEP_MS: u64 = 500;

/// Roster entry of a worker that the next leader must poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Address at which the worker takes calls.
    pub address: SocketAddr,
    /// Start of its incarnation in Unix milliseconds.
    pub incarnation_unix_ms: u64,
    /// Set for a silent worker: upper bound on the remaining time of its leases. Valid from
    /// whenever the roster is read, since the leases are not renewed.
    pub silent_lease_left_ms: Option<Millis>,
}

impl Cell {
    /// Entries of all workers that may run tasks, to be stored for the next leader.
    pub fn roster(&mut self, now: Millis) -> Vec<RosterRow> {
        let mut rows = Vec::new();
        for worker in self.workers.values_mut() {
            // An unlisted worker may still run tasks, even if it was draining: it may be cut off
            // from the store only.
            if !worker.listed && now >= worker.leases_end_ms() {
                continue;
            }
            let silent_lease_left_ms = silent_lease_left_ms(worker, now);
            worker.reported_silent |= silent_lease_left_ms.is_some();
            rows.push(RosterRow {
                worker: worker.report.id.clone(),
                address: worker.report.address,
                incarnation_unix_ms: worker.incarnation_unix_ms,
                silent_lease_left_ms,
            });
        }
        rows
    }

    /// Records that a roster is stored and can no longer be replaced by an earlier one.
    pub fn roster_stored(&mut self, rows: &[RosterRow]) {
        for row in rows.iter().filter(|row| row.silent_lease_left_ms.is_none()) {
            if let Some(worker) = self.workers.get_mut(&row.worker) {
                self.needs_scheduling |= worker.reported_silent;
                worker.reported_silent = false;
            }
        }
    }

    /// Applies a roster entry of the former leader. Listed workers must have been added before.
    pub fn restore_roster_row(&mut self, row: &RosterRow, now: Millis) {
        self.add_former_leader_worker(placeholder_report(row), now);
        let Some(left_ms) = row.silent_lease_left_ms else { return };
        let Some(worker) = self.workers.get_mut(&row.worker) else { return };
        event!("worker.reported_silent", "worker" => row.worker.as_str(), "left_ms" => left_ms.0,
            "listed" => worker.listed);
        worker.reported_silent = true;
        if !worker.attached {
            worker.unseen_runs_until_ms = now + left_ms;
        }
    }
}

/// Report for a worker of a former leader that is not listed. It gets no tasks.
fn placeholder_report(row: &RosterRow) -> WorkerReport {
    WorkerReport {
        id: row.worker.clone(),
        incarnation_unix_ms: row.incarnation_unix_ms,
        address: row.address,
        service: Default::default(),
        rack: None,
        labels: Vec::new(),
        capacity: Resources::ZERO,
        draining: true,
        leaves_in_ms: None,
    }
}

/// Time until the leases of a silent worker expire, rounded up; none if it is not silent.
fn silent_lease_left_ms(worker: &Worker, now: Millis) -> Option<Millis> {
    let silent = !worker.reachable && now.since(worker.last_answer_ms) >= SILENT_AFTER_MS;
    let left_ms = worker.leases_end_ms().since(now);
    silent.then(|| Millis(left_ms.0.div_ceil(LEASE_LEFT_STEP_MS) * LEASE_LEFT_STEP_MS))
}
