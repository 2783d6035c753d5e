//! Stops tasks on a draining worker before it leaves.
//!
//! Load pattern: a tenth of the workers leaves two seconds after the notice. Runs that are active
//! when their worker leaves are lost, and their tasks wait until the lease has expired. A task that
//! will not end in time is stopped early enough to save a checkpoint, and restarts elsewhere.

use types::{Millis, WorkerId};

use crate::cell::Cell;
use crate::learning::on_worker;
use crate::model::{StepSpec, TaskKey};
use crate::worker::{Run, RunState};

/// Time to stop a task and to learn of its end: a stop takes up to 900 ms on the users' platform.
const STOP_LEAD_MS: Millis = Millis(1_400);
/// Time to learn of the end of a run.
const REPORT_LEAD_MS: Millis = Millis(200);

impl Cell {
    /// Stops the tasks on draining workers that must not run on until the worker leaves.
    pub(crate) fn stop_tasks_on_draining_workers(&mut self, now: Millis) {
        let mut leaving: Vec<(WorkerId, TaskKey)> = Vec::new();
        for (id, worker) in &self.workers {
            let Some(leaves_ms) = worker.leaves_ms.filter(|_| worker.reachable) else { continue };
            for (key, run) in &worker.runs {
                let Some(job) = self.jobs.get(&key.step.job) else { continue };
                let Some(spec) = job.record.step(key) else { continue };
                let step = job.step(key.step.occurrence, key.step.step);
                let forecast = step
                    .and_then(|step| step.forecast)
                    .filter(|_| self.settings.decide_by_run_times);
                // A run that may well not end in time is stopped.
                let usual_ms = forecast.map_or(spec.estimate_ms, |forecast| forecast.high_ms);
                let expected_ms = on_worker(usual_ms, worker.slowness());
                if run.state == RunState::Running
                    && must_stop_now(spec, run, expected_ms, leaves_ms.since(now), now)
                {
                    leaving.push((id.clone(), key.clone()));
                }
            }
        }
        for (id, key) in leaving {
            self.stop_run(&id, &key, "worker is leaving", now);
        }
    }
}

/// Whether a run must be stopped now; its worker leaves in `left_ms`.
fn must_stop_now(
    spec: &StepSpec,
    run: &Run,
    expected_ms: Millis,
    left_ms: Millis,
    now: Millis,
) -> bool {
    if spec.long_running {
        return true;
    }
    let ends_in_ms = remaining_run_time(run, expected_ms, now);
    if ends_in_ms + REPORT_LEAD_MS <= left_ms {
        return false;
    }
    // Without checkpoints the work is lost in any case, so waiting longer gains nothing.
    !spec.checkpoints || left_ms <= STOP_LEAD_MS
}

/// Expected time until a run ends, from its progress or, before there is any, from the expected
/// run time.
pub(crate) fn remaining_run_time(run: &Run, expected_ms: Millis, now: Millis) -> Millis {
    let ran_ms = now.since(run.started_ms);
    if run.percent > 0 {
        let shown_ms = run.progress_changed_ms.since(run.started_ms);
        let whole_ms = Millis(shown_ms.0 * 100 / u64::from(run.percent));
        return whole_ms.since(ran_ms);
    }
    expected_ms.since(ran_ms)
}
