//! In-memory implementations of the ports of a process.
#![allow(dead_code)] // Each test file uses only some of them.

pub mod fleet;
pub mod link;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cell::{
    AdvicePolicy, CellSettings, EndedRun, Ending, EvacuationChange, EvacuationRequest, JobRecord,
    JobSpec, PaceOrder, Policy, PollAnswer, PollOrder, QueuePolicy, StartAnswer, StartOrder,
    StepKey, StepSpec, StopOrder, WorkerReport,
};
use cluster::{
    Advice, Advisor, Change, Commit, Configuration, Directory, Evacuations, Item, LocalBoxFuture,
    Node, NodeSettings, PollOutcome, Ports, Processor, RawRules, Rules, Store, StoreError,
    StoreResult, Transaction, WorkerChange, Workers,
};
use libs::tokio;
use types::{DomainId, Millis, Resources, WorkerId};

/// Duration of a store call, as of a slow store.
const STORE_CALL_MS: Millis = Millis(25);
/// Duration of a call to a worker.
const WORKER_CALL_MS: Millis = Millis(3);

/// How long a ticket of the advisor is valid.
const TICKET_VALID_MS: Millis = Millis(2_000);

/// Time after which an unanswered call to the store is given up.
const CALL_TIMEOUT_MS: Millis = Millis(900);
/// Duration of an unanswered call, longer than any test.
const UNANSWERED_CALL_MS: Millis = Millis(20_000);
/// Share of a core of a large process.
pub const LARGE_CPU_MILLI: u32 = 500;
/// Longer than any test, so that no leader's lease expires.
const LEADER_LEASE_MS: Millis = Millis(20_000);

/// Prefix of the jobs in the store.
const JOBS: &str = "in/job/";

/// A stored item and its lease, 0 for none.
type StoredItem = (Item, u64);

/// State of the services that the processes under test use.
#[derive(Default)]
pub struct Environment {
    items: RefCell<BTreeMap<String, StoredItem>>,
    revision: Cell<u64>,
    /// Duration and expiry time of each lease.
    leases: RefCell<BTreeMap<u64, (Millis, Millis)>>,
    workers: RefCell<Vec<WorkerReport>>,
    ended: RefCell<BTreeMap<WorkerId, Vec<EndedRun>>>,
    /// Number of polls still to be left unanswered.
    pub unanswered_polls: Cell<u32>,
    /// The store leaves all writes unanswered, and carries none of them out.
    pub writes_are_lost: Cell<bool>,
    /// Number of writes of cancellations that the store still refuses, as beyond its limit of writes.
    pub refused_cancellations: Cell<u32>,
    /// The store answers no write of a job, and carries each out this much later if its condition holds
    /// then.
    pub late_job_writes_ms: Cell<Option<Millis>>,
    /// The store refuses all calls.
    pub store_is_down: Cell<bool>,
    /// Number of lease renewals still to be left unanswered for `CALL_TIMEOUT_MS`.
    pub unanswered_renewals: Cell<u32>,
    /// Reads of several items fail, as on a link that loses long answers.
    pub ranges_fail: Cell<bool>,
    /// Answers to reads of several items take this much longer, and show the items of before.
    pub range_delay_ms: Cell<Millis>,
    /// Reads of all jobs take this much longer, as of many pages.
    pub job_range_delay_ms: Cell<Millis>,
    /// Number of watches still to be left unanswered until the call times out.
    pub unanswered_watches: Cell<u32>,
    /// The next watch of the workers panics.
    pub worker_watch_panics: Cell<bool>,
    /// Watches hear nothing.
    pub watches_are_silent: Cell<bool>,
    /// Most changes in an answer to a watch.
    pub max_watch_changes: Cell<Option<usize>>,
    /// Watches from before this revision fail, since the history is gone.
    pub compacted: Cell<u64>,
    /// Polls of this worker fail.
    pub unreachable_worker: RefCell<Option<WorkerId>>,
    /// All polls of workers fail.
    pub workers_are_unreachable: Cell<bool>,
    /// Number of polls that renewed leases.
    pub lease_renewals: Cell<u32>,
    /// Number of start orders that arrived at workers.
    pub starts: Cell<u32>,
    /// Workers and times of these orders.
    pub starts_on: RefCell<Vec<(WorkerId, Millis)>>,
    /// Requests to evacuate domains, with their revisions, and the changes of these.
    evacuations: RefCell<BTreeMap<DomainId, u64>>,
    evacuation_changes: RefCell<Vec<(u64, EvacuationChange)>>,
    /// Watches of the requests up to this revision fail, since the history is gone.
    pub evacuations_compacted: Cell<u64>,
    /// Watches of the requests are not answered.
    pub evacuation_watches_hang: Cell<bool>,
    /// All reads of the requests fail.
    pub evacuations_are_unreadable: Cell<bool>,
    /// Number of reads of the requests.
    pub evacuation_reads: Cell<u32>,
    /// Tasks need advice, and the advisor denies all workers.
    pub denies_all_workers: Cell<bool>,
    /// Workers that the advisor was asked about, for each call.
    pub asked: RefCell<Vec<Vec<WorkerId>>>,
    /// Number of calls to the store.
    pub store_calls: Cell<u32>,
    /// Keys written by each applied transaction.
    pub commits: RefCell<Vec<Vec<String>>>,
}

