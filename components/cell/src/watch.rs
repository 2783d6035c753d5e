//! What time alone changes: leases that lapse, orders to repeat, tasks that stand still,
//! and the balance between serving tasks and those that fill beside them.

use eventlog::event;
use types::{Millis, WorkerId};

use crate::action::{Action, PaceOrder, StopOrder};
use crate::cell::{Cell, spec_of};
use crate::model::TaskKey;
use crate::worker::RunState;

/// An order to stop without an answer is repeated after this time.
const STOP_RETRY_MS: Millis = Millis(400);
/// A task whose progress does not change for this long, and for the part of its declared time
/// below, stands still. Progress is shown in percent.
const STALL_MS: Millis = Millis(1_500);
/// Part of the declared run time: a task off by a factor of four still shows a percent in it.
const STALL_ESTIMATE_PERCENT: u64 = 8;
/// Looks must be this fresh to judge progress.
const MAX_LOOK_AGE_MS: Millis = Millis(1_200);
/// Part of the target from which fillers are slowed, in percent.
const PACE_DOWN_PERCENT: u64 = 90;
/// Part of the target below which fillers are let go again, in percent.
const PACE_UP_PERCENT: u64 = 60;
/// Change of pace upwards for each look, in percent of full speed.
const PACE_STEP: u32 = 20;

impl Cell {
    /// Moves time on.
    pub fn tick(&mut self, now: Millis) {
        let unix_ms = self.unix_ms(now);
        for job in self.jobs.values_mut() {
            job.open_due(unix_ms);
        }
        self.drop_lapsed_runs(now);
        self.retry_stops(now);
        self.stop_stalled_tasks(now);
        self.stop_tasks_on_draining_workers(now);
        self.remove_unlisted_workers(now);
        if self.recovering {
            self.log_unseen_workers(now);
        }
        self.check_recovery(now);
        self.needs_scheduling = true;
    }

    /// Lets inherited tasks start once no worker can run them unseen.
    pub(crate) fn check_recovery(&mut self, now: Millis) {
        if self.recovering && self.all_workers_seen(now) {
            self.recovering = false;
            event!("cell.recovered", "epoch" => self.epoch, "workers" => self.workers.len(),
                "jobs" => self.jobs.len());
        }
    }

    fn retry_stops(&mut self, now: Millis) {
        for (id, worker) in &mut self.workers {
            if !worker.reachable && now.since(worker.last_answer_ms) > MAX_LOOK_AGE_MS {
                continue;
            }
            let fence = worker.fence(self.epoch);
            for (key, run) in &mut worker.runs {
                let due =
                    run.state == RunState::Stopping && now.since(run.stop_sent_ms) >= STOP_RETRY_MS;
                if due {
                    run.stop_sent_ms = now;
                    self.actions.push(Action::Stop(StopOrder {
                        worker: id.clone(),
                        address: worker.report.address,
                        task: key.clone(),
                        attempt: run.attempt,
                        fence,
                    }));
                }
            }
        }
    }

    /// Stops tasks that make no progress on a worker that answers, so that they run elsewhere.
    fn stop_stalled_tasks(&mut self, now: Millis) {
        let mut stalled: Vec<(WorkerId, TaskKey)> = Vec::new();
        for (id, worker) in &mut self.workers {
            if now.since(worker.last_answer_ms) > MAX_LOOK_AGE_MS || !worker.attached {
                continue;
            }
            let mut found = false;
            for (key, run) in &worker.runs {
                let Some(job) = self.jobs.get(&key.step.job) else { continue };
                let Some(spec) = job.record.spec.steps.get(usize::from(key.step.step)) else {
                    continue;
                };
                let estimate_part = Millis(spec.estimate_ms.0 * STALL_ESTIMATE_PERCENT / 100);
                let limit = STALL_MS + estimate_part;
                let is_stalled = run.state == RunState::Running
                    && run.percent < 100
                    && !spec.gang
                    && !spec.scavenges
                    && run.pace_percent == 100
                    && worker.last_answer_ms.since(run.progress_changed_ms) > limit;
                if is_stalled {
                    found = true;
                    stalled.push((id.clone(), key.clone()));
                }
            }
            if found {
                worker.health.mark_suspect(now);
            }
        }
        for (id, key) in stalled {
            self.stop_run(&id, &key, "no progress", now);
        }
    }

    /// Sets the pace of tasks that fill beside serving tasks, after a look at the worker.
    ///
    /// Load pattern: fillers raise the latency tail of serving tasks within seconds. Over the
    /// target they stop at once; near it they halve; well below it they get faster in steps.
    pub fn balance(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let fence = worker.fence(self.epoch);
        let mut load_percent = None;
        for (key, run) in &mut worker.runs {
            let spec = spec_of(&self.jobs, &key.step);
            let Some(target) = spec.and_then(|spec| spec.latency_target_ms) else { continue };
            let percent = run.gauge * 100 / target.0.max(1);
            load_percent = load_percent.max(Some(percent));
        }
        for (key, run) in &mut worker.runs {
            let spec = spec_of(&self.jobs, &key.step);
            if run.state != RunState::Running || !spec.is_some_and(|spec| spec.scavenges) {
                continue;
            }
            let pace = match load_percent {
                Some(load) if load > 100 => 0,
                Some(load) if load > PACE_DOWN_PERCENT => run.pace_percent / 2,
                Some(load) if load >= PACE_UP_PERCENT => run.pace_percent,
                _ => (run.pace_percent + PACE_STEP).min(100),
            };
            if pace == run.pace_percent {
                continue;
            }
            event!("task.pace", "task" => key.to_string(), "worker" => id.as_str(),
                "percent" => pace, "was" => run.pace_percent, "load_percent" => load_percent);
            run.pace_percent = pace;
            run.progress_changed_ms = now;
            self.actions.push(Action::Pace(PaceOrder {
                run: StopOrder {
                    worker: id.clone(),
                    address: worker.report.address,
                    task: key.clone(),
                    attempt: run.attempt,
                    fence,
                },
                percent: pace,
            }));
        }
    }

    /// A pace order failed: the worker may still use the former pace.
    pub fn pace_failed(&mut self, id: &WorkerId, key: &TaskKey) {
        /// A pace that no rule sets, so that the next look orders again.
        const UNKNOWN_PACE: u32 = 101;
        if let Some(run) = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(key)) {
            run.pace_percent = UNKNOWN_PACE;
        }
    }
}
