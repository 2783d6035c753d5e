//! Requests end to end through entry, scheduler and runner.

use std::time::{Duration, Instant};

use clap::Args;
use errors::Result;
use testbed::{Deployment, Load, LoadReport, LoadSettings, Process, Size, TestKey, Usage};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
/// Time for which the deployment stands idle before its idle use is read.
const IDLE: Duration = Duration::from_secs(5);
/// Bytes in a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Requests a second, one run for each value; 0 for as many as callers can.
    #[arg(long, value_delimiter = ',', default_value = "200,1400,0")]
    rates: Vec<f64>,
    /// Callers at the same time.
    #[arg(long, default_value_t = 64)]
    callers: usize,
    /// Seconds for each run.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Entry VMs.
    #[arg(long, default_value_t = 7)]
    vms: usize,
    /// Runners in each of the three failure domains.
    #[arg(long, default_value_t = 17)]
    runners: usize,
    /// Time that a runner works on a request, in milliseconds.
    #[arg(long, default_value_t = 5)]
    service_ms: u64,
    /// Queue: checks (idempotent) or orders (each with an intent record).
    #[arg(long, default_value = "checks")]
    queue: String,
}

/// What the processes of one kind used.
struct Used {
    name: &'static str,
    before: Vec<Usage>,
}

/// Runs the load at each rate.
pub fn run(args: &LoadArgs) -> Result<()> {
    let size = Size {
        vms: args.vms,
        runners: args.runners,
        workers: 17,
        service_ms: args.service_ms,
        ..Size::default()
    };
    let deployment = Deployment::start("load", &size, &[FARMER])?;
    println!(
        "{} entry VMs, {} runners of 8 slots, {} ms of work",
        args.vms,
        3 * args.runners,
        args.service_ms
    );
    let calls = deployment.kv_calls()?;
    let used = start_reading(&deployment);
    std::thread::sleep(IDLE);
    println!("idle:");
    print_used(&deployment, &used, IDLE);
    print_kv(&deployment, calls, IDLE)?;
    for rate in &args.rates {
        run_once(&deployment, args, *rate)?;
    }
    let truth = deployment.truth()?;
    println!("in two places at once: {}", truth.doubled.len());
    Ok(())
}

fn run_once(deployment: &Deployment, args: &LoadArgs, rate: f64) -> Result<()> {
    let settings = LoadSettings {
        callers: args.callers,
        rate_per_s: (rate > 0.0).then_some(rate),
        queue: args.queue.clone(),
        key: FARMER,
        keyed: false,
        body: "maize".to_owned(),
    };
    let calls = deployment.kv_calls()?;
    let used = start_reading(deployment);
    let started = Instant::now();
    let load = Load::start(&deployment.entry_addresses, &settings);
    std::thread::sleep(Duration::from_secs(args.seconds));
    let report = load.stop();
    print_report(&report, rate, args);
    print_used(deployment, &used, started.elapsed());
    print_kv(deployment, calls, started.elapsed())
}

fn print_report(report: &LoadReport, rate: f64, args: &LoadArgs) {
    let ran = report.count("ran");
    let per_s = ran as f64 / report.lasted.as_secs_f64();
    let added_ms = |quantile: f64| {
        report.times_us.value_at_quantile(quantile) as f64 / 1000.0 - args.service_ms as f64
    };
    let asked =
        if rate > 0.0 { format!("{rate:.0}/s asked") } else { format!("{} callers", args.callers) };
    println!("\n{} {asked}: {per_s:.0}/s ran, outcomes {:?}", args.queue, report.outcomes());
    println!(
        "  added time: p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
        added_ms(0.5),
        added_ms(0.99),
        added_ms(0.999)
    );
}

fn start_reading(deployment: &Deployment) -> Vec<Used> {
    let read = |processes: &[Process]| processes.iter().filter_map(Process::usage).collect();
    vec![
        Used { name: "entry", before: read(&deployment.entries) },
        Used { name: "scheduler", before: read(&deployment.schedulers) },
    ]
}

fn print_used(deployment: &Deployment, used: &[Used], lasted: Duration) {
    for kind in used {
        let processes =
            if kind.name == "entry" { &deployment.entries } else { &deployment.schedulers };
        let after: Vec<Usage> = processes.iter().filter_map(Process::usage).collect();
        let cores: Vec<f64> = after
            .iter()
            .zip(&kind.before)
            .map(|(after, before)| (after.cpu_s - before.cpu_s) / lasted.as_secs_f64())
            .collect();
        let most_cores = cores.iter().copied().fold(0.0, f64::max);
        let mean_cores = cores.iter().sum::<f64>() / cores.len().max(1) as f64;
        let most_mib =
            after.iter().map(|usage| usage.resident_bytes as f64 / MIB).fold(0.0, f64::max);
        println!(
            "  {}: {:.1}% of a core on average, {:.1}% at most; {most_mib:.1} MiB at most",
            kind.name,
            100.0 * mean_cores,
            100.0 * most_cores
        );
    }
}

fn print_kv(deployment: &Deployment, before: [u64; 3], lasted: Duration) -> Result<()> {
    let after = deployment.kv_calls()?;
    let per_s = |index: usize| (after[index] - before[index]) as f64 / lasted.as_secs_f64();
    println!(
        "  key-value calls: {:.1} reads/s, {:.1} watches/s, {:.1} writes/s",
        per_s(0),
        per_s(1),
        per_s(2)
    );
    Ok(())
}
