//! Client of an entry's administration API.

use errors::Error;
use libs::indicatif::ProgressBar;
use libs::serde_json::Value;
use libs::ureq::Agent;
use types::Millis;

use crate::cli::AdminArgs;
use crate::messages::Failure;

/// Timeout of a request to an entry.
const TIMEOUT_MS: Millis = Millis(10_000);
/// Refresh interval of the progress spinner.
const SPINNER_MS: Millis = Millis(100);

/// Reads a resource below `/v1/admin`. `None` if it does not exist.
pub fn get(args: &AdminArgs, path: &str) -> Result<Option<Value>, Failure> {
    let progress = ProgressBar::new_spinner().with_message(format!("waiting for {}", args.entry));
    progress.enable_steady_tick(SPINNER_MS.to_duration());
    let result = send_request(args, path);
    progress.finish_and_clear();
    result
}

fn send_request(args: &AdminArgs, path: &str) -> Result<Option<Value>, Failure> {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT_MS.to_duration()))
        .build()
        .into();
    let url = format!("{}/v1/admin/{path}", args.entry.trim_end_matches('/'));
    let request = agent.get(&url).header("Authorization", format!("Bearer {}", args.key));
    let mut response = request.call().map_err(|error| Error::Network(format!("{url}: {error}")))?;
    let status = response.status().as_u16();
    let body = response.body_mut();
    match status {
        200 => {
            let value = body.read_json().map_err(|error| Error::Codec(error.to_string()))?;
            Ok(Some(value))
        }
        404 => Ok(None),
        status => {
            let text = body.read_to_string().unwrap_or_default();
            Err(Error::Refused(status, text).into())
        }
    }
}

/// Reads a resource that is expected to exist.
pub fn get_existing(args: &AdminArgs, path: &str) -> Result<Value, Failure> {
    get(args, path)?
        .ok_or_else(|| Failure::NotFound(format!("{} has no resource '{path}'", args.entry)))
}
