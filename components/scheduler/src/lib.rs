//! The scheduler process: a thin shell that connects pools to the network, the key-value
//! service, workers, runners and the clock.

mod decisions;
mod input;
mod lanes;
mod store_lane;
mod uses;
mod vms_watch;

use std::sync::Arc;
use std::thread;

use clock::{CancellationToken, Timer};
use config::Settings;
use errors::Result;
use kv::HttpStore;
use libs::crossbeam_channel::bounded;
use libs::log::info;
use metrics::Metrics;
use net::Mesh;
use node::{Node, RulesWatch, new_identity};
use timeline::{EventKind, Timeline};
use types::{Millis, Role};

use crate::decisions::Decisions;
use crate::input::Input;
use crate::lanes::Lanes;

/// Inputs that may wait for the decisions thread.
const INPUT_RING: usize = 8_192;
/// Messages of peers that may wait for the decisions thread.
const PEER_RING: usize = 8_192;
/// Period of ticks to pools.
const TICK_MS: Millis = Millis(10);

/// Runs the process until it is told to stop, and then until its pools are handed over.
pub fn run(settings: &Settings, token: &CancellationToken) -> Result<()> {
    // Transports must outlive the decisions, which hand pools over after the token is cancelled.
    let services = CancellationToken::new();
    let identity = new_identity(settings.process.name.clone());
    let metrics = Metrics::new(settings.statsd);
    let timeline = Timeline::start(identity.clone(), settings.timeline_path.as_deref())?;
    let (peers_in, peers_out) = bounded(PEER_RING);
    let (inputs_in, inputs_out) = bounded(INPUT_RING);
    let mesh = Mesh::start(
        identity.clone(),
        settings.process.listen,
        &settings.tls,
        peers_in,
        timeline.clone(),
        metrics.clone(),
        services.clone(),
    )?;
    let store = Arc::new(HttpStore::new(
        &settings.kv.url,
        settings.kv.call_timeout_ms,
        settings.kv.reads_per_s,
        settings.kv.writes_per_s,
        metrics.clone(),
    ));
    let watch =
        RulesWatch::start(store.clone(), inputs_in.clone(), Input::Rules, services.clone())?;
    vms_watch::start(settings, inputs_in.clone(), services.clone())?;
    let timer = Timer::start(services.clone())?;
    timer.subscribe(TICK_MS, inputs_in.clone(), Input::Tick);
    timer.subscribe(settings.timing.heartbeat_ms, inputs_in.clone(), Input::Heartbeat);
    let lanes = Lanes::start(store, &inputs_in, &metrics)?;
    let now = clock::now();
    let node = Node::new(
        identity.clone(),
        Role::Scheduler,
        settings,
        mesh.clone(),
        timeline.clone(),
        watch,
        now,
    );
    let mut decisions = Decisions::new(
        identity,
        settings.clone(),
        node,
        mesh,
        lanes,
        timeline.clone(),
        metrics,
        now,
    );
    timeline.record(EventKind::ProcessReady, "", "");
    info!("scheduler {} is ready on {}", settings.process.name, settings.process.listen);
    decisions.run(&inputs_out, &peers_out, token);
    timeline.record(EventKind::ProcessStopping, "", "");
    services.cancel();
    // Lets the last messages and lines leave.
    thread::sleep(Millis(100).to_duration());
    Ok(())
}
