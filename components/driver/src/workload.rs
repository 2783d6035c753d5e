//! Generates workloads modelled on those of the customers Vandermolen and Etosha. The same seed gives
//! the same workload.

use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use types::{JobKind, Millis, PlacementPolicy, Priority, Resources};

/// Virtual duration of a run.
pub const RUN_DURATION_MS: Millis = Millis(40 * 60 * 1000);
/// Milliseconds in a second.
const SECOND_MS: u64 = 1000;

/// A job of a workload and the time it is submitted.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of submission.
    pub submitted_ms: Millis,
    /// Index of its team in `Workload::shares`.
    pub team: usize,
    /// Kind of the job.
    pub kind: JobKind,
    /// Priority of the job.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub per_task: Resources,
    /// Run time that the submitter declares.
    pub declared_run_ms: Millis,
    /// Actual run time of each task; services run until the end.
    pub run_ms: Millis,
    /// Time at which the submitter cancels it, if at all.
    pub cancelled_ms: Option<Millis>,
}

impl Arrival {
    /// Placement policy of its tasks.
    pub fn spread(&self) -> PlacementPolicy {
        if self.kind == JobKind::Service { PlacementPolicy::Spread } else { PlacementPolicy::Pack }
    }
}

/// A cluster of workers, its teams, and the jobs that arrive.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name in tables and plots.
    pub name: &'static str,
    /// Number of workers.
    pub workers: usize,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Number of workers per rack.
    pub rack_size: usize,
    /// Share of each team.
    pub shares: Vec<u32>,
    /// Indices of the small teams, whose shortfall from their share is reported separately.
    pub small_teams: Vec<usize>,
    /// Percentage of the pool kept free for urgent work.
    pub headroom_percent: u32,
    /// Number of workers, the first ones, that fail every task.
    pub bad_workers: usize,
    /// Jobs in order of submission.
    pub arrivals: Vec<Arrival>,
}

/// Parameters in which the workloads of one customer differ.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    /// Offered batch and gang work as a fraction of all cores.
    load: f64,
    /// Whether declared run times are wrong by a factor of up to 4.
    wrong_run_times: bool,
    /// Whether most of the recent batch jobs are cancelled half-way through the run.
    has_cancellations: bool,
    /// Fraction of workers that fail every task.
    bad_worker_fraction: f64,
}

const fn case(name: &'static str, load: f64) -> Case {
    Case { name, load, wrong_run_times: false, has_cancellations: false, bad_worker_fraction: 0.0 }
}

/// Generates all workloads.
pub fn all_workloads(seed: u64) -> Vec<Workload> {
    let vandermolen = [
        case("vandermolen calm", 0.5),
        case("vandermolen full", 1.0),
        case("vandermolen over-full", 1.4),
        Case { wrong_run_times: true, ..case("vandermolen sizes off", 1.2) },
        Case { has_cancellations: true, ..case("vandermolen cancellations", 1.4) },
        Case { bad_worker_fraction: 0.1, ..case("vandermolen bad workers", 1.0) },
    ];
    let etosha = [
        case("etosha calm", 0.5),
        case("etosha full", 1.0),
        case("etosha over-full", 1.4),
        Case { wrong_run_times: true, ..case("etosha sizes off", 1.2) },
        Case { has_cancellations: true, ..case("etosha cancellations", 1.4) },
        Case { bad_worker_fraction: 0.1, ..case("etosha bad workers", 1.0) },
    ];
    let vandermolen_workloads = vandermolen
        .into_iter()
        .enumerate()
        .map(|(index, case)| vandermolen_workload(case, seed + index as u64));
    let etosha_workloads = etosha
        .into_iter()
        .enumerate()
        .map(|(index, case)| etosha_workload(case, seed + 100 + index as u64));
    vandermolen_workloads.chain(etosha_workloads).chain([design_pool(seed + 200)]).collect()
}

/// Vandermolen during phone hours: urgent checks of seconds, mill batches and gangs of minutes, and
/// watcher services that run throughout.
fn vandermolen_workload(case: Case, seed: u64) -> Workload {
    let mut builder = WorkloadBuilder::new(seed, case, 50, 32);
    let demand = [0.35, 0.25, 0.15, 0.10, 0.10, 0.05];
    for (team, fraction) in demand.into_iter().enumerate() {
        builder.services(team, 25, 1);
        builder.urgent(team, 0.5 * fraction, 2);
        builder.batches(team, fraction * case.load * 0.85, (20, 80), (60, 300), 2);
        builder.gangs(team, fraction * case.load * 0.10, 8, (60, 180), 4);
    }
    builder.finish(vec![30, 25, 15, 10, 10, 10], vec![3, 4, 5])
}

/// Etosha on the evening before service: two large caterers compete with four small kitchens.
fn etosha_workload(case: Case, seed: u64) -> Workload {
    let mut builder = WorkloadBuilder::new(seed, case, 50, 64);
    let demand = [0.45, 0.35, 0.05, 0.05, 0.05, 0.05];
    for (team, fraction) in demand.into_iter().enumerate() {
        let tasks = if team < 2 { (100, 400) } else { (4, 16) };
        builder.services(team, 30, 1);
        builder.urgent(team, 0.3 * fraction, 2);
        builder.batches(team, fraction * case.load * 0.9, tasks, (20, 120), 2);
    }
    builder.finish(vec![30, 30, 10, 10, 10, 10], vec![2, 3, 4, 5])
}

