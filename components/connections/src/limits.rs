//! Limits of a server on what its clients may take.

use types::Millis;

/// Largest head: 16,384 bytes of headers, as operators allow callers, and a request line.
const MAX_HEAD_BYTES: usize = 24 << 10;
/// Largest body. Operators allow callers 262,144 bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time for the next head on an open connection, from the end of the last response to the end of the
/// head. Operators allow callers to be idle for 15 s.
const HEAD_TIMEOUT_MS: Millis = Millis(15_000);
/// A body whose client is this far behind [`MIN_BODY_BYTES_PER_S`] is given up.
const BODY_TIMEOUT_MS: Millis = Millis(10_000);
/// Rate below which a body does not count as arriving: a tenth of a link of 2 Mbit/s.
pub const MIN_BODY_BYTES_PER_S: u64 = 25_000;
/// A client that is less behind may have lost a packet, which is sent again after a second.
pub const MIN_EVICTION_LAG_MS: Millis = Millis(1_000);
/// A body that has taken less does not wait for those that have taken more. Usual jobs have a text of up to
/// 4,000 bytes.
pub const SMALL_BODY_BYTES: usize = 16 << 10;
/// How long a refused client may go on sending, so that the refusal reaches it: a body of
/// [`MAX_BODY_BYTES`] takes 0.8 s on a link of 10 Mbit/s.
const LINGER_MS: Millis = Millis(2_000);

/// Memory of a connection with a head of [`MAX_HEAD_BYTES`]: a read buffer, which doubles as it grows, a
/// write buffer of 8 KiB and the state of its task.
const CONNECTION_BYTES: u64 = 48 << 10;
/// Callers' connections get one of so many parts of the memory.
const CONNECTIONS_MEMORY_PART: u64 = 4;
/// Callers' bodies get one of so many parts of the memory.
const BODIES_MEMORY_PART: u64 = 8;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Callers and peers each get one of so many parts of the other descriptors. The calls of this process to
/// the store, peers and workers get the rest.
const DESCRIPTORS_PART: u64 = 3;
/// Memory for the bodies of peers, in bytes.
const PEERS_BODIES_BYTES: usize = 16 << 20;
/// Connections for readiness checks and for metrics. The platform uses one at a time.
const PROBE_CONNECTIONS: usize = 64;

/// Limits of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the end of a response to the end of the next head.
    pub head_timeout_ms: Millis,
    /// How far a body may be behind [`MIN_BODY_BYTES_PER_S`].
    pub body_timeout_ms: Millis,
    /// Longest time that a refused client may go on sending.
    pub linger_ms: Millis,
    /// Open connections.
    pub max_connections: usize,
    /// Memory of the bodies of all requests that have no response yet, in bytes.
    pub max_bodies_bytes: usize,
}

impl ServerLimits {
    /// Limits of each request and connection, and none on their number. For servers without strangers.
    pub fn unshared() -> Self {
        Self {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            head_timeout_ms: HEAD_TIMEOUT_MS,
            body_timeout_ms: BODY_TIMEOUT_MS,
            linger_ms: LINGER_MS,
            max_connections: usize::MAX,
            max_bodies_bytes: usize::MAX,
        }
    }

    /// Limits for callers of a process with so much memory and so many descriptors.
    pub fn for_callers(memory_mb: u64, file_descriptors: u64) -> Self {
        let memory_bytes = memory_mb * 1_000_000;
        let by_memory = memory_bytes / CONNECTIONS_MEMORY_PART / CONNECTION_BYTES;
        let connections = by_memory.min(share_of_descriptors(file_descriptors));
        Self::unshared()
            .with_connections(to_usize(connections))
            .with_bodies(to_usize(memory_bytes / BODIES_MEMORY_PART))
    }

    /// Limits for the other processes of the deployment.
    pub fn for_peers(file_descriptors: u64) -> Self {
        Self::unshared()
            .with_connections(to_usize(share_of_descriptors(file_descriptors)))
            .with_bodies(PEERS_BODIES_BYTES)
    }

    /// Limits for readiness checks and for metrics, whose requests have no body.
    pub fn for_probes() -> Self {
        Self::unshared().with_connections(PROBE_CONNECTIONS).with_max_body(0)
    }

    /// Sets the size of the largest body, in bytes.
    pub fn with_max_body(self, bytes: usize) -> Self {
        Self { max_body_bytes: bytes, ..self }.with_bodies(self.max_bodies_bytes)
    }

    /// Sets the number of connections, of which there is at least one.
    fn with_connections(self, connections: usize) -> Self {
        Self { max_connections: connections.max(1), ..self }
    }

    /// Sets the memory of all bodies, in which one of the largest size fits.
    fn with_bodies(self, bytes: usize) -> Self {
        Self { max_bodies_bytes: bytes.max(self.max_body_bytes), ..self }
    }
}

fn share_of_descriptors(file_descriptors: u64) -> u64 {
    file_descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTORS_PART
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
