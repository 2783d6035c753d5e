//! The roster: facts on workers that are stored for the next leader.
//!
//! Load pattern: some workers have not answered for seconds when the leader dies. Inherited tasks
//! may run there, so the next leader waits until their leases have expired. The roster bounds that
//! wait; without it the wait is a full lease duration from the change of leader.
//!
//! A worker that a stored roster reports as silent gets neither a lease nor tasks until a newer
//! roster is stored, so that the roster holds whenever it is read. The same goes for the tasks that it
//! names: it does so for silent workers and for those that drain, which may leave before the next
//! leader hears of them, and at the end of a term for all. One that drains and is empty needs no lease
//! either.
//!
//! Leaders may follow one another faster than a lease expires, as in a rolling restart. So a wait goes on under
//! the next leader instead of beginning again: a worker that has not answered a leader got no lease from it,
//! and is reported with the time that is left.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use eventlog::event;
use serde::{Deserialize, Serialize};
use types::{Millis, Resources, WorkerId};

use crate::cell::Cell;
use crate::model::TaskKey;
use crate::permission::StartPermission;
use crate::worker::{RunState, Worker, WorkerReport};

/// A worker without an answer for this long is reported as silent; shorter gaps are common.
const SILENT_AFTER_MS: Millis = Millis(1_000);
/// Time after which a listed worker that has not answered this leader is silent at the end of its term. Most
/// answer within some tens of milliseconds; what is reported as silent gets no lease from the next leader
/// until that has stored a roster.
const FIRST_ANSWER_MS: Millis = Millis(500);
/// Most tasks that an entry names. A worker of 64 cores runs some tens.
const MAX_NAMED_TASKS: usize = 200;
/// Most tasks that the last roster of a term names for workers that answer: 100 KB, which take 80 ms on a
/// link of 10 Mbit/s.
const MAX_HANDED_OVER_TASKS: usize = 5_000;
/// During a term the remaining lease time is rounded up to a multiple of this, so that the roster changes,
/// and is stored, less often.
const LEASE_LEFT_STEP_MS: u64 = 500;

