//! When former leaders were elected, by which a leader knows how long the runs that it adopts have lasted at least.
//!
//! Load pattern: leaders hand over each second. No run lasts long within one term, so that none would show that
//! it does not crash its worker.

use serde::{Deserialize, Serialize};
use types::Millis;

use crate::cell::Cell;

/// Latest elections that are kept. Terms of a second reach back half a minute, three times as long as a run
/// must last to have survived.
const MAX_TERM_STARTS: usize = 32;

/// Election of a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Time at which it had loaded the stored state, in Unix milliseconds.
    pub unix_ms: u64,
}

impl Cell {
    /// Adds this term to those that are stored. Leaders of earlier versions store none, so that some may be missing.
    pub fn restore_term_starts(&mut self, stored: &[TermStart], now: Millis) {
        let own = TermStart { epoch: self.epoch, unix_ms: self.unix_ms(now) };
        self.term_starts = stored.iter().filter(|one| one.epoch < self.epoch).copied().collect();
        self.term_starts.push(own);
        let surplus = self.term_starts.len().saturating_sub(MAX_TERM_STARTS);
        self.term_starts.drain(..surplus);
    }

    /// The latest elections with this one, oldest first, to be stored for the next leader.
    pub fn term_starts(&self) -> &[TermStart] {
        &self.term_starts
    }

    /// Least time that a run has lasted which a former leader has started: its successor starts attempts of a
    /// higher epoch only.
    pub(crate) fn ran_before_ms(&self, attempt: u32, now: Millis) -> Millis {
        let epoch = Cell::epoch_of(attempt);
        let later = self.term_starts.iter().filter(|one| one.epoch > epoch);
        let began_unix_ms = later.map(|one| one.unix_ms).min().unwrap_or(u64::MAX);
        Millis(self.unix_ms(now).saturating_sub(began_unix_ms))
    }
}
