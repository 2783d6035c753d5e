//! Client that polls runners and sends requests to them.

use config::ReportFormat;
use errors::{Error, Result};
use libs::compact_str::CompactString;
use libs::ureq::http::Response;
use libs::ureq::{Agent, Body};
use types::{Answer, Epoch, Millis, QueueId, RunnerReport, SlotGrant};

use crate::http::{header, new_agent, number_header};
use crate::vendor::adapter_for;

/// Largest state report of a runner.
const MAX_REPORT_BYTES: u64 = 1 << 20;
/// Largest answer to a request.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Longest time that a poll may take.
const POLL_TIMEOUT_MS: Millis = Millis(1_000);

/// Result of sending a request to a granted slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult {
    /// The complete answer was received.
    Answered(Answer),
    /// The runner certainly did not start the request.
    NotStarted,
    /// No complete answer was received. The request may have run.
    Lost,
}

/// Client for all runners.
#[derive(Clone)]
pub struct RunnerClient {
    agent: Agent,
}

impl Default for RunnerClient {
    fn default() -> Self {
        Self { agent: new_agent() }
    }
}

impl RunnerClient {
    /// Queries the state of the runner at a base URL and sends it the owner's epoch.
    ///
    /// Returns `Error::Refused` with status 409 if the runner has seen a higher epoch.
    pub fn poll(&self, url: &str, format: ReportFormat, epoch: Epoch) -> Result<RunnerReport> {
        let call = self.agent.get(format!("{url}/state")).header("X-Epoch", epoch.to_string());
        let sent = call.config().timeout_global(Some(POLL_TIMEOUT_MS.to_duration())).build().call();
        let mut response = sent.map_err(|error| Error::from_call(&error))?;
        let status = response.status().as_u16();
        if status == 409 {
            return Err(Error::Refused(status, "runner".to_owned()));
        }
        let body = response.body_mut().with_config().limit(MAX_REPORT_BYTES).read_to_string();
        let body = body.map_err(|error| Error::Unanswered(error.to_string()))?;
        adapter_for(format).parse(status, response.headers(), &body)
    }

    /// Sends a request to the granted slot and waits for the complete answer.
    pub fn run(
        &self,
        grant: &SlotGrant,
        queue: &QueueId,
        body: &[u8],
        timeout_ms: Millis,
    ) -> RunResult {
        let call = self
            .agent
            .post(format!("{}/run", grant.url))
            .header("X-Request-Id", grant.request.as_str())
            .header("X-Attempt", grant.attempt.to_string())
            .header("X-Epoch", grant.epoch.to_string())
            .header("X-Boot", grant.incarnation.to_string())
            .header("X-Start-Before-Ms", grant.start_before_ms.0.to_string())
            .header("X-End-Before-Ms", grant.end_before_ms.0.to_string())
            .header("X-Queue", queue.as_str());
        let sent = call.config().timeout_global(Some(timeout_ms.to_duration())).build().send(body);
        match sent {
            Ok(response) => read_answer(response, grant),
            Err(error) => match Error::from_call(&error) {
                Error::Network(_) => RunResult::NotStarted,
                _ => RunResult::Lost,
            },
        }
    }
}

/// Reads an answer and checks that it is complete and belongs to this attempt.
fn read_answer(mut response: Response<Body>, grant: &SlotGrant) -> RunResult {
    if header(&response, "X-Not-Started").is_some() {
        return RunResult::NotStarted;
    }
    let is_this_attempt = header(&response, "X-Request-Id") == Some(grant.request.as_str())
        && number_header(&response, "X-Attempt") == Some(grant.attempt.0);
    let expected_bytes = number_header(&response, "Content-Length");
    let status = response.status().as_u16();
    let content_type =
        CompactString::new(header(&response, "Content-Type").unwrap_or("application/octet-stream"));
    let Ok(body) = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec() else {
        return RunResult::Lost;
    };
    let is_complete = expected_bytes == Some(body.len() as u64);
    if !is_this_attempt || !is_complete {
        return RunResult::Lost;
    }
    RunResult::Answered(Answer { status, content_type, body })
}
