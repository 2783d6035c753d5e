//! In-memory state of accepted jobs.

use std::collections::BTreeMap;
use std::rc::Rc;

use libs::compact_str::CompactString;
use types::{Millis, WorkerId};

use crate::advice::StepAdvice;
use crate::model::{
    FinalState, JobRecord, JobStatus, LostRun, MAX_TASKS, Progress, StepProgress, StepSpec,
    TaskKey, TaskLosses,
};
use crate::ranking::Outlook;
use crate::tasks::Tasks;

/// Phase of a task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) enum Phase {
    /// Not running anywhere.
    #[default]
    Waiting,
    /// Assigned to a worker, where it runs or may run.
    Placed(WorkerId),
    /// Known to be done.
    Done,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) phase: Phase,
    /// Attempt number of the last run; 0 before the first.
    pub(crate) attempt: u32,
    /// Attempt numbers of the failed runs.
    pub(crate) failed: Vec<u32>,
    /// Its last runs, if they were lost with their workers.
    pub(crate) losses: Vec<LostRun>,
    pub(crate) checkpoint: CompactString,
    /// Times that it was preempted by more urgent work.
    pub(crate) preemptions: u32,
    /// Times that it was stopped since it made no progress.
    pub(crate) stalls: u32,
    /// Earliest time of the next start.
    pub(crate) not_before_ms: Millis,
    /// Time since which it has been seen to wait, once it has started.
    pub(crate) waits_since_ms: Option<Millis>,
}

/// How long a step has had neither a start nor a turn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waited {
    pub(crate) total_ms: Millis,
    /// Part of that before this leader's term.
    pub(crate) before_term_ms: Millis,
}

/// One step of one occurrence.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) tasks: Tasks,
    pub(crate) done: u32,
    /// Number of tasks in phase `Waiting`.
    pub(crate) waiting: u32,
    pub(crate) advice: StepAdvice,
    /// Time at which the earlier steps were done.
    pub(crate) ready_ms: Option<Millis>,
    /// The earlier steps were done when this leader learned of it.
    was_ready: bool,
    /// Longest time that it may have waited before this leader found it ready.
    pub(crate) waited_before_ms: Millis,
    /// Time of the last start of a task.
    pub(crate) last_start_ms: Millis,
    /// Time since which the tasks that have never started have been seen to wait.
    pub(crate) waits_since_ms: Option<Millis>,
    /// Last line in the log on why its tasks wait.
    pub(crate) wait_logged_ms: Option<Millis>,
    /// End of its last turn before others.
    pub(crate) turn_ended_ms: Millis,
    /// Earliest time at which tasks may be preempted for it.
    pub(crate) preempt_after_ms: Millis,
    /// No former leader can have started it, so it need not wait for recovery.
    pub(crate) never_started: bool,
    /// A task of it has been lost with its worker.
    pub(crate) has_losses: bool,
    /// Learned run time of a task; none if nothing is learned.
    pub(crate) forecast: Option<run_times::Forecast>,
}

impl Step {
    fn new(tasks: u32) -> Self {
        Self { tasks: Tasks::new(tasks), waiting: tasks, ..Self::default() }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Records that it is ready; the job was due `age_ms` ago. What it has had from former leaders is not known,
    /// so that it counts as waiting since then, unless it became ready only now.
    pub(crate) fn set_ready(&mut self, age_ms: Millis, now: Millis) {
        if self.ready_ms.is_none() {
            self.ready_ms = Some(now);
            self.waited_before_ms = if self.was_ready { age_ms } else { Millis(0) };
        }
    }

    /// How long its waiting tasks have had neither a start nor a turn.
    pub(crate) fn waited(&self, now: Millis) -> Waited {
        let served_ms = self.last_start_ms.max(self.turn_ended_ms);
        let ready_ms = self.ready_ms.unwrap_or_default();
        if served_ms > ready_ms {
            return Waited { total_ms: now.since(served_ms), before_term_ms: Millis(0) };
        }
        let before_term_ms = self.waited_before_ms;
        Waited { total_ms: now.since(ready_ms) + before_term_ms, before_term_ms }
    }

    /// Moves a task to another phase and updates the counts.
    pub(crate) fn set_phase(&mut self, index: u32, phase: Phase) {
        let Some(task) = self.tasks.get(index) else { return };
        let count = |phase: &Phase| match phase {
            Phase::Waiting => (1, 0),
            Phase::Placed(_) => (0, 0),
            Phase::Done => (0, 1),
        };
        let (was_waiting, was_done) = count(&task.phase);
        let (is_waiting, is_done) = count(&phase);
        self.waiting = self.waiting + is_waiting - was_waiting;
        self.done = self.done + is_done - was_done;
        self.tasks.set_phase(index, phase);
    }
}

/// One occurrence of a job.
#[derive(Debug)]
pub(crate) struct Occurrence {
    pub(crate) steps: Vec<Step>,
    /// None if nothing is learned of its steps.
    pub(crate) learned: Option<LearnedPath>,
}

/// Run times along the steps of an occurrence, by what is learned.
#[derive(Debug)]
pub(crate) struct LearnedPath {
    /// Run time of the critical path.
    pub(crate) critical_path_ms: Millis,
    /// Work left on the longest chain that begins with each step.
    pub(crate) left_from_ms: Vec<Millis>,
    /// The same by 90th percentiles.
    pub(crate) high_left_from_ms: Vec<Millis>,
}

impl Occurrence {
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }
}