impl Environment {
    pub fn add_worker(&self, id: &str) {
        self.add_worker_in(id, None);
    }

    /// Requests the evacuation of a domain.
    pub fn evacuate(&self, domain: &str) {
        let revision = self.next_revision();
        let domain: DomainId = domain.parse().expect("domain");
        self.evacuations.borrow_mut().insert(domain.clone(), revision);
        let request = EvacuationRequest { domain, revision };
        let change = (revision, EvacuationChange::Requested(request));
        self.evacuation_changes.borrow_mut().push(change);
    }

    /// Removes the request for a domain.
    pub fn return_domain(&self, domain: &str) {
        let revision = self.next_revision();
        let domain: DomainId = domain.parse().expect("domain");
        self.evacuations.borrow_mut().remove(&domain);
        let change = (revision, EvacuationChange::Removed(domain));
        self.evacuation_changes.borrow_mut().push(change);
    }

    /// Drops the history of the requests.
    pub fn compact_evacuations(&self) {
        self.evacuations_compacted.set(self.revision.get());
        self.evacuation_changes.borrow_mut().clear();
    }

    /// Adds a worker in a failure domain.
    pub fn add_worker_in(&self, id: &str, domain: Option<&str>) {
        self.workers.borrow_mut().push(WorkerReport {
            id: id.parse().expect("worker id"),
            incarnation_unix_ms: 1,
            address: address(),
            service: "mill".into(),
            domain: domain.map(|name| name.parse().expect("domain")),
            rack: None,
            labels: Vec::new(),
            capacity: Resources { cpu_milli: 100, mem_mb: 64_000, accels: 0 },
            draining: false,
            leaves_in_ms: None,
            cold_remaining_ms: Millis(0),
        });
    }

    /// Drops the history of the items, so that all watches fail once.
    pub fn compact(&self) {
        self.compacted.set(self.next_revision());
    }

    /// Number of transactions that wrote a key with this prefix.
    pub fn count_writes(&self, prefix: &str) -> usize {
        let commits = self.commits.borrow();
        commits.iter().filter(|keys| keys.iter().any(|key| key.starts_with(prefix))).count()
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.remove_expired();
        self.items.borrow().get(key).map(|(item, _)| item.value.clone())
    }

    /// Creates a lease.
    pub fn create_lease(&self, ttl_ms: Millis) -> u64 {
        let id = self.next_revision();
        self.leases.borrow_mut().insert(id, (ttl_ms, clock::now() + ttl_ms));
        id
    }

    pub fn put(&self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        let revision = self.next_revision();
        let item = Item { key: key.to_owned(), value, revision };
        self.items.borrow_mut().insert(key.to_owned(), (item, lease));
        revision
    }

