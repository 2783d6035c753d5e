//! Decides what follows each attempt of a request, without threads, sockets or clocks.

use backends::RunResult;
use types::{Millis, NotRunReason, Outcome, PoolId, RunEnd, rendezvous};

use crate::request::IncomingRequest;

/// Retry delay that is sent to callers with a rejection.
pub(crate) const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Runs of a request that may be lost with their runners. A request that crashes its runners must not
/// go on to the next ones.
const MAX_LOST_RUNS: u32 = 3;

/// The next step of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Request a slot immediately.
    RequestSlot,
    /// Request a slot after a short pause, in which the pool may get another owner or an earlier run
    /// may end.
    RequestSlotLater,
    /// The outcome is final.
    Done(Outcome),
}

/// Decides about a request over all its attempts.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    idempotent: bool,
    /// Pool of all further attempts, if they must go to the same one.
    pinned: Option<PoolId>,
    /// Whether an earlier run of this request may have started.
    is_retry: bool,
    /// Whether this process used a grant and does not know how the run ended.
    has_unresolved_run: bool,
    /// Runs without an answer.
    lost_runs: u32,
}

impl RequestPlan {
    /// Creates the plan of a new request. `pools` are those in which its queue may run.
    ///
    /// A request whose id comes from the caller, or that is not idempotent, always goes to the same
    /// pool, through whichever entry, so that the pool recognizes earlier submissions and attempts.
    pub fn new(incoming: &IncomingRequest, pools: &[PoolId]) -> Self {
        let must_pin = incoming.has_caller_id || !incoming.idempotent;
        let first =
            rendezvous(incoming.id.as_str(), pools.iter()).first().map(|pool| (*pool).clone());
        Self {
            idempotent: incoming.idempotent,
            pinned: first.filter(|_| must_pin),
            is_retry: incoming.has_caller_id,
            has_unresolved_run: false,
            lost_runs: 0,
        }
    }

    /// Returns the pool to which all attempts must go, if there is one.
    pub fn pinned(&self) -> Option<&PoolId> {
        self.pinned.as_ref()
    }

    /// Returns whether an earlier run of the request may have started.
    pub fn is_retry(&self) -> bool {
        self.is_retry
    }

    /// Returns whether this process used a grant and does not know how the run ended.
    pub fn has_unresolved_run(&self) -> bool {
        self.has_unresolved_run
    }

    /// Returns the next step after the pool's owner answered with an outcome instead of a grant.
    pub fn after_rejection(&self, outcome: Outcome) -> NextStep {
        match outcome {
            Outcome::NotRun {
                reason: NotRunReason::NoOwner | NotRunReason::ShuttingDown, ..
            } => NextStep::RequestSlotLater,
            // The run in progress is the unresolved one of this request.
            Outcome::InProgress { .. } if self.has_unresolved_run => NextStep::RequestSlotLater,
            Outcome::NotRun { reason, .. } if self.has_unresolved_run => {
                NextStep::Done(self.rejection(reason))
            }
            outcome => NextStep::Done(outcome),
        }
    }

    /// Returns how the use of a slot in `pool` ended and the next step. `take_retry` takes from the
    /// retry budget.
    pub fn after_run(
        &mut self,
        pool: &PoolId,
        result: RunResult,
        take_retry: impl Fn() -> bool,
    ) -> (RunEnd, NextStep) {
        match result {
            RunResult::Answered(answer) => (RunEnd::Answered, NextStep::Done(Outcome::Ran(answer))),
            RunResult::NotStarted if take_retry() => (RunEnd::NotStarted, NextStep::RequestSlot),
            RunResult::NotStarted => {
                (RunEnd::NotStarted, NextStep::Done(self.rejection(NotRunReason::RetryBudget)))
            }
            RunResult::Lost => (RunEnd::Unresolved, self.after_lost(pool, take_retry)),
        }
    }

    fn after_lost(&mut self, pool: &PoolId, take_retry: impl Fn() -> bool) -> NextStep {
        // Only the pool that granted the unresolved run knows until when it may continue.
        self.pinned = Some(pool.clone());
        self.is_retry = true;
        self.has_unresolved_run = true;
        self.lost_runs += 1;
        if self.idempotent && self.lost_runs < MAX_LOST_RUNS && take_retry() {
            return NextStep::RequestSlot;
        }
        NextStep::Done(Outcome::unknown(
            "lost contact with the back end while the request may have been running",
        ))
    }

    /// Returns the outcome of a request whose deadline has passed between attempts.
    pub fn at_deadline(&self) -> Outcome {
        self.rejection(NotRunReason::DeadlinePassed)
    }

    /// Returns a rejection, or an unknown outcome if an earlier run is unresolved.
    fn rejection(&self, reason: NotRunReason) -> Outcome {
        if self.has_unresolved_run {
            return Outcome::unknown(
                "an earlier attempt may have run, and no later attempt completed",
            );
        }
        Outcome::not_run(reason, RETRY_AFTER_MS)
    }
}
