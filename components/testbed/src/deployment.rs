//! A whole deployment.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use errors::{Error, Result};
use libs::serde_json::{self, json};
use net::{create_authority, create_certificate};
use serde::Deserialize;
use types::DomainId;

use crate::client::{Client, HttpAnswer};
use crate::ports::free_address;
use crate::process::Process;
use crate::rules::{OPERATOR, TestKey, vandermolen_rules};
use crate::settings::{Surroundings, settings_text};
use crate::truth::{TruthRun, TruthSummary};

/// Longest time to wait for a deployment to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Period of looking again.
const POLL: Duration = Duration::from_millis(20);

/// How large a deployment is.
#[derive(Debug, Clone)]
pub struct Size {
    /// Failure domains, each with one pool.
    pub domains: Vec<DomainId>,
    /// Entry VMs, each with an entry and a scheduler.
    pub vms: usize,
    /// Workers in each failure domain.
    pub workers: usize,
    /// Runners in each failure domain.
    pub runners: usize,
    /// Time that a runner works on a request.
    pub service_ms: u64,
}

impl Default for Size {
    fn default() -> Self {
        let domains =
            ["north", "mid", "south"].iter().filter_map(|name| name.parse().ok()).collect();
        Self { domains, vms: 3, workers: 4, runners: 3, service_ms: 5 }
    }
}

/// Where the programs of this workspace are built, seen from a test or program of the workspace.
pub fn binaries_dir() -> Result<PathBuf> {
    let own =
        std::env::current_exe().map_err(|error| Error::File("own program".to_owned(), error))?;
    let dir = own.parent().unwrap_or(Path::new("."));
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    Ok(dir.to_owned())
}

/// A deployment that runs.
pub struct Deployment {
    /// Folder with its settings, certificates, logs and time lines.
    pub dir: PathBuf,
    /// The key-value service.
    pub platform: Process,
    /// Workers, runners and the list of VMs.
    pub backends: Process,
    /// Entries, one on each VM.
    pub entries: Vec<Process>,
    /// Schedulers, one on each VM.
    pub schedulers: Vec<Process>,
    /// Where entries listen for callers.
    pub entry_addresses: Vec<SocketAddr>,
    /// Where the key-value service listens.
    pub kv_address: SocketAddr,
    /// Where workers, runners and the list of VMs listen.
    pub backends_address: SocketAddr,
    /// A caller.
    pub client: Client,
    programs: PathBuf,
}

impl Deployment {
    /// Starts a deployment in a new folder and waits until every entry is ready.
    pub fn start(name: &str, size: &Size, keys: &[TestKey]) -> Result<Self> {
        let programs = binaries_dir()?;
        let dir = programs.join("testbed").join(format!("{name}-{}", std::process::id()));
        fs::remove_dir_all(&dir).ok();
        fs::create_dir_all(&dir).map_err(|error| Error::File(dir.display().to_string(), error))?;
        let around = Surroundings { kv: free_address(), backends: free_address() };
        let platform = start_platform(&programs, &dir, around.kv)?;
        let backends = start_backends(&programs, &dir, around.backends, size)?;
        let mut deployment = Self {
            dir,
            platform,
            backends,
            entries: Vec::new(),
            schedulers: Vec::new(),
            entry_addresses: Vec::new(),
            kv_address: around.kv,
            backends_address: around.backends,
            client: Client::default(),
            programs,
        };
        deployment.wait_for_stand_ins()?;
        deployment.put_rules(0, &vandermolen_rules(&size.domains, keys))?;
        deployment.start_vms(size, around)?;
        deployment.wait_ready(READY_TIMEOUT)?;
        Ok(deployment)
    }

    fn start_vms(&mut self, size: &Size, around: Surroundings) -> Result<()> {
        let certs = self.dir.join("certs");
        create_authority(&certs)?;
        let mut listens = Vec::new();
        for _ in 0..2 * size.vms {
            listens.push(free_address());
        }
        for vm in 0..size.vms {
            let domain = &size.domains[vm % size.domains.len()];
            let http = free_address();
            self.entry_addresses.push(http);
            for (role, listen, http) in
                [("entry", listens[2 * vm], Some(http)), ("scheduler", listens[2 * vm + 1], None)]
            {
                let name = format!("{role}-{vm}");
                create_certificate(&certs, &name)?;
                let text = settings_text(
                    &name,
                    domain.as_str(),
                    listen,
                    http,
                    &listens,
                    around,
                    &self.dir,
                );
                let path = self.dir.join(format!("{name}.yaml"));
                fs::write(&path, text)
                    .map_err(|error| Error::File(path.display().to_string(), error))?;
                let process = self.start_process(&name, role)?;
                let list = if role == "entry" { &mut self.entries } else { &mut self.schedulers };
                list.push(process);
            }
        }
        Ok(())
    }

    fn start_process(&self, name: &str, role: &str) -> Result<Process> {
        let settings = self.dir.join(format!("{name}.yaml")).display().to_string();
        let args = ["--settings".to_owned(), settings];
        let program = self.programs.join(format!("carobsill-{role}"));
        Process::start(name, &program, &args, &self.dir.join(format!("{name}.log")))
    }

    /// Starts an entry again after its process has ended.
    pub fn restart_entry(&mut self, vm: usize) -> Result<()> {
        self.entries[vm] = self.start_process(&format!("entry-{vm}"), "entry")?;
        Ok(())
    }

    /// Starts a scheduler again after its process has ended.
    pub fn restart_scheduler(&mut self, vm: usize) -> Result<()> {
        self.schedulers[vm] = self.start_process(&format!("scheduler-{vm}"), "scheduler")?;
        Ok(())
    }