/// Steps and tasks that wait for a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WaitingWork {
    pub(crate) steps: usize,
    pub(crate) tasks: u64,
}

impl WaitingWork {
    /// Up to this much of one job, further occurrences are opened: as many tasks as one occurrence may have,
    /// and steps that take some hundred kilobytes.
    pub(crate) const USUAL_LIMIT: Self = Self { steps: 1_000, tasks: MAX_TASKS };
    /// The limit while memory is short.
    pub(crate) const NONE: Self = Self { steps: 0, tasks: 0 };

    fn is_below(&self, limit: &Self) -> bool {
        self.steps < limit.steps && self.tasks < limit.tasks
    }
}

/// Memory of a step of an open occurrence, without its tasks, in bytes.
pub(crate) const STEP_BYTES: u64 = size_of::<Step>() as u64;

/// An accepted job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) record: Rc<JobRecord>,
    /// Memory of the record and of what does not change with its progress, in bytes.
    record_bytes: u64,
    pub(crate) ended: Option<FinalState>,
    /// The final state is stored.
    pub(crate) end_stored: bool,
    /// Time at which the end became known; the retention time starts here.
    pub(crate) ended_ms: Millis,
    /// Time at which this leader learned of it.
    pub(crate) known_ms: Millis,
    /// Accepted before this process became the leader.
    pub(crate) inherited: bool,
    /// A worker has begun one of its tasks.
    pub(crate) has_begun: bool,
    /// Occurrences that are open, by number.
    pub(crate) open_occurrences: BTreeMap<u32, Occurrence>,
    /// Numbers of the occurrences that are done, all below `next_occurrence`.
    pub(crate) done_occurrences: Vec<u32>,
    /// Number of the next occurrence to open.
    pub(crate) next_occurrence: u32,
    /// Declared run time of the critical path; the objective derives from it.
    pub(crate) critical_path_ms: Millis,
    /// Declared run time of the longest chain that begins with each step.
    pub(crate) left_from_ms: Vec<Millis>,
    /// It exceeded the share of its team on acceptance.
    pub(crate) over_share: bool,
    /// Outlook when it was last ranked.
    pub(crate) outlook: Outlook,
}

impl Job {
    pub(crate) fn new(record: JobRecord, known_ms: Millis) -> Self {
        let critical_path_ms = critical_path(&record);
        let declared: Vec<Millis> = record.spec.steps.iter().map(|step| step.estimate_ms).collect();
        let left_from_ms = chains(&record.spec.steps, &declared);
        let mut job = Self {
            record_bytes: record.spec.record_bytes(),
            record: Rc::new(record),
            ended: None,
            end_stored: false,
            ended_ms: Millis(0),
            known_ms,
            inherited: false,
            has_begun: false,
            open_occurrences: BTreeMap::new(),
            done_occurrences: Vec::new(),
            next_occurrence: 0,
            critical_path_ms,
            left_from_ms,
            over_share: false,
            outlook: Outlook::InTime,
        };
        if job.record.spec.recurrence.is_none() {
            job.open_next();
        }
        job
    }

    /// Total number of occurrences.
    pub(crate) fn occurrence_count(&self) -> u32 {
        self.record.spec.recurrence.map_or(1, |recurrence| recurrence.occurrences)
    }

    /// Due time of an occurrence in Unix milliseconds.
    pub(crate) fn due_unix_ms(&self, occurrence: u32) -> u64 {
        match self.record.spec.recurrence {
            None => self.record.accepted_unix_ms,
            Some(recurrence) => {
                let after_ms = recurrence.interval_ms.0.saturating_mul(u64::from(occurrence));
                recurrence.first_unix_ms.saturating_add(after_ms)
            }
        }
    }

    /// Due time of an occurrence, which is `unix_ms` or earlier: the clock of the process that accepted the job may
    /// be ahead. Both are Unix milliseconds.
    pub(crate) fn due_by(&self, occurrence: u32, unix_ms: Millis) -> Millis {
        unix_ms.min(Millis(self.due_unix_ms(occurrence)))
    }

