//! The decisions thread: feeds pools with events, carries their actions out, and decides which
//! pools this process should own.

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
    Outcome, PoolId, RunnerInfo, TeamUse, Vm, VmKind, WorkerInfo,
};

use crate::input::Input;
use crate::lanes::{BackendJob, Lanes};
use crate::uses::UseExchange;

/// Time after start in which this process only listens, so that it hears of present owners.
const LISTEN_ONLY_MS: Millis = Millis(1_000);
/// Time after start in which this process claims nothing, so that peers that start at the same
/// time hear of each other first.
const CLAIM_AFTER_MS: Millis = Millis(1_500);
/// Time for which another assignment must last before a pool is handed over for balance.
const REBALANCE_AFTER_MS: Millis = Millis(10_000);
/// Period of telling pools what teams use elsewhere.
const USE_PERIOD_MS: Millis = Millis(1_000);
/// When a caller may ask again where no owner is known.
const NO_OWNER_RETRY_MS: Millis = Millis(500);

/// State of the decisions thread.
pub(crate) struct Decisions {
    identity: NodeId,
    settings: Settings,
    node: Node,
    mesh: Mesh,
    lanes: Lanes,
    timeline: Timeline,
    metrics: Metrics,
    pools: BTreeMap<PoolId, Pool>,
    vms: Vec<Vm>,
    started_at: Millis,
    /// Owned pools that are assigned to another process, and since when.
    misplaced: BTreeMap<PoolId, Millis>,
    uses_told_at: Millis,
    uses: UseExchange,
    stopping_since: Option<Millis>,
}

impl Decisions {
    pub(crate) fn new(settings: Settings, node: Node, services: &Services, lanes: Lanes) -> Self {
        let now = clock::now();
        Self {
            identity: services.identity.clone(),
            settings,
            node,
            mesh: services.mesh.clone(),
            lanes,
            timeline: services.timeline.clone(),
            metrics: services.metrics.clone(),
            pools: BTreeMap::new(),
            vms: Vec::new(),
            started_at: now,
            misplaced: BTreeMap::new(),
            uses_told_at: now,
            uses: UseExchange::default(),
            stopping_since: None,
        }
    }

    /// Runs until the token is cancelled and all pools are handed over.
    pub(crate) fn run(
        &mut self,
        inputs: &Receiver<Input>,
        peers: &Receiver<Envelope>,
        token: &CancellationToken,
    ) {
        loop {
            select! {
                recv(inputs) -> input => match input {
                    Ok(input) => self.take_input(clock::now(), input),
                    Err(_) => return,
                },
                recv(peers) -> envelope => match envelope {
                    Ok(envelope) => self.take_envelope(clock::now(), envelope),
                    Err(_) => return,
                },
            }
            if token.is_cancelled() && self.stop(clock::now()) {
                return;
            }
        }
    }

