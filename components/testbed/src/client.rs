//! HTTP client of callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, Result};
use libs::serde_json::Value;
use libs::ureq::Agent;
use libs::ureq::http::Response;
use libs::ureq::{self, Body};

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client that keeps connections open and sends bearer tokens.
#[derive(Clone)]
pub struct Client {
    agent: Agent,
}

/// Response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `X-Carobsill-Outcome` header; empty if absent.
    pub outcome: String,
    /// Value of the `X-Request-Id` header; empty if absent.
    pub request: String,
    /// Value of the `Retry-After` header.
    pub retry_after_s: Option<u64>,
    /// Response body.
    pub body: String,
}

impl HttpResponse {
    /// Parses the body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        libs::serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Id of the accepted job, from the body.
    pub fn job(&self) -> Option<String> {
        self.json()["job"].as_str().map(str::to_owned)
    }
}

impl Default for Client {
    fn default() -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections_per_host(64)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self { agent: agent.into() }
    }
}

impl Client {
    /// Sends a GET request; without authorization if `token` is empty.
    pub fn get(&self, to: SocketAddr, path: &str, token: &str) -> Result<HttpResponse> {
        let call = self.agent.get(format!("http://{to}{path}"));
        let call = if token.is_empty() {
            call
        } else {
            call.header("Authorization", format!("Bearer {token}"))
        };
        read_response(call.call())
    }

    /// Sends a DELETE request.
    pub fn delete(&self, to: SocketAddr, path: &str, token: &str) -> Result<HttpResponse> {
        let call = self
            .agent
            .delete(format!("http://{to}{path}"))
            .header("Authorization", format!("Bearer {token}"));
        read_response(call.call())
    }

    /// Sends a POST request with additional headers; without authorization if `token` is empty.
    pub fn post(
        &self,
        to: SocketAddr,
        path: &str,
        token: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpResponse> {
        let mut call = self.agent.post(format!("http://{to}{path}"));
        if !token.is_empty() {
            call = call.header("Authorization", format!("Bearer {token}"));
        }
        for (name, value) in headers {
            call = call.header(*name, *value);
        }
        read_response(call.send(body))
    }
}

fn read_response(result: std::result::Result<Response<Body>, ureq::Error>) -> Result<HttpResponse> {
    let mut response = result.map_err(|error| Error::Unanswered(error.to_string()))?;
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
    Ok(HttpResponse { status, outcome, request, retry_after_s, body })
}
