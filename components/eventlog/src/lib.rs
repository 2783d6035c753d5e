//! Structured log lines on standard output, one JSON object a line.
//!
//! Lines go through a bounded ring to a thread of their own. A full ring drops
//! lines and counts them, so that logging never blocks a decision.

use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use libs::crossbeam_channel::{Receiver, Sender, bounded};
use libs::serde_json::{Map, Value};
use types::Millis;

/// Lines that may wait for the writer: some seconds of decisions at the peak.
const RING_LINES: usize = 8_192;
/// Pause between two rounds of writes, so that lines leave in few system calls.
const FLUSH_PERIOD_MS: Millis = Millis(100);
/// Bytes of one write: `PIPE_BUF` of Linux. Longer writes to a pipe may be split or cut short.
const CHUNK_BYTES: usize = 4_096;

static RING: OnceLock<Sender<String>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts the writer. Lines written before are lost.
pub fn start() {
    let (sender, receiver) = bounded(RING_LINES);
    if RING.set(sender).is_ok() {
        let writer = thread::Builder::new().name("eventlog".to_owned());
        if let Err(error) = writer.spawn(move || write_lines(&receiver)) {
            libs::log::warn!("event log is off: {error}");
        }
    }
}

/// Lines dropped since the start because the ring was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Queues a line: its kind, then the fields.
pub fn write(kind: &str, fields: &[(&str, Value)]) {
    let Some(ring) = RING.get() else { return };
    if ring.try_send(line(kind, fields)).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn line(kind: &str, fields: &[(&str, Value)]) -> String {
    let mut line = Map::new();
    line.insert("t_unix_ms".to_owned(), unix_ms().into());
    line.insert("event".to_owned(), kind.into());
    for (name, value) in fields {
        line.insert((*name).to_owned(), value.clone());
    }
    Value::Object(line).to_string()
}

/// Waits until the lines written so far are out. For the end of a process.
pub fn flush() {
    let Some(ring) = RING.get() else { return };
    while !ring.is_empty() {
        thread::sleep(Millis(5).to_duration());
    }
    thread::sleep(FLUSH_PERIOD_MS.to_duration());
}

/// Milliseconds since 1970 by the time of day.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn write_lines(ring: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(first) = ring.recv() {
        let mut lines: Vec<String> = std::iter::once(first).chain(ring.try_iter()).collect();
        let dropped = dropped();
        if dropped > reported {
            lines.push(line("log.dropped", &[("lines", (dropped - reported).into())]));
            reported = dropped;
        }
        for chunk in chunks(&lines) {
            // Standard output is the only place to report to; a failure is counted.
            if std::io::stdout().lock().write_all(chunk.as_bytes()).is_err() {
                DROPPED.fetch_add(chunk.lines().count() as u64, Ordering::Relaxed);
            }
        }
        thread::sleep(FLUSH_PERIOD_MS.to_duration());
    }
}

/// Joins whole lines to texts of at most [`CHUNK_BYTES`], but for lines that are longer.
pub fn chunks(lines: &[String]) -> Vec<String> {
    let mut chunks: Vec<String> = Vec::new();
    for line in lines {
        match chunks.last_mut() {
            Some(chunk) if chunk.len() + line.len() < CHUNK_BYTES => chunk.push_str(line),
            _ => chunks.push(line.clone()),
        }
        if let Some(chunk) = chunks.last_mut() {
            chunk.push('\n');
        }
    }
    chunks
}

/// Writes a structured line: `event!("job.accepted", "job" => id, "queue" => queue)`.
///
/// Values are anything that `serde_json::Value` is made from; ids go as text.
#[macro_export]
macro_rules! event {
    ($kind:expr $(, $name:literal => $value:expr)* $(,)?) => {
        $crate::write($kind, &[$(($name, libs::serde_json::Value::from($value))),*])
    };
}
