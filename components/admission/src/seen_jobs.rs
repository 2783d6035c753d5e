//! Ids of the jobs that this process has stored or tried to store.

use std::collections::{BTreeSet, VecDeque};

use types::JobId;

/// Most ids kept: two minutes of a process that stores 160 jobs a second. Callers repeat a submission
/// within seconds.
const MAX_IDS: usize = 20_000;

/// A bounded set of job ids; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct SeenJobs {
    ids: BTreeSet<JobId>,
    order: VecDeque<JobId>,
}

impl SeenJobs {
    /// Notes that a write of the job is about to be sent.
    pub fn insert(&mut self, id: &JobId) {
        if !self.ids.insert(id.clone()) {
            return;
        }
        self.order.push_back(id.clone());
        if self.order.len() > MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Whether the job may be stored by this process.
    pub fn contains(&self, id: &JobId) -> bool {
        self.ids.contains(id)
    }
}
