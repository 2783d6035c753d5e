//! Grants runner slots to requests, in the order of priority and shares.

use timeline::EventKind;
use types::{
    Attempt, BackendState, Message, Millis, NotRunReason, Outcome, Priority, RequestAsk, RequestId,
    RunEnd, RunReport, RunnerId, RunnerReport, SlotGrant,
};

use crate::event::{Action, CallFailure, ReplyTo};
use crate::limits::Amount;
use crate::pool::{FollowUp, Pool, Tenure};
use crate::record::{Record, RequestEnd};
use crate::requests::{MAX_WAITING, Request, Stage};
use crate::runners::{Grant, START_WINDOW_MS};
use crate::workers::lapse_after;

/// Time after a claim in which requests wait for runners to be attached.
const ATTACH_GRACE_MS: Millis = Millis(2_000);
/// Slots that a team under a limit asks for at once.
const GRANTS_AT_ONCE: u64 = 8;
/// When a caller may ask again about a request in progress.
const IN_PROGRESS_RETRY_MS: Millis = Millis(500);
/// A poll without an answer counts as failed after this time.
const POLL_TIMEOUT_MS: Millis = Millis(5_000);
/// Failed polls in a row after which a runner counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;

impl Pool {
    pub(crate) fn ask_slot(&mut self, now: Millis, from: ReplyTo, ask: RequestAsk) {
        if self.tenure != Tenure::Owner {
            let outcome = self.refusal(NotRunReason::NoOwner, Millis(0));
            self.send(from.address, Message::SlotRefusal(ask.call, outcome));
            return;
        }
        if self.is_repeated(&ask) {
            return;
        }
        if let Some(outcome) = self.settle_at_once(now, &ask) {
            self.push(Action::Count("requests.settled_at_once"));
            self.send(from.address, Message::SlotRefusal(ask.call, outcome));
            return;
        }
        let not_before = self.earliest_start(now, &ask);
        let request = Request {
            deadline_at: now + ask.remaining_ms,
            not_before,
            place: 0,
            attempt: Attempt::default(),
            stage: Stage::Waiting,
            reply_to: from,
            ask,
        };
        self.requests.enqueue(request);
        self.needs_granting = true;
    }

    /// Whether this very ask arrived before. Its answer is on its way already.
    fn is_repeated(&self, ask: &RequestAsk) -> bool {
        let live = self.requests.live.get(&ask.request).map(|live| &live.ask);
        live.is_some_and(|live| live.holder == ask.holder && ask.call <= live.call)
    }

    /// The outcome of an ask that need not or must not wait for a slot.
    fn settle_at_once(&mut self, now: Millis, ask: &RequestAsk) -> Option<Outcome> {
        if !ask.idempotent
            && let Some(outcome) = self.settle_from_journal(now, ask)
        {
            return Some(outcome);
        }
        if let Some(outcome) = self.settle_live(ask) {
            return Some(outcome);
        }
        if ask.is_retry && self.runners.works_for_former_owner(&ask.request) {
            return Some(Outcome::InProgress { retry_after_ms: IN_PROGRESS_RETRY_MS });
        }
        if !ask.idempotent && self.journal.store_failing() {
            return Some(self.refusal(NotRunReason::StoreUnavailable, Millis(1_000)));
        }
        let window = self.runners.total_window();
        if window == 0 && now.since(self.claimed_at) > ATTACH_GRACE_MS {
            return Some(self.refusal(NotRunReason::NoBackend, Millis(1_000)));
        }
        let wait_ms = self.requests.expected_wait(ask.priority, window);
        let earliest = self.earliest_start(now, ask).since(now);
        if wait_ms.max(earliest) >= ask.remaining_ms {
            return Some(self.refusal(NotRunReason::DeadlineUnreachable, wait_ms));
        }
        self.shed_for(ask.priority, wait_ms)
    }

    /// What the journal says of a non-idempotent request that was seen before.
    fn settle_from_journal(&mut self, now: Millis, ask: &RequestAsk) -> Option<Outcome> {
        let known = self.journal.state().requests.get(&ask.request)?;
        if known.content_hash != ask.content_hash {
            return Some(Outcome::not_run(NotRunReason::IdReused, Millis(0)));
        }
        match known.end {
            Some(RequestEnd::Ran) => {
                let answer = self.requests.kept_answer(&ask.request).cloned();
                Some(answer.map_or(Outcome::RanBefore, Outcome::Ran))
            }
            Some(RequestEnd::Unknown) => Some(Outcome::unknown("an earlier try may have run")),
            // Its end is being committed.
            None if self.requests.kept_answer(&ask.request).is_some() => {
                self.requests.kept_answer(&ask.request).cloned().map(Outcome::Ran)
            }
            Some(RequestEnd::NotRun) => None,
            // The holder of the only grant asks again: it did not use that grant and never will.
            None if known.holder == ask.holder && ask.call > known.call => None,
            None if self.requests.live.contains_key(&ask.request) => None,
            None if now < self.runners.former_runs_end_at => {
                Some(Outcome::InProgress { retry_after_ms: IN_PROGRESS_RETRY_MS })
            }
            None => {
                let record = Record::RequestEnded(ask.request.clone(), RequestEnd::Unknown);
                self.append(record, None);
                Some(Outcome::unknown("an earlier try may have run"))
            }
        }
    }

