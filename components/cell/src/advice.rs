//! Calls to the advisor: which workers to name, from which machine, and when.
//!
//! Load pattern: a call takes a fixed time plus some time for each worker named, and the advisor
//! serves one call at a time for each calling machine. Long calls of one queue must not delay
//! short calls of another, and tickets must be valid when resources become free.

use std::collections::{BTreeMap, BTreeSet};

use libs::compact_str::CompactString;
use types::{Millis, WorkerId};

use crate::model::AdvicePolicy;

/// Workers named in the first call of a step while none has free resources. The callers' objective
/// allows for a call that names 30.
const FIRST_CALL_WORKERS: usize = 30;
/// Least and most workers named in a call, if there are that many.
const MIN_CALL_WORKERS: usize = 6;
const MAX_CALL_WORKERS: usize = 48;
/// Assumed probability that the advisor allows a worker: the users' advisors allow 35% to 70%.
pub(crate) const ALLOW_PROBABILITY: f64 = 0.35;
/// Valid tickets kept for a step that waits for free resources.
const PREPARED_TICKETS: usize = 4;
/// A ticket is not used within this time before it expires, since the order takes time to reach
/// the worker.
const TICKET_MARGIN_MS: Millis = Millis(120);
/// Calls that take longer than this count as long.
const LONG_CALL_MS: f64 = 150.0;
/// Delay before the next call after a failed one.
const RETRY_MS: Millis = Millis(200);
/// Backlog of a machine below which it takes another short call.
const SHORT_BACKLOG_MS: f64 = 60.0;
/// Time after which an unanswered call no longer occupies its machine.
const CALL_EXPIRY_MS: Millis = Millis(4_000);

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
    denied: BTreeSet<WorkerId>,
    /// A call is in progress.
    pub(crate) call_pending: bool,
    /// Number of calls made.
    pub(crate) calls: u32,
    not_before_ms: Millis,
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

    /// Whether a call may be made now: none is in progress, and the delay after a failure is over.
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

    /// Workers to name in a call, for `tasks` tasks that found no worker with a ticket and free
    /// resources.
    ///
    /// Workers with free resources are named as far as the tasks will likely need them: first
    /// allowed ones whose ticket has expired, then unknown ones. If no worker has free resources,
    /// a few tickets are kept valid, so that resources are used as soon as they become free.
    pub(crate) fn workers_to_ask(
        &self,
        candidates: &[AdviceCandidate],
        tasks: u64,
        lead_ms: Millis,
        now: Millis,
    ) -> Vec<(WorkerId, u64)> {
        if !self.may_ask(now) {
            return Vec::new();
        }
        let not_denied = || candidates.iter().filter(|one| !self.is_denied(&one.id));
        let known = |one: &&AdviceCandidate| self.tickets.contains_key(&one.id);
        let stale = |one: &&AdviceCandidate| {
            known(one) && self.ticket(&one.id, one.incarnation_unix_ms, now + lead_ms).is_none()
        };
        let has_slots = |one: &&AdviceCandidate| one.slots > 0;
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
        for (one, probability) in first.chain(then) {
            let enough = expected >= wanted && chosen.len() >= MIN_CALL_WORKERS;
            if enough || chosen.len() >= MAX_CALL_WORKERS {
                break;
            }
            expected += one.slots as f64 * probability;
            chosen.push((one.id.clone(), one.incarnation_unix_ms));
        }
        chosen
    }

    /// Workers to name while none has free resources, to keep a few tickets valid.
    fn tickets_to_refresh<'a>(
        &self,
        stale: impl Iterator<Item = &'a AdviceCandidate>,
        known: usize,
        not_denied: impl Iterator<Item = &'a AdviceCandidate>,
    ) -> Vec<(WorkerId, u64)> {
        let name = |one: &AdviceCandidate| (one.id.clone(), one.incarnation_unix_ms);
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
pub(crate) struct AdviceCandidate {
    pub(crate) id: WorkerId,
    pub(crate) incarnation_unix_ms: u64,
    /// Number of tasks of the step that fit on it now.
    pub(crate) slots: u64,
}

/// Expected duration of a call at the advisor.
pub(crate) fn call_ms(policy: &AdvicePolicy, workers: usize) -> f64 {
    policy.call_ms + policy.per_worker_ms * workers as f64
}

/// A call in progress.
#[derive(Debug)]
struct Call {
    number: u64,
    /// Expected duration at the advisor.
    duration_ms: f64,
    sent_ms: Millis,
}

/// Machines that can call the advisor, with their calls in progress.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    machines: BTreeMap<CompactString, Vec<Call>>,
    next_call: u64,
}

impl Callers {
    /// Replaces the list of machines. Calls in progress on machines that stay are kept.
    pub(crate) fn set_machines(&mut self, names: &[CompactString]) {
        self.machines.retain(|name, _| names.contains(name));
        for name in names {
            self.machines.entry(name.clone()).or_default();
        }
    }

    /// Assigns a call to a machine and returns it with the call's number; none if all are busy.
    ///
    /// A third of the machines, at least one, is reserved for short calls, unless there is only
    /// one machine.
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

    /// Whether a machine can take a call now.
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

    /// Releases the machine of a call that has ended.
    pub(crate) fn release(&mut self, call: u64) {
        for calls in self.machines.values_mut() {
            calls.retain(|one| one.number != call);
        }
    }
}

/// Expected time until the calls of a machine are done, in milliseconds.
fn backlog_ms(calls: &[Call], now: Millis) -> f64 {
    calls.iter().map(|call| (call.duration_ms - now.since(call.sent_ms).0 as f64).max(1.0)).sum()
}
