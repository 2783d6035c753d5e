//! Rolling restarts: processes hand over in turn, each after about a second, while workers are replaced.

mod support;

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::sync::LazyLock;

use cell::{AdvicePolicy, JobRecord, JobSpec, Policy, QueuePolicy, StepKey, StepSpec, TaskKey};
use clock::CancellationToken;
use cluster::{
    Configuration, LocalBoxFuture, Node, Ports, RawRules, Rules, StoreResult, SubmitOutcome,
};
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use libs::tokio;
use support::fleet::{ADVICE_MS, ADVICE_MS_A_WORKER, Fleet, FleetPorts, Gap, TICKET_MS};
use support::{Environment, TestPorts, node_with_lease, ports, run};
use tokio::net::TcpListener;
use types::{Millis, Resources, WorkerId};

/// A task that lasts and has room runs again after this time at the latest: 6 s, and the window of 3 s in which
/// nothing runs (rule LOST).
const MAX_GAP_MS: Millis = Millis(9_000);
/// Time from a hand-over until a task starts that may run nowhere: an election, the calls that load the state, and
/// the first calls to the workers.
const MAX_HAND_OVER_MS: Millis = Millis(2_000);
const PROCESSES: usize = 8;
const WORKERS: usize = 30;
const WORKER_CORES: u64 = 16;
/// Tasks that last and need advice, and of a job that needs none: of these some are stopped whenever a leader hands
/// over.
const ADVISED_TASKS: u32 = 8;
const UNADVISED_TASKS: u32 = 40;
/// Most tasks of such a job on a worker.
const MAX_PER_WORKER: u32 = 2;
const LASTING_JOB: u64 = 1;
/// Leaders keep their leases until they hand over.
const LEADER_LEASE_MS: Millis = Millis(20_000);
/// Time before the first restart, in which the tasks start.
const SETTLE_MS: Millis = Millis(6_000);
/// Time in which processes and workers are replaced.
const ROLLING_MS: Millis = Millis(40_000);
/// Calm time at the end, beyond the longest allowed gap.
const CALM_MS: Millis = Millis(10_000);
/// Times between two restarts, and between two replacements of workers.
const RESTART_PERIODS_MS: Range<u64> = 1_000..1_300;
const REPLACE_PERIODS_MS: Range<u64> = 800..1_200;
/// Seed of these times.
const SEED: u64 = 67;
/// Time from the announcement that a worker leaves until it does.
const DRAIN_MS: Millis = Millis(2_000);

async fn sleep(ms: Millis) {
    tokio::time::sleep(ms.to_duration()).await;
}

fn queue(advice: Option<AdvicePolicy>) -> QueuePolicy {
    QueuePolicy {
        service: "mill".into(),
        priority: 0,
        max_attempts: 3,
        target_factor: 1.5,
        target_latency_ms: Millis(250),
        advice,
        public: true,
    }
}

fn advised_queue() -> QueuePolicy {
    queue(Some(AdvicePolicy {
        call_ms: ADVICE_MS as f64,
        per_worker_ms: ADVICE_MS_A_WORKER as f64,
        valid_ms: TICKET_MS,
    }))
}

/// Rules with a queue whose steps need advice and one whose steps need none.
struct TwoQueues(TestPorts);

impl Configuration for TwoQueues {
    fn fetch(&self) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        self.0.fetch()
    }

    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        Configuration::changes(&self.0, after, wait_ms)
    }

    fn parse(&self, _text: &[u8]) -> errors::Result<Rules> {
        let mut policy = Policy { version: 1, ..Policy::default() };
        policy.queues.insert("orders".parse()?, queue(None));
        policy.queues.insert("advised".parse()?, advised_queue());
        Ok(Rules { policy: Rc::new(policy), ..Rules::default() })
    }
}

fn record(number: u64, queue_name: &str, step: StepSpec) -> JobRecord {
    JobRecord {
        id: format!("{number:016x}").parse().expect("job id"),
        queue: queue_name.parse().expect("queue"),
        team: None,
        policy: if queue_name == "advised" { advised_queue() } else { queue(None) },
        spec: JobSpec { payload: String::new(), steps: vec![step], recurrence: None },
        accepted_unix_ms: eventlog::unix_ms(),
    }
}