    fn items_below(&self, prefix: &str) -> Vec<Item> {
        let is_found = |(item, _): &&StoredItem| item.key.starts_with(prefix);
        self.items.borrow().values().filter(is_found).map(|(item, _)| item.clone()).collect()
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    fn remove_expired(&self) {
        let now = clock::now();
        let mut leases = self.leases.borrow_mut();
        leases.retain(|_, (_, until_ms)| *until_ms > now);
        self.items.borrow_mut().retain(|_, (_, lease)| *lease == 0 || leases.contains_key(lease));
    }

    fn commit(&self, transaction: &Transaction) -> StoreResult<Commit> {
        self.remove_expired();
        let revision_of =
            |key: &String| self.items.borrow().get(key).map_or(0, |(item, _)| item.revision);
        if transaction.expected.iter().any(|(key, revision)| revision_of(key) != *revision) {
            return Ok(Commit::Conflict);
        }
        // All writes of a transaction have the same revision.
        let revision = self.next_revision();
        for (key, value, lease) in &transaction.puts {
            let item = Item { key: key.clone(), value: value.clone(), revision };
            self.items.borrow_mut().insert(key.clone(), (item, *lease));
        }
        for key in &transaction.removes {
            self.items.borrow_mut().remove(key);
        }
        let keys = transaction.puts.iter().map(|(key, ..)| key.clone()).collect();
        self.commits.borrow_mut().push(keys);
        Ok(Commit::Done(revision))
    }
}

/// The ports of a process, backed by an [`Environment`].
#[derive(Clone)]
pub struct TestPorts(
    pub Rc<Environment>,
    /// Whether this process cannot reach the store.
    pub Rc<Cell<bool>>,
);

async fn sleep(ms: Millis) {
    tokio::time::sleep(ms.to_duration()).await;
}

impl TestPorts {
    /// Simulates the duration of a store call, and the outage if there is one.
    async fn store_call(&self) -> StoreResult<()> {
        self.0.store_calls.set(self.0.store_calls.get() + 1);
        sleep(STORE_CALL_MS).await;
        let fails = self.0.store_is_down.get() || self.1.get();
        if fails { Err(StoreError::NotApplied) } else { Ok(()) }
    }
}

/// An address without a listener.
pub fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

impl Store for TestPorts {
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, StoreResult<Option<Item>>> {
        Box::pin(async move {
            self.store_call().await?;
            self.0.remove_expired();
            Ok(self.0.items.borrow().get(key).map(|(item, _)| item.clone()))
        })
    }

    fn range<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, StoreResult<(Vec<Item>, u64)>> {
        Box::pin(async move {
            self.store_call().await?;
            if self.0.ranges_fail.get() {
                return Err(StoreError::Unanswered);
            }
            let found = self.0.items_below(prefix);
            let revision = self.0.revision.get();
            sleep(self.0.range_delay_ms.get()).await;
            if JOBS.starts_with(prefix) {
                sleep(self.0.job_range_delay_ms.get()).await;
            }
            Ok((found, revision))
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'a, StoreResult<(Vec<Change>, u64)>> {
        Box::pin(async move {
            let lost = self.0.unanswered_watches.get();
            if lost > 0 {
                self.0.unanswered_watches.set(lost - 1);
                sleep(wait_ms + CALL_TIMEOUT_MS).await;
                return Err(StoreError::Unanswered);
            }
            let until = clock::now() + wait_ms;
            loop {
                let reached = self.store_call().await;
                if after < self.0.compacted.get() {
                    return Err(StoreError::HistoryGone);
                }
                if self.0.watches_are_silent.get() {
                    continue;
                }
                reached?;
                if self.0.ranges_fail.get() {
                    return Err(StoreError::Unanswered);
                }
                let at = self.0.revision.get();
                let mut newer: Vec<Item> = self.0.items_below(prefix);
                newer.retain(|item| item.revision > after);
                newer.sort_by_key(|item| item.revision);
                let limit = self.0.max_watch_changes.get().unwrap_or(usize::MAX);
                let at = newer.get(limit.saturating_sub(1)).map_or(at, |last| last.revision);
                newer.truncate(limit);
                if !newer.is_empty() || clock::now() > until {
                    return Ok((newer.into_iter().map(Change::Put).collect(), at));
                }
            }
        })
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, StoreResult<Commit>> {
        Box::pin(async move {
            self.store_call().await?;
            if self.0.writes_are_lost.get() {
                return Err(StoreError::Unanswered);
            }
            let refused = self.0.refused_cancellations.get();
            let cancels = transaction.puts.iter().any(|(key, ..)| key.starts_with("in/cancel/"));
            if cancels && refused > 0 {
                self.0.refused_cancellations.set(refused - 1);
                return Err(StoreError::NotApplied);
            }
            let writes_job = transaction.puts.iter().any(|(key, ..)| key.starts_with(JOBS));
            if let Some(late_ms) = self.0.late_job_writes_ms.get().filter(|_| writes_job) {
                let (environment, transaction) = (self.0.clone(), transaction.clone());
                tokio::task::spawn_local(async move {
                    sleep(late_ms).await;
                    // Nobody hears of a conflict.
                    environment.commit(&transaction).ok();
                });
                return Err(StoreError::Unanswered);
            }
            self.0.commit(transaction)
        })
    }

    fn lease(&self, ttl_ms: Millis) -> LocalBoxFuture<'_, StoreResult<u64>> {
        Box::pin(async move {
            self.store_call().await?;
            Ok(self.0.create_lease(ttl_ms))
        })
    }

    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, StoreResult<()>> {
        Box::pin(async move {
            self.store_call().await?;
            let lost = self.0.unanswered_renewals.get();
            if lost > 0 {
                self.0.unanswered_renewals.set(lost - 1);
                sleep(CALL_TIMEOUT_MS).await;
                return Err(StoreError::Unanswered);
            }
            self.0.remove_expired();
            let mut leases = self.0.leases.borrow_mut();
            let (ttl_ms, until_ms) = leases.get_mut(&lease).ok_or(StoreError::LeaseGone)?;
            *until_ms = clock::now() + *ttl_ms;
            Ok(())
        })
    }

    fn end_lease(&self, lease: u64) -> LocalBoxFuture<'_, StoreResult<()>> {
        Box::pin(async move {
            self.store_call().await?;
            self.0.leases.borrow_mut().remove(&lease);
            Ok(())
        })
    }
}

impl Directory for TestPorts {
    fn list(&self) -> LocalBoxFuture<'_, StoreResult<(Vec<WorkerReport>, u64)>> {
        Box::pin(async move {
            self.store_call().await?;
            Ok((self.0.workers.borrow().clone(), 0))
        })
    }

