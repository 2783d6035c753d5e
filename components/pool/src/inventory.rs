//! The back ends in the platform's list, and the placement index of workers.

use placement::WorkerSlot;
use timeline::EventKind;
use types::{Resources, RunnerInfo, WorkerId, WorkerInfo};

use crate::pool::{FollowUp, Pool};
use crate::record::Record;
use crate::runners::Runner;
use crate::workers::Worker;

impl Pool {
    /// Applies the platform's list of back ends. A back end that is no longer listed is treated as
    /// leaving.
    pub(crate) fn set_backends(&mut self, workers: Vec<WorkerInfo>, runners: Vec<RunnerInfo>) {
        let mut unlisted: Vec<WorkerId> = Vec::new();
        for (id, worker) in &mut self.workers.by_id {
            if worker.listed && !workers.iter().any(|info| info.worker == *id) {
                worker.listed = false;
                unlisted.push(id.clone());
            }
        }
        for info in workers {
            self.set_worker(info);
        }
        for id in unlisted {
            self.update_schedulable(&id);
        }
        self.drop_unneeded_workers();
        for runner in self.runners.by_id.values_mut() {
            runner.listed = runners.iter().any(|info| info.runner == runner.info.runner);
        }
        for info in runners {
            let id = info.runner.clone();
            match self.runners.by_id.get_mut(&id) {
                Some(runner) => runner.info = info,
                None => {
                    self.runners.by_id.insert(id, Runner::new(info));
                }
            }
        }
        // Grants of a runner that is down also count until they expire.
        self.runners.by_id.retain(|_, runner| runner.listed || !runner.grants.is_empty());
        self.needs_placement = true;
    }

    pub(crate) fn set_worker(&mut self, info: WorkerInfo) {
        let id = info.worker.clone();
        if let Some(worker) = self.workers.by_id.get_mut(&id) {
            if worker.listed && worker.info == info {
                return;
            }
            let capacity_changed = worker.info.capacity != info.capacity;
            let left_now = info.leaving && !worker.info.leaving;
            worker.info = info;
            worker.listed = true;
            if left_now {
                self.record_event(EventKind::WorkerLeaving, id.as_str(), "");
            }
            if capacity_changed {
                self.index_worker(&id);
            }
        } else {
            self.workers.by_id.insert(id.clone(), Worker::new(info, true));
            self.index_worker(&id);
        }
        self.update_schedulable(&id);
        self.shares.set_total(self.index.total());
    }

    /// Drops workers that are not listed and certainly run no task.
    pub(crate) fn drop_unneeded_workers(&mut self) {
        let unneeded: Vec<WorkerId> = self
            .workers
            .by_id
            .iter()
            .filter(|(id, worker)| {
                let may_run = !worker.tasks.is_empty() || self.workers.unresolved.contains(*id);
                !worker.listed && !may_run && !worker.joining
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in unneeded {
            if self.workers.by_id.get(&id).is_some_and(|worker| worker.joined) {
                self.append(Record::WorkerLeft(id.clone()), None);
            }
            self.workers.by_id.remove(&id);
            self.index.remove(&id);
        }
    }

    pub(crate) fn rebuild_index(&mut self) {
        self.index = placement::WorkerIndex::default();
        let ids: Vec<WorkerId> = self.workers.by_id.keys().cloned().collect();
        for id in &ids {
            self.index_worker(id);
        }
        self.shares.set_total(self.index.total());
    }

    pub(crate) fn index_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get(id) else { return };
        let granted =
            worker.tasks.values().fold(Resources::ZERO, |sum, task| sum.plus(&task.resources));
        let slot = WorkerSlot {
            rack: worker.info.rack.clone(),
            capacity: worker.info.capacity,
            free: worker.info.capacity.minus(&granted),
            schedulable: worker.is_schedulable(),
        };
        self.index.insert(id.clone(), slot);
    }

    /// Updates in the index whether a worker accepts new tasks.
    pub(crate) fn update_schedulable(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get(id) else { return };
        let schedulable = worker.is_schedulable();
        if self.index.get(id).is_some_and(|slot| slot.schedulable != schedulable) {
            self.index.set_schedulable(id, schedulable);
            self.needs_placement |= schedulable;
        }
    }

    pub(crate) fn join_worker(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.by_id.get_mut(id) else { return };
        if worker.joined || worker.joining {
            return;
        }
        worker.joining = true;
        let url = worker.info.url.clone();
        self.append(Record::WorkerJoined(id.clone(), url), Some(FollowUp::Joined(id.clone())));
    }
}

#[cfg(test)]
#[path = "../tests/unit/inventory.rs"]
mod tests;
