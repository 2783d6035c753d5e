//! Outcomes of requests and jobs, as reported to callers.

use std::fmt;

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{JobId, Millis};

/// Outcome of a request or of a job command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran; this is the complete response.
    Ran(Answer),
    /// The request ran earlier, but its response is no longer kept.
    RanBefore,
    /// The request or command did not run and will not run.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// Time after which the caller may retry; zero if a retry cannot succeed.
        retry_after_ms: Millis,
    },
    /// An earlier attempt of the same request is still in progress.
    InProgress {
        /// Time after which the caller may ask again.
        retry_after_ms: Millis,
    },
    /// It cannot be determined whether the request ran.
    Unknown {
        /// Why the outcome is unknown.
        reason: CompactString,
    },
    /// The job is stored durably and will run.
    Accepted(JobId),
    /// The job is cancelled; none of its tasks starts from now on.
    Cancelled(JobId),
}

/// A back end's complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the back end.
    pub status: u16,
    /// Media type of the body.
    pub content_type: CompactString,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Why a request or command did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The queue is full.
    QueueFull,
    /// The deadline passed before the request could start.
    DeadlinePassed,
    /// The deadline cannot be met given the work that is already waiting.
    DeadlineUnreachable,
    /// No scheduler currently owns the pool.
    NoOwner,
    /// No back end of the pool can take the work.
    NoBackend,
    /// The key-value service is required for this and does not respond.
    StoreUnavailable,
    /// This process cannot confirm that its configuration is current.
    ConfigUnconfirmed,
    /// The process is shutting down.
    ShuttingDown,
    /// One of the tasks is too large for every worker.
    NeverFits,
    /// The job needs more resources at once than the team's upper limit allows.
    OverLimit,
    /// The queue does not exist.
    UnknownQueue,
    /// The queue does not accept this kind of work.
    WrongKind,
    /// The job does not exist.
    UnknownJob,
    /// The job belongs to another team.
    WrongTeam,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The request was cancelled before it started.
    Cancelled,
    /// The job has already ended.
    AlreadyEnded,
    /// The id was already used for a request with different content.
    IdReused,
}

impl NotRunReason {
    /// The stable name of the reason, used in responses, logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::DeadlinePassed => "deadline_passed",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::NoOwner => "no_owner",
            Self::NoBackend => "no_backend",
            Self::StoreUnavailable => "store_unavailable",
            Self::ConfigUnconfirmed => "config_unconfirmed",
            Self::ShuttingDown => "shutting_down",
            Self::NeverFits => "never_fits",
            Self::OverLimit => "over_limit",
            Self::UnknownQueue => "unknown_queue",
            Self::WrongKind => "wrong_kind",
            Self::UnknownJob => "unknown_job",
            Self::WrongTeam => "wrong_team",
            Self::RetryBudget => "retry_budget",
            Self::Cancelled => "cancelled",
            Self::AlreadyEnded => "already_ended",
            Self::IdReused => "id_reused",
        }
    }

    /// HTTP status code for this reason.
    pub fn http_status(self) -> u16 {
        match self {
            Self::QueueFull | Self::OverLimit => 429,
            Self::DeadlinePassed | Self::DeadlineUnreachable => 504,
            Self::NeverFits | Self::WrongKind => 422,
            Self::UnknownQueue | Self::UnknownJob => 404,
            Self::WrongTeam => 403,
            Self::Cancelled | Self::AlreadyEnded | Self::IdReused => 409,
            Self::NoOwner
            | Self::NoBackend
            | Self::StoreUnavailable
            | Self::ConfigUnconfirmed
            | Self::ShuttingDown
            | Self::RetryBudget => 503,
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Outcome {
    /// A refusal, with the time after which the caller may retry.
    pub fn not_run(reason: NotRunReason, retry_after_ms: Millis) -> Outcome {
        Outcome::NotRun { reason, retry_after_ms }
    }

    /// An outcome that could not be determined.
    pub fn unknown(reason: &str) -> Outcome {
        Outcome::Unknown { reason: CompactString::new(reason) }
    }

    /// The stable name of the outcome, used in responses, logs and counters.
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Ran(_) => "ran",
            Outcome::RanBefore => "ran_before",
            Outcome::NotRun { .. } => "not_run",
            Outcome::InProgress { .. } => "in_progress",
            Outcome::Unknown { .. } => "unknown",
            Outcome::Accepted(_) => "accepted",
            Outcome::Cancelled(_) => "cancelled",
        }
    }
}
