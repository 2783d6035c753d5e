//! Stand-in of a runner. It does what its orders say, as the platform's pages tell, and can lose power and
//! start again under its id.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const MAX_HOLD_MS: u64 = 6_000;
/// Time that a stop takes; at most `stopTimeoutMs`, which is 900.
const STOP: Duration = Duration::from_millis(100);
/// Start-up of a task that lasts.
const STARTUP: Duration = Duration::from_millis(300);

/// What a runner is.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// One run of a task, as the runner saw it.
#[derive(Debug, Clone)]
pub struct RunLog {
    pub task: String,
    pub runner: String,
    pub began_ms: u64,
    /// End and how; none while it runs.
    pub end: Option<(u64, &'static str)>,
    /// When `ackSeq` reached its end.
    pub acked_ms: Option<u64>,
    /// Labels of the runner in that life.
    pub labels: Vec<String>,
}

/// All runs of a deployment.
#[derive(Default)]
pub struct Runs(Mutex<Vec<RunLog>>);

impl Runs {
    pub fn all(&self) -> Vec<RunLog> {
        self.0.lock().unwrap().clone()
    }

    fn begin(&self, run: RunLog) -> usize {
        let mut runs = self.0.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }
}

struct Active {
    attempt: u64,
    began: Instant,
    /// None for a task that lasts.
    work: Option<Duration>,
    stops_at: Option<Instant>,
    log: usize,
}

struct Ended {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    log: usize,
}

/// State of one boot.
struct Boot {
    began: Instant,
    labels: Vec<String>,
    born_ms: u64,
    fence: u64,
    lease_until: Option<Instant>,
    active: BTreeMap<String, Active>,
    finished: Vec<Ended>,
    next_number: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    sequence: u64,
}

pub struct Runner {
    pub kind: Kind,
    pub address: SocketAddr,
    server: Mutex<Option<Arc<Server>>>,
    boot: Mutex<Option<Boot>>,
    ended: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Arc<Runs>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// A text such as `work=5000` takes 5 s; `work=lasts` lasts.
fn work_of(spec: &str) -> Option<Duration> {
    let value = spec.split(';').find_map(|part| part.strip_prefix("work="))?;
    value.parse().ok().map(Duration::from_millis)
}

impl Boot {
    fn clock_ms(&self, at: Instant) -> u64 {
        at.duration_since(self.began).as_millis() as u64
    }