    fn changes(
        &self,
        _after: u64,
        _wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Vec<WorkerChange>, u64)>> {
        Box::pin(async move {
            self.store_call().await?;
            assert!(!self.0.worker_watch_panics.replace(false), "as the test asks for");
            let workers = self.0.workers.borrow().clone();
            let listed = |report| WorkerChange::Listed(Box::new(report));
            Ok((workers.into_iter().map(listed).collect(), 0))
        })
    }
}

impl TestPorts {
    /// Simulates a call that reads the requests to evacuate domains.
    async fn evacuations_call(&self) -> StoreResult<()> {
        self.0.evacuation_reads.set(self.0.evacuation_reads.get() + 1);
        self.store_call().await?;
        if self.0.evacuations_are_unreadable.get() { Err(StoreError::Unanswered) } else { Ok(()) }
    }
}

impl Evacuations for TestPorts {
    fn list(&self) -> LocalBoxFuture<'_, StoreResult<(Vec<EvacuationRequest>, u64)>> {
        Box::pin(async move {
            self.evacuations_call().await?;
            let requests = self.0.evacuations.borrow();
            let request = |(domain, revision): (&DomainId, &u64)| EvacuationRequest {
                domain: domain.clone(),
                revision: *revision,
            };
            Ok((requests.iter().map(request).collect(), self.0.revision.get()))
        })
    }

    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Vec<EvacuationChange>, u64)>> {
        Box::pin(async move {
            if self.0.evacuation_watches_hang.get() {
                sleep(UNANSWERED_CALL_MS).await;
                return Err(StoreError::Unanswered);
            }
            let until = clock::now() + wait_ms;
            loop {
                self.evacuations_call().await?;
                if after < self.0.evacuations_compacted.get() {
                    return Err(StoreError::HistoryGone);
                }
                let all = self.0.evacuation_changes.borrow();
                let newer = all.iter().filter(|(revision, _)| *revision > after);
                let newer: Vec<EvacuationChange> =
                    newer.map(|(_, change)| change.clone()).collect();
                if !newer.is_empty() || clock::now() > until {
                    return Ok((newer, self.0.revision.get()));
                }
            }
        })
    }
}

/// Workers that complete each task as soon as it starts.
impl Workers for TestPorts {
    fn start<'a>(&'a self, order: &'a StartOrder) -> LocalBoxFuture<'a, StartAnswer> {
        Box::pin(async move {
            sleep(WORKER_CALL_MS).await;
            self.0.starts.set(self.0.starts.get() + 1);
            self.0.starts_on.borrow_mut().push((order.worker.clone(), clock::now()));
            let mut ended = self.0.ended.borrow_mut();
            let ended = ended.entry(order.worker.clone()).or_default();
            let sequence = ended.last().map_or(1, |end| end.sequence + 1);
            ended.push(EndedRun {
                sequence,
                task: order.task.clone(),
                attempt: order.attempt,
                ending: Ending::Done,
                checkpoint: "".into(),
            });
            StartAnswer::Started
        })
    }

    fn stop<'a>(&'a self, _order: &'a StopOrder) -> LocalBoxFuture<'a, bool> {
        Box::pin(std::future::ready(true))
    }

