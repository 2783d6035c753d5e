//! Answers of the advisor that a leader hands on to the next one.
//!
//! Load pattern: the leader changes each second or so, a call for advice takes half of that, and the
//! advisor allows few workers for a step. Each leader names the workers in the same order, so that it
//! would ask about those again that the advisor has denied to the former one.

use std::collections::BTreeMap;

use eventlog::event;
use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};
use types::{Millis, QueueId, WorkerId};

use crate::advice::{StepAdvice, Ticket};
use crate::cell::Cell;
use crate::job::Step;
use crate::model::{StepKey, StepSpec};

/// Longest encoded record in bytes: 50 ms on a link of 10 Mbit/s, and a sixteenth of what the store
/// takes as one value.
pub const MAX_ADVICE_BYTES: usize = 64 * 1_024;
/// Most workers of one step. They take about a third of the record, with their ids.
const MAX_STEP_WORKERS: usize = 1_000;
/// Most bytes of the length of a list with up to two million entries.
const LENGTH_BYTES: usize = 3;

/// Answers of the advisor on the steps of open jobs.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AdviceRecords {
    /// Workers that the advisor was asked about, with their incarnations.
    workers: Vec<(WorkerId, u64)>,
    steps: Vec<StepRecord>,
    /// Average share of the workers that the advisor allows, by queue.
    allow_rates: Vec<(QueueId, f64)>,
}

/// Answers on one step. Workers are indexes into those of the record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct StepRecord {
    step: StepKey,
    /// Allowed workers whose tickets have expired.
    allowed: Vec<u32>,
    /// Allowed workers with their tickets.
    tickets: Vec<TicketRecord>,
    denied: Vec<u32>,
    /// Consecutive answers that allowed none of the workers named.
    empty_answers: u32,
}

/// A ticket for a worker, which is an index into those of the record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct TicketRecord {
    worker: u32,
    text: CompactString,
    expires_unix_ms: u64,
}

impl AdviceRecords {
    /// Whether it holds no answer.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty() && self.allow_rates.is_empty()
    }

    /// Number of steps.
    pub fn steps(&self) -> usize {
        self.steps.len()
    }

    /// Number of workers that are allowed, summed over the steps.
    pub fn allowed(&self) -> usize {
        self.steps.iter().map(|step| step.allowed.len() + step.tickets.len()).sum()
    }

    /// Number of tickets.
    pub fn tickets(&self) -> usize {
        self.steps.iter().map(|step| step.tickets.len()).sum()
    }

    /// Number of workers that are denied, summed over the steps.
    pub fn denied(&self) -> usize {
        self.steps.iter().map(|step| step.denied.len()).sum()
    }

    /// The workers with these indexes.
    fn workers_at(&self, indexes: &[u32]) -> impl Iterator<Item = &(WorkerId, u64)> {
        indexes.iter().filter_map(|index| self.workers.get(*index as usize))
    }
}

/// Collects records up to their greatest length.
struct Collector<'a> {
    records: AdviceRecords,
    indexes: BTreeMap<(&'a WorkerId, u64), u32>,
    bytes: usize,
}

impl<'a> Collector<'a> {
    fn new() -> Self {
        Self {
            records: AdviceRecords::default(),
            indexes: BTreeMap::new(),
            bytes: 3 * LENGTH_BYTES,
        }
    }

