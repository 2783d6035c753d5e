//! HTTP client with a pool of idle connections per address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Method};
use hyper_util::rt::TokioIo;
use libs::tokio;
use tokio::net::TcpStream;
use types::Millis;

/// Timeout for opening a connection. A packet takes a few milliseconds; a lost SYN is sent again
/// after a second.
const CONNECT_TIMEOUT_MS: Millis = Millis(700);
/// Rate below which a body does not count as arriving: a tenth of a link of 2 Mbit/s.
const MIN_BODY_BYTES_PER_S: u64 = 25_000;
/// Maximum size of a body: several versions of a value of 1 MiB in the answer to a watch.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Connections idle for longer than this are closed, because servers close them after 15 s.
const MAX_IDLE_MS: Millis = Millis(8_000);
/// Default of the maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent: the call cannot have taken effect.
    NotSent,
    /// The call may have taken effect, or may still do so.
    Unanswered,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "no connection",
            Self::Unanswered => "no response",
        })
    }
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: &'a str,
    /// Headers in addition to those that the client sets itself.
    pub headers: &'a [(&'static str, String)],
    /// Body; may be empty.
    pub body: Bytes,
    /// Timeout for the response. A large body may take longer while it keeps arriving: on a slow link
    /// it needs more time than any limit that suits a small one.
    pub timeout_ms: Millis,
}

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A response whose body has not been received, and its connection.
type Answered = (hyper::Response<Incoming>, SendRequest<Full<Bytes>>);

/// Why a response was not received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Interrupted {
    /// No further part arrived in time.
    Stalled,
    /// The connection was closed.
    Closed,
    /// The body is larger than any that is expected.
    TooLarge,
}

/// Time limits of a body.
struct BodyLimits {
    /// When a small body must have arrived.
    deadline: tokio::time::Instant,
    /// Longest time between two parts of a large one.
    stall: Duration,
}

impl BodyLimits {
    /// When the next part must have arrived after so many bytes.
    fn next_part(&self, received_bytes: usize) -> tokio::time::Instant {
        let earned_ms = received_bytes as u64 * 1_000 / MIN_BODY_BYTES_PER_S;
        let stalled_at = tokio::time::Instant::now() + self.stall;
        stalled_at.min(self.deadline + Duration::from_millis(earned_ms))
    }
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
}

/// Idle connections to an address.
#[derive(Default)]
struct IdlePool {
    connections: Vec<IdleConnection>,
    /// A task closes those that are idle for too long.
    is_swept: bool,
}

impl IdlePool {
    /// Closes connections that are idle for too long.
    fn retain_fresh(&mut self) {
        self.connections.retain(|connection| {
            !connection.sender.is_closed()
                && connection.idle_since.elapsed() < MAX_IDLE_MS.to_duration()
        });
    }
}

type IdlePools = RefCell<HashMap<SocketAddr, IdlePool>>;

/// Handle to the connection pool. Clones share the connections.
#[derive(Clone)]
pub struct Client {
    idle: Rc<IdlePools>,
    max_idle_connections: usize,
}

impl Default for Client {
    fn default() -> Self {
        Self::with_max_idle(MAX_IDLE_CONNECTIONS)
    }
}

impl Client {
    /// Creates a client that keeps at most this number of idle connections per address.
    ///
    /// A process that loses power never closes them. A server with a limit on its connections, which
    /// outlives many clients, needs clients that keep few.
    pub fn with_max_idle(connections: usize) -> Self {
        Self { idle: Rc::default(), max_idle_connections: connections }
    }

