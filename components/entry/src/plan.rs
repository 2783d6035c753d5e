//! Decides what follows each step of a request, without threads, sockets or clocks.

use backends::RunResult;
use types::{Millis, NotRunReason, Outcome, PoolId, RunEnd, rendezvous};

use crate::request::Incoming;

/// When a caller may come back after a refusal.
pub(crate) const RETRY_AFTER_MS: Millis = Millis(1_000);

/// What follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Ask for a slot, at once.
    Ask,
    /// Ask for a slot after a short pause, because another owner may decide otherwise.
    AskLater,
    /// The outcome is final.
    Done(Outcome),
}

/// The decisions about one request over all its tries.
#[derive(Debug, Clone)]
pub struct Plan {
    idempotent: bool,
    /// Pool of all tries, once it matters that they all go to the same one.
    pinned: Option<PoolId>,
    /// Whether an earlier run of this request may have started.
    is_retry: bool,
    /// Whether a run of this process was lost.
    lost_a_run: bool,
}

impl Plan {
    /// A request that was not tried yet. `pools` are those in which its queue may run.
    ///
    /// Requests that may have come before always go to the same pool, also through other entries.
    pub fn new(incoming: &Incoming, pools: &[PoolId]) -> Self {
        let must_pin = incoming.id_is_callers || !incoming.idempotent;
        let first =
            rendezvous(incoming.id.as_str(), pools.iter()).first().map(|pool| (*pool).clone());
        Self {
            idempotent: incoming.idempotent,
            pinned: first.filter(|_| must_pin),
            is_retry: incoming.id_is_callers,
            lost_a_run: false,
        }
    }

    /// The only pool to ask, if there is only one.
    pub fn pinned(&self) -> Option<&PoolId> {
        self.pinned.as_ref()
    }

    /// Whether an earlier run may have started.
    pub fn is_retry(&self) -> bool {
        self.is_retry
    }

    /// Whether this process used a grant and does not know how the run ended.
    pub fn lost_a_run(&self) -> bool {
        self.lost_a_run
    }

    /// After a refusal.
    pub fn after_refusal(&self, outcome: Outcome) -> Next {
        match outcome {
            Outcome::NotRun {
                reason: NotRunReason::NoOwner | NotRunReason::ShuttingDown, ..
            } => Next::AskLater,
            // The run that goes on is this request's own lost one.
            Outcome::InProgress { .. } if self.lost_a_run => Next::AskLater,
            Outcome::NotRun { reason, .. } if self.lost_a_run => Next::Done(self.refusal(reason)),
            outcome => Next::Done(outcome),
        }
    }

    /// After the use of a slot in `pool`. `take_retry` takes from the retry budget.
    pub fn after_run(
        &mut self,
        pool: &PoolId,
        result: RunResult,
        take_retry: impl Fn() -> bool,
    ) -> (RunEnd, Next) {
        match result {
            RunResult::Answered(answer) => (RunEnd::Answered, Next::Done(Outcome::Ran(answer))),
            RunResult::NotStarted if take_retry() => (RunEnd::NotStarted, Next::Ask),
            RunResult::NotStarted => {
                (RunEnd::NotStarted, Next::Done(self.refusal(NotRunReason::RetryBudget)))
            }
            RunResult::Lost => (RunEnd::Lost, self.after_lost(pool, take_retry)),
        }
    }

    fn after_lost(&mut self, pool: &PoolId, take_retry: impl Fn() -> bool) -> Next {
        // The pool that granted the lost run knows until when it may go on.
        self.pinned = Some(pool.clone());
        self.is_retry = true;
        self.lost_a_run = true;
        if self.idempotent && take_retry() {
            return Next::Ask;
        }
        Next::Done(Outcome::unknown("the back end was lost while it may have run the request"))
    }

    /// The outcome when the deadline has passed between tries.
    pub fn at_deadline(&self) -> Outcome {
        self.refusal(NotRunReason::DeadlinePassed)
    }

    /// A refusal, or that the outcome is not known if an earlier run was lost.
    fn refusal(&self, reason: NotRunReason) -> Outcome {
        if self.lost_a_run {
            return Outcome::unknown("an earlier run was lost, and no later one came to its end");
        }
        Outcome::not_run(reason, RETRY_AFTER_MS)
    }
}
