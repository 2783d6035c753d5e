//! Starts and controls all processes of a deployment.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use errors::{Error, Result};
use libs::serde_json::{self, json};
use net::{create_authority, create_certificate};
use serde::Deserialize;
use types::DomainId;

use crate::client::{Client, HttpResponse};
use crate::ports::free_address;
use crate::process::Process;
use crate::rules::{OPERATOR, TestKey, vandermolen_rules};
use crate::run_log::{RunRecord, RunSummary};
use crate::settings::{HttpSettings, Machine, PlatformAddresses, settings_text};

/// Time limit for a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of VMs, workers and runners of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSize {
    /// Failure domains, each with one pool.
    pub domains: Vec<DomainId>,
    /// Number of entry VMs, each with an entry and a scheduler.
    pub vms: usize,
    /// Number of workers per failure domain.
    pub workers: usize,
    /// Number of runners per failure domain.
    pub runners: usize,
    /// Time a runner takes for a request.
    pub service_ms: u64,
    /// Callers that may wait at an entry; each has a thread there.
    pub max_waiting: usize,
    /// Memory and descriptors of the entries' machines; not limited if not set.
    pub machine: Option<Machine>,
}

impl Default for DeploymentSize {
    fn default() -> Self {
        let domains =
            ["north", "mid", "south"].iter().filter_map(|name| name.parse().ok()).collect();
        Self {
            domains,
            vms: 3,
            workers: 4,
            runners: 3,
            service_ms: 5,
            max_waiting: 64,
            machine: None,
        }
    }
}

/// Directory with the built programs, derived from the path of the running test or program.
pub fn binaries_dir() -> Result<PathBuf> {
    let own_path = std::env::current_exe()
        .map_err(|error| Error::Io("path of the running program".to_owned(), error))?;
    let dir = own_path.parent().unwrap_or(Path::new("."));
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    Ok(dir.to_owned())
}

/// A running deployment. Dropping it kills its processes.
pub struct Deployment {
    /// Directory with its settings, certificates, logs and timelines.
    pub dir: PathBuf,
    /// Process of the key-value service.
    pub platform: Process,
    /// Process that simulates workers, runners and the VM list.
    pub backends: Process,
    /// Entries, one per VM.
    pub entries: Vec<Process>,
    /// Schedulers, one per VM.
    pub schedulers: Vec<Process>,
    /// Addresses at which entries serve callers.
    pub entry_addresses: Vec<SocketAddr>,
    /// Address of the key-value service.
    pub kv_address: SocketAddr,
    /// Address of workers, runners and the VM list.
    pub backends_address: SocketAddr,
    /// HTTP client for calls to all these processes.
    pub client: Client,
    binaries_dir: PathBuf,
}

impl Deployment {
    /// Starts a deployment in a new directory and waits until every entry is ready.
    pub fn start(name: &str, size: &DeploymentSize, keys: &[TestKey]) -> Result<Self> {
        let binaries = binaries_dir()?;
        let dir = binaries.join("testbed").join(format!("{name}-{}", std::process::id()));
        fs::remove_dir_all(&dir).ok();
        fs::create_dir_all(&dir).map_err(|error| Error::Io(dir.display().to_string(), error))?;
        let addresses = PlatformAddresses { kv: free_address(), backends: free_address() };
        let platform = start_platform(&binaries, &dir, addresses.kv)?;
        let backends = start_backends(&binaries, &dir, addresses.backends, size)?;
        let mut deployment = Self {
            dir,
            platform,
            backends,
            entries: Vec::new(),
            schedulers: Vec::new(),
            entry_addresses: Vec::new(),
            kv_address: addresses.kv,
            backends_address: addresses.backends,
            client: Client::default(),
            binaries_dir: binaries,
        };
        deployment.wait_for_stand_ins()?;
        deployment.put_rules(0, &vandermolen_rules(&size.domains, keys))?;
        deployment.start_vms(size, addresses)?;
        deployment.wait_ready(READY_TIMEOUT)?;
        Ok(deployment)
    }

    fn start_vms(&mut self, size: &DeploymentSize, platform: PlatformAddresses) -> Result<()> {
        let certs = self.dir.join("certs");
        create_authority(&certs)?;
        let mut peer_addresses = Vec::new();
        for _ in 0..2 * size.vms {
            peer_addresses.push(free_address());
        }
        for vm in 0..size.vms {
            let domain = &size.domains[vm % size.domains.len()];
            let entry_address = free_address();
            self.entry_addresses.push(entry_address);
            let http = HttpSettings {
                listen: entry_address,
                max_waiting: size.max_waiting,
                machine: size.machine,
            };
            for (role, listen, http) in [
                ("entry", peer_addresses[2 * vm], Some(http)),
                ("scheduler", peer_addresses[2 * vm + 1], None),
            ] {
                let name = format!("{role}-{vm}");
                create_certificate(&certs, &name)?;
                let text = settings_text(
                    &name,
                    domain.as_str(),
                    listen,
                    http,
                    &peer_addresses,
                    platform,
                    &self.dir,
                );
                let path = self.dir.join(format!("{name}.yaml"));
                fs::write(&path, text)
                    .map_err(|error| Error::Io(path.display().to_string(), error))?;
                let machine = size.machine.filter(|_| role == "entry");
                let process = self.start_process(&name, role, machine)?;
                let list = if role == "entry" { &mut self.entries } else { &mut self.schedulers };
                list.push(process);
            }
        }
        Ok(())
    }

