//! Receives the body of a request within the limits of the server.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use libs::tokio;

use crate::Rejection;
use crate::connection::Connection;

/// First reservation for a body. Most are smaller.
const FIRST_RESERVATION_BYTES: usize = 4 << 10;

/// Receives a body into memory that is reserved as it grows. Returns it once it is complete.
///
/// The bytes are copied out of the buffers that they were read into: a slice of a buffer keeps all of
/// it, with the framing of the chunks.
pub(crate) async fn receive(
    mut body: Incoming,
    connection: &Connection,
    max_bytes: usize,
) -> Result<Bytes, Rejection> {
    // The declared length of a body, or what has arrived of one in chunks.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    connection.start_body();
    let mut received = BytesMut::new();
    let mut reserved_bytes = 0;
    let mut stall_ms = connection.receive(0);
    loop {
        let frame = tokio::select! {
            biased;
            () = connection.refused.cancelled() => return Err(Rejection::Evicted),
            frame = tokio::time::timeout(stall_ms.to_duration(), body.frame()) => frame,
        };
        let Ok(frame) = frame else { return Err(Rejection::BodyTimeout) };
        let Some(frame) = frame else { return Ok(received.freeze()) };
        let Ok(frame) = frame else { return Err(Rejection::BodyIncomplete) };
        let Ok(data) = frame.into_data() else { continue };
        let needed_bytes = received.len() + data.len();
        if needed_bytes > max_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        if needed_bytes > reserved_bytes {
            let doubled_bytes = (2 * reserved_bytes).max(FIRST_RESERVATION_BYTES);
            let next_bytes = doubled_bytes.max(needed_bytes).min(max_bytes);
            if !connection.reserve(next_bytes - reserved_bytes) {
                return Err(Rejection::OutOfMemory);
            }
            reserved_bytes = next_bytes;
            received.reserve(reserved_bytes - received.len());
        }
        received.extend_from_slice(&data);
        stall_ms = connection.receive(data.len());
    }
}