    fn set_deadline(&mut self, deadline_ms: u64, now: Instant) {
        let most = self.clock_ms(now) + MAX_HOLD_MS;
        let until = self.began + Duration::from_millis(deadline_ms.min(most));
        self.lease_until = Some(self.lease_until.map_or(until, |old| old.max(until)));
    }
}

impl Runner {
    pub fn new(
        kind: Kind,
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Runs>,
    ) -> Arc<Runner> {
        let runner = Arc::new_cyclic(|this: &std::sync::Weak<Runner>| {
            let this = this.clone();
            let server = Server::new(move |request| match this.upgrade() {
                Some(runner) => runner.answer(&request),
                None => Reply::Close,
            });
            Runner {
                kind,
                address: server.address,
                server: Mutex::new(Some(server)),
                boot: Mutex::new(None),
                ended: Condvar::new(),
                store: store.clone(),
                record: record.clone(),
                runs: runs.clone(),
            }
        });
        runner.boot(runner.kind.labels.clone());
        let ticking = Arc::downgrade(&runner);
        std::thread::spawn(move || {
            let mut beat = Instant::now();
            while let Some(runner) = ticking.upgrade() {
                runner.tick(Instant::now());
                if Instant::now() >= beat {
                    beat += HEARTBEAT;
                    runner.report();
                }
                drop(runner);
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        runner
    }

    fn boot(&self, labels: Vec<String>) {
        *self.boot.lock().unwrap() = Some(Boot {
            labels,
            began: Instant::now(),
            born_ms: unix_ms(),
            fence: 0,
            lease_until: None,
            active: BTreeMap::new(),
            finished: Vec::new(),
            next_number: 1,
            closed: BTreeMap::new(),
            sequence: 0,
        });
        self.report();
    }

    /// The machine loses power: all that the runner knew is gone, and callers get no answer.
    pub fn lose_power(&self) {
        self.record.note(format!("runner {} loses power", self.kind.id));
        if let Some(server) = &*self.server.lock().unwrap() {
            server.go_dark();
        }
        if let Some(boot) = self.boot.lock().unwrap().take() {
            for (task, active) in &boot.active {
                self.log_end(task, active.attempt, active.log, "lost with its runner");
            }
        }
        self.ended.notify_all();
    }

    /// The power is back, and the runner starts with other labels. It has written its entry by then.
    pub fn regain_power(&self, labels: Vec<String>) {
        self.record.note(format!(
            "runner {} is back with labels {}",
            self.kind.id,
            labels.join(", ")
        ));
        let server = self.server.lock().unwrap();
        let Some(server) = &*server else { return };
        server.abandon();
        self.boot(labels);
        server.start();
    }

    fn report(&self) {
        let mut boot = self.boot.lock().unwrap();
        let Some(boot) = boot.as_mut() else { return };
        boot.sequence += 1;
        let Kind { id, service, zone, cpu, mem_mb, .. } = &self.kind;
        let labels: Vec<String> = boot.labels.iter().map(|label| quote(label)).collect();
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{cpu},\"memMb\":{mem_mb},\"gpu\":0}},\"labels\":[{}],\
             \"machine\":{},\"born\":{},\"clockMs\":{},\"sequence\":{}}}",
            quote(service),
            self.address,
            quote(zone),
            labels.join(","),
            quote(&format!("m-{id}")),
            boot.born_ms,
            boot.clock_ms(Instant::now()),
            boot.sequence
        );
        self.store.write(&format!("servers/{id}"), &entry);
    }

    fn log_end(&self, task: &str, attempt: u64, log: usize, how: &'static str) {
        let now_ms = self.record.now_ms();
        if let Some(run) = self.runs.0.lock().unwrap().get_mut(log) {
            run.end = Some((now_ms, how));
        }
        self.record.note(format!("runner {}: {task} run {attempt} ends: {how}", self.kind.id));
    }

    fn tick(&self, now: Instant) {
        let mut guard = self.boot.lock().unwrap();
        let Some(boot) = guard.as_mut() else { return };
        let lapsed = boot.lease_until.is_some_and(|until| now >= until);
        let mut ends: Vec<(String, &'static str)> = Vec::new();
        for (task, active) in &boot.active {
            let done = active.work.is_some_and(|work| now >= active.began + work);
            if done {
                ends.push((task.clone(), "done"));
            } else if active.stops_at.is_some_and(|at| now >= at) {
                ends.push((task.clone(), "stopped"));
            } else if lapsed {
                ends.push((task.clone(), "lapsed"));
            }
        }
        if ends.is_empty() {
            return;
        }
        for (task, how) in ends {
            let Some(active) = boot.active.remove(&task) else { continue };
            let number = boot.next_number;
            boot.next_number += 1;
            let closed = boot.closed.entry(task.clone()).or_insert(0);
            *closed = (*closed).max(active.attempt);
            self.log_end(&task, active.attempt, active.log, how);
            let Active { attempt, log, .. } = active;
            boot.finished.push(Ended { number, task, attempt, how, log });
        }
        drop(guard);
        self.ended.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        let expected = request.header("Expected-Instance");
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        if !expected.is_empty() && expected != self.kind.id {
            return Reply::Answer(421, "{}".to_owned());
        }
        let mut guard = self.boot.lock().unwrap();
        let Some(boot) = guard.as_mut() else { return Reply::Close };
        let now = Instant::now();
        let fence = body.get("fencingToken").whole();
        let clock_ms = boot.clock_ms(now);
        let refusal = |reason: &str| {
            Reply::Answer(409, format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"))
        };
        if fence < boot.fence {
            return refusal("fence");
        }
        boot.fence = fence;
        let task = body.get("task").text().to_owned();
        let attempt = body.get("attempt").whole();
        match request.path.as_str() {
            "/v1/run-start" => {
                let deadline_ms = body.get("deadlineMs").whole();
                if deadline_ms < clock_ms {
                    return refusal("late");
                }
                boot.set_deadline(deadline_ms, now);
                if boot.active.get(&task).is_some_and(|active| active.attempt == attempt) {
                    return Reply::Answer(200, format!("{{\"clockMs\":{clock_ms}}}"));
                }
                let is_old = boot.closed.get(&task).is_some_and(|closed| attempt <= *closed)
                    || boot.active.contains_key(&task);
                if is_old {
                    return refusal("old");
                }
                let spec = body.get("spec").text();
                let log = self.runs.begin(RunLog {
                    task: task.clone(),
                    runner: self.kind.id.clone(),
                    began_ms: self.record.now_ms(),
                    end: None,
                    acked_ms: None,
                    labels: boot.labels.clone(),
                });
                self.record.note(format!("runner {}: {task} run {attempt} begins", self.kind.id));
                let active =
                    Active { attempt, began: now, work: work_of(spec), stops_at: None, log };
                boot.active.insert(task, active);
                Reply::Answer(200, format!("{{\"clockMs\":{clock_ms}}}"))
            }
            "/v1/run-stop" => {
                let closed = boot.closed.entry(task.clone()).or_insert(0);
                *closed = (*closed).max(attempt);
                if let Some(active) =
                    boot.active.get_mut(&task).filter(|active| active.attempt == attempt)
                {
                    active.stops_at.get_or_insert(now + STOP);
                }
                Reply::Answer(200, format!("{{\"clockMs\":{clock_ms}}}"))
            }
            "/v1/pace" => Reply::Answer(200, format!("{{\"clockMs\":{clock_ms}}}")),
            "/v1/hold" => {
                if let Some(deadline_ms) = body.get("deadlineMs").number() {
                    boot.set_deadline(deadline_ms as u64, now);
                }
                let ack = body.get("ackSeq").whole();
                let now_ms = self.record.now_ms();
                for end in boot.finished.iter().filter(|end| end.number <= ack) {
                    if let Some(run) = self.runs.0.lock().unwrap().get_mut(end.log) {
                        run.acked_ms.get_or_insert(now_ms);
                    }
                }
                boot.finished.retain(|end| end.number > ack);
                let born_ms = boot.born_ms;
                let wait = Duration::from_millis(body.get("waitMs").whole().min(2_000));
                let until = now + wait;
                loop {
                    let Some(boot) = guard.as_ref().filter(|boot| boot.born_ms == born_ms) else {
                        return Reply::Close;
                    };
                    let now = Instant::now();
                    if !boot.finished.is_empty() || now >= until {
                        return Reply::Answer(200, lists(boot, now));
                    }
                    guard = self.ended.wait_timeout(guard, until - now).unwrap().0;
                }
            }
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }
}

fn lists(boot: &Boot, now: Instant) -> String {
    let active: Vec<String> = boot
        .active
        .iter()
        .map(|(task, active)| {
            let ran = now.duration_since(active.began);
            let whole = active.work.unwrap_or(STARTUP);
            let percent = (ran.as_millis() * 100 / whole.as_millis().max(1)).min(100);
            format!("[{},{},\"\",{percent},0]", quote(task), active.attempt)
        })
        .collect();
    let finished: Vec<String> = boot
        .finished
        .iter()
        .take(500)
        .map(|end| {
            format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.attempt, end.how)
        })
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"active\":[{}],\"finished\":[{}]}}",
        boot.clock_ms(now),
        boot.born_ms,
        active.join(","),
        finished.join(",")
    )
}
