//! Serves a request: obtains a slot, sends the request to the runner and determines the outcome.

use std::net::SocketAddr;

use backends::RunResult;
use libs::rand::{self, Rng};
use types::{
    Answer, GrantHolder, Message, Millis, Outcome, PoolId, Priority, QueueId, RequestId, RunEnd,
    RunReport, SlotGrant, SlotRequest, TeamId,
};

use crate::Shared;
use crate::calls::Reply;
use crate::plan::{NextStep, RequestPlan};

/// Pause before the next attempt when the pool has no owner.
const NO_OWNER_PAUSE_MS: Millis = Millis(50);
/// Time beyond a run's limit for which the entry still waits for the answer.
const ANSWER_GRACE_MS: Millis = Millis(500);

/// A request as received from a caller.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Holder of the grants for this request.
    pub holder: GrantHolder,
    /// Id of the request, which is the same for all attempts.
    pub id: RequestId,
    /// Whether the id is derived from the caller's idempotency key, so that the request may have been
    /// submitted before.
    pub has_caller_id: bool,
    /// Hash of the body.
    pub content_hash: u64,
    /// Team whose key the request presented. `None` on an open queue without a key.
    pub team: Option<TeamId>,
    /// Queue to which the request was submitted.
    pub queue: QueueId,
    /// Priority of the queue.
    pub priority: Priority,
    /// Whether the request may run again after a run whose end is unknown.
    pub idempotent: bool,
    /// Deadline of the request, on the process clock.
    pub deadline_at: Millis,
    /// Longest time that a runner may work on the request.
    pub run_limit_ms: Millis,
    /// Body, which is sent to the runner unchanged.
    pub body: Vec<u8>,
}

/// Result of asking a pool's owner for a slot.
enum SlotReply {
    Granted(Box<SlotGrant>, SocketAddr),
    Final(Outcome),
    /// The owner changed or the deadline passed before a reply.
    NoReply,
}

/// Serves a request over all its attempts.
pub(crate) struct RequestRun<'a> {
    shared: &'a Shared,
    incoming: &'a IncomingRequest,
    plan: RequestPlan,
}

impl<'a> RequestRun<'a> {
    /// Starts to serve a new request.
    pub(crate) fn new(shared: &'a Shared, incoming: &'a IncomingRequest) -> Self {
        let pools = shared.view.get().rules.pools_for(&incoming.queue);
        Self { shared, incoming, plan: RequestPlan::new(incoming, &pools) }
    }

    /// Serves the request until its outcome is final.
    pub(crate) fn serve(mut self) -> Outcome {
        self.shared.budget.record_request();
        loop {
            if clock::now() >= self.incoming.deadline_at {
                return self.plan.at_deadline();
            }
            let next = match self.choose_pool() {
                Some(pool) => self.run_attempt(&pool),
                None => NextStep::RequestSlotLater,
            };
            match next {
                NextStep::RequestSlot => {}
                NextStep::RequestSlotLater => std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration()),
                NextStep::Done(outcome) => return outcome,
            }
        }
    }

    fn choose_pool(&self) -> Option<PoolId> {
        if let Some(pool) = self.plan.pinned() {
            return Some(pool.clone());
        }
        let view = self.shared.view.get();
        let pools = view.rules.pools_for(&self.incoming.queue);
        let owned: Vec<&PoolId> =
            pools.iter().filter(|pool| view.owners.contains_key(*pool)).collect();
        if owned.is_empty() {
            return None;
        }
        Some(owned[rand::rng().random_range(0..owned.len())].clone())
    }

    fn run_attempt(&mut self, pool: &PoolId) -> NextStep {
        match self.request_slot(pool) {
            SlotReply::Granted(grant, owner) => self.run_in_slot(&grant, owner),
            SlotReply::Final(outcome) => self.plan.after_rejection(outcome),
            SlotReply::NoReply => NextStep::RequestSlot,
        }
    }

    fn request_slot(&self, pool: &PoolId) -> SlotReply {
        let Some(owner) = self.shared.view.get().owners.get(pool).cloned() else {
            std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration());
            return SlotReply::NoReply;
        };
        let call = self.shared.calls.open(1);
        let incoming = self.incoming;
        let slot_request = SlotRequest {
            call: call.id,
            pool: pool.clone(),
            holder: incoming.holder.clone(),
            request: incoming.id.clone(),
            content_hash: incoming.content_hash,
            team: incoming.team.clone(),
            queue: incoming.queue.clone(),
            priority: incoming.priority,
            idempotent: incoming.idempotent,
            remaining_ms: incoming.deadline_at.since(clock::now()),
            run_limit_ms: incoming.run_limit_ms,
            is_retry: self.plan.is_retry(),
            has_unresolved_run: self.plan.has_unresolved_run(),
        };
        self.shared.mesh.send(owner.address, Message::SlotRequest(slot_request));
        let reply = call.wait_for_owner(self.shared, pool, &owner, incoming.deadline_at);
        match reply {
            Some(Reply::Grant(grant)) => SlotReply::Granted(grant, owner.address),
            Some(Reply::Outcome(outcome)) => SlotReply::Final(outcome),
            _ => SlotReply::NoReply,
        }
    }

    /// Sends the request to the granted slot and reports to the owner how the run ended.
    fn run_in_slot(&mut self, grant: &SlotGrant, owner: SocketAddr) -> NextStep {
        let started_at = clock::now();
        if started_at >= self.incoming.deadline_at {
            self.report(grant, owner, RunEnd::NotStarted, Millis(0), None);
            return NextStep::RequestSlot;
        }
        let timeout_ms = self.incoming.run_limit_ms + ANSWER_GRACE_MS;
        let result =
            self.shared.runners.run(grant, &self.incoming.queue, &self.incoming.body, timeout_ms);
        let took_ms = clock::now().since(started_at);
        let reported_answer = match &result {
            RunResult::Answered(answer) if !self.incoming.idempotent => Some(answer.clone()),
            _ => None,
        };
        let (end, next) = self.plan.after_run(&grant.pool, result, || self.shared.take_retry());
        self.report(grant, owner, end, took_ms, reported_answer);
        next
    }

    fn report(
        &self,
        grant: &SlotGrant,
        owner: SocketAddr,
        end: RunEnd,
        took_ms: Millis,
        answer: Option<Answer>,
    ) {
        let report = RunReport {
            pool: grant.pool.clone(),
            request: grant.request.clone(),
            attempt: grant.attempt,
            end,
            took_ms,
            answer,
        };
        self.shared.mesh.send(owner, Message::SlotReport(report));
    }
}
