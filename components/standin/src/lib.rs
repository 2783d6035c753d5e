//! Small stand-ins for what surrounds carobsill: the key-value service, the list of VMs, workers
//! and runners of three vendors. They keep their own record of what ran where, so that tests can
//! compare callers' answers with the truth. They use none of carobsill's decision code.

mod backends;
mod kv;
mod platform;
mod runner;
mod runner_core;
mod truth;
mod worker;

pub use backends::{BackendsSettings, serve_backends};
pub use kv::{KvFaults, KvServer};
pub use platform::serve_platform;
pub use runner::{Runner, RunnerForm};
pub use runner_core::{RunOrder, RunnerCore};
pub use truth::{Run, RunKind, Truth};
pub use worker::Worker;
