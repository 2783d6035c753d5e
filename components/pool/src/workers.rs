//! Workers: attach, lease, the messages to them, and the lapse of their leases.

use std::collections::{BTreeMap, BTreeSet};

use libs::compact_str::CompactString;
use types::{
    Attempt, Epoch, Millis, Priority, RackId, Resources, StartTask, StopTask, SyncRequest, TaskId,
    TeamId, WorkerId, WorkerInfo,
};

/// Clock drift that is allowed for, in parts per thousand.
const DRIFT_PER_MILLE: u64 = 10;
/// Added to every computed end of a lease.
const LAPSE_MARGIN_MS: Millis = Millis(100);
/// Period of syncs with a worker without tasks, in poll periods.
const IDLE_POLLS: u64 = 4;
/// Longest wait between tries to reach a worker that does not answer.
const MAX_RETRY_MS: Millis = Millis(5_000);
/// Failures in a row after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 5;
/// Different jobs that must have failed on a worker before it is quarantined.
const QUARANTINE_JOBS: usize = 2;
/// Time for which a worker is quarantined before one task is tried on it.
const QUARANTINE_MS: Millis = Millis(30_000);

/// The local time at which something that ends on a remote clock has surely ended.
pub(crate) fn lapse_after(heard_at: Millis, term_ms: Millis) -> Millis {
    let drift_ms = Millis(term_ms.0 * DRIFT_PER_MILLE / 1000);
    heard_at + term_ms + drift_ms + LAPSE_MARGIN_MS
}

/// What is known of a remote clock and of the calls to its machine.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    /// Incarnation as last heard; zero if not heard under this owner.
    pub(crate) incarnation: u64,
    /// The remote clock as last heard.
    pub(crate) remote_clock_ms: Millis,
    /// When the answer with that clock arrived.
    pub(crate) heard_at: Millis,
    /// The call that has no answer yet, and when it was sent.
    pub(crate) call: Option<(u64, Millis)>,
    /// When the next call is due.
    pub(crate) next_call_at: Millis,
    /// Failed calls in a row.
    pub(crate) failures: u32,
}

impl Link {
    /// Whether the machine failed to answer lately.
    pub(crate) fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Notes a failed call and sets the time of the next one.
    pub(crate) fn failed(&mut self, now: Millis, poll_ms: Millis) {
        self.call = None;
        let wait = Millis(poll_ms.0 << self.failures.min(6)).min(MAX_RETRY_MS);
        self.failures += 1;
        self.next_call_at = now + wait;
    }
}

/// How far a placed task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its intent is being committed.
    Committing,
    /// It waits for the next sync.
    Queued,
    /// It went out with the sync of this number.
    Sent(u64),
    /// The worker said that it runs.
    Running,
}

/// A task placed on a worker.
#[derive(Debug, Clone)]
pub(crate) struct PlacedTask {
    pub(crate) attempt: Attempt,
    pub(crate) team: TeamId,
    pub(crate) priority: Priority,
    pub(crate) resources: Resources,
    pub(crate) run_ms: Millis,
    pub(crate) placed_at: Millis,
    pub(crate) phase: Phase,
    /// Asked to stop; true if with a checkpoint.
    pub(crate) stopping: Option<bool>,
    /// Whether it counts against a limit and share no longer, because its job is gone.
    pub(crate) orphan: bool,
}

impl PlacedTask {
    /// Whether its worker surely has not heard of it.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self.phase, Phase::Committing | Phase::Queued)
    }
}

