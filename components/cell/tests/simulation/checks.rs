//! Invariants, checked from what the workers and the store see.

use std::collections::{BTreeMap, BTreeSet};

use cell::{
    EndedRun, Ending, FinalState, JobRecord, Policy, Progress, StartOrder, StepKey, TaskKey,
};
use types::{DomainId, JobId, Millis, QueueId, Resources, TeamId, WorkerId};

use super::worker::Worker;

/// Time after a cancellation within which tasks may still start.
const CANCEL_MS: Millis = Millis(3_000);
/// Time after the acceptance of a job from which on it counts as pending until a task has begun.
const PENDING_MS: Millis = Millis(5_000);
/// Time after a request to evacuate a domain within which tasks may still start there: the platform's
/// bound.
const EVACUATION_MS: Millis = Millis(5_000);
/// Crashes of workers under a task from which on its further starts count.
const COUNTED_CRASHES: usize = 3;
/// Starts after these crashes that are too many.
const MAX_LATER_STARTS: usize = 3;
/// Crashes of workers under a task after which its job may be given up.
const MIN_CRASHES: usize = 2;

#[derive(Default)]
struct TaskHistory {
    running: BTreeSet<WorkerId>,
    attempts: BTreeMap<WorkerId, u32>,
    done: bool,
    done_acked: bool,
    /// Failed runs: time, attempt number, and whether the end was acknowledged.
    failed: Vec<(Millis, u32, bool)>,
    /// The same of runs that ended as done.
    done_ends: Vec<(Millis, u32, bool)>,
    starts: Vec<Millis>,
    /// Times at which it started and crashed its worker.
    crashes: Vec<Millis>,
}

pub struct Checks {
    policy: Policy,
    jobs: BTreeMap<JobId, JobRecord>,
    cancelled: BTreeMap<JobId, Millis>,
    /// Jobs of which no task has begun, and when they were accepted.
    waiting: BTreeMap<JobId, Millis>,
    tasks: BTreeMap<TaskKey, TaskHistory>,
    used: BTreeMap<TeamId, Resources>,
    gangs: BTreeMap<StepKey, Millis>,
    gangs_done: BTreeSet<(StepKey, u32)>,
    history: BTreeMap<TaskKey, Vec<String>>,
    pub stored_ends: BTreeMap<JobId, FinalState>,
    /// Time at which the end of a job was stored.
    pub ended_ms: BTreeMap<JobId, Millis>,
    /// Evacuated domains, and since when the store has the request.
    evacuated: BTreeMap<DomainId, Millis>,
    /// Longest time from a request to a start in the domain.
    pub last_start_after_ms: Millis,
    /// Number of failed runs by worker.
    pub failed_on: BTreeMap<WorkerId, u32>,
    /// Runs that ended as done: task, worker and run time.
    pub done_runs: Vec<(TaskKey, WorkerId, Millis)>,
    /// Invariants that were violated.
    pub violations: Vec<String>,
    pub starts: u64,
    pub gang_incomplete: u64,
    /// Runs of cancelled jobs that went on too long.
    overdue_runs: BTreeSet<(TaskKey, u32)>,
}

