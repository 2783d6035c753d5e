//! Settings files of deployments under test.

use std::net::SocketAddr;
use std::path::Path;

/// Addresses of the services that the processes depend on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformAddresses {
    pub(crate) kv: SocketAddr,
    pub(crate) backends: SocketAddr,
}

/// Callers' interface of an entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HttpSettings {
    pub(crate) listen: SocketAddr,
    /// Callers that may wait.
    pub(crate) max_waiting: usize,
    /// Memory and descriptors of the machine; the defaults of the settings if not set.
    pub(crate) machine: Option<Machine>,
}

/// What the machine of an entry has.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Descriptors that a process may open.
    pub file_descriptors: u64,
}

/// Returns the text of one process's settings file.
pub(crate) fn settings_text(
    name: &str,
    domain: &str,
    listen: SocketAddr,
    http: Option<HttpSettings>,
    peers: &[SocketAddr],
    platform: PlatformAddresses,
    dir: &Path,
) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let certs = dir.join("certs");
    let http_section = http
        .map(|HttpSettings { listen, max_waiting, machine }| {
            let machine = machine.map(|machine| {
                let Machine { memory_mb, file_descriptors } = machine;
                format!("  memory_mb: {memory_mb}\n  file_descriptors: {file_descriptors}\n")
            });
            let machine = machine.unwrap_or_default();
            format!("http:\n  listen: \"{listen}\"\n  max_waiting: {max_waiting}\n{machine}")
        })
        .unwrap_or_default();
    format!(
        "process:\n  name: {name}\n  domain: {domain}\n  listen: \"{listen}\"\n  peers: [{peers}]\n\
         tls:\n  ca: {certs}/ca.cert.pem\n  cert: {certs}/{name}.cert.pem\n  key: {certs}/{name}.key.pem\n\
         kv:\n  url: http://{kv}\n\
         platform:\n  vms_url: http://{backends}/vms\n\
         {http_section}\
         timing:\n  lease_ms: 4000\n\
         timeline_path: {dir}/{name}.timeline\n",
        peers = peers.join(", "),
        certs = certs.display(),
        kv = platform.kv,
        backends = platform.backends,
        dir = dir.display(),
    )
}
