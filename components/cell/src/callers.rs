//! Machines that call the advisor, and their calls in progress.
//!
//! Load pattern: calls of one queue take 14 ms and those of another 700 ms. The advisor serves one
//! call at a time for each machine, so that a short call behind a long one would miss the objective
//! of its job, while calls of about the same length may queue.

use std::collections::BTreeMap;

use libs::compact_str::CompactString;
use types::Millis;

/// Backlog of a machine below which it takes another short call.
const SHORT_BACKLOG_MS: f64 = 60.0;
/// A call is short if it takes at most this many times as long as one of the quickest queue.
const SHORT_CALL_FACTOR: f64 = 4.0;
/// Time after which an unanswered call no longer occupies its machine.
const CALL_EXPIRY_MS: Millis = Millis(4_000);

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
    /// Duration above which a call counts as long.
    short_call_ms: f64,
}

impl Callers {
    /// Replaces the list of machines. Calls in progress on machines that stay are kept.
    pub(crate) fn set_machines(&mut self, names: &[CompactString]) {
        self.machines.retain(|name, _| names.contains(name));
        for name in names {
            self.machines.entry(name.clone()).or_default();
        }
    }

    /// Sets the duration of a usual call of the queue that needs the shortest ones.
    pub(crate) fn set_shortest_call(&mut self, duration_ms: f64) {
        self.short_call_ms = duration_ms * SHORT_CALL_FACTOR;
    }

    /// Assigns a call to a machine and returns it with the call's number; none if all are busy.
    ///
    /// A third of the machines, at least one, is reserved for short calls and for one step at a
    /// time that `has_turn`, unless there is only one machine.
    pub(crate) fn reserve(
        &mut self,
        duration_ms: f64,
        has_turn: bool,
        now: Millis,
    ) -> Option<(CompactString, u64)> {
        for calls in self.machines.values_mut() {
            calls.retain(|call| now.since(call.sent_ms) < CALL_EXPIRY_MS);
        }
        let name = self.least_busy(duration_ms, has_turn, now)?.clone();
        let calls = self.machines.get_mut(&name)?;
        self.next_call += 1;
        calls.push(Call { number: self.next_call, duration_ms, sent_ms: now });
        Some((name, self.next_call))
    }

    /// Whether a machine can take a call now.
    pub(crate) fn has_free(&self, duration_ms: f64, has_turn: bool, now: Millis) -> bool {
        self.least_busy(duration_ms, has_turn, now).is_some()
    }

    /// Machines with a call in progress, in percent.
    pub(crate) fn busy_percent(&self) -> u64 {
        let busy = self.machines.values().filter(|calls| !calls.is_empty()).count();
        (busy * 100 / self.machines.len().max(1)) as u64
    }

    fn least_busy(&self, duration_ms: f64, has_turn: bool, now: Millis) -> Option<&CompactString> {
        let reserved = if self.machines.len() > 1 { (self.machines.len() / 3).max(1) } else { 0 };
        let long = duration_ms > self.short_call_ms;
        let limit_ms = if long { 1.0 } else { SHORT_BACKLOG_MS };
        let skipped = if long && !has_turn { reserved } else { 0 };
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
