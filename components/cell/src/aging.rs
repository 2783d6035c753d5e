//! Steps that have waited too long get a turn before all others.
//!
//! Load pattern: more urgent work than resources, or than time of the advisor, for many seconds.
//! Work that is late beyond any use is ranked last, but was accepted and must not wait forever. A
//! tenth of the resources that are started goes to the steps that have waited longest, one at a
//! time for each service. While such a step finds no room, the worker with most room of those that
//! it may use takes no other work; for a gang, one worker for each member.
//!
//! Leaders may change more often than a step gets a turn, so that what it has waited before counts, too.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use eventlog::event;
use libs::compact_str::CompactString;
use types::{Millis, Resources, WorkerId};

use crate::cell::{Cell, spec_of};
use crate::job::Waited;
use crate::model::StepKey;
use crate::place::WaitingStep;
use crate::ranking::Outlook;
use crate::round::count;
use crate::schedule::Candidate;
use crate::worker::Worker;

/// A step of which nothing has started for this long waits for a turn.
const MAX_WAIT_MS: Millis = Millis(5_000);
/// Longest turn; a step that could not start by then waits for its next one.
const MAX_TURN_MS: Millis = Millis(3_000);
/// Time between two choices of the steps whose turn it is.
const CHOICE_PERIOD_MS: Millis = Millis(100);
/// Part of the started resources that goes to the steps whose turn it is: one in this many.
const CREDIT_DIVISOR: i64 = 10;
/// Part of a service's resources that is credited in each choice period: one in this many.
const PERIODIC_CREDIT_DIVISOR: i64 = 1_000;
/// Most credit that a service saves up, as a part of its resources: one in this many.
const MAX_CREDIT_DIVISOR: i64 = 32;
/// Part of a service's workers that may be held for a step: one in this many, but at least one.
const HELD_WORKERS_DIVISOR: usize = 8;

/// Turn of one service.
#[derive(Debug, Default)]
struct Turn {
    /// Step whose turn it is, and since when.
    step: Option<(StepKey, Millis)>,
    /// Processor capacity that steps may still get in their turns, in millicores. A start in a turn
    /// may exceed it, and the next turn comes once that is made up for.
    credit_cpu_milli: i64,
}

/// Turns of the steps that have waited too long, by service.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    by_service: BTreeMap<CompactString, Turn>,
    chosen_ms: Millis,
}

impl Turns {
    /// Counts resources given to a step.
    pub(crate) fn started(&mut self, service: &CompactString, used: &Resources, in_turn: bool) {
        let turn = self.by_service.entry(service.clone()).or_default();
        let used = used.cpu_milli.cast_signed();
        turn.credit_cpu_milli += if in_turn { -used } else { used / CREDIT_DIVISOR };
    }

    /// Whether it is the turn of a step, and its service has credit.
    fn is_next(&self, candidate: &Candidate) -> bool {
        self.by_service.get(&candidate.service).is_some_and(|turn| {
            turn.credit_cpu_milli > 0
                && turn.step.as_ref().is_some_and(|(key, _)| *key == candidate.key)
        })
    }

    /// Moves the steps whose turn it is to the front of `candidates`. Returns their number.
    pub(crate) fn move_to_front(&self, candidates: &mut [Candidate]) -> usize {
        let next: Vec<usize> = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| self.is_next(candidate))
            .map(|(index, _)| index)
            .collect();
        for (front, index) in next.iter().enumerate() {
            if let Some(part) = candidates.get_mut(front..=*index) {
                part.rotate_right(1);
            }
        }
        next.len()
    }
}

