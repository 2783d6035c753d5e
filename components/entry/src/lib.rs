//! The entry process: takes callers' requests over HTTP, routes them to pool owners and gives
//! each caller one truthful outcome.

mod admin;
mod api;
mod auth;
mod budget;
mod calls;
mod control;
mod http;
mod jobs;
mod plan;
mod request;
mod view;

use std::sync::Arc;
use std::thread;

use backends::RunnerClient;
use clock::CancellationToken;
use config::Settings;
use errors::Result;
use libs::crossbeam_channel::bounded;
use libs::log::info;
use metrics::Metrics;
use net::Mesh;
use node::Services;
use timeline::{EventKind, Timeline};
use types::{Holder, Millis, NodeId, Role};

use crate::budget::RetryBudget;
use crate::calls::Calls;
use crate::control::{Control, Input};
use crate::http::HttpFront;
use crate::view::SharedView;

pub use crate::plan::{Next, Plan};
pub use crate::request::Incoming;

/// Inputs that may wait for the control thread.
const INPUT_RING: usize = 256;
/// Messages of peers that may wait for the control thread.
const PEER_RING: usize = 4_096;
/// Time after SIGTERM in which new requests are still served, so that the balancer can react.
const DRAIN_MS: Millis = Millis(1_000);
/// Time in which the last messages and time line events leave.
const FLUSH_MS: Millis = Millis(100);
/// Period of looking whether requests in progress have ended.
const DRAIN_POLL_MS: Millis = Millis(20);

/// What request handlers share.
pub(crate) struct Shared {
    pub(crate) identity: NodeId,
    pub(crate) settings: Settings,
    pub(crate) view: SharedView,
    pub(crate) calls: Calls,
    pub(crate) mesh: Mesh,
    pub(crate) runners: RunnerClient,
    pub(crate) budget: RetryBudget,
    pub(crate) metrics: Metrics,
    pub(crate) timeline: Timeline,
}

impl Shared {
    /// A holder of grants that no other try is.
    pub(crate) fn new_holder(&self) -> Holder {
        Holder { node: self.identity.clone(), run: self.calls.new_id().0 }
    }

    /// Takes from the retry budget. False if it is used up.
    pub(crate) fn take_retry(&self) -> bool {
        let taken = self.budget.take();
        self.metrics.count(if taken { "requests.retries" } else { "requests.retries_denied" });
        taken
    }
}

/// Runs the process until it is told to stop, and then until requests in progress have ended.
pub fn run(settings: &Settings, token: &CancellationToken) -> Result<()> {
    let (peers_in, peers_out) = bounded(PEER_RING);
    let (inputs_in, inputs_out) = bounded(INPUT_RING);
    let services = Services::start(settings, peers_in, &inputs_in, Input::Rules)?;
    services.timer.subscribe(settings.timing.heartbeat_ms, inputs_in, Input::Heartbeat);
    let timeline = &services.timeline;
    let shared = Arc::new(Shared {
        identity: services.identity.clone(),
        settings: settings.clone(),
        view: SharedView::default(),
        calls: Calls::default(),
        mesh: services.mesh.clone(),
        runners: RunnerClient::default(),
        budget: RetryBudget::default(),
        metrics: services.metrics.clone(),
        timeline: timeline.clone(),
    });
    let node = services.node(Role::Entry, settings);
    Control::start(
        node,
        shared.clone(),
        inputs_out,
        peers_out,
        token.clone(),
        services.token.clone(),
    )?;
    let front = HttpFront::start(shared.clone())?;
    timeline.record(EventKind::ProcessReady, "", "");
    info!("entry {} serves callers on {}", settings.process.name, settings.http.listen);
    wait_for(token);
    timeline.record(EventKind::ProcessStopping, "", "");
    info!("stopping: requests in progress are served to their end");
    thread::sleep(DRAIN_MS.to_duration());
    front.stop(settings.timing.shutdown_ms);
    services.token.cancel();
    // Lets the last messages and lines leave.
    thread::sleep(FLUSH_MS.to_duration());
    Ok(())
}

fn wait_for(token: &CancellationToken) {
    while !token.is_cancelled() {
        thread::sleep(DRAIN_POLL_MS.to_duration());
    }
}
