//! A small deployment: processes of the system, the store, and runners.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Server, call};
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Kind, Runner, Runs};
use crate::store::Store;

pub const SERVICE: &str = "desk";
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/jobs/";
pub const KEY: &str = "key-of-farm";
/// How long consumers wait for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Sends a signal to a process that was started here.
fn signal(pid: u32, number: i32) {
    if let Ok(pid) = i32::try_from(pid) {
        // SAFETY: the call takes two numbers and touches no memory of this process.
        unsafe { kill(pid, number) };
    }
}

/// Ends all processes that this one has started.
pub fn end_all_processes() {
    STARTED.lock().unwrap().iter().for_each(|pid| signal(*pid, SIGKILL));
}

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Node {
    pub fn start(&self) {
        let log = std::fs::File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new(&self.program)
            .env_clear()
            .env("CAROBSILL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        STARTED.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Stops the process, as if its machine gave it no time.
    pub fn pause(&self) {
        self.pid().inspect(|pid| signal(*pid, SIGSTOP));
    }

    pub fn resume(&self) {
        self.pid().inspect(|pid| signal(*pid, SIGCONT));
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            child.kill().ok();
            child.wait().ok();
            STARTED.lock().unwrap().retain(|started| *started != child.id());
        }
    }

    /// What the process wrote.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn has_logged(&self, text: &str) -> bool {
        self.log().contains(text)
    }
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub runs: Arc<Runs>,
    _store: Arc<Store>,
    pub nodes: Vec<Arc<Node>>,
    pub runners: Vec<Arc<Runner>>,
    _store_server: Arc<Server>,
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, priority: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"non_idempotent\",\
         \"timeoutMs\":3000,\"targetLatencyMs\":2500,\"priority\":{priority},\"service\":\"{SERVICE}\",\
         \"maxAttempts\":4,\"targetFactor\":2.2,\"public\":false}}"
    )
}

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"enforceCapacity\":false,\
         \"standby\":false}}],\"limits\":{{}},\"tenants\":[{{\"name\":\"farm\",\"apiKeys\":[\"{KEY}\"],\
         \"weight\":100,\"maxCount\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}]}}",
        route("q", PREFIX, 0)
    )
}

impl Deployment {
    /// Starts everything, and waits until each process is ready.
    pub fn start(root: &Path, folder: &Path, nodes: usize, kinds: Vec<Kind>) -> Deployment {
        let record = Record::new();
        let store = Store::new();
        let runs = Arc::new(Runs::default());
        store.write("op/config", &configuration());
        let serving = store.clone();
        let store_server = Server::new(move |request| serving.answer(&request));
        let zones = ["zone-a", "zone-b", "zone-c"];
        let nodes: Vec<Arc<Node>> = (0..nodes)
            .map(|number| {
                let name = format!("frontend-{number}");
                let settings = folder.join(format!("{name}.yaml"));
                let callers = http::free_address();
                // The fields of deploy/settings.yaml.
                let text = format!(
                    "name: \"{name}\"\ndomain: \"{}\"\ncallers_address: \"{callers}\"\n\
                     readiness_address: \"{}\"\npeer_address: \"{}\"\nmetrics_address: \"{}\"\n\
                     store_address: \"{}\"\nprocessor_share: 0.25\nmin_store_lease_ms: 1000\n\
                     cancel_ms: 3000\nmax_worker_lease_ms: 6000\nkeep_ended_s: 120\n",
                    zones[number % 3],
                    http::free_address(),
                    http::free_address(),
                    http::free_address(),
                    store_server.address,
                );
                std::fs::write(&settings, text).expect("settings are written");
                Arc::new(Node {
                    callers,
                    settings,
                    program: root.join("target/release/carobsill-node"),
                    log: folder.join(format!("{name}.log")),
                    child: Mutex::new(None),
                    name,
                })
            })
            .collect();
        let runners =
            kinds.into_iter().map(|kind| Runner::new(kind, &store, &record, &runs)).collect();
        let deployment =
            Deployment { record, runs, _store: store, nodes, runners, _store_server: store_server };
        deployment.nodes.iter().for_each(|node| node.start());
        deployment.wait_until("a leader with all runners", 15, || {
            deployment.leader().is_some_and(|leader| {
                let attached = leader.log().matches("\"worker.attached\"").count();
                attached >= deployment.runners.len()
            })
        });
        deployment
    }

    pub fn wait_until(&self, what: &str, limit_s: u64, holds: impl Fn() -> bool) {
        let until = Instant::now() + Duration::from_secs(limit_s);
        while !holds() {
            if Instant::now() > until {
                self.record.note(format!("gave up waiting for {what}"));
                cannot_run(what);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The process that was elected last, if it runs, by the logs of all.
    pub fn leader(&self) -> Option<&Arc<Node>> {
        let last_epoch = |node: &Node| {
            let log = node.log();
            let lines = log.lines().filter(|line| line.contains("\"leader.elected\""));
            lines.filter_map(|line| Json::parse(line).map(|line| line.get("epoch").whole())).max()
        };
        let newest = self.nodes.iter().max_by_key(|node| last_epoch(node))?;
        last_epoch(newest)?;
        newest.pid().map(|_| newest)
    }

    /// Sends a consumer's request to a process, and notes it with its answer.
    pub fn request(
        &self,
        node: &Node,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers = [("Host", HOST), ("Credential", KEY), ("Deadline-Ms", "3000")];
        let answer = call(node.callers, method, path, &headers, body, CALLER_TIMEOUT);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.note(format!("consumer: {method} {path} at {}: {shown}", node.name));
        answer
    }

    /// Submits a job until a process says 2xx.
    pub fn submit(&self, id: &str, body: &str) -> u64 {
        let path = format!("{PREFIX}{id}");
        for attempt in 0..20usize {
            let node = &self.nodes[attempt % self.nodes.len()];
            if node.pid().is_some()
                && let Some((200..=299, _)) = self.request(node, "POST", &path, body)
            {
                return self.record.now_ms();
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        cannot_run("a job is accepted")
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.iter().for_each(|node| node.kill());
    }
}

/// Ends the script, since the case could not run. Processes are ended by the caller's handler.
pub fn cannot_run(what: &str) -> ! {
    std::panic::panic_any(format!("the case could not run: {what}"))
}