/// A worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// Whether the platform's list names it.
    pub(crate) listed: bool,
    /// Whether the journal names it, so that a next owner will attach to it.
    pub(crate) joined: bool,
    /// Whether its joining is being committed.
    pub(crate) joining: bool,
    /// Whether it has seen this owner's epoch and told what it runs.
    pub(crate) attached: bool,
    pub(crate) link: Link,
    pub(crate) tasks: BTreeMap<TaskId, PlacedTask>,
    /// Tasks that it runs but should not.
    pub(crate) strays: BTreeMap<TaskId, Attempt>,
    pub(crate) forget: BTreeSet<TaskId>,
    /// When its lease has surely lapsed, unless it is heard before.
    pub(crate) lapse_at: Option<Millis>,
    pub(crate) failures_in_row: u32,
    pub(crate) failed_jobs: BTreeSet<CompactString>,
    pub(crate) quarantined_until: Option<Millis>,
    /// On trial after a quarantine: takes one task at a time.
    pub(crate) on_trial: bool,
    /// Reserved for a gang that waits for room.
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
            strays: BTreeMap::new(),
            forget: BTreeSet::new(),
            lapse_at: None,
            failures_in_row: 0,
            failed_jobs: BTreeSet::new(),
            quarantined_until: None,
            on_trial: false,
            reserved: false,
        }
    }

    /// Whether it takes new tasks.
    pub(crate) fn is_open(&self) -> bool {
        let trial_busy = self.on_trial && !self.tasks.is_empty();
        self.attached
            && self.joined
            && self.listed
            && !self.info.leaving
            && !self.link.is_suspect()
            && self.quarantined_until.is_none()
            && self.strays.is_empty()
            && !self.reserved
            && !trial_busy
    }

    /// State as a word.
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

    /// Whether something waits for the next sync.
    pub(crate) fn has_news(&self) -> bool {
        let queued =
            self.tasks.values().any(|task| task.phase == Phase::Queued || task.stopping.is_some());
        queued || !self.strays.is_empty()
    }

    /// Notes that a sync is being sent, and builds it.
    pub(crate) fn build_sync(
        &mut self,
        call: u64,
        epoch: Epoch,
        lease_ms: Millis,
        now: Millis,
    ) -> SyncRequest {
        self.link.call = Some((call, now));
        let mut start = Vec::new();
        let mut stop = Vec::new();
        for (id, task) in &mut self.tasks {
            if let Some(checkpoint) = task.stopping {
                stop.push(StopTask { task: id.clone(), attempt: task.attempt, checkpoint });
                continue;
            }
            if self.attached && matches!(task.phase, Phase::Queued | Phase::Sent(_)) {
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
        for (task, attempt) in &self.strays {
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

    /// When the next sync is due after an answer.
    pub(crate) fn next_sync_after(&self, now: Millis, poll_ms: Millis, lease_ms: Millis) -> Millis {
        let idle = self.tasks.is_empty() && self.forget.is_empty();
        let wait =
            if idle { Millis(poll_ms.0 * IDLE_POLLS).min(Millis(lease_ms.0 / 4)) } else { poll_ms };
        now + wait
    }

    /// Notes how a task ended by itself. True if the worker is to be quarantined now.
    pub(crate) fn note_end(&mut self, job: &str, failed: bool, now: Millis) -> bool {
        if !failed {
            self.failures_in_row = 0;
            self.failed_jobs.clear();
            self.on_trial = false;
            return false;
        }
        self.failures_in_row += 1;
        self.failed_jobs.insert(CompactString::new(job));
        let several_jobs = self.failed_jobs.len() >= QUARANTINE_JOBS;
        let fails_everything = self.failures_in_row >= QUARANTINE_FAILURES && several_jobs;
        if self.quarantined_until.is_none() && (fails_everything || self.on_trial) {
            self.quarantined_until = Some(now + QUARANTINE_MS);
            return true;
        }
        false
    }

    /// Ends a quarantine that is over. True if it ended now.
    pub(crate) fn end_quarantine(&mut self, now: Millis) -> bool {
        if self.quarantined_until.is_none_or(|until| until > now) {
            return false;
        }
        self.quarantined_until = None;
        self.on_trial = true;
        self.failures_in_row = 0;
        true
    }

    pub(crate) fn rack(&self) -> &RackId {
        &self.info.rack
    }
}

/// All workers of a pool.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    pub(crate) by_id: BTreeMap<WorkerId, Worker>,
    /// Workers of the former owner that may still run tasks unseen.
    pub(crate) unresolved: BTreeSet<WorkerId>,
    /// Workers that should be told something before their next sync is due.
    pub(crate) news: BTreeSet<WorkerId>,
}