    pub(crate) fn open_next(&mut self) {
        let steps = self.record.spec.steps.iter().map(|step| Step::new(step.tasks)).collect();
        self.open_occurrences.insert(self.next_occurrence, Occurrence { steps, learned: None });
        self.next_occurrence += 1;
    }

    /// Opens occurrences that are due, oldest first: one if no open one has tasks that wait, and further
    /// ones while less work than `limit` waits.
    ///
    /// Load pattern: thousands of occurrences are due at once, since the job was submitted after its due
    /// times or could not run for long. All of them would take more memory than a leader has.
    pub(crate) fn open_due(&mut self, limit: WaitingWork, unix_ms: u64) {
        let mut waiting = self.waiting_work();
        while self.ended.is_none()
            && self.next_occurrence < self.occurrence_count()
            && self.due_unix_ms(self.next_occurrence) <= unix_ms
            && (waiting.tasks == 0 || waiting.is_below(&limit))
        {
            self.open_next();
            waiting.steps += self.record.spec.steps.len();
            waiting.tasks += self.record.spec.tasks();
        }
    }

    /// Steps and tasks of open occurrences that wait for a worker.
    fn waiting_work(&self) -> WaitingWork {
        let open = self.open_occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let waiting = open.filter(|step| step.waiting > 0);
        waiting.fold(WaitingWork::default(), |sum, step| WaitingWork {
            steps: sum.steps + 1,
            tasks: sum.tasks + u64::from(step.waiting),
        })
    }

    /// Opens all occurrences up to one that has been found in progress, or has been stored.
    pub(crate) fn open_up_to(&mut self, occurrence: u32) {
        while self.ended.is_none()
            && self.next_occurrence <= occurrence
            && self.next_occurrence < self.occurrence_count()
        {
            self.open_next();
        }
    }

    /// Memory that the job takes, in bytes.
    pub(crate) fn memory_bytes(&self) -> u64 {
        let open = self.open_occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let steps: u64 = open.map(|step| STEP_BYTES + step.tasks.memory_bytes()).sum();
        let done = size_of_val(self.done_occurrences.as_slice()) as u64;
        self.record_bytes + steps + done
    }

    /// Closes an occurrence if all its steps are done. Returns whether the job is complete.
    pub(crate) fn close_if_done(&mut self, occurrence: u32) -> bool {
        if self.open_occurrences.get(&occurrence).is_some_and(Occurrence::is_done) {
            self.open_occurrences.remove(&occurrence);
            self.done_occurrences.push(occurrence);
        }
        self.open_occurrences.is_empty()
            && self.done_occurrences.len() as u32 == self.occurrence_count()
    }

    pub(crate) fn status(&self) -> JobStatus {
        match self.ended {
            Some(end) if self.end_stored || end == FinalState::Cancelled => JobStatus::Ended(end),
            _ if self.has_begun => JobStatus::Running,
            _ => JobStatus::Queued,
        }
    }

    /// Marks the steps after `running` as never started, since a run of a former leader was found
    /// for a task of that step that is not done. A gang is done once its first member is, so its
    /// runs prove nothing.
    pub(crate) fn mark_successors_unstarted(&mut self, occurrence: u32, running: u16) {
        let record = self.record.clone();
        let specs = &record.spec.steps;
        if specs.get(usize::from(running)).is_none_or(|spec| spec.gang) {
            return;
        }
        let Some(occurrence) = self.open_occurrences.get_mut(&occurrence) else { return };
        let mut follows = vec![false; specs.len()];
        for (index, spec) in specs.iter().enumerate() {
            let is_successor = spec.after.iter().any(|earlier| {
                *earlier == running || follows.get(usize::from(*earlier)) == Some(&true)
            });
            if let (Some(slot), Some(step)) =
                (follows.get_mut(index), occurrence.steps.get_mut(index))
            {
                *slot = is_successor;
                step.never_started |= is_successor;
            }
        }
    }

    pub(crate) fn step(&self, occurrence: u32, step: u16) -> Option<&Step> {
        self.open_occurrences.get(&occurrence)?.steps.get(usize::from(step))
    }

    pub(crate) fn task(&self, key: &TaskKey) -> Option<&Task> {
        self.step(key.step.occurrence, key.step.step)?.tasks.get(key.index)
    }

    pub(crate) fn step_mut(&mut self, occurrence: u32, step: u16) -> Option<&mut Step> {
        self.open_occurrences.get_mut(&occurrence)?.steps.get_mut(usize::from(step))
    }

