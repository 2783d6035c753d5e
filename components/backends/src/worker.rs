//! Client that synchronizes pools with their workers.

use errors::{Error, Result};
use libs::ureq::Agent;
use types::{Millis, SyncAnswer, SyncRequest};

use crate::http::new_agent;

/// Largest answer of a worker.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
/// Longest time that a sync may take.
const SYNC_TIMEOUT_MS: Millis = Millis(2_000);

/// Client for all workers.
#[derive(Clone)]
pub struct WorkerClient {
    agent: Agent,
}

impl Default for WorkerClient {
    fn default() -> Self {
        Self { agent: new_agent() }
    }
}

impl WorkerClient {
    /// Sends a sync to the worker at a base URL.
    ///
    /// Returns `Error::Refused` with the status of a rejection, which is 409 if the worker has seen a
    /// higher epoch, `Error::Network` if the sync was certainly not sent, and `Error::Unanswered`
    /// otherwise.
    pub fn sync(&self, url: &str, request: &SyncRequest) -> Result<SyncAnswer> {
        let call = self.agent.post(format!("{url}/sync"));
        let sent = call
            .config()
            .timeout_global(Some(SYNC_TIMEOUT_MS.to_duration()))
            .build()
            .send_json(request);
        let mut response = sent.map_err(|error| Error::from_call(&error))?;
        match response.status().as_u16() {
            200 => response
                .body_mut()
                .with_config()
                .limit(MAX_ANSWER_BYTES)
                .read_json()
                .map_err(|error| Error::Unanswered(error.to_string())),
            status => Err(Error::Refused(status, "worker".to_owned())),
        }
    }
}
