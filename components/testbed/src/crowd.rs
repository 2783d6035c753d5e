//! Clients that send a part of a request and keep their connections open.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Clients stop sending once none of them could send anything for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two attempts to send.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Most bytes that a client sends before it is the next one's turn.
const PART_BYTES: usize = 65_536;

/// A client of the crowd, and how much it has sent.
struct Client {
    stream: TcpStream,
    sent_bytes: usize,
    is_closed: bool,
}

impl Client {
    /// Sends what the server takes at the moment. Returns the number of bytes.
    fn send(&mut self, message: &[u8]) -> usize {
        let end = message.len().min(self.sent_bytes + PART_BYTES);
        match self.stream.write(&message[self.sent_bytes..end]) {
            Ok(bytes) => {
                self.sent_bytes += bytes;
                bytes
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => 0,
            Err(_reset) => {
                self.is_closed = true;
                0
            }
        }
    }
}

/// Connections of clients that have sent all of a message, or as much as the server took. They are
/// closed when the crowd is dropped.
pub struct Crowd {
    clients: Vec<Client>,
}

impl Crowd {
    /// Opens connections that all send the same message at the same time. Returns once they have sent
    /// it, were closed by the server, or could not send for some time.
    pub fn send(address: SocketAddr, clients: usize, message: &[u8]) -> Self {
        let connect = |_| {
            let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(Client { stream, sent_bytes: 0, is_closed: false })
        };
        let mut crowd = Self { clients: (0..clients).filter_map(connect).collect() };
        let mut progress_at = Instant::now();
        while progress_at.elapsed() < STALL_TIMEOUT && !crowd.has_sent(message) {
            let sent_bytes: usize = crowd
                .clients
                .iter_mut()
                .filter(|client| !client.is_closed && client.sent_bytes < message.len())
                .map(|client| client.send(message))
                .sum();
            if sent_bytes > 0 {
                progress_at = Instant::now();
            } else {
                thread::sleep(POLL_INTERVAL);
            }
        }
        crowd
    }

    fn has_sent(&self, message: &[u8]) -> bool {
        let has_sent = |client: &Client| client.is_closed || client.sent_bytes == message.len();
        self.clients.iter().all(has_sent)
    }
}

/// Messages of clients that don't behave.
pub mod messages {
    fn post(path: &str, headers: &str) -> Vec<u8> {
        format!("POST {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n{headers}\r\n").into_bytes()
    }

    /// A body of the given length whose last two bytes are missing. `headers` end in a line break.
    pub fn whole_body(path: &str, headers: &str, bytes: usize) -> Vec<u8> {
        let mut message = post(path, &format!("{headers}Content-Length: {bytes}\r\n"));
        message.resize(message.len() + bytes - 2, b' ');
        message
    }

    /// A body in chunks of equal size without the last chunk. `headers` end in a line break.
    pub fn chunked_body(path: &str, headers: &str, chunks: usize, chunk_bytes: usize) -> Vec<u8> {
        let mut message = post(path, &format!("{headers}Transfer-Encoding: chunked\r\n"));
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", " ".repeat(chunk_bytes));
        message.extend_from_slice(chunk.repeat(chunks).as_bytes());
        message
    }

    /// A head of so many header lines that goes on.
    pub fn header_lines(path: &str, lines: usize, line_bytes: usize) -> Vec<u8> {
        let mut message = format!("GET {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n").into_bytes();
        for line in 0..lines {
            let text = format!("x-{line}: {}\r\n", "a".repeat(line_bytes));
            message.extend_from_slice(text.as_bytes());
        }
        message
    }

    /// A head whose last line goes on.
    pub fn header_line(path: &str, bytes: usize) -> Vec<u8> {
        let mut message = format!("GET {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nx: ").into_bytes();
        message.resize(message.len() + bytes, b'a');
        message
    }

    /// Empty lines that go on.
    pub fn empty_lines(bytes: usize) -> Vec<u8> {
        b"\r\n".repeat(bytes / 2)
    }
}

/// Largest resident memory that a process had so far; `None` if it cannot be read.
pub fn peak_memory_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak_kib: u64 = peak.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(peak_kib * 1_024)
}

/// Number of open descriptors of a process; `None` if they cannot be read.
pub fn open_descriptors(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}

/// Bytes that have been received on an IPv4 address and not been read.
pub fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else { return 0 };
    let ip = u32::from_le_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread_bytes = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()? == local;
        // The listening socket shows its backlog there.
        let is_connection = fields.nth(1)? != "0A";
        let (_sending, receiving) = fields.next()?.split_once(':')?;
        (is_local && is_connection).then(|| u64::from_str_radix(receiving, 16).ok())?
    };
    sockets.lines().filter_map(unread_bytes).sum()
}
