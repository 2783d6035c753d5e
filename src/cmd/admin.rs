//! Asks an entry's administration API.

use errors::Error;
use libs::indicatif::ProgressBar;
use libs::serde_json::Value;
use libs::ureq::Agent;
use types::Millis;

use crate::cli::AdminArgs;
use crate::messages::Failure;

/// Longest time to wait for an entry.
const TIMEOUT_MS: Millis = Millis(10_000);
/// Period of the progress display.
const PROGRESS_MS: Millis = Millis(100);

/// Reads a resource below `/v1/admin`. None if it does not exist.
pub fn get(args: &AdminArgs, path: &str) -> Result<Option<Value>, Failure> {
    let progress = ProgressBar::new_spinner().with_message(format!("asking {}", args.entry));
    progress.enable_steady_tick(PROGRESS_MS.to_duration());
    let result = call(args, path);
    progress.finish_and_clear();
    result
}

fn call(args: &AdminArgs, path: &str) -> Result<Option<Value>, Failure> {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT_MS.to_duration()))
        .build()
        .into();
    let url = format!("{}/v1/admin/{path}", args.entry.trim_end_matches('/'));
    let call = agent.get(&url).header("Authorization", format!("Bearer {}", args.key));
    let mut response = call.call().map_err(|error| Error::Net(format!("{url}: {error}")))?;
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

/// Reads a resource that always exists.
pub fn get_existing(args: &AdminArgs, path: &str) -> Result<Value, Failure> {
    get(args, path)?
        .ok_or_else(|| Failure::Missing(format!("{} has no resource '{path}'", args.entry)))
}
