//! What was sent, answered and run, in the order of time.

use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { began: Instant::now(), lines: Mutex::default() })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap();
        let at = self.now_ms();
        lines.push((at, line.into()));
    }

    pub fn text(&self) -> String {
        let lines = self.lines.lock().unwrap();
        lines.iter().map(|(at, line)| format!("{:8.3} s  {line}\n", *at as f64 / 1_000.0)).collect()
    }
}
