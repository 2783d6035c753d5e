//! Connections that a client leaves open while it does not use them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use libs::tokio;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use types::Millis;
use web::{Client, Method, Request};

const TIMEOUT_MS: Millis = Millis(5_000);
/// Time until a server has noticed that a connection was closed.
const NOTICE_MS: Millis = Millis(300);
/// Longer than idle connections are kept.
const IDLE_MS: Millis = Millis(17_000);
const BURST: usize = 12;

/// Guards against workers that take no more orders: each leader that lost power left eight connections to
/// each of them open for good.
#[test]
fn a_burst_leaves_few_connections_open() {
    run(async {
        let (address, open) = start_server().await;
        let client = Client::with_max_idle(2);
        burst(&client, address).await;
        sleep(NOTICE_MS).await;
        assert!(open.get() <= 2, "{} connections are open", open.get());
        burst(&client, address).await;
        sleep(NOTICE_MS).await;
        assert!(open.get() <= 2, "{} connections are open after a second burst", open.get());
    });
}

/// Guards against connections that stay open for good, since they were closed only at the next call.
#[test]
fn connections_that_are_not_used_again_are_closed() {
    run(async {
        let (address, open) = start_server().await;
        let client = Client::default();
        burst(&client, address).await;
        sleep(NOTICE_MS).await;
        assert!(open.get() > 0, "no connection is kept");
        sleep(IDLE_MS).await;
        assert_eq!(open.get(), 0, "idle connections are open");
        burst(&client, address).await;
    });
}

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn sleep(ms: Millis) {
    tokio::time::sleep(ms.to_duration()).await;
}

/// Makes calls at the same time.
async fn burst(client: &Client, address: SocketAddr) {
    let calls: Vec<_> = (0..BURST)
        .map(|_| {
            let client = client.clone();
            tokio::task::spawn_local(async move {
                let request = Request {
                    method: Method::GET,
                    path: "/",
                    headers: &[],
                    body: Default::default(),
                    timeout_ms: TIMEOUT_MS,
                };
                client.call(address, request).await.expect("a response").status
            })
        })
        .collect();
    for call in calls {
        assert_eq!(call.await.expect("no panic"), 200);
    }
}

/// Starts a server that counts its open connections.
async fn start_server() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let open = Rc::new(Cell::new(0));
    let shared = open.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            let open = shared.clone();
            open.set(open.get() + 1);
            tokio::task::spawn_local(async move {
                answer(stream).await.ok();
                open.set(open.get() - 1);
            });
        }
    });
    (address, open)
}

/// Answers each request of a connection after a moment, so that calls at the same time need several.
async fn answer(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    loop {
        while !request.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut request).await? == 0 {
                return Ok(());
            }
        }
        request.clear();
        sleep(Millis(20)).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
    }
}
