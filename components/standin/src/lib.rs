//! Stand-ins for the systems that carobsill depends on: the key-value service, the VM list, workers
//! and runners of three vendors. They log every run of a task or request, so that tests can check
//! the answers that callers got against what ran. They share no decision code with carobsill.

mod backends;
mod kv;
mod platform;
mod run_log;
mod runner;
mod runner_core;
mod worker;

pub use backends::{BackendsSettings, serve_backends};
pub use kv::{KvFaults, KvServer};
pub use platform::serve_platform;
pub use run_log::{RunKind, RunLog, RunRecord};
pub use runner::{ReportFormat, Runner};
pub use runner_core::{RunRequest, RunnerCore};
pub use worker::Worker;