    /// Counts what an entry takes, unless there is no room for it.
    fn takes(&mut self, bytes: usize) -> bool {
        let fits = self.bytes + bytes <= MAX_ADVICE_BYTES;
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    fn add_rate(&mut self, queue: &QueueId, rate: f64) {
        if self.takes(text_bytes(queue.as_str()) + size_of::<f64>()) {
            self.records.allow_rates.push((queue.clone(), rate));
        }
    }

    /// Index of a worker, if there is room for it.
    fn index(&mut self, id: &'a WorkerId, incarnation_unix_ms: u64) -> Option<u32> {
        if let Some(index) = self.indexes.get(&(id, incarnation_unix_ms)).copied() {
            return self.takes(number_bytes(u64::from(index))).then_some(index);
        }
        let index = u32::try_from(self.records.workers.len()).ok()?;
        let bytes = text_bytes(id.as_str())
            + number_bytes(incarnation_unix_ms)
            + number_bytes(u64::from(index));
        if !self.takes(bytes) {
            return None;
        }
        self.indexes.insert((id, incarnation_unix_ms), index);
        self.records.workers.push((id.clone(), incarnation_unix_ms));
        Some(index)
    }

    /// Index of a worker with its ticket, if there is room for both.
    fn ticket(
        &mut self,
        id: &'a WorkerId,
        ticket: &Ticket,
        expires_unix_ms: u64,
    ) -> Option<TicketRecord> {
        let worker = self.index(id, ticket.incarnation_unix_ms)?;
        let bytes = text_bytes(&ticket.text) + number_bytes(expires_unix_ms);
        let text = ticket.text.clone();
        self.takes(bytes).then_some(TicketRecord { worker, text, expires_unix_ms })
    }

    /// Adds the answers on a step. The allowed workers come first, since they are certain to get a
    /// ticket again.
    fn add_step(
        &mut self,
        step: StepKey,
        advice: &'a StepAdvice,
        is_current: impl Fn(&WorkerId, u64) -> bool,
        clock: &UnixClock,
    ) {
        let bytes = text_bytes(step.job.as_str())
            + number_bytes(u64::from(step.occurrence))
            + number_bytes(u64::from(step.step))
            + number_bytes(u64::from(advice.empty_answers()))
            + 3 * LENGTH_BYTES;
        if !self.takes(bytes) {
            return;
        }
        let (mut allowed, mut tickets, mut denied) = (Vec::new(), Vec::new(), Vec::new());
        let known_tickets =
            advice.tickets().filter(|(id, ticket)| is_current(id, ticket.incarnation_unix_ms));
        for (id, ticket) in known_tickets.take(MAX_STEP_WORKERS) {
            if ticket.expires_ms > clock.now {
                let Some(record) = self.ticket(id, ticket, clock.unix_ms_at(ticket.expires_ms))
                else {
                    break;
                };
                tickets.push(record);
            } else {
                let Some(index) = self.index(id, ticket.incarnation_unix_ms) else { break };
                allowed.push(index);
            }
        }
        let room = MAX_STEP_WORKERS - allowed.len() - tickets.len();
        let known_denied =
            advice.denied_incarnations().filter(|(id, incarnation)| is_current(id, *incarnation));
        for (id, incarnation_unix_ms) in known_denied.take(room) {
            let Some(index) = self.index(id, incarnation_unix_ms) else { break };
            denied.push(index);
        }
        if allowed.is_empty() && tickets.is_empty() && denied.is_empty() {
            self.bytes -= bytes;
            return;
        }
        let empty_answers = advice.empty_answers();
        self.records.steps.push(StepRecord { step, allowed, tickets, denied, empty_answers });
    }
}

/// Converts times of the process clock, which the next leader does not know.
struct UnixClock {
    now: Millis,
    unix_ms: u64,
}

impl UnixClock {
    fn unix_ms_at(&self, later_ms: Millis) -> u64 {
        self.unix_ms + later_ms.since(self.now).0
    }

