//! Store keys of the cluster.

use types::JobId;

/// Current leader, attached to the leader's lease.
pub(crate) const LEADER: &str = "leader";
/// Last epoch assigned to a leader.
pub(crate) const EPOCH: &str = "epoch";
/// Random ID of the last progress batch. The next batch is conditional on this key's revision.
pub(crate) const BATCH: &str = "batch";
/// Worker states that the next leader needs.
pub(crate) const ROSTER: &str = "roster";
/// Up to which incarnation the lost runs of each worker are stored, for the next leader. Written with the
/// roster.
pub(crate) const ACCOUNTS: &str = "accounts";
/// Answers of the advisor, for the next leader. Written with the roster.
pub(crate) const ADVICE: &str = "advice";
/// When the latest leaders were elected, for the next leader. Written once a term, with the roster.
pub(crate) const TERM_STARTS: &str = "term_starts";
/// What was learned of run times, for the next leader.
pub(crate) const RUN_TIMES: &str = "run_times";
/// Shared secret that authenticates peers to each other.
pub(crate) const SECRET: &str = "secret";
/// Common prefix of accepted jobs and cancellations.
pub(crate) const INTAKE: &str = "in/";
/// Prefix of accepted jobs.
pub(crate) const JOBS: &str = "in/job/";
/// Prefix of cancellations.
pub(crate) const CANCELS: &str = "in/cancel/";
/// Prefix of job progress records.
pub(crate) const PROGRESS: &str = "progress/";

pub(crate) fn job(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

pub(crate) fn cancel(id: &JobId) -> String {
    format!("{CANCELS}{id}")
}

pub(crate) fn progress(id: &JobId) -> String {
    format!("{PROGRESS}{id}")
}
