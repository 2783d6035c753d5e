//! State of workers in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use libs::compact_str::CompactString;
use types::{JobId, Millis, RackId, Resources, TeamId, WorkerId};

use crate::model::{QueuePolicy, StepKey, StepSpec, TaskKey};

/// A worker's clock may run this much slower than ours, in percent, and we allow for one more.
const CLOCK_DRIFT_PERCENT: u64 = 3;
/// Fences of one epoch: one for each life of a worker.
const FENCES_PER_EPOCH: u64 = 10_000;
/// Added to a computed end of a lease for the granularity of timers on both sides.
const LEASE_SLACK_MS: Millis = Millis(150);

/// What a worker says of itself in the list of workers.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerReport {
    /// The worker.
    pub id: WorkerId,
    /// Start of this life, Unix milliseconds.
    pub born_unix_ms: u64,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Service whose tasks it runs.
    pub service: CompactString,
    /// Its rack, if named.
    pub rack: Option<RackId>,
    /// All its labels.
    pub labels: Vec<CompactString>,
    /// What it can hold.
    pub capacity: Resources,
    /// It is leaving and takes no new work.
    pub draining: bool,
    /// While it drains: the least time until it leaves.
    pub leaves_in_ms: Option<Millis>,
}

/// Where a run on a worker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The order to start is on its way.
    Starting,
    /// The worker has confirmed it.
    Running,
    /// It is to be stopped; the worker has not yet confirmed that.
    Stopping,
    /// The worker has confirmed the stop. The run ends, or will never begin.
    Stopped,
}

/// A task on a worker, or maybe on its way there.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) attempt: u32,
    pub(crate) state: RunState,
    pub(crate) charge: Resources,
    /// What counts against the team's limit.
    pub(crate) need: Resources,
    pub(crate) team: Option<TeamId>,
    /// Time of the last change of state.
    pub(crate) state_changed_ms: Millis,
    /// Time at which work began, as far as known.
    pub(crate) started_ms: Millis,
    /// Last order to stop.
    pub(crate) stop_sent_ms: Millis,
    pub(crate) percent: u32,
    pub(crate) progress_changed_ms: Millis,
    /// Percent of processor time it may use, as last set.
    pub(crate) pace_percent: u32,
    /// Latency tail in milliseconds of a serving task, or processor use of others.
    pub(crate) gauge: u64,
    /// Looks in a row that did not show it although they should have.
    pub(crate) missed_looks: u32,
    /// Times that its start was sent again.
    pub(crate) resends: u32,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: WorkerReport,
    /// It stands in the list of workers.
    pub(crate) listed: bool,
    /// Time since when it is not listed.
    pub(crate) unlisted_since_ms: Millis,
    /// While it drains: the earliest time at which it leaves, if it told.
    pub(crate) leaves_ms: Option<Millis>,
    /// It has seen our epoch and its runs are known.
    pub(crate) attached: bool,
    /// The last call was answered.
    pub(crate) reachable: bool,
    /// A stored roster may call it silent.
    pub(crate) reported_silent: bool,
    /// Life that answered last, Unix milliseconds.
    pub(crate) incarnation_unix_ms: u64,
    /// Lives seen in this epoch after the first.
    pub(crate) restarts: u64,
    /// Last clock of the worker and when we heard it.
    pub(crate) clock_ms: Millis,
    pub(crate) last_answer_ms: Millis,
    /// Time at which the last look that was taken in was sent.
    pub(crate) last_look_sent_ms: Millis,
    /// Latest deadline ever given, on the worker's clock.
    pub(crate) lease_deadline_ms: Millis,
    /// Time before which runs unknown to us may still be alive there.
    pub(crate) unseen_runs_until_ms: Millis,
    pub(crate) used: Resources,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    /// Highest end processed.
    pub(crate) last_processed_end: u64,
    /// Processed ends that are not stored yet, with their jobs.
    pub(crate) unstored_ends: BTreeMap<u64, JobId>,
    pub(crate) health: crate::health::Health,
}

