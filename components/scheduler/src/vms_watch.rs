//! Polls the platform's list of VMs in a dedicated thread.

use std::thread;

use backends::{fetch_vms, new_agent};
use clock::CancellationToken;
use config::Settings;
use errors::{Error, Result};
use kv::Backoff;
use libs::crossbeam_channel::Sender;
use libs::log::warn;
use types::Millis;

use crate::input::Input;

/// Upper bound of the wait after a failed read.
const RETRY_MAX_MS: Millis = Millis(5_000);

/// Starts the thread. It ends when the token is cancelled.
pub(crate) fn start(
    settings: &Settings,
    inputs: Sender<Input>,
    token: CancellationToken,
) -> Result<()> {
    let url = settings.platform.vms_url.clone();
    let period_ms = settings.timing.vms_period_ms;
    thread::Builder::new()
        .name("vms-watch".to_owned())
        .spawn(move || watch(&url, period_ms, &inputs, &token))
        .map_err(|error| Error::Io("VM list thread".to_owned(), error))?;
    Ok(())
}

fn watch(url: &str, period_ms: Millis, inputs: &Sender<Input>, token: &CancellationToken) {
    let agent = new_agent();
    let mut backoff = Backoff::new(period_ms, RETRY_MAX_MS);
    let mut is_reachable = true;
    while !token.is_cancelled() {
        let wait = match fetch_vms(&agent, url) {
            Ok(vms) => {
                is_reachable = true;
                backoff.reset();
                if inputs.send(Input::Vms(vms)).is_err() {
                    return;
                }
                period_ms
            }
            Err(error) => {
                if is_reachable {
                    warn!("failed to read the list of VMs: {error}");
                }
                is_reachable = false;
                backoff.next_wait()
            }
        };
        thread::sleep(wait.to_duration());
    }
}
