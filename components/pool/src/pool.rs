//! The state of one pool and the dispatch of events to its parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use config::Rules;
use libs::compact_str::CompactString;
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use placement::WorkerIndex;
use timeline::EventKind;
use types::{
    Attempt, CallId, DomainId, Epoch, JobId, Message, Millis, NodeId, NotRunReason, Outcome,
    Ownership, PoolId, RequestId, TaskId, TeamUsage, WorkerId,
};

use crate::event::{Action, Event, StoreCall};
use crate::jobs::Jobs;
use crate::journal::Journal;
use crate::limits::Limits;
use crate::place::Reservation;
use crate::queue::WorkQueue;
use crate::record::Record;
use crate::requests::Requests;
use crate::runners::Runners;
use crate::shares::Shares;
use crate::workers::Workers;

/// Period of the housekeeping that need not run on every tick.
const HOUSEKEEPING_PERIOD_MS: Millis = Millis(1_000);
/// A gap between two events of at least this length means that the process was paused and may have
/// been replaced as owner.
const PAUSE_THRESHOLD_MS: Millis = Millis(1_000);
/// Lower bound of the retry delay in a refusal.
const MIN_RETRY_AFTER_MS: Millis = Millis(500);

/// Scheduling mechanisms. Each can be switched off to measure its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Teams are served in the order of their use relative to their share; otherwise in the order
    /// of their names.
    pub shares: bool,
    /// Jobs are placed in the order of their priority; otherwise all have the same priority.
    pub priorities: bool,
    /// Urgent jobs preempt less urgent tasks when no worker has enough free capacity.
    pub preemption: bool,
    /// Workers are reserved for waiting gangs.
    pub reservations: bool,
    /// Workers on which every task fails are quarantined.
    pub quarantine: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            shares: true,
            priorities: true,
            preemption: true,
            reservations: true,
            quarantine: true,
        }
    }
}

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// The pool to manage.
    pub pool: PoolId,
    /// Failure domain of its back ends.
    pub domain: DomainId,
    /// The scheduler process that runs this code.
    pub node: NodeId,
    /// Duration of a worker's lease.
    pub lease_ms: Millis,
    /// Interval between two state requests to the same worker or runner.
    pub poll_ms: Millis,
    /// Minimum interval between two journal commits.
    pub commit_ms: Millis,
    /// Time without confirmation after which a process stops renewing leases, because it may have
    /// been replaced as owner without noticing.
    pub unconfirmed_ms: Millis,
    /// Seed of the random numbers, which are only used for retry jitter.
    pub random_seed: u64,
    /// Enabled scheduling mechanisms.
    pub mechanisms: Mechanisms,
}

/// Ownership of the pool, as seen by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnershipState {
    /// Another process, or none, owns the pool.
    NotOwner,
    /// A claim is in progress.
    Claiming,
    /// This process owns the pool.
    Owner,
    /// This process still owns the pool and hands it over once all journal records are committed.
    Releasing,
}

/// What to do once a record is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FollowUp {
    /// Reply to the submitter of a job and queue the job.
    Accept(SocketAddr, CallId, JobId),
    /// Reply to the sender of a command.
    Reply(SocketAddr, CallId, Outcome),
    /// Allow a task to be sent to its worker.
    StartTask(TaskId),
    /// Grant a slot to a request.
    Grant(RequestId),
    /// Allow a worker to forget a finished task.
    Forget(WorkerId, TaskId),
    /// Allow tasks to be placed on a worker.
    Joined(WorkerId),
}

/// Purpose of a call to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePurpose {
    Journal,
    Limits(usize),
    Cleanup,
}

