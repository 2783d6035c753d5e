//! A cluster of identical processes that together form one scheduler.
//!
//! Each process serves callers and stores accepted jobs. A leader, elected by means of a lease in
//! the store, runs the [`cell::Cell`] and sends orders to the workers. The other processes make
//! advisor calls on its behalf and can replace it at any time.

mod admit;
mod capacity;
mod codec;
mod election;
mod evacuations;
mod handed_advice;
mod intake;
mod keys;
mod lag;
mod leader;
mod load;
mod local_rules;
mod memory;
mod node;
mod orders;
mod peers;
mod persist;
mod polling;
mod ports;
mod requests;
mod retry_after;
mod rules;
mod run_times;
mod speed;
mod tenure;

pub use intake::next_workers_watch_delay_ms;
pub use lag::LagDetector;
pub use local_rules::RulesProblem;
pub use node::{Node, NodeSettings};
pub use polling::{NextPoll, next_poll};
pub use ports::{
    Access, Advice, Advisor, Change, Commit, Configuration, Directory, Evacuations, Item,
    LocalBoxFuture, PollOutcome, Ports, RawRules, Rules, Store, StoreError, StoreResult,
    Transaction, WorkerChange, Workers,
};
pub use requests::{CancelOutcome, JobLookup, SubmitOutcome};
pub use retry_after::retry_after_s;
pub use speed::{HashProbe, Processor, SpeedMonitor};
pub use tenure::{LEASE_MARGIN_MS, PeersView, start_permission};
