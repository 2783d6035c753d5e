//! How messages, processor time and memory grow with size, as a table and as fitted lines.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use config::Rules;
use errors::{Error, Result};
use libs::serde_json::json;
use testbed::{Deployment, Load, LoadSettings, OPERATOR, Process, Size, TestKey, Usage};
use types::{DomainId, RulesVersion};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
/// Time for which each size is observed.
const WINDOW: Duration = Duration::from_secs(5);
/// Time between the start of a deployment and its observation.
const SETTLE: Duration = Duration::from_secs(2);
/// Longest time to wait for tasks to start.
const PATIENCE: Duration = Duration::from_secs(60);
/// Tasks on each worker at the design size: 120,000 over 4,900.
const TASKS_PER_WORKER: usize = 24;
/// Tasks of one job.
const TASKS_PER_JOB: usize = 2_400;
/// Bytes in a kibibyte.
const KIB: f64 = 1024.0;

/// One measured point.
struct Point {
    series: &'static str,
    size: f64,
    value: f64,
}

/// All measured points.
#[derive(Default)]
struct Table {
    points: Vec<Point>,
}

impl Table {
    fn add(&mut self, series: &'static str, size: usize, value: f64) {
        println!("  {series} at {size}: {value:.4}");
        self.points.push(Point { series, size: size as f64, value });
    }

    fn csv(&self) -> String {
        let mut text = "series,size,value\n".to_owned();
        for point in &self.points {
            // Writing to a string cannot fail.
            writeln!(text, "{},{},{:.4}", point.series, point.size, point.value).ok();
        }
        text
    }

    /// The least-squares line of each series: its value at size 0 and its slope.
    fn lines(&self) -> String {
        let mut text = "series,at_zero,slope\n".to_owned();
        let mut names: Vec<&str> = Vec::new();
        for point in &self.points {
            if !names.contains(&point.series) {
                names.push(point.series);
            }
        }
        for name in names {
            let points: Vec<&Point> =
                self.points.iter().filter(|point| point.series == name).collect();
            let (at_zero, slope) = fit(&points);
            writeln!(text, "{name},{at_zero:.4},{slope:.6}").ok();
        }
        text
    }
}

fn fit(points: &[&Point]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    (mean_value - slope * mean_size, slope)
}

/// What was read at one moment.
struct Reading {
    at: Instant,
    entries: Vec<Usage>,
    schedulers: Vec<Usage>,
    kv: [u64; 3],
    workers: [u64; 2],
    net_bytes: u64,
}

fn read(deployment: &Deployment) -> Result<Reading> {
    let usages = |processes: &[Process]| processes.iter().filter_map(Process::usage).collect();
    Ok(Reading {
        at: Instant::now(),
        entries: usages(&deployment.entries),
        schedulers: usages(&deployment.schedulers),
        kv: deployment.kv_calls()?,
        workers: deployment.worker_traffic()?,
        net_bytes: net_bytes(deployment)?,
    })
}

/// Bytes that the first entry sent to and received from other processes.
fn net_bytes(deployment: &Deployment) -> Result<u64> {
    let entry = deployment.entry_addresses[0];
    let metrics = deployment.client.get(entry, "/v1/admin/metrics", &OPERATOR.token())?.json();
    let count = |name: &str| metrics[name].as_u64().unwrap_or(0);
    Ok(count("net.bytes_sent") + count("net.bytes_received"))
}

/// Part of a core that each process used on average, in percent.
fn cpu_percent(before: &[Usage], after: &[Usage], lasted_s: f64) -> f64 {
    let used: f64 =
        before.iter().zip(after).map(|(before, after)| after.cpu_s - before.cpu_s).sum();
    100.0 * used / lasted_s / before.len().max(1) as f64
}

fn memory_mib(usages: &[Usage]) -> f64 {
    usages.iter().map(|usage| usage.resident_bytes as f64).fold(0.0, f64::max) / KIB / KIB
}

/// Measures everything and writes the table to `out` and the lines beside it.
pub fn run(out: &Path) -> Result<()> {
    let mut table = Table::default();
    measure_processes(&mut table)?;
    measure_workers(&mut table)?;
    measure_requests(&mut table)?;
    measure_rules(&mut table)?;
    let file_error = |error| Error::File(out.display().to_string(), error);
    if let Some(folder) = out.parent() {
        fs::create_dir_all(folder).map_err(file_error)?;
    }
    fs::write(out, table.csv()).map_err(file_error)?;
    fs::write(out.with_file_name("lines.csv"), table.lines()).map_err(file_error)?;
    println!("\n{}", table.lines());
    Ok(())
}

/// Idle processes: heartbeats, gossip and watches.
fn measure_processes(table: &mut Table) -> Result<()> {
    println!("idle processes");
    for vms in [3, 7, 14, 28, 50] {
        let deployment =
            Deployment::start("slopes-vms", &Size { vms, ..Size::default() }, &[FARMER])?;
        std::thread::sleep(SETTLE);
        let before = read(&deployment)?;
        std::thread::sleep(WINDOW);
        let after = read(&deployment)?;
        let lasted_s = after.at.duration_since(before.at).as_secs_f64();
        let processes = 2 * vms;
        table.add(
            "entry_idle_cpu_percent_by_processes",
            processes,
            cpu_percent(&before.entries, &after.entries, lasted_s),
        );
        table.add("entry_idle_mib_by_processes", processes, memory_mib(&after.entries));
        table.add("scheduler_idle_mib_by_processes", processes, memory_mib(&after.schedulers));
        let net = (after.net_bytes - before.net_bytes) as f64 / lasted_s / KIB;
        table.add("process_gossip_kib_per_s_by_processes", processes, net);
        let kv = |index: usize| (after.kv[index] - before.kv[index]) as f64 / lasted_s;
        table.add("kv_idle_calls_per_s_by_processes", processes, kv(0) + kv(1) + kv(2));
    }
    Ok(())
}

