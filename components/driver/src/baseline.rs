//! Baseline schedulers: a single FIFO queue whose head blocks all others until it fits.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use types::{JobKind, Millis, Resources};

use crate::measure::{Class, Observations, RunMetrics, SAMPLE_MS, Sample, run_duration_ms};
use crate::workload::Workload;

/// How the worker for a task is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// The first worker that fits.
    First,
    /// The worker that fits with the fewest free cores.
    Best,
}

/// A queued job.
struct QueuedJob {
    /// Index of the job in the workload's arrivals.
    arrival: usize,
    /// Number of tasks not started yet.
    tasks_left: u32,
}

struct FifoScheduler<'a> {
    workload: &'a Workload,
    fit: Fit,
    /// Free resources of each worker.
    free: Vec<Resources>,
    queue: VecDeque<QueuedJob>,
    /// End time, worker and arrival of each running task, the earliest first.
    ends: BinaryHeap<Reverse<(Millis, usize, usize)>>,
    /// Cores in use by each team.
    running: Vec<f64>,
    observations: Observations,
}

/// Runs a workload through the baseline in virtual time.
pub fn run(workload: &Workload, fit: Fit) -> RunMetrics {
    let mut scheduler = FifoScheduler {
        workload,
        fit,
        free: vec![workload.capacity; workload.workers],
        queue: VecDeque::new(),
        ends: BinaryHeap::new(),
        running: vec![0.0; workload.shares.len()],
        observations: Observations::default(),
    };
    let mut next = 0;
    let mut now = Millis(0);
    let step_ms = Millis(50);
    while now < run_duration_ms() {
        while next < workload.arrivals.len() && workload.arrivals[next].submitted_ms <= now {
            scheduler
                .queue
                .push_back(QueuedJob { arrival: next, tasks_left: workload.arrivals[next].tasks });
            next += 1;
        }
        scheduler.end_tasks(now);
        scheduler.cancel(now);
        scheduler.place(now);
        if now.0.is_multiple_of(SAMPLE_MS.0) {
            scheduler.sample();
        }
        now = now + step_ms;
    }
    scheduler.finish(now)
}

impl FifoScheduler<'_> {
    fn end_tasks(&mut self, now: Millis) {
        while let Some(Reverse((at, worker, arrival))) = self.ends.peek().copied() {
            if at > now {
                return;
            }
            self.ends.pop();
            let job = &self.workload.arrivals[arrival];
            self.free[worker] = self.free[worker].plus(&job.per_task);
            self.running[job.team] -= job.per_task.cpu_milli as f64 / 1000.0;
            // Tasks fail on a bad worker; a failed task goes to the end of the queue.
            if worker < self.workload.bad_workers {
                self.queue.push_back(QueuedJob { arrival, tasks_left: 1 });
            }
        }
    }

    fn cancel(&mut self, now: Millis) {
        let arrivals = &self.workload.arrivals;
        let is_cancelled =
            |job: &QueuedJob| arrivals[job.arrival].cancelled_ms.is_some_and(|at| at <= now);
        self.queue.retain(|job| !is_cancelled(job));
    }

    fn place(&mut self, now: Millis) {
        while let Some(head) = self.queue.front() {
            let job = &self.workload.arrivals[head.arrival];
            let concurrent_tasks = if job.kind == JobKind::Gang { head.tasks_left } else { 1 };
            let Some(workers) = self.find_workers(&job.per_task, concurrent_tasks) else { return };
            let (arrival, tasks_left) = (head.arrival, head.tasks_left - concurrent_tasks);
            for worker in workers {
                self.start(now, arrival, worker);
            }
            match self.queue.front_mut() {
                Some(head) if tasks_left > 0 => head.tasks_left = tasks_left,
                _ => {
                    self.queue.pop_front();
                }
            }
        }
    }

    /// Finds workers for `count` tasks that start together; `None` unless all of them fit.
    fn find_workers(&self, need: &Resources, count: u32) -> Option<Vec<usize>> {
        let mut free = if count == 1 { None } else { Some(self.free.clone()) };
        let mut workers = Vec::new();
        for _ in 0..count {
            let candidates = free.as_deref().unwrap_or(&self.free);
            let mut fitting = candidates.iter().enumerate().filter(|(_, free)| free.covers(need));
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
            let run_ms = if is_bad { Millis(100) } else { job.run_ms };
            self.ends.push(Reverse((now + run_ms, worker, arrival)));
        }
        if !is_bad {
            self.observations.waits.push((Class::of(job), job.team, now.since(job.submitted_ms)));
        }
        self.observations.decisions += 1;
    }

    fn sample(&mut self) {
        let mut waiting = vec![0.0; self.running.len()];
        for head in &self.queue {
            let job = &self.workload.arrivals[head.arrival];
            waiting[job.team] +=
                f64::from(head.tasks_left) * job.per_task.cpu_milli as f64 / 1000.0;
        }
        self.observations.samples.push(Sample { running: self.running.clone(), waiting });
    }

    fn finish(mut self, now: Millis) -> RunMetrics {
        for head in &self.queue {
            let job = &self.workload.arrivals[head.arrival];
            let wait = (Class::of(job), job.team, now.since(job.submitted_ms));
            self.observations.unstarted.extend(std::iter::repeat_n(wait, head.tasks_left as usize));
        }
        let mut metrics = self.observations.into_metrics(self.workload);
        // Decision rates are reported for the pool's core only.
        metrics.decisions_per_s = f64::NAN;
        metrics
    }
}
