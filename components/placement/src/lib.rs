//! Finds a worker for a task.
//!
//! Workers are kept in order of their room, that is the smallest free fraction over processors and
//! memory, so that a search looks at a few workers however many there are.

mod index;
mod room;

pub use index::{Index, Need, WorkerSlot};