impl Checks {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            jobs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            waiting: BTreeMap::new(),
            tasks: BTreeMap::new(),
            used: BTreeMap::new(),
            gangs: BTreeMap::new(),
            gangs_done: BTreeSet::new(),
            history: BTreeMap::new(),
            stored_ends: BTreeMap::new(),
            ended_ms: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            last_start_after_ms: Millis(0),
            failed_on: BTreeMap::new(),
            done_runs: Vec::new(),
            violations: Vec::new(),
            starts: 0,
            gang_incomplete: 0,
            overdue_runs: BTreeSet::new(),
        }
    }

    pub fn submitted(&mut self, record: &JobRecord, now: Millis) {
        self.jobs.insert(record.id.clone(), record.clone());
        self.waiting.insert(record.id.clone(), now);
    }

    pub fn cancelled(&mut self, id: &JobId, now: Millis) {
        self.cancelled.entry(id.clone()).or_insert(now);
        self.waiting.remove(id);
    }

    /// Time at which the cancellation of a job was acknowledged.
    pub fn cancelled_ms(&self, id: &JobId) -> Option<Millis> {
        self.cancelled.get(id).copied()
    }

    /// Records that a run goes on too long after its job's cancellation.
    pub fn runs_though_cancelled(&mut self, key: &TaskKey, attempt: u32, now: Millis) {
        if self.overdue_runs.insert((key.clone(), attempt)) {
            let cancelled_ms = self.cancelled_ms(&key.step.job);
            let what = format!("{key} run {attempt}, cancelled at {cancelled_ms:?}");
            let what = format!("{what}: {:?}", self.history[key]);
            self.record_violation("runs on after cancellation", &what, now);
        }
    }

    /// Records the number of pending jobs of a queue as a leader gives it.
    pub fn pending_given(&mut self, queue: &QueueId, pending: usize, now: Millis) {
        let is_pending = |(id, accepted_ms): &(&JobId, &Millis)| {
            let record = &self.jobs[*id];
            record.queue == *queue
                && record.spec.recurrence.is_none()
                && now.since(**accepted_ms) > PENDING_MS
        };
        let waiting = self.waiting.iter().filter(is_pending).count();
        if pending * 2 < waiting {
            let what = format!("{pending} of {queue}, but {waiting} jobs have not begun");
            self.record_violation("too few pending jobs", &what, now);
        }
    }

    /// Records that the store has a request to evacuate a domain.
    pub fn evacuated(&mut self, domain: &DomainId, now: Millis) {
        self.evacuated.entry(domain.clone()).or_insert(now);
    }

    /// Records that the request for a domain was removed.
    pub fn returned(&mut self, domain: &DomainId) {
        self.evacuated.remove(domain);
    }

    fn record_violation(&mut self, rule: &str, what: &str, now: Millis) {
        self.violations.push(format!("{rule} at {now}: {what}"));
    }

    pub fn started(&mut self, worker: &Worker, order: &StartOrder, used: Resources, now: Millis) {
        self.starts += 1;
        let key = &order.task;
        self.waiting.remove(&key.step.job);
        let what = format!("{key} run {} on {}", order.attempt, worker.id);
        self.log(key, format!("{now} started {} on {}", order.attempt, worker.id));
        let what = format!("{what}: {:?}", self.history[key]);
        if worker.is_overfilled(&used, now) {
            self.record_violation("over the capacity of the worker", &what, now);
        }
        let since = worker.domain.as_ref().and_then(|domain| self.evacuated.get(domain));
        if let Some(after_ms) = since.map(|since| now.since(*since)) {
            self.last_start_after_ms = self.last_start_after_ms.max(after_ms);
            if after_ms > EVACUATION_MS {
                self.record_violation("started in an evacuated domain", &what, now);
            }
        }
        let record = self.jobs.get(&key.step.job).cloned();
        let Some(record) = record else {
            self.record_violation("unknown job", &what, now);
            return;
        };
        if let Some(at) = self.cancelled_ms(&key.step.job).filter(|at| now.since(*at) > CANCEL_MS) {
            let what = format!("{what}, cancelled at {at}");
            self.record_violation("started after cancellation", &what, now);
        }
        let spec = &record.spec.steps[usize::from(key.step.step)];
        for earlier in &spec.after {
            let count = record.spec.steps[usize::from(*earlier)].tasks;
            let step = StepKey { step: *earlier, ..key.step.clone() };
            let done = (0..count).all(|index| {
                let task = TaskKey { step: step.clone(), index };
                self.tasks.get(&task).is_some_and(|seen| seen.done)
            });
            if !done {
                self.record_violation("started before an earlier step was done", &what, now);
            }
        }
        let seen = self.tasks.entry(key.clone()).or_default();
        let runs_twice = !seen.running.is_empty();
        let after_done = seen.done_acked;
        let later_starts = match seen.crashes.get(COUNTED_CRASHES - 1) {
            Some(counted) => seen.starts.iter().filter(|at| **at > *counted).count() + 1,
            None => 0,
        };
        seen.starts.push(now);
        seen.running.insert(worker.id.clone());
        seen.attempts.insert(worker.id.clone(), order.attempt);
        if runs_twice {
            self.record_violation("runs twice at the same time", &what, now);
        }
        if later_starts >= MAX_LATER_STARTS {
            self.record_violation("started again and again, and crashes its workers", &what, now);
        }
        if after_done {
            self.record_violation("started after its end was acknowledged", &what, now);
        }
        if spec.gang {
            let members = (0..spec.tasks).all(|index| {
                let task = TaskKey { step: key.step.clone(), index };
                self.tasks.get(&task).is_some_and(|seen| {
                    seen.running.len() == 1 && seen.attempts.values().any(|a| *a == order.attempt)
                })
            });
            if members {
                self.gangs.insert(key.step.clone(), now);
            }
        }
        if let Some(team) = &record.team {
            let sum = self.used.entry(team.clone()).or_default();
            *sum = sum.plus(&spec.need);
            let sum = *sum;
            let limit = self.policy.teams.get(team).map(|policy| policy.limit).unwrap_or_default();
            let allowed = limit.cpu_milli + limit.cpu_milli / 10 + spec.need.cpu_milli;
            if limit.cpu_milli > 0 && sum.cpu_milli > allowed {
                self.record_violation("over the limit of the team", &what, now);
            }
        }
    }

    /// Records that a leader has ordered a start although it knew that the job was cancelled.
    pub fn started_though_cancelled(&mut self, order: &StartOrder, now: Millis) {
        let what = format!("{} on {}", order.task, order.worker);
        self.record_violation("started by a leader that knew of the cancellation", &what, now);
    }

    /// Records that a task crashes the worker that has started it.
    pub fn crashed_under(&mut self, key: &TaskKey, now: Millis) {
        self.log(key, format!("{now} crashes its worker"));
        self.tasks.entry(key.clone()).or_default().crashes.push(now);
    }

    /// Number of crashes of workers under tasks.
    pub fn crashes(&self) -> usize {
        self.tasks.values().map(|seen| seen.crashes.len()).sum()
    }

    /// Whether any task of a job has ever started.
    pub fn has_started(&self, id: &JobId) -> bool {
        self.tasks.iter().any(|(key, seen)| key.step.job == *id && !seen.starts.is_empty())
    }

    /// Whether all tasks of a job are done.
    pub fn is_done(&self, id: &JobId) -> bool {
        self.all_tasks(id, &|seen| seen.done)
    }

    /// Whether all tasks of a step are done.
    pub fn is_step_done(&self, id: &JobId, step: u16) -> bool {
        let tasks = self.jobs[id].spec.steps[usize::from(step)].tasks;
        let key = StepKey { job: id.clone(), occurrence: 0, step };
        (0..tasks).all(|index| {
            let task = TaskKey { step: key.clone(), index };
            self.tasks.get(&task).is_some_and(|seen| seen.done)
        })
    }

    /// Whether a task is done.
    pub fn is_task_done(&self, key: &TaskKey) -> bool {
        self.tasks.get(key).is_some_and(|seen| seen.done)
    }

    /// Whether a task of a job has failed as often as its queue allows.
    pub fn has_used_up_attempts(&self, id: &JobId) -> bool {
        let Some(record) = self.jobs.get(id) else { return false };
        let most = record.policy.max_attempts as usize;
        self.tasks.iter().any(|(key, seen)| key.step.job == *id && seen.failed.len() >= most)
    }

    /// Number of tasks of a job that are done.
    pub fn done_tasks(&self, id: &JobId) -> usize {
        self.tasks.iter().filter(|(key, seen)| key.step.job == *id && seen.done).count()
    }

    fn all_tasks(&self, id: &JobId, test: &dyn Fn(&TaskHistory) -> bool) -> bool {
        let Some(record) = self.jobs.get(id) else { return false };
        (0u16..).zip(&record.spec.steps).all(|(step, spec)| {
            (0..spec.tasks).all(|index| {
                let step = StepKey { job: id.clone(), occurrence: 0, step };
                self.tasks.get(&TaskKey { step, index }).is_some_and(test)
            })
        })
    }

    /// Checks the invariants that can be judged only after the schedule: a run counts once its end is
    /// acknowledged, which may be after the next start of its task.
    pub fn finish(&mut self) {
        let mut over = Vec::new();
        for (key, seen) in &self.tasks {
            let record = &self.jobs[&key.step.job];
            let spec = &record.spec.steps[usize::from(key.step.step)];
            let is_done_before =
                |at: &Millis| seen.done_ends.iter().any(|(ended, _, acked)| *acked && ended < at);
            if seen.starts.iter().any(is_done_before) {
                over.push(format!("started after it was done: {key} {:?}", self.history[key]));
            }
            let most = record.policy.max_attempts as usize;
            let counted = |at: Millis| {
                seen.failed.iter().filter(|(ended, _, acked)| *acked && *ended < at).count()
            };
            let beyond = seen.starts.iter().any(|at| counted(*at) >= most);
            if beyond && !spec.gang && !spec.long_running {
                over.push(format!(
                    "started after its attempts were used up: {key} {:?}",
                    self.history[key]
                ));
            }
        }
        self.violations.extend(over);
    }

    /// History of the tasks of a job, for the report of a job that did not end.
    pub fn describe_tasks(&self, id: &JobId) -> Vec<String> {
        let of_job = |(key, _): &(&TaskKey, &Vec<String>)| key.step.job == *id;
        let mut lines: Vec<String> =
            self.history.iter().filter(of_job).map(|(key, log)| format!("{key} {log:?}")).collect();
        lines.push(format!("{:?}", self.jobs.get(id)));
        lines
    }

    /// Adds an entry to the history of a task, for the report of a violation.
    pub fn log(&mut self, key: &TaskKey, what: String) {
        self.history.entry(key.clone()).or_default().push(what);
    }

    pub fn ended(
        &mut self,
        worker: &WorkerId,
        key: &TaskKey,
        attempt: u32,
        ending: Ending,
        now: Millis,
    ) {
        self.log(key, format!("{now} ended {ending:?} {attempt} on {worker}"));
        self.run_removed(worker, key);
        if ending == Ending::Failed {
            *self.failed_on.entry(worker.clone()).or_default() += 1;
        }
        let seen = self.tasks.entry(key.clone()).or_default();
        match ending {
            Ending::Done => {
                seen.done = true;
                seen.done_ends.push((now, attempt, false));
            }
            Ending::Failed => seen.failed.push((now, attempt, false)),
            Ending::GangIncomplete => self.gang_incomplete += 1,
            Ending::Stopped | Ending::LeaseExpired | Ending::GangMemberEnded => {}
        }
    }

    /// Records that a run is no longer on a worker.
    pub fn run_removed(&mut self, worker: &WorkerId, key: &TaskKey) {
        let Some(seen) = self.tasks.get_mut(key) else { return };
        if !seen.running.remove(worker) {
            return;
        }
        self.gangs.remove(&key.step);
        let record = &self.jobs[&key.step.job];
        if let Some(team) = &record.team {
            let need = record.spec.steps[usize::from(key.step.step)].need;
            let sum = self.used.entry(team.clone()).or_default();
            *sum = sum.minus(&need);
        }
    }

    pub fn acknowledged(&mut self, end: &EndedRun, now: Millis) {
        self.log(&end.task, format!("{now} acknowledged {:?} {}", end.ending, end.attempt));
        let seen = self.tasks.entry(end.task.clone()).or_default();
        if end.ending == Ending::Done {
            seen.done_acked = true;
        }
        let ends = seen.failed.iter_mut().chain(&mut seen.done_ends);
        for counted in ends.filter(|(_, attempt, _)| *attempt == end.attempt) {
            counted.2 = true;
        }
    }

    pub fn stored(&mut self, progress: &Progress, now: Millis) {
        let Some(end) = progress.ended else { return };
        let record = self.jobs[&progress.id].clone();
        self.stored_ends.insert(progress.id.clone(), end);
        self.waiting.remove(&progress.id);
        self.ended_ms.entry(progress.id.clone()).or_insert(now);
        let tasks = |test: &dyn Fn(&TaskHistory) -> bool, any: bool| {
            let mut keys = (0u16..).zip(&record.spec.steps).flat_map(|(step, spec)| {
                let id = record.id.clone();
                (0..spec.tasks).map(move |index| TaskKey {
                    step: StepKey { job: id.clone(), occurrence: 0, step },
                    index,
                })
            });
            let holds = |key: TaskKey| self.tasks.get(&key).is_some_and(test);
            if any { keys.any(holds) } else { keys.all(holds) }
        };
        let wrong = match end {
            FinalState::Completed => !tasks(&|seen| seen.done, false),
            FinalState::Failed => !tasks(
                &|seen| {
                    seen.failed.len() >= record.policy.max_attempts as usize
                        || seen.crashes.len() >= MIN_CRASHES
                },
                true,
            ),
            FinalState::Cancelled => !self.cancelled.contains_key(&progress.id),
        };
        if wrong {
            self.record_violation("wrong final state", &format!("{} as {end:?}", progress.id), now);
        }
    }

    fn spec_is_gang(&self, key: &TaskKey) -> bool {
        self.jobs
            .get(&key.step.job)
            .is_some_and(|record| record.spec.steps[usize::from(key.step.step)].gang)
    }

    pub fn is_gang(&self, key: &TaskKey) -> bool {
        self.spec_is_gang(key)
    }

    pub fn gang_since(&self, key: &TaskKey) -> Option<Millis> {
        self.gangs.get(&key.step).copied()
    }

    pub fn gang_done(&mut self, key: &TaskKey) {
        let attempt =
            self.tasks.get(key).and_then(|seen| seen.attempts.values().max().copied()).unwrap_or(0);
        self.gangs_done.insert((key.step.clone(), attempt));
        let record = self.jobs[&key.step.job].clone();
        for index in 0..record.spec.steps[usize::from(key.step.step)].tasks {
            let task = TaskKey { step: key.step.clone(), index };
            self.tasks.entry(task).or_default().done = true;
        }
    }

    pub fn gang_was_done(&self, key: &TaskKey, attempt: u32) -> bool {
        self.gangs_done.contains(&(key.step.clone(), attempt))
    }
}
