//! HTTP server that passes complete requests to a handler, within limits on what its clients may take.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use clock::CancellationToken;
use connections::{Room, ServerLimits};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method};
use hyper_util::rt::{TokioIo, TokioTimer};
use libs::tokio;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use types::Millis;

use crate::body;
use crate::connection::{Connection, Connections, ServerStream};

/// Delay before connections are accepted again, after an error or while none is free.
const ACCEPT_RETRY_MS: Millis = Millis(20);
/// `Retry-After` of requests that are refused for want of memory: whoever stalls has given way by then.
const RETRY_AFTER_S: u64 = 1;

/// Bytes that the kernel takes on a connection while nobody reads them, such as those behind a request in
/// progress. They count as memory of the process.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Connections that wait to be accepted.
const BACKLOG_CONNECTIONS: u32 = 1_024;

/// A request. Its body is empty until it is complete.
#[derive(Debug)]
pub struct ServerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query string without the question mark; may be empty.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ServerRequest {
    /// The value of a header, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A response.
#[derive(Debug, Clone, Default)]
pub struct ServerResponse {
    /// HTTP status.
    pub status: u16,
    /// Seconds after which the caller may retry, sent as `Retry-After`.
    pub retry_after_s: Option<u64>,
    /// Media type of the body; JSON if not set.
    pub content_type: Option<String>,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl ServerResponse {
    /// Sets the status.
    pub fn with_status(self, status: u16) -> Self {
        Self { status, ..self }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Why a server turns a request or a connection away. Nothing of the request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The head is larger than the limit. The client gets a 431.
    HeadTooLarge,
    /// The head was not complete in time.
    HeadTimeout,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body stalled.
    BodyTimeout,
    /// The body ended early or is malformed.
    BodyIncomplete,
    /// The bodies of other requests take all memory that there is for them.
    OutOfMemory,
    /// The request had stalled and gave way to others.
    Evicted,
    /// The connection was idle or incomplete and gave way to another one.
    ConnectionEvicted,
}

impl Rejection {
    /// Status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::HeadTooLarge => 431,
            Self::HeadTimeout | Self::BodyTimeout => 408,
            Self::BodyTooLarge => 413,
            Self::BodyIncomplete => 400,
            Self::OutOfMemory | Self::Evicted | Self::ConnectionEvicted => 503,
        }
    }

    /// Seconds after which the request may be sent again, if that can help.
    pub fn retry_after_s(self) -> Option<u64> {
        (self.status() == 503).then_some(RETRY_AFTER_S)
    }

    /// Response without a body.
    pub fn response(self) -> ServerResponse {
        ServerResponse {
            status: self.status(),
            retry_after_s: self.retry_after_s(),
            ..ServerResponse::default()
        }
    }

    /// Name of the counter of such rejections.
    pub fn counter(self) -> &'static str {
        match self {
            Self::HeadTooLarge => "rejected_head_too_large",
            Self::HeadTimeout => "rejected_head_timeout",
            Self::BodyTooLarge => "rejected_body_too_large",
            Self::BodyTimeout => "rejected_body_timeout",
            Self::BodyIncomplete => "rejected_body_incomplete",
            Self::OutOfMemory => "rejected_out_of_memory",
            Self::Evicted => "rejected_evicted",
            Self::ConnectionEvicted => "rejected_connection_evicted",
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::HeadTooLarge => "the head is too large",
            Self::HeadTimeout => "the head was not complete in time",
            Self::BodyTooLarge => "the body is too large",
            Self::BodyTimeout => "the body stalled",
            Self::BodyIncomplete => "the body could not be read to its end",
            Self::OutOfMemory => "there is no memory for the body",
            Self::Evicted => "the body stalled while memory or connections were short",
            Self::ConnectionEvicted => "the connection was idle while connections were short",
        })
    }
}

/// Counts a request, with its connection and its body, against the limits of the server until it is
/// dropped.
pub struct RequestPermit(
    /// Kept for its drop only.
    #[allow(dead_code, reason = "its drop ends the count")]
    Rc<Connection>,
);

/// What a server does with requests. A function from a request to its response is a handler, too.
pub trait Handler: 'static {
    /// Checks the head of a request that has a body. `Err` is its response; the body is not read then.
    fn check_head(&self, _head: &ServerRequest) -> Result<(), ServerResponse> {
        Ok(())
    }

    /// Handles a complete request. The permit is to be kept until the body is dropped, which may be later
    /// than the future: that of a client that disconnects is dropped at once.
    fn handle(
        &self,
        request: ServerRequest,
        permit: RequestPermit,
    ) -> impl Future<Output = ServerResponse> + 'static;

    /// Notes a rejection. Returns its response, which is not sent if the head was incomplete.
    fn reject(&self, rejection: Rejection) -> ServerResponse {
        rejection.response()
    }
}

