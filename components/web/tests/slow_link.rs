//! Calls to servers whose responses arrive slowly, or stop arriving.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use libs::tokio;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use types::Millis;
use web::{CallError, Client, Method, Request, Response};

/// Timeout of the calls under test.
const TIMEOUT_MS: Millis = Millis(300);
/// Pause before each part of a body, well below the timeout.
const PAUSE_MS: Millis = Millis(50);
/// Parts of a body that takes more than three times the timeout.
const PARTS: usize = 20;
const PART_BYTES: usize = 4_096;
const BODY_BYTES: usize = PARTS * PART_BYTES;
/// Upper bound for a failed call: ten times the timeout.
const GIVE_UP_MS: Millis = Millis(3_000);
/// A call that takes this long is taken to hang.
const HANGS_MS: Millis = Millis(20_000);
/// Longer than any test.
const SILENCE_MS: Millis = Millis(60_000);

/// What the server sends in response to a request, before it falls silent.
enum Script {
    Nothing,
    Head,
    HeadAndParts(usize),
    /// A part of one byte each [`PAUSE_MS`].
    Trickle,
}

/// Guards against large responses that never arrive over a slow link, however often they are
/// requested: the link delivers them, but not within the timeout.
#[test]
fn large_response_on_a_slow_link_is_received() {
    let (result, _took) = call(Script::HeadAndParts(PARTS));
    let response = result.expect("a response that keeps arriving");
    assert_eq!(response.status, 200);
    assert_eq!(response.body.len(), BODY_BYTES);
}

/// Guards against calls that wait for the rest of a response from a failed server.
#[test]
fn response_that_stalls_is_given_up() {
    let (result, took) = call(Script::HeadAndParts(PARTS / 2));
    assert_eq!(result.err(), Some(CallError::Unanswered));
    assert!(took < GIVE_UP_MS.to_duration(), "gave up after {took:?}");
}

/// Guards against calls that last for minutes because a byte arrives now and then.
#[test]
fn response_that_trickles_is_given_up() {
    let (result, took) = call(Script::Trickle);
    assert_eq!(result.err(), Some(CallError::Unanswered));
    assert!(took < GIVE_UP_MS.to_duration(), "gave up after {took:?}");
}

/// Guards against calls that wait for a body of which nothing arrives.
#[test]
fn response_without_its_body_is_given_up() {
    let (result, took) = call(Script::Head);
    assert_eq!(result.err(), Some(CallError::Unanswered));
    assert!(took < GIVE_UP_MS.to_duration(), "gave up after {took:?}");
}

/// Guards against calls that wait for a server that accepts connections but never answers.
#[test]
fn missing_response_is_given_up_after_the_timeout() {
    let (result, took) = call(Script::Nothing);
    assert_eq!(result.err(), Some(CallError::Unanswered));
    assert!(took >= TIMEOUT_MS.to_duration(), "gave up after {took:?}");
    assert!(took < GIVE_UP_MS.to_duration(), "gave up after {took:?}");
}

/// Calls a server that follows the script. Returns the result and the duration of the call.
fn call(script: Script) -> (Result<Response, CallError>, Duration) {
    run(async {
        let address = start_server(script).await;
        let request = Request {
            method: Method::GET,
            path: "/",
            headers: &[],
            body: bytes::Bytes::new(),
            timeout_ms: TIMEOUT_MS,
        };
        let client = Client::default();
        let began = Instant::now();
        let call = tokio::time::timeout(HANGS_MS.to_duration(), client.call(address, request));
        (call.await.expect("the call hangs"), began.elapsed())
    })
}

async fn start_server(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let (stream, _peer) = listener.accept().await.expect("a connection");
        follow_script(stream, script).await.ok();
    });
    address
}

async fn follow_script(mut stream: TcpStream, script: Script) -> std::io::Result<()> {
    read_request(&mut stream).await?;
    match script {
        Script::Nothing => {}
        Script::Head => send_response(&mut stream, 0, PART_BYTES).await?,
        Script::HeadAndParts(parts) => send_response(&mut stream, parts, PART_BYTES).await?,
        Script::Trickle => send_response(&mut stream, BODY_BYTES, 1).await?,
    }
    tokio::time::sleep(SILENCE_MS.to_duration()).await;
    Ok(())
}

async fn read_request(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

async fn send_response(
    stream: &mut TcpStream,
    parts: usize,
    part_bytes: usize,
) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..parts {
        tokio::time::sleep(PAUSE_MS.to_duration()).await;
        stream.write_all(&vec![b'x'; part_bytes]).await?;
    }
    Ok(())
}

/// Runs a test on one thread.
fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}
