//! Preemption of running tasks by urgent ones.
//!
//! Load pattern: a burst of short urgent jobs on a fleet that is 80% busy with long tasks that
//! save checkpoints. A stopped task saves a last checkpoint, so it loses no work, and its job has
//! seconds of slack, whereas an urgent job is late after one second.

use std::collections::BTreeMap;

use types::{Millis, Resources, TeamId, WorkerId};

use crate::advice::ALLOW_PROBABILITY;
use crate::cell::Cell;
use crate::model::{QueuePolicy, StepKey, StepSpec, TaskKey};
use crate::place::WaitingStep;
use crate::ranking::Outlook;
use crate::round::count;
use crate::worker::{Run, RunState, Worker};

/// Times that one task may be preempted.
const MAX_PREEMPTIONS: u32 = 2;
/// A run is not preempted for this long after its start: a restart costs some hundred
/// milliseconds.
const MIN_RUN_MS: Millis = Millis(700);
/// Least time between two preemptions for the same step: stops take up to 900 ms, so their effect
/// shows late.
const PREEMPTION_INTERVAL_MS: Millis = Millis(300);
/// Most runs stopped at once for one step.
const MAX_STOPS_PER_CALL: usize = 12;

/// A run that may be preempted.
#[derive(Debug, Clone)]
struct Victim {
    worker: WorkerId,
    task: TaskKey,
    charge: Resources,
    /// Resources that count against the limit of its team.
    need: Resources,
    team: Option<TeamId>,
    /// Its job must run on to meet its objective.
    no_slack: bool,
    priority: u32,
}

/// Runs on one worker or of one team.
#[derive(Debug, Default)]
struct Runs {
    /// Resources of the runs that are being stopped: what they reserve on a worker, or what counts
    /// against the limit of a team.
    ending: Resources,
    /// Those that may be preempted, by worker and task.
    victims: Vec<Victim>,
}

impl Runs {
    /// Those that work of a priority may preempt.
    fn less_urgent_than(&self, priority: u32) -> impl Iterator<Item = &Victim> {
        self.victims.iter().filter(move |victim| victim.priority > priority)
    }
}

/// Runs that may be preempted, collected for all steps of a round: each run is examined at most once
/// for its worker and once for its team, however many urgent steps wait.
#[derive(Debug, Default)]
pub(crate) struct PreemptibleRuns {
    by_worker: BTreeMap<WorkerId, Runs>,
    by_team: BTreeMap<TeamId, Runs>,
}

impl PreemptibleRuns {
    /// Records that a run is being stopped.
    fn stopped(&mut self, victim: &Victim) {
        let is_other = |other: &Victim| other.task != victim.task || other.worker != victim.worker;
        if let Some(runs) = self.by_worker.get_mut(&victim.worker) {
            runs.ending = runs.ending.plus(&victim.charge);
            runs.victims.retain(is_other);
        }
        if let Some(runs) = victim.team.as_ref().and_then(|team| self.by_team.get_mut(team)) {
            runs.ending = runs.ending.plus(&victim.need);
            runs.victims.retain(is_other);
        }
    }

    /// Forgets all runs, since some were stopped for another reason.
    pub(crate) fn clear(&mut self) {
        self.by_worker.clear();
        self.by_team.clear();
    }
}

impl Cell {
    /// Stops less urgent tasks so that `tasks` tasks of a step soon find free resources.
    pub(crate) fn preempt(&mut self, waiting: &WaitingStep<'_>, tasks: usize) {
        let WaitingStep { key, spec, queue, now, .. } = *waiting;
        // Steps ranked before this one in the same round also wait for free resources.
        self.urgent_demand = self.urgent_demand.plus(&spec.charge().times(tasks as u64));
        let mut shortfall = self.urgent_demand;
        let Some(step) = self.step_mut(key) else {
            return;
        };
        if now < step.preempt_after_ms || step.advice.allowed_workers().next().is_none() {
            return;
        }
        step.preempt_after_ms = now + PREEMPTION_INTERVAL_MS;
        let Some(step) = self.step(key) else {
            return;
        };
        // Free resources on workers that the advisor has not denied are used before any run is
        // stopped.
        let rule = self.speed_rule(waiting);
        let fitting_tasks: u64 = self
            .workers_with_room(&queue.service, spec.charge())
            .filter(|(id, worker)| !step.advice.is_denied(id, worker.incarnation_unix_ms))
            .inspect(|_| count(&self.work.workers, 1))
            .filter(|(_, worker)| worker.accepts(queue, spec, now) && rule.may_use(worker))
            .map(|(_, worker)| worker.slots(key, spec))
            .sum();
        let likely_tasks = (fitting_tasks as f64 * ALLOW_PROBABILITY) as u64;
        shortfall = shortfall.minus(&spec.charge().times(likely_tasks));
        if shortfall.cpu_milli == 0 {
            return;
        }
        let mut preemptible = std::mem::take(&mut self.round.preemptible);
        let Some(step) = self.step(key) else { return };
        let mut victims = Vec::new();
        for id in step.advice.allowed_workers() {
            let Some(worker) = self.workers.get(id) else { continue };
            count(&self.work.workers, 1);
            if !worker.accepts(queue, spec, now) || !rule.may_use(worker) {
                continue;
            }
            let runs = preemptible
                .by_worker
                .entry(id.clone())
                .or_insert_with(|| self.runs_of_worker(id, worker, now));
            // Resources of runs that are being stopped become free anyway.
            shortfall = shortfall.minus(&runs.ending);
            victims.extend(runs.less_urgent_than(queue.priority).cloned());
        }
        let is_slow =
            |id: &WorkerId| self.workers.get(id).is_some_and(|worker| rule.is_slow(worker));
        victims.sort_by_key(|victim| {
            let charge = std::cmp::Reverse(victim.charge.cpu_milli);
            (is_slow(&victim.worker), victim.no_slack, charge)
        });
        for victim in victims.into_iter().take(MAX_STOPS_PER_CALL) {
            if shortfall.cpu_milli == 0 {
                break;
            }
            shortfall = shortfall.minus(&victim.charge);
            self.count_preemption(&victim.task);
            self.stop_run(&victim.worker, &victim.task, "room for urgent work", now);
            preemptible.stopped(&victim);
        }
        self.round.preemptible = preemptible;
    }