    /// Progress to store.
    pub(crate) fn progress(&self) -> Progress {
        let no_steps = |_: &u32| Vec::new();
        let mut occurrences: Vec<(u32, Vec<StepProgress>)> =
            self.done_occurrences.iter().map(|number| (*number, no_steps(number))).collect();
        if self.ended.is_none() {
            occurrences.extend(self.open_occurrences.iter().map(|(number, occurrence)| {
                (*number, occurrence.steps.iter().map(step_progress).collect())
            }));
        }
        let losses = if self.ended.is_none() { self.losses() } else { Vec::new() };
        Progress { id: self.record.id.clone(), ended: self.ended, occurrences, losses }
    }

    /// Losses of the tasks that are not done.
    fn losses(&self) -> Vec<TaskLosses> {
        let mut rows = Vec::new();
        for (number, occurrence) in &self.open_occurrences {
            for (index, step) in (0u16..).zip(&occurrence.steps).filter(|(_, one)| one.has_losses) {
                let lost = step.tasks.started().filter(|(_, task)| !task.losses.is_empty());
                rows.extend(lost.map(|(task_index, task)| TaskLosses {
                    occurrence: *number,
                    step: index,
                    index: task_index,
                    runs: task.losses.clone(),
                }));
            }
        }
        rows
    }

    /// Restores stored progress.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        self.ended = progress.ended;
        self.end_stored = progress.ended.is_some();
        self.has_begun = progress.shows_begun_task();
        for (number, steps) in &progress.occurrences {
            self.open_up_to(*number);
            if steps.is_empty() {
                self.open_occurrences.remove(number);
                self.done_occurrences.push(*number);
                continue;
            }
            let Some(occurrence) = self.open_occurrences.get_mut(number) else { continue };
            for (step, stored) in occurrence.steps.iter_mut().zip(steps) {
                restore_step(step, stored);
            }
        }
        for losses in &progress.losses {
            let Some(step) = self.step_mut(losses.occurrence, losses.step) else { continue };
            step.has_losses = true;
            if let Some(task) = step.tasks.get_mut(losses.index) {
                task.losses.clone_from(&losses.runs);
            }
        }
        if self.ended.is_some() {
            self.open_occurrences.clear();
        }
    }

    /// Records which steps are ready when the job becomes known.
    pub(crate) fn mark_ready_steps(&mut self) {
        for occurrence in self.open_occurrences.values_mut() {
            let done: Vec<bool> = occurrence.steps.iter().map(Step::is_done).collect();
            for (step, spec) in occurrence.steps.iter_mut().zip(&self.record.spec.steps) {
                let is_done = |earlier: &u16| done.get(usize::from(*earlier)) == Some(&true);
                step.was_ready = spec.after.iter().all(is_done);
            }
        }
    }
}

fn step_progress(step: &Step) -> StepProgress {
    let mut progress = StepProgress::default();
    for (index, task) in step.tasks.iter() {
        if task.phase == Phase::Done {
            progress.done.push(index);
            continue;
        }
        if !task.failed.is_empty() {
            progress.failures.push((index, task.failed.clone()));
        }
        if !task.checkpoint.is_empty() {
            progress.checkpoints.push((index, task.checkpoint.clone()));
        }
    }
    progress
}

fn restore_step(step: &mut Step, stored: &StepProgress) {
    for index in &stored.done {
        step.set_phase(*index, Phase::Done);
    }
    for (index, failed) in &stored.failures {
        if let Some(task) = step.tasks.get_mut(*index) {
            task.attempt = task.attempt.max(failed.iter().max().copied().unwrap_or(0));
            task.failed.clone_from(failed);
        }
    }
    for (index, checkpoint) in &stored.checkpoints {
        if let Some(task) = step.tasks.get_mut(*index) {
            task.checkpoint = checkpoint.clone();
        }
    }
}

pub(crate) fn critical_path(record: &JobRecord) -> Millis {
    let mut chain_ends: Vec<u64> = Vec::new();
    for step in &record.spec.steps {
        let before = step
            .after
            .iter()
            .filter_map(|earlier| chain_ends.get(usize::from(*earlier)))
            .max()
            .copied()
            .unwrap_or(0);
        chain_ends.push(step.estimate_ms.0.saturating_add(before));
    }
    Millis(chain_ends.into_iter().max().unwrap_or(0))
}

/// Run time of the longest chain that begins with each step, by the run times of the steps.
pub(crate) fn chains(steps: &[StepSpec], run_times: &[Millis]) -> Vec<Millis> {
    let mut chains = run_times.to_vec();
    // A step comes after earlier ones only, so the chains of later steps are complete.
    for (index, step) in steps.iter().enumerate().rev() {
        let own = chains.get(index).copied().unwrap_or_default();
        for earlier in &step.after {
            let earlier = usize::from(*earlier);
            if let (Some(chain), Some(before)) = (chains.get_mut(earlier), run_times.get(earlier)) {
                *chain = (*chain).max(*before + own);
            }
        }
    }
    chains
}
