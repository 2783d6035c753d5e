//! Serves workers, runners and the list of VMs, many in one process.

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

use crate::runner::{Runner, RunnerForm};
use crate::truth::Truth;
use crate::worker::Worker;

/// Threads that answer. Each request that a runner works on holds one.
const THREADS: usize = 768;
/// Period at which workers see that tasks end and leases run out.
const ADVANCE_MS: u64 = 10;
/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 4 << 20;
/// Time for which a muted back end holds a call before it drops it.
const MUTE_HOLD_MS: u64 = 3_000;

/// What to serve.
#[derive(Debug, Clone)]
pub struct BackendsSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Failure domains.
    pub domains: Vec<DomainId>,
    /// Workers in each failure domain.
    pub workers: usize,
    /// What each worker has.
    pub capacity: Resources,
    /// Every so many workers have accelerators; zero for none.
    pub accel_every: usize,
    /// Workers in a rack.
    pub rack_size: usize,
    /// Runners in each failure domain.
    pub runners: usize,
    /// Slots of each runner.
    pub slots: u32,
    /// Time that a runner works on a request.
    pub service_ms: u64,
}

struct World {
    settings: BackendsSettings,
    started: Instant,
    workers: BTreeMap<String, Mutex<Worker>>,
    runners: BTreeMap<String, Runner>,
    vms: Mutex<Vec<Vm>>,
    muted: Mutex<BTreeSet<String>>,
    truth: Arc<Truth>,
    /// Syncs with workers so far.
    syncs: AtomicU64,
    /// Bytes of their bodies, in both directions.
    sync_bytes: AtomicU64,
}

/// A change asked for by a test.
#[derive(Debug, Deserialize)]
struct Control {
    name: String,
    action: Action,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Action {
    /// Loses everything and starts again.
    Restart,
    /// Fails every task.
    Fail,
    /// Answers no more.
    Mute,
    /// Answers again.
    Unmute,
    /// Is listed as leaving.
    Leave,
    /// Is no longer listed.
    Unlist,
    /// Cuts off answers.
    Truncate,
}

/// Serves until the process ends.
pub fn serve_backends(settings: BackendsSettings) -> Result<()> {
    let listen = settings.listen;
    let world = Arc::new(World::new(settings));
    let advancing = world.clone();
    thread::spawn(move || advancing.advance_forever());
    let server = Server::new(listen, move |request| world.handle(request))
        .map_err(|error| Error::Net(format!("cannot listen on {listen}: {error}")))?
        .pool_size(THREADS);
    server.run();
    Ok(())
}

impl World {
    fn new(settings: BackendsSettings) -> Self {
        let truth = Arc::new(Truth::default());
        let mut world = Self {
            started: Instant::now(),
            workers: BTreeMap::new(),
            runners: BTreeMap::new(),
            vms: Mutex::default(),
            muted: Mutex::default(),
            truth,
            syncs: AtomicU64::new(0),
            sync_bytes: AtomicU64::new(0),
            settings,
        };
        for domain in world.settings.domains.clone() {
            for index in 0..world.settings.workers {
                world.add_worker(&domain, index);
            }
            for index in 0..world.settings.runners {
                world.add_runner(&domain, index);
            }
        }
        world
    }

    fn add_worker(&mut self, domain: &DomainId, index: usize) {
        let name = format!("{domain}-w{index:04}");
        let mut capacity = self.settings.capacity;
        let has_accels =
            self.settings.accel_every > 0 && index.is_multiple_of(self.settings.accel_every);
        capacity.accels = if has_accels { 4 } else { 0 };
        let rack = rack_of(domain, index / self.settings.rack_size.max(1));
        let worker = Worker::new(name.clone(), capacity, 1, self.truth.clone());
        self.workers.insert(name.clone(), Mutex::new(worker));
        self.list(VmKind::Worker, &name, domain, rack, "w", "", capacity);
    }

    fn add_runner(&mut self, domain: &DomainId, index: usize) {
        let name = format!("{domain}-r{index:04}");
        let (vendor, form) = match index % 3 {
            0 => ("acme", RunnerForm::Json),
            1 => ("bolt", RunnerForm::Text),
            _ => ("corvid", RunnerForm::Headers),
        };
        let (slots, service_ms) = (self.settings.slots, self.settings.service_ms);
        let runner = Runner::new(name.clone(), form, slots, service_ms, 1, self.truth.clone());
        self.runners.insert(name.clone(), runner);
        let rack = rack_of(domain, index / self.settings.rack_size.max(1));
        self.list(VmKind::Runner, &name, domain, rack, "r", vendor, Resources::ZERO);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one list entry")]
    fn list(
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
        Millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX) + 1)
    }

