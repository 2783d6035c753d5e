//! Grants runner slots to requests, by priority and team share, and polls runners.

use timeline::EventKind;
use types::{
    Attempt, BackendState, Message, Millis, NotRunReason, Outcome, Priority, RequestId, RunEnd,
    RunReport, RunnerId, RunnerReport, SlotGrant, SlotRequest,
};

use crate::event::{Action, CallFailure, ReplyTo};
use crate::limits::Amount;
use crate::pool::{FollowUp, OwnershipState, Pool};
use crate::record::{Record, RequestEnd};
use crate::requests::{MAX_WAITING, Request, Stage};
use crate::runners::{Grant, START_WINDOW_MS};
use crate::workers::remote_expiry;

/// Time after a claim in which requests wait for runners to be attached.
const ATTACH_GRACE_MS: Millis = Millis(2_000);
/// Number of slots that a pool asks for at once on behalf of a team that has reached its slice of a
/// limit.
const SLOT_DEMAND: u64 = 8;
/// Retry delay for a request that is in progress.
const IN_PROGRESS_RETRY_AFTER_MS: Millis = Millis(500);
/// Timeout of a runner poll.
const POLL_TIMEOUT_MS: Millis = Millis(5_000);
/// Consecutive failed polls after which a runner counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;

impl Pool {
    pub(crate) fn request_slot(&mut self, now: Millis, from: ReplyTo, slot_request: SlotRequest) {
        if self.ownership_state != OwnershipState::Owner {
            let outcome = self.refusal(NotRunReason::NoOwner, Millis(0));
            self.send(from.address, Message::SlotRefusal(slot_request.call, outcome));
            return;
        }
        if self.is_duplicate(&slot_request) {
            return;
        }
        if let Some(outcome) = self.immediate_outcome(now, &slot_request) {
            self.push(Action::IncrementCounter("requests.settled_at_once"));
            self.send(from.address, Message::SlotRefusal(slot_request.call, outcome));
            return;
        }
        let not_before = self.earliest_start(now, &slot_request);
        let request = Request {
            deadline_at: now + slot_request.remaining_ms,
            not_before,
            sequence: 0,
            attempt: Attempt::default(),
            stage: Stage::Waiting,
            reply_to: from,
            slot_request,
        };
        self.requests.enqueue(request);
        self.needs_granting = true;
    }

    /// Whether this slot request is a duplicate of one that is being handled. The answer to the
    /// first one will be sent, or was sent already.
    fn is_duplicate(&self, slot_request: &SlotRequest) -> bool {
        let live = self.requests.live.get(&slot_request.request).map(|live| &live.slot_request);
        live.is_some_and(|live| {
            live.holder == slot_request.holder && slot_request.call <= live.call
        })
    }

    /// The outcome of a request that need not or must not wait for a slot.
    fn immediate_outcome(&mut self, now: Millis, slot_request: &SlotRequest) -> Option<Outcome> {
        if !slot_request.idempotent
            && let Some(outcome) = self.outcome_from_journal(now, slot_request)
        {
            return Some(outcome);
        }
        if let Some(outcome) = self.resolve_in_progress(slot_request) {
            return Some(outcome);
        }
        if slot_request.is_retry && self.runners.runs_for_former_owner(&slot_request.request) {
            return Some(Outcome::InProgress { retry_after_ms: IN_PROGRESS_RETRY_AFTER_MS });
        }
        if !slot_request.idempotent && self.journal.store_failing() {
            return Some(self.refusal(NotRunReason::StoreUnavailable, Millis(1_000)));
        }
        let window = self.runners.total_window();
        if window == 0 && now.since(self.claimed_at) > ATTACH_GRACE_MS {
            return Some(self.refusal(NotRunReason::NoBackend, Millis(1_000)));
        }
        let wait_ms = self.requests.expected_wait(slot_request.priority, window);
        let earliest = self.earliest_start(now, slot_request).since(now);
        if wait_ms.max(earliest) >= slot_request.remaining_ms {
            return Some(self.refusal(NotRunReason::DeadlineUnreachable, wait_ms));
        }
        self.shed_load(slot_request.priority, wait_ms)
    }

