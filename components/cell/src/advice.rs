//! Advice on steps: tickets, and which workers to name in the next call.
//!
//! Load pattern: a call takes a fixed time plus some time for each worker named, often longer than
//! room on a worker lasts while others wait for it. So one call renews all tickets that a step may
//! need while they are valid, not those of the workers with room at the moment, and different
//! steps name different workers.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use libs::compact_str::CompactString;
use types::{Millis, QueueId, WorkerId};

use crate::model::{AdvicePolicy, StepKey};

/// Least and most workers named in a call, if there are that many. The advisor takes up to 100.
const MIN_CALL_WORKERS: usize = 6;
const MAX_CALL_WORKERS: usize = 100;
/// Most workers named while none has free resources. The callers' objective allows for a call that
/// names 30.
const MAX_CALL_WORKERS_AHEAD: usize = 30;
/// Assumed probability that the advisor allows a worker, before any answer.
pub(crate) const ALLOW_PROBABILITY: f64 = 0.35;
/// Weight of a new answer in the average rate of allowed workers.
const ALLOW_RATE_WEIGHT: f64 = 0.05;
/// Expected number of tasks that start on a worker without free resources while a ticket is valid.
const SLOTS_AHEAD: f64 = 0.5;
/// Tickets wanted for each task, since other steps may take the room first.
const TICKETS_PER_TASK: f64 = 2.0;
/// Valid tickets kept for a step that waits for free resources.
const PREPARED_TICKETS: usize = 4;
/// A ticket is not used within this time before it expires, since the order takes time to reach
/// the worker.
const TICKET_MARGIN_MS: Millis = Millis(120);
/// Delay before the next call after a failed one.
const RETRY_MS: Millis = Millis(200);
/// Delay before the next call of a step after an answer, in durations of the last one: no step
/// takes more than a third of a machine's time at the advisor. It doubles with each call after which
/// no task started, up to half the validity of the tickets.
const CALL_SPACING: f64 = 2.0;
/// Most doublings of the delay.
const MAX_DOUBLINGS: u32 = 6;

/// Permission to run a step on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) text: CompactString,
    pub(crate) expires_ms: Millis,
    pub(crate) incarnation_unix_ms: u64,
}

/// Advice on one step.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    tickets: BTreeMap<WorkerId, Ticket>,
    /// Workers that the advisor denied, with the incarnation that was asked about.
    denied: BTreeMap<WorkerId, u64>,
    /// Duration of the call in progress.
    call_pending_ms: Option<f64>,
    /// Number of calls made, and of those since a task last started.
    pub(crate) calls: u32,
    unused_calls: u32,
    /// Consecutive answers that allowed none of the workers named.
    empty_answers: u32,
    not_before_ms: Millis,
}

/// What a call is needed for.
pub(crate) struct AskContext {
    /// Tasks that found no worker with a ticket and free resources.
    pub(crate) tasks: u64,
    /// Tickets that expire within this time are renewed.
    pub(crate) lead_ms: Millis,
    /// Probability that the advisor allows a worker that was not named before.
    pub(crate) allow_rate: f64,
    pub(crate) now: Millis,
}

impl StepAdvice {
    /// Ticket for an incarnation of a worker, if it can still be used.
    pub(crate) fn ticket(
        &self,
        worker: &WorkerId,
        incarnation_unix_ms: u64,
        now: Millis,
    ) -> Option<&Ticket> {
        self.tickets.get(worker).filter(|ticket| {
            ticket.expires_ms > now + TICKET_MARGIN_MS
                && ticket.incarnation_unix_ms == incarnation_unix_ms
        })
    }

