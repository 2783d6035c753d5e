//! The decisions thread: passes events to the pools, executes the actions they return, and decides
//! which pools this process should own.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use clock::CancellationToken;
use config::{Rules, Settings};
use libs::crossbeam_channel::{Receiver, select};
use libs::log::info;
use libs::rand::{self, Rng};
use membership::assign_pools;
use metrics::Metrics;
use net::Mesh;
use node::{Node, NodeChange, Services};
use pool::{Action, Event, Mechanisms, Pool, PoolSettings, ReplyTo};
use timeline::Timeline;
use types::{
    Envelope, Epoch, JobCommand, JobId, JobQuery, Message, Millis, NodeId, NodeName, NotRunReason,
    Outcome, PoolId, RunnerInfo, TeamUsage, Vm, VmKind, WorkerInfo,
};

use crate::executors::{BackendCall, CallExecutors};
use crate::input::Input;
use crate::team_usage::UsageExchange;

/// Time after start during which this process only listens, so that it learns who owns each pool.
const LISTEN_ONLY_MS: Millis = Millis(1_000);
/// Time after start before the first claim, so that peers that start at the same time discover
/// each other first.
const CLAIM_AFTER_MS: Millis = Millis(1_500);
/// Time for which a pool must be assigned to another process before it is handed over.
const REBALANCE_AFTER_MS: Millis = Millis(10_000);
/// Period of passing the resources that teams use in other pools to each pool.
const USAGE_PERIOD_MS: Millis = Millis(1_000);
/// Retry delay that is sent to callers while the pool has no known owner.
const NO_OWNER_RETRY_MS: Millis = Millis(500);

/// State of the decisions thread.
pub(crate) struct Decisions {
    identity: NodeId,
    settings: Settings,
    node: Node,
    mesh: Mesh,
    executors: CallExecutors,
    timeline: Timeline,
    metrics: Metrics,
    pools: BTreeMap<PoolId, Pool>,
    vms: Vec<Vm>,
    started_at: Millis,
    /// Owned pools that are assigned to another process, and since when.
    misassigned: BTreeMap<PoolId, Millis>,
    usage_sent_at: Millis,
    usage: UsageExchange,
    stopping_since: Option<Millis>,
}

impl Decisions {
    pub(crate) fn new(
        settings: Settings,
        node: Node,
        services: &Services,
        executors: CallExecutors,
    ) -> Self {
        let now = clock::now();
        Self {
            identity: services.identity.clone(),
            settings,
            node,
            mesh: services.mesh.clone(),
            executors,
            timeline: services.timeline.clone(),
            metrics: services.metrics.clone(),
            pools: BTreeMap::new(),
            vms: Vec::new(),
            started_at: now,
            misassigned: BTreeMap::new(),
            usage_sent_at: now,
            usage: UsageExchange::default(),
            stopping_since: None,
        }
    }

    /// Runs until the token is cancelled and all pools are handed over, or the shutdown times out.
    pub(crate) fn run(
        &mut self,
        inputs: &Receiver<Input>,
        peers: &Receiver<Envelope>,
        token: &CancellationToken,
    ) {
        loop {
            select! {
                recv(inputs) -> input => match input {
                    Ok(input) => self.handle_input(clock::now(), input),
                    Err(_) => return,
                },
                recv(peers) -> envelope => match envelope {
                    Ok(envelope) => self.handle_envelope(clock::now(), envelope),
                    Err(_) => return,
                },
            }
            if token.is_cancelled() && self.advance_shutdown(clock::now()) {
                return;
            }
        }
    }