    fn pace<'a>(&'a self, _order: &'a PaceOrder) -> LocalBoxFuture<'a, bool> {
        Box::pin(std::future::ready(true))
    }

    fn poll<'a>(
        &'a self,
        worker: &'a WorkerId,
        order: &'a PollOrder,
    ) -> LocalBoxFuture<'a, PollOutcome> {
        Box::pin(async move {
            sleep(WORKER_CALL_MS).await;
            let lost = self.0.unanswered_polls.get();
            if lost > 0 {
                self.0.unanswered_polls.set(lost - 1);
                sleep(UNANSWERED_CALL_MS).await;
                return PollOutcome::Failed;
            }
            let is_unreachable = self.0.unreachable_worker.borrow().as_ref() == Some(worker);
            if self.0.workers_are_unreachable.get() || is_unreachable {
                return PollOutcome::Failed;
            }
            if order.deadline_ms.is_some() {
                self.0.lease_renewals.set(self.0.lease_renewals.get() + 1);
            }
            let ended = self.0.ended.borrow();
            let ended = ended.get(worker).map_or(&[][..], Vec::as_slice);
            PollOutcome::Answered(Box::new(PollAnswer {
                incarnation_unix_ms: 1,
                clock_ms: clock::now(),
                active: Vec::new(),
                ended: ended.iter().filter(|end| end.sequence > order.ack).cloned().collect(),
                more_ended: false,
            }))
        })
    }
}

impl Advisor for TestPorts {
    fn advise<'a>(
        &'a self,
        _step: &'a StepKey,
        workers: &'a [WorkerId],
        _timeout_ms: Millis,
    ) -> LocalBoxFuture<'a, Option<Advice>> {
        Box::pin(async move {
            if !self.0.denies_all_workers.get() {
                return None;
            }
            sleep(WORKER_CALL_MS).await;
            self.0.asked.borrow_mut().push(workers.to_vec());
            Some(Advice { allowed: Vec::new(), valid_ms: TICKET_VALID_MS })
        })
    }
}

impl Configuration for TestPorts {
    fn fetch(&self) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        Box::pin(async move {
            self.store_call().await?;
            Ok((Some(RawRules { revision: 1, text: Vec::new() }), 1))
        })
    }

    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        Box::pin(async move {
            self.store_call().await?;
            sleep(wait_ms).await;
            Ok((None, after))
        })
    }

    fn parse(&self, _text: &[u8]) -> errors::Result<Rules> {
        let mut policy = Policy { version: 1, ..Policy::default() };
        let advice = AdvicePolicy { call_ms: 20.0, per_worker_ms: 1.0, valid_ms: TICKET_VALID_MS };
        let advice = self.0.denies_all_workers.get().then_some(advice);
        policy.queues.insert("orders".parse()?, QueuePolicy { advice, ..queue() });
        Ok(Rules { policy: Rc::new(policy), ..Rules::default() })
    }
}

fn queue() -> QueuePolicy {
    QueuePolicy {
        service: "mill".into(),
        priority: 0,
        max_attempts: 3,
        target_factor: 1.5,
        target_latency_ms: Millis(250),
        advice: None,
        public: true,
    }
}

/// Creates a job with one task.
pub fn job(number: u64) -> JobRecord {
    let need = Resources { cpu_milli: 100, mem_mb: 10, accels: 0 };
    let step = StepSpec { tasks: 1, need, estimate_ms: Millis(10), ..StepSpec::default() };
    JobRecord {
        id: format!("{number:016x}").parse().expect("job id"),
        queue: "orders".parse().expect("queue"),
        team: None,
        policy: queue(),
        spec: JobSpec { payload: String::new(), steps: vec![step], recurrence: None },
        accepted_unix_ms: eventlog::unix_ms(),
    }
}

/// Creates a process that uses the environment.
pub fn node(name: &str, environment: &Rc<Environment>) -> Rc<Node> {
    node_at(name, address(), ports(environment, &Rc::default()))
}

/// Creates the ports of a process.
pub fn ports(environment: &Rc<Environment>, store_is_unreachable: &Rc<Cell<bool>>) -> Ports {
    let test_ports = TestPorts(environment.clone(), store_is_unreachable.clone());
    Ports {
        store: Box::new(test_ports.clone()),
        directory: Box::new(test_ports.clone()),
        evacuations: Box::new(test_ports.clone()),
        workers: Box::new(test_ports.clone()),
        advisor: Box::new(test_ports.clone()),
        configuration: Box::new(test_ports),
        processor: Box::new(TestProcessor::default()),
    }
}

