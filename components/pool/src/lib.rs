//! Scheduling decisions for one pool: ownership, journal, limits, queueing, placement, leases and
//! recovery.
//!
//! [`Pool::step`] takes an event and returns actions. It uses no threads, sockets, clocks or global
//! random numbers, so the same code runs in simulations, property tests, benchmarks and
//! `carobsill-scheduler`.

mod event;
mod grants;
mod inventory;
mod jobs;
mod journal;
mod lifecycle;
mod limits;
mod place;
mod pool;
mod preempt;
mod queue;
mod record;
mod recovery;
mod requests;
mod runners;
mod shares;
mod sync;
mod tasks;
mod view;
mod workers;

pub use event::{Action, CallFailure, Event, ReplyTo, StoreAnswer, StoreCall, StoreFailure};
pub use pool::{Mechanisms, Pool, PoolSettings};
pub use record::{DurableState, Head, Record, RequestEnd, TaskEnd};
