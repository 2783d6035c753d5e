//! Measures how messages, processor time and memory grow with the size of a deployment, and fits a
//! line to each series.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use config::Rules;
use errors::{Error, Result};
use libs::serde_json::json;
use testbed::{Deployment, DeploymentSize, Load, LoadSettings, OPERATOR, Process, TestKey, Usage};
use types::{DomainId, RulesVersion};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
/// How long each size is measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(5);
/// Time between the start of a deployment and the measurement.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time limit for all submitted tasks to start.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Tasks per worker at the design size: 120,000 tasks on 4,900 workers.
const TASKS_PER_WORKER: usize = 24;
/// Maximum number of tasks per submitted job.
const TASKS_PER_JOB: usize = 2_400;
/// Bytes in a kibibyte.
const KIB: f64 = 1024.0;

/// A measured value of a series at one size.
struct Point {
    series: &'static str,
    size: f64,
    value: f64,
}

/// Measured points of all series.
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

    /// Least-squares line of each series as CSV: value at size 0 and slope.
    fn fitted_lines_csv(&self) -> String {
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
            let (at_zero, slope) = fit_line(&points);
            writeln!(text, "{name},{at_zero:.4},{slope:.6}").ok();
        }
        text
    }
}

fn fit_line(points: &[&Point]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    (mean_value - slope * mean_size, slope)
}

/// Usage and counters of a deployment at one moment.
struct Snapshot {
    taken_at: Instant,
    entries: Vec<Usage>,
    schedulers: Vec<Usage>,
    /// Calls to the key-value service: reads, watches and writes.
    kv_calls: [u64; 3],
    /// Worker syncs, and the bytes of their bodies.
    worker_traffic: [u64; 2],
    net_bytes: u64,
}

fn take_snapshot(deployment: &Deployment) -> Result<Snapshot> {
    let usages = |processes: &[Process]| processes.iter().filter_map(Process::usage).collect();
    Ok(Snapshot {
        taken_at: Instant::now(),
        entries: usages(&deployment.entries),
        schedulers: usages(&deployment.schedulers),
        kv_calls: deployment.kv_calls()?,
        worker_traffic: deployment.worker_traffic()?,
        net_bytes: net_bytes(deployment)?,
    })
}

/// Bytes that the first entry has sent to and received from other processes.
fn net_bytes(deployment: &Deployment) -> Result<u64> {
    let entry = deployment.entry_addresses[0];
    let metrics = deployment.client.get(entry, "/v1/admin/metrics", &OPERATOR.token())?.json();
    let count = |name: &str| metrics[name].as_u64().unwrap_or(0);
    Ok(count("net.bytes_sent") + count("net.bytes_received"))
}

/// Mean processor usage per process, in percent of a core.
fn cpu_percent(before: &[Usage], after: &[Usage], elapsed_s: f64) -> f64 {
    let used_s: f64 =
        before.iter().zip(after).map(|(before, after)| after.cpu_s - before.cpu_s).sum();
    100.0 * used_s / elapsed_s / before.len().max(1) as f64
}

/// Highest resident memory of any process.
fn max_memory_mib(usages: &[Usage]) -> f64 {
    usages.iter().map(|usage| usage.resident_bytes as f64).fold(0.0, f64::max) / KIB / KIB
}

/// Measures all series and writes the points to `out` and the fitted lines to `lines.csv` beside it.
pub fn run(out: &Path) -> Result<()> {
    let mut table = Table::default();
    measure_processes(&mut table)?;
    measure_workers(&mut table)?;
    measure_requests(&mut table)?;
    measure_rules(&mut table)?;
    let file_error = |error| Error::Io(out.display().to_string(), error);
    if let Some(folder) = out.parent() {
        fs::create_dir_all(folder).map_err(file_error)?;
    }
    fs::write(out, table.csv()).map_err(file_error)?;
    fs::write(out.with_file_name("lines.csv"), table.fitted_lines_csv()).map_err(file_error)?;
    println!("\n{}", table.fitted_lines_csv());
    Ok(())
}

/// Measures idle deployments: the cost of heartbeats, gossip and watches.
fn measure_processes(table: &mut Table) -> Result<()> {
    println!("idle processes");
    for vms in [3, 7, 14, 28, 50] {
        let deployment = Deployment::start(
            "slopes-vms",
            &DeploymentSize { vms, ..DeploymentSize::default() },
            &[FARMER],
        )?;
        std::thread::sleep(WARM_UP);
        let before = take_snapshot(&deployment)?;
        std::thread::sleep(MEASUREMENT_PERIOD);
        let after = take_snapshot(&deployment)?;
        let elapsed_s = after.taken_at.duration_since(before.taken_at).as_secs_f64();
        let processes = 2 * vms;
        table.add(
            "entry_idle_cpu_percent_by_processes",
            processes,
            cpu_percent(&before.entries, &after.entries, elapsed_s),
        );
        table.add("entry_idle_mib_by_processes", processes, max_memory_mib(&after.entries));
        table.add("scheduler_idle_mib_by_processes", processes, max_memory_mib(&after.schedulers));
        let net_kib_per_s = (after.net_bytes - before.net_bytes) as f64 / elapsed_s / KIB;
        table.add("process_gossip_kib_per_s_by_processes", processes, net_kib_per_s);
        let kv_calls_per_s =
            |index: usize| (after.kv_calls[index] - before.kv_calls[index]) as f64 / elapsed_s;
        table.add(
            "kv_idle_calls_per_s_by_processes",
            processes,
            kv_calls_per_s(0) + kv_calls_per_s(1) + kv_calls_per_s(2),
        );
    }
    Ok(())
}

