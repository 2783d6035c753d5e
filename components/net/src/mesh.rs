//! The handle through which a process sends and receives messages.

use std::net::SocketAddr;
use std::thread;

use clock::CancellationToken;
use config::TlsSettings;
use errors::{Error, Result};
use libs::bytes::Bytes;
use libs::crossbeam_channel::Sender;
use libs::log::error;
use libs::quinn::Endpoint;
use libs::tokio::runtime;
use libs::tokio::sync::mpsc;
use libs::{postcard, tokio};
use metrics::Metrics;
use timeline::Timeline;
use types::{Envelope, Message, NodeId};

use crate::outbound::Outbox;
use crate::{MAX_MESSAGE_BYTES, inbound, tls};

/// Capacity of the queue to the network thread. Messages beyond it are dropped and counted.
const SEND_QUEUE_CAPACITY: usize = 16_384;

/// A command to the network thread.
pub(crate) enum Command {
    /// Sends an encoded message.
    Send { to: SocketAddr, bytes: Bytes },
    /// Opens a new connection to a peer for the next message.
    Reconnect { to: SocketAddr },
}

/// Sends messages to peers. Clones share the same connections.
#[derive(Clone)]
pub struct Mesh {
    node: NodeId,
    listen: SocketAddr,
    send_queue: mpsc::Sender<Command>,
    timeline: Timeline,
    metrics: Metrics,
}

impl Mesh {
    /// Opens the socket and starts the network thread.
    ///
    /// Received messages go to `received`. Messages that exceed its capacity are dropped and counted.
    pub fn start(
        node: NodeId,
        listen: SocketAddr,
        tls: &TlsSettings,
        received: Sender<Envelope>,
        timeline: Timeline,
        metrics: Metrics,
        token: CancellationToken,
    ) -> Result<Self> {
        let configs = tls::load(tls)?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Error::Network(error.to_string()))?;
        let endpoint = {
            let _context = runtime.enter();
            let mut endpoint = Endpoint::server(configs.server, listen)
                .map_err(|error| Error::Network(format!("cannot listen on {listen}: {error}")))?;
            endpoint.set_default_client_config(configs.client);
            endpoint
        };
        let (send_queue, commands) = mpsc::channel(SEND_QUEUE_CAPACITY);
        let inbox =
            inbound::Inbox { received, timeline: timeline.clone(), metrics: metrics.clone() };
        let outbox = Outbox::new(endpoint.clone(), metrics.clone());
        thread::Builder::new()
            .name("net".to_owned())
            .spawn(move || runtime.block_on(serve(endpoint, inbox, outbox, commands, token)))
            .map_err(|error| Error::Network(error.to_string()))?;
        Ok(Self { node, listen, send_queue, timeline, metrics })
    }

    /// Returns the address to which peers reply.
    pub fn address(&self) -> SocketAddr {
        self.listen
    }

    /// Opens a new connection to a peer for the next message. To be called when the peer has restarted.
    pub fn reconnect(&self, to: SocketAddr) {
        if self.send_queue.try_send(Command::Reconnect { to }).is_err() {
            self.metrics.count("net.messages_dropped");
        }
    }

    /// Queues a message. Delivery is at most once and is not acknowledged.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let stamp = self.timeline.next_timestamp();
        let envelope = Envelope { from: self.node.clone(), reply_to: self.listen, message, stamp };
        let bytes = match postcard::to_stdvec(&envelope) {
            Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => Bytes::from(bytes),
            Ok(bytes) => {
                error!("dropped a message of {} bytes to {to}: too large", bytes.len());
                return;
            }
            Err(cause) => {
                error!("failed to encode a message to {to}: {cause}");
                return;
            }
        };
        self.metrics.count("net.messages_sent");
        self.metrics.add("net.bytes_sent", bytes.len() as u64);
        if self.send_queue.try_send(Command::Send { to, bytes }).is_err() {
            self.metrics.count("net.messages_dropped");
        }
    }
}

async fn serve(
    endpoint: Endpoint,
    inbox: inbound::Inbox,
    mut outbox: Outbox,
    mut commands: mpsc::Receiver<Command>,
    token: CancellationToken,
) {
    loop {
        tokio::select! {
            () = token.cancelled() => break,
            command = commands.recv() => match command {
                Some(Command::Send { to, bytes }) => outbox.queue(to, bytes),
                Some(Command::Reconnect { to }) => outbox.reconnect(to),
                None => break,
            },
            incoming = endpoint.accept() => match incoming {
                Some(incoming) => {
                    tokio::spawn(inbound::serve_connection(incoming, inbox.clone()));
                }
                None => break,
            },
        }
    }
    endpoint.close(0_u8.into(), b"stopping");
    endpoint.wait_idle().await;
}
