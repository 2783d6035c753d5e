//! Selects a worker for a task.
//!
//! Workers are ordered by their free fraction, the smaller of the free fractions of CPU and memory,
//! so that a search examines only a few workers regardless of their number.

mod free_fraction;
mod index;

pub use index::{TaskRequirements, WorkerIndex, WorkerSlot};
