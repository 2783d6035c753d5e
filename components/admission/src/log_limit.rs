//! Limits log lines on invalid input, which may come with every job.

use types::Millis;

use crate::job::InvalidInput;

/// Shortest time between two lines of a kind.
const PERIOD_MS: Millis = Millis(1_000);

/// Limits log lines to one of a kind in a second.
#[derive(Debug, Default)]
pub struct LogLimit {
    /// Time of the last line and number of lines left out since, by kind.
    kinds: [Option<(Millis, u64)>; InvalidInput::KINDS],
}

impl LogLimit {
    /// Whether to log a line. Returns the number of lines of this kind left out before it.
    pub fn admit(&mut self, kind: InvalidInput, now: Millis) -> Option<u64> {
        let slot = self.kinds.get_mut(kind as usize)?;
        match slot {
            Some((last_ms, left_out)) if now.since(*last_ms) < PERIOD_MS => {
                *left_out += 1;
                None
            }
            _ => slot.replace((now, 0)).map_or(Some(0), |(_, left_out)| Some(left_out)),
        }
    }
}
