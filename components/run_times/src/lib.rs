//! Learns how long tasks run and how slow each worker is.
//!
//! Load pattern: the declared run times of one kind of work are off by a factor of e^0.9 either way, 3% of the
//! tasks take seven times as long as usual, two thirds of the workers run at 0.9 of the usual time and one
//! third at 2.3. Runs of one step on different workers are compared with each other, since they
//! share the size of the work; the declared run time counts as far as it was right for the kind of work.
//!
//! This crate does no I/O; times are passed in. All quantities are natural logarithms inside.
//!
//! Memory is bounded: 6,000 workers of some 700 bytes, 4,000 steps with up to 64 runs of 48 bytes,
//! 2,000 kinds of work of some 2 kB, and 4,000 jobs of some 200 bytes: at most 22 MB, and some
//! 6 MB with 5,000 workers, 50 queues and 200 images, since most steps have few tasks. A summary for
//! the next leader takes at most 64 kB.

mod fleet;
mod kind;
mod model;
mod robust;
mod step;
mod summary;

pub use model::{
    EndedRunTime, Forecast, RunProgress, RunTimes, Source, StepId, StepWork, WorkKind,
};
pub use summary::{MAX_SUMMARY_BYTES, Summary};
