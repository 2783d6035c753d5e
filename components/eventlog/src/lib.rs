//! Structured log on standard output, one JSON object per line.
//!
//! Lines pass through a queue to a writer thread, which is bounded in lines and in bytes. When it is full,
//! lines are dropped and counted, so that logging never blocks the caller.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use libs::crossbeam_channel::{Receiver, Sender, bounded};
use libs::serde_json::Value;
use types::Millis;

/// Capacity of the queue, enough for several seconds of decisions at peak load.
const QUEUE_CAPACITY_LINES: usize = 8_192;
/// Most bytes of lines in the queue and in the writer: 8,192 usual lines.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Most bytes of a text in a field. What callers send, such as a path, may be longer than it is useful.
pub const MAX_TEXT_BYTES: usize = 1_024;
/// Initial capacity of a line; most are shorter.
const LINE_CAPACITY_BYTES: usize = 256;
/// Interval between writes, which batches lines into few system calls.
const WRITE_INTERVAL_MS: Millis = Millis(100);
/// Maximum size of a write: `PIPE_BUF` on Linux. Longer writes to a pipe may be split or truncated.
const MAX_WRITE_BYTES: usize = 4_096;

static QUEUE: OnceLock<Sender<String>> = OnceLock::new();
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Starts the writer thread. Lines logged before this call are discarded.
pub fn start() {
    let (sender, receiver) = bounded(QUEUE_CAPACITY_LINES);
    if QUEUE.set(sender).is_ok() {
        let thread = thread::Builder::new().name("eventlog".to_owned());
        if let Err(error) = thread.spawn(move || write_lines(&receiver)) {
            libs::log::warn!("cannot start the event log writer, log lines are dropped: {error}");
        }
    }
}

/// Number of lines dropped since the start of the process because they could not be queued or
/// written.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Bytes of lines that wait to be written.
pub fn queued_bytes() -> usize {
    QUEUED_BYTES.load(Ordering::Relaxed)
}

/// Queues a line for the named event with the given fields. Texts of more than [`MAX_TEXT_BYTES`] are cut.
pub fn write(event: &str, fields: &[(&str, Value)]) {
    let Some(queue) = QUEUE.get() else { return };
    let line = format_line(event, fields);
    let line_bytes = line.capacity();
    let is_queued = QUEUED_BYTES.fetch_add(line_bytes, Ordering::Relaxed) + line_bytes
        <= MAX_QUEUED_BYTES
        && queue.try_send(line).is_ok();
    if !is_queued {
        QUEUED_BYTES.fetch_sub(line_bytes, Ordering::Relaxed);
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

/// Formats a line without an intermediate map: a leader logs thousands of lines a second.
fn format_line(event: &str, fields: &[(&str, Value)]) -> String {
    let mut line = String::with_capacity(LINE_CAPACITY_BYTES);
    // Writing to a string cannot fail. Field names are literals that need no escaping.
    let _ = write!(line, "{{\"t_unix_ms\":{},\"event\":{}", unix_ms(), Value::from(event));
    for (name, value) in fields {
        let _ = match value.as_str().filter(|text| text.len() > MAX_TEXT_BYTES) {
            Some(text) => write!(line, ",\"{name}\":{}", cut(text)),
            None => write!(line, ",\"{name}\":{value}"),
        };
    }
    line.push('}');
    line
}

/// The start of a text, and its length.
fn cut(text: &str) -> Value {
    let start = &text[..text.floor_char_boundary(MAX_TEXT_BYTES)];
    Value::from(format!("{start}... ({} bytes)", text.len()))
}

/// Waits until the lines queued so far are written. To be called before the process exits.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    while !queue.is_empty() {
        thread::sleep(Millis(5).to_duration());
    }
    thread::sleep(WRITE_INTERVAL_MS.to_duration());
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn write_lines(queue: &Receiver<String>) {
    let mut reported_lines = 0;
    while let Ok(first) = queue.recv() {
        let mut lines: Vec<String> = std::iter::once(first).chain(queue.try_iter()).collect();
        let dropped_lines = dropped_lines();
        if dropped_lines > reported_lines {
            let line =
                format_line("log.dropped", &[("lines", (dropped_lines - reported_lines).into())]);
            QUEUED_BYTES.fetch_add(line.capacity(), Ordering::Relaxed);
            lines.push(line);
            reported_lines = dropped_lines;
        }
        for chunk in join_lines(&lines) {
            // Standard output is the only log, so a write error can only be counted.
            if std::io::stdout().lock().write_all(chunk.as_bytes()).is_err() {
                DROPPED_LINES.fetch_add(chunk.lines().count() as u64, Ordering::Relaxed);
            }
        }
        let written_bytes: usize = lines.iter().map(String::capacity).sum();
        drop(lines);
        QUEUED_BYTES.fetch_sub(written_bytes, Ordering::Relaxed);
        thread::sleep(WRITE_INTERVAL_MS.to_duration());
    }
}

/// Joins complete lines into chunks of at most [`MAX_WRITE_BYTES`]. A longer line is a chunk by
/// itself.
pub fn join_lines(lines: &[String]) -> Vec<String> {
    let mut chunks: Vec<String> = Vec::new();
    for line in lines {
        match chunks.last_mut() {
            Some(chunk) if chunk.len() + line.len() < MAX_WRITE_BYTES => chunk.push_str(line),
            _ => chunks.push(line.clone()),
        }
        if let Some(chunk) = chunks.last_mut() {
            chunk.push('\n');
        }
    }
    chunks
}

/// Logs an event with fields: `event!("job.accepted", "job" => id, "queue" => queue)`.
///
/// A value is anything that converts into `serde_json::Value`; ids are passed as strings.
#[macro_export]
macro_rules! event {
    ($event:expr $(, $name:literal => $value:expr)* $(,)?) => {
        $crate::write($event, &[$(($name, libs::serde_json::Value::from($value))),*])
    };
}