    /// Stops less urgent tasks of the same team, so that `tasks` tasks of a step fit its limit.
    ///
    /// Load pattern: a burst of urgent jobs of a team whose long jobs use up its limit, while
    /// workers have free resources.
    pub(crate) fn preempt_within_team(
        &mut self,
        key: &StepKey,
        spec: &StepSpec,
        queue: &QueuePolicy,
        tasks: usize,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(team) = job.record.team.clone() else { return };
        let Some(step) = self.step_mut(key) else { return };
        if now < step.preempt_after_ms {
            return;
        }
        step.preempt_after_ms = now + PREEMPTION_INTERVAL_MS;
        let mut shortfall = self.excess_over_limit(&team, &spec.need.times(tasks as u64));
        let mut preemptible = std::mem::take(&mut self.round.preemptible);
        let runs = preemptible
            .by_team
            .entry(team.clone())
            .or_insert_with(|| self.runs_of_team(&team, now));
        shortfall = shortfall.minus(&runs.ending);
        let mut victims: Vec<Victim> = runs.less_urgent_than(queue.priority).cloned().collect();
        victims.sort_by_key(|victim| (victim.no_slack, std::cmp::Reverse(victim.need.cpu_milli)));
        for victim in victims.into_iter().take(MAX_STOPS_PER_CALL) {
            if shortfall == Resources::ZERO {
                break;
            }
            shortfall = shortfall.minus(&victim.need);
            self.count_preemption(&victim.task);
            self.stop_run(&victim.worker, &victim.task, "urgent work of the same team", now);
            preemptible.stopped(&victim);
        }
        self.round.preemptible = preemptible;
    }

    /// Resources by which a team would exceed its limit if it used `more` in addition.
    fn excess_over_limit(&self, team: &TeamId, more: &Resources) -> Resources {
        let limit = self.policy.teams.get(team).map(|policy| policy.limit).unwrap_or_default();
        let used = self.used_by_team.get(team).copied().unwrap_or_default().plus(more);
        let over = |limit: u64, used: u64| if limit == 0 { 0 } else { used.saturating_sub(limit) };
        Resources {
            cpu_milli: over(limit.cpu_milli, used.cpu_milli),
            mem_mb: over(limit.mem_mb, used.mem_mb),
            accels: over(limit.accels, used.accels),
        }
    }

    fn runs_of_worker(&self, id: &WorkerId, worker: &Worker, now: Millis) -> Runs {
        let mut runs = Runs::default();
        count(&self.work.runs, worker.runs.len());
        for (task, run) in &worker.runs {
            if is_ending(run) {
                runs.ending = runs.ending.plus(&run.charge);
            }
            runs.victims.extend(self.victim(id, task, run, now));
        }
        runs
    }

    fn runs_of_team(&self, team: &TeamId, now: Millis) -> Runs {
        let mut runs = Runs::default();
        count(&self.work.workers, self.workers.len());
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.reachable) {
            for (task, run) in &worker.runs {
                if run.team.as_ref() != Some(team) {
                    continue;
                }
                count(&self.work.runs, 1);
                if is_ending(run) {
                    runs.ending = runs.ending.plus(&run.need);
                }
                runs.victims.extend(self.victim(id, task, run, now));
            }
        }
        runs
    }

    /// The run as one that may be preempted by work of a higher priority; none if it may not be.
    fn victim(&self, id: &WorkerId, task: &TaskKey, run: &Run, now: Millis) -> Option<Victim> {
        if run.state != RunState::Running || now.since(run.started_ms) < MIN_RUN_MS {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.step(task)?;
        let preemptible = spec.checkpoints
            && !spec.long_running
            && !spec.gang
            && !spec.uses_idle_cpu
            && spec.max_unavailable.is_none();
        let preemptions = job.task(task).map_or(0, |task| task.preemptions);
        (preemptible && preemptions < MAX_PREEMPTIONS).then(|| Victim {
            worker: id.clone(),
            task: task.clone(),
            charge: run.charge,
            need: run.need,
            team: run.team.clone(),
            no_slack: job.outlook == Outlook::InTime,
            priority: Cell::queue_policy(&self.policy, &job.record).priority,
        })
    }

    fn count_preemption(&mut self, key: &TaskKey) {
        let step = self.step_mut(&key.step);
        if let Some(task) = step.and_then(|step| step.tasks.get_mut(key.index)) {
            task.preemptions += 1;
        }
    }
}

fn is_ending(run: &Run) -> bool {
    matches!(run.state, RunState::Stopping | RunState::Stopped)
}
