//! Accounts of workers: up to which incarnation their lost runs are stored.
//!
//! Load pattern: the store is down, a task crashes its worker, and the leader dies before it can store the
//! loss. Each next leader would start the task as one that was never lost. The accounts outlive the leader:
//! a worker whose incarnation is newer than the one in its account, or that is gone, may have crashed with runs of
//! which nothing is stored. Any task that may have run there and that nobody has is then taken for a suspect
//! once. The starts of suspects are stored before they are ordered, so that no further crash under such a
//! task goes uncounted.

use eventlog::event;
use serde::{Deserialize, Serialize};
use types::{JobId, Millis, WorkerId};

use crate::cell::Cell;
use crate::job::{Job, Phase};
use crate::losses::is_fresh;
use crate::model::{LossKind, LostRun, StepKey, TaskKey};
use crate::worker::Worker;

/// What is stored of the lost runs of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAccount {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Incarnation, by its start in Unix milliseconds, before which all lost runs are stored.
    pub incarnation_unix_ms: u64,
    /// The runs of this incarnation that were lost are stored, too, and it gets no further ones until a
    /// newer account is stored.
    pub is_closed: bool,
}

impl Cell {
    /// Accounts of all workers, to be stored together with the roster that was taken last.
    pub fn accounts(&mut self) -> Vec<WorkerAccount> {
        let dirty = &self.dirty;
        let accounts = self.workers.iter_mut().filter_map(|(id, worker)| {
            if worker.last_answer_ms == Millis(0) {
                return worker.account.clone();
            }
            worker.jobs_with_losses.retain(|job| !dirty.is_stored(job));
            let is_stored = worker.jobs_with_losses.is_empty();
            let account = worker.account.get_or_insert_with(|| WorkerAccount {
                worker: id.clone(),
                incarnation_unix_ms: worker.incarnation_unix_ms,
                is_closed: false,
            });
            if is_stored {
                account.incarnation_unix_ms = worker.incarnation_unix_ms;
            }
            account.is_closed = is_stored && worker.has_silent_row;
            Some(account.clone())
        });
        accounts.collect()
    }

    /// Applies an account that a former leader stored. Workers must have been added before.
    pub fn restore_account(&mut self, account: &WorkerAccount) {
        if let Some(worker) = self.workers.get_mut(&account.worker) {
            worker.account = Some(account.clone());
        }
    }

    /// Compares the first answer of a worker with its account.
    pub(crate) fn check_account(&mut self, id: &WorkerId, answered_unix_ms: u64, now: Millis) {
        let account = self.workers.get(id).and_then(|worker| worker.account.as_ref());
        let has_crashed = account.is_some_and(|account| {
            !account.is_closed && account.incarnation_unix_ms != answered_unix_ms
        });
        if has_crashed {
            self.presume_losses(id, "restarted", answered_unix_ms, now);
        }
    }

    /// Counts workers that a former leader used as crashed that have not answered until their leases expired.
    /// One that crashed may be back under another id.
    pub(crate) fn check_unseen_accounts(&mut self, now: Millis) {
        let mut unseen = Vec::new();
        for (id, worker) in &mut self.workers {
            let is_gone = worker.last_answer_ms == Millis(0) && !worker.may_run_unseen(now);
            if let Some(account) = worker.account.as_mut().filter(|one| is_gone && !one.is_closed) {
                account.is_closed = true;
                unseen.push(id.clone());
            }
        }
        let unix_ms = self.unix_ms(now);
        for id in unseen {
            self.count_announcements_of(&id);
            self.presume_losses(&id, "not seen", unix_ms, now);
        }
    }