    /// What to tell about a request that is in progress here already.
    fn settle_live(&mut self, ask: &RequestAsk) -> Option<Outcome> {
        let live = self.requests.live.get(&ask.request)?;
        if live.ask.content_hash != ask.content_hash {
            return Some(Outcome::not_run(NotRunReason::IdReused, Millis(0)));
        }
        if live.ask.holder != ask.holder {
            return Some(Outcome::InProgress { retry_after_ms: IN_PROGRESS_RETRY_MS });
        }
        // The same holder asks again: it has dropped its earlier ask and what comes of it.
        let id = ask.request.clone();
        if let Some(old) = self.requests.remove(&id)
            && let Stage::Granted(runner) = old.stage
        {
            if ask.lost_a_run {
                // Its report has not arrived: the run may go on.
                self.note_lost_until(&runner, &id);
            } else {
                self.free_slot(&runner, &id, old.attempt);
            }
        }
        None
    }

    /// The earliest time at which no earlier run under this owner can go on.
    fn earliest_start(&self, now: Millis, ask: &RequestAsk) -> Millis {
        self.requests.lost_until.get(&ask.request).copied().unwrap_or(now).max(now)
    }

    /// Makes place in a full line by refusing the least urgent request, or refuses the new one.
    fn shed_for(&mut self, priority: Priority, wait_ms: Millis) -> Option<Outcome> {
        if self.requests.waiting() < MAX_WAITING {
            return None;
        }
        match self.requests.least_urgent_below(priority) {
            Some(shed) => {
                self.refuse_request(&shed, NotRunReason::QueueFull);
                None
            }
            None => Some(self.refusal(NotRunReason::QueueFull, wait_ms)),
        }
    }

    /// Ends a request that was never granted, and tells its entry.
    pub(crate) fn refuse_request(&mut self, id: &RequestId, reason: NotRunReason) {
        let Some(request) = self.requests.remove(id) else { return };
        if request.stage == Stage::Committing && !request.ask.idempotent {
            self.append(Record::RequestEnded(id.clone(), RequestEnd::NotRun), None);
        }
        let wait_ms =
            self.requests.expected_wait(request.ask.priority, self.runners.total_window());
        let outcome = self.refusal(reason, wait_ms);
        self.push(Action::Count("requests.refused"));
        self.send(request.reply_to.address, Message::SlotRefusal(request.ask.call, outcome));
    }

    pub(crate) fn refuse_expired(&mut self, now: Millis) {
        let reason = if self.journal.store_failing() {
            NotRunReason::StoreUnavailable
        } else {
            NotRunReason::DeadlinePassed
        };
        for id in self.requests.expired(now) {
            let committing =
                self.requests.live.get(&id).is_some_and(|one| one.stage == Stage::Committing);
            self.refuse_request(
                &id,
                if committing { reason } else { NotRunReason::DeadlinePassed },
            );
        }
    }

    /// Grants free slots to waiting requests.
    pub(crate) fn grant_slots(&mut self, now: Millis) {
        if !self.needs_granting || self.requests.waiting() == 0 {
            return;
        }
        self.needs_granting = false;
        for priority in [Priority::Urgent, Priority::Normal, Priority::Low] {
            while self.grant_round(now, priority) {}
        }
    }

    /// Grants one slot to each team that waits, as far as slots reach. True if any was granted.
    fn grant_round(&mut self, now: Millis, priority: Priority) -> bool {
        let shares = &self.shares;
        let hold_retries = self.runners.former_runs_unseen(now);
        let candidates =
            self.requests.candidates(priority, now, hold_retries, |team| shares.weight(team));
        let mut granted = false;
        for id in candidates {
            if self.runners.choose(now).is_none() {
                return false;
            }
            granted |= self.grant_or_commit(now, &id);
        }
        granted
    }

    fn grant_or_commit(&mut self, now: Millis, id: &RequestId) -> bool {
        let Some(request) = self.requests.live.get(id) else { return false };
        if let Some(team) = request.ask.team.clone()
            && !self.limits.allows(&team, &Amount::one_slot(), &Amount::slots(GRANTS_AT_ONCE))
        {
            return false;
        }
        let Some(request) = self.requests.live.get(id) else { return false };
        if request.ask.idempotent {
            return self.grant(now, id);
        }
        let record = Record::RequestIntent {
            request: id.clone(),
            content_hash: request.ask.content_hash,
            holder: request.ask.holder.clone(),
            call: request.ask.call,
            attempt: request.attempt,
        };
        self.requests.leave_line(id, Stage::Committing);
        self.append(record, Some(FollowUp::Grant(id.clone())));
        true
    }