fn lasting_step(tasks: u32, cores: u64) -> StepSpec {
    let need = Resources { cpu_milli: cores * 1_000, mem_mb: 100, accels: 0 };
    StepSpec { tasks, need, long_running: true, ..StepSpec::default() }
}

fn lasting_task(number: u64, index: u32) -> TaskKey {
    let job = format!("{number:016x}").parse().expect("job id");
    TaskKey { step: StepKey { job, occurrence: 0, step: 0 }, index }
}

/// A process that was started.
struct Process {
    name: String,
    node: Rc<Node>,
    stop: CancellationToken,
}

/// The processes, the store and the workers.
struct Cluster {
    environment: Rc<Environment>,
    fleet: Rc<Fleet>,
    processes: RefCell<Vec<Process>>,
    /// Times at which a leader was told to stop.
    stops_ms: RefCell<Vec<Millis>>,
}

impl Cluster {
    fn new() -> Rc<Self> {
        let fleet = Rc::new(Fleet::default());
        tokio::task::spawn_local(fleet.clone().play());
        Rc::new(Self {
            environment: Rc::default(),
            fleet,
            processes: RefCell::default(),
            stops_ms: RefCell::default(),
        })
    }

    fn ports(&self, machine: &str) -> Ports {
        let (fleet, machine) = (self.fleet.clone(), machine.to_owned());
        let fleet = FleetPorts { fleet, machine, advisor_turn: Rc::default() };
        let configuration = TwoQueues(TestPorts(self.environment.clone(), Rc::default()));
        Ports {
            directory: Box::new(fleet.clone()),
            workers: Box::new(fleet.clone()),
            advisor: Box::new(fleet),
            configuration: Box::new(configuration),
            ..ports(&self.environment, &Rc::default())
        }
    }

    /// Starts a process, and again each time after it was stopped.
    async fn start(self: &Rc<Self>, name: String) {
        let cluster = self.clone();
        let (started, has_started) = tokio::sync::oneshot::channel();
        let mut started = Some(started);
        tokio::task::spawn_local(async move {
            loop {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let address = listener.local_addr().expect("its address");
                let node = node_with_lease(&name, address, cluster.ports(&name), LEADER_LEASE_MS);
                let (stop, end) = (CancellationToken::new(), CancellationToken::new());
                let served = node.clone();
                let handler = move |request| served.clone().serve_peer(request);
                tokio::task::spawn_local(web::serve(listener, handler, end.clone()));
                let process =
                    Process { name: name.clone(), node: node.clone(), stop: stop.clone() };
                cluster.processes.borrow_mut().push(process);
                if let Some(started) = started.take() {
                    started.send(()).ok();
                }
                node.run(stop, CancellationToken::new()).await;
                end.cancel();
                cluster.fleet.machine_ended(&name);
                cluster.processes.borrow_mut().retain(|one| one.name != name);
            }
        });
        has_started.await.expect("a process");
    }

    /// Name in the entry of the leader, if there is one.
    fn leader_is(&self, name: &str) -> bool {
        let entry = self.environment.value("leader").unwrap_or_default();
        String::from_utf8_lossy(&entry).contains(name)
    }

    /// Stops the process that leads, as SIGTERM does. Returns whether there was one.
    fn stop_leader(&self) -> bool {
        let processes = self.processes.borrow();
        let leader =
            processes.iter().find(|one| !one.stop.is_cancelled() && self.leader_is(&one.name));
        let Some(leader) = leader else { return false };
        leader.stop.cancel();
        self.stops_ms.borrow_mut().push(clock::now());
        true
    }

    /// A process that was not told to stop and does not lead.
    fn follower(&self) -> Option<Rc<Node>> {
        let processes = self.processes.borrow();
        let mut serving = processes.iter().filter(|one| !one.stop.is_cancelled());
        serving.find(|one| !self.leader_is(&one.name)).map(|one| one.node.clone())
    }

    async fn submit(&self, record: JobRecord) {
        while let Some(node) = self.follower() {
            if node.accept(record.clone()).await == SubmitOutcome::Stored {
                return;
            }
            sleep(Millis(50)).await;
        }
    }

    async fn wait_until(&self, timeout_ms: Millis, condition: impl Fn() -> bool) -> bool {
        let until = clock::now() + timeout_ms;
        while !condition() {
            if clock::now() > until {
                return false;
            }
            sleep(Millis(10)).await;
        }
        true
    }
}

