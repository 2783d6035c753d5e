//! A small deployment: the store, three processes, and the calls of a consumer and of the operator.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::nodes::{MEMORY_MB, Node};
use crate::record::Record;
use crate::runner::{Runner, SERVICE, World};
use crate::store::Store;

const NODES: usize = 3;
const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const KEY: &str = "6x73d3zji9n73hh2b9wu";
/// `Deadline-Ms` of the consumers.
const PATIENCE: Duration = Duration::from_millis(3_000);
const PROGRAM: &str = "target/release/carobsill-node";

pub struct Site {
    pub world: Arc<World>,
    nodes: Arc<Mutex<Vec<Node>>>,
    callers: Vec<std::net::SocketAddr>,
    work: PathBuf,
}

impl Site {
    pub fn start(folder: &Path) -> Result<Self, String> {
        let program = PathBuf::from(PROGRAM);
        if !program.exists() {
            return Err(format!("{PROGRAM} is not built"));
        }
        let record = Arc::new(Record::new(&folder.join("record.txt")));
        let work = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&work).map_err(|error| error.to_string())?;
        let store = Arc::new(Store::default());
        let address = store.serve();
        store.put("op/config", &configuration());
        let mut nodes: Vec<Node> = (1..=NODES).map(|number| Node::new(&work, number, address)).collect();
        for node in &mut nodes {
            record.line(&format!("node    {} starts, callers at {}", node.name, node.callers));
            node.start(&program);
        }
        let callers = nodes.iter().map(|node| node.callers).collect();
        let ready: Vec<_> = nodes.iter().map(|node| node.ready).collect();
        let world = World::new(store, record);
        let site = Self { world, nodes: Arc::new(Mutex::new(nodes)), callers, work };
        for address in ready {
            let is_ready = || {
                let path = "/v1/readiness";
                http::call(address, "GET", path, &[], "", Duration::from_millis(500)).is_some_and(|one| one.0 == 200)
            };
            if !site.wait(15_000, is_ready) {
                site.end();
                return Err("a process isn't ready after 15 s".to_owned());
            }
        }
        Ok(site)
    }

    pub fn processes(&self) -> Arc<Mutex<Vec<Node>>> {
        self.nodes.clone()
    }

    /// Does as the platform does: ends a process that is over its memory, and starts it again 1 s later.
    /// Returns how many it has ended.
    pub fn limit_memory(&self) -> Arc<AtomicU32> {
        let (nodes, world) = (self.nodes.clone(), self.world.clone());
        let ended = Arc::new(AtomicU32::new(0));
        let count = ended.clone();
        thread::spawn(move || {
            let mut down: Vec<(usize, u64)> = Vec::new();
            loop {
                thread::sleep(Duration::from_millis(20));
                let now = world.record.now_ms();
                let mut nodes = nodes.lock().expect("the processes");
                for (number, node) in nodes.iter_mut().enumerate() {
                    let memory_mb = node.memory_mb();
                    if memory_mb > MEMORY_MB {
                        node.kill();
                        count.fetch_add(1, Ordering::Relaxed);
                        world.record.line(&format!("node    {} is ended: it uses {memory_mb} of {MEMORY_MB} MB", node.name));
                        down.push((number, now + 1_000));
                    }
                }
                for (number, _) in down.extract_if(.., |(_, until)| now >= *until) {
                    if let Some(node) = nodes.get_mut(number) {
                        world.record.line(&format!("node    {} starts again", node.name));
                        node.start(Path::new(PROGRAM));
                    }
                }
            }
        });
        ended
    }

    /// Ends the processes.
    pub fn end(&self) {
        let mut nodes = self.nodes.lock().expect("the processes");
        if let Some(folder) = std::env::var_os("REVIEW_LOGS") {
            for node in nodes.iter() {
                fs::write(Path::new(&folder).join(format!("{}.log", node.name)), node.log()).ok();
            }
        }
        nodes.clear();
        fs::remove_dir_all(&self.work).ok();
    }

    pub fn sleep(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    /// Waits until something holds. Returns whether it does.
    pub fn wait(&self, ms: u64, holds: impl Fn() -> bool) -> bool {
        let until = self.world.record.now_ms() + ms;
        while !holds() {
            if self.world.record.now_ms() > until {
                return false;
            }
            self.sleep(20);
        }
        true
    }

    fn call(&self, node: usize, method: &str, id: &str, body: &str) -> Option<http::Response> {
        let patience = PATIENCE.as_millis().to_string();
        let headers = [("Host", HOST), ("Credential", KEY), ("Deadline-Ms", &patience)];
        let address = self.callers[node % self.callers.len()];
        let answer = http::call(address, method, &format!("{PREFIX}{id}"), &headers, body, PATIENCE);
        let text = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.world.record.line(&format!("caller  {method} {id} {body} at frontend-{}: {text}", node % self.callers.len() + 1));
        answer
    }

    /// Hands a job in, with four retries. Returns whether it was accepted.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        (0..5).any(|attempt| {
            let node = usize::from(id.as_bytes()[id.len() - 1]) + attempt;
            let accepted = self.call(node, "POST", id, body).is_some_and(|one| one.0 / 100 == 2);
            if !accepted {
                self.sleep(300);
            }
            accepted
        })
    }

    /// State of a job, as a process shows it.
    pub fn state(&self, node: usize, id: &str) -> String {
        let (status, body) = self.call(node, "GET", id, "").unwrap_or((0, String::new()));
        let body = crate::json::Json::parse(body.as_bytes()).unwrap_or(crate::json::Json::Null);
        if status == 200 { body.get("state").text().to_owned() } else { status.to_string() }
    }

    pub fn runner(&self, number: usize, label: &str, gpu: u64) -> Arc<Runner> {
        let rack = format!("r1-{}", number / 4);
        Runner::start(&self.world, &format!("i-7f3a91c{number}"), label, &rack, [32_000, 65_536, gpu])
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-cpihhac\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":3,\"targetFactor\":1.5,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\
         \"tls\":false,\"enforceCapacity\":false,\"standby\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"weight\":50,\
         \"maxCount\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}]}}"
    )
}
