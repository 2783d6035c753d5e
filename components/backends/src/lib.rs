//! HTTP clients for the platform's workers, its runners and its list of VMs.

mod http;
mod runner;
mod vendor;
mod vms;
mod worker;

pub use http::new_agent;
pub use runner::{RunResult, RunnerClient};
pub use vendor::{VendorAdapter, adapter_for};
pub use vms::fetch_vms;
pub use worker::WorkerClient;
