//! Tells tasks that crash their workers from tasks that are lost beside them.
//!
//! Load pattern: one job in ten has a task under which each worker crashes within some milliseconds
//! of the start, and is back after seconds. Eight other runs are lost with it, so that soon many
//! tasks have been lost several times. A task that was lost early is therefore tried alone: on a
//! worker with few runs, without a second such task, and no other task starts there until the time
//! of an early loss is over. Neighbours survive that, and a task that crashes its workers does not.

use eventlog::event;
use types::{JobId, Millis, WorkerId};

use crate::action::Action;
use crate::cell::Cell;
use crate::job::{Phase, Step, Task};
use crate::model::{FinalState, LossKind, LostRun, StepKey, TaskKey};
use crate::worker::{Run, RunState, Worker};

/// A run is lost early if nothing shows that its worker lived for longer than this after its start.
const EARLY_LOSS_MS: Millis = Millis(500);
/// Early losses in a row after which a task is given up: the platform allows it after two crashes.
const MAX_EARLY_LOSSES: usize = 3;
/// Losses in a row from which on a task is given up otherwise: if it is likely to have caused four,
/// or clearly has caused three, or the last two. The platform allows two starts after the third crash;
/// one more loss may be unknown, since the leader died before it noticed.
const MIN_LOSSES: usize = 4;
/// A worker that is lost within this time of a confirmed start may have restarted lately: it would be
/// a coincidence.
const AT_ONCE_MS: Millis = Millis(100);
/// Losses from which on a task is tried alone for as long as it takes to survive.
const LONG_TRIAL_LOSSES: usize = 3;
/// A run that has taken this long has not crashed its worker by its start.
const SURVIVED_MS: Millis = Millis(10_000);
/// Early losses from which on no other task of the step that was lost early starts: tasks of a step
/// run the same image.
const STEP_TRIAL_LOSSES: usize = 2;
/// A worker that restarted more recently may be one that crashes by itself.
const SETTLED_MS: Millis = Millis(10_000);
/// Part of the workers that may be on a long trial at the same time: one in this many.
const LONG_TRIALS_DIVISOR: usize = 4;

/// A suspect that has just started on a worker, which takes no other work meanwhile.
#[derive(Debug)]
pub(crate) struct Trial {
    pub(crate) task: TaskKey,
    /// It lasts until the task has survived for good.
    is_long: bool,
    pub(crate) began_ms: Millis,
}

impl Trial {
    /// Reserves a worker for a task that is about to start there.
    pub(crate) fn reserved(task: TaskKey, now: Millis) -> Self {
        Self { task, is_long: false, began_ms: now }
    }
}

/// Number of losses and of jobs that were given up, for metrics.
#[derive(Debug, Clone, Copy, Default)]
pub struct LossCounts {
    /// Runs lost with their worker.
    pub lost_runs: u64,
    /// Jobs that were given up since a task crashes its workers.
    pub jobs_given_up: u64,
}

impl Task {
    /// Whether it may have crashed its worker, so that it is tried alone.
    pub(crate) fn is_suspect(&self) -> bool {
        let is_recent = |loss: &LostRun| {
            matches!(loss.kind, LossKind::Early | LossKind::Doubtful | LossKind::Presumed)
        };
        self.losses.iter().any(is_recent) || self.known_losses().count() >= LONG_TRIAL_LOSSES
    }

    /// Whether its start is announced, so that no crash under it goes uncounted.
    pub(crate) fn is_announced(&self) -> bool {
        let is_open = |loss: &LostRun| matches!(loss.kind, LossKind::Announced { .. });
        self.is_suspect() || self.losses.iter().any(is_open)
    }

    /// The losses without starts of which nothing is known.
    fn known_losses(&self) -> impl DoubleEndedIterator<Item = &LostRun> {
        self.losses.iter().filter(|loss| !matches!(loss.kind, LossKind::Announced { .. }))
    }

    fn early_losses(&self) -> usize {
        self.losses.iter().filter(|loss| loss.kind == LossKind::Early).count()
    }

