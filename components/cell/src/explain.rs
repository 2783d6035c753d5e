//! Explains to operators and tests why a job does not run.

use types::{JobId, Millis};

use crate::cell::Cell;
use crate::model::StepKey;
use crate::worker::Worker;

impl Cell {
    /// Explains why the waiting tasks of a job do not run, with a line for each step.
    pub fn explain(&self, id: &JobId, now: Millis) -> Vec<String> {
        let Some(job) = self.jobs.get(id) else { return vec!["no such job".to_owned()] };
        let policy = Cell::queue_policy(&self.policy, &job.record);
        let mut lines = vec![format!(
            "ended {:?}, inherited {}, recovering {}, configuration known {}, evacuated domains {}",
            job.ended,
            job.inherited,
            self.recovering,
            self.policy_known,
            self.evacuations.len()
        )];
        for (number, occurrence) in &job.open_occurrences {
            for (index, (step, spec)) in
                (0u16..).zip(occurrence.steps.iter().zip(&job.record.spec.steps))
            {
                let key = StepKey { job: id.clone(), occurrence: *number, step: index };
                let fits = |worker: &&Worker| {
                    worker.is_in_service() && worker.free().covers(&spec.charge())
                };
                let fitting = self.workers.values().filter(fits).count();
                let advised = self
                    .workers
                    .iter()
                    .filter(|(id, w)| step.advice.ticket(id, w.incarnation_unix_ms, now).is_some())
                    .count();
                lines.push(format!(
                    "step {number}.{index}: {} of {} tasks done, {} wait; after {:?}; room on \
                     {fitting} workers, {}tickets for {advised}, asking {}; the team may start {}",
                    step.done,
                    step.tasks.len(),
                    step.waiting,
                    spec.after,
                    if policy.advice.is_some() { "" } else { "no advice needed, " },
                    step.advice.call_pending(),
                    self.team_slots(&key, spec),
                ));
            }
        }
        lines
    }
}
