//! HTTP server that simulates all workers and runners of a deployment and the platform's VM list.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use errors::{Error, Result};
use libs::compact_str::CompactString;
use libs::rouille::{Request, Response, Server, input};
use libs::serde_json::{self, json};
use serde::Deserialize;
use types::{DomainId, Millis, RackId, Resources, SyncRequest, Vm, VmKind};

use crate::run_log::RunLog;
use crate::runner::{ReportFormat, Runner};
use crate::worker::Worker;

/// Threads of the HTTP server beyond those for the slots of runners and for workers: calls of other
/// kinds, and connections that are idle.
const SPARE_THREADS: usize = 96;
/// Interval at which workers process ended tasks and expired leases.
const ADVANCE_INTERVAL_MS: u64 = 10;
/// Maximum size of a run request's body.
const MAX_BODY_BYTES: u64 = 4 << 20;
/// How long a muted back end holds a call before it answers 504.
const MUTED_RESPONSE_DELAY_MS: u64 = 3_000;

/// Address, number and capacity of the simulated back ends.
#[derive(Debug, Clone)]
pub struct BackendsSettings {
    /// Address the HTTP server listens on.
    pub listen: SocketAddr,
    /// Failure domains; each gets the same number of workers and runners.
    pub domains: Vec<DomainId>,
    /// Number of workers per failure domain.
    pub workers: usize,
    /// Capacity of each worker; `accel_every` decides its accelerators.
    pub capacity: Resources,
    /// Every n-th worker of a failure domain has accelerators; 0 for none.
    pub accel_every: usize,
    /// Number of workers or runners per rack.
    pub rack_size: usize,
    /// Number of runners per failure domain.
    pub runners: usize,
    /// Number of slots per runner.
    pub slots: u32,
    /// Time a runner takes for a request whose body does not set `work_ms`.
    pub service_ms: u64,
}

impl BackendsSettings {
    /// Size of the HTTP server's thread pool. Each request that runs on a runner blocks one thread, as
    /// does each call that a worker or a muted back end holds.
    fn http_threads(&self) -> usize {
        let of_domain = self.runners * self.slots as usize + self.workers;
        self.domains.len() * of_domain + SPARE_THREADS
    }
}

struct BackendsServer {
    settings: BackendsSettings,
    started_at: Instant,
    workers: BTreeMap<String, Mutex<Worker>>,
    runners: BTreeMap<String, Runner>,
    vms: Mutex<Vec<Vm>>,
    muted: Mutex<BTreeSet<String>>,
    run_log: Arc<RunLog>,
    /// Number of worker syncs answered since the start.
    syncs: AtomicU64,
    /// Total size of the bodies of these syncs, requests and responses.
    sync_bytes: AtomicU64,
}

/// Body of `POST /control`: applies an action to one back end.
#[derive(Debug, Deserialize)]
struct ControlRequest {
    name: String,
    action: ControlAction,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ControlAction {
    /// Drops all running work, as in a power cut, and starts with a new incarnation.
    Restart,
    /// Fails every task that starts from now on (workers only).
    Fail,
    /// Stops answering: calls get 504 after a delay.
    Mute,
    /// Answers normally again.
    Unmute,
    /// Marks the VM as leaving in the VM list.
    Leave,
    /// Removes the VM from the VM list.
    Unlist,
    /// Cuts off the bodies of responses (runners only).
    Truncate,
}

/// Runs the server until the process ends.
pub fn serve_backends(settings: BackendsSettings) -> Result<()> {
    let listen = settings.listen;
    let http_threads = settings.http_threads();
    let server_state = Arc::new(BackendsServer::new(settings));
    let ticker = server_state.clone();
    thread::spawn(move || ticker.run_workers());
    let server = Server::new(listen, move |request| server_state.handle(request))
        .map_err(|error| Error::Network(format!("cannot listen on {listen}: {error}")))?
        .pool_size(http_threads);
    server.run();
    Ok(())
}

impl BackendsServer {
    fn new(settings: BackendsSettings) -> Self {
        let run_log = Arc::new(RunLog::default());
        let mut server = Self {
            started_at: Instant::now(),
            workers: BTreeMap::new(),
            runners: BTreeMap::new(),
            vms: Mutex::default(),
            muted: Mutex::default(),
            run_log,
            syncs: AtomicU64::new(0),
            sync_bytes: AtomicU64::new(0),
            settings,
        };
        for domain in server.settings.domains.clone() {
            for index in 0..server.settings.workers {
                server.add_worker(&domain, index);
            }
            for index in 0..server.settings.runners {
                server.add_runner(&domain, index);
            }
        }
        server
    }

