//! Tasks of a step.
//!
//! Load pattern: jobs of thousands of tasks wait behind each other, and recurring jobs are behind their due
//! times. A leader must hold all of them, also after a restart, so that a task takes memory only once
//! something is known of it.

use std::collections::BTreeMap;

use libs::compact_str::CompactString;
use types::Millis;

use crate::job::{Phase, Task};

const TASKS_PER_WORD: usize = u64::BITS as usize;

static FRESH: Task = task(Phase::Waiting);
static DONE: Task = task(Phase::Done);

const fn task(phase: Phase) -> Task {
    Task {
        phase,
        attempt: 0,
        failed: Vec::new(),
        losses: Vec::new(),
        checkpoint: CompactString::const_new(""),
        preemptions: 0,
        stalls: 0,
        not_before_ms: Millis(0),
        waits_since_ms: None,
    }
}

/// The tasks of a step. Of those that have never started and those that are done, nothing else is kept.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    count: u32,
    /// Tasks that are done, a bit each; empty while none is.
    done: Vec<u64>,
    /// The tasks that may have started and are not done.
    states: BTreeMap<u32, Task>,
}

impl Tasks {
    /// Creates tasks that have never started.
    pub(crate) fn new(count: u32) -> Self {
        Self { count, ..Self::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.count as usize
    }

    fn is_done(&self, index: u32) -> bool {
        let index = index as usize;
        let word = self.done.get(index / TASKS_PER_WORD);
        word.is_some_and(|word| word & (1 << (index % TASKS_PER_WORD)) != 0)
    }

    /// A task; none if the step has fewer.
    pub(crate) fn get(&self, index: u32) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        let unstarted = if self.is_done(index) { &DONE } else { &FRESH };
        Some(self.states.get(&index).unwrap_or(unstarted))
    }

    /// The state of a task, to be changed; none if the task is done or the step has fewer.
    pub(crate) fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        if index >= self.count || self.is_done(index) {
            return None;
        }
        Some(self.states.entry(index).or_default())
    }

    /// All tasks, by index.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0..self.count).filter_map(|index| Some((index, self.get(index)?)))
    }

    /// The tasks that may have started and are not done, by index.
    pub(crate) fn started(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.states.iter().map(|(index, task)| (*index, task))
    }

    /// The same, to be changed.
    pub(crate) fn started_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        self.states.values_mut()
    }

    /// Moves a task to another phase. A task that is done keeps nothing else.
    pub(crate) fn set_phase(&mut self, index: u32, phase: Phase) {
        if index >= self.count {
            return;
        }
        let (word, bit) = (index as usize / TASKS_PER_WORD, 1 << (index as usize % TASKS_PER_WORD));
        if phase == Phase::Done {
            self.done.resize((self.count as usize).div_ceil(TASKS_PER_WORD), 0);
            self.states.remove(&index);
        }
        if let Some(word) = self.done.get_mut(word) {
            *word = if phase == Phase::Done { *word | bit } else { *word & !bit };
        }
        if let Some(task) = self.get_mut(index) {
            if phase != Phase::Waiting {
                task.waits_since_ms = None;
            }
            task.phase = phase;
        }
    }

    /// Memory that the tasks take, in bytes.
    pub(crate) fn memory_bytes(&self) -> u64 {
        let of_task = |task: &Task| size_of::<(u32, Task)>() + task.checkpoint.len();
        let states: usize = self.states.values().map(of_task).sum();
        (states + size_of_val(self.done.as_slice())) as u64
    }
}
