//! Cluster membership and failure detection by gossiped heartbeats.
//!
//! The implementation performs no I/O and reads no clock: callers pass the current time and
//! received heartbeats, and send the messages that it returns. A false suspicion costs time but
//! never safety, because ownership changes only by compare-and-swap in the key-value service.

mod assign;
mod table;

pub use assign::assign_pools;
pub use table::{Change, MembershipSettings, MembershipTable, Peer};