    /// The intent of a non-idempotent request is committed: it may be granted a slot.
    pub(crate) fn grant_committed(&mut self, now: Millis, id: &RequestId) {
        let is_committing =
            self.requests.live.get(id).is_some_and(|request| request.stage == Stage::Committing);
        if !is_committing || self.grant(now, id) {
            return;
        }
        // The slot went to someone else meanwhile: it waits in its old place.
        if let Some(request) = self.requests.remove(id) {
            self.append(Record::RequestEnded(id.clone(), RequestEnd::NotRun), None);
            self.requests.enqueue(Request { stage: Stage::Waiting, ..request });
        }
    }

    fn grant(&mut self, now: Millis, id: &RequestId) -> bool {
        let Some(runner_id) = self.runners.choose(now).cloned() else { return false };
        let attempt = self.new_attempt();
        let epoch = self.journal.epoch();
        let Some(request) = self.requests.live.get_mut(id) else { return false };
        let Some(runner) = self.runners.by_id.get_mut(&runner_id) else { return false };
        request.attempt = attempt;
        let ask = &request.ask;
        let start_before_ms = runner.link.remote_clock_ms + START_WINDOW_MS;
        let longest_ms = START_WINDOW_MS + ask.run_limit_ms;
        let grant = Grant {
            attempt,
            team: ask.team.clone(),
            lapse_at: lapse_after(runner.link.heard_at, longest_ms),
        };
        let message = SlotGrant {
            call: ask.call,
            pool: ask.pool.clone(),
            epoch,
            request: id.clone(),
            attempt,
            runner: runner_id.clone(),
            url: runner.info.url.clone(),
            incarnation: runner.link.incarnation,
            start_before_ms,
            end_before_ms: start_before_ms + ask.run_limit_ms,
        };
        runner.grants.insert(id.clone(), grant);
        let (team, to) = (ask.team.clone(), request.reply_to.address);
        self.requests.leave_line(id, Stage::Granted(runner_id));
        self.requests.slot_taken(&team);
        if let Some(team) = &team {
            self.limits.take(team, &Amount::one_slot());
        }
        self.push(Action::Count("requests.granted"));
        self.send(to, Message::SlotGrant(message));
        true
    }

    /// Frees a slot, if this try still holds it.
    fn free_slot(&mut self, runner_id: &RunnerId, id: &RequestId, attempt: Attempt) {
        let Some(runner) = self.runners.by_id.get_mut(runner_id) else { return };
        if runner.grants.get(id).is_none_or(|grant| grant.attempt != attempt) {
            return;
        }
        let Some(grant) = runner.grants.remove(id) else { return };
        self.requests.slot_given(&grant.team);
        if let Some(team) = &grant.team {
            self.limits.give(team, &Amount::one_slot());
        }
        self.needs_granting = true;
    }

    pub(crate) fn report_run(&mut self, now: Millis, report: RunReport) {
        let Some(request) = self.requests.live.get(&report.request) else { return };
        let Stage::Granted(runner_id) = request.stage.clone() else { return };
        if request.attempt != report.attempt {
            return;
        }
        let idempotent = request.ask.idempotent;
        self.requests.remove(&report.request);
        match report.end {
            RunEnd::Answered => self.note_answered(&runner_id, &report, idempotent),
            RunEnd::NotStarted => {
                self.note_run_failed(now, &runner_id);
                self.free_slot(&runner_id, &report.request, report.attempt);
                if !idempotent {
                    self.append(Record::RequestEnded(report.request, RequestEnd::NotRun), None);
                }
            }
            RunEnd::Lost => {
                self.note_run_failed(now, &runner_id);
                self.note_lost(&runner_id, &report, idempotent);
            }
        }
    }

    fn note_answered(&mut self, runner_id: &RunnerId, report: &RunReport, idempotent: bool) {
        if let Some(runner) = self.runners.by_id.get_mut(runner_id) {
            runner.answered(report.took_ms);
        }
        self.requests.note_service(report.took_ms);
        self.free_slot(runner_id, &report.request, report.attempt);
        if idempotent {
            return;
        }
        self.append(Record::RequestEnded(report.request.clone(), RequestEnd::Ran), None);
        if let Some(answer) = &report.answer {
            self.requests.keep_answer(report.request.clone(), answer.clone());
        }
    }