    fn handle_input(&mut self, now: Millis, input: Input) {
        match input {
            Input::Tick => self.step_all(now, &Event::Tick),
            Input::Heartbeat => self.run_heartbeat_round(now),
            Input::Rules(update) => {
                let change = self.node.handle_rules_update(now, update);
                self.handle_changes(now, change.into_iter().collect());
            }
            Input::Vms(vms) => {
                self.vms = vms;
                self.update_backends(now);
            }
            Input::Store(pool, token, answer) => self.step(now, &pool, Event::Store(token, answer)),
            Input::Worker(pool, worker, call, answer) => {
                self.step(now, &pool, Event::WorkerAnswer(worker, call, answer));
            }
            Input::Runner(pool, runner, call, answer) => {
                self.step(now, &pool, Event::RunnerAnswer(runner, call, answer));
            }
        }
    }

    fn handle_envelope(&mut self, now: Millis, envelope: Envelope) {
        let (changes, unhandled) = self.node.receive(now, envelope);
        self.handle_changes(now, changes);
        if let Some(envelope) = unhandled {
            self.handle_message(now, envelope);
        }
    }

    fn handle_message(&mut self, now: Millis, envelope: Envelope) {
        let from = ReplyTo { node: envelope.from, address: envelope.reply_to };
        match envelope.message {
            Message::SlotRequest(slot_request) if self.pools.contains_key(&slot_request.pool) => {
                let pool = slot_request.pool.clone();
                self.step(now, &pool, Event::SlotRequest(from, slot_request));
            }
            Message::SlotRequest(slot_request) => {
                self.mesh.send(from.address, Message::SlotRefusal(slot_request.call, no_owner()))
            }
            Message::SlotReport(report) => {
                let pool = report.pool.clone();
                self.step(now, &pool, Event::Report(report));
            }
            Message::JobCommand(call, command) => {
                let job = match &command {
                    JobCommand::Submit(spec) => &spec.id,
                    JobCommand::Cancel(id, _) => id,
                };
                match pool_of(job).filter(|pool| self.pools.contains_key(pool)) {
                    Some(pool) => self.step(now, &pool, Event::Command(from, call, command)),
                    None => self.mesh.send(from.address, Message::JobOutcome(call, no_owner())),
                }
            }
            Message::JobQuery(call, query) => {
                let pool = match &query {
                    JobQuery::ById(id) => pool_of(id),
                    JobQuery::ByTeam(pool, _) => Some(pool.clone()),
                };
                if let Some(pool) = pool {
                    self.step(now, &pool, Event::Query(from, call, query));
                }
            }
            Message::TeamUsage(pool, epoch, usage) => self.usage.record(&pool, epoch, usage),
            Message::StatusQuery(call) => {
                let statuses = self.pools.values().filter_map(Pool::status).collect();
                self.mesh.send(from.address, Message::Status(call, statuses));
            }
            _ => self.metrics.count("net.messages_unexpected"),
        }
    }

    fn handle_changes(&mut self, now: Millis, changes: Vec<NodeChange>) {
        for change in changes {
            match change {
                NodeChange::Rules(rules) => self.apply_rules(now, &rules),
                NodeChange::Trust(trusted) => {
                    self.step_all(now, &Event::MembershipConfirmed(trusted))
                }
                NodeChange::Members => self.update_ownership(now),
            }
        }
    }

    /// Creates the pools that the rules add and passes the rules to all pools.
    fn apply_rules(&mut self, now: Millis, rules: &Arc<Rules>) {
        for rule in rules.pools() {
            if self.pools.contains_key(&rule.name) {
                continue;
            }
            let timing = &self.settings.timing;
            let pool_settings = PoolSettings {
                pool: rule.name.clone(),
                domain: rule.domain.clone(),
                node: self.identity.clone(),
                lease_ms: timing.lease_ms,
                poll_ms: timing.poll_ms,
                commit_ms: timing.commit_ms,
                unconfirmed_ms: timing.unconfirmed_ms,
                random_seed: rand::rng().random(),
                mechanisms: Mechanisms::default(),
            };
            self.pools.insert(rule.name.clone(), Pool::new(pool_settings));
            self.step(now, &rule.name, Event::MembershipConfirmed(self.node.trusted()));
        }
        self.step_all(now, &Event::Rules(rules.clone()));
        self.update_backends(now);
    }

