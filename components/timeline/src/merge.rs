//! Merges the time lines of several processes into one causal order.

use libs::serde_json;
use types::PoolId;

use crate::Event;

/// Which events to keep.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Only events of this pool.
    pub pool: Option<PoolId>,
    /// Only events whose subject contains this text.
    pub subject: Option<String>,
}

impl Filter {
    fn keeps(&self, event: &Event) -> bool {
        let pool_matches = self.pool.is_none() || event.pool == self.pool;
        let subject_matches =
            self.subject.as_ref().is_none_or(|text| event.subject.contains(text.as_str()));
        pool_matches && subject_matches
    }
}

/// Parses the lines, drops those that are no events, and sorts the rest by stamp and process.
pub fn merge_lines<'a>(lines: impl Iterator<Item = &'a str>, filter: &Filter) -> Vec<Event> {
    let mut events: Vec<Event> = lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .filter(|event| filter.keeps(event))
        .collect();
    events.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
    events
}