    fn add_worker(&mut self, domain: &DomainId, index: usize) {
        let name = format!("{domain}-w{index:04}");
        let mut capacity = self.settings.capacity;
        let has_accelerators =
            self.settings.accel_every > 0 && index.is_multiple_of(self.settings.accel_every);
        capacity.accels = if has_accelerators { 4 } else { 0 };
        let rack = rack_id(domain, index / self.settings.rack_size.max(1));
        let worker = Worker::new(name.clone(), capacity, 1, self.run_log.clone());
        self.workers.insert(name.clone(), Mutex::new(worker));
        self.add_vm(VmKind::Worker, &name, domain, rack, "w", "", capacity);
    }

    fn add_runner(&mut self, domain: &DomainId, index: usize) {
        let name = format!("{domain}-r{index:04}");
        let (vendor, format) = match index % 3 {
            0 => ("acme", ReportFormat::Json),
            1 => ("bolt", ReportFormat::Text),
            _ => ("corvid", ReportFormat::Headers),
        };
        let (slots, service_ms) = (self.settings.slots, self.settings.service_ms);
        let runner = Runner::new(name.clone(), format, slots, service_ms, 1, self.run_log.clone());
        self.runners.insert(name.clone(), runner);
        let rack = rack_id(domain, index / self.settings.rack_size.max(1));
        self.add_vm(VmKind::Runner, &name, domain, rack, "r", vendor, Resources::ZERO);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one entry of the VM list")]
    fn add_vm(
        &self,
        kind: VmKind,
        name: &str,
        domain: &DomainId,
        rack: RackId,
        prefix: &str,
        vendor: &str,
        capacity: Resources,
    ) {
        let vm = Vm {
            name: CompactString::new(name),
            kind,
            domain: domain.clone(),
            rack,
            url: CompactString::from(format!("http://{}/{prefix}/{name}", self.settings.listen)),
            vendor: CompactString::new(vendor),
            capacity,
            leaving: false,
        };
        self.vms.lock().unwrap_or_else(PoisonError::into_inner).push(vm);
    }

    fn now(&self) -> Millis {
        Millis(u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX) + 1)
    }

    fn run_workers(&self) {
        loop {
            let now = self.now();
            for worker in self.workers.values() {
                worker.lock().unwrap_or_else(PoisonError::into_inner).advance(now);
            }
            thread::sleep(Duration::from_millis(ADVANCE_INTERVAL_MS));
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let url = request.url();
        let parts: Vec<&str> = url.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["vms"] => Response::json(&*self.vms.lock().unwrap_or_else(PoisonError::into_inner)),
            ["truth"] => self.run_log_response(),
            ["truth", "summary"] => self.run_summary_response(),
            ["traffic"] => Response::json(&json!({
                "syncs": self.syncs.load(Ordering::Relaxed),
                "sync_bytes": self.sync_bytes.load(Ordering::Relaxed),
            })),
            ["control"] => self.control(request),
            ["w", name, "sync"] => {
                self.respond_unless_muted(name, || self.sync_worker(name, request))
            }
            ["r", name, "state"] => {
                self.respond_unless_muted(name, || self.runner_state(name, request))
            }
            ["r", name, "run"] => {
                self.respond_unless_muted(name, || self.run_request(name, request))
            }
            _ => Response::empty_404(),
        }
    }

    fn respond_unless_muted(&self, name: &str, respond: impl FnOnce() -> Response) -> Response {
        let is_muted = |server: &Self| {
            server.muted.lock().unwrap_or_else(PoisonError::into_inner).contains(name)
        };
        if is_muted(self) {
            thread::sleep(Duration::from_millis(MUTED_RESPONSE_DELAY_MS));
            return Response::text("muted").with_status_code(504);
        }
        let response = respond();
        if is_muted(self) {
            thread::sleep(Duration::from_millis(MUTED_RESPONSE_DELAY_MS));
            return Response::text("muted").with_status_code(504);
        }
        response
    }