    /// Sends the request on an idle or a new connection and waits for the response.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<'_>,
    ) -> Result<Response, CallError> {
        let timeout = request.timeout_ms.to_duration();
        let deadline = tokio::time::Instant::now() + timeout;
        let head = tokio::time::timeout_at(deadline, self.send(address, &request));
        let result = match head.await {
            Ok(Ok((response, sender))) => {
                let limits = BodyLimits { deadline, stall: timeout };
                self.receive(address, response, sender, limits).await
            }
            Ok(Err(error)) => return Err(error),
            Err(_elapsed) => Err(Interrupted::Stalled),
        };
        result.map_err(|reason| {
            if reason == Interrupted::Stalled {
                // Other idle connections to this address may be unresponsive too.
                if let Some(pool) = self.idle.borrow_mut().get_mut(&address) {
                    pool.connections.clear();
                }
            }
            CallError::Unanswered
        })
    }

    /// Receives the body of a response. Its connection can be used again afterwards.
    async fn receive(
        &self,
        address: SocketAddr,
        response: hyper::Response<Incoming>,
        sender: SendRequest<Full<Bytes>>,
        limits: BodyLimits,
    ) -> Result<Response, Interrupted> {
        let (head, body) = response.into_parts();
        let body = collect_body(body, &limits).await?;
        self.put_idle(address, sender);
        Ok(Response { status: head.status.as_u16(), headers: head.headers, body })
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: &Request<'_>,
    ) -> Result<Answered, CallError> {
        while let Some(sender) = self.take_idle(address) {
            match send_on(address, sender, request).await {
                // The server closed the idle connection before the request was written.
                Err(CallError::NotSent) => {}
                other => return other,
            }
        }
        let sender = connect(address).await?;
        send_on(address, sender, request).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let pool = idle.get_mut(&address)?;
        pool.retain_fresh();
        pool.connections.pop().map(|connection| connection.sender)
    }

    fn put_idle(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        let pool = idle.entry(address).or_default();
        if pool.connections.len() < self.max_idle_connections {
            pool.connections.push(IdleConnection { sender, idle_since: Instant::now() });
        }
        if !std::mem::replace(&mut pool.is_swept, true) {
            tokio::task::spawn_local(sweep(Rc::downgrade(&self.idle), address));
        }
    }
}

/// Closes the connections to an address that are idle for too long, until there are none.
async fn sweep(idle: Weak<IdlePools>, address: SocketAddr) {
    loop {
        tokio::time::sleep(MAX_IDLE_MS.to_duration()).await;
        let Some(idle) = idle.upgrade() else { return };
        let mut idle = idle.borrow_mut();
        let Some(pool) = idle.get_mut(&address) else { return };
        pool.retain_fresh();
        if pool.connections.is_empty() {
            idle.remove(&address);
            return;
        }
    }
}

/// Sends a request and waits for the head of its response.
async fn send_on(
    address: SocketAddr,
    mut sender: SendRequest<Full<Bytes>>,
    request: &Request<'_>,
) -> Result<Answered, CallError> {
    sender.ready().await.map_err(|_| CallError::NotSent)?;
    let mut builder = hyper::Request::builder()
        .method(request.method.clone())
        .uri(request.path)
        .header(hyper::header::HOST, address.to_string());
    if !request.body.is_empty() {
        builder = builder.header(hyper::header::CONTENT_TYPE, "application/json");
    }
    for (name, value) in request.headers {
        builder = builder.header(*name, value);
    }
    let http_request =
        builder.body(Full::new(request.body.clone())).map_err(|_| CallError::NotSent)?;
    let response = sender.send_request(http_request).await.map_err(|error| {
        if error.is_canceled() { CallError::NotSent } else { CallError::Unanswered }
    })?;
    Ok((response, sender))
}

/// Collects a body within its limits.
async fn collect_body(mut body: Incoming, limits: &BodyLimits) -> Result<Bytes, Interrupted> {
    let mut collected = BytesMut::new();
    loop {
        let until = limits.next_part(collected.len());
        let frame = tokio::time::timeout_at(until, body.frame())
            .await
            .map_err(|_elapsed| Interrupted::Stalled)?;
        let Some(frame) = frame else { return Ok(collected.freeze()) };
        let frame = frame.map_err(|_| Interrupted::Closed)?;
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
        if collected.len() > MAX_BODY_BYTES {
            return Err(Interrupted::TooLarge);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, CallError> {
    let timeout: Duration = CONNECT_TIMEOUT_MS.to_duration();
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| CallError::NotSent)?;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|_| CallError::NotSent)?;
    // A connection error is reported to the call that uses the connection.
    tokio::task::spawn_local(async move { connection.await.ok() });
    Ok(sender)
}