/// Measures a single pool whose workers run as many tasks each as at the design size.
fn measure_workers(table: &mut Table) -> Result<()> {
    println!("workers of one pool, {TASKS_PER_WORKER} tasks per worker");
    for workers in [50, 100, 200] {
        let domains: Vec<DomainId> = ["north".parse()?].to_vec();
        let size =
            DeploymentSize { domains, vms: 3, workers, runners: 1, ..DeploymentSize::default() };
        let deployment = Deployment::start("slopes-workers", &size, &[FARMER])?;
        let starts_per_s = submit_services(&deployment, workers)?;
        std::thread::sleep(WARM_UP);
        let before = take_snapshot(&deployment)?;
        std::thread::sleep(MEASUREMENT_PERIOD);
        let after = take_snapshot(&deployment)?;
        let elapsed_s = after.taken_at.duration_since(before.taken_at).as_secs_f64();
        let owner = deployment.owner_of("north").unwrap_or(0);
        let cpu_percent =
            100.0 * (after.schedulers[owner].cpu_s - before.schedulers[owner].cpu_s) / elapsed_s;
        table.add("owner_cpu_percent_by_workers", workers, cpu_percent);
        table.add(
            "owner_mib_by_workers",
            workers,
            after.schedulers[owner].resident_bytes as f64 / KIB / KIB,
        );
        let syncs_per_s = (after.worker_traffic[0] - before.worker_traffic[0]) as f64
            / elapsed_s
            / workers as f64;
        let kib_per_s = (after.worker_traffic[1] - before.worker_traffic[1]) as f64
            / elapsed_s
            / workers as f64
            / KIB;
        table.add("worker_syncs_per_s_by_workers", workers, syncs_per_s);
        table.add("worker_sync_kib_per_s_by_workers", workers, kib_per_s);
        table.add("starts_per_s_of_one_pool_by_workers", workers, starts_per_s);
    }
    Ok(())
}

/// Submits services until every worker has its tasks. Returns the task starts per second.
fn submit_services(deployment: &Deployment, workers: usize) -> Result<f64> {
    let tasks = workers * TASKS_PER_WORKER;
    let started_at = Instant::now();
    let mut remaining = tasks;
    while remaining > 0 {
        let count = remaining.min(TASKS_PER_JOB);
        let job = json!({ "tasks": count, "cpu_milli": 1000, "mem_mb": 512 });
        let answer = deployment.post_job(0, "watchers", &FARMER, &[], &job)?;
        if answer.outcome != "accepted" {
            return Err(Error::Refused(answer.status, answer.body));
        }
        remaining -= count;
    }
    let all_running = deployment.wait_until(START_TIMEOUT, |deployment| {
        deployment.run_summary().is_ok_and(|summary| summary.running >= tasks)
    });
    if !all_running {
        return Err(Error::Unanswered(format!(
            "{tasks} tasks are not running after {START_TIMEOUT:?}: {:?}",
            deployment.run_summary()
        )));
    }
    Ok(tasks as f64 / started_at.elapsed().as_secs_f64())
}

/// Measures processes under a load of requests at fixed rates.
fn measure_requests(table: &mut Table) -> Result<()> {
    println!("requests per second over 7 entries");
    let size = DeploymentSize { vms: 7, runners: 17, workers: 17, ..DeploymentSize::default() };
    let deployment = Deployment::start("slopes-requests", &size, &[FARMER])?;
    for rate in [200, 700, 1_400, 2_800] {
        let settings = LoadSettings {
            callers: 64,
            rate_per_s: Some(rate as f64),
            queue: "checks".to_owned(),
            key: FARMER,
            with_idempotency_keys: false,
            body: "maize".to_owned(),
        };
        let before = take_snapshot(&deployment)?;
        let load = Load::start(&deployment.entry_addresses, &settings);
        std::thread::sleep(MEASUREMENT_PERIOD);
        load.stop();
        let after = take_snapshot(&deployment)?;
        let elapsed_s = after.taken_at.duration_since(before.taken_at).as_secs_f64();
        table.add(
            "entry_cpu_percent_by_requests_per_s",
            rate,
            cpu_percent(&before.entries, &after.entries, elapsed_s),
        );
        let schedulers_cpu_percent =
            cpu_percent(&before.schedulers, &after.schedulers, elapsed_s) * 7.0;
        table.add("schedulers_cpu_percent_by_requests_per_s", rate, schedulers_cpu_percent);
        table.add("entry_mib_by_requests_per_s", rate, max_memory_mib(&after.entries));
    }
    Ok(())
}

/// Measures the size of the rules file and the time to parse it.
fn measure_rules(table: &mut Table) -> Result<()> {
    println!("rules by number of teams");
    for teams in [6, 100, 400, 800] {
        let text = rules_text(teams);
        let started_at = Instant::now();
        let parsed = Rules::parse(RulesVersion(1), &text);
        let parse_ms = started_at.elapsed().as_secs_f64() * 1000.0;
        if let Err(problems) = parsed {
            return Err(Error::Config(problems[0].to_string()));
        }
        table.add("rules_kib_by_teams", teams, text.len() as f64 / KIB);
        table.add("rules_parse_ms_by_teams", teams, parse_ms);
    }
    Ok(())
}

fn rules_text(teams: usize) -> String {
    let mut text = "- pool: {name: north, domain: north}  # Hanna\n".to_owned();
    for team in 0..teams {
        let key = TestKey { name: "k", secret: "s", team: Some("t") }.rule_line();
        let key = key
            .replace("name: k,", &format!("name: key-{team},"))
            .replace("team: t,", &format!("team: team-{team},"));
        writeln!(text, "- team: {{name: team-{team}, share: 10}}  # Hanna").ok();
        writeln!(text, "- limit: {{team: team-{team}, cores: 200, slots: 40}}  # Hanna").ok();
        writeln!(text, "{key}").ok();
    }
    text
}
