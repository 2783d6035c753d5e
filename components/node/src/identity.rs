//! The identity of one run of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use libs::rand::{self, Rng};
use types::{NodeId, NodeName};

/// Number of low bits of an incarnation that are random. The wall time fills the bits above.
const RANDOM_BITS: u32 = 20;

/// Creates the identity of a new run of a process. The incarnation starts with the wall time, so that
/// of two runs of the same process the later one has the larger incarnation.
pub fn new_identity(name: NodeName) -> NodeId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let wall_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
    let random_bits: u64 = rand::rng().random_range(0..1 << RANDOM_BITS);
    NodeId { name, incarnation: (wall_ms << RANDOM_BITS) | random_bits }
}