    /// The outcome of a non-idempotent request according to the journal, if it was seen before.
    fn outcome_from_journal(&mut self, now: Millis, slot_request: &SlotRequest) -> Option<Outcome> {
        let known = self.journal.state().requests.get(&slot_request.request)?;
        if known.content_hash != slot_request.content_hash {
            return Some(Outcome::not_run(NotRunReason::IdReused, Millis(0)));
        }
        match known.end {
            Some(RequestEnd::Ran) => {
                let answer = self.requests.cached_answer(&slot_request.request).cloned();
                Some(answer.map_or(Outcome::RanBefore, Outcome::Ran))
            }
            Some(RequestEnd::Unknown) => Some(Outcome::unknown("an earlier attempt may have run")),
            // The record of its end is being committed.
            None if self.requests.cached_answer(&slot_request.request).is_some() => {
                self.requests.cached_answer(&slot_request.request).cloned().map(Outcome::Ran)
            }
            Some(RequestEnd::NotRun) => None,
            // The holder of the only grant asks again, so it has not used the grant and never will.
            None if known.holder == slot_request.holder && slot_request.call > known.call => None,
            None if self.requests.live.contains_key(&slot_request.request) => None,
            None if now < self.runners.former_runs_end_at => {
                Some(Outcome::InProgress { retry_after_ms: IN_PROGRESS_RETRY_AFTER_MS })
            }
            None => {
                let record =
                    Record::RequestEnded(slot_request.request.clone(), RequestEnd::Unknown);
                self.append(record, None);
                Some(Outcome::unknown("an earlier attempt may have run"))
            }
        }
    }

    /// Handles a slot request for a request that is already in progress under this owner. Returns none
    /// if the new call of the same holder replaces the earlier one.
    fn resolve_in_progress(&mut self, slot_request: &SlotRequest) -> Option<Outcome> {
        let live = self.requests.live.get(&slot_request.request)?;
        if live.slot_request.content_hash != slot_request.content_hash {
            return Some(Outcome::not_run(NotRunReason::IdReused, Millis(0)));
        }
        if live.slot_request.holder != slot_request.holder {
            return Some(Outcome::InProgress { retry_after_ms: IN_PROGRESS_RETRY_AFTER_MS });
        }
        // The same holder asks again, so it ignores any answer to its earlier call.
        let id = slot_request.request.clone();
        if let Some(old) = self.requests.remove(&id)
            && let Stage::Granted(runner) = old.stage
        {
            if slot_request.has_unresolved_run {
                // The run may continue, because the end of it has not been reported.
                self.delay_next_grant(&runner, &id);
            } else {
                self.free_slot(&runner, &id, old.attempt);
            }
        }
        None
    }

    /// The earliest time at which no earlier run under this owner can be in progress.
    fn earliest_start(&self, now: Millis, slot_request: &SlotRequest) -> Millis {
        self.requests.may_run_until.get(&slot_request.request).copied().unwrap_or(now).max(now)
    }

