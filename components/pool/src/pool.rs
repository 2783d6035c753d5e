//! The pool itself: its parts and the dispatch of events to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use config::Rules;
use libs::compact_str::CompactString;
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use placement::Index;
use timeline::EventKind;
use types::{
    Attempt, CallId, DomainId, Epoch, JobId, Message, Millis, NodeId, NotRunReason, Outcome,
    Ownership, PoolId, RequestId, TaskId, TeamUse, WorkerId,
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

/// Period of work that need not be done at each tick.
const SLOW_TICK_MS: Millis = Millis(1_000);
/// A gap between two events after which this process was surely paused, and may have been replaced.
const PAUSE_MS: Millis = Millis(1_000);
/// Shortest time to come back that a refusal names.
const RETRY_AFTER_MS: Millis = Millis(500);

/// Mechanisms of the policy. Each can be switched off to measure what it is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Teams are served by their nearness to their share; otherwise in the order of their names.
    pub shares: bool,
    /// Urgent work comes first; otherwise all priorities are one.
    pub priorities: bool,
    /// Urgent work preempts other work in a full pool.
    pub preemption: bool,
    /// Workers are kept for gangs that wait.
    pub reservations: bool,
    /// Workers that fail everything are quarantined.
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

/// What a pool needs to know of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// The pool.
    pub pool: PoolId,
    /// Failure domain of its back ends.
    pub domain: DomainId,
    /// The process.
    pub me: NodeId,
    /// Term of a worker's lease.
    pub lease_ms: Millis,
    /// Period of asking workers and runners for their state.
    pub poll_ms: Millis,
    /// Shortest time between two journal commits.
    pub commit_ms: Millis,
    /// Time after which a process that was replaced unnoticed stops renewing leases.
    pub unconfirmed_ms: Millis,
    /// Seed of random choices, which only spread retries.
    pub random_seed: u64,
    /// Mechanisms of the policy.
    pub mechanisms: Mechanisms,
}

/// Whether this process owns the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tenure {
    /// It does not.
    None,
    /// It tries to become the owner.
    Claiming,
    /// It is the owner.
    Owner,
    /// It is the owner and hands the pool over as soon as its journal is written.
    Releasing,
}

/// What happens after a record is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FollowUp {
    /// A job is accepted and its submitter is told.
    Accept(SocketAddr, CallId, JobId),
    /// A command succeeded and its sender is told.
    Reply(SocketAddr, CallId, Outcome),
    /// A task may be sent to its worker.
    StartTask(TaskId),
    /// A request may be granted a slot.
    Grant(RequestId),
    /// A worker may forget a task that ended.
    Forget(WorkerId, TaskId),
    /// A worker may be given tasks.
    Joined(WorkerId),
}

/// What an answer of the key-value service is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePurpose {
    Journal,
    Limits(usize),
    Cleanup,
}

/// One pool as seen by one scheduler process.
pub struct Pool {
    pub(crate) settings: PoolSettings,
    pub(crate) rules: Arc<Rules>,
    pub(crate) tenure: Tenure,
    pub(crate) trusted: bool,
    /// When the last event arrived.
    last_event_at: Option<Millis>,
    pub(crate) claimed_at: Millis,
    pub(crate) journal: Journal<FollowUp>,
    pub(crate) jobs: Jobs,
    pub(crate) queue: WorkQueue,
    pub(crate) index: Index,
    pub(crate) workers: Workers,
    pub(crate) runners: Runners,
    pub(crate) requests: Requests,
    pub(crate) shares: Shares,
    pub(crate) limits: Limits,
    pub(crate) random: StdRng,
    /// Workers that are kept for gangs until all of each fits.
    pub(crate) reservations: BTreeMap<JobId, Reservation>,
    pub(crate) needs_placing: bool,
    pub(crate) needs_granting: bool,
    /// Whether the present event is a tick, at which everything that is due by time is done.
    is_tick: bool,
    next_attempt: Attempt,
    next_token: u64,
    next_call: u64,
    slow_tick_at: Millis,
    store_purposes: BTreeMap<u64, StorePurpose>,
    actions: Vec<Action>,
}