    fn update_backends(&mut self, now: Millis) {
        if self.vms.is_empty() {
            return;
        }
        let rules = self.node.rules().clone();
        for rule in rules.pools() {
            let vms_in_domain = || self.vms.iter().filter(|vm| vm.domain == rule.domain);
            let workers = vms_in_domain()
                .filter(|vm| vm.kind == VmKind::Worker)
                .filter_map(worker_info)
                .collect();
            let runners = vms_in_domain()
                .filter(|vm| vm.kind == VmKind::Runner)
                .filter_map(runner_info)
                .collect();
            self.step(now, &rule.name, Event::Backends(workers, runners));
        }
    }

    /// Sends a round of heartbeats and updates the ownership of pools.
    fn run_heartbeat_round(&mut self, now: Millis) {
        self.node.set_owned(self.pools.values().filter_map(Pool::ownership).collect());
        let changes = self.node.tick(now);
        self.handle_changes(now, changes);
        // Sent in every round, because a pool that detected a pause of its process waits for it.
        let trusted = self.node.trusted();
        self.step_all(now, &Event::MembershipConfirmed(trusted));
        if now.since(self.usage_sent_at) >= USAGE_PERIOD_MS {
            self.usage_sent_at = now;
            self.exchange_usage(now);
        }
        self.update_ownership(now);
    }

    /// Claims pools that are assigned to this process and releases those assigned to others.
    fn update_ownership(&mut self, now: Millis) {
        let age_ms = now.since(self.started_at);
        if self.stopping_since.is_some() || age_ms < LISTEN_ONLY_MS {
            return;
        }
        self.node.set_accepts_pools();
        if age_ms < CLAIM_AFTER_MS {
            return;
        }
        let members = self.node.members();
        let pools: BTreeSet<PoolId> = self.pools.keys().cloned().collect();
        let schedulers = members.live_schedulers();
        let mut owners: BTreeMap<PoolId, NodeName> = BTreeMap::new();
        let mut events: Vec<(PoolId, Event)> = Vec::new();
        for pool in &pools {
            if let Some((owner, _)) = members.owner_of(pool) {
                owners.insert(pool.clone(), owner.node.name.clone());
            }
            if let Some(epoch) = members.highest_epoch(pool) {
                events.push((pool.clone(), Event::PeerEpoch(epoch)));
            }
        }
        let has_majority = members.has_majority();
        let assigned = assign_pools(&pools, &schedulers, &owners);
        for pool in pools {
            let is_assigned = assigned.get(&pool) == Some(&self.identity.name);
            let is_owner = self.pools.get(&pool).is_some_and(Pool::is_owner);
            if is_assigned && !is_owner && !owners.contains_key(&pool) && has_majority {
                events.push((pool.clone(), Event::Claim));
            }
            if is_owner && !is_assigned {
                let since = *self.misassigned.entry(pool.clone()).or_insert(now);
                if now.since(since) >= REBALANCE_AFTER_MS {
                    info!("handing over pool {pool} to rebalance");
                    self.misassigned.remove(&pool);
                    events.push((pool, Event::Release));
                }
            } else {
                self.misassigned.remove(&pool);
            }
        }
        for (pool, event) in events {
            self.step(now, &pool, event);
        }
    }

