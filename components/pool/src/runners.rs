//! Runners: their state, slots, concurrency windows and load balancing.

use std::collections::{BTreeMap, BTreeSet};

use types::{Attempt, BackendState, Millis, RequestId, RunnerId, RunnerInfo, TeamId};

use crate::workers::Link;

/// Time after a runner's report within which the runner accepts a request that was granted on the
/// basis of that report.
pub(crate) const START_WINDOW_MS: Millis = Millis(1_500);
/// Maximum age of the report on the basis of which a slot is granted.
const MAX_REPORT_AGE_MS: Millis = Millis(1_000);
/// Consecutive failures after which a runner is ejected from load balancing.
const EJECT_FAILURES: u32 = 3;
/// Duration of an ejection. Afterwards one request at a time is tried.
const EJECTION_MS: Millis = Millis(3_000);
/// A run that takes longer than the mean run time times this factor counts as slow and shrinks the
/// window.
const SLOW_FACTOR: f64 = 4.0;
/// Weight of the newest run in the moving average of the run time.
const RUN_EWMA_WEIGHT: f64 = 0.1;
/// Runs up to this duration never count as slow.
const MIN_SLOW_RUN_MS: f64 = 50.0;

/// A slot in use.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    pub(crate) attempt: Attempt,
    pub(crate) team: Option<TeamId>,
    /// When the run has certainly ended.
    pub(crate) expires_at: Millis,
}

#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) info: RunnerInfo,
    /// Whether the platform's list contains it.
    pub(crate) listed: bool,
    /// Whether it has accepted this owner's epoch.
    pub(crate) attached: bool,
    pub(crate) link: Link,
    pub(crate) state: BackendState,
    pub(crate) slots: u32,
    /// Concurrency window: number of slots to use at the same time. Additive increase after normal
    /// runs, multiplicative decrease after slow or failed ones.
    window: f64,
    mean_run_ms: f64,
    pub(crate) grants: BTreeMap<RequestId, Grant>,
    /// Requests in progress that a former owner granted.
    pub(crate) former_owner_runs: BTreeSet<RequestId>,
    consecutive_failures: u32,
    ejected_until: Option<Millis>,
}

impl Runner {
    pub(crate) fn new(info: RunnerInfo) -> Self {
        Self {
            info,
            listed: true,
            attached: false,
            link: Link::default(),
            state: BackendState::Down,
            slots: 0,
            window: 0.0,
            mean_run_ms: 0.0,
            grants: BTreeMap::new(),
            former_owner_runs: BTreeSet::new(),
            consecutive_failures: 0,
            ejected_until: None,
        }
    }

    /// Slots in use, including those of a former owner's requests.
    pub(crate) fn busy(&self) -> u32 {
        (self.grants.len() + self.former_owner_runs.len()) as u32
    }

    /// Number of slots that may be used at the same time.
    pub(crate) fn window(&self) -> u32 {
        if self.ejected_until.is_some() {
            1
        } else {
            (self.window as u32).clamp(1, self.slots.max(1))
        }
    }

    /// Applies the number of slots from a report.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        if self.slots == 0 {
            self.window = f64::from(slots);
        }
        self.slots = slots;
        self.window = self.window.min(f64::from(slots));
    }

    /// Whether a slot may be granted now.
    pub(crate) fn can_grant(&self, now: Millis) -> bool {
        let is_ejected = self.ejected_until.is_some_and(|until| until > now);
        let report_is_fresh = now.since(self.link.answered_at) <= MAX_REPORT_AGE_MS;
        self.attached
            && self.listed
            && report_is_fresh
            && self.state == BackendState::Up
            && !self.info.leaving
            && !is_ejected
            && self.busy() < self.window()
    }

    /// Load-balancing score; the runner with the lowest score is chosen.
    pub(crate) fn load_score(&self) -> u64 {
        let waiting = f64::from(self.busy() + 1) / f64::from(self.window());
        (waiting * (self.mean_run_ms + 1.0) * 1000.0) as u64
    }

    /// Records a run that was answered.
    pub(crate) fn record_success(&mut self, took_ms: Millis) {
        let took = took_ms.0 as f64;
        let slow = self.mean_run_ms > 0.0
            && took > MIN_SLOW_RUN_MS
            && took > self.mean_run_ms * SLOW_FACTOR;
        let mean = if self.mean_run_ms == 0.0 { took } else { self.mean_run_ms };
        self.mean_run_ms = mean + (took - mean) * RUN_EWMA_WEIGHT;
        self.consecutive_failures = 0;
        self.ejected_until = None;
        if slow {
            self.window = (self.window * 0.7).max(1.0);
        } else {
            self.window = (self.window + 1.0 / self.window.max(1.0)).min(f64::from(self.slots));
        }
    }

    /// Records a failed run. Returns true if the runner is now ejected.
    pub(crate) fn record_failure(&mut self, now: Millis) -> bool {
        self.consecutive_failures += 1;
        self.window = (self.window * 0.5).max(1.0);
        if self.consecutive_failures < EJECT_FAILURES {
            return false;
        }
        self.ejected_until = Some(now + EJECTION_MS);
        self.consecutive_failures == EJECT_FAILURES
    }

    /// State as shown to operators.
    pub(crate) fn state_name(&self) -> &'static str {
        if !self.attached {
            return "unattached";
        }
        if self.ejected_until.is_some() {
            return "set_aside";
        }
        match self.state {
            BackendState::Up if self.info.leaving || !self.listed => "leaving",
            BackendState::Up => "up",
            BackendState::Leaving => "leaving",
            BackendState::Down => "down",
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Runners {
    pub(crate) by_id: BTreeMap<RunnerId, Runner>,
    /// When all runs granted by a former owner have certainly ended.
    pub(crate) former_runs_end_at: Millis,
}

impl Runners {
    /// Whether runs granted by a former owner may be in progress on runners that are not attached
    /// yet.
    pub(crate) fn may_have_unreported_runs(&self, now: Millis) -> bool {
        now < self.former_runs_end_at && self.by_id.values().any(|runner| !runner.attached)
    }

    /// Whether a runner works on this request under a grant of a former owner.
    pub(crate) fn runs_for_former_owner(&self, request: &RequestId) -> bool {
        self.by_id.values().any(|runner| runner.former_owner_runs.contains(request))
    }

    /// The runner with the lowest load score that can be granted a slot.
    pub(crate) fn choose(&self, now: Millis) -> Option<&RunnerId> {
        let candidates = self.by_id.iter().filter(|(_, runner)| runner.can_grant(now));
        candidates.min_by_key(|(_, runner)| runner.load_score()).map(|(id, _)| id)
    }

    /// Sum of the concurrency windows of all runners that are up.
    pub(crate) fn total_window(&self) -> u32 {
        let up = self
            .by_id
            .values()
            .filter(|runner| runner.attached && runner.state == BackendState::Up);
        up.map(Runner::window).sum()
    }
}
