//! What time alone changes: leases that lapse, orders to repeat, tasks that stand still,
//! and the balance between serving tasks and those that fill beside them.

use eventlog::event;
use types::{Millis, WorkerId};

use crate::action::{Action, PaceOrder, StopOrder};
use crate::cell::{Cell, spec_of};
use crate::model::TaskKey;
use crate::worker::RunState;

/// An order to stop without an answer is repeated after this time.
const STOP_AGAIN_MS: Millis = Millis(400);
/// A task whose progress does not change for this long, and for the part of its declared time
/// below, stands still. Progress is shown in percent.
const STILL_MS: Millis = Millis(1_500);
/// Part of the declared run time: a task off by a factor of four still shows a percent in it.
const STILL_ESTIMATE_PERCENT: u64 = 8;
/// Looks must be this fresh to judge progress.
const FRESH_MS: Millis = Millis(1_200);
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
        self.drop_lapsed(now);
        self.repeat_stops(now);
        self.stop_still_tasks(now);
        self.empty_draining_workers(now);
        self.forget_workers(now);
        if self.recovering {
            self.log_unknown_workers(now);
        }
        self.check_recovery(now);
        self.changed = true;
    }

    /// Lets inherited tasks start once no worker can run them unseen.
    pub(crate) fn check_recovery(&mut self, now: Millis) {
        if self.recovering && self.all_workers_known(now) {
            self.recovering = false;
            event!("cell.recovered", "epoch" => self.epoch, "workers" => self.workers.len(),
                "jobs" => self.jobs.len());
        }
    }

    fn repeat_stops(&mut self, now: Millis) {
        for (id, worker) in &mut self.workers {
            if !worker.reachable && now.since(worker.heard_ms) > FRESH_MS {
                continue;
            }
            let fence = worker.fence(self.epoch);
            for (key, run) in &mut worker.runs {
                let due =
                    run.state == RunState::Stopping && now.since(run.stop_sent_ms) >= STOP_AGAIN_MS;
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
    fn stop_still_tasks(&mut self, now: Millis) {
        let mut still: Vec<(WorkerId, TaskKey)> = Vec::new();
        for (id, worker) in &mut self.workers {
            if now.since(worker.heard_ms) > FRESH_MS || !worker.attached {
                continue;
            }
            let mut found = false;
            for (key, run) in &worker.runs {
                let Some(job) = self.jobs.get(&key.step.job) else { continue };
                let Some(spec) = job.record.spec.steps.get(usize::from(key.step.step)) else {
                    continue;
                };
                let part = Millis(spec.estimate_ms.0 * STILL_ESTIMATE_PERCENT / 100);
                let limit = STILL_MS + part;
                let stands = run.state == RunState::Running
                    && run.percent < 100
                    && !spec.gang
                    && !spec.scavenges
                    && run.pace == 100
                    && worker.heard_ms.since(run.percent_ms) > limit;
                if stands {
                    found = true;
                    still.push((id.clone(), key.clone()));
                }
            }
            if found {
                worker.health.suspect(now);
            }
        }
        for (id, key) in still {
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
                Some(load) if load > PACE_DOWN_PERCENT => run.pace / 2,
                Some(load) if load >= PACE_UP_PERCENT => run.pace,
                _ => (run.pace + PACE_STEP).min(100),
            };
            if pace == run.pace {
                continue;
            }
            event!("task.pace", "task" => key.to_string(), "worker" => id.as_str(),
                "percent" => pace, "was" => run.pace, "load_percent" => load_percent);
            run.pace = pace;
            run.percent_ms = now;
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
            run.pace = UNKNOWN_PACE;
        }
    }
}
