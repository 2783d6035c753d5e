//! Decides how much memory accepted jobs may take, and which process may accept how much of it.
//!
//! Load pattern: callers submit jobs that each are within their limits, until all of them together end each
//! leader in turn. A leader holds all accepted jobs, and any process accepts them. So the leader tells
//! each process how much it may accept without asking, and grants further jobs one by one.

mod allowance;
mod grants;

pub use allowance::Allowance;
pub use grants::Grants;

/// Accepted jobs get one of so many parts of the memory of a process. Connections and bodies of callers get
/// three eighths. A new leader reads all jobs and decodes them, which takes as much again for a moment.
const JOBS_MEMORY_PART: u64 = 4;
/// All processes together may accept one of so many parts of the room without asking the leader.
const ALLOWANCES_PART: u64 = 4;

/// Memory that accepted jobs may take in a process with so much memory, in bytes.
pub fn limit_bytes(memory_mb: u64) -> u64 {
    memory_mb.saturating_mul(1_000_000) / JOBS_MEMORY_PART
}

/// What each of so many processes may accept without asking, of the room that is left, in bytes.
pub fn allowance_bytes(room_bytes: u64, processes: u64) -> u64 {
    room_bytes / ALLOWANCES_PART / processes.max(1)
}

/// What the leader may grant to jobs one by one, of the room that is left, in bytes.
pub fn grantable_bytes(room_bytes: u64) -> u64 {
    room_bytes - room_bytes / ALLOWANCES_PART
}