    fn crashes_workers(&self) -> bool {
        let is_likely = |loss: &&LostRun| loss.kind != LossKind::Unrelated;
        let is_clear = |loss: &&LostRun| matches!(loss.kind, LossKind::Early | LossKind::Late);
        let losses = self.known_losses().count();
        let likely = self.known_losses().filter(is_likely).count();
        let clear = self.known_losses().filter(is_clear).count();
        let last_clear = self.known_losses().rev().take_while(is_clear).count();
        self.early_losses() >= MAX_EARLY_LOSSES
            || likely >= MIN_LOSSES
            || (losses >= MIN_LOSSES && (clear >= 3 || last_clear >= 2))
    }
}

impl Step {
    /// Whether a task that waits has crashed so many workers that its job is given up.
    pub(crate) fn has_crashing_task(&self) -> bool {
        self.has_losses
            && self
                .tasks
                .started()
                .any(|(_, task)| task.phase == Phase::Waiting && task.crashes_workers())
    }

    /// The task of the step that is tried before others that were lost early, if any.
    fn task_on_trial(&self) -> Option<u32> {
        let (index, task) = self.tasks.started().max_by_key(|(_, task)| task.early_losses())?;
        (task.early_losses() >= STEP_TRIAL_LOSSES).then_some(index)
    }

    /// Removes the tasks that must not start now: those with losses that are not stored, so that the
    /// next leader would not know of them, and suspects while another task of the step is on trial.
    /// The members of a gang start only together.
    pub(crate) fn retain_startable(&self, tasks: &mut Vec<u32>, is_stored: bool, gang: bool) {
        if !self.has_losses {
            return;
        }
        let on_trial = if gang { None } else { self.task_on_trial() };
        tasks.retain(|index| {
            let Some(task) = self.tasks.get(*index) else { return false };
            let waits_for_other = on_trial.is_some_and(|trial| trial != *index);
            task.losses.is_empty() || (is_stored && !(task.is_suspect() && waits_for_other))
        });
    }
}

impl Cell {
    /// Records the runs that were just started on a worker that has stopped answering. What the
    /// worker says of a run later withdraws its loss.
    pub(crate) fn suspect_lost_runs(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else { return };
        let runs: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        self.record_losses(id, "worker silent", &runs, true, now);
    }

    /// Records runs of a worker that has restarted, or whose leases have expired.
    pub(crate) fn confirm_lost_runs(
        &mut self,
        id: &WorkerId,
        why: &str,
        runs: &[TaskKey],
        now: Millis,
    ) {
        self.record_losses(id, why, runs, false, now);
    }

    fn record_losses(
        &mut self,
        id: &WorkerId,
        why: &str,
        runs: &[TaskKey],
        only_recent: bool,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        // A worker that drains leaves as announced. Runs of a former incarnation are recorded when its
        // successor is found.
        if worker.has_former_runs {
            return;
        }
        if worker.report.draining {
            self.withdraw_announcements(id, runs);
            return;
        }
        let alive_ms = worker.last_answer_ms;
        let unix_ms = self.unix_ms(now);
        let lost_together = worker.runs.len();
        let lost: Vec<(TaskKey, LostRun, Millis)> = worker
            .runs
            .iter()
            .filter(|(key, run)| run.state != RunState::Stopped && runs.contains(key))
            .map(|(key, run)| {
                let kind =
                    loss_kind(worker, &key.step.job, run, only_recent.then_some(now), unix_ms);
                (key.clone(), LostRun { attempt: run.attempt, kind }, known_run_time(worker, run))
            })
            .filter(|(_, loss, _)| {
                !only_recent || matches!(loss.kind, LossKind::Early | LossKind::Doubtful)
            })
            .collect();
        for (key, loss, ran_ms) in lost {
            let Some(job) = self.jobs.get_mut(&key.step.job) else { continue };
            if job.ended.is_some() {
                continue;
            }
            let Some(step) = job.step_mut(key.step.occurrence, key.step.step) else { continue };
            step.has_losses = true;
            let Some(task) = step.tasks.get_mut(key.index) else { continue };
            let known = task.losses.iter().position(|known| known.attempt == loss.attempt);
            let former = known.map(|index| task.losses.remove(index));
            let loss = former.filter(|former| former.kind == LossKind::Early).unwrap_or(loss);
            task.losses.push(loss);
            let losses = task.losses.len();
            self.dirty.mark(&key.step.job);
            let Some(worker) = self.workers.get_mut(id) else { continue };
            worker.jobs_with_losses.insert(key.step.job.clone());
            if let Some(run) = worker.runs.get_mut(&key) {
                run.has_losses = true;
            }
            event!("task.lost", "task" => key.to_string(), "attempt" => loss.attempt,
                "worker" => id.as_str(), "why" => why, "ran_ms" => ran_ms.0,
                "kind" => format!("{:?}", loss.kind), "lost_together" => lost_together, "losses" => losses,
                "silent_ms" => now.since(alive_ms).0);
            if !only_recent {
                self.loss_counts.lost_runs += 1;
            }
        }
    }

