//! Free fraction of a worker, by which workers are ordered.

use types::Resources;

/// Fixed-point scale of fractions: the value for an entirely free worker.
pub(crate) const SCALE: u64 = 1 << 16;

/// The smaller of the free fractions of CPU and memory, in units of `1 / SCALE`.
pub(crate) fn free_fraction(free: &Resources, capacity: &Resources) -> u64 {
    fraction(free.cpu_milli, capacity.cpu_milli).min(fraction(free.mem_mb, capacity.mem_mb))
}

/// A lower bound of the free fraction of any worker that can hold `need`, if no worker is larger
/// than `largest`.
pub(crate) fn min_free_fraction(need: &Resources, largest: &Resources) -> u64 {
    let cpu = fraction(need.cpu_milli, largest.cpu_milli);
    let memory = fraction(need.mem_mb, largest.mem_mb);
    // A worker that can hold `need` has at least the fraction `need / largest` of each resource free,
    // so its smaller free fraction is at least the smaller of both quotients.
    cpu.min(memory)
}

fn fraction(part: u64, whole: u64) -> u64 {
    part.saturating_mul(SCALE).checked_div(whole).unwrap_or(0)
}
