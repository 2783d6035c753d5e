//! Sends messages to peers, with one task and one connection for each peer.

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

/// Capacity of the queue to one peer. Messages beyond it are dropped and counted.
const PEER_QUEUE_CAPACITY: usize = 8_192;
/// Time without messages after which a peer's connection is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time to wait for a handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed connection attempt. The batch of messages that caused the attempt is dropped.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that writing one batch of messages may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of messages that are written before a flush.
const MAX_BATCH_MESSAGES: usize = 64;

type FrameWriter = FramedWrite<SendStream, LengthDelimitedCodec>;

/// The queues to the sending tasks, by peer.
pub(crate) struct Outbox {
    endpoint: Endpoint,
    metrics: Metrics,
    peers: HashMap<SocketAddr, mpsc::Sender<Bytes>>,
}

impl Outbox {
    pub(crate) fn new(endpoint: Endpoint, metrics: Metrics) -> Self {
        Self { endpoint, metrics, peers: HashMap::new() }
    }

    /// Queues a message for its peer's task, which is started if it is not running.
    pub(crate) fn queue(&mut self, to: SocketAddr, bytes: Bytes) {
        let is_open = self.peers.get(&to).is_some_and(|queue| !queue.is_closed());
        if !is_open {
            self.start_peer(to);
        }
        let sent = self.peers.get(&to).is_some_and(|queue| queue.try_send(bytes).is_ok());
        if !sent {
            self.metrics.count("net.messages_dropped");
        }
    }

    /// Ends a peer's task. The next message starts a new one with a new connection.
    pub(crate) fn reconnect(&mut self, to: SocketAddr) {
        self.peers.remove(&to);
    }

    fn start_peer(&mut self, to: SocketAddr) {
        self.peers.retain(|_, queue| !queue.is_closed());
        let (queue, messages) = mpsc::channel(PEER_QUEUE_CAPACITY);
        tokio::spawn(send_to_peer(self.endpoint.clone(), to, messages, self.metrics.clone()));
        self.peers.insert(to, queue);
    }
}

async fn send_to_peer(
    endpoint: Endpoint,
    to: SocketAddr,
    mut messages: mpsc::Receiver<Bytes>,
    metrics: Metrics,
) {
    let mut writer: Option<FrameWriter> = None;
    let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
    loop {
        batch.clear();
        match timeout(PEER_IDLE_TIMEOUT, messages.recv_many(&mut batch, MAX_BATCH_MESSAGES)).await {
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
