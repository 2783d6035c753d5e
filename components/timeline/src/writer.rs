//! Records the events of this process on a writer thread.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use errors::{Error, Result};
use libs::compact_str::CompactString;
use libs::crossbeam_channel::{Receiver, Sender, bounded};
use libs::serde_json;
use types::{Epoch, HybridTimestamp, NodeId, PoolId};

use crate::{Event, EventKind};

/// Capacity of the queue to the writer thread. Events are dropped when it is full.
const QUEUE_CAPACITY_EVENTS: usize = 2_048;

/// Handle to the timeline of this process. Clones share one clock and one writer thread.
#[derive(Clone)]
pub struct Timeline {
    node: NodeId,
    clock: Arc<Mutex<HybridTimestamp>>,
    queue: Sender<Event>,
}

impl Timeline {
    /// Starts the writer thread. Events are appended to the file at `path`, or written to standard
    /// output if it is not given.
    pub fn start(node: NodeId, path: Option<&str>) -> Result<Self> {
        let output = open_output(path)?;
        let (queue, events) = bounded(QUEUE_CAPACITY_EVENTS);
        thread::Builder::new()
            .name("timeline".to_owned())
            .spawn(move || write_events(&events, output))
            .map_err(|error| Error::Io("cannot start the timeline thread".to_owned(), error))?;
        Ok(Self { node, clock: Arc::default(), queue })
    }

    /// Advances the clock and returns the timestamp for an event or an outgoing message.
    pub fn next_timestamp(&self) -> HybridTimestamp {
        self.observe(HybridTimestamp::default())
    }

    /// Advances the clock past the timestamp of a received message.
    pub fn observe(&self, seen: HybridTimestamp) -> HybridTimestamp {
        let mut clock = self.clock.lock().unwrap_or_else(PoisonError::into_inner);
        *clock = clock.advance(seen, wall_ms());
        *clock
    }

    /// Records a state change of the process itself.
    pub fn record(&self, kind: EventKind, subject: &str, detail: &str) {
        self.enqueue(kind, None, subject, detail);
    }

    /// Records a state change in a pool.
    pub fn record_in_pool(
        &self,
        kind: EventKind,
        pool: (&PoolId, Epoch),
        subject: &str,
        detail: &str,
    ) {
        self.enqueue(kind, Some((pool.0.clone(), pool.1)), subject, detail);
    }

    fn enqueue(&self, kind: EventKind, pool: Option<(PoolId, Epoch)>, subject: &str, detail: &str) {
        let (pool, epoch) = pool.unzip();
        let event = Event {
            stamp: self.next_timestamp(),
            node: self.node.clone(),
            kind,
            pool,
            epoch,
            subject: CompactString::new(subject),
            detail: CompactString::new(detail),
        };
        // The event is dropped if the queue is full: the timeline must never delay decisions.
        self.queue.try_send(event).ok();
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
        .map_err(|error| Error::Io(path.to_owned(), error))?;
    Ok(Box::new(BufWriter::new(file)))
}

fn write_events(events: &Receiver<Event>, mut output: Box<dyn Write + Send>) {
    while let Ok(first) = events.recv() {
        for event in std::iter::once(first).chain(events.try_iter()) {
            // A write error, as on a full pipe or a closed terminal, must not stop the process.
            serde_json::to_writer(&mut output, &event).ok();
            output.write_all(b"\n").ok();
        }
        output.flush().ok();
    }
}
