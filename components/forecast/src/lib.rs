//! Forecast of when a new job of a queue could start.
//!
//! Load pattern: long jobs of 2 steps x 21 tasks x 3.8 s x 9 cores arrive for 6 s at twice what 350
//! workers of 32 cores can do, beside short urgent jobs. More is accepted than can be done while it
//! is of use.
//!
//! The leader passes [`Counts`] of the accepted work to a [`Forecaster`] a few times a second. The
//! [`Forecast`] lists the queues in which a new job would wait. Work is measured in core-milliseconds
//! by the declared run times, and so is what was done lately: a common error of the declared run
//! times does not change the estimate.

mod check;
mod counts;
mod forecaster;
mod message;
mod units;

pub use check::{ForecastCheck, ForecastError};
pub use counts::{Counts, QueueCounts, ServiceCounts, Work};
pub use forecaster::Forecaster;
pub use message::{Forecast, MAX_QUEUES, MAX_TEAMS, QueueForecast, StartEstimate};
pub use units::{CoreMillis, CpuMilli, ForecastVersion, NameHash};
