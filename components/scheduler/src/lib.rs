//! The scheduler process. It connects the pools to the network, the key-value service, workers,
//! runners and the clock; the scheduling decisions are in the `pool` crate.

mod decisions;
mod executors;
mod input;
mod store_calls;
mod team_usage;
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
use crate::executors::CallExecutors;
use crate::input::Input;

/// Capacity of the queue of inputs to the decisions thread.
const INPUT_QUEUE_CAPACITY: usize = 8_192;
/// Capacity of the queue of peer messages to the decisions thread.
const PEER_QUEUE_CAPACITY: usize = 8_192;
/// Period of the ticks that pools receive.
const TICK_MS: Millis = Millis(10);

/// Runs the process until the token is cancelled and its pools are handed over.
pub fn run(settings: &Settings, token: &CancellationToken) -> Result<()> {
    let (peer_sender, peer_receiver) = bounded(PEER_QUEUE_CAPACITY);
    let (input_sender, input_receiver) = bounded(INPUT_QUEUE_CAPACITY);
    let services = Services::start(settings, peer_sender, &input_sender, Input::Rules)?;
    vms_watch::start(settings, input_sender.clone(), services.token.clone())?;
    services.timer.subscribe(TICK_MS, input_sender.clone(), Input::Tick);
    services.timer.subscribe(settings.timing.heartbeat_ms, input_sender.clone(), Input::Heartbeat);
    let executors = CallExecutors::start(services.store.clone(), &input_sender, &services.metrics)?;
    let node = services.node(Role::Scheduler, settings);
    let mut decisions = Decisions::new(settings.clone(), node, &services, executors);
    let timeline = &services.timeline;
    timeline.record(EventKind::ProcessReady, "", "");
    info!("scheduler {} is ready on {}", settings.process.name, settings.process.listen);
    decisions.run(&input_receiver, &peer_receiver, token);
    timeline.record(EventKind::ProcessStopping, "", "");
    services.token.cancel();
    // Leaves time to send the last messages and write the last log lines.
    thread::sleep(Millis(100).to_duration());
    Ok(())
}
