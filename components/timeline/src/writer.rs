//! Writes the events of this process.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use errors::{Error, Result};
use libs::compact_str::CompactString;
use libs::crossbeam_channel::{Receiver, Sender, bounded};
use libs::serde_json;
use types::{Epoch, NodeId, PoolId, Stamp};

use crate::{Event, EventKind};

/// Events that may wait for the writer thread. Further ones are dropped.
const EVENT_RING: usize = 2_048;

/// Handle to the time line of this process. Clones share one clock and one writer.
#[derive(Clone)]
pub struct Timeline {
    node: NodeId,
    clock: Arc<Mutex<Stamp>>,
    events: Sender<Event>,
}

impl Timeline {
    /// Starts the writer thread. It writes to the file at `path`, or to standard output without one.
    pub fn start(node: NodeId, path: Option<&str>) -> Result<Self> {
        let output = open_output(path)?;
        let (events, waiting) = bounded(EVENT_RING);
        thread::Builder::new()
            .name("timeline".to_owned())
            .spawn(move || write_events(&waiting, output))
            .map_err(|error| Error::File("timeline thread".to_owned(), error))?;
        Ok(Self { node, clock: Arc::default(), events })
    }

    /// The next stamp of this process, for an event or an outgoing message.
    pub fn stamp(&self) -> Stamp {
        self.observe(Stamp::default())
    }

    /// Moves the clock past a stamp that came with a message.
    pub fn observe(&self, seen: Stamp) -> Stamp {
        let mut clock = self.clock.lock().unwrap_or_else(PoisonError::into_inner);
        *clock = clock.advance(seen, wall_ms());
        *clock
    }

    /// Records a change that concerns the process itself.
    pub fn record(&self, kind: EventKind, subject: &str, detail: &str) {
        self.send(kind, None, subject, detail);
    }

    /// Records a change in a pool.
    pub fn record_in_pool(
        &self,
        kind: EventKind,
        pool: (&PoolId, Epoch),
        subject: &str,
        detail: &str,
    ) {
        self.send(kind, Some((pool.0.clone(), pool.1)), subject, detail);
    }

    fn send(&self, kind: EventKind, pool: Option<(PoolId, Epoch)>, subject: &str, detail: &str) {
        let (pool, epoch) = pool.unzip();
        let event = Event {
            stamp: self.stamp(),
            node: self.node.clone(),
            kind,
            pool,
            epoch,
            subject: CompactString::new(subject),
            detail: CompactString::new(detail),
        };
        // A full ring drops the event: the time line must never delay decisions.
        self.events.try_send(event).ok();
    }
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn open_output(path: Option<&str>) -> Result<Box<dyn Write + Send>> {
    let Some(path) = path else { return Ok(Box::new(io::stdout())) };
    let file = File::options()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|error| Error::File(path.to_owned(), error))?;
    Ok(Box::new(BufWriter::new(file)))
}

fn write_events(events: &Receiver<Event>, mut output: Box<dyn Write + Send>) {
    while let Ok(first) = events.recv() {
        for event in std::iter::once(first).chain(events.try_iter()) {
            // Output that fails (a full pipe, a closed terminal) must not stop the process.
            serde_json::to_writer(&mut output, &event).ok();
            output.write_all(b"\n").ok();
        }
        output.flush().ok();
    }
}