/// One pool of the design size: 200 workers, 400 teams, 24 tasks per worker.
fn design_pool(seed: u64) -> Workload {
    let mut builder = WorkloadBuilder::new(seed, case("design pool", 1.1), 200, 32);
    for team in 0..400 {
        builder.services(team, 2, 1);
        builder.urgent(team, 0.01, 1);
        builder.batches(team, 1.1 / 400.0, (10, 40), (60, 200), 1);
    }
    builder.finish(vec![1; 400], (200..400).collect())
}

struct WorkloadBuilder {
    rng: StdRng,
    case: Case,
    workers: usize,
    cores: u64,
    arrivals: Vec<Arrival>,
}

impl WorkloadBuilder {
    fn new(seed: u64, case: Case, workers: usize, cores: u64) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), case, workers, cores, arrivals: Vec::new() }
    }

    /// Arrival times of a Poisson process with this rate.
    fn arrival_times(&mut self, per_s: f64) -> Vec<Millis> {
        let mut times = Vec::new();
        let mut at_s = 0.0;
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at_s -= uniform.ln() / per_s;
            let at = Millis((at_s * SECOND_MS as f64) as u64);
            if at >= RUN_DURATION_MS {
                return times;
            }
            times.push(at);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one arrival")]
    fn push(
        &mut self,
        submitted_ms: Millis,
        team: usize,
        kind: JobKind,
        priority: Priority,
        tasks: u32,
        cores: u64,
        run_time_s: u64,
    ) {
        let run_ms = Millis(run_time_s * SECOND_MS);
        let error_log2 =
            if self.case.wrong_run_times { self.rng.random_range(-2.0..2.0) } else { 0.0 };
        let declared_run_ms = Millis((run_ms.0 as f64 * 2.0_f64.powf(error_log2)) as u64);
        // Half-way through, most batch jobs of the last 10 minutes are cancelled at the same time.
        let mass_cancellation_ms = Millis(RUN_DURATION_MS.0 / 2);
        let may_be_cancelled = self.case.has_cancellations
            && kind == JobKind::Batch
            && submitted_ms < mass_cancellation_ms
            && mass_cancellation_ms.since(submitted_ms) < Millis(600 * SECOND_MS);
        let cancelled_ms =
            (may_be_cancelled && self.rng.random_bool(0.7)).then_some(mass_cancellation_ms);
        let per_task = Resources { cpu_milli: cores * 1000, mem_mb: cores * 1536, accels: 0 };
        self.arrivals.push(Arrival {
            submitted_ms,
            team,
            kind,
            priority,
            tasks,
            per_task,
            declared_run_ms,
            run_ms,
            cancelled_ms,
        });
    }

    /// Adds a service job that is submitted at the start and never ends.
    fn services(&mut self, team: usize, tasks: u32, cores: u64) {
        self.push(Millis(0), team, JobKind::Service, Priority::Normal, tasks, cores, 0);
    }

    /// Adds urgent jobs of a single task that runs for 1 to 3 s.
    fn urgent(&mut self, team: usize, per_s: f64, cores: u64) {
        for at in self.arrival_times(per_s) {
            let run_time_s = self.rng.random_range(1..4);
            self.push(at, team, JobKind::Batch, Priority::Urgent, 1, cores, run_time_s);
        }
    }

    /// Adds batch jobs that offer this fraction of all cores. `tasks` and `run_time_s` are inclusive
    /// ranges.
    fn batches(
        &mut self,
        team: usize,
        fraction: f64,
        tasks: (u32, u32),
        run_time_s: (u64, u64),
        cores: u64,
    ) {
        let mean_tasks = f64::from(tasks.0 + tasks.1) / 2.0;
        let mean_run_time_s = (run_time_s.0 + run_time_s.1) as f64 / 2.0;
        let total_cores = (self.workers as u64 * self.cores) as f64;
        let per_s = fraction * total_cores / (mean_tasks * mean_run_time_s * cores as f64);
        for at in self.arrival_times(per_s) {
            let (count, duration_s) = (
                self.rng.random_range(tasks.0..=tasks.1),
                self.rng.random_range(run_time_s.0..=run_time_s.1),
            );
            self.push(at, team, JobKind::Batch, Priority::Normal, count, cores, duration_s);
        }
    }

    /// Adds gang jobs that offer this fraction of all cores.
    fn gangs(
        &mut self,
        team: usize,
        fraction: f64,
        tasks: u32,
        run_time_s: (u64, u64),
        cores: u64,
    ) {
        let mean_run_time_s = (run_time_s.0 + run_time_s.1) as f64 / 2.0;
        let total_cores = (self.workers as u64 * self.cores) as f64;
        let per_s = fraction * total_cores / (f64::from(tasks) * mean_run_time_s * cores as f64);
        for at in self.arrival_times(per_s) {
            let duration_s = self.rng.random_range(run_time_s.0..=run_time_s.1);
            self.push(at, team, JobKind::Gang, Priority::Normal, tasks, cores, duration_s);
        }
    }

    fn finish(mut self, shares: Vec<u32>, small_teams: Vec<usize>) -> Workload {
        self.arrivals.sort_by_key(|arrival| arrival.submitted_ms);
        Workload {
            name: self.case.name,
            workers: self.workers,
            capacity: Resources {
                cpu_milli: self.cores * 1000,
                mem_mb: self.cores * 2048,
                accels: 0,
            },
            rack_size: 8,
            shares,
            small_teams,
            headroom_percent: 0,
            bad_workers: (self.workers as f64 * self.case.bad_worker_fraction) as usize,
            arrivals: self.arrivals,
        }
    }
}
