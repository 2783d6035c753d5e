//! Requests that wait for a slot or use one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use types::{Answer, Attempt, Millis, Priority, RequestId, RunnerId, SlotRequest, TeamId};

use crate::event::ReplyTo;

/// Maximum number of waiting requests.
pub(crate) const MAX_WAITING: usize = 4_000;
/// Number of answers to non-idempotent requests that are cached for retries.
const MAX_CACHED_ANSWERS: usize = 512;
/// Weight of the newest run in the moving average of the service time.
const SERVICE_EWMA_WEIGHT: f64 = 0.05;

/// Progress of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting for a slot.
    Waiting,
    /// Its intent is being committed.
    Committing,
    /// Using a slot of this runner.
    Granted(RunnerId),
}

/// A request that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) slot_request: SlotRequest,
    pub(crate) reply_to: ReplyTo,
    pub(crate) deadline_at: Millis,
    /// Earliest time of the grant, because an earlier run may be in progress until then.
    pub(crate) not_before: Millis,
    pub(crate) sequence: u64,
    pub(crate) attempt: Attempt,
    pub(crate) stage: Stage,
}

type TeamQueue = BTreeSet<(u64, RequestId)>;

/// All requests of a pool that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    pub(crate) live: BTreeMap<RequestId, Request>,
    queues: BTreeMap<Priority, BTreeMap<Option<TeamId>, TeamQueue>>,
    by_deadline: BTreeSet<(Millis, RequestId)>,
    /// Requests whose last run has no known end, with the time by which it has certainly ended.
    pub(crate) may_run_until: BTreeMap<RequestId, Millis>,
    cached_answers: VecDeque<(RequestId, Answer)>,
    slots_by_team: BTreeMap<Option<TeamId>, u32>,
    next_sequence: u64,
    waiting: usize,
    service_ms: f64,
}

impl Requests {
    /// Number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a request to the end of its queue.
    pub(crate) fn enqueue(&mut self, mut request: Request) {
        self.next_sequence += 1;
        request.sequence = self.next_sequence;
        let id = request.slot_request.request.clone();
        self.by_deadline.insert((request.deadline_at, id.clone()));
        self.queue_of(&request.slot_request).insert((request.sequence, id.clone()));
        self.waiting += 1;
        self.live.insert(id, request);
    }

    fn queue_of(&mut self, slot_request: &SlotRequest) -> &mut TeamQueue {
        self.queues
            .entry(slot_request.priority)
            .or_default()
            .entry(slot_request.team.clone())
            .or_default()
    }

    /// Removes a request from its queue, if it is waiting, and sets its stage.
    pub(crate) fn dequeue(&mut self, id: &RequestId, stage: Stage) {
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
        let (sequence, slot_request) = (request.sequence, request.slot_request.clone());
        self.waiting -= 1;
        let queue = self.queue_of(&slot_request);
        queue.remove(&(sequence, id.clone()));
        if queue.is_empty() {
            self.queues.entry(slot_request.priority).or_default().remove(&slot_request.team);
        }
    }

    /// Removes a request and returns it.
    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<Request> {
        self.unlink(id);
        let request = self.live.remove(id)?;
        self.by_deadline.remove(&(request.deadline_at, id.clone()));
        Some(request)
    }

    /// Requests whose deadline has passed before they were granted.
    pub(crate) fn expired(&self, now: Millis) -> Vec<RequestId> {
        let due = self.by_deadline.iter().take_while(|(deadline_at, _)| *deadline_at <= now);
        due.filter(|(_, id)| {
            self.live.get(id).is_some_and(|request| !matches!(request.stage, Stage::Granted(_)))
        })
        .map(|(_, id)| id.clone())
        .collect()
    }

    /// The oldest ready request of each team in a priority, ordered by the team's slots in use
    /// relative to its share. `defer_retries` skips requests that may have run before; it is set
    /// while runs of a former owner may be in progress unreported.
    pub(crate) fn candidates(
        &self,
        priority: Priority,
        now: Millis,
        defer_retries: bool,
        weight: impl Fn(&TeamId) -> u32,
    ) -> Vec<RequestId> {
        let is_ready =
            |one: &Request| one.not_before <= now && !(defer_retries && one.slot_request.is_retry);
        let Some(teams) = self.queues.get(&priority) else { return Vec::new() };
        let mut candidates: Vec<(u64, u64, &RequestId)> = Vec::new();
        for (team, queue) in teams {
            let ready = queue.iter().find(|(_, id)| self.live.get(id).is_some_and(is_ready));
            let Some((sequence, id)) = ready else { continue };
            let weight = team.as_ref().map_or(1, &weight).max(1);
            let slots = self.slots_by_team.get(team).copied().unwrap_or(0);
            candidates.push((u64::from(slots) * 1_000 / u64::from(weight), *sequence, id));
        }
        candidates.sort();
        candidates.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// The newest waiting request of the least urgent priority that is less urgent than `priority`.
    pub(crate) fn least_urgent_below(&self, priority: Priority) -> Option<RequestId> {
        let below = self.queues.iter().rev().filter(|(other, _)| **other > priority);
        below
            .flat_map(|(_, teams)| teams.values().filter_map(|queue| queue.last()))
            .max()
            .map(|(_, id)| id.clone())
    }

    pub(crate) fn acquire_slot(&mut self, team: &Option<TeamId>) {
        *self.slots_by_team.entry(team.clone()).or_default() += 1;
    }

    pub(crate) fn release_slot(&mut self, team: &Option<TeamId>) {
        if let Some(slots) = self.slots_by_team.get_mut(team) {
            *slots = slots.saturating_sub(1);
        }
    }

    /// Records for how long a slot was used.
    pub(crate) fn record_service_time(&mut self, took_ms: Millis) {
        let took = took_ms.0 as f64;
        let mean = if self.service_ms == 0.0 { took } else { self.service_ms };
        self.service_ms = mean + (took - mean) * SERVICE_EWMA_WEIGHT;
    }

    /// Expected waiting time of a request that is queued now.
    pub(crate) fn expected_wait(&self, priority: Priority, window: u32) -> Millis {
        let ahead: usize = self
            .queues
            .iter()
            .filter(|(other, _)| **other <= priority)
            .flat_map(|(_, teams)| teams.values().map(BTreeSet::len))
            .sum();
        if window == 0 {
            return Millis(0);
        }
        Millis((ahead as f64 * self.service_ms / f64::from(window)) as u64)
    }

    /// Caches an answer for retries of the same request.
    pub(crate) fn cache_answer(&mut self, id: RequestId, answer: Answer) {
        self.cached_answers.push_back((id, answer));
        if self.cached_answers.len() > MAX_CACHED_ANSWERS {
            self.cached_answers.pop_front();
        }
    }

    pub(crate) fn cached_answer(&self, id: &RequestId) -> Option<&Answer> {
        self.cached_answers.iter().find(|(cached, _)| cached == id).map(|(_, answer)| answer)
    }
}
