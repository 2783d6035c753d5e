//! Baselines: one queue in the order of arrival, whose head waits until it fits.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use types::{JobKind, Millis, Resources};

use crate::measure::{Class, Measured, Observed, SAMPLE_MS, Sample, end};
use crate::workload::Workload;

/// Which worker a task goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// The first that fits.
    First,
    /// The one that is left with the least.
    Best,
}

struct Waiting {
    arrival: usize,
    left: u32,
}

struct Cell<'a> {
    workload: &'a Workload,
    fit: Fit,
    free: Vec<Resources>,
    queue: VecDeque<Waiting>,
    ends: BinaryHeap<Reverse<(Millis, usize, usize)>>,
    running: Vec<f64>,
    observed: Observed,
}

/// Runs a workload.
pub fn run(workload: &Workload, fit: Fit) -> Measured {
    let mut cell = Cell {
        workload,
        fit,
        free: vec![workload.capacity; workload.workers],
        queue: VecDeque::new(),
        ends: BinaryHeap::new(),
        running: vec![0.0; workload.shares.len()],
        observed: Observed::default(),
    };
    let mut next = 0;
    let mut now = Millis(0);
    let step = Millis(50);
    while now < end() {
        while next < workload.arrivals.len() && workload.arrivals[next].at <= now {
            cell.queue.push_back(Waiting { arrival: next, left: workload.arrivals[next].tasks });
            next += 1;
        }
        cell.end_tasks(now);
        cell.cancel(now);
        cell.place(now);
        if now.0.is_multiple_of(SAMPLE_MS.0) {
            cell.sample();
        }
        now = now + step;
    }
    cell.finish(now)
}

impl Cell<'_> {
    fn end_tasks(&mut self, now: Millis) {
        while let Some(Reverse((at, worker, arrival))) = self.ends.peek().copied() {
            if at > now {
                return;
            }
            self.ends.pop();
            let job = &self.workload.arrivals[arrival];
            self.free[worker] = self.free[worker].plus(&job.per_task);
            self.running[job.team] -= job.per_task.cpu_milli as f64 / 1000.0;
            // A bad worker fails at once; the task goes back to the end of the queue.
            if worker < self.workload.bad_workers {
                self.queue.push_back(Waiting { arrival, left: 1 });
            }
        }
    }

    fn cancel(&mut self, now: Millis) {
        let arrivals = &self.workload.arrivals;
        let is_cancelled =
            |waiting: &Waiting| arrivals[waiting.arrival].cancelled_at.is_some_and(|at| at <= now);
        self.queue.retain(|waiting| !is_cancelled(waiting));
    }

    fn place(&mut self, now: Millis) {
        while let Some(head) = self.queue.front() {
            let job = &self.workload.arrivals[head.arrival];
            let at_once = if job.kind == JobKind::Gang { head.left } else { 1 };
            let Some(workers) = self.find(&job.per_task, at_once) else { return };
            let (arrival, left) = (head.arrival, head.left - at_once);
            for worker in workers {
                self.start(now, arrival, worker);
            }
            match self.queue.front_mut() {
                Some(head) if left > 0 => head.left = left,
                _ => {
                    self.queue.pop_front();
                }
            }
        }
    }

    fn find(&self, need: &Resources, count: u32) -> Option<Vec<usize>> {
        let mut free = if count == 1 { None } else { Some(self.free.clone()) };
        let mut workers = Vec::new();
        for _ in 0..count {
            let present = free.as_deref().unwrap_or(&self.free);
            let mut fitting = present.iter().enumerate().filter(|(_, free)| free.holds(need));
            let found = match self.fit {
                Fit::First => fitting.next(),
                Fit::Best => fitting.min_by_key(|(_, free)| free.cpu_milli),
            };
            let worker = found.map(|(worker, _)| worker)?;
            if let Some(free) = &mut free {
                free[worker] = free[worker].minus(need);
            }
            workers.push(worker);
        }
        Some(workers)
    }

    fn start(&mut self, now: Millis, arrival: usize, worker: usize) {
        let job = &self.workload.arrivals[arrival];
        self.free[worker] = self.free[worker].minus(&job.per_task);
        self.running[job.team] += job.per_task.cpu_milli as f64 / 1000.0;
        let is_bad = worker < self.workload.bad_workers;
        if job.kind != JobKind::Service {
            let runs = if is_bad { Millis(100) } else { job.runs };
            self.ends.push(Reverse((now + runs, worker, arrival)));
        }
        if !is_bad {
            self.observed.waits.push((Class::of(job), job.team, now.since(job.at)));
        }
        self.observed.decisions += 1;
    }

    fn sample(&mut self) {
        let mut waiting = vec![0.0; self.running.len()];
        for head in &self.queue {
            let job = &self.workload.arrivals[head.arrival];
            waiting[job.team] += f64::from(head.left) * job.per_task.cpu_milli as f64 / 1000.0;
        }
        self.observed.samples.push(Sample { running: self.running.clone(), waiting });
    }

    fn finish(mut self, now: Millis) -> Measured {
        for head in &self.queue {
            let job = &self.workload.arrivals[head.arrival];
            let wait = (Class::of(job), job.team, now.since(job.at));
            self.observed.unstarted.extend(std::iter::repeat_n(wait, head.left as usize));
        }
        let mut measured = self.observed.finish(self.workload);
        // Speed is compared for the core only.
        measured.decisions_per_s = f64::NAN;
        measured
    }
}
