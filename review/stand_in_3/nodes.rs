//! The processes under test, with settings like those of a small deployment.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// A port that nobody listens on, below those that the kernel gives to outgoing connections.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(61);
    loop {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = 10_000 + (number % 22_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Memory of a machine.
pub const MEMORY_MB: u64 = 260;

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn new(folder: &Path, number: usize, store: SocketAddr) -> Self {
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (name, callers, ready) = (format!("frontend-{number}"), address(), address());
        let text = format!(
            "name: \"{name}\"\ndomain: \"lakes-west\"\ncallers_address: \"{callers}\"\n\
             readiness_address: \"{ready}\"\npeer_address: \"{}\"\nmetrics_address: \"{}\"\n\
             store_address: \"{store}\"\nprocessor_share: 0.25\nmemory_mb: {MEMORY_MB}\n\
             file_descriptors: 4100\nmin_store_lease_ms: 1000\ncancel_ms: 3000\n\
             max_worker_lease_ms: 6000\nkeep_ended_s: 120\n",
            address(),
            address(),
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        Self { name, callers, ready, settings, log, child: None }
    }

    pub fn start(&mut self, program: &Path) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(program)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CAROBSILL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn()
            .expect("the process starts");
        self.child = Some(child);
    }

    /// Memory in use, in MB; 0 if the process isn't up.
    pub fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