impl Pool {
    /// A pool that this process does not own.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            rules: Arc::new(Rules::default()),
            tenure: Tenure::None,
            trusted: true,
            last_event_at: None,
            claimed_at: Millis(0),
            journal: Journal::new(settings.pool.clone(), settings.me.clone()),
            jobs: Jobs::default(),
            queue: WorkQueue::default(),
            index: Index::default(),
            workers: Workers::default(),
            runners: Runners::default(),
            requests: Requests::default(),
            shares: Shares::default(),
            limits: Limits::new(settings.pool.clone()),
            random: StdRng::seed_from_u64(settings.random_seed),
            reservations: BTreeMap::new(),
            needs_placing: false,
            needs_granting: false,
            is_tick: false,
            next_attempt: Attempt::default(),
            next_token: 0,
            next_call: 0,
            slow_tick_at: Millis(0),
            store_purposes: BTreeMap::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes an event at a time on the process clock and returns what to do, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.notice_pause(now);
        self.is_tick = matches!(event, Event::Tick);
        match event {
            Event::Tick => self.tick(now),
            Event::Rules(rules) => self.set_rules(rules),
            Event::Backends(workers, runners) => self.set_backends(workers, runners),
            Event::Claim => self.claim(),
            Event::Release => self.release(),
            Event::PeerEpoch(epoch) => self.hear_epoch(epoch),
            Event::Trusted(trusted) => self.trusted = trusted,
            Event::UseElsewhere(uses) => self.shares.set_elsewhere(&uses),
            Event::Store(token, answer) => self.store_answered(now, token, answer),
            Event::WorkerAnswer(worker, call, answer) => {
                self.worker_answered(now, &worker, call, answer)
            }
            Event::RunnerAnswer(runner, call, answer) => {
                self.runner_answered(now, &runner, call, answer)
            }
            Event::Ask(from, ask) => self.ask_slot(now, from, ask),
            Event::Report(report) => self.report_run(now, report),
            Event::Command(from, call, command) => self.command_job(now, from, call, command),
            Event::Query(from, call, query) => self.query_jobs(now, &from, call, &query),
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// A process that was paused trusts nothing until it is told again that it may.
    fn notice_pause(&mut self, now: Millis) {
        let gap = self.last_event_at.map_or(Millis(0), |at| now.since(at));
        self.last_event_at = Some(now);
        if gap >= PAUSE_MS && self.tenure != Tenure::None {
            self.trusted = false;
            self.push(Action::Count("pool.own_pauses"));
        }
    }

    /// Whether this process owns the pool.
    pub fn is_owner(&self) -> bool {
        matches!(self.tenure, Tenure::Owner | Tenure::Releasing)
    }

    /// Whether this process neither owns the pool nor tries to.
    pub fn is_idle(&self) -> bool {
        self.tenure == Tenure::None
    }

    /// What heartbeats say about this pool, if this process owns it.
    pub fn ownership(&self) -> Option<Ownership> {
        let epoch = self.journal.epoch();
        let pool = self.settings.pool.clone();
        self.is_owner().then_some(Ownership { pool, epoch })
    }

    /// What teams use in this pool.
    pub fn team_uses(&self) -> Vec<TeamUse> {
        self.shares.uses()
    }

    fn set_rules(&mut self, rules: Arc<Rules>) {
        if rules.version < self.rules.version {
            return;
        }
        self.shares.set_rules(&rules);
        self.limits.set_rules(&rules);
        self.rules = rules;
        self.needs_placing = true;
    }

    fn tick(&mut self, now: Millis) {
        if !self.is_owner() {
            return;
        }
        self.refuse_expired(now);
        self.lapse_workers(now);
        self.lapse_grants(now);
        if now.since(self.slow_tick_at) >= SLOW_TICK_MS {
            self.slow_tick_at = now;
            self.shares.tick(now);
            self.stop_over_limits();
            self.needs_placing = true;
        }
        self.needs_granting = true;
    }

    /// Does what has become possible.
    fn advance(&mut self, now: Millis) {
        if self.tenure == Tenure::Owner {
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
        if self.tenure == Tenure::Releasing
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

    /// Forgets all calls to the key-value service but those of the journal.
    pub(crate) fn forget_limit_calls(&mut self) {
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
        self.actions.push(Action::Record { kind, epoch, subject, detail });
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
        self.next_attempt = Attempt::first_of(epoch);
    }

    pub(crate) fn new_call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    /// A refusal whose time to come back is spread out, so that callers do not return all at once.
    pub(crate) fn refusal(&mut self, reason: NotRunReason, wait_ms: Millis) -> Outcome {
        let least = wait_ms.max(RETRY_AFTER_MS);
        let spread = self.random.random_range(0..=least.0);
        Outcome::not_run(reason, least + Millis(spread))
    }
}
