//! What the next leader must know of workers.
//!
//! Load pattern: some workers have been dark for seconds when the leader dies. Inherited tasks may
//! run there, so the next leader waits until their leases are over. The roster tells how long
//! that is; without it the wait is a whole lease from the change of leader.
//!
//! A worker that a stored roster calls silent gets neither a lease nor tasks until a newer roster
//! is stored, so that the roster stays true whenever it is read.

use std::net::SocketAddr;

use eventlog::event;
use serde::{Deserialize, Serialize};
use types::{Millis, Resources, WorkerId};

use crate::cell::Cell;
use crate::worker::{Worker, WorkerReport};

/// A worker that does not answer for this long is told silent; shorter silences are common.
const SILENT_AFTER_MS: Millis = Millis(1_000);
/// The time that is left of leases is told in steps, so that the roster is not stored all the time.
const LEASE_LEFT_STEP_MS: u64 = 500;

/// A worker that the next leader must look at.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Start of its life, Unix milliseconds.
    pub incarnation_unix_ms: u64,
    /// Set for a silent worker: its leases are over within this time of any later moment.
    pub silent_lease_left_ms: Option<Millis>,
}

impl Cell {
    /// The reports of all workers, to be stored for the next leader.
    pub fn roster(&mut self, now: Millis) -> Vec<RosterRow> {
        let mut rows = Vec::new();
        for worker in self.workers.values_mut() {
            // One that is missing from the list may still run tasks, also if it drains: it may be
            // cut off from the store alone.
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

    /// A roster is stored, and no earlier one can take its place any more.
    pub fn roster_stored(&mut self, rows: &[RosterRow]) {
        for row in rows.iter().filter(|row| row.silent_lease_left_ms.is_none()) {
            if let Some(worker) = self.workers.get_mut(&row.worker) {
                self.needs_scheduling |= worker.reported_silent;
                worker.reported_silent = false;
            }
        }
    }

    /// What the former leader stored of a worker. Workers that are listed are known already.
    pub fn take_roster_row(&mut self, row: &RosterRow, now: Millis) {
        self.add_former_leader_worker(placeholder_report(row), now);
        let Some(left_ms) = row.silent_lease_left_ms else { return };
        let Some(worker) = self.workers.get_mut(&row.worker) else { return };
        event!("worker.silent_before", "worker" => row.worker.as_str(), "left_ms" => left_ms.0,
            "listed" => worker.listed);
        worker.reported_silent = true;
        if !worker.attached {
            worker.unseen_runs_until_ms = now + left_ms;
        }
    }
}

/// Stands for a worker that a former leader used and that is no longer listed. It gets no tasks.
fn placeholder_report(row: &RosterRow) -> WorkerReport {
    WorkerReport {
        id: row.worker.clone(),
        born_unix_ms: row.incarnation_unix_ms,
        address: row.address,
        service: Default::default(),
        rack: None,
        labels: Vec::new(),
        capacity: Resources::ZERO,
        draining: true,
        leaves_in_ms: None,
    }
}

/// Time until the leases of a silent worker are over, rounded up.
fn silent_lease_left_ms(worker: &Worker, now: Millis) -> Option<Millis> {
    let silent = !worker.reachable && now.since(worker.last_answer_ms) >= SILENT_AFTER_MS;
    let left_ms = worker.leases_end_ms().since(now);
    silent.then(|| Millis(left_ms.0.div_ceil(LEASE_LEFT_STEP_MS) * LEASE_LEFT_STEP_MS))
}
