//! Starts a whole deployment of separate processes on this machine, for tests, the demo and
//! measurements. Every process it starts is ended by its id when the deployment is dropped.

mod client;
mod deployment;
mod load;
mod ports;
mod process;
mod rules;
mod settings;
mod truth;

pub use client::{Client, HttpAnswer};
pub use deployment::{Deployment, Size, binaries_dir};
pub use load::{Load, LoadReport, LoadSettings, Told};
pub use ports::free_address;
pub use process::{Process, Usage};
pub use rules::{OPERATOR, TestKey, vandermolen_rules};
pub use truth::{TruthRun, TruthSummary};
