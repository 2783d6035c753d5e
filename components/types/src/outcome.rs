//! What became of a request or job, as told to its caller.

use std::fmt;

use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{JobId, Millis};

/// The final word on a request or job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and this is its whole answer.
    Ran(Answer),
    /// It ran earlier, but its answer is no longer held.
    RanBefore,
    /// It did not run and will not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When the caller may try again; zero if trying again cannot help.
        retry_after_ms: Millis,
    },
    /// The same request is in progress under an earlier try.
    InProgress {
        /// When the caller may ask again.
        retry_after_ms: Millis,
    },
    /// It may or may not have run, and this cannot be found out.
    Unknown {
        /// Why.
        reason: CompactString,
    },
    /// The job is durable and will run.
    Accepted(JobId),
    /// The job is cancelled; none of its tasks starts from now on.
    Cancelled(JobId),
}

/// A back end's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the back end.
    pub status: u16,
    /// Media type of the body.
    pub content_type: CompactString,
    /// The body.
    pub body: Vec<u8>,
}

/// Why something did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The queue is full.
    QueueFull,
    /// The deadline passed before a start was possible.
    DeadlinePassed,
    /// The deadline cannot be met with what waits already.
    DeadlineUnreachable,
    /// No scheduler owns the pool at the moment.
    NoOwner,
    /// No back end of the pool can take the work.
    NoBackend,
    /// The key-value service is needed for this and does not answer.
    StoreUnavailable,
    /// This process cannot confirm that its configuration is current.
    ConfigUnconfirmed,
    /// The process is shutting down.
    ShuttingDown,
    /// No worker could ever hold one of the tasks.
    NeverFits,
    /// The team's upper limit is below what the job needs at once.
    OverLimit,
    /// The queue does not exist.
    UnknownQueue,
    /// The queue does not take this kind of work.
    WrongKind,
    /// The job does not exist.
    UnknownJob,
    /// The job belongs to another team.
    WrongTeam,
    /// The retry budget is used up.
    RetryBudget,
    /// The request was cancelled before it started.
    Cancelled,
    /// The job has ended already.
    AlreadyEnded,
    /// Another request carried the same id with another content.
    IdReused,
}

impl NotRunReason {
    /// The reason as a stable word for answers, logs and counters.
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

    /// HTTP status for this reason.
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
    /// A refusal with a time to come back.
    pub fn not_run(reason: NotRunReason, retry_after_ms: Millis) -> Outcome {
        Outcome::NotRun { reason, retry_after_ms }
    }

    /// An outcome that could not be found out.
    pub fn unknown(reason: &str) -> Outcome {
        Outcome::Unknown { reason: CompactString::new(reason) }
    }

    /// The outcome as a stable word for answers, logs and counters.
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