    /// Takes each task for a suspect that may have been lost with a former incarnation of a worker: it was
    /// accepted before the new one started, a former leader may have started it, and nobody has it.
    fn presume_losses(&mut self, id: &WorkerId, why: &str, restarted_unix_ms: u64, now: Millis) {
        let Some(service) = self.workers.get(id).map(|worker| worker.report.service.clone()) else {
            return;
        };
        let named = self.workers.get(id).and_then(Worker::only_former_tasks).cloned();
        let is_named = |key: &TaskKey| named.as_ref().is_none_or(|named| named.contains(key));
        let policy = self.policy.clone();
        let mut presumed: Vec<TaskKey> = Vec::new();
        for (job_id, job) in self.open_jobs.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            let is_older = job.inherited && job.record.accepted_unix_ms < restarted_unix_ms;
            // The service of a worker without an entry is not known.
            let may_serve =
                service.is_empty() || Cell::queue_policy(&policy, &job.record).service == service;
            if is_older && may_serve {
                presumed
                    .extend(self.unaccounted_tasks(job_id, job, now).into_iter().filter(is_named));
            }
        }
        let loss = LostRun {
            attempt: Cell::next_attempt(self.epoch, 0).saturating_sub(1),
            kind: LossKind::Presumed,
        };
        event!("worker.unaccounted_crash", "worker" => id.as_str(), "why" => why,
            "tasks" => presumed.len(), "epoch" => self.epoch);
        for key in presumed {
            self.add_loss(id, &key, loss);
        }
    }

    /// Tasks of a job that a former leader may have started, of which no loss is known and that nobody has.
    fn unaccounted_tasks(&self, id: &JobId, job: &Job, now: Millis) -> Vec<TaskKey> {
        let mut found = Vec::new();
        for (number, occurrence) in &job.open_occurrences {
            for (index, step) in (0u16..).zip(&occurrence.steps) {
                let is_done = |earlier: &u16| {
                    occurrence.steps.get(usize::from(*earlier)).is_some_and(|step| step.is_done())
                };
                let spec = job.record.spec.steps.get(usize::from(index));
                let is_ready = spec.is_some_and(|spec| spec.after.iter().all(is_done));
                if step.never_started || !is_ready {
                    continue;
                }
                let key = StepKey { job: id.clone(), occurrence: *number, step: index };
                let key = |index| TaskKey { step: key.clone(), index };
                let is_unaccounted = |index: u32, phase: &Phase| match phase {
                    Phase::Waiting => true,
                    Phase::Placed(worker) => {
                        let worker = self.workers.get(worker);
                        let run = worker.and_then(|one| Some((one, one.runs.get(&key(index))?)));
                        run.is_some_and(|(worker, run)| !run.adopted && is_fresh(worker, run, now))
                    }
                    Phase::Done => false,
                };
                let unaccounted = step
                    .tasks
                    .iter()
                    .filter(|(index, task)| {
                        task.losses.is_empty() && is_unaccounted(*index, &task.phase)
                    })
                    .map(|(index, _)| key(index));
                found.extend(unaccounted);
            }
        }
        found
    }

    /// Adds a loss of a task that was lost with a worker.
    fn add_loss(&mut self, id: &WorkerId, key: &TaskKey, loss: LostRun) {
        let Some(step) = self.step_mut(&key.step) else { return };
        step.has_losses = true;
        let Some(task) = step.tasks.get_mut(key.index) else { return };
        task.losses.push(loss);
        let phase = task.phase.clone();
        self.dirty.mark(&key.step.job);
        if let Phase::Placed(runs_on) = phase
            && let Some(run) = self.workers.get_mut(&runs_on).and_then(|one| one.runs.get_mut(key))
        {
            run.has_losses = true;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.jobs_with_losses.insert(key.step.job.clone());
        }
    }
}

impl Worker {
    /// The only tasks that can have been lost with the incarnation in its account: those that the former leader
    /// named for it; none if any can.
    fn only_former_tasks(&self) -> Option<&Vec<TaskKey>> {
        let account = self.account.as_ref()?;
        let is_same = account.incarnation_unix_ms == self.former_incarnation_unix_ms;
        self.former_tasks.as_ref().filter(|_| is_same && self.former_incarnation_unix_ms > 0)
    }
}
