//! The order of workers by how much room they have.

use types::Resources;

/// Scale of a fraction: a whole worker.
pub(crate) const WHOLE: u64 = 1 << 16;

/// The smallest free fraction over processors and memory, in units of `1 / WHOLE`.
pub(crate) fn room(free: &Resources, capacity: &Resources) -> u64 {
    fraction(free.cpu_milli, capacity.cpu_milli).min(fraction(free.mem_mb, capacity.mem_mb))
}

/// A lower bound of the room that a worker must have to hold `need`, if no worker is larger than `largest`.
pub(crate) fn least_room(need: &Resources, largest: &Resources) -> u64 {
    let cpu = fraction(need.cpu_milli, largest.cpu_milli);
    let memory = fraction(need.mem_mb, largest.mem_mb);
    // A worker that holds the need has at least the need's part of the largest worker free in each
    // resource, so its smallest free fraction is at least the smaller of both parts.
    cpu.min(memory)
}

fn fraction(part: u64, whole: u64) -> u64 {
    part.saturating_mul(WHOLE).checked_div(whole).unwrap_or(0)
}
