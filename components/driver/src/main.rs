//! `carobsill-driver`: runs workloads through the pool's decision core in virtual time and compares
//! the decisions with those of baseline schedulers. Network and scheduler nodes are not modelled.

mod baseline;
mod index_speed;
mod measure;
mod plots;
mod pool_driver;
mod report;
mod workload;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use clap::Parser;
use errors::Result;

use crate::baseline::Fit;
use crate::measure::RunMetrics;
use crate::report::Row;
use crate::workload::{Workload, all_workloads};

/// Measures the scheduling decisions of the pool's core on generated workloads.
#[derive(Debug, Parser)]
#[command(name = "carobsill-driver", version)]
struct Cli {
    /// Directory for the tables and plots.
    #[arg(long, default_value = "docs/data")]
    out: PathBuf,
    /// Seed for generating the workloads.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of workloads to run in parallel.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Run only workloads whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carobsill-driver: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: &Cli) -> Result<()> {
    let workloads: Vec<Workload> = all_workloads(cli.seed)
        .into_iter()
        .filter(|workload| workload.name.contains(&cli.only))
        .collect();
    let rows = run_all(&workloads, cli.threads);
    let search_times = if cli.only.is_empty() { index_speed::measure() } else { Vec::new() };
    report::write(&cli.out, &rows, &search_times)?;
    plots::write(&cli.out, &rows)
}

/// Runs all workloads on a pool of threads. The rows are in the order of the workloads.
fn run_all(workloads: &[Workload], threads: usize) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let results: Mutex<BTreeMap<usize, Vec<Row>>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, workload)) = take_next(workloads, &next) {
                    let rows = run_workload(workload);
                    results.lock().unwrap_or_else(PoisonError::into_inner).insert(index, rows);
                }
            });
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner).into_values().flatten().collect()
}

fn take_next<'a>(workloads: &'a [Workload], next: &AtomicUsize) -> Option<(usize, &'a Workload)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    workloads.get(index).map(|workload| (index, workload))
}

/// Runs one workload through all variants of the core and all baselines.
fn run_workload(workload: &Workload) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut add = |policy: &'static str, metrics: RunMetrics| {
        let row = Row { workload: workload.name, policy, metrics };
        println!("{}", row.summary_line());
        rows.push(row);
    };
    for (name, mechanisms) in pool_driver::variants() {
        add(name, pool_driver::run(workload, mechanisms));
    }
    add("fifo first-fit", baseline::run(workload, Fit::First));
    add("fifo best-fit", baseline::run(workload, Fit::Best));
    rows
}
