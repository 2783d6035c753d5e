//! Evacuation of failure domains: which workers take work, which runs move, and how much slower a
//! worker is that has just started.
//!
//! Load pattern: operators empty one of three failure domains under load, and it returns seconds
//! later. Starts must end there at once, work that would be lost stays, long-running tasks move a
//! few at a time, and the returning workers are empty while hundreds of tasks wait.
//!
//! This crate does no I/O. Times are milliseconds of one process clock.

mod cold;
mod moves;
mod requests;

pub use cold::cold_slowness;
pub use moves::{DomainRun, StepRuns, runs_to_move};
pub use requests::{Effect, Evacuation, EvacuationChange, EvacuationRequest, Evacuations};