    fn advance_forever(&self) {
        loop {
            let now = self.now();
            for worker in self.workers.values() {
                worker.lock().unwrap_or_else(PoisonError::into_inner).advance(now);
            }
            thread::sleep(Duration::from_millis(ADVANCE_MS));
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let url = request.url();
        let parts: Vec<&str> = url.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["vms"] => Response::json(&*self.vms.lock().unwrap_or_else(PoisonError::into_inner)),
            ["truth"] => self.tell_truth(),
            ["truth", "summary"] => self.summarize_truth(),
            ["traffic"] => Response::json(&json!({
                "syncs": self.syncs.load(Ordering::Relaxed),
                "sync_bytes": self.sync_bytes.load(Ordering::Relaxed),
            })),
            ["control"] => self.control(request),
            ["w", name, "sync"] => {
                self.answer_unless_muted(name, || self.sync_worker(name, request))
            }
            ["r", name, "state"] => {
                self.answer_unless_muted(name, || self.report_runner(name, request))
            }
            ["r", name, "run"] => {
                self.answer_unless_muted(name, || self.run_request(name, request))
            }
            _ => Response::empty_404(),
        }
    }

    fn answer_unless_muted(&self, name: &str, answer: impl FnOnce() -> Response) -> Response {
        let is_muted = |world: &Self| {
            world.muted.lock().unwrap_or_else(PoisonError::into_inner).contains(name)
        };
        if is_muted(self) {
            thread::sleep(Duration::from_millis(MUTE_HOLD_MS));
            return Response::text("muted").with_status_code(504);
        }
        let response = answer();
        if is_muted(self) {
            thread::sleep(Duration::from_millis(MUTE_HOLD_MS));
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
                let sent: u64 = request
                    .header("Content-Length")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                self.syncs.fetch_add(1, Ordering::Relaxed);
                self.sync_bytes.fetch_add(sent + body.len() as u64, Ordering::Relaxed);
                Response::from_data("application/json", body)
            }
            None => Response::text("stale epoch").with_status_code(409),
        }
    }

    fn report_runner(&self, name: &str, request: &Request) -> Response {
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

    fn tell_truth(&self) -> Response {
        Response::json(&json!({ "runs": self.truth.runs(), "overfilled": self.truth.overfills() }))
    }

    fn summarize_truth(&self) -> Response {
        let runs = self.truth.runs();
        Response::json(&json!({
            "runs": runs.len(),
            "completed": runs.iter().filter(|run| run.completed).count(),
            "running": runs.iter().filter(|run| run.ended_ms.is_none()).count(),
            "doubled": self.truth.doubled(),
            "overfilled": self.truth.overfills(),
        }))
    }

    fn control(&self, request: &Request) -> Response {
        let Ok(control) = input::json_input::<Control>(request) else {
            return Response::empty_400();
        };
        self.apply_control(&control.name, control.action);
        Response::text("ok")
    }

    fn apply_control(&self, name: &str, action: Action) {
        let mut muted = self.muted.lock().unwrap_or_else(PoisonError::into_inner);
        match action {
            Action::Mute => {
                muted.insert(name.to_owned());
            }
            Action::Unmute => {
                muted.remove(name);
            }
            Action::Leave | Action::Unlist => self.change_listing(name, action),
            Action::Restart | Action::Fail | Action::Truncate => self.change_backend(name, action),
        }
    }

    fn change_listing(&self, name: &str, action: Action) {
        let mut vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        if matches!(action, Action::Unlist) {
            vms.retain(|vm| vm.name != name);
        } else if let Some(vm) = vms.iter_mut().find(|vm| vm.name == name) {
            vm.leaving = true;
        }
        if let Some(runner) = self.runners.get(name) {
            runner.set_leaving(true);
        }
    }

    fn change_backend(&self, name: &str, action: Action) {
        if let Some(worker) = self.workers.get(name) {
            let mut worker = worker.lock().unwrap_or_else(PoisonError::into_inner);
            match action {
                Action::Restart => worker.restart(self.now()),
                _ => worker.fails_everything = true,
            }
        }
        if let Some(runner) = self.runners.get(name) {
            match action {
                Action::Restart => runner.restart(self.now()),
                Action::Truncate => runner.set_truncates(true),
                _ => {}
            }
        }
    }
}

fn rack_of(domain: &DomainId, index: usize) -> RackId {
    format!("{domain}-rack{index}").parse().unwrap_or_default()
}
