//! HTTP/1.1 over TCP: a server with a thread a connection, and a client that opens one a call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// A value of the query, with percent signs decoded.
    pub fn param(&self, name: &str) -> String {
        for pair in self.query.split('&') {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            if key == name {
                return decode_percent(value);
            }
        }
        String::new()
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// The connection is closed without an answer.
    Close,
    /// There is no answer, and the connection stays open until the caller closes it.
    Silence,
}

type Handler = dyn Fn(Request) -> Reply + Send + Sync;

/// A server that can lose power, and start again at the same address.
pub struct Server {
    pub address: SocketAddr,
    handler: Arc<Handler>,
    run: Mutex<Option<Arc<Run>>>,
}

/// One life of a server.
struct Run {
    up: AtomicBool,
    /// Its machine has no power: nothing is answered, and no connection is closed.
    dark: AtomicBool,
}

/// A free loopback address. Each play has an address of its own in 127.0.0.0/8, and ports below those that
/// the system gives to outgoing connections, so that a server that stops finds its port free later.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [.., third, fourth] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 77, third, fourth.clamp(1, 254));
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        assert!(port < 30_000, "no port is free");
        if let Ok(listener) = TcpListener::bind((ip, port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl Server {
    pub fn new(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> Arc<Server> {
        let server = Arc::new(Server {
            address: free_address(),
            handler: Arc::new(handler),
            run: Mutex::new(None),
        });
        server.start();
        server
    }

    pub fn start(&self) {
        // The thread of the former life may hold the address for a moment.
        let listener = (0..200)
            .find_map(|_| {
                let bound = TcpListener::bind(self.address).ok();
                if bound.is_none() {
                    std::thread::sleep(Duration::from_millis(5));
                }
                bound
            })
            .expect("the address is free");
        listener.set_nonblocking(true).expect("non-blocking");
        let run = Arc::new(Run { up: AtomicBool::new(true), dark: AtomicBool::new(false) });
        *self.run.lock().unwrap() = Some(run.clone());
        let handler = self.handler.clone();
        std::thread::spawn(move || {
            while run.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        let (handler, run) = (handler.clone(), run.clone());
                        std::thread::spawn(move || serve(stream, &*handler, &run));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Stops listening at once, and leaves the connections of a dark server open: callers hear nothing.
    pub fn abandon(&self) {
        if let Some(run) = self.run.lock().unwrap().take() {
            run.up.store(false, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Answers nothing more, and leaves all connections open.
    pub fn go_dark(&self) {
        if let Some(run) = &*self.run.lock().unwrap() {
            run.dark.store(true, Ordering::SeqCst);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, run: &Run) {
    stream.set_nodelay(true).ok();
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        let is_dark = || run.dark.load(Ordering::SeqCst);
        let reply = if is_dark() { Reply::Silence } else { handler(request) };
        let reply = if is_dark() { Reply::Silence } else { reply };
        match reply {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    break;
                }
            }
            Reply::Close => break,
            Reply::Silence => {
                let mut rest = [0; 64];
                while reader.read(&mut rest).is_ok_and(|read| read > 0) {}
                break;
            }
        }
    }
    writer.shutdown(Shutdown::Both).ok();
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request { method, path: path.to_owned(), query: query.to_owned(), headers, body })
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        if key.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8(body).ok()?))
}

/// Calls a server. None without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    if !body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, body))
}