    /// Time until a Unix time, at most `most_ms`: clocks of machines differ.
    fn until(&self, unix_ms: u64, most_ms: Millis) -> Millis {
        Millis(unix_ms.saturating_sub(self.unix_ms)).min(most_ms)
    }
}

/// Bytes of a number in the variable-length encoding, seven bits in each.
fn number_bytes(number: u64) -> usize {
    (u64::BITS - number.leading_zeros()).div_ceil(7).max(1) as usize
}

fn text_bytes(text: &str) -> usize {
    number_bytes(text.len() as u64) + text.len()
}

/// Steps with tasks that wait come first, then those with tasks that last and run again elsewhere once
/// their worker is gone.
fn rank(step: &Step, spec: &StepSpec) -> u8 {
    match (step.waiting > 0, spec.long_running) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}

impl Cell {
    /// Answers of the advisor to be stored for the next leader: those on steps of open jobs, as far as
    /// the workers are still known, up to [`MAX_ADVICE_BYTES`]. Of steps with the same rank, the one
    /// that has waited longest comes first.
    pub fn advice_records(&self, now: Millis) -> AdviceRecords {
        let clock = UnixClock { now, unix_ms: self.unix_ms(now) };
        let mut found: Vec<(u8, Millis, StepKey, &StepAdvice)> = Vec::new();
        for (id, job) in self.open_jobs.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            for (occurrence, state) in &job.open_occurrences {
                for ((index, step), spec) in (0u16..).zip(&state.steps).zip(&job.record.spec.steps)
                {
                    if !step.is_done() && step.advice.has_answers() {
                        let key = StepKey { job: id.clone(), occurrence: *occurrence, step: index };
                        let since_ms = step.ready_ms.unwrap_or_default().max(step.last_start_ms);
                        found.push((rank(step, spec), since_ms, key, &step.advice));
                    }
                }
            }
        }
        found.sort_by(|left, right| (left.0, left.1, &left.2).cmp(&(right.0, right.1, &right.2)));
        let is_current = |id: &WorkerId, incarnation_unix_ms: u64| {
            self.workers.get(id).is_some_and(|worker| {
                let has_answered = worker.last_answer_ms > Millis(0);
                !has_answered || worker.incarnation_unix_ms == incarnation_unix_ms
            })
        };
        let mut collector = Collector::new();
        for (queue, rate) in self.allow_rates.iter() {
            collector.add_rate(queue, rate);
        }
        for (_, _, key, advice) in found {
            collector.add_step(key, advice, is_current, &clock);
        }
        collector.records
    }

    /// Applies what a former leader handed on. Jobs and workers must have been restored before.
    ///
    /// Tickets that are still valid are used. Other workers that were allowed are named first. Those that
    /// were denied are not named again while they are of the same incarnation.
    pub fn restore_advice(&mut self, records: &AdviceRecords, now: Millis) {
        if records.is_empty() {
            return;
        }
        let clock = UnixClock { now, unix_ms: self.unix_ms(now) };
        let workers = &self.workers;
        let known = |indexes: &[u32]| -> Vec<(WorkerId, u64)> {
            let found = records.workers_at(indexes).filter(|(id, _)| workers.contains_key(id));
            found.cloned().collect()
        };
        let (mut steps, mut allowed_count, mut denied_count) = (0, 0, 0);
        for StepRecord { step: key, allowed, tickets, denied, empty_answers } in &records.steps {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            if job.due_unix_ms(key.occurrence) <= clock.unix_ms {
                // Nothing else is stored of an occurrence without progress.
                job.open_up_to(key.occurrence);
            }
            let advice = Cell::queue_policy(&self.policy, &job.record).advice;
            let valid_ms = advice.map(|advice| advice.valid_ms).unwrap_or_default();
            let Some(step) = job.step_mut(key.occurrence, key.step) else { continue };
            let expired = |(id, incarnation_unix_ms)| {
                let text = CompactString::default();
                (id, Ticket { text, expires_ms: Millis(0), incarnation_unix_ms })
            };
            let valid = |record: &TicketRecord| {
                let (id, incarnation_unix_ms) = known(&[record.worker]).pop()?;
                let expires_ms = now + clock.until(record.expires_unix_ms, valid_ms);
                Some((id, Ticket { text: record.text.clone(), expires_ms, incarnation_unix_ms }))
            };
            let expired = known(allowed).into_iter().map(expired);
            let restored: BTreeMap<WorkerId, Ticket> =
                expired.chain(tickets.iter().filter_map(valid)).collect();
            let denied = known(denied);
            steps += 1;
            allowed_count += restored.len();
            denied_count += denied.len();
            step.advice.restore(restored, denied, *empty_answers);
        }
        for (queue, rate) in &records.allow_rates {
            self.allow_rates.restore(queue, *rate);
        }
        self.needs_scheduling = true;
        event!("advice.restored", "steps" => steps, "allowed" => allowed_count,
            "tickets" => records.tickets(), "denied" => denied_count, "of_steps" => records.steps.len(), "epoch" => self.epoch);
    }
}
