//! What all clients share.

use libs::ureq::http::Response;
use libs::ureq::{Agent, Body};
use types::Millis;

/// Idle connections kept over all back ends.
const MAX_IDLE: usize = 1_024;
/// Idle connections kept for one address. Stand-ins serve many back ends at one address.
const MAX_IDLE_PER_HOST: usize = 128;
/// Each of the two buffers of a connection, in bytes.
const BUFFER_BYTES: usize = 8 << 10;
/// Longest time to wait for a connection.
const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);

/// An HTTP client that keeps connections.
pub fn new_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(MAX_IDLE)
        .max_idle_connections_per_host(MAX_IDLE_PER_HOST)
        .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
        .build()
        .into()
}

/// A header of an answer as text.
pub(crate) fn header<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

/// A header of an answer as a number.
pub(crate) fn number_header(response: &Response<Body>, name: &str) -> Option<u64> {
    header(response, name).and_then(|text| text.parse().ok())
}
