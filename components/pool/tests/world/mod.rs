//! A pool's decision core in virtual time, with small fakes at its interfaces.
//!
//! Three scheduler nodes contend for one pool. Workers and runners are the stand-ins' own, which
//! keep the truth about what ran. Every message can be late, lost or doubled, every node can pause,
//! die or be cut off, and the key-value service can be down or lose answers.

#![allow(dead_code, reason = "each test file uses its own part of the world")]

mod callers;
mod checks;
mod nodes;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use config::Rules;
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use pool::{Event, StoreCall};
use standin::{RunOrder, RunnerCore, Truth, Worker};
use types::{
    Epoch, Message, Millis, PoolId, RequestId, Resources, RulesVersion, RunnerId, RunnerInfo,
    SyncRequest, WorkerId, WorkerInfo,
};

pub use callers::{Caller, CallerEnd};
pub use nodes::Sim;

/// Number of scheduler nodes.
pub const NODES: usize = 3;
/// Number of entries.
pub const ENTRIES: usize = 2;
/// Period of ticks.
const TICK: u64 = 20;
/// Period of the membership stand-in.
const BEAT: u64 = 250;

/// What a message on its way does when it arrives.
#[derive(Debug, Clone)]
pub enum Delivery {
    /// An event for a node.
    Node(usize, Event),
    /// A call of a node to the key-value service.
    Store { node: usize, token: u64, call: StoreCall },
    /// A sync of a node with a worker.
    Sync { node: usize, worker: WorkerId, call: u64, request: SyncRequest },
    /// A poll of a node to a runner.
    Poll { node: usize, runner: RunnerId, call: u64, epoch: Epoch },
    /// A message for an entry.
    Entry(usize, Message),
    /// A request arrives at a runner.
    Run { caller: usize, runner: RunnerId, order: RunOrder, work: Millis },
    /// A runner ends a request.
    RunEnds { caller: usize, runner: RunnerId, order: RunOrder },
    /// A caller looks again at what became of its request.
    Wake(usize),
    /// A fault ends.
    Heal(Fault),
    /// All nodes tick.
    Tick,
    /// The membership stand-in looks around.
    Beat,
}

/// A fault that lasts for some time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A node is paused.
    Pause(usize),
    /// A node hears neither the key-value service nor other nodes, but reaches back ends.
    Cut(usize),
    /// The key-value service fails every call.
    StoreDown,
    /// The key-value service loses half of its answers.
    StoreLossy,
    /// A worker is not reached by a node.
    WorkerCut(usize, WorkerId),
    /// A node wrongly suspects the owner.
    Suspicious(usize),
}

/// The whole world.
pub struct World {
    /// The time. Each node's own clock differs from it.
    pub now: u64,
    pub random: StdRng,
    pub sims: Vec<Sim>,
    pub store: store::FakeStore,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub runners: BTreeMap<RunnerId, RunnerCore>,
    pub truth: Arc<Truth>,
    pub callers: Vec<Caller>,
    /// Jobs that were accepted, with whether they are idempotent.
    pub accepted: BTreeMap<String, bool>,
    pub cancelled: BTreeSet<String>,
    pub rules: Arc<Rules>,
    pub faults: BTreeSet<Fault>,
    /// Loss of messages between entries and nodes, in percent.
    pub loss: u32,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    next_delivery: u64,
    /// What happened, for golden files.
    pub log: Vec<String>,
    /// When the limit was changed, and what it was before.
    pub limit_changes: Vec<(u64, u64)>,
}

/// The pool under test.
pub fn pool_id() -> PoolId {
    "north".parse().unwrap()
}

/// What a worker has.
pub const CAPACITY: Resources = Resources { cpu_milli: 8_000, mem_mb: 16_384, accels: 0 };

