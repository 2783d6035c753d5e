//! What a process may accept without asking the leader.

/// Allowance of a process that has not heard of a leader yet, in bytes: some hundred usual jobs.
const INITIAL_BYTES: u64 = 1 << 20;

/// Memory of the jobs that a process may accept without asking the leader.
///
/// While there is no leader, nothing renews it, so that the accepted jobs stay bounded.
#[derive(Debug)]
pub struct Allowance {
    left_bytes: u64,
}

impl Default for Allowance {
    fn default() -> Self {
        Self { left_bytes: INITIAL_BYTES }
    }
}

impl Allowance {
    /// Replaces what is left by what the leader allows now, in bytes.
    pub fn renew(&mut self, bytes: u64) {
        self.left_bytes = bytes;
    }

    /// Takes the memory of a job, in bytes. Returns whether there was as much left.
    pub fn try_take(&mut self, bytes: u64) -> bool {
        let left = self.left_bytes.checked_sub(bytes);
        self.left_bytes = left.unwrap_or(self.left_bytes);
        left.is_some()
    }
}
