//! A slow link between processes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use libs::tokio;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, Instant};
use types::Millis;

/// 10 Mbit/s.
const BYTES_PER_S: u64 = 1_250_000;
const PART_BYTES: usize = 12_500;
/// Parts larger than this belong to an answer with rules; other answers are smaller.
const MAX_SMALL_BYTES: usize = 2_000;
/// Longer than any test.
const STALL_MS: Millis = Millis(60_000);

/// The receiving side of a process's link, which all answers to its requests share.
pub struct Link {
    rules_bytes: usize,
    free_from: Cell<Instant>,
    transfers: Cell<usize>,
    in_progress: Cell<usize>,
    most_in_progress: Cell<usize>,
}

/// Whether large answers from a server arrive.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    Complete,
    /// They stop arriving after the first part.
    Stalls,
}

/// A transfer of rules in progress.
struct Transfer {
    link: Rc<Link>,
    remaining_bytes: usize,
}

impl Link {
    /// Creates a link on which rules have this size.
    pub fn new(rules_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            rules_bytes,
            free_from: Cell::new(Instant::now()),
            transfers: Cell::default(),
            in_progress: Cell::default(),
            most_in_progress: Cell::default(),
        })
    }

    /// Number of transfers of rules so far.
    pub fn transfers(&self) -> usize {
        self.transfers.get()
    }

    /// Largest number of transfers of rules at one time.
    pub fn most_in_progress(&self) -> usize {
        self.most_in_progress.get()
    }

    /// Passes connections on to the server. Its answers arrive over the link.
    pub fn connect(self: Rc<Self>, listener: TcpListener, server: SocketAddr, delivery: Delivery) {
        tokio::task::spawn_local(async move {
            while let Ok((client, _peer)) = listener.accept().await {
                let connection = self.clone().pass_on(client, server, delivery);
                tokio::task::spawn_local(async move { connection.await.ok() });
            }
        });
    }

    async fn pass_on(
        self: Rc<Self>,
        client: TcpStream,
        server: SocketAddr,
        delivery: Delivery,
    ) -> std::io::Result<()> {
        let server = TcpStream::connect(server).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (mut requests, answers_to) = client.into_split();
        let (answers_from, mut requests_to) = server.into_split();
        // Either side may close the connection.
        tokio::select! {
            result = tokio::io::copy(&mut requests, &mut requests_to) => result.map(|_bytes| ()),
            result = self.pass_answers(answers_from, answers_to, delivery) => result,
        }
    }

    async fn pass_answers(
        self: Rc<Self>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        delivery: Delivery,
    ) -> std::io::Result<()> {
        let mut part = vec![0; PART_BYTES];
        let mut transfer: Option<Transfer> = None;
        loop {
            let bytes = from.read(&mut part).await?;
            if bytes == 0 {
                return Ok(());
            }
            if transfer.is_some() && delivery == Delivery::Stalls {
                tokio::time::sleep(STALL_MS.to_duration()).await;
            }
            if transfer.is_none() && bytes > MAX_SMALL_BYTES {
                transfer = Some(Transfer::begin(self.clone()));
            }
            self.occupy(bytes).await;
            to.write_all(&part[..bytes]).await?;
            transfer = transfer.and_then(|transfer| transfer.advance(bytes));
        }
    }

    /// Waits until the link has carried this many bytes.
    async fn occupy(&self, bytes: usize) {
        let from = self.free_from.get().max(Instant::now());
        let until = from + Duration::from_micros(bytes as u64 * 1_000_000 / BYTES_PER_S);
        self.free_from.set(until);
        tokio::time::sleep_until(until).await;
    }
}

impl Transfer {
    fn begin(link: Rc<Link>) -> Self {
        link.transfers.set(link.transfers.get() + 1);
        link.in_progress.set(link.in_progress.get() + 1);
        link.most_in_progress.set(link.most_in_progress.get().max(link.in_progress.get()));
        Self { remaining_bytes: link.rules_bytes, link }
    }

    /// Returns `None` at the end of the transfer.
    fn advance(mut self, bytes: usize) -> Option<Self> {
        self.remaining_bytes = self.remaining_bytes.saturating_sub(bytes);
        (self.remaining_bytes > 0).then_some(self)
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.link.in_progress.set(self.link.in_progress.get() - 1);
    }
}
