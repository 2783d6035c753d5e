//! One request: finds a slot for it, sends it to the runner and learns its outcome.

use std::net::SocketAddr;

use backends::RunResult;
use libs::rand::{self, Rng};
use types::{
    Answer, Holder, Message, Millis, Outcome, PoolId, Priority, QueueId, RequestAsk, RequestId,
    RunEnd, RunReport, SlotGrant, TeamId,
};

use crate::Shared;
use crate::calls::Reply;
use crate::plan::{Next, Plan};

/// Pause before asking again where no owner is known.
const NO_OWNER_PAUSE_MS: Millis = Millis(50);
/// Time beyond a run's limit after which its answer is given up.
const ANSWER_GRACE_MS: Millis = Millis(500);

/// A request as it came in.
#[derive(Debug, Clone)]
pub struct Incoming {
    /// Who uses its grants.
    pub holder: Holder,
    /// Id, equal for all tries.
    pub id: RequestId,
    /// Whether the caller chose the id, so that the request may have come before.
    pub id_is_callers: bool,
    /// Checksum of the body.
    pub content_hash: u64,
    /// The team whose key came with it; none on an open queue without a key.
    pub team: Option<TeamId>,
    /// The queue.
    pub queue: QueueId,
    /// Priority of the queue.
    pub priority: Priority,
    /// Whether it may run again after a run whose end is not known.
    pub idempotent: bool,
    /// When the caller gives up, on the process clock.
    pub deadline_at: Millis,
    /// Longest time that a runner may work on it.
    pub run_limit_ms: Millis,
    /// The body, which goes to the runner as it is.
    pub body: Vec<u8>,
}

/// What asking for a slot led to.
enum Asked {
    Granted(Box<SlotGrant>, SocketAddr),
    Settled(Outcome),
    /// The owner changed or the deadline passed before a reply.
    NoReply,
}

/// Serves one request over its tries.
pub(crate) struct RequestRun<'a> {
    shared: &'a Shared,
    incoming: &'a Incoming,
    plan: Plan,
}

impl<'a> RequestRun<'a> {
    /// A request that was not tried yet.
    pub(crate) fn new(shared: &'a Shared, incoming: &'a Incoming) -> Self {
        let pools = shared.view.get().rules.pools_for(&incoming.queue);
        Self { shared, incoming, plan: Plan::new(incoming, &pools) }
    }

    /// Serves the request to its final outcome.
    pub(crate) fn serve(mut self) -> Outcome {
        self.shared.budget.note_request();
        loop {
            if clock::now() >= self.incoming.deadline_at {
                return self.plan.at_deadline();
            }
            let next = match self.choose_pool() {
                Some(pool) => self.try_once(&pool),
                None => Next::AskLater,
            };
            match next {
                Next::Ask => {}
                Next::AskLater => std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration()),
                Next::Done(outcome) => return outcome,
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

    fn try_once(&mut self, pool: &PoolId) -> Next {
        match self.ask(pool) {
            Asked::Granted(grant, owner) => self.use_grant(&grant, owner),
            Asked::Settled(outcome) => self.plan.after_refusal(outcome),
            Asked::NoReply => Next::Ask,
        }
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
            lost_a_run: self.plan.lost_a_run(),
        };
        self.shared.mesh.send(owner.address, Message::SlotAsk(ask));
        let reply = call.wait_for_owner(self.shared, pool, &owner, incoming.deadline_at);
        match reply {
            Some(Reply::Grant(grant)) => Asked::Granted(grant, owner.address),
            Some(Reply::Outcome(outcome)) => Asked::Settled(outcome),
            _ => Asked::NoReply,
        }
    }

    /// Sends the request to the granted slot and reports how that ended.
    fn use_grant(&mut self, grant: &SlotGrant, owner: SocketAddr) -> Next {
        let started_at = clock::now();
        if started_at >= self.incoming.deadline_at {
            self.report(grant, owner, RunEnd::NotStarted, Millis(0), None);
            return Next::Ask;
        }
        let timeout_ms = self.incoming.run_limit_ms + ANSWER_GRACE_MS;
        let result =
            self.shared.runners.run(grant, &self.incoming.queue, &self.incoming.body, timeout_ms);
        let took_ms = clock::now().since(started_at);
        let kept = match &result {
            RunResult::Answered(answer) if !self.incoming.idempotent => Some(answer.clone()),
            _ => None,
        };
        let (end, next) = self.plan.after_run(&grant.pool, result, || self.shared.take_retry());
        self.report(grant, owner, end, took_ms, kept);
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