/// Replaces one worker after the other, oldest first.
async fn replace_workers(fleet: Rc<Fleet>, until: Millis, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while clock::now() < until {
        let Some(oldest) = fleet.in_service().first().cloned() else { return };
        fleet.add_worker(WORKER_CORES);
        fleet.drain(&oldest, DRAIN_MS);
        let leaving = fleet.clone();
        tokio::task::spawn_local(async move {
            sleep(DRAIN_MS).await;
            leaving.leave(&oldest);
        });
        sleep(Millis(rng.random_range(REPLACE_PERIODS_MS))).await;
    }
}

/// Submits jobs that end, which take about two fifths of the room.
async fn submit_jobs(cluster: Rc<Cluster>, until: Millis) {
    let mut number = 1_000;
    while clock::now() < until {
        let need = Resources { cpu_milli: 1_000, mem_mb: 100, accels: 0 };
        let estimate_ms = Millis(3_000 + number % 5 * 700);
        let step =
            StepSpec { tasks: 10, need, estimate_ms, checkpoints: true, ..StepSpec::default() };
        let sender = cluster.clone();
        let record = record(number, "orders", step);
        tokio::task::spawn_local(async move { sender.submit(record).await });
        number += 1;
        sleep(Millis(250)).await;
    }
}

/// What was seen in a run of rolling restarts.
struct Seen {
    lasting_tasks: usize,
    leaders: usize,
    lasting_runs: usize,
    gaps: Vec<Gap>,
    twice: Vec<String>,
    advice_calls: usize,
    /// Calls that name workers which were denied to a former leader.
    repeated_denials: Vec<String>,
}

