//! HTTP server that passes complete requests to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method};
use hyper_util::rt::{TokioIo, TokioTimer};
use libs::tokio;
use libs::tokio_util::sync::CancellationToken;
use tokio::net::{TcpListener, TcpStream};
use types::Millis;

/// Maximum size of a request body. Callers' settings allow 262,144 bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Timeout for the head of the next request on an open connection.
const HEADER_TIMEOUT_MS: Millis = Millis(15_000);

/// A complete request.
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
    /// Body.
    pub body: Bytes,
}

/// Accepts connections until the token is cancelled. Requests in progress are then completed before
/// their connections are closed.
pub async fn serve<H, F>(listener: TcpListener, handler: H, stop: CancellationToken)
where
    H: Fn(ServerRequest) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_connection(stream, handler.clone(), stop.clone()));
            }
            Err(error) => {
                libs::log::warn!("cannot accept connection: {error}");
                tokio::time::sleep(Millis(20).to_duration()).await;
            }
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Rc<H>, stop: CancellationToken)
where
    H: Fn(ServerRequest) -> F + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(move |request| handle_request(request, handler.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT_MS.to_duration())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        libs::log::debug!("connection closed with error: {error}");
    }
}

async fn handle_request<H, F>(
    request: hyper::Request<Incoming>,
    handler: Rc<H>,
) -> Result<hyper::Response<Full<Bytes>>, Infallible>
where
    H: Fn(ServerRequest) -> F,
    F: Future<Output = ServerResponse>,
{
    let (head, body) = request.into_parts();
    let reply = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            handler(ServerRequest {
                method: head.method,
                path: head.uri.path().to_owned(),
                query: head.uri.query().unwrap_or_default().to_owned(),
                headers: head.headers,
                body: body.to_bytes(),
            })
            .await
        }
        Err(_) => ServerResponse { status: 400, ..ServerResponse::default() },
    };
    let mut response = hyper::Response::builder().status(reply.status);
    if !reply.body.is_empty() {
        response = response.header(hyper::header::CONTENT_TYPE, "application/json");
    }
    if let Some(seconds) = reply.retry_after_s {
        response = response.header(hyper::header::RETRY_AFTER, seconds);
    }
    let body = Full::new(reply.body.clone());
    Ok(response.body(body).unwrap_or_else(|_| hyper::Response::new(Full::new(Bytes::new()))))
}
