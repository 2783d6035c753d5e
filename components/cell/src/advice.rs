//! Whom to ask the advisor about, where and when.
//!
//! Load pattern: a call takes a fixed time and some more for each worker named, and the
//! advisor serves one call at a time for each calling machine. Long calls of one queue must
//! not hold up short calls of another, and tickets must be fresh when room appears.

use std::collections::{BTreeMap, BTreeSet};

use libs::compact_str::CompactString;
use types::{Millis, WorkerId};

use crate::model::AdvicePolicy;

/// Workers named in the first call of a step: the callers' objective counts a call on 30.
const FIRST_CALL_WORKERS: usize = 30;
/// Fewest and most workers named in a call, where there are that many.
const MIN_CALL_WORKERS: usize = 6;
const MAX_CALL_WORKERS: usize = 48;
/// Chance that an unknown worker is allowed: the sites' advisors allow 35 to 70 in a hundred.
pub(crate) const ALLOW_PROBABILITY: f64 = 0.35;
/// Tickets kept fresh for a step that waits for room.
const PREPARED_TICKETS: usize = 4;
/// A ticket is used up to this long before it lapses, for the way to the worker.
const TICKET_MARGIN_MS: Millis = Millis(120);
/// Calls that take longer than this are long.
const LONG_CALL_MS: f64 = 150.0;
/// Pause after a failed call.
const RETRY_MS: Millis = Millis(200);
/// Work in progress up to which a machine takes another short call.
const SHORT_BACKLOG_MS: f64 = 60.0;
/// A machine whose call has no answer for this long is free again.
const CALL_EXPIRY_MS: Millis = Millis(4_000);

/// A permission to run a step on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) text: CompactString,
    pub(crate) expires_ms: Millis,
    pub(crate) incarnation_unix_ms: u64,
}

/// What is known about one step.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    tickets: BTreeMap<WorkerId, Ticket>,
    denied: BTreeSet<WorkerId>,
    /// A call is in progress.
    pub(crate) call_pending: bool,
    /// Calls made so far.
    pub(crate) calls: u32,
    not_before_ms: Millis,
}

impl StepAdvice {
    /// The ticket for a worker, if it can still be used.
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

    /// Workers that are known to be allowed, with a fresh ticket or without.
    pub(crate) fn allowed_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.tickets.keys()
    }

    /// Whether a call may be made now.
    pub(crate) fn may_ask(&self, now: Millis) -> bool {
        !self.call_pending && now >= self.not_before_ms
    }

    pub(crate) fn is_denied(&self, worker: &WorkerId) -> bool {
        self.denied.contains(worker)
    }

    /// Drops a ticket that the worker refused.
    pub(crate) fn drop_ticket(&mut self, worker: &WorkerId) {
        self.tickets.remove(worker);
    }

    pub(crate) fn record_answer(
        &mut self,
        asked: &[(WorkerId, u64)],
        allowed: &[(WorkerId, CompactString)],
        expires_ms: Millis,
    ) {
        self.call_pending = false;
        for (worker, incarnation_unix_ms) in asked {
            match allowed.iter().find(|(id, _)| id == worker) {
                Some((_, text)) => {
                    let ticket = Ticket {
                        text: text.clone(),
                        expires_ms,
                        incarnation_unix_ms: *incarnation_unix_ms,
                    };
                    self.tickets.insert(worker.clone(), ticket);
                }
                None => {
                    self.denied.insert(worker.clone());
                }
            }
        }
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.call_pending = false;
        self.not_before_ms = now + RETRY_MS;
    }

    /// Workers to ask about for `tasks` tasks that found no worker with a ticket and room.
    ///
    /// Workers with room come first: known ones, whose ticket has lapsed, then unknown ones, as
    /// many as the tasks will likely need. Without any room a few tickets are kept fresh, so
    /// that room is used as soon as it appears.
    pub(crate) fn workers_to_ask(
        &self,
        candidates: &[AskCandidate],
        tasks: u64,
        lead_ms: Millis,
        now: Millis,
    ) -> Vec<(WorkerId, u64)> {
        if !self.may_ask(now) {
            return Vec::new();
        }
        let not_denied = || candidates.iter().filter(|one| !self.is_denied(&one.id));
        let known = |one: &&AskCandidate| self.tickets.contains_key(&one.id);
        let stale = |one: &&AskCandidate| {
            known(one) && self.ticket(&one.id, one.incarnation_unix_ms, now + lead_ms).is_none()
        };
        let has_slots = |one: &&AskCandidate| one.slots > 0;
        if !not_denied().any(|one| has_slots(&one)) {
            return self.tickets_to_refresh(
                not_denied().filter(stale),
                not_denied().filter(known).count(),
                not_denied(),
            );
        }
        let wanted = (tasks * 2 + 2) as f64;
        let mut expected = 0.0;
        let mut chosen = Vec::new();
        let first = not_denied().filter(|one| has_slots(one) && stale(one)).map(|one| (one, 1.0));
        let then = not_denied()
            .filter(|one| has_slots(one) && !known(one))
            .map(|one| (one, ALLOW_PROBABILITY));
        for (one, chance) in first.chain(then) {
            let enough = expected >= wanted && chosen.len() >= MIN_CALL_WORKERS;
            if enough || chosen.len() >= MAX_CALL_WORKERS {
                break;
            }
            expected += one.slots as f64 * chance;
            chosen.push((one.id.clone(), one.incarnation_unix_ms));
        }
        chosen
    }

    /// Tickets to renew while no worker has room.
    fn tickets_to_refresh<'a>(
        &self,
        stale: impl Iterator<Item = &'a AskCandidate>,
        known: usize,
        not_denied: impl Iterator<Item = &'a AskCandidate>,
    ) -> Vec<(WorkerId, u64)> {
        let name = |one: &AskCandidate| (one.id.clone(), one.incarnation_unix_ms);
        if known == 0 {
            return not_denied.take(FIRST_CALL_WORKERS).map(name).collect();
        }
        let stale: Vec<_> = stale.map(name).collect();
        let fresh = known - stale.len();
        stale.into_iter().take(PREPARED_TICKETS.saturating_sub(fresh)).collect()
    }
}

