//! Workers: attachment, leases, sync messages, quarantine.

use std::collections::{BTreeMap, BTreeSet};

use libs::compact_str::CompactString;
use types::{
    Attempt, Epoch, Millis, Priority, RackId, Resources, StartTask, StopTask, SyncRequest, TaskId,
    TeamId, WorkerId, WorkerInfo,
};

/// Clock drift to allow for, in parts per thousand.
const CLOCK_DRIFT_PER_MILLE: u64 = 10;
/// Safety margin added to every computed expiry.
const EXPIRY_MARGIN_MS: Millis = Millis(100);
/// Sync interval of a worker without tasks, in poll intervals.
const IDLE_SYNC_POLLS: u64 = 4;
/// Maximum delay between calls to a back end that does not answer.
const MAX_BACKOFF_MS: Millis = Millis(5_000);
/// Consecutive failures after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 5;
/// Number of different jobs that must have failed on a worker before it is quarantined.
const QUARANTINE_JOBS: usize = 2;
/// Duration of a quarantine. Afterwards the worker is on probation.
const QUARANTINE_MS: Millis = Millis(30_000);

/// Local time by which a term that runs on a remote clock has certainly expired.
pub(crate) fn remote_expiry(answered_at: Millis, term_ms: Millis) -> Millis {
    let drift_ms = Millis(term_ms.0 * CLOCK_DRIFT_PER_MILLE / 1000);
    answered_at + term_ms + drift_ms + EXPIRY_MARGIN_MS
}

/// State of the calls to a back end, and its clock.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    /// Last reported incarnation; zero if the back end has not answered under this owner.
    pub(crate) incarnation: u64,
    /// Last reported time of the remote clock.
    pub(crate) remote_clock_ms: Millis,
    /// When that time was received.
    pub(crate) answered_at: Millis,
    /// Number and send time of the outstanding call.
    pub(crate) call: Option<(u64, Millis)>,
    pub(crate) next_call_at: Millis,
    /// Number of consecutive failed calls.
    pub(crate) failures: u32,
}

impl Link {
    /// Whether the last call failed.
    pub(crate) fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Records a failed call and schedules the next one with exponential backoff.
    pub(crate) fn record_failure(&mut self, now: Millis, poll_ms: Millis) {
        self.call = None;
        let wait = Millis(poll_ms.0 << self.failures.min(6)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.next_call_at = now + wait;
    }
}

/// Progress of a placed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its intent is being committed.
    Committing,
    /// Waiting for the next sync.
    Queued,
    /// First sent with the sync of this call number.
    Sent(u64),
    /// Reported as running by the worker.
    Running,
}

/// A task that is placed on a worker.
#[derive(Debug, Clone)]
pub(crate) struct PlacedTask {
    pub(crate) attempt: Attempt,
    pub(crate) team: TeamId,
    pub(crate) priority: Priority,
    pub(crate) resources: Resources,
    pub(crate) run_ms: Millis,
    pub(crate) placed_at: Millis,
    pub(crate) phase: Phase,
    /// Set once the task was asked to stop; true if with a checkpoint.
    pub(crate) stopping: Option<bool>,
    /// Whether its job no longer exists. It still counts as using resources until the worker
    /// reports its end.
    pub(crate) orphan: bool,
}