    fn start_process(&self, name: &str, role: &str, machine: Option<Machine>) -> Result<Process> {
        let settings = self.dir.join(format!("{name}.yaml")).display().to_string();
        let args = ["--settings".to_owned(), settings];
        let program = self.binaries_dir.join(format!("carobsill-{role}"));
        let log = self.dir.join(format!("{name}.log"));
        match machine {
            Some(machine) => {
                let descriptors = machine.file_descriptors;
                Process::start_with_descriptors(name, &program, &args, &log, descriptors)
            }
            None => Process::start(name, &program, &args, &log),
        }
    }

    /// Restarts an entry whose process has ended.
    pub fn restart_entry(&mut self, vm: usize) -> Result<()> {
        self.entries[vm] = self.start_process(&format!("entry-{vm}"), "entry", None)?;
        Ok(())
    }

    /// Restarts a scheduler whose process has ended.
    pub fn restart_scheduler(&mut self, vm: usize) -> Result<()> {
        self.schedulers[vm] = self.start_process(&format!("scheduler-{vm}"), "scheduler", None)?;
        Ok(())
    }

    fn wait_for_stand_ins(&mut self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let kv_up = self.client.get(self.kv_address, "/calls", "").is_ok();
            let backends_up = self.client.get(self.backends_address, "/truth/summary", "").is_ok();
            if kv_up && backends_up {
                return Ok(());
            }
            for process in [&mut self.platform, &mut self.backends] {
                if !process.is_running() {
                    let (name, dir) = (&process.name, self.dir.display());
                    return Err(Error::Unanswered(format!(
                        "{name} has ended, see its log in {dir}"
                    )));
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(Error::Unanswered(format!("the stand-ins did not start within {READY_TIMEOUT:?}")))
    }

    /// Waits until every entry serves callers and every pool has an owner with workers and runners.
    pub fn wait_ready(&self, timeout: Duration) -> Result<()> {
        let ready = self.wait_until(timeout, |deployment| {
            let entries = &deployment.entry_addresses;
            let healthy = entries.iter().all(|entry| {
                let health = deployment.client.get(*entry, "/v1/health", "");
                health.is_ok_and(|answer| answer.status == 200)
            });
            healthy && deployment.pools_are_up()
        });
        if ready {
            Ok(())
        } else {
            Err(Error::Unanswered(format!("the deployment is not ready after {timeout:?}")))
        }
    }

    /// Returns whether every pool has an owner that has attached workers and runners.
    pub fn pools_are_up(&self) -> bool {
        let Ok(status) = self.admin("status") else { return false };
        let pools = status["pools"].as_array().cloned().unwrap_or_default();
        !pools.is_empty()
            && pools.iter().all(|pool| {
                let has_any = |name: &str| pool[name].as_u64().unwrap_or(0) > 0;
                !pool["owner"].is_null() && has_any("workers_up") && has_any("runners_up")
            })
    }

    /// Waits until a condition holds. Returns false if it does not within `timeout`.
    pub fn wait_until(&self, timeout: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if condition(self) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Reads a resource of the admin API from the first entry that answers.
    pub fn admin(&self, path: &str) -> Result<serde_json::Value> {
        let token = OPERATOR.token();
        let path = format!("/v1/admin/{path}");
        for entry in &self.entry_addresses {
            if let Ok(answer) = self.client.get(*entry, &path, &token)
                && answer.status == 200
            {
                return Ok(answer.json());
            }
        }
        Err(Error::Unanswered(format!("no entry answers GET {path}")))
    }

    /// Returns the number of the VM whose scheduler owns a pool.
    pub fn owner_of(&self, pool: &str) -> Option<usize> {
        let status = self.admin("status").ok()?;
        let pools = status["pools"].as_array()?;
        let row = pools.iter().find(|row| row["pool"] == pool)?;
        row["owner"].as_str()?.strip_prefix("scheduler-")?.parse().ok()
    }

    /// Posts a request to a queue through one entry.
    pub fn post_request(
        &self,
        entry: usize,
        queue: &str,
        key: &TestKey,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpResponse> {
        let path = format!("/v1/queues/{queue}/requests");
        self.client.post(self.entry_addresses[entry], &path, &key.token(), headers, body)
    }

    /// Posts a job to a queue through one entry.
    pub fn post_job(
        &self,
        entry: usize,
        queue: &str,
        key: &TestKey,
        headers: &[(&str, &str)],
        job: &serde_json::Value,
    ) -> Result<HttpResponse> {
        let path = format!("/v1/queues/{queue}/jobs");
        self.client.post(
            self.entry_addresses[entry],
            &path,
            &key.token(),
            headers,
            &job.to_string(),
        )
    }

    /// Reads the state of a job through one entry.
    pub fn job(&self, entry: usize, key: &TestKey, job: &str) -> Result<serde_json::Value> {
        let answer = self.client.get(
            self.entry_addresses[entry],
            &format!("/v1/jobs/{job}"),
            &key.token(),
        )?;
        Ok(answer.json())
    }

    /// Writes the rules directly to the key-value service if their version is `expected_version`.
    pub fn put_rules(&self, expected_version: u64, text: &str) -> Result<HttpResponse> {
        let agent = libs::ureq::Agent::new_with_defaults();
        let call = agent.put(format!("http://{}/kv/rules", self.kv_address));
        let result = call.header("If-Match", expected_version.to_string()).send(text);
        let response = result.map_err(|error| Error::Unanswered(error.to_string()))?;
        Ok(HttpResponse {
            status: response.status().as_u16(),
            outcome: String::new(),
            request: String::new(),
            retry_after_s: None,
            body: String::new(),
        })
    }

    /// Sets the faults that the key-value service injects.
    pub fn set_kv_faults(&self, down: bool, delay_ms: u64, lose_answers: f64) -> Result<()> {
        let faults = json!({ "down": down, "delay_ms": delay_ms, "lose_answers": lose_answers });
        let json = [("Content-Type", "application/json")];
        self.client.post(self.kv_address, "/faults", "", &json, &faults.to_string())?;
        Ok(())
    }

    /// Applies one of the stand-in's control actions to a worker or runner.
    pub fn control(&self, name: &str, action: &str) -> Result<()> {
        let body = json!({ "name": name, "action": action }).to_string();
        let json = [("Content-Type", "application/json")];
        self.client.post(self.backends_address, "/control", "", &json, &body)?;
        Ok(())
    }

    /// Reads the summary of the stand-ins' run log.
    pub fn run_summary(&self) -> Result<RunSummary> {
        let answer = self.client.get(self.backends_address, "/truth/summary", "")?;
        serde_json::from_str(&answer.body).map_err(|error| Error::Codec(error.to_string()))
    }

    /// Reads the stand-ins' run log.
    pub fn runs(&self) -> Result<Vec<RunRecord>> {
        #[derive(Deserialize)]
        struct RunLog {
            runs: Vec<RunRecord>,
        }
        let answer = self.client.get(self.backends_address, "/truth", "")?;
        let run_log: RunLog =
            serde_json::from_str(&answer.body).map_err(|error| Error::Codec(error.to_string()))?;
        Ok(run_log.runs)
    }

    /// Reads the number of worker syncs so far, and the bytes of their bodies in both directions.
    pub fn worker_traffic(&self) -> Result<[u64; 2]> {
        let answer = self.client.get(self.backends_address, "/traffic", "")?.json();
        Ok(["syncs", "sync_bytes"].map(|name| answer[name].as_u64().unwrap_or(0)))
    }

    /// Reads the number of calls to the key-value service so far: reads, watches and writes.
    pub fn kv_calls(&self) -> Result<[u64; 3]> {
        let answer = self.client.get(self.kv_address, "/calls", "")?.json();
        Ok(["reads", "watches", "writes"].map(|name| answer[name].as_u64().unwrap_or(0)))
    }
}

fn start_platform(binaries: &Path, dir: &Path, listen: SocketAddr) -> Result<Process> {
    let args = ["platform".to_owned(), "--listen".to_owned(), listen.to_string()];
    Process::start(
        "platform",
        &binaries.join("carobsill-standin"),
        &args,
        &dir.join("platform.log"),
    )
}

fn start_backends(
    binaries: &Path,
    dir: &Path,
    listen: SocketAddr,
    size: &DeploymentSize,
) -> Result<Process> {
    let domains: Vec<&str> = size.domains.iter().map(DomainId::as_str).collect();
    let options = [
        ("--listen", listen.to_string()),
        ("--domains", domains.join(",")),
        ("--workers", size.workers.to_string()),
        ("--runners", size.runners.to_string()),
        ("--service-ms", size.service_ms.to_string()),
    ];
    let mut args = vec!["backends".to_owned()];
    args.extend(options.into_iter().flat_map(|(name, value)| [name.to_owned(), value]));
    Process::start(
        "backends",
        &binaries.join("carobsill-standin"),
        &args,
        &dir.join("backends.log"),
    )
}