/// A processor whose speed does not depend on what else runs on the machine.
#[derive(Clone, Default)]
pub struct TestProcessor {
    /// Whether it takes five times as long as usual.
    pub slow: Rc<Cell<bool>>,
    /// Number of measurements.
    pub measurements: Rc<Cell<u32>>,
}

impl Processor for TestProcessor {
    fn measure(&self) -> Duration {
        self.measurements.set(self.measurements.get() + 1);
        Duration::from_micros(if self.slow.get() { 150 } else { 30 })
    }
}

/// Creates a process that peers reach at the address.
pub fn node_at(name: &str, peer_address: SocketAddr, ports: Ports) -> Rc<Node> {
    node_with_lease(name, peer_address, ports, LEADER_LEASE_MS)
}

/// Creates a process whose lease as leader has the given duration.
pub fn node_with_lease(
    name: &str,
    peer_address: SocketAddr,
    ports: Ports,
    leader_lease_ms: Millis,
) -> Rc<Node> {
    Node::new(settings(name, peer_address, leader_lease_ms), ports, web::Client::default())
}

/// Creates a process that refuses jobs which cannot be done while they are of use.
pub fn node_with_admission(
    name: &str,
    peer_address: SocketAddr,
    ports: Ports,
    leader_lease_ms: Millis,
) -> Rc<Node> {
    let settings =
        NodeSettings { admission: true, ..settings(name, peer_address, leader_lease_ms) };
    Node::new(settings, ports, web::Client::default())
}

/// Creates a process with a share of a core.
pub fn node_with_cpu(
    name: &str,
    peer_address: SocketAddr,
    ports: Ports,
    leader_lease_ms: Millis,
    cpu_milli: u32,
) -> Rc<Node> {
    let settings = NodeSettings { cpu_milli, ..settings(name, peer_address, leader_lease_ms) };
    Node::new(settings, ports, web::Client::default())
}

/// Creates a process of a deployment with evacuations.
pub fn node_with_evacuations(name: &str, environment: &Rc<Environment>) -> Rc<Node> {
    let evacuation_ms = Some(Millis(5_000));
    let settings = NodeSettings { evacuation_ms, ..settings(name, address(), LEADER_LEASE_MS) };
    Node::new(settings, ports(environment, &Rc::default()), web::Client::default())
}

/// Creates a process on a machine with so much memory.
pub fn node_with_memory(
    name: &str,
    peer_address: SocketAddr,
    ports: Ports,
    memory_mb: u64,
) -> Rc<Node> {
    let settings = NodeSettings { memory_mb, ..settings(name, peer_address, LEADER_LEASE_MS) };
    Node::new(settings, ports, web::Client::default())
}

/// Creates a process that learns run times.
pub fn learning_node(name: &str, environment: &Rc<Environment>) -> Rc<Node> {
    let mut settings = settings(name, address(), LEADER_LEASE_MS);
    settings.cell.learn_run_times = true;
    settings.cell.decide_by_run_times = true;
    Node::new(settings, ports(environment, &Rc::default()), web::Client::default())
}

fn settings(name: &str, peer_address: SocketAddr, leader_lease_ms: Millis) -> NodeSettings {
    NodeSettings {
        memory_mb: 160,
        name: name.into(),
        peer_address,
        cpu_milli: LARGE_CPU_MILLI,
        leader_lease_ms,
        evacuation_ms: None,
        cancel_ms: Millis(3_000),
        admission: false,
        cell: CellSettings {
            lease_ms: Millis(4_500),
            max_lease_ms: Millis(6_000),
            ended_retention_ms: Millis(1_000),
            poll_wait_ms: Millis(50),
            unequal_workers: false,
            learn_run_times: false,
            decide_by_run_times: false,
        },
    }
}

/// Runs a test on one thread. Afterwards all its tasks are dropped, as after a kill.
pub fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Runs a process until a condition holds. Returns `false` if it does not within the timeout.
pub async fn run_node_until(node: Rc<Node>, condition: impl Fn() -> bool) -> bool {
    /// Some hundred times the duration of a start and an election.
    const TIMEOUT_MS: Millis = Millis(5_000);
    let token = clock::CancellationToken::new();
    tokio::task::spawn_local(node.run(token, clock::CancellationToken::new()));
    let until = clock::now() + TIMEOUT_MS;
    while !condition() {
        if clock::now() > until {
            return false;
        }
        sleep(Millis(5)).await;
    }
    true
}
