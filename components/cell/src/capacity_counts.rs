//! Counts of accepted work for the forecast of capacity, and what admission needs to know of a job.

use std::collections::BTreeMap;

use forecast::{CoreMillis, Counts, CpuMilli, MAX_QUEUES, QueueCounts, ServiceCounts, Work};
use types::{JobId, Millis, QueueId, Resources, TeamId};

use crate::cell::Cell;
use crate::job::{Job, Step, critical_path};
use crate::model::{JobRecord, QueuePolicy, StepKey, StepSpec};
use crate::ranking::{is_overdue, objective_ms};

/// Time for which a team is reported after a job beyond its share. Its jobs are refused meanwhile,
/// so that it would count as within its share at once.
const BEYOND_SHARE_REPORTED_MS: Millis = Millis(3_000);

/// Work of a queue accepted and done in this term.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Flow {
    accepted: Work,
    done: Work,
}

/// Flows of all queues.
#[derive(Debug, Default)]
pub(crate) struct Flows(BTreeMap<QueueId, Flow>);

impl Flows {
    /// Counts an accepted job. Occurrences of a recurring job come at their due times and are not
    /// counted as inflow.
    pub(crate) fn record_accepted(&mut self, record: &JobRecord, over_share: bool) {
        if record.spec.recurrence.is_none() {
            let flow = self.0.entry(record.queue.clone()).or_default();
            flow.accepted.add(record.work(), over_share);
        }
    }

    /// Counts tasks of a step that are done.
    pub(crate) fn record_done(
        &mut self,
        queue: &QueueId,
        spec: &StepSpec,
        tasks: u64,
        over_share: bool,
    ) {
        let flow = self.0.entry(queue.clone()).or_default();
        flow.done.add(work_of(spec, tasks), over_share);
    }
}

/// Work of tasks of a step. Long-running tasks have no end, and hold their capacity instead.
fn work_of(spec: &StepSpec, tasks: u64) -> CoreMillis {
    if spec.long_running {
        return CoreMillis(0);
    }
    CoreMillis::of_tasks(tasks, CpuMilli(spec.charge().cpu_milli), spec.estimate_ms)
}

impl JobRecord {
    /// Work of one occurrence, by declared run times.
    pub fn work(&self) -> CoreMillis {
        self.spec.steps.iter().map(|step| work_of(step, u64::from(step.tasks))).sum()
    }

    /// Declared run time of the critical path.
    pub fn critical_path_ms(&self) -> Millis {
        critical_path(self)
    }

    /// Objective for the time from acceptance to the end, by the policy at acceptance; 0 if the queue
    /// has none.
    pub fn objective_ms(&self) -> Millis {
        objective_ms(&self.policy, self.critical_path_ms())
    }

    /// For each resource, the most that a task needs.
    pub fn largest_task(&self) -> Resources {
        self.spec.steps.iter().fold(Resources::ZERO, |largest, step| largest_of(largest, step.need))
    }

    /// Processor capacity of the widest gang.
    pub fn widest_gang(&self) -> CpuMilli {
        let gangs = self.spec.steps.iter().filter(|step| step.gang);
        let widths = gangs.map(|step| step.charge().times(u64::from(step.tasks)).cpu_milli);
        CpuMilli(widths.max().unwrap_or(0))
    }
}

fn largest_of(left: Resources, right: Resources) -> Resources {
    Resources {
        cpu_milli: left.cpu_milli.max(right.cpu_milli),
        mem_mb: left.mem_mb.max(right.mem_mb),
        accels: left.accels.max(right.accels),
    }
}

/// Counts of a queue in the making.
struct QueueCount {
    counts: QueueCounts,
    /// For each resource, the most that a task needs of those that could start, or of all if none
    /// could.
    largest_ready: Resources,
    largest: Resources,
}

