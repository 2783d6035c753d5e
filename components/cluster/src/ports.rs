//! Interfaces to external services, implemented by an adapter for each platform.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use cell::{
    EvacuationChange, EvacuationRequest, PaceOrder, Policy, PollAnswer, PollOrder, StartAnswer,
    StartOrder, StepKey, StopOrder, WorkerReport,
};
use libs::compact_str::CompactString;
use libs::quick_error::quick_error;
use types::{Millis, QueueId, TeamId, WorkerId};

use crate::speed::Processor;

/// A boxed future that stays on the current thread.
pub type LocalBoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

quick_error! {
    /// Error of a store call.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StoreError {
        /// The call had no effect.
        NotApplied { display("the store refused the call or could not be reached") }
        /// The outcome is unknown: the call may have taken effect or may still do so.
        Unanswered { display("the store did not answer") }
        /// The requested revisions have been compacted.
        HistoryGone { display("the store has compacted the requested revisions") }
        /// The lease has expired or was revoked.
        LeaseGone { display("the lease has expired or was revoked") }
    }
}

/// A stored item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key, relative to the cluster's prefix.
    pub key: String,
    /// Encoded value.
    pub value: Vec<u8>,
    /// Store revision of the last write.
    pub revision: u64,
}

/// A change to a stored item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The item was created or overwritten.
    Put(Item),
    /// The item with this key was removed.
    Removed(String),
}

/// Conditional writes that are applied atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with their required revisions; 0 for a key that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys, values and the lease that each key is attached to, 0 for none.
    pub puts: Vec<(String, Vec<u8>, u64)>,
    /// Keys to delete.
    pub removes: Vec<String>,
}

/// Outcome of a transaction that the store has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// Applied, with the revision of its writes.
    Done(u64),
    /// A key did not have the required revision; nothing was written.
    Conflict,
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// The platform's key-value service. Keys are relative to the cluster's prefix.
pub trait Store {
    /// Reads one item.
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, StoreResult<Option<Item>>>;
    /// Reads all items with a key prefix, and the revision from which to watch them.
    fn range<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, StoreResult<(Vec<Item>, u64)>>;
    /// Waits for changes to keys with a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'a, StoreResult<(Vec<Change>, u64)>>;
    /// Applies a transaction.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, StoreResult<Commit>>;
    /// Creates a lease.
    fn lease(&self, ttl_ms: Millis) -> LocalBoxFuture<'_, StoreResult<u64>>;
    /// Renews a lease.
    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, StoreResult<()>>;
    /// Revokes a lease and deletes the keys attached to it.
    fn end_lease(&self, lease: u64) -> LocalBoxFuture<'_, StoreResult<()>>;
}

/// A change to the list of registered workers.
#[derive(Debug, Clone)]
pub enum WorkerChange {
    /// A worker was registered or its entry was updated.
    Listed(Box<WorkerReport>),
    /// A worker's entry was removed.
    Unlisted(WorkerId),
}

/// The registry of workers.
pub trait Directory {
    /// Lists all workers, and the revision from which to watch them.
    fn list(&self) -> LocalBoxFuture<'_, StoreResult<(Vec<WorkerReport>, u64)>>;
    /// Waits for changes after a revision.
    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Vec<WorkerChange>, u64)>>;
}

/// The operators' requests to evacuate failure domains. Used only where the deployment has them.
pub trait Evacuations {
    /// Lists all requests, and the revision from which to watch them.
    fn list(&self) -> LocalBoxFuture<'_, StoreResult<(Vec<EvacuationRequest>, u64)>>;
    /// Waits for changes after a revision.
    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Vec<EvacuationChange>, u64)>>;
}

/// Result of polling a worker.
#[derive(Debug, Clone)]
pub enum PollOutcome {
    /// State reported by the worker.
    Answered(Box<PollAnswer>),
    /// The worker refused the call because it has seen a higher fence.
    Fenced,
    /// The call failed or its answer was not usable.
    Failed,
}

/// Calls to workers. Each carries a fencing token.
pub trait Workers {
    /// Starts a run of a task.
    fn start<'a>(&'a self, order: &'a StartOrder) -> LocalBoxFuture<'a, StartAnswer>;
    /// Stops a run. Returns whether the worker confirmed it.
    fn stop<'a>(&'a self, order: &'a StopOrder) -> LocalBoxFuture<'a, bool>;
    /// Sets the pace of a run. Returns whether the worker confirmed it.
    fn pace<'a>(&'a self, order: &'a PaceOrder) -> LocalBoxFuture<'a, bool>;
    /// Renews the leases of a worker's runs and reads their state.
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerId,
        order: &'a PollOrder,
    ) -> LocalBoxFuture<'a, PollOutcome>;
}

/// Workers that may run a step, with their tickets.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Advice {
    /// Allowed workers, each with its ticket.
    pub allowed: Vec<(WorkerId, CompactString)>,
    /// How long the tickets remain valid.
    pub valid_ms: Millis,
}

/// The service that decides which workers may run a step.
pub trait Advisor {
    /// Asks which of the given workers may run a step. Returns `None` without a usable answer.
    fn advise<'a>(
        &'a self,
        step: &'a StepKey,
        workers: &'a [WorkerId],
        timeout_ms: Millis,
    ) -> LocalBoxFuture<'a, Option<Advice>>;
}

/// Request routing and caller authentication.
#[derive(Debug, Clone, Default)]
pub struct Access {
    /// Host, path prefix and target queue of each route.
    pub routes: Vec<(CompactString, CompactString, QueueId)>,
    /// Teams by API key.
    pub teams_by_key: std::collections::HashMap<CompactString, TeamId>,
}

impl Access {
    /// Returns the queue whose route has the longest matching prefix, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueId, &'a str)> {
        self.routes
            .iter()
            .filter(|(route_host, ..)| route_host == host)
            .filter_map(|(_, prefix, queue)| {
                path.strip_prefix(prefix.as_str()).map(|rest| (prefix.len(), queue, rest))
            })
            .max_by_key(|(length, ..)| *length)
            .map(|(_, queue, rest)| (queue, rest))
    }
}

/// A parsed version of the operators' configuration.
#[derive(Debug, Clone, Default)]
pub struct Rules {
    /// Policies of queues and teams.
    pub policy: Rc<Policy>,
    /// Routes and API keys.
    pub access: Rc<Access>,
}

/// An unparsed version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct RawRules {
    /// Store revision.
    pub revision: u64,
    /// Configuration text.
    pub text: Vec<u8>,
}

/// The operators' configuration.
pub trait Configuration {
    /// Reads the newest version, `None` if there is no configuration yet, and the revision from
    /// which to wait for changes.
    fn fetch(&self) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>>;
    /// Waits for versions written after a revision. Returns the newest of them, `None` if there is
    /// none, and the revision from which to continue.
    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>>;
    /// Parses a configuration text.
    fn parse(&self, text: &[u8]) -> errors::Result<Rules>;
}

/// The external services used by a process.
pub struct Ports {
    /// Key-value store.
    pub store: Box<dyn Store>,
    /// Registry of workers.
    pub directory: Box<dyn Directory>,
    /// Requests to evacuate failure domains.
    pub evacuations: Box<dyn Evacuations>,
    /// Client for worker calls.
    pub workers: Box<dyn Workers>,
    /// Client for the advisor, which is optional.
    pub advisor: Box<dyn Advisor>,
    /// Source of the operators' configuration.
    pub configuration: Box<dyn Configuration>,
    /// Speed of the processor.
    pub processor: Box<dyn Processor>,
}
