//! Runners: their state, their slots and how many of them may be used.

use std::collections::{BTreeMap, BTreeSet};

use types::{Attempt, BackendState, Millis, RequestId, RunnerId, RunnerInfo, TeamId};

use crate::workers::Link;

/// Time after a runner's report within which it accepts a request granted on that report.
pub(crate) const START_WINDOW_MS: Millis = Millis(1_500);
/// A report older than this is not used for a grant.
const MAX_REPORT_AGE_MS: Millis = Millis(1_000);
/// Failures in a row after which a runner is set aside.
const EJECT_FAILURES: u32 = 3;
/// Time for which a runner is set aside before one request is tried on it.
const EJECT_MS: Millis = Millis(3_000);
/// A run that takes this many times the runner's usual time lowers its window.
const SLOW_FACTOR: f64 = 4.0;
/// Weight of the newest time in the usual time.
const USUAL_WEIGHT: f64 = 0.1;
/// Shortest time that counts as slow.
const SLOW_FLOOR_MS: f64 = 50.0;

/// A slot in use.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    pub(crate) attempt: Attempt,
    pub(crate) team: Option<TeamId>,
    /// When the run has surely ended.
    pub(crate) lapse_at: Millis,
}

/// A runner.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) info: RunnerInfo,
    /// Whether the platform's list names it.
    pub(crate) listed: bool,
    /// Whether it has seen this owner's epoch.
    pub(crate) attached: bool,
    pub(crate) link: Link,
    pub(crate) state: BackendState,
    pub(crate) slots: u32,
    /// Slots that it bears at present.
    window: f64,
    usual_ms: f64,
    pub(crate) grants: BTreeMap<RequestId, Grant>,
    /// Requests of an earlier owner that it works on.
    pub(crate) foreign: BTreeSet<RequestId>,
    failures_in_row: u32,
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
            usual_ms: 0.0,
            grants: BTreeMap::new(),
            foreign: BTreeSet::new(),
            failures_in_row: 0,
            ejected_until: None,
        }
    }

    /// Slots in use, also by requests of an earlier owner.
    pub(crate) fn busy(&self) -> u32 {
        (self.grants.len() + self.foreign.len()) as u32
    }

    /// Slots that may be used at present.
    pub(crate) fn window(&self) -> u32 {
        if self.ejected_until.is_some() {
            1
        } else {
            (self.window as u32).clamp(1, self.slots.max(1))
        }
    }

    /// Sets the slots from a report.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        if self.slots == 0 {
            self.window = f64::from(slots);
        }
        self.slots = slots;
        self.window = self.window.min(f64::from(slots));
    }

    /// Whether a slot may be granted now.
    pub(crate) fn has_room(&self, now: Millis) -> bool {
        let set_aside = self.ejected_until.is_some_and(|until| until > now);
        let report_is_fresh = now.since(self.link.heard_at) <= MAX_REPORT_AGE_MS;
        self.attached
            && self.listed
            && report_is_fresh
            && self.state == BackendState::Up
            && !self.info.leaving
            && !set_aside
            && self.busy() < self.window()
    }

    /// Order of runners for a request: lowest first.
    pub(crate) fn load(&self) -> u64 {
        let waiting = f64::from(self.busy() + 1) / f64::from(self.window());
        (waiting * (self.usual_ms + 1.0) * 1000.0) as u64
    }

    /// Notes an answer that took this time.
    pub(crate) fn answered(&mut self, took_ms: Millis) {
        let took = took_ms.0 as f64;
        let slow =
            self.usual_ms > 0.0 && took > SLOW_FLOOR_MS && took > self.usual_ms * SLOW_FACTOR;
        let mean = if self.usual_ms == 0.0 { took } else { self.usual_ms };
        self.usual_ms = mean + (took - mean) * USUAL_WEIGHT;
        self.failures_in_row = 0;
        self.ejected_until = None;
        if slow {
            self.window = (self.window * 0.7).max(1.0);
        } else {
            self.window = (self.window + 1.0 / self.window.max(1.0)).min(f64::from(self.slots));
        }
    }

    /// Notes a run that failed. True if the runner is set aside now.
    pub(crate) fn failed(&mut self, now: Millis) -> bool {
        self.failures_in_row += 1;
        self.window = (self.window * 0.5).max(1.0);
        if self.failures_in_row < EJECT_FAILURES {
            return false;
        }
        self.ejected_until = Some(now + EJECT_MS);
        self.failures_in_row == EJECT_FAILURES
    }

    /// State as a word.
    pub(crate) fn state_word(&self) -> &'static str {
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

/// All runners of a pool.
#[derive(Debug, Default)]
pub(crate) struct Runners {
    pub(crate) by_id: BTreeMap<RunnerId, Runner>,
    /// When no run of a former owner can go on any more, heard or not.
    pub(crate) former_runs_end_at: Millis,
}

impl Runners {
    /// Whether a run granted by a former owner may go on unseen.
    pub(crate) fn former_runs_unseen(&self, now: Millis) -> bool {
        now < self.former_runs_end_at && self.by_id.values().any(|runner| !runner.attached)
    }

    /// Whether a runner works on this request for a former owner.
    pub(crate) fn works_for_former_owner(&self, request: &RequestId) -> bool {
        self.by_id.values().any(|runner| runner.foreign.contains(request))
    }

    /// The runner with room that is least loaded.
    pub(crate) fn choose(&self, now: Millis) -> Option<&RunnerId> {
        let with_room = self.by_id.iter().filter(|(_, runner)| runner.has_room(now));
        with_room.min_by_key(|(_, runner)| runner.load()).map(|(id, _)| id)
    }

    /// Slots that may be used at present, over all runners.
    pub(crate) fn total_window(&self) -> u32 {
        let up = self
            .by_id
            .values()
            .filter(|runner| runner.attached && runner.state == BackendState::Up);
        up.map(Runner::window).sum()
    }
}
