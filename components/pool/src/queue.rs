//! Jobs with waiting tasks, by priority and team, in the order of their acceptance.

use std::collections::BTreeMap;

use types::{JobId, Priority, Resources, TeamId};

/// Position of a job in its team's queue: acceptance number and id.
pub(crate) type QueueKey = (u64, JobId);

/// The queues of one priority.
#[derive(Debug, Default)]
struct TeamQueues {
    teams: BTreeMap<TeamId, BTreeMap<QueueKey, Resources>>,
    /// Distinct resource needs of a task, with the number of queued jobs that have them.
    needs: Vec<(Resources, usize)>,
}

/// All jobs with waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct WorkQueue {
    by_priority: BTreeMap<Priority, TeamQueues>,
}

impl WorkQueue {
    /// Adds a job whose tasks need these resources each. Has no effect if the job is already
    /// queued.
    pub(crate) fn insert(
        &mut self,
        priority: Priority,
        team: &TeamId,
        key: QueueKey,
        need: Resources,
    ) {
        let queues = self.by_priority.entry(priority).or_default();
        let queue = queues.teams.entry(team.clone()).or_default();
        if queue.insert(key, need).is_some() {
            return;
        }
        match queues.needs.iter_mut().find(|(known, _)| *known == need) {
            Some((_, count)) => *count += 1,
            None => queues.needs.push((need, 1)),
        }
    }

    pub(crate) fn remove(&mut self, priority: Priority, team: &TeamId, key: &QueueKey) {
        let Some(queues) = self.by_priority.get_mut(&priority) else { return };
        let Some(queue) = queues.teams.get_mut(team) else { return };
        let Some(need) = queue.remove(key) else { return };
        if queue.is_empty() {
            queues.teams.remove(team);
        }
        if let Some((_, count)) = queues.needs.iter_mut().find(|(known, _)| *known == need) {
            *count -= 1;
        }
        queues.needs.retain(|(_, count)| *count > 0);
    }

    /// Teams with waiting jobs of a priority.
    pub(crate) fn teams(&self, priority: Priority) -> impl Iterator<Item = &TeamId> {
        self.by_priority.get(&priority).into_iter().flat_map(|queues| queues.teams.keys())
    }

    /// The first jobs in a team's queue.
    pub(crate) fn first(&self, priority: Priority, team: &TeamId, count: usize) -> Vec<JobId> {
        let queue = self.by_priority.get(&priority).and_then(|queues| queues.teams.get(team));
        queue
            .map(|queue| queue.keys().take(count).map(|(_, job)| job.clone()).collect())
            .unwrap_or_default()
    }

    /// Whether each job of a priority needs at least as much as one of these needs.
    pub(crate) fn all_need_at_least(&self, priority: Priority, minimums: &[Resources]) -> bool {
        let Some(queues) = self.by_priority.get(&priority) else { return true };
        queues.needs.iter().all(|(need, _)| minimums.iter().any(|minimum| need.covers(minimum)))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_priority.values().all(|queues| queues.teams.is_empty())
    }
}