    /// Workers that the advisor allowed, whether or not their ticket is still valid.
    pub(crate) fn allowed_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.tickets.keys()
    }

    /// Number of workers that the advisor allowed.
    pub(crate) fn allowed_count(&self) -> usize {
        self.tickets.len()
    }

    /// Whether any answer is known.
    pub(crate) fn has_answers(&self) -> bool {
        !self.tickets.is_empty() || !self.denied.is_empty()
    }

    /// Allowed workers with their tickets, also those that have expired.
    pub(crate) fn tickets(&self) -> impl Iterator<Item = (&WorkerId, &Ticket)> {
        self.tickets.iter()
    }

    /// Denied workers with the incarnations that were asked about.
    pub(crate) fn denied_incarnations(&self) -> impl Iterator<Item = (&WorkerId, u64)> {
        self.denied.iter().map(|(id, incarnation_unix_ms)| (id, *incarnation_unix_ms))
    }

    /// Consecutive answers that allowed none of the workers named.
    pub(crate) fn empty_answers(&self) -> u32 {
        self.empty_answers
    }

    /// Restores the answers to a former leader.
    pub(crate) fn restore(
        &mut self,
        tickets: BTreeMap<WorkerId, Ticket>,
        denied: Vec<(WorkerId, u64)>,
        empty_answers: u32,
    ) {
        self.tickets = tickets;
        self.denied = denied.into_iter().collect();
        self.empty_answers = empty_answers.min(MAX_DOUBLINGS);
    }

    /// A call is in progress.
    pub(crate) fn call_pending(&self) -> bool {
        self.call_pending_ms.is_some()
    }

    /// Whether a call may be made now: none is in progress, and the delay after the last is over.
    pub(crate) fn may_ask(&self, now: Millis) -> bool {
        self.call_pending_ms.is_none() && now >= self.not_before_ms
    }

    /// Whether the advisor denied this incarnation of a worker. A new one may be of another kind.
    pub(crate) fn is_denied(&self, worker: &WorkerId, incarnation_unix_ms: u64) -> bool {
        self.denied.get(worker) == Some(&incarnation_unix_ms)
    }

    /// Drops a ticket that the worker refused.
    pub(crate) fn drop_ticket(&mut self, worker: &WorkerId) {
        self.tickets.remove(worker);
    }

    pub(crate) fn call_started(&mut self, duration_ms: f64) {
        self.call_pending_ms = Some(duration_ms);
        self.calls += 1;
        self.unused_calls += 1;
    }

    /// Records that a task of the step started.
    pub(crate) fn task_started(&mut self) {
        self.unused_calls = 0;
    }

    /// Records an answer. Returns how many workers it named for the first time, and how many of
    /// these are allowed.
    pub(crate) fn record_answer(
        &mut self,
        asked: &[(WorkerId, u64)],
        allowed: &[(WorkerId, CompactString)],
        expires_ms: Millis,
        now: Millis,
    ) -> (usize, usize) {
        let duration_ms = self.call_pending_ms.take().unwrap_or_default();
        let doublings = self.unused_calls.saturating_sub(1).min(MAX_DOUBLINGS);
        let spacing_ms = duration_ms * CALL_SPACING * f64::from(1 << doublings);
        let spacing_ms = Millis(spacing_ms as u64).min(expires_ms.since(now).half());
        // An answer without a ticket shows nothing of the room on other workers.
        let is_empty = allowed.is_empty();
        self.empty_answers = if is_empty { self.empty_answers + 1 } else { 0 };
        self.not_before_ms = now + if is_empty { RETRY_MS.min(spacing_ms) } else { spacing_ms };
        let (mut new, mut new_allowed) = (0, 0);
        for (worker, incarnation_unix_ms) in asked {
            let answer = allowed.iter().find(|(id, _)| id == worker);
            if !self.tickets.contains_key(worker) {
                new += 1;
                new_allowed += usize::from(answer.is_some());
            }
            match answer {
                Some((_, text)) => {
                    let ticket = Ticket {
                        text: text.clone(),
                        expires_ms,
                        incarnation_unix_ms: *incarnation_unix_ms,
                    };
                    self.denied.remove(worker);
                    self.tickets.insert(worker.clone(), ticket);
                }
                None => {
                    self.tickets.remove(worker);
                    self.denied.insert(worker.clone(), *incarnation_unix_ms);
                }
            }
        }
        (new, new_allowed)
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.call_pending_ms = None;
        self.not_before_ms = now + RETRY_MS;
    }

    /// Workers to name in a call.
    ///
    /// Without room on a worker that has no valid ticket, a call only serves to have some tickets
    /// when resources become free. Otherwise it names as many workers as the tasks will likely
    /// need. Allowed workers come first, since they are certain to get a ticket again.
    ///
    /// Load pattern: hundreds of steps wait on hundreds of workers without room. A call names few of
    /// these, so the others are not looked up.
    pub(crate) fn workers_to_ask(
        &self,
        candidates: &AdviceCandidates<'_>,
        context: &AskContext,
    ) -> AskedWorkers {
        let needed_at = context.now + context.lead_ms;
        let is_valid =
            |one: &AdviceCandidate<'_>| self.has_ticket(one.id, one.incarnation_unix_ms, needed_at);
        let with_room =
            || candidates.with_room.iter().filter(|one| !self.denies(one) && !is_valid(one));
        let any_room = with_room().next().is_some();
        let mut asked = AskedWorkers::new(context, any_room, self.empty_answers);
        asked.lookups = candidates.with_room.len();
        let prepared = PREPARED_TICKETS.min(usize::try_from(context.tasks).unwrap_or(usize::MAX));
        let allowed = || self.tickets.keys().filter_map(|id| candidates.get(id));
        if !any_room && allowed().filter(is_valid).take(prepared).count() >= prepared {
            return asked;
        }
        let is_allowed = |one: &&AdviceCandidate<'_>| self.tickets.contains_key(one.id);
        let filled = with_room().filter(is_allowed).any(|one| asked.add(one, 1.0))
            || with_room()
                .filter(|one| !is_allowed(one))
                .any(|one| asked.add(one, context.allow_rate))
            || allowed()
                .filter(|one| one.slots == 0 && !is_valid(one))
                .any(|one| asked.add(&one, 1.0));
        if filled {
            return asked;
        }
        for one in (candidates.without_room)() {
            asked.lookups += 1;
            let is_new = !self.denies(&one) && !is_allowed(&&one);
            if is_new && asked.add(&one, context.allow_rate) {
                break;
            }
        }
        asked
    }

    /// Number of tasks of the step that fit on workers which the advisor has not denied.
    pub(crate) fn usable_slots(&self, candidates: &AdviceCandidates<'_>) -> u64 {
        let usable = candidates.with_room.iter().filter(|one| !self.denies(one));
        usable.fold(0, |sum, one| sum.saturating_add(one.slots))
    }

    fn denies(&self, one: &AdviceCandidate<'_>) -> bool {
        self.is_denied(one.id, one.incarnation_unix_ms)
    }

    fn has_ticket(&self, worker: &WorkerId, incarnation_unix_ms: u64, now: Millis) -> bool {
        self.ticket(worker, incarnation_unix_ms, now).is_some()
    }
}

