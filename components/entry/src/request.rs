//! One request: finds a slot for it, sends it to the runner and learns its outcome.

use std::net::SocketAddr;

use backends::RunResult;
use libs::rand::{self, Rng};
use types::{
    Answer, Message, Millis, NotRunReason, Outcome, PoolId, Priority, QueueId, RequestAsk,
    RequestId, RunEnd, RunReport, SlotGrant, TeamId, rendezvous,
};

use crate::Shared;
use crate::calls::Reply;

/// Longest wait for a reply before it is checked whether the owner is still the same.
const OWNER_CHECK_MS: Millis = Millis(100);
/// Pause before asking again where no owner is known.
const NO_OWNER_PAUSE_MS: Millis = Millis(50);
/// Time beyond a run's limit after which its answer is given up.
const ANSWER_GRACE_MS: Millis = Millis(500);
/// When a caller may come back after its deadline passed.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// A request as it came in.
pub(crate) struct Incoming {
    pub(crate) id: RequestId,
    /// Whether the caller chose the id, so that the request may have come before.
    pub(crate) id_is_callers: bool,
    pub(crate) content_hash: u64,
    pub(crate) team: Option<TeamId>,
    pub(crate) queue: QueueId,
    pub(crate) priority: Priority,
    pub(crate) idempotent: bool,
    pub(crate) deadline_at: Millis,
    pub(crate) run_limit_ms: Millis,
    pub(crate) body: Vec<u8>,
}

/// What asking for a slot led to.
enum Asked {
    Granted(Box<SlotGrant>, SocketAddr),
    Settled(Outcome),
    /// The owner changed or the deadline passed before a reply.
    NoReply,
}

/// Progress of one request over its tries.
pub(crate) struct RequestRun<'a> {
    shared: &'a Shared,
    incoming: &'a Incoming,
    /// Pool of all tries, once it matters that they all go to the same one.
    pinned: Option<PoolId>,
    /// Whether an earlier run of this request may have started.
    is_retry: bool,
}

impl<'a> RequestRun<'a> {
    /// A request that was not tried yet.
    pub(crate) fn new(shared: &'a Shared, incoming: &'a Incoming) -> Self {
        Self { shared, incoming, pinned: None, is_retry: incoming.id_is_callers }
    }

    /// Serves the request to its final outcome.
    pub(crate) fn serve(mut self) -> Outcome {
        self.shared.budget.note_request();
        loop {
            let now = clock::now();
            if now >= self.incoming.deadline_at {
                return Outcome::not_run(NotRunReason::DeadlinePassed, RETRY_AFTER_MS);
            }
            let Some(pool) = self.choose_pool() else {
                std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration());
                continue;
            };
            match self.ask(&pool) {
                Asked::Granted(grant, owner) => {
                    if let Some(outcome) = self.use_grant(&grant, owner) {
                        return outcome;
                    }
                }
                Asked::Settled(outcome) if is_about_owner(&outcome) => {
                    std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration());
                }
                Asked::Settled(outcome) => return outcome,
                Asked::NoReply => {}
            }
        }
    }

    /// Requests that may have come before always go to the same pool, also through other entries.
    fn choose_pool(&mut self) -> Option<PoolId> {
        if let Some(pool) = &self.pinned {
            return Some(pool.clone());
        }
        let view = self.shared.view.get();
        let pools = view.rules.pools_for(&self.incoming.queue);
        if self.incoming.id_is_callers || !self.incoming.idempotent {
            self.pinned = rendezvous(self.incoming.id.as_str(), pools.iter())
                .first()
                .map(|pool| (*pool).clone());
            return self.pinned.clone();
        }
        let owned: Vec<&PoolId> =
            pools.iter().filter(|pool| view.owners.contains_key(*pool)).collect();
        if owned.is_empty() {
            return None;
        }
        Some(owned[rand::rng().random_range(0..owned.len())].clone())
    }

    fn ask(&self, pool: &PoolId) -> Asked {
        let Some(owner) = self.shared.view.get().owners.get(pool).cloned() else {
            std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration());
            return Asked::NoReply;
        };
        let call = self.shared.calls.open(1);
        let incoming = self.incoming;
        let ask = RequestAsk {
            call: call.id,
            pool: pool.clone(),
            request: incoming.id.clone(),
            content_hash: incoming.content_hash,
            team: incoming.team.clone(),
            queue: incoming.queue.clone(),
            priority: incoming.priority,
            idempotent: incoming.idempotent,
            remaining_ms: incoming.deadline_at.since(clock::now()),
            run_limit_ms: incoming.run_limit_ms,
            is_retry: self.is_retry,
        };
        self.shared.mesh.send(owner.address, Message::SlotAsk(ask));
        let reply = loop {
            if let Some(reply) = call.wait(OWNER_CHECK_MS.to_duration()) {
                break Some(reply);
            }
            let same_owner = self.shared.view.get().owners.get(pool) == Some(&owner);
            if !same_owner || clock::now() >= incoming.deadline_at {
                break call.close();
            }
        };
        match reply {
            Some(Reply::Grant(grant)) => Asked::Granted(grant, owner.address),
            Some(Reply::Outcome(outcome)) => Asked::Settled(outcome),
            _ => Asked::NoReply,
        }
    }

    /// Sends the request to the granted slot. Returns the outcome unless another try follows.
    fn use_grant(&mut self, grant: &SlotGrant, owner: SocketAddr) -> Option<Outcome> {
        let started_at = clock::now();
        if started_at >= self.incoming.deadline_at {
            self.report(grant, owner, RunEnd::NotStarted, Millis(0), None);
            return Some(Outcome::not_run(NotRunReason::DeadlinePassed, RETRY_AFTER_MS));
        }
        let timeout_ms = self.incoming.run_limit_ms + ANSWER_GRACE_MS;
        let result =
            self.shared.runners.run(grant, &self.incoming.queue, &self.incoming.body, timeout_ms);
        let took_ms = clock::now().since(started_at);
        match result {
            RunResult::Answered(answer) => {
                let kept = (!self.incoming.idempotent).then(|| answer.clone());
                self.report(grant, owner, RunEnd::Answered, took_ms, kept);
                Some(Outcome::Ran(answer))
            }
            RunResult::NotStarted => {
                self.report(grant, owner, RunEnd::NotStarted, took_ms, None);
                self.try_again(NotRunReason::NoBackend)
            }
            RunResult::Lost => {
                self.report(grant, owner, RunEnd::Lost, took_ms, None);
                if !self.incoming.idempotent {
                    return Some(Outcome::unknown(
                        "the back end was lost while it may have run the request",
                    ));
                }
                // The pool that granted the lost run knows until when it may go on.
                self.pinned = Some(grant.pool.clone());
                self.is_retry = true;
                self.try_again(NotRunReason::RetryBudget)
                    .map(|_| Outcome::unknown("the back end was lost"))
            }
        }
    }

    /// None if another try is within the budget, otherwise the refusal.
    fn try_again(&self, reason: NotRunReason) -> Option<Outcome> {
        if self.shared.budget.take() {
            self.shared.metrics.count("requests.retries");
            return None;
        }
        self.shared.metrics.count("requests.retries_denied");
        Some(Outcome::not_run(reason, RETRY_AFTER_MS))
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

/// Whether another owner may decide otherwise.
fn is_about_owner(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun { reason: NotRunReason::NoOwner | NotRunReason::ShuttingDown, .. }
    )
}
