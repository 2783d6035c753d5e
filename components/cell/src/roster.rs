//! The roster: facts on workers that are stored for the next leader.
//!
//! Load pattern: some workers have not answered for seconds when the leader dies. Inherited tasks
//! may run there, so the next leader waits until their leases have expired. The roster bounds that
//! wait; without it the wait is a full lease duration from the change of leader.
//!
//! A worker that a stored roster reports as silent gets neither a lease nor tasks until a newer
//! roster is stored, so that the roster holds whenever it is read. The same goes for the tasks that it
//! names: it does so for silent workers and for those that drain, which may leave before the next
//! leader hears of them. One that drains and is empty needs no lease either.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use eventlog::event;
use serde::{Deserialize, Serialize};
use types::{Millis, Resources, WorkerId};

use crate::cell::Cell;
use crate::model::TaskKey;
use crate::permission::StartPermission;
use crate::worker::{Worker, WorkerReport};

/// A worker without an answer for this long is reported as silent; shorter gaps are common.
const SILENT_AFTER_MS: Millis = Millis(1_000);
/// Most tasks that an entry names. A worker of 64 cores runs some tens.
const MAX_NAMED_TASKS: usize = 200;
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
    /// Start of its incarnation in Unix milliseconds; 0 while that may have longer leases than leaders
    /// grant. The next leader takes any other incarnation for one that may have them.
    pub incarnation_unix_ms: u64,
    /// Set for a silent worker: upper bound on the remaining time of its leases. Valid from
    /// whenever the roster is read, since the leases are not renewed.
    pub silent_lease_left_ms: Option<Millis>,
    /// For a worker that is silent or drains: the only tasks that may run there, or have run there
    /// and are not stored as ended; none if not known.
    pub tasks: Option<Vec<TaskKey>>,
}

impl RosterRow {
    /// Whether the former leader has bounded the leases of the incarnation that the worker's entry shows.
    /// A worker without an entry may have restarted since, unless it takes no work until a newer roster
    /// is stored.
    fn describes(&self, worker: &Worker) -> bool {
        let is_same = self.incarnation_unix_ms == worker.incarnation_unix_ms;
        is_same && self.incarnation_unix_ms > 0 && (worker.listed || self.tasks.is_some())
    }
}

impl Cell {
    /// Entries of all workers that may run tasks, to be stored for the next leader.
    pub fn roster(&mut self, now: Millis) -> Vec<RosterRow> {
        self.roster_with(SILENT_AFTER_MS, now)
    }

    /// Entries for the end of a term, after which no worker gets orders: one that did not answer the
    /// last call is silent.
    pub fn last_roster(&mut self, now: Millis) -> Vec<RosterRow> {
        self.set_start_permission(StartPermission::Nothing);
        self.roster_with(Millis(0), now)
    }

    fn roster_with(&mut self, silent_after_ms: Millis, now: Millis) -> Vec<RosterRow> {
        let mut rows = Vec::new();
        for worker in self.workers.values_mut() {
            // An unlisted worker may still run tasks, even if it was draining: it may be cut off
            // from the store only.
            if !worker.listed && now >= worker.leases_end_ms() {
                continue;
            }
            let is_silent =
                !worker.reachable && now.since(worker.last_answer_ms) >= silent_after_ms;
            let tasks = (is_silent || worker.report.draining).then(|| name_tasks(worker)).flatten();
            let is_empty = tasks.as_ref().is_some_and(Vec::is_empty);
            let reports = is_silent || (worker.report.draining && is_empty);
            worker.reported_silent |= reports;
            let is_settled = !worker.may_have_long_leases(now);
            rows.push(RosterRow {
                worker: worker.report.id.clone(),
                address: worker.report.address,
                incarnation_unix_ms: if is_settled { worker.incarnation_unix_ms } else { 0 },
                silent_lease_left_ms: reports.then(|| lease_left_ms(worker, now)),
                tasks,
            });
        }
        rows
    }

    /// Records that a roster is stored and can no longer be replaced by an earlier one.
    pub fn roster_stored(&mut self, rows: &[RosterRow]) {
        for row in rows {
            let Some(worker) = self.workers.get_mut(&row.worker) else { continue };
            if row.silent_lease_left_ms.is_none() {
                self.needs_scheduling |= worker.reported_silent;
                worker.reported_silent = false;
            }
            if row.tasks.is_none() {
                self.needs_scheduling |= worker.named_tasks.is_some();
                worker.named_tasks = None;
            }
        }
    }

    /// Applies a roster entry of the former leader. Listed workers must have been added before.
    pub fn restore_roster_row(&mut self, row: &RosterRow, now: Millis) {
        self.add_former_leader_worker(placeholder_report(row), now);
        let lease_ms = self.former_leader_lease_ms();
        let late_starts_until_ms = now + self.late_starts_ms();
        let Some(worker) = self.workers.get_mut(&row.worker) else { return };
        if !worker.attached && row.describes(worker) {
            worker.long_leases_until_ms = Some(now);
            worker.unseen_runs_until_ms = now + lease_ms;
        }
        worker.named_tasks.clone_from(&row.tasks);
        if !worker.attached {
            worker.former_tasks.clone_from(&row.tasks);
        }
        let Some(left_ms) = row.silent_lease_left_ms else { return };
        event!("worker.reported_silent", "worker" => row.worker.as_str(), "left_ms" => left_ms.0,
            "listed" => worker.listed, "tasks" => row.tasks.as_ref().map(Vec::len));
        worker.reported_silent = true;
        if worker.attached {
            return;
        }
        worker.unseen_runs_until_ms = now + left_ms;
        if row.incarnation_unix_ms != worker.incarnation_unix_ms {
            worker.expect_late_starts(late_starts_until_ms);
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
        domain: None,
        rack: None,
        labels: Vec::new(),
        capacity: Resources::ZERO,
        draining: true,
        leaves_in_ms: None,
        cold_remaining_ms: Millis(0),
    }
}

/// Time until the leases of a worker expire, rounded up.
fn lease_left_ms(worker: &Worker, now: Millis) -> Millis {
    let left_ms = worker.leases_end_ms().since(now);
    Millis(left_ms.0.div_ceil(LEASE_LEFT_STEP_MS) * LEASE_LEFT_STEP_MS)
}

/// The only tasks that may run on a worker that takes no new ones, or have run there and are not
/// stored as ended; none if not known. Those named before are kept while they include all of these,
/// so that the roster is not stored again with each end.
fn name_tasks(worker: &mut Worker) -> Option<Vec<TaskKey>> {
    if !worker.attached {
        return worker.former_tasks.clone();
    }
    let current = worker.runs.keys().chain(worker.unstored_ends.values());
    let named = worker.named_tasks.as_ref();
    let is_named = |task| named.is_some_and(|named| named.contains(task));
    let is_empty = worker.runs.is_empty() && worker.unstored_ends.is_empty();
    if is_empty || !current.clone().all(is_named) {
        let current: BTreeSet<&TaskKey> = current.collect();
        if current.len() > MAX_NAMED_TASKS {
            // What a stored roster names stays in force until a newer one is stored.
            return None;
        }
        worker.named_tasks = Some(current.into_iter().cloned().collect());
    }
    worker.named_tasks.clone()
}