impl PlacedTask {
    /// Whether the task was certainly not sent to its worker.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self.phase, Phase::Committing | Phase::Queued)
    }
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// Whether the platform's list contains it.
    pub(crate) listed: bool,
    /// Whether the journal contains it, so that the next owner will attach to it.
    pub(crate) joined: bool,
    /// Whether its journal record is being committed.
    pub(crate) joining: bool,
    /// Whether it has accepted this owner's epoch and reported what it runs.
    pub(crate) attached: bool,
    pub(crate) link: Link,
    pub(crate) tasks: BTreeMap<TaskId, PlacedTask>,
    /// Tasks that it runs but should not: earlier attempts of tasks placed on it.
    pub(crate) unexpected_tasks: BTreeMap<TaskId, Attempt>,
    pub(crate) forget: BTreeSet<TaskId>,
    /// When its lease has certainly expired, unless it answers before.
    pub(crate) lease_expires_at: Option<Millis>,
    pub(crate) consecutive_failures: u32,
    pub(crate) failed_jobs: BTreeSet<CompactString>,
    pub(crate) quarantined_until: Option<Millis>,
    /// Runs one task at a time after a quarantine, until a task succeeds.
    pub(crate) on_probation: bool,
    /// Whether it is reserved for a waiting gang.
    pub(crate) reserved: bool,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo, listed: bool) -> Self {
        Self {
            info,
            listed,
            joined: false,
            joining: false,
            attached: false,
            link: Link::default(),
            tasks: BTreeMap::new(),
            unexpected_tasks: BTreeMap::new(),
            forget: BTreeSet::new(),
            lease_expires_at: None,
            consecutive_failures: 0,
            failed_jobs: BTreeSet::new(),
            quarantined_until: None,
            on_probation: false,
            reserved: false,
        }
    }

    /// Whether it accepts new tasks.
    pub(crate) fn is_schedulable(&self) -> bool {
        let probation_busy = self.on_probation && !self.tasks.is_empty();
        self.attached
            && self.joined
            && self.listed
            && !self.info.leaving
            && !self.link.is_suspect()
            && self.quarantined_until.is_none()
            && self.unexpected_tasks.is_empty()
            && !self.reserved
            && !probation_busy
    }

    /// State as shown to operators.
    pub(crate) fn state(&self) -> &'static str {
        if !self.attached {
            "unattached"
        } else if self.quarantined_until.is_some() {
            "quarantined"
        } else if self.info.leaving || !self.listed {
            "leaving"
        } else if self.link.is_suspect() {
            "silent"
        } else {
            "up"
        }
    }

    /// Whether there are changes to send with the next sync.
    pub(crate) fn has_pending_sync(&self) -> bool {
        let queued =
            self.tasks.values().any(|task| task.phase == Phase::Queued || task.stopping.is_some());
        queued || !self.unexpected_tasks.is_empty()
    }

    /// Builds a sync and records it as the outstanding call. Without `may_start`, starts are not sent
    /// again either: the answer then shows whether the first one arrived.
    pub(crate) fn build_sync(
        &mut self,
        call: u64,
        epoch: Epoch,
        lease_ms: Millis,
        now: Millis,
        may_start: bool,
    ) -> SyncRequest {
        self.link.call = Some((call, now));
        let mut start = Vec::new();
        let mut stop = Vec::new();
        for (id, task) in &mut self.tasks {
            if let Some(checkpoint) = task.stopping {
                stop.push(StopTask { task: id.clone(), attempt: task.attempt, checkpoint });
                continue;
            }
            if may_start && self.attached && matches!(task.phase, Phase::Queued | Phase::Sent(_)) {
                let first_sent = if let Phase::Sent(first) = task.phase { first } else { call };
                task.phase = Phase::Sent(first_sent);
                start.push(StartTask {
                    task: id.clone(),
                    attempt: task.attempt,
                    resources: task.resources,
                    run_ms: task.run_ms,
                });
            }
        }
        for (task, attempt) in &self.unexpected_tasks {
            stop.push(StopTask { task: task.clone(), attempt: *attempt, checkpoint: false });
        }
        SyncRequest {
            epoch,
            sequence: call,
            incarnation: self.link.incarnation,
            lease_until_ms: self.link.remote_clock_ms + lease_ms,
            start,
            stop,
            forget: self.forget.iter().cloned().collect(),
        }
    }

    /// Time of the next regular sync after an answer.
    pub(crate) fn next_sync_after(&self, now: Millis, poll_ms: Millis, lease_ms: Millis) -> Millis {
        let idle = self.tasks.is_empty() && self.forget.is_empty();
        let wait = if idle {
            Millis(poll_ms.0 * IDLE_SYNC_POLLS).min(Millis(lease_ms.0 / 4))
        } else {
            poll_ms
        };
        now + wait
    }

    /// Records the result of a task that ended by itself. Returns true if the worker is now
    /// quarantined.
    pub(crate) fn record_result(&mut self, job: &str, failed: bool, now: Millis) -> bool {
        if !failed {
            self.consecutive_failures = 0;
            self.failed_jobs.clear();
            self.on_probation = false;
            return false;
        }
        self.consecutive_failures += 1;
        self.failed_jobs.insert(CompactString::new(job));
        let several_jobs = self.failed_jobs.len() >= QUARANTINE_JOBS;
        let fails_everything = self.consecutive_failures >= QUARANTINE_FAILURES && several_jobs;
        if self.quarantined_until.is_none() && (fails_everything || self.on_probation) {
            self.quarantined_until = Some(now + QUARANTINE_MS);
            return true;
        }
        false
    }

    /// Ends a quarantine whose time is over. Returns true if it ended.
    pub(crate) fn end_quarantine(&mut self, now: Millis) -> bool {
        if self.quarantined_until.is_none_or(|until| until > now) {
            return false;
        }
        self.quarantined_until = None;
        self.on_probation = true;
        self.consecutive_failures = 0;
        true
    }

    pub(crate) fn rack(&self) -> &RackId {
        &self.info.rack
    }
}

#[derive(Debug, Default)]
pub(crate) struct Workers {
    pub(crate) by_id: BTreeMap<WorkerId, Worker>,
    /// Workers of the former owner that may still run unknown tasks.
    pub(crate) unresolved: BTreeSet<WorkerId>,
    /// Workers to sync before their next regular sync.
    pub(crate) pending_syncs: BTreeSet<WorkerId>,
}
