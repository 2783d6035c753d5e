//! Receives messages from peers.

use libs::crossbeam_channel::Sender;
use libs::futures_util::StreamExt;
use libs::log::warn;
use libs::quinn::{Incoming, RecvStream};
use libs::tokio_util::codec::{FramedRead, LengthDelimitedCodec};
use libs::{postcard, tokio};
use metrics::Metrics;
use timeline::Timeline;
use types::Envelope;

use crate::MAX_MESSAGE_BYTES;

/// Destination of received messages.
#[derive(Clone)]
pub(crate) struct Inbox {
    pub(crate) received: Sender<Envelope>,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: Metrics,
}

/// Accepts a connection and reads all its streams. The handshake verifies the peer's certificate.
pub(crate) async fn serve_connection(incoming: Incoming, inbox: Inbox) {
    let remote = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            inbox.metrics.count("net.connections_refused");
            warn!("connection from {remote} failed during the handshake: {error}");
            return;
        }
    };
    while let Ok(stream) = connection.accept_uni().await {
        tokio::spawn(read_stream(stream, inbox.clone()));
    }
}

/// Returns the codec that frames messages with a length prefix of four bytes.
pub(crate) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

async fn read_stream(stream: RecvStream, inbox: Inbox) {
    let mut frames = FramedRead::new(stream, frame_codec());
    while let Some(Ok(frame)) = frames.next().await {
        let Ok(envelope) = postcard::from_bytes::<Envelope>(&frame) else {
            // The rest of the stream may be misaligned. The peer opens a new one.
            inbox.metrics.count("net.messages_malformed");
            return;
        };
        inbox.metrics.count("net.messages_received");
        inbox.metrics.add("net.bytes_received", frame.len() as u64);
        inbox.timeline.observe(envelope.stamp);
        if inbox.received.try_send(envelope).is_err() {
            inbox.metrics.count("net.messages_overflowed");
        }
    }
}
