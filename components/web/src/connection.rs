//! The server's side of a connection: what it takes, and how it gives way to others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};

use clock::CancellationToken;
use connections::{ConnectionId, ConnectionTable, Eviction, Reservation, Room, ServerLimits};
use libs::tokio;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use types::Millis;

/// Size of the reads that discard what a refused client still sends.
const DISCARD_BYTES: usize = 8 << 10;

/// The connections of a server, shared by their tasks.
pub(crate) struct Connections {
    table: RefCell<ConnectionTable>,
    open: RefCell<HashMap<ConnectionId, Weak<Connection>>>,
}

/// One connection.
pub(crate) struct Connection {
    id: ConnectionId,
    connections: Rc<Connections>,
    /// Cancelled when the connection is to be closed at once.
    pub(crate) closed: CancellationToken,
    /// Cancelled when the request that is being received is to be refused.
    pub(crate) refused: CancellationToken,
    /// Bytes that may be discarded before the connection is closed.
    discard_bytes: Cell<usize>,
}

impl Connections {
    pub(crate) fn new(limits: ServerLimits) -> Rc<Self> {
        let table = RefCell::new(ConnectionTable::new(limits));
        Rc::new(Self { table, open: RefCell::default() })
    }

    pub(crate) fn limits(&self) -> ServerLimits {
        *self.table.borrow().limits()
    }

    /// Makes room for another connection.
    pub(crate) fn make_room(&self) -> Room {
        let room = self.table.borrow_mut().make_room(clock::now());
        match room {
            Room::Freed(Eviction::Close(id)) => self.notify(id, |evicted| &evicted.closed),
            Room::Freed(Eviction::Refuse(id)) => self.notify(id, |evicted| &evicted.refused),
            Room::Free | Room::Full => {}
        }
        room
    }

    /// Adds a connection.
    pub(crate) fn open(self: &Rc<Self>) -> Rc<Connection> {
        let id = self.table.borrow_mut().open(clock::now());
        let connection = Rc::new(Connection {
            id,
            connections: self.clone(),
            closed: CancellationToken::new(),
            refused: CancellationToken::new(),
            discard_bytes: Cell::new(0),
        });
        self.open.borrow_mut().insert(id, Rc::downgrade(&connection));
        connection
    }

    /// Cancels a token of a connection that gives way.
    fn notify(&self, id: ConnectionId, token: impl Fn(&Connection) -> &CancellationToken) {
        if let Some(connection) = self.open.borrow().get(&id).and_then(Weak::upgrade) {
            token(&connection).cancel();
        }
    }
}

impl Connection {
    /// Limits of the server.
    pub(crate) fn limits(&self) -> ServerLimits {
        self.connections.limits()
    }

    /// Notes that bytes have arrived, which begin a head if no request is being received.
    fn start_head(&self) {
        self.connections.table.borrow_mut().start_head(self.id, clock::now());
    }

    pub(crate) fn start_body(&self) {
        self.connections.table.borrow_mut().start_body(self.id, clock::now());
    }

    /// Reserves memory for the body. Returns false if there is none.
    pub(crate) fn reserve(&self, bytes: usize) -> bool {
        let reservation = self.connections.table.borrow_mut().reserve(self.id, bytes, clock::now());
        let Reservation::Granted(evicted) = reservation else { return false };
        for id in evicted {
            self.connections.notify(id, |connection| &connection.refused);
        }
        true
    }

    /// Counts bytes of the body. Returns how long the client may stall from now on.
    pub(crate) fn receive(&self, bytes: usize) -> Millis {
        self.connections.table.borrow_mut().receive(self.id, bytes, clock::now())
    }

    pub(crate) fn start_handler(&self) {
        self.connections.table.borrow_mut().start_handler(self.id);
    }

    pub(crate) fn end_handler(&self) {
        self.connections.table.borrow_mut().end_handler(self.id, clock::now());
    }

    /// Notes that the request is refused. The client may send the rest of it for a while, so that the
    /// refusal reaches it.
    pub(crate) fn refuse(&self) {
        let mut table = self.connections.table.borrow_mut();
        table.refuse(self.id, clock::now());
        // A connection that gave way to another is closed without delay.
        if table.contains(self.id) {
            self.discard_bytes.set(table.limits().max_body_bytes + table.limits().max_head_bytes);
        }
    }

    /// Notes that the connection is closed by this side. A request that is incomplete counts as refused.
    fn start_close(&self) {
        if self.is_incomplete() {
            self.refuse();
        }
    }

    pub(crate) fn is_incomplete(&self) -> bool {
        self.connections.table.borrow().is_incomplete(self.id)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
        self.connections.table.borrow_mut().close(self.id);
    }
}

/// The stream of a connection. After a refusal its shutdown discards what the client still sends, since
/// closing a connection with unread bytes resets it, and a reset may overtake the response.
pub(crate) struct ServerStream {
    stream: TcpStream,
    connection: Rc<Connection>,
    linger: Option<Pin<Box<Sleep>>>,
}

impl ServerStream {
    pub(crate) fn new(stream: TcpStream, connection: Rc<Connection>) -> Self {
        Self { stream, connection, linger: None }
    }

    /// Discards bytes until the client closes its side, or its time or its bytes are used up.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger_ms = self.connection.connections.limits().linger_ms;
        let linger = self
            .linger
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(linger_ms.to_duration())));
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut buffer = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut buffer);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            let bytes = buffer.filled().len();
            let left_bytes = self.connection.discard_bytes.get().saturating_sub(bytes);
            self.connection.discard_bytes.set(left_bytes);
            if read.is_err() || bytes == 0 || left_bytes == 0 {
                return Poll::Ready(());
            }
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        if buffer.filled().len() > filled_bytes {
            self.connection.start_head();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            self.connection.start_close();
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.connection.discard_bytes.get() > 0 {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
