//! Keys of the cluster in the store.

use types::JobId;

/// The leader, under its lease.
pub(crate) const LEADER: &str = "leader";
/// The last epoch given to a leader.
pub(crate) const EPOCH: &str = "epoch";
/// Number of the last batch of progress. Its revision is the condition of the next batch.
pub(crate) const BATCH: &str = "batch";
/// Workers that may run tasks.
pub(crate) const ROSTER: &str = "roster";
/// Secret that own processes show each other.
pub(crate) const SECRET: &str = "secret";
/// Accepted jobs and cancellations.
pub(crate) const INTAKE: &str = "in/";
/// Accepted jobs.
pub(crate) const JOBS: &str = "in/job/";
/// Cancellations.
pub(crate) const CANCELS: &str = "in/cancel/";
/// Progress of jobs.
pub(crate) const PROGRESS: &str = "progress/";

/// Key of an accepted job.
pub(crate) fn job(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

/// Key of a job's cancellation.
pub(crate) fn cancel(id: &JobId) -> String {
    format!("{CANCELS}{id}")
}

/// Key of a job's progress.
pub(crate) fn progress(id: &JobId) -> String {
    format!("{PROGRESS}{id}")
}