    fn take_input(&mut self, now: Millis, input: Input) {
        match input {
            Input::Tick => self.step_all(now, &Event::Tick),
            Input::Heartbeat => self.beat(now),
            Input::Rules(news) => {
                let change = self.node.take_rules_news(now, news);
                self.take_changes(now, change.into_iter().collect());
            }
            Input::Vms(vms) => {
                self.vms = vms;
                self.tell_backends(now);
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

    fn take_envelope(&mut self, now: Millis, envelope: Envelope) {
        let (changes, rest) = self.node.receive(now, envelope);
        self.take_changes(now, changes);
        if let Some(envelope) = rest {
            self.take_message(now, envelope);
        }
    }

    fn take_message(&mut self, now: Millis, envelope: Envelope) {
        let from = ReplyTo { node: envelope.from, address: envelope.reply_to };
        match envelope.message {
            Message::SlotAsk(ask) if self.pools.contains_key(&ask.pool) => {
                let pool = ask.pool.clone();
                self.step(now, &pool, Event::Ask(from, ask));
            }
            Message::SlotAsk(ask) => {
                self.mesh.send(from.address, Message::SlotRefusal(ask.call, no_owner()))
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
                    JobQuery::One(id) => pool_of(id),
                    JobQuery::OfTeam(pool, _) => Some(pool.clone()),
                };
                if let Some(pool) = pool {
                    self.step(now, &pool, Event::Query(from, call, query));
                }
            }
            Message::TeamUses(pool, epoch, uses) => self.uses.note(&pool, epoch, uses),
            Message::StatusQuery(call) => {
                let statuses = self.pools.values().filter_map(Pool::status).collect();
                self.mesh.send(from.address, Message::Status(call, statuses));
            }
            _ => self.metrics.count("net.messages_unexpected"),
        }
    }

    fn take_changes(&mut self, now: Millis, changes: Vec<NodeChange>) {
        for change in changes {
            match change {
                NodeChange::Rules(rules) => self.set_rules(now, &rules),
                NodeChange::Trust(trusted) => self.step_all(now, &Event::Trusted(trusted)),
                NodeChange::Members => self.balance(now),
            }
        }
    }

    /// Creates pools that the rules name, and tells all pools the rules.
    fn set_rules(&mut self, now: Millis, rules: &Arc<Rules>) {
        for rule in rules.pools() {
            if self.pools.contains_key(&rule.name) {
                continue;
            }
            let timing = &self.settings.timing;
            let pool_settings = PoolSettings {
                pool: rule.name.clone(),
                domain: rule.domain.clone(),
                me: self.identity.clone(),
                lease_ms: timing.lease_ms,
                poll_ms: timing.poll_ms,
                commit_ms: timing.commit_ms,
                unconfirmed_ms: timing.unconfirmed_ms,
                random_seed: rand::rng().random(),
                mechanisms: Mechanisms::default(),
            };
            self.pools.insert(rule.name.clone(), Pool::new(pool_settings));
            self.step(now, &rule.name, Event::Trusted(self.node.trusted()));
        }
        self.step_all(now, &Event::Rules(rules.clone()));
        self.tell_backends(now);
    }

    fn tell_backends(&mut self, now: Millis) {
        if self.vms.is_empty() {
            return;
        }
        let rules = self.node.rules().clone();
        for rule in rules.pools() {
            let in_domain = || self.vms.iter().filter(|vm| vm.domain == rule.domain);
            let workers = in_domain()
                .filter(|vm| vm.kind == VmKind::Worker)
                .filter_map(worker_info)
                .collect();
            let runners = in_domain()
                .filter(|vm| vm.kind == VmKind::Runner)
                .filter_map(runner_info)
                .collect();
            self.step(now, &rule.name, Event::Backends(workers, runners));
        }
    }

    /// Does a round of heartbeats and decides about ownership.
    fn beat(&mut self, now: Millis) {
        self.node.set_owned(self.pools.values().filter_map(Pool::ownership).collect());
        let changes = self.node.tick(now);
        self.take_changes(now, changes);
        // Repeated, because a pool that noticed a pause waits for it.
        let trusted = self.node.trusted();
        self.step_all(now, &Event::Trusted(trusted));
        if now.since(self.uses_told_at) >= USE_PERIOD_MS {
            self.uses_told_at = now;
            self.tell_uses(now);
        }
        self.balance(now);
    }

    /// Claims pools that are assigned to this process, and hands over those that are not.
    fn balance(&mut self, now: Millis) {
        let age_ms = now.since(self.started_at);
        if self.stopping_since.is_some() || age_ms < LISTEN_ONLY_MS {
            return;
        }
        self.node.set_takes_pools();
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
        let may_claim = members.hears_majority();
        let assigned = assign_pools(&pools, &schedulers, &owners);
        for pool in pools {
            let is_mine = assigned.get(&pool) == Some(&self.identity.name);
            let is_owner = self.pools.get(&pool).is_some_and(Pool::is_owner);
            if is_mine && !is_owner && !owners.contains_key(&pool) && may_claim {
                events.push((pool.clone(), Event::Claim));
            }
            if is_owner && !is_mine {
                let since = *self.misplaced.entry(pool.clone()).or_insert(now);
                if now.since(since) >= REBALANCE_AFTER_MS {
                    info!("pool {pool} is handed over for balance");
                    self.misplaced.remove(&pool);
                    events.push((pool, Event::Release));
                }
            } else {
                self.misplaced.remove(&pool);
            }
        }
        for (pool, event) in events {
            self.step(now, &pool, event);
        }
    }

    /// Tells own pools and other owners what teams use.
    fn tell_uses(&mut self, now: Millis) {
        let own: Vec<(PoolId, Epoch, Vec<TeamUse>)> = self
            .pools
            .values()
            .filter_map(|pool| {
                pool.ownership().map(|owned| (owned.pool, owned.epoch, pool.team_uses()))
            })
            .collect();
        for (pool, epoch, uses) in &own {
            self.uses.note(pool, *epoch, uses.clone());
        }
        let owners: BTreeSet<SocketAddr> = self
            .node
            .members()
            .alive()
            .filter(|peer| !peer.heartbeat.owned.is_empty())
            .map(|peer| peer.heartbeat.address)
            .collect();
        for (pool, epoch, uses) in own {
            if !self.uses.may_send(now, &pool, &uses, owners.len()) {
                continue;
            }
            for owner in &owners {
                self.mesh.send(*owner, Message::TeamUses(pool.clone(), epoch, uses.clone()));
            }
        }
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pools {
            let elsewhere = self.uses.elsewhere(&pool);
            self.step(now, &pool, Event::UseElsewhere(elsewhere));
        }
    }

    /// Goes on with a graceful shutdown. True once it is done.
    fn stop(&mut self, now: Millis) -> bool {
        let since = match self.stopping_since {
            Some(since) => since,
            None => {
                info!("stopping: pools are handed over");
                self.stopping_since = Some(now);
                self.node.set_leaving();
                self.step_all(now, &Event::Release);
                self.beat(now);
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
            self.act(id, action);
        }
        if ownership_changed {
            self.node.set_owned(self.pools.values().filter_map(Pool::ownership).collect());
            self.node.send_heartbeats(now);
        }
    }

    fn act(&mut self, pool: &PoolId, action: Action) {
        match action {
            Action::Store(token, call) => self.lanes.call_store(pool, token, call),
            Action::SyncWorker { worker, url, call, suspect, request } => {
                let job = BackendJob::Sync { pool: pool.clone(), worker, url, call, request };
                self.lanes.call_backend(job, suspect);
            }
            Action::PollRunner { runner, url, form, call, suspect, epoch } => {
                let job = BackendJob::Poll { pool: pool.clone(), runner, url, form, call, epoch };
                self.lanes.call_backend(job, suspect);
            }
            Action::Send(to, message) => self.mesh.send(to, message),
            Action::Record { kind, epoch, subject, detail } => {
                self.timeline.record_in_pool(kind, (pool, epoch), &subject, &detail);
            }
            Action::Count(name) => self.metrics.count(name),
        }
    }
}

fn no_owner() -> Outcome {
    Outcome::not_run(NotRunReason::NoOwner, NO_OWNER_RETRY_MS)
}

/// The pool that holds a job.
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
