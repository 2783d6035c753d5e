//! The entry process: accepts callers' requests over HTTP, routes them to pool owners and reports to
//! each caller whether the request ran, did not run, or may have run.

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
use types::{GrantHolder, Millis, NodeId, Role};

use crate::budget::RetryBudget;
use crate::calls::Calls;
use crate::control::{Control, Input};
use crate::http::HttpServer;
use crate::view::SharedView;

pub use crate::plan::{NextStep, RequestPlan};
pub use crate::request::IncomingRequest;

/// Capacity of the queue of inputs to the control thread.
const INPUT_QUEUE_CAPACITY: usize = 256;
/// Capacity of the queue of peer messages to the control thread.
const PEER_QUEUE_CAPACITY: usize = 4_096;
/// Time after SIGTERM in which new requests are still served, so that the load balancer can notice
/// that the process is no longer ready.
const DRAIN_DELAY_MS: Millis = Millis(1_000);
/// Time allowed for sending the last messages and writing the last timeline events.
const FLUSH_MS: Millis = Millis(100);
/// Longest time from the start of the process until it takes callers although it cannot serve them.
/// Callers that cannot connect go to another entry.
const READY_WAIT_MS: Millis = Millis(2_000);
/// Period of checks whether it can.
const READY_POLL_MS: Millis = Millis(2);
/// Period of checks for a stop signal, and during shutdown for requests still in progress.
const DRAIN_POLL_MS: Millis = Millis(20);

/// State shared by all request handlers.
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
    /// Creates the holder of the grants of one request, which no other request has.
    pub(crate) fn new_holder(&self) -> GrantHolder {
        GrantHolder { node: self.identity.clone(), submission: self.calls.new_id().0 }
    }

    /// Takes a retry from the budget. Returns false if the budget is exhausted.
    pub(crate) fn take_retry(&self) -> bool {
        let taken = self.budget.try_take();
        self.metrics.count(if taken { "requests.retries" } else { "requests.retries_denied" });
        taken
    }
}

/// Runs the process until the token is cancelled and the requests in progress have ended.
pub fn run(settings: &Settings, token: &CancellationToken) -> Result<()> {
    let (peer_sender, peer_receiver) = bounded(PEER_QUEUE_CAPACITY);
    let (input_sender, input_receiver) = bounded(INPUT_QUEUE_CAPACITY);
    let services = Services::start(settings, peer_sender, &input_sender, Input::Rules)?;
    services.timer.subscribe(settings.timing.heartbeat_ms, input_sender, Input::Heartbeat);
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
        input_receiver,
        peer_receiver,
        token.clone(),
        services.token.clone(),
    )?;
    wait_until_ready(&shared, token);
    let server = HttpServer::start(shared.clone())?;
    timeline.record(EventKind::ProcessReady, "", "");
    info!("entry {} is ready on {}", settings.process.name, settings.http.listen);
    wait_until_cancelled(token);
    timeline.record(EventKind::ProcessStopping, "", "");
    info!("shutting down: waiting for requests in progress");
    thread::sleep(DRAIN_DELAY_MS.to_duration());
    server.stop(settings.timing.shutdown_ms);
    services.token.cancel();
    thread::sleep(FLUSH_MS.to_duration());
    Ok(())
}

/// Waits for the rules and the owners of pools, without which callers would be refused. Peers usually send
/// them within milliseconds.
fn wait_until_ready(shared: &Shared, token: &CancellationToken) {
    let deadline_at = clock::now() + READY_WAIT_MS;
    let is_waiting = || !shared.view.get().is_ready() && !token.is_cancelled();
    while is_waiting() && clock::now() < deadline_at {
        thread::sleep(READY_POLL_MS.to_duration());
    }
}

fn wait_until_cancelled(token: &CancellationToken) {
    while !token.is_cancelled() {
        thread::sleep(DRAIN_POLL_MS.to_duration());
    }
}
