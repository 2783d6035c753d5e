//! A caller.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, Result};
use libs::serde_json::Value;
use libs::ureq::Agent;
use libs::ureq::http::Response;
use libs::ureq::{self, Body};

/// Longest time to wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP client.
#[derive(Clone)]
pub struct Client {
    agent: Agent,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// What became of the request, as a word.
    pub outcome: String,
    /// Id of the request, if it has one.
    pub request: String,
    /// When to come back, in seconds.
    pub retry_after_s: Option<u64>,
    /// Body.
    pub body: String,
}

impl HttpAnswer {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        libs::serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Id of the accepted job.
    pub fn job(&self) -> Option<String> {
        self.json()["job"].as_str().map(str::to_owned)
    }
}

impl Default for Client {
    fn default() -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections_per_host(64)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self { agent: agent.into() }
    }
}

impl Client {
    /// Reads a resource.
    pub fn get(&self, to: SocketAddr, path: &str, token: &str) -> Result<HttpAnswer> {
        let call = self.agent.get(format!("http://{to}{path}"));
        let call = if token.is_empty() {
            call
        } else {
            call.header("Authorization", format!("Bearer {token}"))
        };
        read(call.call())
    }

    /// Removes a resource.
    pub fn delete(&self, to: SocketAddr, path: &str, token: &str) -> Result<HttpAnswer> {
        let call = self
            .agent
            .delete(format!("http://{to}{path}"))
            .header("Authorization", format!("Bearer {token}"));
        read(call.call())
    }

    /// Posts a body with further headers.
    pub fn post(
        &self,
        to: SocketAddr,
        path: &str,
        token: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpAnswer> {
        let mut call = self.agent.post(format!("http://{to}{path}"));
        if !token.is_empty() {
            call = call.header("Authorization", format!("Bearer {token}"));
        }
        for (name, value) in headers {
            call = call.header(*name, *value);
        }
        read(call.send(body))
    }
}

fn read(sent: std::result::Result<Response<Body>, ureq::Error>) -> Result<HttpAnswer> {
    let mut response = sent.map_err(|error| Error::Unanswered(error.to_string()))?;
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, request) = (header("X-Carobsill-Outcome"), header("X-Request-Id"));
    let retry_after_s = header("Retry-After").parse().ok();
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .read_to_string()
        .map_err(|error| Error::Unanswered(error.to_string()))?;
    Ok(HttpAnswer { status, outcome, request, retry_after_s, body })
}
