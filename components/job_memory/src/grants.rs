//! Jobs that the leader has granted and may not know yet.

use std::collections::VecDeque;

use types::Millis;

/// Time after which a granted job is known to the leader or was not stored: a process resolves an
/// unanswered write within 1.8 s, and the watch of the accepted jobs has a delay of up to 1.5 s.
const GRANT_MS: Millis = Millis(4_000);

/// Memory that the leader has granted to jobs of which it may not know yet.
#[derive(Debug, Default)]
pub struct Grants {
    /// Times and sizes in bytes, oldest first.
    recent: VecDeque<(Millis, u64)>,
    sum_bytes: u64,
}

impl Grants {
    /// Grants a job of so many bytes if it fits into `grantable_bytes` with the recent grants. Returns
    /// whether it does.
    pub fn try_grant(&mut self, bytes: u64, grantable_bytes: u64, now: Millis) -> bool {
        if self.recent_bytes(now).saturating_add(bytes) > grantable_bytes {
            return false;
        }
        self.recent.push_back((now, bytes));
        self.sum_bytes += bytes;
        true
    }

    /// Memory of the recent grants, in bytes.
    pub fn recent_bytes(&mut self, now: Millis) -> u64 {
        while let Some((_, bytes)) =
            self.recent.pop_front_if(|(granted_ms, _)| now.since(*granted_ms) >= GRANT_MS)
        {
            self.sum_bytes -= bytes;
        }
        self.sum_bytes
    }
}