impl Cell {
    /// Chooses the step of each service whose turn it is: the one that has waited longest.
    pub(crate) fn choose_turns(&mut self, candidates: &[Candidate], now: Millis) {
        if now < self.turns.chosen_ms + CHOICE_PERIOD_MS {
            return;
        }
        self.turns.chosen_ms = now;
        let mut longest: BTreeMap<&CompactString, (f64, Millis, &StepKey)> = BTreeMap::new();
        for candidate in candidates {
            let waited_ms = candidate.waited.total_ms;
            let waits_by_choice = candidate.rank.outlook == Outlook::Deferrable;
            if waited_ms < MAX_WAIT_MS || waits_by_choice || !self.is_within_limit(candidate) {
                continue;
            }
            let weight = self.turn_weight(&candidate.key, candidate.waited);
            let entry = (weight, waited_ms, &candidate.key);
            let best = longest.entry(&candidate.service).or_insert(entry);
            if weight > best.0 {
                *best = entry;
            }
        }
        let mut ended = Vec::new();
        for (service, turn) in &mut self.turns.by_service {
            let total = self.rooms.get(service).map_or(0, |room| room.total.cpu_milli);
            let total = total.cast_signed();
            turn.credit_cpu_milli = (turn.credit_cpu_milli + total / PERIODIC_CREDIT_DIVISOR)
                .min(total / MAX_CREDIT_DIVISOR);
            let still_waits =
                |key: &StepKey| candidates.iter().any(|candidate| candidate.key == *key);
            if let Some((key, since_ms)) = turn.step.take_if(|(key, _)| !still_waits(key)) {
                event!("step.turn_ended", "step" => key.to_string(),
                    "took_ms" => now.since(since_ms).0);
            }
            let expired =
                |(_, since_ms): &mut (StepKey, Millis)| now.since(*since_ms) >= MAX_TURN_MS;
            if let Some((key, _)) = turn.step.take_if(expired) {
                event!("step.turn_unused", "step" => key.to_string());
                ended.push(key);
            }
        }
        for (service, (_, waited_ms, key)) in longest {
            let turn = self.turns.by_service.entry(service.clone()).or_default();
            if turn.step.is_none() && !ended.contains(key) {
                event!("step.turn", "step" => key.to_string(), "waited_ms" => waited_ms.0);
                turn.step = Some((key.clone(), now));
            }
        }
        for key in ended {
            if let Some(step) = self.step_mut(&key) {
                step.turn_ended_ms = now;
            }
        }
    }

    /// Weight of a step in the choice of the next turn: the time that it has waited, of which a part that each
    /// leader draws anew counts if former leaders saw it wait. A step that cannot start in its turn would
    /// otherwise have that of each leader.
    fn turn_weight(&self, key: &StepKey, waited: Waited) -> f64 {
        let waited_ms = waited.total_ms.0 as f64;
        if waited.before_term_ms == Millis(0) {
            return waited_ms;
        }
        let mut hasher = DefaultHasher::new();
        (self.epoch, key).hash(&mut hasher);
        waited_ms * (hasher.finish() as f64 / u64::MAX as f64)
    }

    /// Whether the limit of its team allows a task of a step.
    fn is_within_limit(&self, candidate: &Candidate) -> bool {
        spec_of(&self.jobs, &candidate.key)
            .is_some_and(|spec| self.team_slots(&candidate.key, spec) > 0)
    }

    /// Ends the turn of a step of which a task has started.
    pub(crate) fn end_turn(&mut self, service: &CompactString) {
        if let Some(turn) = self.turns.by_service.get_mut(service) {
            turn.step = None;
        }
    }

    /// Workers to keep free for a step that has its turn and found no room: of those that it may use
    /// the one with most room, or one for each member of a gang.
    pub(crate) fn workers_to_hold(&self, step: &WaitingStep<'_>) -> BTreeSet<WorkerId> {
        let charge = step.spec.charge();
        let state = self.step(step.key);
        let is_denied = |id: &WorkerId, worker: &Worker| {
            state.is_some_and(|state| state.advice.is_denied(id, worker.incarnation_unix_ms))
        };
        count(&self.work.workers, self.workers.len());
        let mut usable: Vec<(&WorkerId, f64)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.accepts(step.queue, step.spec, step.now))
            .filter(|(id, worker)| !is_denied(id, worker))
            .filter(|(_, worker)| worker.report.capacity.covers(&charge))
            .map(|(id, worker)| (id, worker.used.dominant_share(&worker.report.capacity)))
            .collect();
        let most = (usable.len() / HELD_WORKERS_DIVISOR).max(1);
        let wanted = if step.spec.gang { step.tasks.len() } else { 1 };
        usable.sort_by(|(_, left), (_, right)| left.total_cmp(right));
        usable.into_iter().take(wanted.min(most)).map(|(id, _)| id.clone()).collect()
    }
}
