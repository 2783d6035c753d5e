//! Counts of the steps that wait for workers.

use crate::ranking::Outlook;
use crate::schedule::Candidate;

/// Steps with tasks to start in the last scheduling round, by their prospect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitingSteps {
    /// They can end within their objective if they start now.
    pub in_time: u64,
    /// They can end late, but while it is worth something.
    pub late: u64,
    /// They can end within their objective if they start later.
    pub deferrable: u64,
    /// They exceed the share of their team.
    pub over_share: u64,
    /// They are too late to be of use.
    pub overdue: u64,
    /// Times in this term that workers were chosen for a call for advice on a step.
    pub advice_scans: u64,
    /// Workers that were looked up in the answers to earlier calls for that.
    pub advice_lookups: u64,
}

impl WaitingSteps {
    /// Number of steps of all kinds.
    pub fn total(&self) -> u64 {
        self.in_time + self.late + self.deferrable + self.over_share + self.overdue
    }

    /// Replaces the counts of steps by those of a round.
    pub(crate) fn count(&mut self, candidates: &[Candidate]) {
        let Self { advice_scans, advice_lookups, .. } = *self;
        *self = Self { advice_scans, advice_lookups, ..Self::default() };
        for candidate in candidates {
            let count = match candidate.rank.outlook {
                Outlook::InTime => &mut self.in_time,
                Outlook::Late => &mut self.late,
                Outlook::Deferrable => &mut self.deferrable,
                Outlook::OverShare | Outlook::LateOverShare => &mut self.over_share,
                Outlook::Overdue => &mut self.overdue,
            };
            *count += 1;
        }
    }
}