/// A worker that the advisor may be asked about.
#[derive(Debug, Clone)]
pub(crate) struct AskCandidate {
    pub(crate) id: WorkerId,
    pub(crate) incarnation_unix_ms: u64,
    /// Tasks of the step that it has room for now.
    pub(crate) slots: u64,
}

/// Time that a call takes at the advisor.
pub(crate) fn call_ms(policy: &AdvicePolicy, workers: usize) -> f64 {
    policy.call_ms + policy.per_worker_ms * workers as f64
}

/// A call in progress.
#[derive(Debug)]
struct Call {
    number: u64,
    /// Time that it takes at the advisor.
    duration_ms: f64,
    sent_ms: Millis,
}

/// The machines that can call the advisor, with their work in progress.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    machines: BTreeMap<CompactString, Vec<Call>>,
    next_call: u64,
}

impl Callers {
    /// Replaces the list of machines; calls in progress on kept ones go on.
    pub(crate) fn set_machines(&mut self, names: &[CompactString]) {
        self.machines.retain(|name, _| names.contains(name));
        for name in names {
            self.machines.entry(name.clone()).or_default();
        }
    }

    /// Takes a machine for a call, or none if all are busy enough.
    ///
    /// A third of the machines, at least one, takes only short calls.
    pub(crate) fn reserve(
        &mut self,
        duration_ms: f64,
        now: Millis,
    ) -> Option<(CompactString, u64)> {
        for calls in self.machines.values_mut() {
            calls.retain(|call| now.since(call.sent_ms) < CALL_EXPIRY_MS);
        }
        let name = self.least_busy(duration_ms, now)?.clone();
        let calls = self.machines.get_mut(&name)?;
        self.next_call += 1;
        calls.push(Call { number: self.next_call, duration_ms, sent_ms: now });
        Some((name, self.next_call))
    }

    /// Whether some machine would take a call now.
    pub(crate) fn has_free(&self, duration_ms: f64, now: Millis) -> bool {
        self.least_busy(duration_ms, now).is_some()
    }

    fn least_busy(&self, duration_ms: f64, now: Millis) -> Option<&CompactString> {
        let reserved = if self.machines.len() > 1 { (self.machines.len() / 3).max(1) } else { 0 };
        let long = duration_ms > LONG_CALL_MS;
        let limit_ms = if long { 1.0 } else { SHORT_BACKLOG_MS };
        let skipped = if long { reserved } else { 0 };
        self.machines
            .iter()
            .skip(skipped)
            .map(|(name, calls)| (backlog_ms(calls, now), name))
            .filter(|(busy_ms, _)| *busy_ms < limit_ms)
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, name)| name)
    }

    /// A call has ended.
    pub(crate) fn release(&mut self, call: u64) {
        for calls in self.machines.values_mut() {
            calls.retain(|one| one.number != call);
        }
    }
}

/// Work in progress of a machine.
fn backlog_ms(calls: &[Call], now: Millis) -> f64 {
    calls.iter().map(|call| (call.duration_ms - now.since(call.sent_ms).0 as f64).max(1.0)).sum()
}
