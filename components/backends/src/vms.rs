//! Client for the platform's list of VMs.

use errors::{Error, Result};
use libs::ureq::Agent;
use types::{Millis, Vm};

/// Largest list.
const MAX_LIST_BYTES: u64 = 16 << 20;
/// Longest time that reading the list may take.
const LIST_TIMEOUT_MS: Millis = Millis(3_000);

/// Reads the list of live and leaving VMs. The list may be out of date.
pub fn fetch_vms(agent: &Agent, url: &str) -> Result<Vec<Vm>> {
    let call = agent.get(url).config().timeout_global(Some(LIST_TIMEOUT_MS.to_duration())).build();
    let mut response = call.call().map_err(|error| Error::from_call(&error))?;
    if response.status().as_u16() != 200 {
        return Err(Error::Refused(response.status().as_u16(), "list of VMs".to_owned()));
    }
    let body = response.body_mut().with_config().limit(MAX_LIST_BYTES);
    body.read_json().map_err(|error| Error::Unanswered(error.to_string()))
}
