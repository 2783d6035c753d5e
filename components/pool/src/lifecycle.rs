//! Claiming, keeping and losing the ownership of a pool.

use timeline::EventKind;
use types::{Epoch, Message, Millis, NotRunReason, Outcome, RequestId, WorkerInfo};

use crate::event::{StoreAnswer, StoreFailure};
use crate::jobs::{Job, Jobs};
use crate::journal::{Journal, Progress};
use crate::pool::{FollowUp, OwnershipState, Pool, StorePurpose};
use crate::queue::WorkQueue;
use crate::requests::{Requests, Stage};
use crate::runners::START_WINDOW_MS;
use crate::workers::{Worker, remote_expiry};

/// Maximum delay before a process notices that it is no longer confirmed. It checks once per
/// heartbeat.
const DETECTION_DELAY_MS: Millis = Millis(1_000);

impl Pool {
    pub(crate) fn claim(&mut self) {
        if self.ownership_state != OwnershipState::NotOwner || !self.membership_confirmed {
            return;
        }
        if let Some(call) = self.journal.claim() {
            self.ownership_state = OwnershipState::Claiming;
            self.call_store(StorePurpose::Journal, call);
        }
    }

    pub(crate) fn release(&mut self) {
        if self.ownership_state != OwnershipState::Owner {
            return;
        }
        self.ownership_state = OwnershipState::Releasing;
        let waiting: Vec<RequestId> = self
            .requests
            .live
            .iter()
            .filter(|(_, one)| one.stage == Stage::Waiting)
            .map(|(id, _)| id.clone())
            .collect();
        for id in waiting {
            self.refuse_request(&id, NotRunReason::NoOwner);
        }
    }

    /// A peer that owns the pool in a higher epoch has replaced this process.
    pub(crate) fn observe_peer_epoch(&mut self, epoch: Epoch) {
        if self.is_owner() && epoch > self.journal.epoch() {
            self.lose_ownership(Vec::new());
        }
    }

    pub(crate) fn handle_store_answer(
        &mut self,
        now: Millis,
        token: u64,
        answer: Result<StoreAnswer, StoreFailure>,
    ) {
        match self.take_purpose(token) {
            Some(StorePurpose::Journal) => self.handle_journal_answer(now, answer),
            Some(StorePurpose::Limits(bucket)) => {
                if let Some(call) = self.limits.answer(bucket, answer) {
                    self.call_store(StorePurpose::Limits(bucket), call);
                }
                self.stop_over_limits();
                self.needs_placement = true;
                self.needs_granting = true;
            }
            Some(StorePurpose::Cleanup) | None => {}
        }
    }

    fn handle_journal_answer(&mut self, now: Millis, answer: Result<StoreAnswer, StoreFailure>) {
        let (progress, next) = self.journal.answer(now, answer);
        if let Some(call) = next {
            self.call_store(StorePurpose::Journal, call);
        }
        match progress {
            Progress::Pending => {}
            Progress::Claimed => self.become_owner(now),
            Progress::ClaimFailed => self.ownership_state = OwnershipState::NotOwner,
            Progress::Committed(follow_ups) => {
                for follow_up in follow_ups {
                    self.follow_up(now, follow_up);
                }
            }
            Progress::Released => {
                self.record_event(EventKind::PoolReleased, "", "");
                self.reset_state();
            }
            Progress::Lost(follow_ups) => self.lose_ownership(follow_ups),
        }
    }

    fn become_owner(&mut self, now: Millis) {
        self.ownership_state = OwnershipState::Owner;
        self.claimed_at = now;
        self.set_first_attempt(self.journal.epoch());
        self.limits.reset();
        self.shares.reset();
        self.recover_jobs(now);
        self.recover_workers(now);
        self.recover_runners(now);
        let detail = format!("{} jobs, {} workers", self.jobs.len(), self.workers.by_id.len());
        self.record_event(EventKind::PoolOwned, "", &detail);
    }

    fn recover_jobs(&mut self, now: Millis) {
        self.jobs = Jobs::default();
        self.queue = WorkQueue::default();
        let durable: Vec<_> = self.journal.state().jobs.values().cloned().collect();
        for job in &durable {
            let sequence = self.jobs.next_sequence();
            self.jobs.insert(Job::recovered(job, sequence, now));
        }
    }

    /// Time from which a former owner that is replaced now has certainly stopped renewing leases
    /// and granting slots.
    fn former_owner_stops_at(&self, now: Millis) -> Millis {
        now + self.settings.unconfirmed_ms + DETECTION_DELAY_MS
    }