/// One pool whose workers each run as many tasks as at the design size.
fn measure_workers(table: &mut Table) -> Result<()> {
    println!("workers of one pool, {TASKS_PER_WORKER} tasks on each");
    for workers in [50, 100, 200] {
        let domains: Vec<DomainId> = ["north".parse()?].to_vec();
        let size = Size { domains, vms: 3, workers, runners: 1, ..Size::default() };
        let deployment = Deployment::start("slopes-workers", &size, &[FARMER])?;
        let submitted = fill(&deployment, workers)?;
        std::thread::sleep(SETTLE);
        let before = read(&deployment)?;
        std::thread::sleep(WINDOW);
        let after = read(&deployment)?;
        let lasted_s = after.at.duration_since(before.at).as_secs_f64();
        let owner = deployment.owner_of("north").unwrap_or(0);
        let cpu =
            100.0 * (after.schedulers[owner].cpu_s - before.schedulers[owner].cpu_s) / lasted_s;
        table.add("owner_cpu_percent_by_workers", workers, cpu);
        table.add(
            "owner_mib_by_workers",
            workers,
            after.schedulers[owner].resident_bytes as f64 / KIB / KIB,
        );
        let syncs = (after.workers[0] - before.workers[0]) as f64 / lasted_s / workers as f64;
        let bytes = (after.workers[1] - before.workers[1]) as f64 / lasted_s / workers as f64 / KIB;
        table.add("worker_syncs_per_s_by_workers", workers, syncs);
        table.add("worker_sync_kib_per_s_by_workers", workers, bytes);
        table.add("starts_per_s_of_one_pool_by_workers", workers, submitted);
    }
    Ok(())
}

/// Fills all workers with services. Returns the starts a second.
fn fill(deployment: &Deployment, workers: usize) -> Result<f64> {
    let tasks = workers * TASKS_PER_WORKER;
    let started = Instant::now();
    let mut left = tasks;
    while left > 0 {
        let count = left.min(TASKS_PER_JOB);
        let job = json!({ "tasks": count, "cpu_milli": 1000, "mem_mb": 512 });
        let answer = deployment.post_job(0, "watchers", &FARMER, &[], &job)?;
        if answer.outcome != "accepted" {
            return Err(Error::Refused(answer.status, answer.body));
        }
        left -= count;
    }
    let all_run = deployment.wait_until(PATIENCE, |deployment| {
        deployment.truth().is_ok_and(|truth| truth.running >= tasks)
    });
    if !all_run {
        return Err(Error::Unanswered(format!(
            "{tasks} tasks did not start: {:?}",
            deployment.truth()
        )));
    }
    Ok(tasks as f64 / started.elapsed().as_secs_f64())
}

/// Requests that callers wait for.
fn measure_requests(table: &mut Table) -> Result<()> {
    println!("requests a second over 7 entries");
    let size = Size { vms: 7, runners: 17, workers: 17, ..Size::default() };
    let deployment = Deployment::start("slopes-requests", &size, &[FARMER])?;
    for rate in [200, 700, 1_400, 2_800] {
        let settings = LoadSettings {
            callers: 64,
            rate_per_s: Some(rate as f64),
            queue: "checks".to_owned(),
            key: FARMER,
            keyed: false,
            body: "maize".to_owned(),
        };
        let before = read(&deployment)?;
        let load = Load::start(&deployment.entry_addresses, &settings);
        std::thread::sleep(WINDOW);
        load.stop();
        let after = read(&deployment)?;
        let lasted_s = after.at.duration_since(before.at).as_secs_f64();
        table.add(
            "entry_cpu_percent_by_requests_per_s",
            rate,
            cpu_percent(&before.entries, &after.entries, lasted_s),
        );
        let schedulers = cpu_percent(&before.schedulers, &after.schedulers, lasted_s) * 7.0;
        table.add("schedulers_cpu_percent_by_requests_per_s", rate, schedulers);
        table.add("entry_mib_by_requests_per_s", rate, memory_mib(&after.entries));
    }
    Ok(())
}

/// The rules file.
fn measure_rules(table: &mut Table) -> Result<()> {
    println!("rules by teams");
    for teams in [6, 100, 400, 800] {
        let text = rules_of(teams);
        let started = Instant::now();
        let parsed = Rules::parse(RulesVersion(1), &text);
        let took_ms = started.elapsed().as_secs_f64() * 1000.0;
        if let Err(problems) = parsed {
            return Err(Error::Config(problems[0].to_string()));
        }
        table.add("rules_kib_by_teams", teams, text.len() as f64 / KIB);
        table.add("rules_parse_ms_by_teams", teams, took_ms);
    }
    Ok(())
}

fn rules_of(teams: usize) -> String {
    let mut text = "- pool: {name: north, domain: north}  # Hanna\n".to_owned();
    for team in 0..teams {
        let key = TestKey { name: "k", secret: "s", team: Some("t") }.line();
        let key = key
            .replace("name: k,", &format!("name: key-{team},"))
            .replace("team: t,", &format!("team: team-{team},"));
        writeln!(text, "- team: {{name: team-{team}, share: 10}}  # Hanna").ok();
        writeln!(text, "- limit: {{team: team-{team}, cores: 200, slots: 40}}  # Hanna").ok();
        writeln!(text, "{key}").ok();
    }
    text
}