/// Roster entry of a worker that the next leader must poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Address at which the worker takes calls.
    pub address: SocketAddr,
    /// Start of its incarnation in Unix milliseconds; 0 while that may have longer leases than leaders
    /// grant, or has not answered a start. The next leader takes any other incarnation for one that may have
    /// them, and that calls without an answer may reach.
    pub incarnation_unix_ms: u64,
    /// Set for a silent worker: upper bound on the remaining time of its leases. Valid from
    /// whenever the roster is read, since the leases are not renewed.
    pub silent_lease_left_ms: Option<Millis>,
    /// For a worker that is silent or drains, and for each at the end of a term: the only tasks that may
    /// run there, or have run there and are not stored as ended; none if not known.
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
        let max_lease_ms = self.settings.max_lease_ms;
        let rows = self.workers.values_mut().filter_map(|worker| {
            let is_silent = worker.is_silent_for(SILENT_AFTER_MS, now);
            let names = is_silent || worker.report.draining;
            let tasks = names.then(|| keep_named_tasks(worker)).flatten();
            let mut row = roster_row(worker, is_silent, tasks, max_lease_ms, now)?;
            row.silent_lease_left_ms = row.silent_lease_left_ms.map(round_lease_left);
            Some(row)
        });
        rows.collect()
    }

    /// Entries for the end of a term, after which no worker gets orders. They name exactly what may run:
    /// a task that has ended does not wait for its worker under the next leaders. One that did not answer
    /// the last call, or has not answered this leader, is silent.
    pub fn last_roster(&mut self, now: Millis) -> Vec<RosterRow> {
        self.set_start_permission(StartPermission::Nothing);
        self.has_handed_over = true;
        let max_lease_ms = self.settings.max_lease_ms;
        let count = |worker: &Worker| worker.runs.len() + worker.unstored_ends.len();
        let names_all = self.workers.values().map(count).sum::<usize>() <= MAX_HANDED_OVER_TASKS;
        let rows = self.workers.values_mut().filter_map(|worker| {
            let is_late = now.since(worker.unlisted_since_ms) >= FIRST_ANSWER_MS;
            let is_silent =
                worker.is_silent_for(Millis(0), now) || (worker.never_answered() && is_late);
            let names = names_all || is_silent || worker.report.draining;
            let tasks = names.then(|| name_tasks(worker)).flatten();
            let mut row = roster_row(worker, is_silent, tasks, max_lease_ms, now)?;
            let is_starting = worker.runs.values().any(|run| run.state == RunState::Starting);
            if is_starting && !is_silent && !worker.report.draining {
                // A start on its way may reach another incarnation, if it is unlisted by then.
                row.incarnation_unix_ms = 0;
            }
            Some(row)
        });
        rows.collect()
    }

    /// Records that a roster is stored and can no longer be replaced by an earlier one.
    pub fn roster_stored(&mut self, rows: &[RosterRow]) {
        if self.has_handed_over {
            // An earlier roster. What the last one says stays in force.
            return;
        }
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

    /// Applies a roster entry that a former leader has stored before this one was elected at `elected_ms`.
    /// Listed workers must have been added before.
    pub fn restore_roster_row(&mut self, row: &RosterRow, elected_ms: Millis, now: Millis) {
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
            worker.former_incarnation_unix_ms = row.incarnation_unix_ms;
        }
        let Some(left_ms) = row.silent_lease_left_ms else { return };
        event!("worker.reported_silent", "worker" => row.worker.as_str(), "left_ms" => left_ms.0,
            "listed" => worker.listed, "tasks" => row.tasks.as_ref().map(Vec::len));
        worker.reported_silent = true;
        if worker.attached {
            return;
        }
        worker.unseen_runs_until_ms = elected_ms + left_ms;
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

/// Rounds the time up that is left of a lease.
fn round_lease_left(left_ms: Millis) -> Millis {
    Millis(left_ms.0.div_ceil(LEASE_LEFT_STEP_MS) * LEASE_LEFT_STEP_MS)
}

/// Entry of a worker; none for one that cannot run anything any more.
fn roster_row(
    worker: &mut Worker,
    is_silent: bool,
    tasks: Option<Vec<TaskKey>>,
    max_lease_ms: Millis,
    now: Millis,
) -> Option<RosterRow> {
    // An unlisted worker may still run tasks, even if it was draining: it may be cut off from the store
    // only.
    if !worker.listed && now >= worker.leases_end_ms() {
        return None;
    }
    let is_empty = tasks.as_ref().is_some_and(Vec::is_empty);
    let reports = is_silent || (worker.report.draining && is_empty);
    worker.reported_silent |= reports;
    worker.has_silent_row = reports;
    let mut runs = worker.runs.values();
    let may_start_late = runs.any(|run| worker.may_start_late(run, max_lease_ms, now));
    let is_settled = !worker.may_have_long_leases(now) && !may_start_late;
    Some(RosterRow {
        worker: worker.report.id.clone(),
        address: worker.report.address,
        incarnation_unix_ms: if is_settled { worker.incarnation_unix_ms } else { 0 },
        silent_lease_left_ms: reports.then(|| worker.leases_end_ms().since(now)),
        tasks,
    })
}

/// The tasks named before while they include all that may run, so that the roster is not stored again
/// with each end, or else exactly those.
fn keep_named_tasks(worker: &mut Worker) -> Option<Vec<TaskKey>> {
    let named = worker.named_tasks.as_ref();
    let is_named = |task| named.is_some_and(|named| named.contains(task));
    let includes_all = worker.tasks_until_stored().all(is_named);
    let is_empty = worker.tasks_until_stored().next().is_none();
    if worker.attached && includes_all && !is_empty {
        return worker.named_tasks.clone();
    }
    name_tasks(worker)
}

/// The only tasks that may run on a worker that takes no new ones, or have run there and are not
/// stored as ended; none if not known.
fn name_tasks(worker: &mut Worker) -> Option<Vec<TaskKey>> {
    if !worker.attached {
        return worker.former_tasks.clone();
    }
    let current: BTreeSet<&TaskKey> = worker.tasks_until_stored().collect();
    if current.len() > MAX_NAMED_TASKS {
        // What a stored roster names stays in force until a newer one is stored.
        return None;
    }
    let current: Vec<TaskKey> = current.into_iter().cloned().collect();
    worker.named_tasks = Some(current.clone());
    Some(current)
}

impl Worker {
    /// Whether it has not answered for this long, or has not answered at all although a stored roster reports
    /// it as silent, or it has left the list of workers.
    fn is_silent_for(&self, silent_after_ms: Millis, now: Millis) -> bool {
        let is_lost = !self.reachable && now.since(self.last_answer_ms) >= silent_after_ms;
        is_lost || (self.never_answered() && (self.reported_silent || !self.listed))
    }

    /// Whether this leader has no answer of it, and has renewed no lease on it.
    fn never_answered(&self) -> bool {
        self.last_answer_ms == Millis(0)
    }

    /// Tasks that run there or whose ends are not stored.
    fn tasks_until_stored(&self) -> impl Iterator<Item = &TaskKey> {
        self.runs.keys().chain(self.unstored_ends.values())
    }
}
