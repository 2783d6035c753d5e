//! Announces the runs of tasks that were lost with their workers.
//!
//! Load pattern: a task crashes each worker within some milliseconds of its start, and the leader dies
//! before it notices or stores that, twice in a row. So such a run is stored with its worker before
//! it starts. The next leader looks for it there: on a worker that has restarted since, or is gone, it
//! counts as lost, by half.

use types::{Millis, WorkerId};

use crate::cell::Cell;
use crate::job::Phase;
use crate::model::{Announcement, LossKind, LostRun, StepKey};
use crate::place::Placed;

impl Cell {
    /// Removes the runs that must be announced before they start, and announces them.
    pub(crate) fn announce_runs(&mut self, key: &StepKey, placed: &mut Vec<Placed>) {
        if !self.step(key).is_some_and(|step| step.has_losses) {
            return;
        }
        let before = placed.len();
        placed.retain(|(index, worker, _)| !self.announce_run(key, *index, worker));
        if placed.len() < before {
            self.dirty.mark(&key.job);
        }
    }

    /// Announces a run, unless that is done or not needed. Returns whether it did.
    fn announce_run(&mut self, key: &StepKey, index: u32, worker: &WorkerId) -> bool {
        let epoch = self.epoch;
        let incarnation_unix_ms = self.workers.get(worker).map_or(0, |one| one.incarnation_unix_ms);
        let Some(step) = self.step_mut(key) else { return false };
        let Some(task) = step.tasks.get_mut(index as usize) else { return false };
        let attempt = Cell::next_attempt(epoch, task.attempt);
        let run = Announcement { attempt, worker: worker.clone(), incarnation_unix_ms };
        if task.losses.is_empty() || task.announced.as_ref() == Some(&run) {
            return false;
        }
        task.announced = Some(run);
        true
    }

    /// Judges the runs of waiting tasks that a former leader announced, as far as their workers are
    /// known by now. Returns the tasks that must wait for that.
    pub(crate) fn judge_announced_runs(&mut self, key: &StepKey, now: Millis) -> Vec<u32> {
        let first_attempt = Cell::next_attempt(self.epoch, 0);
        let Some(step) = self.step(key).filter(|step| step.has_losses) else { return Vec::new() };
        let waiting = (0u32..).zip(&step.tasks).filter(|(_, task)| task.phase == Phase::Waiting);
        let inherited: Vec<(u32, Announcement)> = waiting
            .filter_map(|(index, task)| Some((index, task.announced.clone()?)))
            .filter(|(_, run)| run.attempt < first_attempt)
            .collect();
        let mut unknown = Vec::new();
        for (index, run) in inherited {
            let worker = self.workers.get(&run.worker);
            let is_lost = match worker {
                Some(worker) if worker.attached => {
                    worker.incarnation_unix_ms != run.incarnation_unix_ms
                }
                Some(worker) if now < worker.leases_end_ms() => {
                    unknown.push(index);
                    continue;
                }
                Some(_) | None => true,
            };
            self.end_announcement(key, index, is_lost.then_some(run.attempt));
        }
        unknown
    }

    fn end_announcement(&mut self, key: &StepKey, index: u32, lost: Option<u32>) {
        let Some(step) = self.step_mut(key) else { return };
        let Some(task) = step.tasks.get_mut(index as usize) else { return };
        task.announced = None;
        if let Some(attempt) = lost {
            task.losses.push(LostRun { attempt, kind: LossKind::Unnoticed });
        }
        self.dirty.mark(&key.job);
    }
}