impl Cell {
    /// Accepted work and capacity. Costs a pass over the steps of the open jobs, and one over the
    /// workers for each of the queues with most work that could start.
    pub fn capacity_counts(&self, now: Millis) -> Counts {
        let mut queues: BTreeMap<&QueueId, QueueCount> = BTreeMap::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id) else { continue };
            let policy = Cell::queue_policy(&self.policy, &job.record);
            let queue = queues.entry(&job.record.queue).or_insert_with(|| {
                let flow = self.flows.0.get(&job.record.queue).copied().unwrap_or_default();
                new_count(&job.record.queue, policy, flow)
            });
            self.count_job(queue, job, policy, now);
        }
        // Queues that are empty now are part of what was done and what comes in.
        for (id, flow) in &self.flows.0 {
            if let Some(policy) = self.policy.queues.get(id) {
                queues.entry(id).or_insert_with(|| new_count(id, policy, *flow));
            }
        }
        let mut by_ready: Vec<QueueCount> = queues.into_values().collect();
        by_ready.sort_by_key(|queue| std::cmp::Reverse(queue.counts.ready.total()));
        for queue in by_ready.iter_mut().take(MAX_QUEUES) {
            let has_ready = queue.counts.ready.total() > CoreMillis(0);
            let need = if has_ready { queue.largest_ready } else { queue.largest };
            queue.counts.free = self.free_in_tasks(&queue.counts.service, &need);
        }
        let queues = by_ready.into_iter().map(|queue| queue.counts).collect();
        Counts { at_ms: now, services: self.service_counts(), queues }
    }

    fn count_job(&self, queue: &mut QueueCount, job: &Job, policy: &QueuePolicy, now: Millis) {
        let specs = &job.record.spec.steps;
        let unix_ms = Millis(self.unix_ms(now));
        for (number, occurrence) in &job.open_occurrences {
            let due_unix_ms = job.due_by(*number, unix_ms);
            let open = |step: &Step| !step.is_done();
            let left =
                occurrence.steps.iter().zip(&job.left_from_ms).filter(|(step, _)| open(step));
            let left_ms = left.map(|(_, left)| *left).max().unwrap_or_default();
            let overdue = is_overdue(policy, due_unix_ms, job.critical_path_ms, left_ms, unix_ms);
            // Work behind the limit of its team takes no capacity from others.
            let mut limited = false;
            for (index, (step, spec)) in (0u16..).zip(occurrence.steps.iter().zip(specs)) {
                let is_ready = spec.after.iter().all(|earlier| {
                    occurrence.steps.get(usize::from(*earlier)).is_some_and(Step::is_done)
                });
                if is_ready && step.waiting > 0 {
                    let key =
                        StepKey { job: job.record.id.clone(), occurrence: *number, step: index };
                    limited |= self.team_slots(&key, spec) == 0;
                }
                let placed = step.tasks.len() as u64 - u64::from(step.waiting + step.done);
                let waiting = work_of(spec, u64::from(step.waiting));
                let counts = &mut queue.counts;
                let running = spec.charge().times(placed).cpu_milli;
                if !spec.long_running {
                    counts.running = CpuMilli(counts.running.0.saturating_add(running));
                }
                counts.placed.add(work_of(spec, placed), job.over_share);
                queue.largest = largest_of(queue.largest, spec.charge());
                if limited {
                    continue;
                }
                if overdue {
                    counts.overdue = counts.overdue + waiting;
                    continue;
                }
                counts.waiting.add(waiting, job.over_share);
                if is_ready && step.waiting > 0 {
                    counts.ready.add(waiting, job.over_share);
                    queue.largest_ready = largest_of(queue.largest_ready, spec.charge());
                }
            }
        }
    }

    /// Processor capacity that is free in whole tasks.
    fn free_in_tasks(&self, service: &str, need: &Resources) -> CpuMilli {
        if need.cpu_milli == 0 {
            // Such tasks do not wait for processor capacity.
            return CpuMilli(u64::MAX);
        }
        let workers = self.workers.values().filter(|worker| {
            worker.listed && !worker.report.draining && worker.report.service == *service
        });
        let parts = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let free = workers.map(|worker| {
            let free = worker.free();
            let tasks = parts(free.cpu_milli, need.cpu_milli)
                .min(parts(free.mem_mb, need.mem_mb))
                .min(parts(free.accels, need.accels));
            tasks.saturating_mul(need.cpu_milli)
        });
        CpuMilli(free.fold(0, u64::saturating_add))
    }

    fn service_counts(&self) -> Vec<ServiceCounts> {
        let mut services: BTreeMap<&str, ServiceCounts> = BTreeMap::new();
        for worker in self.workers.values() {
            if !worker.listed || worker.report.draining {
                continue;
            }
            let name = worker.report.service.as_str();
            let counts = services.entry(name).or_insert_with(|| ServiceCounts {
                service: name.into(),
                capacity: CpuMilli(0),
                largest_worker: CpuMilli(0),
            });
            let capacity = worker.report.capacity.cpu_milli;
            counts.capacity = CpuMilli(counts.capacity.0.saturating_add(capacity));
            counts.largest_worker = counts.largest_worker.max(CpuMilli(capacity));
        }
        services.into_values().collect()
    }

    /// Teams that exceeded their share lately.
    pub fn teams_beyond_share(&self, now: Millis) -> Vec<TeamId> {
        let since = self.unix_ms(now).saturating_sub(BEYOND_SHARE_REPORTED_MS.0);
        self.shares.teams_beyond(since)
    }

    /// Queue of a job.
    pub fn queue_of(&self, id: &JobId) -> Option<&QueueId> {
        self.jobs.get(id).map(|job| &job.record.queue)
    }

    /// Whether a job exceeded the share of its team on acceptance.
    pub fn exceeds_share(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| job.over_share)
    }
}

fn new_count(queue: &QueueId, policy: &QueuePolicy, flow: Flow) -> QueueCount {
    QueueCount {
        counts: QueueCounts {
            queue: queue.clone(),
            service: policy.service.clone(),
            priority: policy.priority,
            waiting: Work::default(),
            ready: Work::default(),
            placed: Work::default(),
            overdue: CoreMillis(0),
            accepted: flow.accepted,
            done: flow.done,
            running: CpuMilli(0),
            free: CpuMilli(u64::MAX),
        },
        largest_ready: Resources::ZERO,
        largest: Resources::ZERO,
    }
}
