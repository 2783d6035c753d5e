//! In-memory key-value service with compare-and-swap and watches over HTTP.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use libs::rand::{self, Rng};
use libs::rouille::{Request, Response};
use serde::{Deserialize, Serialize};

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Faults to inject, set by `POST /faults`.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KvFaults {
    /// Every call is answered with 503 and has no effect.
    pub down: bool,
    /// Delay added to each call.
    pub delay_ms: u64,
    /// Fraction of writes that are stored but answered with an error, from 0.0 to 1.0.
    pub lose_answers: f64,
}

#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    value: Vec<u8>,
}

/// Number of calls since the start, as `GET /calls` reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
struct CallCounts {
    reads: u64,
    watches: u64,
    writes: u64,
    written_bytes: u64,
}

/// Key-value store with its HTTP handler.
#[derive(Default)]
pub struct KvServer {
    entries: Mutex<BTreeMap<String, Entry>>,
    changed: Condvar,
    faults: Mutex<KvFaults>,
    reads: AtomicU64,
    watches: AtomicU64,
    writes: AtomicU64,
    written_bytes: AtomicU64,
}

impl KvServer {
    /// Handles a request to `/kv/{key}`, `/faults` or `/calls`.
    pub fn handle(&self, request: &Request) -> Response {
        let url = request.url();
        match (request.method(), url.as_str()) {
            ("POST", "/faults") => self.set_faults(request),
            ("GET", "/calls") => Response::json(&self.call_counts()),
            (method, url) => match url.strip_prefix("/kv/") {
                Some(key) => self.handle_key(method, key, request),
                None => Response::empty_404(),
            },
        }
    }

    fn call_counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            written_bytes: self.written_bytes.load(Ordering::Relaxed),
        }
    }

    fn set_faults(&self, request: &Request) -> Response {
        match libs::rouille::input::json_input(request) {
            Ok(faults) => {
                *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
                Response::text("ok")
            }
            Err(error) => Response::text(error.to_string()).with_status_code(400),
        }
    }

    fn handle_key(&self, method: &str, key: &str, request: &Request) -> Response {
        let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(Duration::from_millis(faults.delay_ms));
        if faults.down {
            return Response::text("service down (injected fault)").with_status_code(503);
        }
        match method {
            "GET" => match request.get_param("watch").and_then(|text| text.parse().ok()) {
                Some(known_version) => self.watch(key, known_version, request),
                None => self.get(key),
            },
            "PUT" => self.put(key, request, faults.lose_answers),
            "DELETE" => self.delete(key),
            _ => Response::empty_400(),
        }
    }

    fn get(&self, key: &str) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(key).map_or_else(Response::empty_404, entry_response)
    }

    fn watch(&self, key: &str, known_version: u64, request: &Request) -> Response {
        self.watches.fetch_add(1, Ordering::Relaxed);
        let wait_ms = request.get_param("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(entry) = entries.get(key).filter(|entry| entry.version != known_version) {
                return entry_response(entry);
            }
            let Some(remaining) = deadline.checked_duration_since(Instant::now()) else {
                return Response::text("").with_status_code(304);
            };
            entries = self
                .changed
                .wait_timeout(entries, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn put(&self, key: &str, request: &Request, lose_answers: f64) -> Response {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let expected_version = request.header("If-Match").and_then(|text| text.parse::<u64>().ok());
        let (Some(expected_version), Some(mut body)) = (expected_version, request.data()) else {
            return Response::empty_400();
        };
        let mut value = Vec::new();
        let read_limit = MAX_VALUE_BYTES as u64 + 1;
        if body.by_ref().take(read_limit).read_to_end(&mut value).is_err()
            || value.len() > MAX_VALUE_BYTES
        {
            return Response::text("value too large").with_status_code(413);
        }
        self.written_bytes.fetch_add(value.len() as u64, Ordering::Relaxed);
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let current_version = entries.get(key).map_or(0, |entry| entry.version);
        if current_version != expected_version {
            return Response::text("version conflict")
                .with_status_code(412)
                .with_additional_header("ETag", current_version.to_string());
        }
        let entry = Entry { version: current_version + 1, value };
        entries.insert(key.to_owned(), entry.clone());
        drop(entries);
        self.changed.notify_all();
        if rand::rng().random_bool(lose_answers.clamp(0.0, 1.0)) {
            return Response::text("write stored, answer lost (injected fault)")
                .with_status_code(500);
        }
        Response::text("").with_additional_header("ETag", entry.version.to_string())
    }

    fn delete(&self, key: &str) -> Response {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).remove(key);
        Response::text("")
    }
}

fn entry_response(entry: &Entry) -> Response {
    Response::from_data("application/octet-stream", entry.value.clone())
        .with_additional_header("ETag", entry.version.to_string())
}
