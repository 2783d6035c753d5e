//! Counts of accepted work, from which the forecast is made.

use libs::compact_str::CompactString;
use types::{Millis, QueueId};

use crate::units::{CoreMillis, CpuMilli};

/// Work by the class in which it is served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Of jobs within the share of their team.
    pub within: CoreMillis,
    /// Of jobs beyond the share of their team, which are served after all others.
    pub beyond: CoreMillis,
}

impl Work {
    /// Adds work of one class.
    pub fn add(&mut self, work: CoreMillis, beyond_share: bool) {
        let class = if beyond_share { &mut self.beyond } else { &mut self.within };
        *class = *class + work;
    }

    /// Work of both classes.
    pub fn total(&self) -> CoreMillis {
        self.within + self.beyond
    }
}

/// Counts of one queue. All work is by declared run times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueCounts {
    /// The queue.
    pub queue: QueueId,
    /// Service whose workers run its tasks.
    pub service: CompactString,
    /// Priority; 0 is the first to be served.
    pub priority: u32,
    /// Accepted work that is not placed on a worker, without that which is too late to be of use.
    pub waiting: Work,
    /// Part of `waiting` that could start now if there were capacity: earlier steps are done.
    pub ready: Work,
    /// Work that is placed on workers and not done.
    pub placed: Work,
    /// Work that is too late to be of use and is not placed; it is served last.
    pub overdue: CoreMillis,
    /// Work accepted in this leader's term.
    pub accepted: Work,
    /// Work done in this leader's term.
    pub done: Work,
    /// Processor capacity that its tasks have on workers.
    pub running: CpuMilli,
    /// Processor capacity that is free in whole tasks like those of the queue.
    pub free: CpuMilli,
}

/// Capacity of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCounts {
    /// The service.
    pub service: CompactString,
    /// Processor capacity of its workers that accept work.
    pub capacity: CpuMilli,
    /// Largest processor capacity of one of them.
    pub largest_worker: CpuMilli,
}

/// Counts of all queues at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Time of the count.
    pub at_ms: Millis,
    /// Services with workers.
    pub services: Vec<ServiceCounts>,
    /// Queues with jobs that have not ended, or that had some in this term.
    pub queues: Vec<QueueCounts>,
}

impl Counts {
    /// Counts of a service; none if it has no workers.
    pub fn service(&self, service: &str) -> Option<&ServiceCounts> {
        self.services.iter().find(|counts| counts.service == service)
    }

    /// Capacity of a service.
    pub fn capacity(&self, service: &str) -> CpuMilli {
        self.service(service).map_or(CpuMilli(0), |counts| counts.capacity)
    }

    /// Queues of a service.
    pub fn queues_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a QueueCounts> {
        self.queues.iter().filter(move |queue| queue.service == service)
    }
}
