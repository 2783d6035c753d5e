//! The connections of a server, and which of them gives way.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use types::Millis;

use crate::limits::{MIN_EVICTION_LAG_MS, SMALL_BODY_BYTES, ServerLimits};
use crate::progress::Progress;

/// Id of a connection, unique for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(
    /// Number of the connection, in the order of their arrival.
    pub u64,
);

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of a request has arrived since the last response.
    Idle { since: Millis },
    /// A head is being received, or the first one is awaited.
    Head { since: Millis },
    /// A body is being received.
    Body(Progress),
    /// A handler has the request.
    Handled,
    /// The request was refused. What the client still sends is discarded.
    Refused { since: Millis },
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    phase: Phase,
    /// Memory of the body, until its response is ready.
    body_bytes: usize,
}

/// A connection that gives way to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// It is to be closed.
    Close(ConnectionId),
    /// Its request is to be refused, its body dropped, and the connection closed.
    Refuse(ConnectionId),
}

/// Whether there is room for another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// There is.
    Free,
    /// There is, since this connection gives way.
    Freed(Eviction),
    /// All connections are in use and none has stalled.
    Full,
}

/// Answer to a request for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reservation {
    /// The memory is reserved; the requests of these connections give way.
    Granted(Vec<ConnectionId>),
    /// There is no memory, and nobody gives way.
    Refused,
}

