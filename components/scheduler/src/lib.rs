//! The scheduler process: a thin shell that connects pools to the network, the key-value
//! service, workers, runners and the clock.

mod decisions;
mod input;
mod lanes;
mod store_lane;
mod uses;
mod vms_watch;

use std::thread;

use clock::CancellationToken;
use config::Settings;
use errors::Result;
use libs::crossbeam_channel::bounded;
use libs::log::info;
use node::Services;
use timeline::EventKind;
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
    let (peers_in, peers_out) = bounded(PEER_RING);
    let (inputs_in, inputs_out) = bounded(INPUT_RING);
    let services = Services::start(settings, peers_in, &inputs_in, Input::Rules)?;
    vms_watch::start(settings, inputs_in.clone(), services.token.clone())?;
    services.timer.subscribe(TICK_MS, inputs_in.clone(), Input::Tick);
    services.timer.subscribe(settings.timing.heartbeat_ms, inputs_in.clone(), Input::Heartbeat);
    let lanes = Lanes::start(services.store.clone(), &inputs_in, &services.metrics)?;
    let node = services.node(Role::Scheduler, settings);
    let mut decisions = Decisions::new(settings.clone(), node, &services, lanes);
    let timeline = &services.timeline;
    timeline.record(EventKind::ProcessReady, "", "");
    info!("scheduler {} is ready on {}", settings.process.name, settings.process.listen);
    decisions.run(&inputs_out, &peers_out, token);
    timeline.record(EventKind::ProcessStopping, "", "");
    services.token.cancel();
    // Lets the last messages and lines leave.
    thread::sleep(Millis(100).to_duration());
    Ok(())
}
