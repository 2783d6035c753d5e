//! Recovery after a change of leader: which inherited tasks wait for workers that were not seen yet,
//! and which tasks wait for runs that this leader did not expect.
//!
//! Load pattern: some of hundreds of workers leave or are cut off while the leader changes in a
//! burst. Until their leases have expired they may run inherited tasks. Only these wait: the former
//! leader's roster names the tasks of workers that had fallen silent. A silent worker that the
//! roster does not describe may run any inherited task that was started.

use std::collections::{BTreeMap, BTreeSet};

use eventlog::event;
use types::{JobId, Millis, Resources, TeamId, WorkerId};

use crate::cell::Cell;
use crate::job::{Job, Phase};
use crate::model::{StepKey, TaskKey};
use crate::runs::{add_team_usage, subtract_team_usage};
use crate::worker::Worker;

/// Interval of the log lines on workers that recovery waits for.
const UNSEEN_LOG_INTERVAL_MS: Millis = Millis(1_000);

/// Inherited tasks that may run on workers that this leader has not seen.
#[derive(Debug, Default)]
pub(crate) struct HeldTasks {
    /// Any inherited task that may have been started: it is not known what runs on a worker.
    pub(crate) all: bool,
    /// Tasks that the roster names.
    tasks: BTreeSet<TaskKey>,
    /// Tasks with a run that they do not need and that has not ended.
    strays: BTreeSet<TaskKey>,
    /// Resources that these tasks may use, by team.
    usage: BTreeMap<TeamId, Resources>,
}

impl HeldTasks {
    /// Whether a task waits for the end of a run, or for an unseen worker that may run it.
    pub(crate) fn holds_task(&self, step: &StepKey, index: u32) -> bool {
        if self.tasks.is_empty() && self.strays.is_empty() {
            return false;
        }
        let task = TaskKey { step: step.clone(), index };
        self.tasks.contains(&task) || self.strays.contains(&task)
    }

    /// Whether a task of the step has a run that it does not need and that has not ended.
    pub(crate) fn has_stray_run(&self, step: &StepKey) -> bool {
        let first = TaskKey { step: step.clone(), index: 0 };
        self.strays.range(first..).next().is_some_and(|task| task.step == *step)
    }

    /// Whether no task has such a run.
    pub(crate) fn has_no_strays(&self) -> bool {
        self.strays.is_empty()
    }

    /// Resources that the team may use on unseen workers.
    pub(crate) fn usage(&self, team: &TeamId) -> Resources {
        self.usage.get(team).copied().unwrap_or_default()
    }

    fn add_usage(&mut self, team: Option<&TeamId>, resources: &Resources) {
        let Some(team) = team else { return };
        let usage = self.usage.entry(team.clone()).or_default();
        *usage = usage.plus(resources);
    }

    /// Counts all waiting tasks of a job that may have been started.
    fn add_started_steps(&mut self, job: &Job) {
        for occurrence in job.open_occurrences.values() {
            let steps = occurrence.steps.iter().zip(&job.record.spec.steps);
            for (step, spec) in steps.filter(|(step, _)| !step.never_started) {
                let need = spec.need.times(u64::from(step.waiting));
                self.add_usage(job.record.team.as_ref(), &need);
            }
        }
    }
}

impl Cell {
    /// Ends recovery once no worker can run inherited tasks unseen.
    pub(crate) fn check_recovery(&mut self, now: Millis) {
        if !self.recovering {
            return;
        }
        self.check_unseen_accounts(now);
        if self.all_workers_seen(now) {
            self.recovering = false;
            event!("cell.recovered", "epoch" => self.epoch, "workers" => self.workers.len(),
                "jobs" => self.jobs.len());
        }
    }

    /// Determines the tasks that wait for unseen workers, or for runs that they do not need to end.
    pub(crate) fn update_held_tasks(&mut self, now: Millis) {
        let mut held = HeldTasks { strays: self.tasks_with_strays(), ..HeldTasks::default() };
        if self.recovering {
            // Without any worker in the list it is not known either which ones there are.
            held.all = self.workers.is_empty();
            for (_, worker) in self.unseen_workers(now) {
                match &worker.former_tasks {
                    Some(tasks) => held.tasks.extend(tasks.iter().cloned()),
                    None => held.all = true,
                }
            }
            self.count_held_usage(&mut held);
        }
        self.held_tasks = held;
    }

    /// Tasks of the stray runs that have not ended. Forgets those that have.
    fn tasks_with_strays(&mut self) -> BTreeSet<TaskKey> {
        let workers = &self.workers;
        self.stray_runs.retain(|(task, worker)| {
            workers.get(worker).is_some_and(|worker| worker.runs.contains_key(task))
        });
        self.stray_runs.iter().map(|(task, _)| task.clone()).collect()
    }

    /// Charges the stray runs of a job that has just become known as what they are. Until then each
    /// counts as the whole worker, and for no team.
    pub(crate) fn charge_stray_runs(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for (key, worker) in self.stray_runs.iter().filter(|(key, _)| key.step.job == *id) {
            let Some(spec) = job.record.step(key) else { continue };
            let Some(worker) = self.workers.get_mut(worker) else { continue };
            let Some(mut run) = worker.remove_run(key) else { continue };
            subtract_team_usage(&mut self.used_by_team, &run);
            run.charge = spec.charge();
            run.need = spec.need;
            run.team.clone_from(&job.record.team);
            add_team_usage(&mut self.used_by_team, &run);
            worker.add_run(key.clone(), run);
        }
    }

    fn count_held_usage(&self, held: &mut HeldTasks) {
        if held.all {
            let open = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
            open.filter(|job| job.inherited).for_each(|job| held.add_started_steps(job));
            return;
        }
        for key in held.tasks.clone() {
            let Some(job) = self.jobs.get(&key.step.job) else { continue };
            // Those of a cancelled job run until their worker is told.
            let may_run = job.task(&key).is_none_or(|task| task.phase == Phase::Waiting);
            if let Some(spec) = job.record.step(&key).filter(|_| may_run) {
                held.add_usage(job.record.team.as_ref(), &spec.need);
            }
        }
    }

    /// Whether every worker that may run inherited tasks was seen, or its leases have expired.
    fn all_workers_seen(&self, now: Millis) -> bool {
        !self.workers.is_empty() && self.unseen_workers(now).next().is_none()
    }

    /// Workers that may run inherited tasks that this leader has not seen.
    fn unseen_workers(&self, now: Millis) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter().filter(move |(_, worker)| worker.may_run_unseen(now))
    }

    /// Logs once a second which workers recovery waits for.
    pub(crate) fn log_unseen_workers(&mut self, now: Millis) {
        if self.unseen_logged_ms == Millis(0) {
            // Skips the first second, in which most workers answer.
            self.unseen_logged_ms = now;
        }
        if now.since(self.unseen_logged_ms) < UNSEEN_LOG_INTERVAL_MS {
            return;
        }
        self.unseen_logged_ms = now;
        for (id, worker) in self.unseen_workers(now) {
            event!("cell.recovery_waiting", "worker" => id.as_str(), "listed" => worker.listed,
                "for_ms" => worker.leases_end_ms().since(now).0, "epoch" => self.epoch,
                "tasks" => worker.former_tasks.as_ref().map(Vec::len));
        }
    }
}