/// The connections of a server.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ServerLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    bodies_bytes: usize,
    last_id: u64,
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub fn new(limits: ServerLimits) -> Self {
        Self { limits, connections: BTreeMap::new(), bodies_bytes: 0, last_id: 0 }
    }

    /// The limits in force.
    pub fn limits(&self) -> &ServerLimits {
        &self.limits
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Memory reserved for bodies, in bytes.
    pub fn bodies_bytes(&self) -> usize {
        self.bodies_bytes
    }

    /// Makes room for another connection.
    pub fn make_room(&mut self, now: Millis) -> Room {
        if self.connections.len() < self.limits.max_connections {
            return Room::Free;
        }
        let candidates = self.connections.iter().filter_map(|(id, connection)| {
            let (class, lag_ms) = connection.phase.eviction_order(now)?;
            Some(((class, lag_ms, Reverse(*id)), connection.phase, *id))
        });
        let Some((_, phase, id)) = candidates.max_by_key(|(order, ..)| *order) else {
            return Room::Full;
        };
        self.close(id);
        let is_answered = matches!(phase, Phase::Body(_));
        Room::Freed(if is_answered { Eviction::Refuse(id) } else { Eviction::Close(id) })
    }

    /// Whether a connection is open, as far as this table knows.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Whether a part of a request has arrived that no handler has.
    pub fn is_incomplete(&self, id: ConnectionId) -> bool {
        let phase = self.connections.get(&id).map(|connection| connection.phase);
        matches!(phase, Some(Phase::Head { .. } | Phase::Body(_)))
    }

    /// Adds a connection whose first request is awaited.
    pub fn open(&mut self, now: Millis) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection { phase: Phase::Head { since: now }, body_bytes: 0 };
        self.connections.insert(id, connection);
        id
    }

    /// Notes that the first bytes of a head have arrived.
    pub fn start_head(&mut self, id: ConnectionId, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&id)
            && matches!(connection.phase, Phase::Idle { .. })
        {
            connection.phase = Phase::Head { since: now };
        }
    }

    /// Notes that a head is complete and that its body is being received.
    pub fn start_body(&mut self, id: ConnectionId, now: Millis) {
        self.set_phase(id, Phase::Body(Progress::start(now)));
    }

    /// Reserves memory for a body that is being received. When it is short, the bodies that have stalled
    /// longest give way, and then, to a small one, the largest.
    pub fn reserve(&mut self, id: ConnectionId, bytes: usize, now: Millis) -> Reservation {
        let Some(needed_bytes) = self.bodies_bytes.checked_add(bytes) else {
            return Reservation::Refused;
        };
        let missing_bytes = needed_bytes.saturating_sub(self.limits.max_bodies_bytes);
        let is_small = self.body_bytes(id).saturating_add(bytes) <= SMALL_BODY_BYTES;
        let Some(evicted) = self.bodies_to_evict(id, is_small, missing_bytes, now) else {
            return Reservation::Refused;
        };
        evicted.iter().for_each(|evicted| self.refuse(*evicted, now));
        match self.connections.get_mut(&id) {
            Some(connection) => {
                connection.body_bytes += bytes;
                self.bodies_bytes += bytes;
                Reservation::Granted(evicted)
            }
            None => Reservation::Refused,
        }
    }

    /// The bodies that give way to free so much memory, for a body that is small with it. `None` if those
    /// that may give way take less.
    fn bodies_to_evict(
        &self,
        requester: ConnectionId,
        is_small: bool,
        bytes: usize,
        now: Millis,
    ) -> Option<Vec<ConnectionId>> {
        if bytes == 0 {
            return Some(Vec::new());
        }
        let candidates = self.connections.iter().filter_map(|(id, connection)| {
            let Phase::Body(progress) = connection.phase else { return None };
            let lag_ms = Some(progress.lag(now)).filter(|lag_ms| *lag_ms >= MIN_EVICTION_LAG_MS);
            let may_evict =
                lag_ms.is_some() || (is_small && connection.body_bytes > SMALL_BODY_BYTES);
            let is_candidate = *id != requester && connection.body_bytes > 0 && may_evict;
            is_candidate.then_some((lag_ms, connection.body_bytes, Reverse(*id)))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by(|a, b| b.cmp(a));
        let mut freed_bytes = 0;
        let mut evicted = Vec::new();
        for (_, body_bytes, Reverse(id)) in candidates {
            evicted.push(id);
            freed_bytes += body_bytes;
            if freed_bytes >= bytes {
                return Some(evicted);
            }
        }
        None
    }

    fn body_bytes(&self, id: ConnectionId) -> usize {
        self.connections.get(&id).map_or(0, |connection| connection.body_bytes)
    }

    /// Counts bytes of a body that have arrived. Returns how long its client may stall from now on.
    pub fn receive(&mut self, id: ConnectionId, bytes: usize, now: Millis) -> Millis {
        let timeout_ms = self.limits.body_timeout_ms;
        match self.connections.get_mut(&id).map(|connection| &mut connection.phase) {
            Some(Phase::Body(progress)) => {
                progress.receive(bytes, now);
                timeout_ms - progress.lag(now)
            }
            _ => timeout_ms,
        }
    }

    /// Notes that a handler has the request.
    pub fn start_handler(&mut self, id: ConnectionId) {
        self.set_phase(id, Phase::Handled);
    }

    /// Notes that the response of the handler is ready and its body is dropped.
    pub fn end_handler(&mut self, id: ConnectionId, now: Millis) {
        self.release(id);
        self.set_phase(id, Phase::Idle { since: now });
    }

    /// Notes that a request is refused before its end, and its body dropped.
    pub fn refuse(&mut self, id: ConnectionId, now: Millis) {
        self.release(id);
        self.set_phase(id, Phase::Refused { since: now });
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.release(id);
        self.connections.remove(&id);
    }

    fn release(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.bodies_bytes -= std::mem::take(&mut connection.body_bytes);
        }
    }

    fn set_phase(&mut self, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
        }
    }
}

/// Classes of connections, in the order in which they give way: the last one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Between two requests. Its client has behaved.
    Idle,
    /// A request is incomplete.
    Incomplete,
    /// The refusal has been sent.
    Refused,
}

impl Phase {
    /// How a connection ranks among those that give way, the highest first; `None` if it does not.
    fn eviction_order(&self, now: Millis) -> Option<(EvictionClass, Millis)> {
        let (class, lag_ms) = match self {
            Self::Idle { since } => (EvictionClass::Idle, now.since(*since)),
            Self::Head { since } => (EvictionClass::Incomplete, now.since(*since)),
            Self::Body(progress) => (EvictionClass::Incomplete, progress.lag(now)),
            Self::Refused { since } => (EvictionClass::Refused, now.since(*since)),
            Self::Handled => return None,
        };
        (lag_ms >= MIN_EVICTION_LAG_MS).then_some((class, lag_ms))
    }
}
