//! Sends messages to peers, one task and one connection for each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use libs::bytes::Bytes;
use libs::futures_util::SinkExt;
use libs::quinn::{Endpoint, SendStream};
use libs::tokio;
use libs::tokio::sync::mpsc;
use libs::tokio::time::timeout;
use libs::tokio_util::codec::{FramedWrite, LengthDelimitedCodec};
use metrics::Metrics;

use crate::inbound::frame_codec;
use crate::tls::SERVER_NAME;

/// Messages that may wait for one peer. Further ones are dropped and counted.
const PEER_RING: usize = 8_192;
/// Time without messages after which a peer's connection is closed.
const PEER_IDLE: Duration = Duration::from_secs(60);
/// Longest time to wait for a handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which messages for an unreachable peer are dropped before the next try to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that one batch of messages may take to write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Messages taken from the ring for one flush.
const BATCH: usize = 64;

type FrameWriter = FramedWrite<SendStream, LengthDelimitedCodec>;

/// The tasks that send, by peer.
pub(crate) struct Outbox {
    endpoint: Endpoint,
    metrics: Metrics,
    peers: HashMap<SocketAddr, mpsc::Sender<Bytes>>,
}

impl Outbox {
    pub(crate) fn new(endpoint: Endpoint, metrics: Metrics) -> Self {
        Self { endpoint, metrics, peers: HashMap::new() }
    }

    /// Hands a message to its peer's task, which is started if there is none.
    pub(crate) fn queue(&mut self, to: SocketAddr, bytes: Bytes) {
        let is_open = self.peers.get(&to).is_some_and(|ring| !ring.is_closed());
        if !is_open {
            self.start_peer(to);
        }
        let sent = self.peers.get(&to).is_some_and(|ring| ring.try_send(bytes).is_ok());
        if !sent {
            self.metrics.count("net.messages_dropped");
        }
    }

    /// Ends a peer's task. The next message starts another one.
    pub(crate) fn reconnect(&mut self, to: SocketAddr) {
        self.peers.remove(&to);
    }

    fn start_peer(&mut self, to: SocketAddr) {
        self.peers.retain(|_, ring| !ring.is_closed());
        let (ring, waiting) = mpsc::channel(PEER_RING);
        tokio::spawn(send_to_peer(self.endpoint.clone(), to, waiting, self.metrics.clone()));
        self.peers.insert(to, ring);
    }
}

async fn send_to_peer(
    endpoint: Endpoint,
    to: SocketAddr,
    mut waiting: mpsc::Receiver<Bytes>,
    metrics: Metrics,
) {
    let mut writer: Option<FrameWriter> = None;
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        batch.clear();
        match timeout(PEER_IDLE, waiting.recv_many(&mut batch, BATCH)).await {
            Ok(taken) if taken > 0 => {}
            _ => return,
        }
        let connected = match writer.take() {
            Some(connected) => Some(connected),
            None => connect(&endpoint, to).await,
        };
        let Some(mut connected) = connected else {
            metrics.add("net.messages_dropped", batch.len() as u64);
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        match timeout(WRITE_TIMEOUT, write_batch(&mut connected, &mut batch)).await {
            Ok(true) => writer = Some(connected),
            _ => metrics.count("net.connections_lost"),
        }
    }
}

async fn connect(endpoint: &Endpoint, to: SocketAddr) -> Option<FrameWriter> {
    let connecting = endpoint.connect(to, SERVER_NAME).ok()?;
    let connection = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
    let stream = connection.open_uni().await.ok()?;
    Some(FramedWrite::new(stream, frame_codec()))
}

async fn write_batch(writer: &mut FrameWriter, batch: &mut Vec<Bytes>) -> bool {
    for bytes in batch.drain(..) {
        if writer.feed(bytes).await.is_err() {
            return false;
        }
    }
    SinkExt::<Bytes>::flush(writer).await.is_ok()
}
