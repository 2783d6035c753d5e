//! The handle that the rest of a process uses to send and receive messages.

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

/// Messages that may wait for the network thread. Further ones are dropped and counted.
const SEND_RING: usize = 16_384;

/// What the network thread is asked to do.
pub(crate) enum Outgoing {
    /// Sends one encoded message.
    Message { to: SocketAddr, bytes: Bytes },
    /// Opens a new connection for the next message.
    Reconnect { to: SocketAddr },
}

/// Sends messages to peers. Clones share the same connections.
#[derive(Clone)]
pub struct Mesh {
    node: NodeId,
    listen: SocketAddr,
    send_ring: mpsc::Sender<Outgoing>,
    timeline: Timeline,
    metrics: Metrics,
}

impl Mesh {
    /// Opens the socket and starts the network thread.
    ///
    /// Received messages go into `received`; what does not fit there is dropped and counted.
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
            .map_err(|error| Error::Net(error.to_string()))?;
        let endpoint = {
            let _context = runtime.enter();
            let mut endpoint = Endpoint::server(configs.server, listen)
                .map_err(|error| Error::Net(format!("cannot listen on {listen}: {error}")))?;
            endpoint.set_default_client_config(configs.client);
            endpoint
        };
        let (send_ring, to_send) = mpsc::channel(SEND_RING);
        let inbox =
            inbound::Inbox { received, timeline: timeline.clone(), metrics: metrics.clone() };
        let outbox = Outbox::new(endpoint.clone(), metrics.clone());
        thread::Builder::new()
            .name("net".to_owned())
            .spawn(move || runtime.block_on(serve(endpoint, inbox, outbox, to_send, token)))
            .map_err(|error| Error::Net(error.to_string()))?;
        Ok(Self { node, listen, send_ring, timeline, metrics })
    }

    /// The address that peers reply to.
    pub fn address(&self) -> SocketAddr {
        self.listen
    }

    /// Opens a new connection to a peer for the next message, because the peer was restarted.
    pub fn reconnect(&self, to: SocketAddr) {
        if self.send_ring.try_send(Outgoing::Reconnect { to }).is_err() {
            self.metrics.count("net.messages_dropped");
        }
    }

    /// Queues a message. Delivery is at most once and not confirmed.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let stamp = self.timeline.stamp();
        let envelope = Envelope { from: self.node.clone(), reply_to: self.listen, message, stamp };
        let bytes = match postcard::to_stdvec(&envelope) {
            Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => Bytes::from(bytes),
            Ok(bytes) => {
                error!("a message of {} bytes to {to} is too long and was dropped", bytes.len());
                return;
            }
            Err(cause) => {
                error!("a message to {to} could not be encoded: {cause}");
                return;
            }
        };
        self.metrics.count("net.messages_sent");
        self.metrics.add("net.bytes_sent", bytes.len() as u64);
        if self.send_ring.try_send(Outgoing::Message { to, bytes }).is_err() {
            self.metrics.count("net.messages_dropped");
        }
    }
}

async fn serve(
    endpoint: Endpoint,
    inbox: inbound::Inbox,
    mut outbox: Outbox,
    mut to_send: mpsc::Receiver<Outgoing>,
    token: CancellationToken,
) {
    loop {
        tokio::select! {
            () = token.cancelled() => break,
            outgoing = to_send.recv() => match outgoing {
                Some(Outgoing::Message { to, bytes }) => outbox.queue(to, bytes),
                Some(Outgoing::Reconnect { to }) => outbox.reconnect(to),
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