/// Rules with a limit on team `mill`, in cores and slots.
pub fn rules_text(cores: u64, slots: u64) -> String {
    format!(
        "- pool: {{name: north, domain: north}}  # Hanna\n\
         - team: {{name: mill, share: 1}}  # Piet\n\
         - team: {{name: lakeside, share: 1}}  # Hanna\n\
         - limit: {{team: mill, cores: {cores}, slots: {slots}}}  # Piet\n\
         - queue: {{name: checks, kind: request, priority: urgent}}  # Hanna\n\
         - queue: {{name: orders, kind: request, idempotent: false}}  # Hanna\n\
         - queue: {{name: formulas, kind: batch}}  # Piet\n\
         - queue: {{name: plans, kind: gang}}  # Piet\n"
    )
}

impl World {
    /// A world without faults, in which the first node is about to claim the pool.
    pub fn new(seed: u64, workers: usize) -> Self {
        let truth = Arc::new(Truth::default());
        let rules = Rules::parse(RulesVersion(1), &rules_text(12, 6)).unwrap();
        let mut world = Self {
            now: 1,
            random: StdRng::seed_from_u64(seed),
            sims: Vec::new(),
            store: store::FakeStore::default(),
            workers: (0..workers)
                .map(|index| {
                    let name = format!("w{index}");
                    (name.parse().unwrap(), Worker::new(name, CAPACITY, 1, truth.clone()))
                })
                .collect(),
            runners: (0..2)
                .map(|index| {
                    let name = format!("r{index}");
                    (name.parse().unwrap(), RunnerCore::new(name, 3, 1, truth.clone()))
                })
                .collect(),
            truth,
            callers: Vec::new(),
            accepted: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            rules: Arc::new(rules),
            faults: BTreeSet::new(),
            loss: 0,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            log: Vec::new(),
            limit_changes: Vec::new(),
        };
        for index in 0..NODES {
            let sim = Sim::new(index, 1, &mut world.random);
            world.sims.push(sim);
            world.introduce(index);
        }
        world.send_after(1, Delivery::Tick);
        world.send_after(2, Delivery::Beat);
        world
    }

    /// Tells a node the rules and the list of back ends.
    pub fn introduce(&mut self, node: usize) {
        let workers = self.workers.keys().map(|id| WorkerInfo {
            worker: id.clone(),
            url: id.as_str().into(),
            rack: "rack".parse().unwrap(),
            capacity: CAPACITY,
            leaving: false,
        });
        let runners = self.runners.keys().map(|id| RunnerInfo {
            runner: id.clone(),
            url: id.as_str().into(),
            vendor: "acme".into(),
            leaving: false,
        });
        let backends = Event::Backends(workers.collect(), runners.collect());
        self.sims[node].inbox.push(Event::Rules(self.rules.clone()));
        self.sims[node].inbox.push(backends);
    }

    /// Puts other limits in force at all nodes.
    pub fn set_limit(&mut self, version: u64, cores: u64, slots: u64) {
        let before =
            self.rules.limit(&"mill".parse().unwrap()).map_or(0, |limit| limit.resources.cpu_milli);
        self.limit_changes.push((self.now, before));
        self.rules =
            Arc::new(Rules::parse(RulesVersion(version), &rules_text(cores, slots)).unwrap());
        for node in 0..NODES {
            let delay = self.random.random_range(1..500);
            self.send_after(delay, Delivery::Node(node, Event::Rules(self.rules.clone())));
        }
    }

    /// Schedules a delivery.
    pub fn send_after(&mut self, delay: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.queue.push(Reverse((self.now + delay, self.next_delivery)));
        self.deliveries.insert(self.next_delivery, delivery);
    }

    /// The time that a message takes, which is sometimes long.
    pub fn delay(&mut self) -> u64 {
        match self.random.random_range(0..1000) {
            0..3 if self.loss > 0 => self.random.random_range(1_000..7_000),
            3..30 if self.loss > 0 => self.random.random_range(30..400),
            _ => self.random.random_range(1..4),
        }
    }

