//! Merges the timelines of several processes in causal order.

use libs::serde_json;
use types::PoolId;

use crate::Event;

/// Selects events by pool and subject.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Select only events of this pool.
    pub pool: Option<PoolId>,
    /// Select only events whose subject contains this text.
    pub subject: Option<String>,
}

impl Filter {
    fn matches(&self, event: &Event) -> bool {
        let pool_matches = self.pool.is_none() || event.pool == self.pool;
        let subject_matches =
            self.subject.as_ref().is_none_or(|text| event.subject.contains(text.as_str()));
        pool_matches && subject_matches
    }
}

/// Parses the lines, skips those that are not events or do not match the filter, and sorts the
/// remaining events by timestamp and process.
pub fn merge_lines<'a>(lines: impl Iterator<Item = &'a str>, filter: &Filter) -> Vec<Event> {
    let mut events: Vec<Event> = lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .filter(|event| filter.matches(event))
        .collect();
    events.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
    events
}
