//! Several equal processes that act as one scheduler.
//!
//! Each process takes callers' requests and stores accepted jobs. One of them, elected by a
//! lease in the store, leads: it runs the [`cell::Cell`] and gives orders to the workers. All
//! others help it with calls to the advisor and can take its place at any time.

mod codec;
mod comeback;
mod election;
mod front;
mod intake;
mod keys;
mod lag;
mod leader;
mod looks;
mod node;
mod orders;
mod peers;
mod persist;
mod ports;
mod rules;

pub use comeback::retry_after_s;
pub use front::{Accepted, Cancelled, Found};
pub use lag::LagWatch;
pub use node::{Node, NodeSettings};
pub use ports::{
    Access, Advice, Advisor, Change, Commit, Configuration, Directory, Item, Later, LookAnswer,
    Ports, RawRules, Rules, Store, StoreError, StoreResult, Transaction, WorkerChange, Workers,
};
