//! What the steps of one scheduling round share.
//!
//! Load pattern: more than a hundred steps wait on hundreds to thousands of workers, of which few have
//! room. Each worker is examined once for the round, and each step examines those with room only.

use std::cell::Cell as Counter;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound;

use libs::compact_str::CompactString;
use types::{Millis, Resources, WorkerId};

use crate::cell::Cell;
use crate::preempt::PreemptibleRuns;
use crate::worker::Worker;

/// Work of the scheduling rounds in this term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoundWork {
    /// Scheduling rounds.
    pub rounds: u64,
    /// Steps with tasks to start, over all rounds.
    pub steps: u64,
    /// Times that a worker was examined, for the round or for a step.
    pub workers: u64,
    /// Times that a run was examined as one to preempt.
    pub runs: u64,
}

/// Waiting steps from which on the index pays. Of thousands of workers most have room while few steps
/// wait, and building the index takes longer than what it saves.
const MIN_INDEXED_STEPS: usize = 32;

/// Counts the work of rounds, also where the cell is only read.
#[derive(Debug, Default)]
pub(crate) struct WorkCounts {
    pub(crate) rounds: Counter<u64>,
    pub(crate) steps: Counter<u64>,
    pub(crate) workers: Counter<u64>,
    pub(crate) runs: Counter<u64>,
}

pub(crate) fn count(counter: &Counter<u64>, more: usize) {
    counter.set(counter.get() + more as u64);
}

/// Workers that take new work and have room, by service, and the runs that may be preempted.
#[derive(Debug, Default)]
pub(crate) struct Round {
    /// Workers by their free processor capacity in millicores.
    by_free_cpu: BTreeMap<CompactString, BTreeSet<(u64, WorkerId)>>,
    /// The index is kept in this round.
    is_indexed: bool,
    pub(crate) preemptible: PreemptibleRuns,
}

impl Round {
    /// Workers of a service on which a task may fit. Fewer may accept it: labels, resources other than
    /// processors and trials are not considered.
    fn indexed_with_room<'a>(
        &'a self,
        service: &CompactString,
        charge: Resources,
    ) -> impl Iterator<Item = &'a WorkerId> + use<'a> {
        let least = (charge.cpu_milli, WorkerId::default());
        let range = (Bound::Included(least), Bound::Unbounded);
        self.by_free_cpu
            .get(service)
            .into_iter()
            .flat_map(move |workers| workers.range(range.clone()))
            .map(|(_, id)| id)
    }
}

impl Cell {
    /// Workers of a service on which a task may fit, see [`Round::indexed_with_room`].
    pub(crate) fn workers_with_room<'a>(
        &'a self,
        service: &'a CompactString,
        charge: Resources,
    ) -> Box<dyn Iterator<Item = (&'a WorkerId, &'a Worker)> + 'a> {
        if self.round.is_indexed {
            let ids = self.round.indexed_with_room(service, charge);
            return Box::new(ids.filter_map(|id| self.workers.get_key_value(id)));
        }
        let has_room = move |worker: &Worker| {
            worker.free().cpu_milli >= charge.cpu_milli && worker.report.service == *service
        };
        Box::new(self.workers.iter().filter(move |(_, worker)| has_room(worker)))
    }

    /// Starts a round of `steps` waiting steps. Examines all workers once if the steps are many.
    pub(crate) fn begin_round(&mut self, steps: usize, now: Millis) {
        count(&self.work.rounds, 1);
        if steps < MIN_INDEXED_STEPS {
            self.round = Round::default();
            return;
        }
        count(&self.work.workers, self.workers.len());
        let mut round = Round::default();
        let mut by_service: BTreeMap<&CompactString, Vec<(u64, WorkerId)>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            let free = worker.free();
            if worker.accepts_any(now) && free != Resources::ZERO {
                by_service
                    .entry(&worker.report.service)
                    .or_default()
                    .push((free.cpu_milli, id.clone()));
            }
        }
        for (service, workers) in by_service {
            round.by_free_cpu.insert(service.clone(), workers.into_iter().collect());
        }
        round.is_indexed = true;
        self.round = round;
    }

    /// Work of the scheduling rounds in this term.
    pub fn round_work(&self) -> RoundWork {
        RoundWork {
            rounds: self.work.rounds.get(),
            steps: self.work.steps.get(),
            workers: self.work.workers.get(),
            runs: self.work.runs.get(),
        }
    }

    /// Takes workers off the index while tasks are started on them.
    pub(crate) fn unindex<'a>(&mut self, workers: impl Iterator<Item = &'a WorkerId>) {
        for id in workers {
            let Some(worker) = self.workers.get(id) else { continue };
            if let Some(index) = self.round.by_free_cpu.get_mut(&worker.report.service) {
                index.remove(&(worker.free().cpu_milli, id.clone()));
            }
        }
    }

    /// Returns workers to the index with the resources that are left.
    pub(crate) fn index_again(&mut self, workers: Vec<WorkerId>) {
        for id in workers {
            let Some(worker) = self.workers.get(&id) else { continue };
            let free = worker.free();
            if free == Resources::ZERO {
                continue;
            }
            if let Some(index) = self.round.by_free_cpu.get_mut(&worker.report.service) {
                index.insert((free.cpu_milli, id));
            }
        }
    }
}

/// Score of a worker in the total order of its values.
#[derive(Debug, Clone, Copy)]
struct Score(f64);

impl Ord for Score {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Score {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Score {}

/// Workers for the tasks of one step, each scored once for the step and once more for each task that
/// it gets.
#[derive(Debug, Default)]
pub(crate) struct BestFirst<'a>(BinaryHeap<(Score, &'a WorkerId)>);

impl<'a> BestFirst<'a> {
    pub(crate) fn new(scored: impl Iterator<Item = (f64, &'a WorkerId)>) -> Self {
        Self(scored.map(|(score, id)| (Score(score), id)).collect())
    }

    /// Removes the best worker that `is_usable`; of equally good ones, that with the highest id.
    pub(crate) fn take(&mut self, is_usable: impl Fn(&WorkerId) -> bool) -> Option<&'a WorkerId> {
        let mut unusable = Vec::new();
        let best = loop {
            match self.0.pop() {
                Some((_, id)) if is_usable(id) => break Some(id),
                Some(one) => unusable.push(one),
                None => break None,
            }
        };
        self.0.extend(unusable);
        best
    }

    pub(crate) fn add(&mut self, score: f64, id: &'a WorkerId) {
        self.0.push((Score(score), id));
    }
}
