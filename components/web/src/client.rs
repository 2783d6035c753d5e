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

/// A server instance that a request is meant for, and how a connection shows which one it leads to.
///
/// A server that restarts at its address takes requests that were meant for the instance before. Such a
/// request is sent only on a connection that has shown that it leads to the right one. A connection
/// never changes its instance.
#[derive(Debug)]
pub struct Instance<'a> {
    /// Identity of the instance.
    pub id: u64,
    /// Request that is sent first on each new connection. Any instance may carry it out.
    pub hello: Request<'a>,
    /// Reads the identity of an instance from its response to `hello`.
    pub identify: Identify,
}

/// Reads the identity of a server instance from a response; none if the response has none.
pub type Identify = fn(&Response) -> Option<u64>;

/// Why a request to an instance has no response.
#[derive(Debug)]
pub enum InstanceError {
    /// The call failed.
    Call(CallError),
    /// Another instance has answered `hello`, or one that did not identify itself, with this
    /// response. The request was not sent.
    OtherInstance(Response),
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
    /// Limits of a response whose request is sent now.
    fn of(request: &Request<'_>) -> Self {
        let stall = request.timeout_ms.to_duration();
        Self { deadline: tokio::time::Instant::now() + stall, stall }
    }

    /// When the next part must have arrived after so many bytes.
    fn next_part(&self, received_bytes: usize) -> tokio::time::Instant {
        let earned_ms = received_bytes as u64 * 1_000 / MIN_BODY_BYTES_PER_S;
        let stalled_at = tokio::time::Instant::now() + self.stall;
        stalled_at.min(self.deadline + Duration::from_millis(earned_ms))
    }
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Instance that it leads to, if it has shown one.
    instance: Option<u64>,
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
        self.call_any_instance(address, request, |_response| None).await
    }

    /// Sends a request that any instance of the server may carry out. The connection is kept for the
    /// instance that the response shows.
    pub async fn call_any_instance(
        &self,
        address: SocketAddr,
        request: Request<'_>,
        identify: Identify,
    ) -> Result<Response, CallError> {
        let limits = BodyLimits::of(&request);
        let (response, sender) = self.exchange(address, None, &request, &limits).await?;
        let instance = identify(&response);
        if let Some(id) = instance {
            self.close_other_instances(address, id);
        }
        self.put_idle(address, sender, instance);
        Ok(response)
    }

    /// Sends a request that only one instance of the server may carry out. On a new connection, `hello`
    /// is sent first; both together take at most the timeout of the request.
    ///
    /// # Errors
    ///
    /// `InstanceError::Call` with `CallError::NotSent` also means that `hello` got no answer.
    pub async fn call_instance(
        &self,
        address: SocketAddr,
        instance: &Instance<'_>,
        request: Request<'_>,
    ) -> Result<Response, InstanceError> {
        let limits = BodyLimits::of(&request);
        let (response, sender) = loop {
            match self.take_idle(address, Some(instance.id)) {
                Some(sender) => {
                    match self.exchange(address, Some(sender), &request, &limits).await {
                        // The server closed the idle connection before the request was written.
                        Err(CallError::NotSent) => {}
                        other => break other.map_err(InstanceError::Call)?,
                    }
                }
                None => {
                    let sender = self.connect_to(address, instance, &limits).await?;
                    let exchange = self.exchange(address, Some(sender), &request, &limits);
                    break exchange.await.map_err(InstanceError::Call)?;
                }
            }
        };
        self.put_idle(address, sender, Some(instance.id));
        Ok(response)
    }

    /// Opens a connection to an instance.
    async fn connect_to(
        &self,
        address: SocketAddr,
        instance: &Instance<'_>,
        limits: &BodyLimits,
    ) -> Result<SendRequest<Full<Bytes>>, InstanceError> {
        let not_sent = InstanceError::Call(CallError::NotSent);
        let connected = tokio::time::timeout_at(limits.deadline, connect(address)).await;
        let Ok(Ok(sender)) = connected else { return Err(not_sent) };
        let hello = self.exchange(address, Some(sender), &instance.hello, limits).await;
        let Ok((response, sender)) = hello else { return Err(not_sent) };
        let answered = (instance.identify)(&response);
        if let Some(id) = answered {
            self.close_other_instances(address, id);
        }
        if answered == Some(instance.id) {
            return Ok(sender);
        }
        self.put_idle(address, sender, answered);
        Err(InstanceError::OtherInstance(response))
    }

    /// Sends a request on a connection, or else on any idle or a new one, and waits for the complete
    /// response. Returns the connection too.
    async fn exchange(
        &self,
        address: SocketAddr,
        sender: Option<SendRequest<Full<Bytes>>>,
        request: &Request<'_>,
        limits: &BodyLimits,
    ) -> Result<(Response, SendRequest<Full<Bytes>>), CallError> {
        let send = async {
            match sender {
                Some(sender) => send_on(address, sender, request).await,
                None => self.send_on_any(address, request).await,
            }
        };
        let result = match tokio::time::timeout_at(limits.deadline, send).await {
            Ok(Ok((response, sender))) => {
                receive(response, limits).await.map(|response| (response, sender))
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

    async fn send_on_any(
        &self,
        address: SocketAddr,
        request: &Request<'_>,
    ) -> Result<Answered, CallError> {
        while let Some(sender) = self.take_idle(address, None) {
            match send_on(address, sender, request).await {
                // The server closed the idle connection before the request was written.
                Err(CallError::NotSent) => {}
                other => return other,
            }
        }
        let sender = connect(address).await?;
        send_on(address, sender, request).await
    }

    /// Takes the connection that was used last, of those to an instance if one is named.
    fn take_idle(
        &self,
        address: SocketAddr,
        instance: Option<u64>,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let pool = idle.get_mut(&address)?;
        pool.retain_fresh();
        let fits =
            |connection: &IdleConnection| instance.is_none_or(|id| connection.instance == Some(id));
        let last = pool.connections.iter().rposition(fits)?;
        Some(pool.connections.remove(last).sender)
    }

    /// Closes the idle connections to an address that do not lead to the instance that answers there now.
    fn close_other_instances(&self, address: SocketAddr, instance: u64) {
        if let Some(pool) = self.idle.borrow_mut().get_mut(&address) {
            pool.connections.retain(|connection| connection.instance == Some(instance));
        }
    }

    fn put_idle(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        instance: Option<u64>,
    ) {
        let mut idle = self.idle.borrow_mut();
        let pool = idle.entry(address).or_default();
        if pool.connections.len() < self.max_idle_connections {
            pool.connections.push(IdleConnection { sender, instance, idle_since: Instant::now() });
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

/// Receives the body of a response. Its connection can be used again afterwards.
async fn receive(
    response: hyper::Response<Incoming>,
    limits: &BodyLimits,
) -> Result<Response, Interrupted> {
    let (head, body) = response.into_parts();
    let body = collect_body(body, limits).await?;
    Ok(Response { status: head.status.as_u16(), headers: head.headers, body })
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