    fn sync_worker(&self, name: &str, request: &Request) -> Response {
        let Some(worker) = self.workers.get(name) else { return Response::empty_404() };
        let Ok(sync) = input::json_input::<SyncRequest>(request) else {
            return Response::empty_400();
        };
        let mut worker = worker.lock().unwrap_or_else(PoisonError::into_inner);
        match worker.sync(self.now(), &sync) {
            Some(answer) => {
                let body = serde_json::to_vec(&answer).unwrap_or_default();
                let request_bytes: u64 = request
                    .header("Content-Length")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                self.syncs.fetch_add(1, Ordering::Relaxed);
                self.sync_bytes.fetch_add(request_bytes + body.len() as u64, Ordering::Relaxed);
                Response::from_data("application/json", body)
            }
            None => Response::text("stale epoch").with_status_code(409),
        }
    }

    fn runner_state(&self, name: &str, request: &Request) -> Response {
        self.runners
            .get(name)
            .map_or_else(Response::empty_404, |runner| runner.report(self.now(), request))
    }

    fn run_request(&self, name: &str, request: &Request) -> Response {
        let Some(runner) = self.runners.get(name) else { return Response::empty_404() };
        let Some(body) = request.data() else { return Response::empty_400() };
        let mut text = String::new();
        if body.take(MAX_BODY_BYTES).read_to_string(&mut text).is_err() {
            return Response::empty_400();
        }
        runner.run(&|| self.now(), request, &text)
    }

    fn run_log_response(&self) -> Response {
        Response::json(
            &json!({ "runs": self.run_log.runs(), "overfilled": self.run_log.overcommits() }),
        )
    }

    fn run_summary_response(&self) -> Response {
        let runs = self.run_log.runs();
        Response::json(&json!({
            "runs": runs.len(),
            "completed": runs.iter().filter(|run| run.completed).count(),
            "running": runs.iter().filter(|run| run.ended_ms.is_none()).count(),
            "doubled": self.run_log.overlapping_ids(),
            "overfilled": self.run_log.overcommits(),
        }))
    }

    fn control(&self, request: &Request) -> Response {
        let Ok(control) = input::json_input::<ControlRequest>(request) else {
            return Response::empty_400();
        };
        self.apply_control(&control.name, control.action);
        Response::text("ok")
    }

    fn apply_control(&self, name: &str, action: ControlAction) {
        let mut muted = self.muted.lock().unwrap_or_else(PoisonError::into_inner);
        match action {
            ControlAction::Mute => {
                muted.insert(name.to_owned());
            }
            ControlAction::Unmute => {
                muted.remove(name);
            }
            ControlAction::Leave | ControlAction::Unlist => self.change_vm_list(name, action),
            ControlAction::Restart | ControlAction::Fail | ControlAction::Truncate => {
                self.change_backend(name, action)
            }
        }
    }

    fn change_vm_list(&self, name: &str, action: ControlAction) {
        let mut vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        if matches!(action, ControlAction::Unlist) {
            vms.retain(|vm| vm.name != name);
        } else if let Some(vm) = vms.iter_mut().find(|vm| vm.name == name) {
            vm.leaving = true;
        }
        if let Some(runner) = self.runners.get(name) {
            runner.set_leaving(true);
        }
    }

    fn change_backend(&self, name: &str, action: ControlAction) {
        if let Some(worker) = self.workers.get(name) {
            let mut worker = worker.lock().unwrap_or_else(PoisonError::into_inner);
            match action {
                ControlAction::Restart => worker.restart(self.now()),
                _ => worker.fails_all_tasks = true,
            }
        }
        if let Some(runner) = self.runners.get(name) {
            match action {
                ControlAction::Restart => runner.restart(self.now()),
                ControlAction::Truncate => runner.set_truncates(true),
                _ => {}
            }
        }
    }
}

fn rack_id(domain: &DomainId, rack: usize) -> RackId {
    format!("{domain}-rack{rack}").parse().unwrap_or_default()
}
