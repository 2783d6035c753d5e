//! Decides which connections a server keeps, and how much memory incomplete requests may take.
//!
//! Load pattern: some hundred clients send large bodies and stop just short of their end, or heads
//! without end, and stay connected. With a limit for each of them but none for all, the process runs
//! out of memory or descriptors.
//!
//! While there is room, nobody is turned away before a time limit that only a stalled client meets.
//! Once connections or memory run short, whoever has stalled longest gives way, and large bodies do to small
//! ones. A request that a handler has never does.

mod limits;
mod progress;
mod table;

pub use limits::{MIN_BODY_BYTES_PER_S, MIN_EVICTION_LAG_MS, SMALL_BODY_BYTES, ServerLimits};
pub use progress::Progress;
pub use table::{ConnectionId, ConnectionTable, Eviction, Reservation, Room};
