//! Workloads of the two users, from written seeds.

use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use types::{JobKind, Millis, Priority, Resources, Spread};

/// Virtual time of a run.
pub const LASTS: Millis = Millis(40 * 60 * 1000);
/// Milliseconds in a second.
const SECOND: u64 = 1000;

/// A job that arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at: Millis,
    /// Number of its team.
    pub team: usize,
    /// Kind.
    pub kind: JobKind,
    /// Priority.
    pub priority: Priority,
    /// Tasks.
    pub tasks: u32,
    /// Grant of each task.
    pub per_task: Resources,
    /// Run time as declared.
    pub declared: Millis,
    /// Run time of each task in truth.
    pub runs: Millis,
    /// When its submitter cancels it.
    pub cancelled_at: Option<Millis>,
}

impl Arrival {
    /// Layout of its tasks.
    pub fn spread(&self) -> Spread {
        if self.kind == JobKind::Service { Spread::Spread } else { Spread::Pack }
    }
}

/// A workload.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name.
    pub name: &'static str,
    /// Workers.
    pub workers: usize,
    /// What each worker has.
    pub capacity: Resources,
    /// Workers in a rack.
    pub rack_size: usize,
    /// Share of each team.
    pub shares: Vec<u32>,
    /// Teams with many small jobs, whose nearness to share is looked at apart.
    pub small_teams: Vec<usize>,
    /// Part of each pool kept for urgent work, in percent.
    pub headroom_percent: u32,
    /// Number of workers that fail every task.
    pub bad_workers: usize,
    /// Arrivals in the order of time.
    pub arrivals: Vec<Arrival>,
}

/// What differs between the cases of one user.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    /// Offered batch work as a part of the cell.
    load: f64,
    /// Whether run times are up to 4 times off.
    sizes_off: bool,
    cancels: bool,
    bad_part: f64,
}

const fn case(name: &'static str, load: f64) -> Case {
    Case { name, load, sizes_off: false, cancels: false, bad_part: 0.0 }
}

/// All workloads.
pub fn all_workloads(seed: u64) -> Vec<Workload> {
    let vandermolen = [
        case("vandermolen calm", 0.5),
        case("vandermolen full", 1.0),
        case("vandermolen over-full", 1.4),
        Case { sizes_off: true, ..case("vandermolen sizes off", 1.2) },
        Case { cancels: true, ..case("vandermolen cancellations", 1.4) },
        Case { bad_part: 0.1, ..case("vandermolen bad workers", 1.0) },
    ];
    let etosha = [
        case("etosha calm", 0.5),
        case("etosha full", 1.0),
        case("etosha over-full", 1.4),
        Case { sizes_off: true, ..case("etosha sizes off", 1.2) },
        Case { cancels: true, ..case("etosha cancellations", 1.4) },
        Case { bad_part: 0.1, ..case("etosha bad workers", 1.0) },
    ];
    let first = vandermolen
        .into_iter()
        .enumerate()
        .map(|(number, case)| vandermolen_of(case, seed + number as u64));
    let second = etosha
        .into_iter()
        .enumerate()
        .map(|(number, case)| etosha_of(case, seed + 100 + number as u64));
    first.chain(second).chain([design_pool(seed + 200)]).collect()
}

/// Phone hours: urgent checks of seconds, mill batches of minutes, watchers all season.
fn vandermolen_of(case: Case, seed: u64) -> Workload {
    let mut maker = Maker::new(seed, case, 50, 32);
    let demand = [0.35, 0.25, 0.15, 0.10, 0.10, 0.05];
    for (team, part) in demand.into_iter().enumerate() {
        maker.services(team, 25, 1);
        maker.urgent(team, 0.5 * part, 2);
        maker.batches(team, part * case.load * 0.85, (20, 80), (60, 300), 2);
        maker.gangs(team, part * case.load * 0.10, 8, (60, 180), 4);
    }
    maker.finish(vec![30, 25, 15, 10, 10, 10], vec![3, 4, 5])
}

/// The evening before service: two large caterers against four small kitchens.
fn etosha_of(case: Case, seed: u64) -> Workload {
    let mut maker = Maker::new(seed, case, 50, 64);
    let demand = [0.45, 0.35, 0.05, 0.05, 0.05, 0.05];
    for (team, part) in demand.into_iter().enumerate() {
        let tasks = if team < 2 { (100, 400) } else { (4, 16) };
        maker.services(team, 30, 1);
        maker.urgent(team, 0.3 * part, 2);
        maker.batches(team, part * case.load * 0.9, tasks, (20, 120), 2);
    }
    maker.finish(vec![30, 30, 10, 10, 10, 10], vec![2, 3, 4, 5])
}