/// Plays rolling restarts with a job on this queue whose tasks last.
async fn play(queue_name: &str, lasting_tasks: u32) -> Seen {
    let seed = std::env::var("CAROBSILL_SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(SEED);
    let cluster = Cluster::new();
    for _ in 0..WORKERS {
        cluster.fleet.add_worker(WORKER_CORES);
    }
    for number in 0..PROCESSES {
        cluster.start(format!("process-{number}")).await;
    }
    let fleet = cluster.fleet.clone();
    let led = cluster.wait_until(SETTLE_MS, || cluster.environment.value("leader").is_some());
    assert!(led.await, "no leader");
    let step = StepSpec { max_per_worker: Some(MAX_PER_WORKER), ..lasting_step(lasting_tasks, 1) };
    cluster.submit(record(LASTING_JOB, queue_name, step)).await;
    let until = clock::now() + SETTLE_MS + ROLLING_MS;
    tokio::task::spawn_local(submit_jobs(cluster.clone(), until));
    sleep(SETTLE_MS).await;
    assert_eq!(fleet.lasting_runs(), lasting_tasks as usize, "they run before the restarts");
    tokio::task::spawn_local(replace_workers(fleet.clone(), until, seed + 1));
    let mut rng = StdRng::seed_from_u64(seed);
    while clock::now() < until {
        let pause_ms = Millis(rng.random_range(RESTART_PERIODS_MS));
        sleep(if cluster.stop_leader() { pause_ms } else { Millis(50) }).await;
    }
    sleep(CALM_MS).await;
    Seen {
        lasting_tasks: lasting_tasks as usize,
        leaders: cluster.environment.count_writes("epoch"),
        lasting_runs: fleet.lasting_runs(),
        gaps: fleet.all_gaps(),
        twice: fleet.twice.borrow().clone(),
        advice_calls: fleet.advice_calls.borrow().len(),
        repeated_denials: fleet.repeated_denials(&cluster.stops_ms.borrow()),
    }
}

fn play_on(queue_name: &str, lasting_tasks: u32) -> Seen {
    let mut seen = None;
    run(async { seen = Some(play(queue_name, lasting_tasks).await) });
    seen.expect("a complete run")
}

/// A run in which the tasks that last need advice, which several tests judge.
static WITH_ADVICE: LazyLock<Seen> = LazyLock::new(|| play_on("advised", ADVISED_TASKS));
/// A run in which they need none.
static WITHOUT_ADVICE: LazyLock<Seen> = LazyLock::new(|| play_on("orders", UNADVISED_TASKS));

fn assert_run_again_in_time(seen: &Seen) {
    let mut gaps = seen.gaps.clone();
    gaps.sort_by_key(|gap| std::cmp::Reverse(gap.lasted_ms));
    println!("{} leaders, {} gaps, longest {:?}", seen.leaders, gaps.len(), gaps.first());
    assert!(seen.leaders >= 20, "only {} leaders", seen.leaders);
    assert!(gaps.len() >= seen.lasting_tasks, "only {} runs were replaced", gaps.len());
    let long: Vec<&Gap> = gaps.iter().filter(|gap| gap.lasted_ms > MAX_GAP_MS).collect();
    assert!(long.is_empty(), "{} of {} too long: {long:?}", long.len(), gaps.len());
    assert_eq!(seen.lasting_runs, seen.lasting_tasks, "all run in the end");
}

/// Guards against tasks that nobody runs: each leader waited anew for workers that had left, and asked the
/// advisor anew.
#[test]
fn advised_tasks_run_again_in_time_during_rolling_restarts() {
    assert_run_again_in_time(&WITH_ADVICE);
}

/// Guards against tasks that nobody runs: each leader waited anew for workers that had left.
#[test]
fn tasks_without_advice_run_again_in_time_during_rolling_restarts() {
    assert_run_again_in_time(&WITHOUT_ADVICE);
}

/// Guards against two runs of a task while leaders change each second.
#[test]
fn no_task_runs_twice_during_rolling_restarts() {
    for seen in [&*WITH_ADVICE, &*WITHOUT_ADVICE] {
        assert!(seen.twice.is_empty(), "{:?}", seen.twice);
    }
}

/// Guards against calls for nothing: what the advisor answered died with each leader, and the next one named the same
/// workers.
#[test]
fn no_leader_asks_about_workers_that_were_denied_to_a_former_one() {
    let Seen { advice_calls, repeated_denials, .. } = &*WITH_ADVICE;
    let repeated = repeated_denials.len();
    assert!(repeated == 0, "{repeated} of {advice_calls} calls: {repeated_denials:?}");
}

/// Guards against a wait of all inherited tasks for one listed worker that does not answer a new leader: the former one
/// knew what may run there.
#[test]
fn a_silent_worker_holds_only_its_own_tasks_after_a_hand_over() {
    run(async {
        let cluster = Cluster::new();
        let fleet = cluster.fleet.clone();
        let workers: Vec<WorkerId> = (0..2).map(|_| fleet.add_worker(2)).collect();
        for number in 0..3 {
            cluster.start(format!("process-{number}")).await;
        }
        let led = cluster.wait_until(SETTLE_MS, || cluster.environment.value("leader").is_some());
        assert!(led.await, "no leader");
        cluster.submit(record(LASTING_JOB, "orders", lasting_step(2, 2))).await;
        let both_run = cluster.wait_until(SETTLE_MS, || fleet.lasting_runs() == 2);
        assert!(both_run.await, "the tasks did not start");
        let tasks = [0, 1].map(|index| lasting_task(LASTING_JOB, index));
        let (moved, kept) = if fleet.runners_of(&tasks[0]) == workers[..1] {
            (&tasks[0], &tasks[1])
        } else {
            (&tasks[1], &tasks[0])
        };
        // No other worker has room for the task of the one that leaves.
        fleet.drain(&workers[0], DRAIN_MS);
        let stopped = cluster.wait_until(SETTLE_MS, || fleet.runners_of(moved).is_empty());
        assert!(stopped.await, "the task is not stopped");
        sleep(Millis(1_000)).await;
        fleet.leave(&workers[0]);
        sleep(Millis(500)).await;
        assert!(cluster.stop_leader(), "no leader");
        sleep(Millis(100)).await;
        fleet.hang(&workers[1]);
        for _ in 0..2 {
            fleet.add_worker(2);
        }
        let handed_over_ms = clock::now();
        let runs = cluster.wait_until(MAX_GAP_MS, || !fleet.runners_of(moved).is_empty());
        assert!(runs.await, "the task did not start again");
        let took_ms = clock::now().since(handed_over_ms);
        assert!(took_ms <= MAX_HAND_OVER_MS, "started {took_ms} after the hand-over");
        assert_eq!(fleet.runners_of(kept), workers[1..], "it runs on the silent worker");
        sleep(Millis(1_500)).await;
        assert!(fleet.twice.borrow().is_empty(), "{:?}", fleet.twice.borrow());
    });
}
