//! Periodic work: expired leases, stop orders to repeat, stalled tasks, and the pace of idle-CPU
//! tasks beside serving tasks.

use eventlog::event;
use types::{Millis, WorkerId};

use crate::action::{Action, PaceOrder, StopOrder};
use crate::cell::{Cell, spec_of};
use crate::learning::on_worker;
use crate::model::TaskKey;
use crate::worker::RunState;

/// Time after which an unconfirmed stop is sent again.
const STOP_RETRY_MS: Millis = Millis(400);
/// A task is stalled if its progress, which is reported in percent, does not change for this time
/// plus `STALL_ESTIMATE_PERCENT` of its declared run time, or of the 90th percentile on its worker if
/// that is learned.
const STALL_MS: Millis = Millis(1_500);
/// Share of the declared run time. A task that takes four times its declared run time still gains
/// a percent within it.
const STALL_ESTIMATE_PERCENT: u64 = 8;
/// Most doublings of the time without progress: it doubles from the second stall on, since a restart
/// elsewhere helps the less the more often it was tried.
const MAX_STALL_DOUBLINGS: u32 = 4;
/// Greatest age of a worker's last answer at which the progress of its runs is judged. Also the
/// greatest at which stops are repeated after a failed poll.
const MAX_POLL_AGE_MS: Millis = Millis(1_200);
/// Share of the latency target above which idle-CPU tasks are slowed, in percent.
const PACE_DOWN_PERCENT: u64 = 90;
/// Share of the latency target below which idle-CPU tasks are sped up, in percent.
const PACE_UP_PERCENT: u64 = 60;
/// Increase of the pace for each poll, in percent of full speed.
const PACE_STEP: u32 = 20;

impl Cell {
    /// Does the periodic work. To be called at regular intervals.
    pub fn tick(&mut self, now: Millis) {
        let unix_ms = self.unix_ms(now);
        self.count_memory(now);
        let limit = self.open_limit();
        for id in &self.open_jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.open_due(limit, unix_ms);
            }
        }
        self.update_evacuated_workers(now);
        self.refresh_forecasts(now);
        self.update_turnover();
        self.update_speeds();
        self.drop_expired_runs(now);
        self.retry_stops(now);
        self.stop_stalled_tasks(now);
        self.judge_trials(now);
        self.stop_tasks_on_draining_workers(now);
        self.move_evacuated_runs(now);
        self.remove_unlisted_workers(now);
        if self.recovering {
            self.log_unseen_workers(now);
        }
        self.check_recovery(now);
        self.needs_scheduling = true;
    }

    fn retry_stops(&mut self, now: Millis) {
        for (id, worker) in &mut self.workers {
            if !worker.reachable && now.since(worker.last_answer_ms) > MAX_POLL_AGE_MS {
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
                        incarnation_unix_ms: worker.incarnation_unix_ms,
                        task: key.clone(),
                        attempt: run.attempt,
                        fence,
                    }));
                }
            }
        }
    }

    /// Stops stalled tasks on workers that answer, so that they run elsewhere.
    fn stop_stalled_tasks(&mut self, now: Millis) {
        let mut stalled: Vec<(WorkerId, TaskKey)> = Vec::new();
        for (id, worker) in &mut self.workers {
            if now.since(worker.last_answer_ms) > MAX_POLL_AGE_MS || !worker.attached {
                continue;
            }
            let mut found = false;
            let slowness = worker.slowness();
            for (key, run) in &worker.runs {
                let Some(job) = self.jobs.get(&key.step.job) else { continue };
                let Some(spec) = job.record.step(key) else { continue };
                let stalls = job.task(key).map_or(0, |task| task.stalls);
                let step = job.step(key.step.occurrence, key.step.step);
                let forecast = step
                    .and_then(|step| step.forecast)
                    .filter(|_| self.settings.decide_by_run_times);
                let expected_ms = forecast
                    .map_or(spec.estimate_ms, |forecast| on_worker(forecast.high_ms, slowness));
                let estimate_part =
                    Millis(expected_ms.0.saturating_mul(STALL_ESTIMATE_PERCENT) / 100);
                let limit = Millis(
                    (STALL_MS + estimate_part).0
                        << stalls.saturating_sub(1).min(MAX_STALL_DOUBLINGS),
                );
                let is_stalled = run.state == RunState::Running
                    && run.percent < 100
                    && !spec.gang
                    && !spec.uses_idle_cpu
                    && run.pace_percent == 100
                    && worker.last_answer_ms.since(run.progress_changed_ms) > limit;
                if is_stalled {
                    // A task that stalls again and again is at fault itself.
                    found |= stalls == 0;
                    stalled.push((id.clone(), key.clone()));
                }
            }
            if found {
                worker.health.mark_suspect(now);
            }
        }
        for (id, key) in stalled {
            if let Some(step) = self.step_mut(&key.step)
                && let Some(task) = step.tasks.get_mut(key.index)
            {
                task.stalls += 1;
            }
            self.stop_run(&id, &key, "no progress", now);
        }
    }

    /// Sets the pace of idle-CPU tasks beside serving tasks, after a poll of the worker.
    ///
    /// Load pattern: idle-CPU tasks raise the tail latency of serving tasks within seconds. Above
    /// the latency target they are paused at once, near it their pace is halved, and well below
    /// it their pace rises in steps.
    pub fn adjust_pace(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        // Only idle-CPU tasks reserve less than they need.
        if worker.runs.values().all(|run| run.charge == run.need) {
            return;
        }
        let fence = worker.fence(self.epoch);
        let mut load_percent = None;
        for (key, run) in &mut worker.runs {
            let spec = spec_of(&self.jobs, &key.step);
            let Some(target) = spec.and_then(|spec| spec.latency_target_ms) else { continue };
            let percent = run.gauge.saturating_mul(100) / target.0.max(1);
            load_percent = load_percent.max(Some(percent));
        }
        for (key, run) in &mut worker.runs {
            let spec = spec_of(&self.jobs, &key.step);
            if run.state != RunState::Running || !spec.is_some_and(|spec| spec.uses_idle_cpu) {
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
                    incarnation_unix_ms: worker.incarnation_unix_ms,
                    task: key.clone(),
                    attempt: run.attempt,
                    fence,
                },
                percent: pace,
            }));
        }
    }

    /// Records that a pace order failed, so that the worker may still use the former pace.
    pub fn pace_failed(&mut self, id: &WorkerId, key: &TaskKey) {
        /// A pace that is never ordered, so that the next poll leads to a new order.
        const UNKNOWN_PACE: u32 = 101;
        if let Some(run) = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(key)) {
            run.pace_percent = UNKNOWN_PACE;
        }
    }
}