/// One pool of the design size: 200 workers, 400 teams, 24 tasks on each worker.
fn design_pool(seed: u64) -> Workload {
    let mut maker = Maker::new(seed, case("design pool", 1.1), 200, 32);
    for team in 0..400 {
        maker.services(team, 2, 1);
        maker.urgent(team, 0.01, 1);
        maker.batches(team, 1.1 / 400.0, (10, 40), (60, 200), 1);
    }
    maker.finish(vec![1; 400], (200..400).collect())
}

struct Maker {
    random: StdRng,
    case: Case,
    workers: usize,
    cores: u64,
    arrivals: Vec<Arrival>,
}

impl Maker {
    fn new(seed: u64, case: Case, workers: usize, cores: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed), case, workers, cores, arrivals: Vec::new() }
    }

    /// Times of a Poisson process with this rate.
    fn times(&mut self, per_s: f64) -> Vec<Millis> {
        let mut times = Vec::new();
        let mut at_s = 0.0;
        loop {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            at_s -= uniform.ln() / per_s;
            let at = Millis((at_s * SECOND as f64) as u64);
            if at >= LASTS {
                return times;
            }
            times.push(at);
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one line of a workload, given in one place each"
    )]
    fn push(
        &mut self,
        at: Millis,
        team: usize,
        kind: JobKind,
        priority: Priority,
        tasks: u32,
        cores: u64,
        runs_s: u64,
    ) {
        let runs = Millis(runs_s * SECOND);
        let off = if self.case.sizes_off { self.random.random_range(-2.0..2.0) } else { 0.0 };
        let declared = Millis((runs.0 as f64 * 2.0_f64.powf(off)) as u64);
        // Half way through, most of what was submitted lately is cancelled at once.
        let wave = Millis(LASTS.0 / 2);
        let in_wave = self.case.cancels
            && kind == JobKind::Batch
            && at < wave
            && wave.since(at) < Millis(600 * SECOND);
        let cancelled_at = (in_wave && self.random.random_bool(0.7)).then_some(wave);
        let per_task = Resources { cpu_milli: cores * 1000, mem_mb: cores * 1536, accels: 0 };
        self.arrivals.push(Arrival {
            at,
            team,
            kind,
            priority,
            tasks,
            per_task,
            declared,
            runs,
            cancelled_at,
        });
    }

    fn services(&mut self, team: usize, tasks: u32, cores: u64) {
        self.push(Millis(0), team, JobKind::Service, Priority::Normal, tasks, cores, 0);
    }

    fn urgent(&mut self, team: usize, per_s: f64, cores: u64) {
        for at in self.times(per_s) {
            let runs_s = self.random.random_range(1..4);
            self.push(at, team, JobKind::Batch, Priority::Urgent, 1, cores, runs_s);
        }
    }

    /// Batches that offer this part of the cell's cores.
    fn batches(
        &mut self,
        team: usize,
        part: f64,
        tasks: (u32, u32),
        runs_s: (u64, u64),
        cores: u64,
    ) {
        let mean_tasks = f64::from(tasks.0 + tasks.1) / 2.0;
        let mean_runs_s = (runs_s.0 + runs_s.1) as f64 / 2.0;
        let cell = (self.workers as u64 * self.cores) as f64;
        let per_s = part * cell / (mean_tasks * mean_runs_s * cores as f64);
        for at in self.times(per_s) {
            let (count, runs) = (
                self.random.random_range(tasks.0..=tasks.1),
                self.random.random_range(runs_s.0..=runs_s.1),
            );
            self.push(at, team, JobKind::Batch, Priority::Normal, count, cores, runs);
        }
    }

    fn gangs(&mut self, team: usize, part: f64, tasks: u32, runs_s: (u64, u64), cores: u64) {
        let mean_runs_s = (runs_s.0 + runs_s.1) as f64 / 2.0;
        let cell = (self.workers as u64 * self.cores) as f64;
        let per_s = part * cell / (f64::from(tasks) * mean_runs_s * cores as f64);
        for at in self.times(per_s) {
            let runs = self.random.random_range(runs_s.0..=runs_s.1);
            self.push(at, team, JobKind::Gang, Priority::Normal, tasks, cores, runs);
        }
    }

    fn finish(mut self, shares: Vec<u32>, small_teams: Vec<usize>) -> Workload {
        self.arrivals.sort_by_key(|arrival| arrival.at);
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
            bad_workers: (self.workers as f64 * self.case.bad_part) as usize,
            arrivals: self.arrivals,
        }
    }
}