    /// Withdraws the announcements of runs that are known to have ended by something else.
    pub(crate) fn withdraw_announcements(&mut self, id: &WorkerId, runs: &[TaskKey]) {
        for key in runs {
            let run = self.workers.get(id).and_then(|worker| worker.runs.get(key));
            let Some(attempt) = run.filter(|run| run.has_losses).map(|run| run.attempt) else {
                continue;
            };
            self.withdraw_losses(key, |loss| {
                loss.attempt == attempt && matches!(loss.kind, LossKind::Announced { .. })
            });
        }
    }

    /// Withdraws the loss of a run of which its worker reports something, or which has not started.
    pub(crate) fn withdraw_loss(&mut self, key: &TaskKey, attempt: u32) {
        self.withdraw_losses(key, |loss| loss.attempt == attempt);
    }

    /// Withdraws the losses of the runs of a worker that was silent and has not restarted.
    pub(crate) fn withdraw_losses_of_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let runs: Vec<(TaskKey, u32)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.has_losses)
            .map(|(key, run)| (key.clone(), run.attempt))
            .collect();
        for (key, attempt) in runs {
            self.withdraw_loss(&key, attempt);
        }
    }

    /// Withdraws all losses of a task that ran without harm to its worker.
    pub(crate) fn withdraw_all_losses(&mut self, key: &TaskKey) {
        self.withdraw_losses(key, |_| true);
    }

    fn withdraw_losses(&mut self, key: &TaskKey, is_withdrawn: impl Fn(&LostRun) -> bool) {
        let Some(step) = self.step_mut(&key.step).filter(|step| step.has_losses) else { return };
        let Some(task) = step.tasks.get_mut(key.index) else { return };
        let before = task.losses.len();
        task.losses.retain(|loss| !is_withdrawn(loss));
        let losses = task.losses.len();
        if losses < before {
            event!("task.loss_withdrawn", "task" => key.to_string(), "losses" => losses);
            self.dirty.mark(&key.step.job);
        }
    }

    /// Draws conclusions from a run that its worker reports as active: it has not crashed the worker
    /// so far, and what was kept off the worker for its sake may start there again.
    pub(crate) fn record_survival(&mut self, id: &WorkerId, key: &TaskKey, attempt: u32) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get(key) else { return };
        let ran_ms = known_run_time(worker, run);
        let needed_ms = |trial: &Trial| if trial.is_long { SURVIVED_MS } else { EARLY_LOSS_MS };
        let ended =
            worker.trial.take_if(|trial| trial.task == *key && ran_ms > needed_ms(trial)).is_some();
        self.needs_scheduling |= ended;
        if ran_ms >= SURVIVED_MS {
            self.withdraw_all_losses(key);
        } else {
            // What was announced stays until the run has not crashed its worker by its start.
            let has_survived_start = ran_ms > EARLY_LOSS_MS;
            self.withdraw_losses(key, |loss| {
                let is_known =
                    !matches!(loss.kind, LossKind::Announced { .. }) || has_survived_start;
                loss.attempt == attempt && is_known
            });
        }
    }

    /// Ends the job of a step with a task that has crashed too many workers as failed.
    pub(crate) fn give_up_crashing(&mut self, key: &StepKey, now: Millis) {
        if self.jobs.get(&key.job).is_none_or(|job| job.ended.is_some()) {
            return;
        }
        event!("job.failed", "job" => key.job.as_str(), "step" => key.to_string(),
            "why" => "a task crashes its workers");
        self.loss_counts.jobs_given_up += 1;
        self.end_job(&key.job, FinalState::Failed, now);
    }

    /// Keeps other work off a worker on which a suspect has just started, until the suspect has
    /// survived there or its run has ended.
    pub(crate) fn begin_trial(&mut self, id: &WorkerId, key: &StepKey, index: u32, now: Millis) {
        let task = self.step(key).and_then(|step| step.tasks.get(index));
        let Some(task) = task.filter(|task| task.is_suspect()) else { return };
        let losses = task.known_losses().count();
        let is_on_long_trial =
            |worker: &&Worker| worker.trial.as_ref().is_some_and(|trial| trial.is_long);
        let long_trials = self.workers.values().filter(is_on_long_trial).count();
        let is_long =
            losses >= LONG_TRIAL_LOSSES && long_trials * LONG_TRIALS_DIVISOR < self.workers.len();
        let Some(worker) = self.workers.get_mut(id) else { return };
        let task = TaskKey { step: key.clone(), index };
        event!("task.trial", "task" => task.to_string(), "worker" => id.as_str(),
            "losses" => losses, "others" => worker.runs.len() - 1, "long" => is_long);
        worker.trial = Some(Trial { task, is_long, began_ms: now });
    }

    /// Polls the workers with trials that are due to be judged.
    pub(crate) fn judge_trials(&mut self, now: Millis) {
        self.free_reserved_workers(now);
        for (id, worker) in &mut self.workers {
            let Some(trial) = &worker.trial else { continue };
            let age_ms = now.since(trial.began_ms);
            if age_ms > EARLY_LOSS_MS && worker.last_answer_ms <= trial.began_ms + EARLY_LOSS_MS {
                self.actions.push(Action::Poll(id.clone()));
            }
        }
    }

    /// Losses and jobs given up since the leader was elected.
    pub fn loss_counts(&self) -> LossCounts {
        self.loss_counts
    }
}