    /// Workers that the former owner may have used count as running unknown tasks until they are
    /// attached or their lease has certainly expired. The former owner stops renewing leases at
    /// most `unconfirmed_ms`, plus its detection delay, after it was replaced.
    fn recover_workers(&mut self, now: Millis) {
        let lease_expires_at =
            remote_expiry(self.former_owner_stops_at(now), self.settings.lease_ms);
        let joined = self.journal.state().workers.clone();
        for worker in self.workers.by_id.values_mut() {
            let info = worker.info.clone();
            let listed = worker.listed;
            *worker = Worker::new(info, listed);
        }
        for (id, url) in joined {
            let unlisted = || {
                let info = WorkerInfo {
                    worker: id.clone(),
                    url: url.clone(),
                    rack: Default::default(),
                    capacity: Default::default(),
                    leaving: true,
                };
                Worker::new(info, false)
            };
            let worker = self.workers.by_id.entry(id.clone()).or_insert_with(unlisted);
            worker.joined = true;
            worker.lease_expires_at = Some(lease_expires_at);
            self.workers.unresolved.insert(id);
        }
        self.rebuild_index();
        self.check_resolved();
    }

    fn recover_runners(&mut self, now: Millis) {
        self.requests = Requests::default();
        for runner in self.runners.by_id.values_mut() {
            *runner = crate::runners::Runner::new(runner.info.clone());
        }
        let longest_run = START_WINDOW_MS + self.rules.max_run_limit_ms();
        self.runners.former_runs_end_at =
            remote_expiry(self.former_owner_stops_at(now), longest_run);
    }

    /// Gives up the pool, because another process owns it. `in_flight` holds the follow-ups of a
    /// write with unknown outcome.
    pub(crate) fn lose_ownership(&mut self, in_flight: Vec<FollowUp>) {
        self.record_event(EventKind::PoolLost, "", "another process owns the pool");
        for follow_up in in_flight {
            match follow_up {
                FollowUp::Accept(to, call, _) | FollowUp::Reply(to, call, _) => {
                    let outcome = Outcome::unknown("the pool changed owner during the commit");
                    self.send(to, Message::JobOutcome(call, outcome));
                }
                // The grant was never sent, so the request certainly did not run.
                FollowUp::Grant(request) => self.refuse_request(&request, NotRunReason::NoOwner),
                FollowUp::StartTask(_) | FollowUp::Forget(..) | FollowUp::Joined(_) => {}
            }
        }
        for follow_up in self.journal.take_pending() {
            if let FollowUp::Accept(to, call, _) | FollowUp::Reply(to, call, _) = follow_up {
                let outcome = self.refusal(NotRunReason::NoOwner, Millis(0));
                self.send(to, Message::JobOutcome(call, outcome));
            }
        }
        let not_granted: Vec<RequestId> = self
            .requests
            .live
            .iter()
            .filter(|(_, request)| !matches!(request.stage, Stage::Granted(_)))
            .map(|(id, _)| id.clone())
            .collect();
        for request in not_granted {
            self.refuse_request(&request, NotRunReason::NoOwner);
        }
        self.reset_state();
    }

    fn reset_state(&mut self) {
        self.ownership_state = OwnershipState::NotOwner;
        self.journal = Journal::new(self.settings.pool.clone(), self.settings.node.clone());
        self.jobs = Jobs::default();
        self.queue = WorkQueue::default();
        self.reservations.clear();
        self.requests = Requests::default();
        self.limits.reset();
        self.drop_limit_calls();
        self.shares.reset();
        self.workers.unresolved.clear();
        self.workers.pending_syncs.clear();
        self.workers.by_id.retain(|_, worker| worker.listed);
        for worker in self.workers.by_id.values_mut() {
            *worker = Worker::new(worker.info.clone(), true);
        }
        for runner in self.runners.by_id.values_mut() {
            *runner = crate::runners::Runner::new(runner.info.clone());
        }
        self.rebuild_index();
    }

    fn follow_up(&mut self, now: Millis, follow_up: FollowUp) {
        match follow_up {
            FollowUp::Accept(to, call, job) => {
                self.record_event(EventKind::JobAccepted, job.as_str(), "");
                self.send(to, Message::JobOutcome(call, Outcome::Accepted(job.clone())));
                self.enqueue_job(&job);
            }
            FollowUp::Reply(to, call, outcome) => self.send(to, Message::JobOutcome(call, outcome)),
            FollowUp::StartTask(task) => self.mark_startable(&task),
            FollowUp::Grant(request) => self.grant_committed(now, &request),
            FollowUp::Forget(worker, task) => {
                if let Some(worker) = self.workers.by_id.get_mut(&worker) {
                    worker.forget.insert(task);
                }
            }
            FollowUp::Joined(id) => {
                if let Some(worker) = self.workers.by_id.get_mut(&id) {
                    worker.joined = true;
                    worker.joining = false;
                }
                self.update_schedulable(&id);
            }
        }
    }
}
