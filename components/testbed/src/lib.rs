//! Runs a deployment of separate processes on this machine for tests, the demo and benchmarks.
//! Dropping a deployment kills every process it started, by process id.

mod client;
pub mod crowd;
mod deployment;
mod load;
mod ports;
mod process;
mod rules;
mod run_log;
mod settings;

pub use client::{Client, HttpResponse};
pub use deployment::{Deployment, DeploymentSize, binaries_dir};
pub use load::{CallerAnswer, Load, LoadReport, LoadSettings};
pub use ports::{free_address, spawn};
pub use process::{Process, Usage};
pub use rules::{OPERATOR, TestKey, vandermolen_rules};
pub use run_log::{RunRecord, RunSummary};
pub use settings::Machine;