/// Time from the start of a run, as far as confirmed, to its worker's last answer. A start that was
/// not answered may have been carried out by a later order.
fn known_run_time(worker: &Worker, run: &Run) -> Millis {
    let began_ms =
        if run.state == RunState::Running { run.state_changed_ms } else { run.started_ms };
    worker.last_answer_ms.since(began_ms) + run.ran_before_ms
}

/// What the loss of a run says of its task. `noticed_ms` is when the worker was found silent, if it
/// was just now.
fn loss_kind(
    worker: &Worker,
    job: &JobId,
    run: &Run,
    noticed_ms: Option<Millis>,
    unix_ms: u64,
) -> LossKind {
    let settled = worker.is_settled(unix_ms);
    if known_run_time(worker, run) > EARLY_LOSS_MS {
        let started_later = |other: &Run| other.started_ms > run.started_ms;
        let is_alone = worker.runs.len() == 1;
        if !is_alone && (!settled || worker.runs.values().any(started_later)) {
            LossKind::Unrelated
        } else {
            LossKind::Late
        }
    } else if run.state != RunState::Running || (run.has_losses && has_other_suspect(worker, job)) {
        LossKind::Doubtful
    } else if settled || noticed_ms.is_some_and(|at| at.since(run.state_changed_ms) <= AT_ONCE_MS) {
        LossKind::Early
    } else {
        LossKind::Doubtful
    }
}

/// Whether a run has started so lately that it may still crash its worker by its start, or its worker is
/// silent since.
pub(crate) fn is_fresh(worker: &Worker, run: &Run, now: Millis) -> bool {
    known_run_time(worker, run) <= EARLY_LOSS_MS
        && (!worker.reachable || now.since(run.started_ms) <= EARLY_LOSS_MS)
}

/// Whether a run of another job has been lost early with one of `job`.
fn has_other_suspect(worker: &Worker, job: &JobId) -> bool {
    let is_early = |run: &Run| known_run_time(worker, run) <= EARLY_LOSS_MS;
    worker.runs.iter().any(|(key, run)| key.step.job != *job && is_early(run))
}

impl Worker {
    /// Whether a run has just started there, so that the worker may be about to crash.
    pub(crate) fn has_fresh_run(&self, now: Millis) -> bool {
        self.runs.values().any(|run| now.since(run.started_ms) <= EARLY_LOSS_MS)
    }

    /// Whether it has been up for long enough not to be one that crashes again and again.
    pub(crate) fn is_settled(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.incarnation_unix_ms) >= SETTLED_MS.0
    }
}
