//! Jobs with waiting tasks, by priority and team, in the order of their acceptance.

use std::collections::BTreeMap;

use types::{JobId, Priority, Resources, TeamId};

/// Place of a job in its team's line.
pub(crate) type Place = (u64, JobId);

/// All jobs of one priority.
#[derive(Debug, Default)]
struct Lines {
    teams: BTreeMap<TeamId, BTreeMap<Place, Resources>>,
    /// Grants of a task that waiting jobs ask for, with the number of jobs.
    needs: Vec<(Resources, usize)>,
}

/// All jobs with waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct WorkQueue {
    lines: BTreeMap<Priority, Lines>,
}

impl WorkQueue {
    /// Adds a job whose tasks are granted `need` each. Adding it again changes nothing.
    pub(crate) fn insert(
        &mut self,
        priority: Priority,
        team: &TeamId,
        place: Place,
        need: Resources,
    ) {
        let lines = self.lines.entry(priority).or_default();
        let line = lines.teams.entry(team.clone()).or_default();
        if line.insert(place, need).is_some() {
            return;
        }
        match lines.needs.iter_mut().find(|(known, _)| *known == need) {
            Some((_, count)) => *count += 1,
            None => lines.needs.push((need, 1)),
        }
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, priority: Priority, team: &TeamId, place: &Place) {
        let Some(lines) = self.lines.get_mut(&priority) else { return };
        let Some(line) = lines.teams.get_mut(team) else { return };
        let Some(need) = line.remove(place) else { return };
        if line.is_empty() {
            lines.teams.remove(team);
        }
        if let Some((_, count)) = lines.needs.iter_mut().find(|(known, _)| *known == need) {
            *count -= 1;
        }
        lines.needs.retain(|(_, count)| *count > 0);
    }

    /// Teams with waiting jobs of a priority.
    pub(crate) fn teams(&self, priority: Priority) -> impl Iterator<Item = &TeamId> {
        self.lines.get(&priority).into_iter().flat_map(|lines| lines.teams.keys())
    }

    /// The first jobs in a team's line.
    pub(crate) fn first(&self, priority: Priority, team: &TeamId, count: usize) -> Vec<JobId> {
        let line = self.lines.get(&priority).and_then(|lines| lines.teams.get(team));
        line.map(|line| line.keys().take(count).map(|(_, job)| job.clone()).collect())
            .unwrap_or_default()
    }

    /// Whether each job of a priority asks for at least one of these grants.
    pub(crate) fn all_need_at_least(&self, priority: Priority, grants: &[Resources]) -> bool {
        let Some(lines) = self.lines.get(&priority) else { return true };
        lines.needs.iter().all(|(need, _)| grants.iter().any(|grant| need.holds(grant)))
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.lines.values().all(|lines| lines.teams.is_empty())
    }
}