impl Worker {
    pub(crate) fn new(report: WorkerReport, now: Millis) -> Self {
        Self {
            incarnation_unix_ms: report.born_unix_ms,
            restarts: 0,
            report,
            listed: true,
            unlisted_since_ms: now,
            leaves_ms: None,
            attached: false,
            reachable: true,
            reported_silent: false,
            clock_ms: Millis(0),
            last_answer_ms: Millis(0),
            last_look_sent_ms: Millis(0),
            lease_deadline_ms: Millis(0),
            unseen_runs_until_ms: now,
            used: Resources::ZERO,
            runs: BTreeMap::new(),
            last_processed_end: 0,
            unstored_ends: BTreeMap::new(),
            health: crate::health::Health::default(),
        }
    }

    /// The fence of orders to it.
    ///
    /// A new life knows no fence and its clock starts anew, so that a late order to the former
    /// life would be taken. The first look with a higher fence ends that.
    pub(crate) fn fence(&self, epoch: u64) -> u64 {
        epoch * FENCES_PER_EPOCH + self.restarts.min(FENCES_PER_EPOCH - 1)
    }

    pub(crate) fn free(&self) -> Resources {
        self.report.capacity.minus(&self.used)
    }

    /// Whether it may get tasks of a step now, room and tickets aside.
    pub(crate) fn accepts(&self, queue: &QueuePolicy, spec: &StepSpec, now: Millis) -> bool {
        self.attached
            && self.reachable
            && !self.reported_silent
            && self.listed
            && !self.report.draining
            && self.report.service == queue.service
            && spec.label.as_ref().is_none_or(|label| self.report.labels.contains(label))
            && !self.health.in_backoff(now)
    }

    /// Another life of the worker has answered. Its runs are settled by what it shows.
    pub(crate) fn begin_incarnation(&mut self, born_unix_ms: u64, now: Millis) {
        self.incarnation_unix_ms = born_unix_ms;
        self.restarts += 1;
        self.last_processed_end = 0;
        self.unstored_ends.clear();
        self.clock_ms = Millis(0);
        self.last_answer_ms = Millis(0);
        self.lease_deadline_ms = Millis(0);
        self.attached = false;
        self.unseen_runs_until_ms = now;
        self.health = crate::health::Health::default();
    }

    /// Ends up to this number are stored, or need not be.
    pub(crate) fn acknowledgeable_end(&self) -> u64 {
        self.unstored_ends.keys().next().map_or(self.last_processed_end, |first| first - 1)
    }

    /// Runs of a step on this worker.
    pub(crate) fn count_runs(&self, step: &StepKey) -> usize {
        let first = TaskKey { step: step.clone(), index: 0 };
        self.runs.range(first..).take_while(|(task, _)| task.step == *step).count()
    }

    /// More tasks of a step that it has room for.
    pub(crate) fn slots(&self, key: &StepKey, spec: &StepSpec) -> u64 {
        let free = self.free();
        let charge = spec.charge();
        let fit = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let by_room = fit(free.cpu_milli, charge.cpu_milli)
            .min(fit(free.mem_mb, charge.mem_mb))
            .min(fit(free.accels, charge.accels));
        let max = spec.max_per_worker.map_or(u64::MAX, u64::from);
        by_room.min(max.saturating_sub(self.count_runs(key) as u64))
    }

    /// Its clock as far as we know.
    pub(crate) fn clock_now(&self, now: Millis) -> Millis {
        self.clock_ms + now.since(self.last_answer_ms)
    }

    /// Time after which everything it ran under our leases has surely ended.
    pub(crate) fn leases_end_ms(&self) -> Millis {
        let left = self.lease_deadline_ms.since(self.clock_ms);
        let drift = Millis(left.0 * CLOCK_DRIFT_PERCENT / 100);
        (self.last_answer_ms + left + drift + LEASE_SLACK_MS).max(self.unseen_runs_until_ms)
    }

    pub(crate) fn add_run(&mut self, key: TaskKey, run: Run) {
        self.used = self.used.plus(&run.charge);
        self.runs.insert(key, run);
    }

    pub(crate) fn remove_run(&mut self, key: &TaskKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.used = self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.charge));
        Some(run)
    }
}