/// A pool as seen by one scheduler process.
pub struct Pool {
    pub(crate) settings: PoolSettings,
    pub(crate) rules: Arc<Rules>,
    pub(crate) ownership_state: OwnershipState,
    pub(crate) membership_confirmed: bool,
    last_event_at: Option<Millis>,
    pub(crate) claimed_at: Millis,
    pub(crate) journal: Journal<FollowUp>,
    pub(crate) jobs: Jobs,
    pub(crate) queue: WorkQueue,
    pub(crate) index: WorkerIndex,
    pub(crate) workers: Workers,
    pub(crate) runners: Runners,
    pub(crate) requests: Requests,
    pub(crate) shares: Shares,
    pub(crate) limits: Limits,
    pub(crate) random: StdRng,
    /// Workers reserved for gangs until the whole gang fits.
    pub(crate) reservations: BTreeMap<JobId, Reservation>,
    pub(crate) needs_placement: bool,
    pub(crate) needs_granting: bool,
    /// Whether the current event is a tick. Time-based work runs only on ticks.
    is_tick: bool,
    next_attempt: Attempt,
    next_token: u64,
    next_call_id: u64,
    housekeeping_at: Millis,
    store_purposes: BTreeMap<u64, StorePurpose>,
    actions: Vec<Action>,
}

