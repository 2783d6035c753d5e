//! HTTP client set-up and header parsing shared by the clients.

use libs::ureq::http::Response;
use libs::ureq::{Agent, Body};
use types::Millis;

/// Idle connections kept over all back ends.
const MAX_IDLE_CONNECTIONS: usize = 1_024;
/// Idle connections kept for one address. Stand-ins serve many back ends at one address, so that it
/// needs more than one connection.
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 128;
/// Size of each of a connection's two buffers.
const BUFFER_BYTES: usize = 8 << 10;
/// Longest time to wait until a connection is open.
const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);

/// Creates an HTTP client that reuses connections.
pub fn new_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_HOST)
        .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
        .build()
        .into()
}

/// Returns a header of a response as text.
pub(crate) fn header<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Returns a header of a response as a number.
pub(crate) fn number_header(response: &Response<Body>, name: &str) -> Option<u64> {
    header(response, name).and_then(|text| text.parse().ok())
}