impl<H, F> Handler for H
where
    H: Fn(ServerRequest) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    fn handle(
        &self,
        request: ServerRequest,
        permit: RequestPermit,
    ) -> impl Future<Output = ServerResponse> + 'static {
        let response = self(request);
        async move {
            let _permit = permit;
            response.await
        }
    }
}

/// Listens on an address. The kernel takes little that the server does not read.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Connections inherit it when they are accepted.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

/// Accepts connections until the token is cancelled, however many. Requests in progress are then completed
/// before their connections are closed.
pub async fn serve(listener: TcpListener, handler: impl Handler, stop: CancellationToken) {
    serve_within(listener, handler, ServerLimits::unshared(), stop).await;
}

/// Accepts connections until the token is cancelled, within limits. Requests in progress are then
/// completed before their connections are closed.
pub async fn serve_within(
    listener: TcpListener,
    handler: impl Handler,
    limits: ServerLimits,
    stop: CancellationToken,
) {
    let handler = Rc::new(handler);
    let connections = Connections::new(limits);
    loop {
        // One connection is kept free, so that the next client is accepted at once.
        match connections.make_room() {
            Room::Free => {}
            Room::Freed(_) => {
                handler.reject(Rejection::ConnectionEvicted);
            }
            // Clients wait in the backlog.
            Room::Full => tokio::select! {
                () = tokio::time::sleep(ACCEPT_RETRY_MS.to_duration()) => continue,
                () = stop.cancelled() => return,
            },
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _peer)) => {
                let connection = connections.open();
                let served = serve_connection(stream, handler.clone(), connection, stop.clone());
                tokio::task::spawn_local(served);
            }
            Err(error) => {
                libs::log::warn!("cannot accept connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_MS.to_duration()).await;
            }
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    connection: Rc<Connection>,
    stop: CancellationToken,
) {
    stream.set_nodelay(true).ok();
    let limits = connection.limits();
    let stream = ServerStream::new(stream, connection.clone());
    let service_handler = handler.clone();
    let service_connection = connection.clone();
    // Boxed, since the future of a request is reserved for each connection, also for an idle one.
    let service = service_fn(move |request| -> Pin<Box<dyn Future<Output = _>>> {
        Box::pin(handle_request(request, service_handler.clone(), service_connection.clone()))
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout_ms.to_duration())
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = connection.closed.cancelled() => return,
        () = stop.cancelled() => {
            served.as_mut().graceful_shutdown();
            tokio::select! {
                result = served => result,
                () = connection.closed.cancelled() => return,
            }
        }
    };
    let Err(error) = result else { return };
    libs::log::debug!("connection closed with error: {error}");
    if error.is_parse_too_large() {
        handler.reject(Rejection::HeadTooLarge);
    } else if error.is_timeout() && connection.is_incomplete() {
        handler.reject(Rejection::HeadTimeout);
    }
}

async fn handle_request<H: Handler>(
    request: hyper::Request<Incoming>,
    handler: Rc<H>,
    connection: Rc<Connection>,
) -> Result<hyper::Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let mut request = ServerRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: Bytes::new(),
    };
    let received = receive_body(&mut request, body, &*handler, &connection).await;
    if let Err(refusal) = received {
        connection.refuse();
        return Ok(http_response(refusal, true));
    }
    connection.start_handler();
    let response = handler.handle(request, RequestPermit(connection.clone())).await;
    connection.end_handler();
    Ok(http_response(response, false))
}

/// Receives the body of a request whose head the handler accepts. `Err` is the response to a request
/// that is refused.
async fn receive_body<H: Handler>(
    request: &mut ServerRequest,
    body: Incoming,
    handler: &H,
    connection: &Connection,
) -> Result<(), ServerResponse> {
    if body.is_end_stream() {
        return Ok(());
    }
    handler.check_head(request)?;
    let max_bytes = connection.limits().max_body_bytes;
    let received = body::receive(body, connection, max_bytes).await;
    request.body = received.map_err(|rejection| handler.reject(rejection))?;
    Ok(())
}

/// Encodes a response. The connection is closed after a refusal, since the rest of the body follows.
fn http_response(reply: ServerResponse, is_refusal: bool) -> hyper::Response<Full<Bytes>> {
    let mut response = hyper::Response::builder().status(reply.status);
    if !reply.body.is_empty() {
        let content_type = reply.content_type.as_deref().unwrap_or("application/json");
        response = response.header(CONTENT_TYPE, content_type);
    }
    if let Some(seconds) = reply.retry_after_s {
        response = response.header(RETRY_AFTER, seconds);
    }
    if is_refusal {
        response = response.header(CONNECTION, "close");
    }
    for (name, value) in reply.headers {
        response = response.header(name, value);
    }
    let response = response.body(Full::new(reply.body));
    response.unwrap_or_else(|_| hyper::Response::new(Full::new(Bytes::new())))
}