    fn wait_for_stand_ins(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let kv_up = self.client.get(self.kv_address, "/calls", "").is_ok();
            let backends_up = self.client.get(self.backends_address, "/truth/summary", "").is_ok();
            if kv_up && backends_up {
                return Ok(());
            }
            std::thread::sleep(POLL);
        }
        Err(Error::Unanswered("the stand-ins did not start".to_owned()))
    }

    /// Waits until every entry serves callers and every pool has an owner with runners.
    pub fn wait_ready(&self, longest: Duration) -> Result<()> {
        let ready = self.wait_until(longest, |deployment| {
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
            Err(Error::Unanswered("the deployment is not ready".to_owned()))
        }
    }

    /// Whether every pool has an owner that has attached workers and runners.
    pub fn pools_are_up(&self) -> bool {
        let Ok(status) = self.admin("status") else { return false };
        let pools = status["pools"].as_array().cloned().unwrap_or_default();
        !pools.is_empty()
            && pools.iter().all(|pool| {
                let up = |name: &str| pool[name].as_u64().unwrap_or(0) > 0;
                !pool["owner"].is_null() && up("workers_up") && up("runners_up")
            })
    }

    /// Waits until a condition holds. False if it does not within this time.
    pub fn wait_until(&self, longest: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if condition(self) {
                return true;
            }
            std::thread::sleep(POLL);
        }
        false
    }

    /// Reads a resource of the administration API from the first entry that answers.
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
        Err(Error::Unanswered("no entry answers".to_owned()))
    }

    /// Number of the VM whose scheduler owns a pool.
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
    ) -> Result<HttpAnswer> {
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
    ) -> Result<HttpAnswer> {
        let path = format!("/v1/queues/{queue}/jobs");
        self.client.post(
            self.entry_addresses[entry],
            &path,
            &key.token(),
            headers,
            &job.to_string(),
        )
    }

    /// Looks a job up through one entry.
    pub fn job(&self, entry: usize, key: &TestKey, job: &str) -> Result<serde_json::Value> {
        let answer = self.client.get(
            self.entry_addresses[entry],
            &format!("/v1/jobs/{job}"),
            &key.token(),
        )?;
        Ok(answer.json())
    }

    /// Writes the rules past the operators' command, if their version is still `expected`.
    pub fn put_rules(&self, expected: u64, text: &str) -> Result<HttpAnswer> {
        let agent = libs::ureq::Agent::new_with_defaults();
        let call = agent.put(format!("http://{}/kv/rules", self.kv_address));
        let sent = call.header("If-Match", expected.to_string()).send(text);
        let response = sent.map_err(|error| Error::Unanswered(error.to_string()))?;
        Ok(HttpAnswer {
            status: response.status().as_u16(),
            outcome: String::new(),
            request: String::new(),
            retry_after_s: None,
            body: String::new(),
        })
    }

    /// Sets faults of the key-value service.
    pub fn set_kv_faults(&self, down: bool, delay_ms: u64, lose_answers: f64) -> Result<()> {
        let faults = json!({ "down": down, "delay_ms": delay_ms, "lose_answers": lose_answers });
        let json = [("Content-Type", "application/json")];
        self.client.post(self.kv_address, "/faults", "", &json, &faults.to_string())?;
        Ok(())
    }

    /// Does something to a worker or runner: see the stand-in's control actions.
    pub fn control(&self, name: &str, action: &str) -> Result<()> {
        let body = json!({ "name": name, "action": action }).to_string();
        let json = [("Content-Type", "application/json")];
        self.client.post(self.backends_address, "/control", "", &json, &body)?;
        Ok(())
    }

    /// What really ran, in numbers.
    pub fn truth(&self) -> Result<TruthSummary> {
        let answer = self.client.get(self.backends_address, "/truth/summary", "")?;
        serde_json::from_str(&answer.body).map_err(|error| Error::Codec(error.to_string()))
    }

    /// All runs.
    pub fn runs(&self) -> Result<Vec<TruthRun>> {
        #[derive(Deserialize)]
        struct Truth {
            runs: Vec<TruthRun>,
        }
        let answer = self.client.get(self.backends_address, "/truth", "")?;
        let truth: Truth =
            serde_json::from_str(&answer.body).map_err(|error| Error::Codec(error.to_string()))?;
        Ok(truth.runs)
    }

    /// Syncs with workers so far, and the bytes of their bodies in both directions.
    pub fn worker_traffic(&self) -> Result<[u64; 2]> {
        let answer = self.client.get(self.backends_address, "/traffic", "")?.json();
        Ok(["syncs", "sync_bytes"].map(|name| answer[name].as_u64().unwrap_or(0)))
    }

    /// Calls to the key-value service so far: reads, watches and writes.
    pub fn kv_calls(&self) -> Result<[u64; 3]> {
        let answer = self.client.get(self.kv_address, "/calls", "")?.json();
        Ok(["reads", "watches", "writes"].map(|name| answer[name].as_u64().unwrap_or(0)))
    }
}

fn start_platform(programs: &Path, dir: &Path, listen: SocketAddr) -> Result<Process> {
    let args = ["platform".to_owned(), "--listen".to_owned(), listen.to_string()];
    Process::start(
        "platform",
        &programs.join("carobsill-standin"),
        &args,
        &dir.join("platform.log"),
    )
}

fn start_backends(programs: &Path, dir: &Path, listen: SocketAddr, size: &Size) -> Result<Process> {
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
        &programs.join("carobsill-standin"),
        &args,
        &dir.join("backends.log"),
    )
}