    /// Whether a message is lost.
    pub fn is_lost(&mut self) -> bool {
        let loss = self.loss;
        self.random.random_range(0..100) < loss
    }

    /// Begins a fault that ends after some time.
    pub fn begin(&mut self, fault: Fault, lasts: u64) {
        if self.faults.insert(fault.clone()) {
            self.log.push(format!("{} fault {fault:?} for {lasts}", self.now));
            self.send_after(lasts, Delivery::Heal(fault));
        }
    }

    /// Whether a fault is present.
    pub fn has(&self, fault: &Fault) -> bool {
        self.faults.contains(fault)
    }

    /// Lets time pass and checks all invariants after each delivery.
    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(delivery) = self.deliveries.remove(&id) else { continue };
            for worker in self.workers.values_mut() {
                worker.advance(Millis(self.now));
            }
            self.deliver(delivery);
            self.check_always();
        }
        self.now = until;
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Node(node, event) => self.give_event(node, event),
            Delivery::Store { node, token, call } => self.answer_store(node, token, call),
            Delivery::Sync { node, worker, call, request } => {
                self.answer_sync(node, &worker, call, &request)
            }
            Delivery::Poll { node, runner, call, epoch } => {
                self.answer_poll(node, &runner, call, epoch)
            }
            Delivery::Entry(entry, message) => self.tell_entry(entry, message),
            Delivery::Run { caller, runner, order, work } => {
                self.begin_run(caller, runner, order, work)
            }
            Delivery::RunEnds { caller, runner, order } => self.end_run(caller, &runner, &order),
            Delivery::Wake(caller) => self.wake_caller(caller),
            Delivery::Heal(fault) => self.heal(&fault),
            Delivery::Tick => {
                self.send_after(TICK, Delivery::Tick);
                for node in 0..NODES {
                    self.give_event(node, Event::Tick);
                }
            }
            Delivery::Beat => {
                self.send_after(BEAT, Delivery::Beat);
                self.beat();
            }
        }
    }

    fn heal(&mut self, fault: &Fault) {
        self.faults.remove(fault);
        self.log.push(format!("{} healed {fault:?}", self.now));
        if let Fault::Pause(node) = fault {
            self.resume(*node);
        }
    }

    /// Ends all faults.
    pub fn heal_all(&mut self) {
        self.loss = 0;
        for fault in self.faults.clone() {
            self.heal(&fault);
        }
        for node in 0..NODES {
            if self.sims[node].dead {
                self.restart_node(node);
            }
        }
    }

    fn begin_run(&mut self, caller: usize, runner: RunnerId, order: RunOrder, work: Millis) {
        let now = Millis(self.now);
        let begun = self.runners.get_mut(&runner).map(|core| core.begin(now, &order));
        match begun {
            Some(Ok(())) => {
                let latest = order.end_before.since(now).0;
                self.send_after(work.0.min(latest), Delivery::RunEnds { caller, runner, order });
            }
            _ => self.end_of_run(caller, &order.id, order.attempt, backends::RunResult::NotStarted),
        }
    }

    fn end_run(&mut self, caller: usize, runner: &RunnerId, order: &RunOrder) {
        let now = Millis(self.now);
        let stopped_at_limit = now >= order.end_before;
        let Some(core) = self.runners.get_mut(runner) else { return };
        let completed = core.end(now, &order.id, !stopped_at_limit) && !stopped_at_limit;
        let answer_lost = self.is_lost();
        let result = if completed && !answer_lost {
            backends::RunResult::Answered(types::Answer {
                status: 200,
                content_type: "text/plain".into(),
                body: order.id.as_str().as_bytes().to_vec(),
            })
        } else {
            backends::RunResult::Lost
        };
        self.end_of_run(caller, &order.id, order.attempt, result);
    }

    fn end_of_run(
        &mut self,
        caller: usize,
        _request: &RequestId,
        attempt: u64,
        result: backends::RunResult,
    ) {
        self.take_run_result(caller, attempt, result);
    }
}
