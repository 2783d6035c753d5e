//! Effect of the end of a run on its task, job and worker.

use eventlog::event;
use types::{Millis, WorkerId};

use crate::cell::Cell;
use crate::job::Phase;
use crate::model::{FinalState, TaskKey};
use crate::polling::{EndedRun, Ending};
use crate::runs::subtract_team_usage;
use crate::worker::Run;

/// Delay before a failed task is started again.
const FAILED_RETRY_MS: Millis = Millis(20);
/// Delay before a long-running task that ended is started again.
const LONG_RUNNING_RETRY_MS: Millis = Millis(100);

impl Cell {
    /// Processes the end of a run that a worker reports. Ends processed before are ignored.
    pub(crate) fn run_ended(&mut self, id: &WorkerId, end: &EndedRun, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if end.sequence <= worker.last_processed_end {
            return;
        }
        worker.last_processed_end = end.sequence;
        let key = &end.task;
        let tracked = worker.runs.get(key).is_some_and(|run| run.attempt == end.attempt);
        let run = if tracked { worker.remove_run(key) } else { None };
        if let Some(run) = &run {
            subtract_team_usage(&mut self.used_by_team, run);
        }
        self.needs_scheduling = true;
        event!("task.end", "task" => key.to_string(), "attempt" => end.attempt,
            "worker" => id.as_str(), "ending" => format!("{:?}", end.ending),
            "number" => end.sequence, "known" => tracked,
            "ran_ms" => run.as_ref().map(|run| now.since(run.started_ms).0));
        if let Some(run) = &run {
            self.learn_end(id, end, run, now);
        }
        if let Some(run) = run.as_ref().filter(|run| !run.adopted) {
            self.count_run_time(id, key, end.ending, now.since(run.started_ms), now);
        }
        self.update_worker_health(id, end, run.as_ref(), now);
        match end.ending {
            Ending::Done | Ending::Failed => self.withdraw_all_losses(&end.task),
            _ => self.withdraw_loss(&end.task, end.attempt),
        }
        self.apply_end_to_task(id, end, now);
        // An end that changes nothing may still need what a batch on its way holds, such as the end of
        // another member of the gang. The batch may fail, so the job is stored again.
        if self.dirty.is_in_flight(&end.task.step.job) {
            self.dirty.mark(&end.task.step.job);
        }
        if self.dirty.contains(&end.task.step.job)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.unstored_ends.insert(end.sequence, end.task.clone());
        }
    }

    /// Updates the health of the worker with the end of a run.
    fn update_worker_health(
        &mut self,
        id: &WorkerId,
        end: &EndedRun,
        run: Option<&Run>,
        now: Millis,
    ) {
        let measures_adopted = self.settings.unequal_workers;
        let spec = self
            .jobs
            .get(&end.task.step.job)
            .and_then(|job| job.record.spec.steps.get(usize::from(end.task.step.step)));
        let estimate = spec.map_or(0, |spec| spec.estimate_ms.0);
        let Some(worker) = self.workers.get_mut(id) else { return };
        match end.ending {
            Ending::Done => {
                let slowness = run.filter(|_| estimate > 0).and_then(|run| {
                    // When an adopted run started is not known.
                    if run.adopted && measures_adopted {
                        return run.slowness_since_adoption(now);
                    }
                    Some(now.since(run.started_ms).0 as f64 / estimate as f64)
                });
                worker.health.record_success(slowness.filter(|_| end.checkpoint.is_empty()));
            }
            Ending::Failed => worker.health.record_failure(&end.task.step.job, now),
            Ending::Stopped
            | Ending::LeaseExpired
            | Ending::GangMemberEnded
            | Ending::GangIncomplete => {}
        }
    }

    fn apply_end_to_task(&mut self, id: &WorkerId, end: &EndedRun, now: Millis) {
        let key = &end.task;
        let policy = self.policy.clone();
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        if job.ended.is_some() {
            return;
        }
        job.has_begun = true;
        job.open_up_to(key.step.occurrence);
        let record = job.record.clone();
        let Some(spec) = record.spec.steps.get(usize::from(key.step.step)) else { return };
        let over_share = job.over_share;
        let max_attempts = Cell::queue_policy(&policy, &record).max_attempts;
        let Some(step) = job.step_mut(key.step.occurrence, key.step.step) else { return };
        let tasks = step.tasks.len() as u32;
        let Some(task) = step.tasks.get_mut(key.index) else { return };
        if task.phase == Phase::Done {
            return;
        }
        let current = task.attempt == end.attempt && task.phase == Phase::Placed(id.clone());
        // A run of a former leader that ended before this leader saw it.
        let inherited = task.attempt < end.attempt && task.phase == Phase::Waiting;
        if !end.checkpoint.is_empty() && (current || inherited) {
            task.checkpoint = end.checkpoint.clone();
        }
        if inherited {
            task.attempt = end.attempt;
        }
        self.dirty.mark(&key.step.job);
        match end.ending {
            Ending::Done if spec.long_running => task.not_before_ms = now + LONG_RUNNING_RETRY_MS,
            Ending::Done => {
                let other_run = match &task.phase {
                    Phase::Placed(worker) if !current => Some(worker.clone()),
                    _ => None,
                };
                let members = if spec.gang { 0..tasks } else { key.index..key.index + 1 };
                self.flows.record_done(&record.queue, spec, members.len() as u64, over_share);
                for index in members {
                    step.set_phase(index, Phase::Done);
                }
                if let Some(worker) = other_run {
                    self.stray_runs.insert((key.clone(), worker.clone()));
                    self.stop_run(&worker, key, "task done in another run", now);
                }
                self.complete_task(key, now);
                return;
            }
            Ending::Failed if spec.long_running => task.not_before_ms = now + LONG_RUNNING_RETRY_MS,
            Ending::Failed => {
                task.not_before_ms = now + FAILED_RETRY_MS;
                // A gang fails as a whole; the failures are counted at its first task.
                let counted = if spec.gang { 0 } else { key.index };
                let Some(task) = step.tasks.get_mut(counted) else { return };
                if !task.failed.contains(&end.attempt) {
                    task.failed.push(end.attempt);
                }
                let failures = task.failed.len() as u32;
                // The scheduling round judges it once there is a configuration.
                if self.policy_known && failures >= max_attempts {
                    event!("job.failed", "job" => key.step.job.as_str(), "task" => key.to_string(),
                        "failures" => failures, "max_attempts" => max_attempts);
                    self.end_job(&key.step.job, FinalState::Failed, now);
                    return;
                }
            }
            Ending::Stopped
            | Ending::LeaseExpired
            | Ending::GangMemberEnded
            | Ending::GangIncomplete => {}
        }
        if current {
            step.set_phase(key.index, Phase::Waiting);
        }
    }

    /// Closes the occurrence and the job of a task that is done, if they are complete.
    fn complete_task(&mut self, key: &TaskKey, now: Millis) {
        let unix_ms = self.unix_ms(now);
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        if job.close_if_done(key.step.occurrence) {
            event!("job.completed", "job" => key.step.job.as_str(),
                "took_ms" => unix_ms.saturating_sub(job.record.accepted_unix_ms));
            self.end_job(&key.step.job, FinalState::Completed, now);
        }
    }
}
