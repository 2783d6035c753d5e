//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self { file, began: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{:>7}.{:03} {text}", now / 1_000, now % 1_000).ok();
    }
}

/// The time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
