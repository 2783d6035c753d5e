//! Requests advice for steps that may start soon.

use std::rc::Rc;

use eventlog::event;
use types::{Millis, WorkerId};

use crate::action::Action;
use crate::advice::{AdviceCandidate, AdviceCandidates, AskContext, Spread, call_ms};
use crate::cell::Cell;
use crate::model::AdvicePolicy;
use crate::place::WaitingStep;
use crate::round::count;
use crate::worker::Worker;

/// A ticket is renewed this long before it expires, plus the duration of a short call.
const ADVICE_LEAD_MS: Millis = Millis(150);
/// Workers in a call to renew tickets, for its expected duration.
const RENEWED_WORKERS: usize = 8;

/// Time from a call until its tickets should have been used: the call, and half of their validity.
fn ticket_horizon_ms(advice: &AdvicePolicy) -> Millis {
    Millis(call_ms(advice, RENEWED_WORKERS) as u64 + advice.valid_ms.0 / 2)
}

impl Cell {
    /// Requests advice on workers for `tasks` tasks that found none.
    ///
    /// A step asks if workers have room that no step of a better rank is about to use, or if room
    /// becomes free within the life of a ticket. Urgent steps ask once in any case, since preemption
    /// needs to know which workers are allowed. A step that has its turn always asks, and may use the
    /// machines that are reserved for short calls.
    pub(crate) fn request_advice(
        &mut self,
        waiting: &WaitingStep<'_>,
        advice: &AdvicePolicy,
        tasks: u64,
    ) {
        let WaitingStep { key, spec, queue, has_turn, now, .. } = *waiting;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key.occurrence, key.step) else { return };
        if step.advice.call_pending() {
            self.rooms.get_mut(&queue.service).claim(&spec.charge(), tasks);
            return;
        }
        let may_ask = tasks > 0
            && step.advice.may_ask(now)
            && self.callers.has_free(call_ms(advice, 1), has_turn, now);
        if !may_ask {
            return;
        }
        let asks_anyway = has_turn || (waiting.is_urgent() && step.advice.calls == 0);
        let mut fits = self.rooms.get_mut(&queue.service).fits(&spec.charge());
        if !fits && !asks_anyway && !self.frees_in_time(waiting, advice, tasks) {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key.occurrence, key.step) else { return };
        let lead_ms = ADVICE_LEAD_MS + Millis(call_ms(advice, RENEWED_WORKERS) as u64);
        let context = AskContext {
            tasks,
            lead_ms: lead_ms.min(Millis(advice.valid_ms.0 / 2)),
            allow_rate: self.allow_rates.get(&job.record.queue),
            now,
        };
        let mut candidates = self.advice_candidates(waiting);
        let enough_slots =
            step.advice.usable_slots(&candidates) >= if spec.gang { tasks } else { 1 };
        if fits && !enough_slots {
            fits = false;
            drop(candidates);
            if !asks_anyway && !self.frees_in_time(waiting, advice, tasks) {
                return;
            }
            candidates = self.advice_candidates(waiting);
        }
        let Some(step) = self.step(key) else { return };
        let asked = step.advice.workers_to_ask(&candidates, &context);
        drop(candidates);
        self.waiting.advice_scans += 1;
        self.waiting.advice_lookups += asked.lookups as u64;
        let workers = asked.workers;
        if workers.is_empty() {
            return;
        }
        let duration_ms = call_ms(advice, workers.len());
        let Some((caller, call)) = self.callers.reserve(duration_ms, has_turn, now) else { return };
        if fits {
            self.rooms.get_mut(&queue.service).claim(&spec.charge(), tasks);
        }
        if let Some(step) = self.step_mut(key) {
            step.advice.call_started(duration_ms);
        }
        event!("advice.requested", "step" => key.to_string(), "workers" => workers.len(),
            "machine" => caller.as_str(), "takes_ms" => duration_ms, "tasks" => tasks);
        self.actions.push(Action::RequestAdvice { caller, call, step: key.clone(), workers });
    }

    /// Whether resources for a step become free while tickets that it gets now are valid.
    fn frees_in_time(
        &mut self,
        waiting: &WaitingStep<'_>,
        advice: &AdvicePolicy,
        tasks: u64,
    ) -> bool {
        let charge = waiting.spec.charge();
        let room = self.rooms.get_mut(&waiting.queue.service);
        room.claim_ahead(&charge, tasks, ticket_horizon_ms(advice))
    }

    /// Workers that may run tasks of a step, in the order in which calls name them.
    fn advice_candidates<'a>(&'a self, waiting: &'a WaitingStep<'_>) -> AdviceCandidates<'a> {
        let WaitingStep { key, spec, queue, now, .. } = *waiting;
        let charge = spec.charge();
        let spread = Spread::new(key);
        let rule = Rc::new(self.speed_rule(waiting));
        let usable = {
            let rule = rule.clone();
            move |worker: &Worker| {
                count(&self.work.workers, 1);
                worker.accepts(queue, spec, now)
                    && worker.report.capacity.covers(&charge)
                    && rule.may_use(worker)
            }
        };
        let candidate = move |id: &'a WorkerId, worker: &Worker| AdviceCandidate {
            id,
            incarnation_unix_ms: worker.incarnation_unix_ms,
            slots: if rule.may_start_on(worker) { worker.slots(key, spec) } else { 0 },
            speed_place: rule.advice_place(worker),
            spread: spread.place(id),
        };
        let find = {
            let (candidate, usable) = (candidate.clone(), usable.clone());
            move |id: &WorkerId| {
                let (id, worker) = self.workers.get_key_value(id)?;
                usable(worker).then(|| candidate(id, worker))
            }
        };
        let with_room = self
            .workers_with_room(&queue.service, charge)
            .filter(|(_, worker)| usable(worker))
            .map(|(id, worker)| candidate(id, worker))
            .filter(|one| one.slots > 0)
            .collect();
        let without_room = move || {
            let all = self.workers.iter().filter(|(_, worker)| usable(worker));
            all.map(|(id, worker)| candidate(id, worker)).filter(|one| one.slots == 0).collect()
        };
        AdviceCandidates::new(with_room, Box::new(without_room), Box::new(find))
    }
}
