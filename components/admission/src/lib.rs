//! Decides whether to accept a job while capacity is short.
//!
//! Load pattern: long jobs of 2 steps x 21 tasks x 3.8 s x 9 cores arrive for 6 s at twice what 350
//! workers of 32 cores can do, beside short urgent jobs. Jobs that cannot end while they are of use
//! took capacity from others, and their callers waited for nothing.
//!
//! A job is refused only if even the lower estimate of its end is beyond three times its objective,
//! by a forecast that is younger than a second and comes from the leader that is currently known. In
//! every other case it is accepted.

mod allowance;
mod decision;
mod job;
mod log_limit;
mod seen_jobs;

pub use allowance::{MAX_WEIGHT, usable_weight};
pub use decision::{Admission, Doubt, Inputs, Refusal, Situation, Verdict};
pub use job::{InvalidInput, JobFacts};
pub use log_limit::LogLimit;
pub use seen_jobs::SeenJobs;

/// A job that ends after this multiple of its objective is of no use.
pub const USE_LIMIT_FACTOR: u64 = 3;
