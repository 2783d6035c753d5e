//! Requests that wait for a slot or use one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use types::{Answer, Attempt, Millis, Priority, RequestAsk, RequestId, RunnerId, TeamId};

use crate::event::ReplyTo;

/// Requests of a pool that may wait for a slot.
pub(crate) const MAX_WAITING: usize = 4_000;
/// Answers of non-idempotent requests that are kept for callers that ask again.
const KEPT_ANSWERS: usize = 512;
/// Weight of the newest time in the mean time for which a slot is used.
const SERVICE_WEIGHT: f64 = 0.05;

/// Where a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for a slot.
    Waiting,
    /// Its intent is being committed.
    Committing,
    /// Uses a slot.
    Granted(RunnerId),
}

/// A request that is not ended.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) ask: RequestAsk,
    pub(crate) reply_to: ReplyTo,
    pub(crate) deadline_at: Millis,
    /// Not granted before this, because an earlier run may go on until then.
    pub(crate) not_before: Millis,
    pub(crate) place: u64,
    pub(crate) attempt: Attempt,
    pub(crate) stage: Stage,
}

type Line = BTreeSet<(u64, RequestId)>;

/// All requests of a pool that are not ended.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    pub(crate) live: BTreeMap<RequestId, Request>,
    lines: BTreeMap<Priority, BTreeMap<Option<TeamId>, Line>>,
    by_deadline: BTreeSet<(Millis, RequestId)>,
    /// Until when the last run of a request may go on, for requests whose end is not known.
    pub(crate) lost_until: BTreeMap<RequestId, Millis>,
    answers: VecDeque<(RequestId, Answer)>,
    slots_by_team: BTreeMap<Option<TeamId>, u32>,
    next_place: u64,
    waiting: usize,
    service_ms: f64,
}

impl Requests {
    /// Number of requests that wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a request that waits for a slot.
    pub(crate) fn enqueue(&mut self, mut request: Request) {
        self.next_place += 1;
        request.place = self.next_place;
        let id = request.ask.request.clone();
        self.by_deadline.insert((request.deadline_at, id.clone()));
        self.line_of(&request.ask).insert((request.place, id.clone()));
        self.waiting += 1;
        self.live.insert(id, request);
    }

    fn line_of(&mut self, ask: &RequestAsk) -> &mut Line {
        self.lines.entry(ask.priority).or_default().entry(ask.team.clone()).or_default()
    }

    /// Takes a request out of its line, if it waits there. It stays live in the given stage.
    pub(crate) fn leave_line(&mut self, id: &RequestId, stage: Stage) {
        self.unlink(id);
        if let Some(request) = self.live.get_mut(id) {
            request.stage = stage;
        }
    }

    fn unlink(&mut self, id: &RequestId) {
        let Some(request) = self.live.get(id).filter(|request| request.stage == Stage::Waiting)
        else {
            return;
        };
        let (place, ask) = (request.place, request.ask.clone());
        self.waiting -= 1;
        let line = self.line_of(&ask);
        line.remove(&(place, id.clone()));
        if line.is_empty() {
            self.lines.entry(ask.priority).or_default().remove(&ask.team);
        }
    }

    /// Ends a request. Returns it in its last stage.
    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<Request> {
        self.unlink(id);
        let request = self.live.remove(id)?;
        self.by_deadline.remove(&(request.deadline_at, id.clone()));
        Some(request)
    }

    /// Waiting requests whose deadline has passed.
    pub(crate) fn expired(&self, now: Millis) -> Vec<RequestId> {
        let due = self.by_deadline.iter().take_while(|(deadline_at, _)| *deadline_at <= now);
        due.filter(|(_, id)| {
            self.live.get(id).is_some_and(|request| !matches!(request.stage, Stage::Granted(_)))
        })
        .map(|(_, id)| id.clone())
        .collect()
    }

    /// The candidates of a priority: each team's oldest request that may be granted now, the teams
    /// with the fewest slots per share first. Requests that may have run before are left out while
    /// `hold_retries` says that runs of a former owner may go on unseen.
    pub(crate) fn candidates(
        &self,
        priority: Priority,
        now: Millis,
        hold_retries: bool,
        weight: impl Fn(&TeamId) -> u32,
    ) -> Vec<RequestId> {
        let is_ready = |one: &Request| one.not_before <= now && !(hold_retries && one.ask.is_retry);
        let Some(teams) = self.lines.get(&priority) else { return Vec::new() };
        let mut candidates: Vec<(u64, u64, &RequestId)> = Vec::new();
        for (team, line) in teams {
            let ready = line.iter().find(|(_, id)| self.live.get(id).is_some_and(is_ready));
            let Some((place, id)) = ready else { continue };
            let weight = team.as_ref().map_or(1, &weight).max(1);
            let slots = self.slots_by_team.get(team).copied().unwrap_or(0);
            candidates.push((u64::from(slots) * 1_000 / u64::from(weight), *place, id));
        }
        candidates.sort();
        candidates.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// The newest waiting request of the least urgent priority below `priority`.
    pub(crate) fn least_urgent_below(&self, priority: Priority) -> Option<RequestId> {
        let below = self.lines.iter().rev().filter(|(other, _)| **other > priority);
        below
            .flat_map(|(_, teams)| teams.values().filter_map(|line| line.last()))
            .max()
            .map(|(_, id)| id.clone())
    }

    /// Notes that a team uses one more slot.
    pub(crate) fn slot_taken(&mut self, team: &Option<TeamId>) {
        *self.slots_by_team.entry(team.clone()).or_default() += 1;
    }

    /// Notes that a team uses one slot less.
    pub(crate) fn slot_given(&mut self, team: &Option<TeamId>) {
        if let Some(slots) = self.slots_by_team.get_mut(team) {
            *slots = slots.saturating_sub(1);
        }
    }

    /// Notes for how long a slot was used.
    pub(crate) fn note_service(&mut self, took_ms: Millis) {
        let took = took_ms.0 as f64;
        let mean = if self.service_ms == 0.0 { took } else { self.service_ms };
        self.service_ms = mean + (took - mean) * SERVICE_WEIGHT;
    }

    /// The time after which a request that joins the line now is likely granted.
    pub(crate) fn expected_wait(&self, priority: Priority, window: u32) -> Millis {
        let ahead: usize = self
            .lines
            .iter()
            .filter(|(other, _)| **other <= priority)
            .flat_map(|(_, teams)| teams.values().map(BTreeSet::len))
            .sum();
        if window == 0 {
            return Millis(0);
        }
        Millis((ahead as f64 * self.service_ms / f64::from(window)) as u64)
    }

    /// Keeps an answer for callers that ask again.
    pub(crate) fn keep_answer(&mut self, id: RequestId, answer: Answer) {
        self.answers.push_back((id, answer));
        if self.answers.len() > KEPT_ANSWERS {
            self.answers.pop_front();
        }
    }

    /// A kept answer.
    pub(crate) fn kept_answer(&self, id: &RequestId) -> Option<&Answer> {
        self.answers.iter().find(|(kept, _)| kept == id).map(|(_, answer)| answer)
    }
}
