//! Which tasks a leader may start.

use types::Millis;

/// Which tasks a leader may start. It processes stops and ends whatever the permission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartPermission {
    /// Tasks of all jobs: no other process can lead.
    AllJobs,
    /// Tasks of the jobs that the leader knew before a time up to which it certainly held its lease.
    /// A successor is elected after that time, so it finds these jobs in the store and looks for
    /// their runs before it starts them.
    JobsKnownBefore(Millis),
    /// No tasks.
    Nothing,
}

impl StartPermission {
    /// Whether any task may start.
    pub fn allows_any(self) -> bool {
        self != Self::Nothing
    }

    /// Whether the tasks of a job may start that became known at `known_ms`.
    pub fn allows_job(self, known_ms: Millis) -> bool {
        match self {
            Self::AllJobs => true,
            Self::JobsKnownBefore(until_ms) => known_ms < until_ms,
            Self::Nothing => false,
        }
    }
}
