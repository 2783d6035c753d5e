//! Jobs with waiting tasks, by priority and team, in the order of their acceptance.

use std::collections::{BTreeMap, BTreeSet};

use types::{JobId, Priority, TeamId};

/// Place of a job in its team's line.
pub(crate) type Place = (u64, JobId);

/// All jobs with waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct WorkQueue {
    lines: BTreeMap<Priority, BTreeMap<TeamId, BTreeSet<Place>>>,
}

impl WorkQueue {
    /// Adds a job. Adding it again changes nothing.
    pub(crate) fn insert(&mut self, priority: Priority, team: &TeamId, place: Place) {
        self.lines.entry(priority).or_default().entry(team.clone()).or_default().insert(place);
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, priority: Priority, team: &TeamId, place: &Place) {
        let Some(teams) = self.lines.get_mut(&priority) else { return };
        let Some(line) = teams.get_mut(team) else { return };
        line.remove(place);
        if line.is_empty() {
            teams.remove(team);
        }
    }

    /// Teams with waiting jobs of a priority.
    pub(crate) fn teams(&self, priority: Priority) -> Vec<TeamId> {
        self.lines.get(&priority).map(|teams| teams.keys().cloned().collect()).unwrap_or_default()
    }

    /// The first jobs in a team's line.
    pub(crate) fn first(&self, priority: Priority, team: &TeamId, count: usize) -> Vec<JobId> {
        let line = self.lines.get(&priority).and_then(|teams| teams.get(team));
        line.map(|line| line.iter().take(count).map(|(_, job)| job.clone()).collect())
            .unwrap_or_default()
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lines.values().all(BTreeMap::is_empty)
    }
}