    /// The run may go on: its slot stays in use until the runner has surely stopped it.
    fn note_lost(&mut self, runner_id: &RunnerId, report: &RunReport, idempotent: bool) {
        if !idempotent {
            let record = Record::RequestEnded(report.request.clone(), RequestEnd::Unknown);
            self.append(record, None);
            return;
        }
        self.note_lost_until(runner_id, &report.request);
    }

    /// Remembers until when a run may go on, so that the request is not granted before.
    fn note_lost_until(&mut self, runner_id: &RunnerId, id: &RequestId) {
        let grants = self.runners.by_id.get(runner_id).map(|runner| &runner.grants);
        if let Some(grant) = grants.and_then(|grants| grants.get(id)) {
            self.requests.lost_until.insert(id.clone(), grant.lapse_at);
        }
    }

    fn note_run_failed(&mut self, now: Millis, runner_id: &RunnerId) {
        let Some(runner) = self.runners.by_id.get_mut(runner_id) else { return };
        if runner.failed(now) {
            self.record_event(
                EventKind::RunnerState,
                runner_id.as_str(),
                "set aside after failures",
            );
        }
    }

    /// Frees slots whose run has surely ended although its entry said nothing.
    pub(crate) fn lapse_grants(&mut self, now: Millis) {
        self.requests.lost_until.retain(|_, until| *until > now);
        let mut lapsed = Vec::new();
        for (runner_id, runner) in &self.runners.by_id {
            let over = runner.grants.iter().filter(|(_, grant)| grant.lapse_at <= now);
            lapsed.extend(over.map(|(id, grant)| (runner_id.clone(), id.clone(), grant.attempt)));
        }
        for (runner_id, id, attempt) in lapsed {
            self.free_slot(&runner_id, &id, attempt);
            let is_current = self.requests.live.get(&id).is_some_and(|request| {
                request.attempt == attempt && matches!(request.stage, Stage::Granted(_))
            });
            if !is_current {
                continue;
            }
            if let Some(request) = self.requests.remove(&id)
                && !request.ask.idempotent
            {
                self.append(Record::RequestEnded(id, RequestEnd::Unknown), None);
            }
        }
    }

    /// Sends the polls that are due.
    pub(crate) fn poll_runners(&mut self, now: Millis) {
        if !self.trusted {
            return;
        }
        let epoch = self.journal.epoch();
        for runner in self.runners.by_id.values_mut() {
            if runner.link.call.is_some_and(|(_, sent_at)| now.since(sent_at) >= POLL_TIMEOUT_MS) {
                runner.link.failed(now, self.settings.poll_ms);
            }
        }
        let due: Vec<RunnerId> = self
            .runners
            .by_id
            .iter()
            .filter(|(_, runner)| runner.link.call.is_none() && runner.link.next_call_at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let call = self.new_call();
            let Some(runner) = self.runners.by_id.get_mut(&id) else { continue };
            runner.link.call = Some((call, now));
            let form = self.rules.vendor_form(&runner.info.vendor);
            let suspect = runner.link.is_suspect();
            let url = runner.info.url.clone();
            self.push(Action::PollRunner { runner: id, url, form, call, suspect, epoch });
        }
    }

    pub(crate) fn runner_answered(
        &mut self,
        now: Millis,
        id: &RunnerId,
        call: u64,
        answer: Result<RunnerReport, CallFailure>,
    ) {
        if !self.is_owner() {
            return;
        }
        let poll_ms = self.settings.poll_ms;
        let Some(runner) = self.runners.by_id.get_mut(id) else { return };
        if runner.link.call.is_none_or(|(current, _)| current != call) {
            return;
        }
        let before = runner.state_word();
        match answer {
            Err(CallFailure::StaleEpoch) => {
                self.lose_ownership(Vec::new());
                return;
            }
            Err(_) => {
                runner.link.failed(now, poll_ms);
                if runner.link.failures >= DOWN_AFTER_FAILURES {
                    runner.state = BackendState::Down;
                }
            }
            Ok(report) => {
                runner.link.incarnation = report.incarnation;
                runner.link.remote_clock_ms = report.clock_ms;
                runner.link.heard_at = now;
                runner.link.call = None;
                runner.link.failures = 0;
                runner.link.next_call_at = now + poll_ms;
                runner.attached = true;
                runner.state = report.state;
                runner.set_slots(report.slots);
                let foreign =
                    report.running.into_iter().filter(|id| !runner.grants.contains_key(id));
                runner.foreign = foreign.collect();
                self.needs_granting = true;
            }
        }
        self.note_runner_state(id, before);
    }

    fn note_runner_state(&mut self, id: &RunnerId, before: &'static str) {
        let Some(runner) = self.runners.by_id.get(id) else { return };
        let after = runner.state_word();
        if before != after {
            self.record_event(EventKind::RunnerState, id.as_str(), after);
        }
    }
}