/// Workers to name in a call, and what was looked at to choose them.
#[derive(Debug)]
pub(crate) struct AskedWorkers {
    pub(crate) workers: Vec<(WorkerId, u64)>,
    /// Workers that were looked up in the answers to the step's calls.
    pub(crate) lookups: usize,
    /// Most workers in the call.
    most: usize,
    /// Tickets that are wanted, and those to expect for the workers named.
    wanted: f64,
    expected: f64,
}

impl AskedWorkers {
    /// After answers that allowed no worker a call names more of them: a task that lasts and needs one
    /// further worker would otherwise ask for nine at a time, for many seconds.
    fn new(context: &AskContext, any_room: bool, empty_answers: u32) -> Self {
        let wanted = context.tasks as f64 * TICKETS_PER_TASK + 1.0;
        Self {
            workers: Vec::new(),
            lookups: 0,
            most: if any_room { MAX_CALL_WORKERS } else { MAX_CALL_WORKERS_AHEAD },
            wanted: wanted * f64::from(1 << empty_answers.min(MAX_DOUBLINGS)),
            expected: 0.0,
        }
    }

    fn is_full(&self) -> bool {
        let enough = self.expected >= self.wanted && self.workers.len() >= MIN_CALL_WORKERS;
        enough || self.workers.len() >= self.most
    }

    /// Adds a worker that the advisor allows with a probability. Returns whether no further one is
    /// needed.
    fn add(&mut self, one: &AdviceCandidate<'_>, probability: f64) -> bool {
        let slots = if one.slots > 0 { one.slots as f64 } else { SLOTS_AHEAD };
        self.expected += slots * probability;
        self.workers.push((one.id.clone(), one.incarnation_unix_ms));
        self.is_full()
    }
}

