//! Which of carobsill's processes are alive, by gossiped heartbeats.
//!
//! The logic has no socket, thread or clock: callers pass the time and the heartbeats that
//! arrived, and send what it returns. A wrong suspicion costs time but never safety, because
//! ownership changes only by compare-and-swap in the key-value service.

mod assign;
mod members;

pub use assign::assign_pools;
pub use members::{Change, Members, MembersSettings, Peer};
