//! A client that keeps idle connections for each address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Method};
use hyper_util::rt::TokioIo;
use libs::tokio;
use tokio::net::TcpStream;
use types::Millis;

/// Time to open a connection. A packet takes some milliseconds; a lost opening packet takes a second.
const CONNECT_TIMEOUT_MS: Millis = Millis(700);
/// Idle connections older than this are closed: servers close theirs after 15 s.
const MAX_IDLE_MS: Millis = Millis(8_000);
/// Idle connections kept for each address.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent: the call did surely not take effect.
    NotSent,
    /// The call may have taken effect, or may still do so.
    Unanswered,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "no connection",
            Self::Unanswered => "no answer",
        })
    }
}

/// A call to make.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers beside those that the client sets.
    pub headers: &'a [(&'static str, String)],
    /// Body, may be empty.
    pub body: Bytes,
    /// Longest wait for the whole answer.
    pub timeout_ms: Millis,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Handle to the connections. Clones share them.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Client {
    /// Makes a call on a kept or a new connection.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<'_>,
    ) -> Result<Response, CallError> {
        let timeout = request.timeout_ms.to_duration();
        match tokio::time::timeout(timeout, self.send(address, &request)).await {
            Ok(result) => result,
            Err(_elapsed) => {
                // Other idle connections to this address may be silent too.
                self.idle.borrow_mut().remove(&address);
                Err(CallError::Unanswered)
            }
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: &Request<'_>,
    ) -> Result<Response, CallError> {
        while let Some(sender) = self.take_idle(address) {
            match self.send_on(address, sender, request).await {
                // The server closed the kept connection before the request was written.
                Err(CallError::NotSent) => {}
                other => return other,
            }
        }
        let sender = connect(address).await?;
        self.send_on(address, sender, request).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|one| {
            !one.sender.is_closed() && one.since.elapsed() < MAX_IDLE_MS.to_duration()
        });
        kept.pop().map(|one| one.sender)
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: SendRequest<Full<Bytes>>,
        request: &Request<'_>,
    ) -> Result<Response, CallError> {
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
        let message =
            builder.body(Full::new(request.body.clone())).map_err(|_| CallError::NotSent)?;
        let answer = sender.send_request(message).await.map_err(|error| {
            if error.is_canceled() { CallError::NotSent } else { CallError::Unanswered }
        })?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(|_| CallError::Unanswered)?.to_bytes();
        self.keep(address, sender);
        Ok(Response { status: head.status.as_u16(), headers: head.headers, body })
    }

    fn keep(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE_CONNECTIONS {
            kept.push(Idle { sender, since: Instant::now() });
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
    // A failed connection shows in the call that uses it.
    tokio::task::spawn_local(async move { connection.await.ok() });
    Ok(sender)
}
