//! Settings of one process.

use std::net::SocketAddr;
use std::path::PathBuf;

use connections::ServerLimits;
use errors::{Error, Result};
use libs::compact_str::CompactString;
use libs::serde_saphyr;
use serde::{Deserialize, Serialize};
use types::{DomainId, Millis, NodeName};

/// Settings of a process, read from its YAML file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name and addresses of the process.
    pub process: ProcessSettings,
    /// Certificates for connections between carobsill processes.
    pub tls: TlsSettings,
    /// Access to the key-value service.
    pub kv: KvSettings,
    /// Other interfaces of the platform.
    pub platform: PlatformSettings,
    /// HTTP interface for callers. Used by entry processes only.
    #[serde(default)]
    pub http: HttpSettings,
    /// Periods and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// File to which timeline events are written; standard output if not set.
    #[serde(default)]
    pub timeline_path: Option<String>,
    /// Address of the statsd server that receives metrics; none are sent if not set.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Name and addresses of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the process, unique in the deployment.
    pub name: NodeName,
    /// Failure domain of the VM that it runs on.
    pub domain: DomainId,
    /// Address on which it listens for other carobsill processes.
    pub listen: SocketAddr,
    /// Addresses on which the other carobsill processes listen.
    pub peers: Vec<SocketAddr>,
}

/// Paths of the TLS certificates and the private key, in PEM format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate of the deployment's certificate authority.
    pub ca: PathBuf,
    /// Certificate of this process.
    pub cert: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// Access to the platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvSettings {
    /// Base URL.
    pub url: CompactString,
    /// Timeout of a call. The outcome of a call that times out is unknown.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: Millis,
    /// Maximum rate of reads and watches by this process.
    #[serde(default = "default_reads_per_s")]
    pub reads_per_s: u32,
    /// Maximum rate of writes by this process.
    #[serde(default = "default_writes_per_s")]
    pub writes_per_s: u32,
}

fn default_call_timeout_ms() -> Millis {
    Millis(1_000)
}

fn default_reads_per_s() -> u32 {
    100
}

fn default_writes_per_s() -> u32 {
    60
}

/// Other interfaces of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// URL of the list of VMs.
    pub vms_url: CompactString,
}

/// HTTP interface for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HttpSettings {
    /// Address on which the entry process listens for callers.
    pub listen: SocketAddr,
    /// Maximum number of requests that wait for a response at the same time.
    pub max_waiting: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Memory that the process may use, in MB.
    pub memory_mb: u64,
    /// File descriptors that the process may open.
    pub file_descriptors: u64,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            max_waiting: 1_000,
            max_body_bytes: 1 << 20,
            memory_mb: 260,
            file_descriptors: 4_100,
        }
    }
}

impl HttpSettings {
    /// Limits of the server, which follow from the memory and the descriptors.
    pub fn limits(&self) -> ServerLimits {
        ServerLimits::for_callers(self.memory_mb, self.file_descriptors)
            .with_max_body(self.max_body_bytes)
    }
}

/// Periods and timeouts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat_ms: Millis,
    /// Time without heartbeats after which a peer is suspected to have failed.
    pub suspect_ms: Millis,
    /// Keys and leases are no longer trusted once neither the key-value service nor most peers
    /// have been heard for this time.
    pub unconfirmed_ms: Millis,
    /// Duration of a worker's lease.
    pub lease_ms: Millis,
    /// Interval between reads of the list of VMs.
    pub vms_period_ms: Millis,
    /// Interval between polls of the state of a worker or runner.
    pub poll_ms: Millis,
    /// Minimum interval between two journal commits of a pool.
    pub commit_ms: Millis,
    /// Maximum duration of a graceful shutdown.
    pub shutdown_ms: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: Millis(250),
            suspect_ms: Millis(1_250),
            unconfirmed_ms: Millis(3_000),
            lease_ms: Millis(10_000),
            vms_period_ms: Millis(1_000),
            poll_ms: Millis(500),
            commit_ms: Millis(20),
            shutdown_ms: Millis(15_000),
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn read(path: &str) -> Result<Self> {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Io(path.to_owned(), error))?;
        Self::parse(&text).map_err(|error| Error::Config(format!("{path}: {error}")))
    }

    /// Parses and validates settings in YAML.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self =
            serde_saphyr::from_str(text).map_err(|error| Error::Config(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let timing = &self.timing;
        let checks = [
            (timing.heartbeat_ms.0 > 0, "timing.heartbeat_ms must not be 0"),
            (timing.poll_ms.0 > 0, "timing.poll_ms must not be 0"),
            (timing.vms_period_ms.0 > 0, "timing.vms_period_ms must not be 0"),
            (
                timing.suspect_ms.0 >= 2 * timing.heartbeat_ms.0,
                "timing.suspect_ms must be at least twice timing.heartbeat_ms, or healthy peers are suspected",
            ),
            (
                timing.lease_ms.0 >= 4 * timing.poll_ms.0,
                "timing.lease_ms must be at least four times timing.poll_ms, or the leases of healthy workers expire",
            ),
            (
                self.kv.reads_per_s > 0 && self.kv.writes_per_s > 0,
                "kv.reads_per_s and kv.writes_per_s must not be 0",
            ),
            (self.http.max_waiting > 0, "http.max_waiting must not be 0"),
            (
                self.http.max_waiting < self.http.limits().max_connections,
                "http.max_waiting must be below the connections that http.memory_mb and http.file_descriptors allow: one for 196,608 bytes of memory, and one for three descriptors beyond 200",
            ),
        ];
        match checks.iter().find(|(holds, _)| !holds) {
            Some((_, message)) => Err(Error::Config((*message).to_owned())),
            None => Ok(()),
        }
    }
}
