//! Settings of one process.

use std::net::SocketAddr;
use std::path::PathBuf;

use errors::{Error, Result};
use libs::compact_str::CompactString;
use libs::serde_saphyr;
use serde::{Deserialize, Serialize};
use types::{DomainId, Millis, NodeName};

/// All settings of one process, as read from its YAML file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses.
    pub process: ProcessSettings,
    /// Certificates for traffic between carobsill's own processes.
    pub tls: TlsSettings,
    /// The key-value service.
    pub kv: KvSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Callers' HTTP interface. Used by entries only.
    #[serde(default)]
    pub http: HttpSettings,
    /// Periods and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Where the time line goes; standard output if not given.
    #[serde(default)]
    pub timeline_path: Option<String>,
    /// Where metrics go as statsd; nowhere if not given.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Identity and addresses of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name, unique among all processes.
    pub name: NodeName,
    /// Failure domain of its VM.
    pub domain: DomainId,
    /// Where it listens for other processes of carobsill.
    pub listen: SocketAddr,
    /// Where other processes of carobsill listen.
    pub peers: Vec<SocketAddr>,
}

/// Certificates and key, as PEM files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate of the deployment's own authority.
    pub ca: PathBuf,
    /// Certificate of this process.
    pub cert: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// The key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvSettings {
    /// Base URL.
    pub url: CompactString,
    /// Time after which a call counts as unanswered.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: Millis,
    /// Reads and watches a second that this process may make.
    #[serde(default = "default_reads_per_s")]
    pub reads_per_s: u32,
    /// Writes a second that this process may make.
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

/// The platform's other interfaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// URL of the list of VMs.
    pub vms_url: CompactString,
}

/// Callers' HTTP interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HttpSettings {
    /// Where the entry listens for callers.
    pub listen: SocketAddr,
    /// Callers that may wait for an answer at the same time.
    pub max_waiting: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            max_waiting: 1_000,
            max_body_bytes: 1 << 20,
        }
    }
}

/// Periods and timeouts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Period of heartbeats.
    pub heartbeat_ms: Millis,
    /// Silence after which a peer is suspected.
    pub suspect_ms: Millis,
    /// Silence from the key-value service and from most peers after which keys and leases
    /// are no longer trusted.
    pub unconfirmed_ms: Millis,
    /// Term of a worker's lease.
    pub lease_ms: Millis,
    /// Period of reading the list of VMs.
    pub vms_period_ms: Millis,
    /// Period of asking workers and runners for their state.
    pub poll_ms: Millis,
    /// Shortest time between two journal commits of a pool.
    pub commit_ms: Millis,
    /// Time that a graceful shutdown may take.
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
    /// Reads and checks a settings file.
    pub fn read(path: &str) -> Result<Self> {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
        Self::parse(&text).map_err(|error| Error::Config(format!("{path}: {error}")))
    }

    /// Parses and checks a settings text.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self =
            serde_saphyr::from_str(text).map_err(|error| Error::Config(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let timing = &self.timing;
        let rules = [
            (timing.heartbeat_ms.0 > 0, "timing.heartbeat_ms must not be 0"),
            (timing.poll_ms.0 > 0, "timing.poll_ms must not be 0"),
            (timing.vms_period_ms.0 > 0, "timing.vms_period_ms must not be 0"),
            (
                timing.suspect_ms.0 >= 2 * timing.heartbeat_ms.0,
                "timing.suspect_ms must be at least twice timing.heartbeat_ms, or healthy peers are suspected",
            ),
            (
                timing.lease_ms.0 >= 4 * timing.poll_ms.0,
                "timing.lease_ms must be at least four times timing.poll_ms, or healthy workers lapse",
            ),
            (self.kv.reads_per_s > 0 && self.kv.writes_per_s > 0, "kv rates must not be 0"),
            (self.http.max_waiting > 0, "http.max_waiting must not be 0"),
        ];
        match rules.iter().find(|(holds, _)| !holds) {
            Some((_, message)) => Err(Error::Config((*message).to_owned())),
            None => Ok(()),
        }
    }
}