/// A worker that the advisor may be asked about.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdviceCandidate<'a> {
    pub(crate) id: &'a WorkerId,
    pub(crate) incarnation_unix_ms: u64,
    /// Number of tasks of the step that fit on it now.
    pub(crate) slots: u64,
    /// Place in the order of calls by its speed and by what the step needs; lower comes first.
    pub(crate) speed_place: u8,
    /// Pseudo-random number that differs between steps, see [`Spread`].
    pub(crate) spread: u64,
}

/// Finds a worker that the advisor may be asked about by its id.
type FindCandidate<'a> = Box<dyn Fn(&WorkerId) -> Option<AdviceCandidate<'a>> + 'a>;

/// Lists workers that the advisor may be asked about.
type ListCandidates<'a> = Box<dyn Fn() -> Vec<AdviceCandidate<'a>> + 'a>;

/// Workers that the advisor may be asked about for one step.
pub(crate) struct AdviceCandidates<'a> {
    /// Those with room, in the order in which calls name them.
    with_room: Vec<AdviceCandidate<'a>>,
    /// Lists the others, in the order in which calls name them. Few calls need them.
    without_room: ListCandidates<'a>,
    find: FindCandidate<'a>,
}

impl<'a> AdviceCandidates<'a> {
    /// Sorts the workers that a step may use.
    ///
    /// Those of the speed that the step needs come first, then those with room for several tasks,
    /// since each worker named takes time.
    pub(crate) fn new(
        mut with_room: Vec<AdviceCandidate<'a>>,
        without_room: ListCandidates<'a>,
        find: FindCandidate<'a>,
    ) -> Self {
        /// Workers with room for at least this many tasks are equally good.
        const MANY_SLOTS: u64 = 3;
        with_room.sort_unstable_by_key(|one| {
            (one.speed_place, std::cmp::Reverse(one.slots.min(MANY_SLOTS)), one.spread)
        });
        let without_room = Box::new(move || {
            let mut others = without_room();
            others.sort_unstable_by_key(|one| (one.speed_place, one.spread));
            others
        });
        Self { with_room, without_room, find }
    }

    fn get(&self, id: &WorkerId) -> Option<AdviceCandidate<'a>> {
        (self.find)(id)
    }
}

/// Pseudo-random order of the workers for a step, so that steps name different workers.
#[derive(Clone)]
pub(crate) struct Spread(DefaultHasher);

impl Spread {
    pub(crate) fn new(step: &StepKey) -> Self {
        let mut hasher = DefaultHasher::new();
        step.hash(&mut hasher);
        Self(hasher)
    }

    /// Place of a worker in the order.
    pub(crate) fn place(&self, worker: &WorkerId) -> u64 {
        let mut hasher = self.0.clone();
        worker.hash(&mut hasher);
        hasher.finish()
    }
}

/// Expected duration of a call at the advisor.
pub(crate) fn call_ms(policy: &AdvicePolicy, workers: usize) -> f64 {
    policy.call_ms + policy.per_worker_ms * workers as f64
}

/// Average share of the workers that the advisor allows, by queue.
#[derive(Debug, Default)]
pub(crate) struct AllowRates(BTreeMap<QueueId, f64>);

impl AllowRates {
    pub(crate) fn get(&self, queue: &QueueId) -> f64 {
        self.0.get(queue).copied().unwrap_or(ALLOW_PROBABILITY)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&QueueId, f64)> {
        self.0.iter().map(|(queue, rate)| (queue, *rate))
    }

    /// Restores a rate that a former leader has stored.
    pub(crate) fn restore(&mut self, queue: &QueueId, rate: f64) {
        if (0.0..=1.0).contains(&rate) {
            self.0.insert(queue.clone(), rate);
        }
    }

    /// Counts an answer on `asked` workers that a step had not named before.
    pub(crate) fn record(&mut self, queue: &QueueId, asked: usize, allowed: usize) {
        if asked == 0 {
            return;
        }
        let rate = self.0.entry(queue.clone()).or_insert(ALLOW_PROBABILITY);
        let latest = allowed as f64 / asked as f64;
        *rate += (latest - *rate) * ALLOW_RATE_WEIGHT;
    }
}