    /// Makes room in a full queue by refusing the least urgent request, or refuses the new one.
    fn shed_load(&mut self, priority: Priority, wait_ms: Millis) -> Option<Outcome> {
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

    /// Ends a request that was never granted, and sends the refusal to its entry.
    pub(crate) fn refuse_request(&mut self, id: &RequestId, reason: NotRunReason) {
        let Some(request) = self.requests.remove(id) else { return };
        if request.stage == Stage::Committing && !request.slot_request.idempotent {
            self.append(Record::RequestEnded(id.clone(), RequestEnd::NotRun), None);
        }
        let wait_ms =
            self.requests.expected_wait(request.slot_request.priority, self.runners.total_window());
        let outcome = self.refusal(reason, wait_ms);
        self.push(Action::IncrementCounter("requests.refused"));
        self.send(
            request.reply_to.address,
            Message::SlotRefusal(request.slot_request.call, outcome),
        );
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

    pub(crate) fn grant_slots(&mut self, now: Millis) {
        if !self.needs_granting || self.requests.waiting() == 0 {
            return;
        }
        self.needs_granting = false;
        for priority in [Priority::Urgent, Priority::Normal, Priority::Low] {
            while self.grant_round(now, priority) {}
        }
    }

    /// Grants at most one slot to each team with waiting requests. Returns true if any slot was
    /// granted.
    fn grant_round(&mut self, now: Millis, priority: Priority) -> bool {
        let shares = &self.shares;
        let defer_retries = self.runners.may_have_unreported_runs(now);
        let candidates =
            self.requests.candidates(priority, now, defer_retries, |team| shares.weight(team));
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
        if let Some(team) = request.slot_request.team.clone()
            && !self.limits.allows(&team, &Amount::one_slot(), &Amount::slots(SLOT_DEMAND))
        {
            return false;
        }
        let Some(request) = self.requests.live.get(id) else { return false };
        if request.slot_request.idempotent {
            return self.grant(now, id);
        }
        let record = Record::RequestIntent {
            request: id.clone(),
            content_hash: request.slot_request.content_hash,
            holder: request.slot_request.holder.clone(),
            call: request.slot_request.call,
            attempt: request.attempt,
        };
        self.requests.dequeue(id, Stage::Committing);
        self.append(record, Some(FollowUp::Grant(id.clone())));
        true
    }

    /// Grants a slot to a non-idempotent request after its intent was committed.
    pub(crate) fn grant_committed(&mut self, now: Millis, id: &RequestId) {
        let is_committing =
            self.requests.live.get(id).is_some_and(|request| request.stage == Stage::Committing);
        if !is_committing || (self.evacuation().is_none() && self.grant(now, id)) {
            return;
        }
        // No slot may be granted any more, so the request returns to the queue.
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
        let slot_request = &request.slot_request;
        let start_before_ms = runner.link.remote_clock_ms + START_WINDOW_MS;
        let longest_ms = START_WINDOW_MS + slot_request.run_limit_ms;
        let grant = Grant {
            attempt,
            team: slot_request.team.clone(),
            expires_at: remote_expiry(runner.link.answered_at, longest_ms),
        };
        let message = SlotGrant {
            call: slot_request.call,
            pool: slot_request.pool.clone(),
            epoch,
            request: id.clone(),
            attempt,
            runner: runner_id.clone(),
            url: runner.info.url.clone(),
            incarnation: runner.link.incarnation,
            start_before_ms,
            end_before_ms: start_before_ms + slot_request.run_limit_ms,
        };
        runner.grants.insert(id.clone(), grant);
        let (team, to) = (slot_request.team.clone(), request.reply_to.address);
        self.requests.dequeue(id, Stage::Granted(runner_id));
        self.requests.acquire_slot(&team);
        if let Some(team) = &team {
            self.limits.acquire(team, &Amount::one_slot());
        }
        self.push(Action::IncrementCounter("requests.granted"));
        self.send(to, Message::SlotGrant(message));
        true
    }

    /// Frees a slot if this attempt still holds it.
    fn free_slot(&mut self, runner_id: &RunnerId, id: &RequestId, attempt: Attempt) {
        let Some(runner) = self.runners.by_id.get_mut(runner_id) else { return };
        if runner.grants.get(id).is_none_or(|grant| grant.attempt != attempt) {
            return;
        }
        let Some(grant) = runner.grants.remove(id) else { return };
        self.requests.release_slot(&grant.team);
        if let Some(team) = &grant.team {
            self.limits.release(team, &Amount::one_slot());
        }
        self.needs_granting = true;
    }

    pub(crate) fn handle_run_report(&mut self, now: Millis, report: RunReport) {
        let Some(request) = self.requests.live.get(&report.request) else { return };
        let Stage::Granted(runner_id) = request.stage.clone() else { return };
        if request.attempt != report.attempt {
            return;
        }
        let idempotent = request.slot_request.idempotent;
        self.requests.remove(&report.request);
        match report.end {
            RunEnd::Answered => self.record_answered_run(&runner_id, &report, idempotent),
            RunEnd::NotStarted => {
                self.record_failed_run(now, &runner_id);
                self.free_slot(&runner_id, &report.request, report.attempt);
                if !idempotent {
                    self.append(Record::RequestEnded(report.request, RequestEnd::NotRun), None);
                }
            }
            RunEnd::Unresolved => {
                self.record_failed_run(now, &runner_id);
                self.record_unresolved_run(&runner_id, &report, idempotent);
            }
        }
    }

    fn record_answered_run(&mut self, runner_id: &RunnerId, report: &RunReport, idempotent: bool) {
        if let Some(runner) = self.runners.by_id.get_mut(runner_id) {
            runner.record_success(report.took_ms);
        }
        self.requests.record_service_time(report.took_ms);
        self.free_slot(runner_id, &report.request, report.attempt);
        if idempotent {
            return;
        }
        self.append(Record::RequestEnded(report.request.clone(), RequestEnd::Ran), None);
        if let Some(answer) = &report.answer {
            self.requests.cache_answer(report.request.clone(), answer.clone());
        }
    }

    /// The run may continue, so its slot stays in use until the grant has certainly expired.
    fn record_unresolved_run(
        &mut self,
        runner_id: &RunnerId,
        report: &RunReport,
        idempotent: bool,
    ) {
        if !idempotent {
            let record = Record::RequestEnded(report.request.clone(), RequestEnd::Unknown);
            self.append(record, None);
            return;
        }
        self.delay_next_grant(runner_id, &report.request);
    }

    /// Delays the next grant of a request until its last run has certainly ended.
    fn delay_next_grant(&mut self, runner_id: &RunnerId, id: &RequestId) {
        let grants = self.runners.by_id.get(runner_id).map(|runner| &runner.grants);
        if let Some(grant) = grants.and_then(|grants| grants.get(id)) {
            self.requests.may_run_until.insert(id.clone(), grant.expires_at);
        }
    }

    fn record_failed_run(&mut self, now: Millis, runner_id: &RunnerId) {
        let Some(runner) = self.runners.by_id.get_mut(runner_id) else { return };
        if runner.record_failure(now) {
            self.record_event(
                EventKind::RunnerState,
                runner_id.as_str(),
                "set aside after failures",
            );
        }
    }

    /// Frees slots whose grant has certainly expired without a report from the entry.
    pub(crate) fn expire_grants(&mut self, now: Millis) {
        self.requests.may_run_until.retain(|_, until| *until > now);
        let mut expired = Vec::new();
        for (runner_id, runner) in &self.runners.by_id {
            let expired_grants = runner.grants.iter().filter(|(_, grant)| grant.expires_at <= now);
            expired.extend(
                expired_grants.map(|(id, grant)| (runner_id.clone(), id.clone(), grant.attempt)),
            );
        }
        for (runner_id, id, attempt) in expired {
            self.free_slot(&runner_id, &id, attempt);
            let is_current = self.requests.live.get(&id).is_some_and(|request| {
                request.attempt == attempt && matches!(request.stage, Stage::Granted(_))
            });
            if !is_current {
                continue;
            }
            if let Some(request) = self.requests.remove(&id)
                && !request.slot_request.idempotent
            {
                self.append(Record::RequestEnded(id, RequestEnd::Unknown), None);
            }
        }
    }

    /// Polls the runners whose next poll is due.
    pub(crate) fn poll_runners(&mut self, now: Millis) {
        if !self.membership_confirmed {
            return;
        }
        let epoch = self.journal.epoch();
        for runner in self.runners.by_id.values_mut() {
            if runner.link.call.is_some_and(|(_, sent_at)| now.since(sent_at) >= POLL_TIMEOUT_MS) {
                runner.link.record_failure(now, self.settings.poll_ms);
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
            let call = self.new_call_id();
            let Some(runner) = self.runners.by_id.get_mut(&id) else { continue };
            runner.link.call = Some((call, now));
            let format = self.rules.report_format(&runner.info.vendor);
            let suspect = runner.link.is_suspect();
            let url = runner.info.url.clone();
            self.push(Action::PollRunner { runner: id, url, format, call, suspect, epoch });
        }
    }

    pub(crate) fn handle_runner_answer(
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
        let before = runner.state_name();
        match answer {
            Err(CallFailure::StaleEpoch) => {
                self.lose_ownership(Vec::new());
                return;
            }
            Err(_) => {
                runner.link.record_failure(now, poll_ms);
                if runner.link.failures >= DOWN_AFTER_FAILURES {
                    runner.state = BackendState::Down;
                }
            }
            Ok(report) => {
                runner.link.incarnation = report.incarnation;
                runner.link.remote_clock_ms = report.clock_ms;
                runner.link.answered_at = now;
                runner.link.call = None;
                runner.link.failures = 0;
                runner.link.next_call_at = now + poll_ms;
                runner.attached = true;
                runner.state = report.state;
                runner.set_slots(report.slots);
                let foreign =
                    report.running.into_iter().filter(|id| !runner.grants.contains_key(id));
                runner.former_owner_runs = foreign.collect();
                self.needs_granting = true;
            }
        }
        self.record_runner_state(id, before);
    }

    fn record_runner_state(&mut self, id: &RunnerId, before: &'static str) {
        let Some(runner) = self.runners.by_id.get(id) else { return };
        let after = runner.state_name();
        if before != after {
            self.record_event(EventKind::RunnerState, id.as_str(), after);
        }
    }
}