    /// Exchanges the resource usage of teams with other owners and passes it to the own pools.
    fn exchange_usage(&mut self, now: Millis) {
        let own_pools: Vec<(PoolId, Epoch, Vec<TeamUsage>)> = self
            .pools
            .values()
            .filter_map(|pool| {
                pool.ownership().map(|owned| (owned.pool, owned.epoch, pool.team_usage()))
            })
            .collect();
        for (pool, epoch, usage) in &own_pools {
            self.usage.record(pool, *epoch, usage.clone());
        }
        let owners: BTreeSet<SocketAddr> = self
            .node
            .members()
            .alive()
            .filter(|peer| !peer.heartbeat.owned.is_empty())
            .map(|peer| peer.heartbeat.address)
            .collect();
        for (pool, epoch, usage) in own_pools {
            if !self.usage.should_send(now, &pool, &usage, owners.len()) {
                continue;
            }
            for owner in &owners {
                self.mesh.send(*owner, Message::TeamUsage(pool.clone(), epoch, usage.clone()));
            }
        }
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pools {
            let usage = self.usage.in_other_pools(&pool);
            self.step(now, &pool, Event::OtherPoolsUsage(usage));
        }
    }

    /// Starts or continues a graceful shutdown. Returns true once it is complete.
    fn advance_shutdown(&mut self, now: Millis) -> bool {
        let since = match self.stopping_since {
            Some(since) => since,
            None => {
                info!("shutting down: handing over pools");
                self.stopping_since = Some(now);
                self.node.set_leaving();
                self.step_all(now, &Event::Release);
                self.run_heartbeat_round(now);
                now
            }
        };
        let all_idle = self.pools.values().all(Pool::is_idle);
        let done = all_idle || now.since(since) >= self.settings.timing.shutdown_ms;
        if done {
            self.node.set_owned(Vec::new());
            self.node.send_heartbeats(now);
        }
        done
    }

    fn step_all(&mut self, now: Millis, event: &Event) {
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.step(now, &pool, event.clone());
        }
    }

    fn step(&mut self, now: Millis, id: &PoolId, event: Event) {
        let Some(pool) = self.pools.get_mut(id) else { return };
        let was_owner = pool.is_owner();
        let actions = pool.step(now, event);
        let ownership_changed = was_owner != pool.is_owner();
        for action in actions {
            self.execute(id, action);
        }
        if ownership_changed {
            self.node.set_owned(self.pools.values().filter_map(Pool::ownership).collect());
            self.node.send_heartbeats(now);
        }
    }

    fn execute(&mut self, pool: &PoolId, action: Action) {
        match action {
            Action::Store(token, call) => self.executors.call_store(pool, token, call),
            Action::SyncWorker { worker, url, call, suspect, request } => {
                let backend_call =
                    BackendCall::Sync { pool: pool.clone(), worker, url, call_id: call, request };
                self.executors.call_backend(backend_call, suspect);
            }
            Action::PollRunner { runner, url, format, call, suspect, epoch } => {
                let backend_call = BackendCall::Poll {
                    pool: pool.clone(),
                    runner,
                    url,
                    format,
                    call_id: call,
                    epoch,
                };
                self.executors.call_backend(backend_call, suspect);
            }
            Action::Send(to, message) => self.mesh.send(to, message),
            Action::RecordEvent { kind, epoch, subject, detail } => {
                self.timeline.record_in_pool(kind, (pool, epoch), &subject, &detail);
            }
            Action::IncrementCounter(name) => self.metrics.count(name),
        }
    }
}

fn no_owner() -> Outcome {
    Outcome::not_run(NotRunReason::NoOwner, NO_OWNER_RETRY_MS)
}

/// Returns the pool that holds a job.
fn pool_of(job: &JobId) -> Option<PoolId> {
    job.as_str().split_once(':').and_then(|(pool, _)| pool.parse().ok())
}

fn worker_info(vm: &Vm) -> Option<WorkerInfo> {
    Some(WorkerInfo {
        worker: vm.name.parse().ok()?,
        url: vm.url.clone(),
        rack: vm.rack.clone(),
        capacity: vm.capacity,
        leaving: vm.leaving,
    })
}

fn runner_info(vm: &Vm) -> Option<RunnerInfo> {
    Some(RunnerInfo {
        runner: vm.name.parse().ok()?,
        url: vm.url.clone(),
        vendor: vm.vendor.clone(),
        leaving: vm.leaving,
    })
}