impl Pool {
    /// Creates a pool that this process does not own.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            rules: Arc::new(Rules::default()),
            ownership_state: OwnershipState::NotOwner,
            membership_confirmed: true,
            last_event_at: None,
            claimed_at: Millis(0),
            journal: Journal::new(settings.pool.clone(), settings.node.clone()),
            jobs: Jobs::default(),
            queue: WorkQueue::default(),
            index: WorkerIndex::default(),
            workers: Workers::default(),
            runners: Runners::default(),
            requests: Requests::default(),
            shares: Shares::default(),
            limits: Limits::new(settings.pool.clone()),
            random: StdRng::seed_from_u64(settings.random_seed),
            reservations: BTreeMap::new(),
            needs_placement: false,
            needs_granting: false,
            is_tick: false,
            next_attempt: Attempt::default(),
            next_token: 0,
            next_call_id: 0,
            housekeeping_at: Millis(0),
            store_purposes: BTreeMap::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event at a time on the process clock. Returns the resulting actions in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        self.is_tick = matches!(event, Event::Tick);
        match event {
            Event::Tick => self.tick(now),
            Event::Rules(rules) => self.set_rules(rules),
            Event::Backends(workers, runners) => self.set_backends(workers, runners),
            Event::Claim => self.claim(),
            Event::Release => self.release(),
            Event::PeerEpoch(epoch) => self.observe_peer_epoch(epoch),
            Event::MembershipConfirmed(confirmed) => self.membership_confirmed = confirmed,
            Event::OtherPoolsUsage(usage) => self.shares.set_other_pools_usage(&usage),
            Event::Store(token, answer) => self.handle_store_answer(now, token, answer),
            Event::WorkerAnswer(worker, call, answer) => {
                self.handle_worker_answer(now, &worker, call, answer)
            }
            Event::RunnerAnswer(runner, call, answer) => {
                self.handle_runner_answer(now, &runner, call, answer)
            }
            Event::SlotRequest(from, slot_request) => self.request_slot(now, from, slot_request),
            Event::Report(report) => self.handle_run_report(now, report),
            Event::Command(from, call, command) => {
                self.handle_job_command(now, from, call, command)
            }
            Event::Query(from, call, query) => self.handle_job_query(now, &from, call, &query),
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// After a pause, nothing is confirmed until the next [`Event::MembershipConfirmed`].
    fn detect_pause(&mut self, now: Millis) {
        let gap = self.last_event_at.map_or(Millis(0), |at| now.since(at));
        self.last_event_at = Some(now);
        if gap >= PAUSE_THRESHOLD_MS && self.ownership_state != OwnershipState::NotOwner {
            self.membership_confirmed = false;
            self.push(Action::IncrementCounter("pool.own_pauses"));
        }
    }

    /// Whether this process owns the pool.
    pub fn is_owner(&self) -> bool {
        matches!(self.ownership_state, OwnershipState::Owner | OwnershipState::Releasing)
    }

    /// Whether this process neither owns the pool nor is claiming it.
    pub fn is_idle(&self) -> bool {
        self.ownership_state == OwnershipState::NotOwner
    }

    /// Ownership to announce in heartbeats, if this process owns the pool.
    pub fn ownership(&self) -> Option<Ownership> {
        let epoch = self.journal.epoch();
        let pool = self.settings.pool.clone();
        self.is_owner().then_some(Ownership { pool, epoch })
    }

    /// Resources in use by each team in this pool.
    pub fn team_usage(&self) -> Vec<TeamUsage> {
        self.shares.usage()
    }

    fn set_rules(&mut self, rules: Arc<Rules>) {
        if rules.version < self.rules.version {
            return;
        }
        self.shares.set_rules(&rules);
        self.limits.set_rules(&rules);
        self.rules = rules;
        self.needs_placement = true;
        if self.is_owner() && self.evacuation().is_some() {
            self.requeue_unsent();
        }
    }

    /// Who requested that nothing starts in this pool, if its failure domain is evacuated.
    pub(crate) fn evacuation(&self) -> Option<&str> {
        self.rules.evacuation(&self.settings.domain)
    }

    fn tick(&mut self, now: Millis) {
        if !self.is_owner() {
            return;
        }
        self.refuse_expired(now);
        self.expire_leases(now);
        self.expire_grants(now);
        if now.since(self.housekeeping_at) >= HOUSEKEEPING_PERIOD_MS {
            self.housekeeping_at = now;
            self.shares.tick(now);
            self.stop_over_limits();
            self.needs_placement = true;
        }
        self.needs_granting = true;
    }

    /// Performs the work that the current event has made possible.
    fn advance(&mut self, now: Millis) {
        if self.ownership_state == OwnershipState::Owner && self.evacuation().is_none() {
            self.place_jobs(now);
            self.grant_slots(now);
        }
        if self.is_owner() {
            self.sync_workers(now, self.is_tick);
        }
        if self.is_owner() && self.is_tick {
            self.poll_runners(now);
            for (bucket, call) in self.limits.poll(now) {
                self.call_store(StorePurpose::Limits(bucket), call);
            }
        }
        self.advance_journal(now);
    }

    fn advance_journal(&mut self, now: Millis) {
        if self.ownership_state == OwnershipState::Releasing
            && let Some(call) = self.journal.release()
        {
            self.call_store(StorePurpose::Journal, call);
            return;
        }
        if let Some(call) = self.journal.poll(now, self.settings.commit_ms) {
            let is_cleanup = matches!(call, StoreCall::Delete { .. });
            let purpose = if is_cleanup { StorePurpose::Cleanup } else { StorePurpose::Journal };
            self.call_store(purpose, call);
        }
    }

    pub(crate) fn call_store(&mut self, purpose: StorePurpose, call: StoreCall) {
        self.next_token += 1;
        self.store_purposes.insert(self.next_token, purpose);
        self.actions.push(Action::Store(self.next_token, call));
    }

    pub(crate) fn take_purpose(&mut self, token: u64) -> Option<StorePurpose> {
        self.store_purposes.remove(&token)
    }

    /// Drops pending limit calls, so that their answers are ignored.
    pub(crate) fn drop_limit_calls(&mut self) {
        self.store_purposes.retain(|_, purpose| !matches!(purpose, StorePurpose::Limits(_)));
    }

    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        self.actions.push(Action::Send(to, message));
    }

    pub(crate) fn record_event(&mut self, kind: EventKind, subject: &str, detail: &str) {
        let epoch = self.journal.epoch();
        let (subject, detail) = (CompactString::new(subject), CompactString::new(detail));
        self.actions.push(Action::RecordEvent { kind, epoch, subject, detail });
    }

    pub(crate) fn append(&mut self, record: Record, follow_up: Option<FollowUp>) {
        self.journal.append(record, follow_up);
    }

    pub(crate) fn new_attempt(&mut self) -> Attempt {
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        attempt
    }

    pub(crate) fn set_first_attempt(&mut self, epoch: Epoch) {
        self.next_attempt = Attempt::first_in_epoch(epoch);
    }

    pub(crate) fn new_call_id(&mut self) -> u64 {
        self.next_call_id += 1;
        self.next_call_id
    }

    /// Builds a refusal with a jittered retry delay, so that callers do not all retry at once.
    pub(crate) fn refusal(&mut self, reason: NotRunReason, wait_ms: Millis) -> Outcome {
        let min_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
        let jitter_ms = self.random.random_range(0..=min_ms.0);
        Outcome::not_run(reason, min_ms + Millis(jitter_ms))
    }
}
