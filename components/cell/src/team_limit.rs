//! Room that the limit of a team leaves for further tasks.

use crate::cell::Cell;
use crate::model::{StepKey, StepSpec};

impl Cell {
    /// Number of further tasks of the step that fit the limit of its team.
    pub(crate) fn team_slots(&self, key: &StepKey, spec: &StepSpec) -> u64 {
        self.team_slots_with_reserve(key, spec, 0)
    }

    /// Like `team_slots`, with a part of the team's limit kept free.
    pub(crate) fn team_slots_with_reserve(
        &self,
        key: &StepKey,
        spec: &StepSpec,
        reserved_percent: u64,
    ) -> u64 {
        let Some(job) = self.jobs.get(&key.job) else { return 0 };
        let Some(team) = &job.record.team else { return u64::MAX };
        let Some(policy) = self.policy.teams.get(team) else { return u64::MAX };
        let used = self.used_by_team.get(team).copied().unwrap_or_default();
        let used = used.plus(&self.held_tasks.usage(team));
        let max_tasks = |limit: u64, used: u64, need: u64| {
            let usable_limit = limit * (100 - reserved_percent) / 100;
            if limit == 0 || need == 0 {
                u64::MAX
            } else {
                usable_limit.saturating_sub(used) / need
            }
        };
        max_tasks(policy.limit.cpu_milli, used.cpu_milli, spec.need.cpu_milli)
            .min(max_tasks(policy.limit.mem_mb, used.mem_mb, spec.need.mem_mb))
            .min(max_tasks(policy.limit.accels, used.accels, spec.need.accels))
    }
}
