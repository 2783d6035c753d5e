//! What the cluster needs from the outside. An adapter implements these for one platform.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use cell::{
    Look, LookOrder, PaceOrder, Policy, StartAnswer, StartOrder, StepKey, StopOrder, WorkerReport,
};
use libs::compact_str::CompactString;
use libs::quick_error::quick_error;
use types::{Millis, QueueId, TeamId, WorkerId};

/// A result that comes later, on the same thread.
pub type Later<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StoreError {
        /// Nothing was done.
        NotDone { display("the store refused the call or could not be reached") }
        /// It may have been done, or may still be.
        Unanswered { display("the store did not answer") }
        /// The changes asked for are no longer known.
        HistoryGone { display("the store has dropped that part of its history") }
        /// The lease has ended.
        LeaseGone { display("the lease has ended") }
    }
}

/// A stored item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A change of a stored item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was removed.
    Removed(String),
}

/// Writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; 0 for a key that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys, values and the lease that they end with, 0 for none.
    pub puts: Vec<(String, Vec<u8>, u64)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Outcome of a transaction that was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// Done, with the revision of its writes.
    Done(u64),
    /// A key had another revision: nothing was done.
    Conflict,
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// The platform's key-value service. Keys are relative to the cluster's own part of it.
pub trait Store {
    /// Reads an item.
    fn get<'a>(&'a self, key: &'a str) -> Later<'a, StoreResult<Option<Item>>>;
    /// Reads all items below a prefix, and a revision from which to watch them.
    fn range<'a>(&'a self, prefix: &'a str) -> Later<'a, StoreResult<(Vec<Item>, u64)>>;
    /// Waits for changes below a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait_ms: Millis,
    ) -> Later<'a, StoreResult<(Vec<Change>, u64)>>;
    /// Carries out a transaction.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> Later<'a, StoreResult<Commit>>;
    /// Creates a lease.
    fn lease(&self, ttl_ms: Millis) -> Later<'_, StoreResult<u64>>;
    /// Renews a lease.
    fn renew(&self, lease: u64) -> Later<'_, StoreResult<()>>;
    /// Ends a lease, and removes its keys.
    fn end_lease(&self, lease: u64) -> Later<'_, StoreResult<()>>;
}

/// A change in the list of workers.
#[derive(Debug, Clone)]
pub enum WorkerChange {
    /// A worker's entry is new or was written again.
    Listed(Box<WorkerReport>),
    /// A worker's entry is gone.
    Unlisted(WorkerId),
}

/// The list of workers.
pub trait Directory {
    /// All workers, and a revision from which to watch them.
    fn list(&self) -> Later<'_, StoreResult<(Vec<WorkerReport>, u64)>>;
    /// Changes after a revision.
    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> Later<'_, StoreResult<(Vec<WorkerChange>, u64)>>;
}

/// Answer to a look.
#[derive(Debug, Clone)]
pub enum LookAnswer {
    /// What the worker shows.
    Seen(Box<Look>),
    /// The worker has seen a higher epoch.
    Fenced,
    /// No usable answer.
    Failed,
}

/// Calls to workers. All carry a fence.
pub trait Workers {
    /// Starts a task.
    fn start<'a>(&'a self, order: &'a StartOrder) -> Later<'a, StartAnswer>;
    /// Stops a run. True if the worker has confirmed it.
    fn stop<'a>(&'a self, order: &'a StopOrder) -> Later<'a, bool>;
    /// Sets the pace of a run. True if the worker has confirmed it.
    fn pace<'a>(&'a self, order: &'a PaceOrder) -> Later<'a, bool>;
    /// Renews leases and reads the runs.
    fn look<'a>(&'a self, worker: &'a WorkerId, order: &'a LookOrder) -> Later<'a, LookAnswer>;
}

/// Workers that may run a step, each with its ticket, and how long tickets are valid.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Advice {
    /// Allowed workers and tickets.
    pub allowed: Vec<(WorkerId, CompactString)>,
    /// Validity from now.
    pub valid_ms: Millis,
}

/// The service that knows which workers may run a step.
pub trait Advisor {
    /// Asks about some workers.
    fn advise<'a>(
        &'a self,
        step: &'a StepKey,
        workers: &'a [WorkerId],
        timeout_ms: Millis,
    ) -> Later<'a, Option<Advice>>;
}

/// Who may do what, and where requests lead.
#[derive(Debug, Clone, Default)]
pub struct Access {
    /// Host, path prefix and queue.
    pub routes: Vec<(CompactString, CompactString, QueueId)>,
    /// Teams by secret key.
    pub teams_by_key: std::collections::HashMap<CompactString, TeamId>,
}

impl Access {
    /// The queue that a request leads to, by the longest prefix, with what follows the prefix.
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

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default)]
pub struct Rules {
    /// Queues and teams.
    pub policy: Rc<Policy>,
    /// Routes and keys.
    pub access: Rc<Access>,
}

/// A configuration as stored.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct RawRules {
    /// Revision in the store.
    pub revision: u64,
    /// The text.
    pub text: Vec<u8>,
}

/// The operators' configuration.
pub trait Configuration {
    /// Reads the newest version; none before the first.
    fn fetch(&self) -> Later<'_, StoreResult<Option<RawRules>>>;
    /// Reads a text.
    fn parse(&self, text: &[u8]) -> errors::Result<Rules>;
}

/// Everything outside.
pub struct Ports {
    /// The store.
    pub store: Box<dyn Store>,
    /// The list of workers.
    pub directory: Box<dyn Directory>,
    /// The workers.
    pub workers: Box<dyn Workers>,
    /// The advisor, if there is one.
    pub advisor: Box<dyn Advisor>,
    /// The configuration.
    pub configuration: Box<dyn Configuration>,
}
