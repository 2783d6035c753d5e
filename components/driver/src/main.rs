//! `carobsill-driver`: feeds workloads to the decision core in virtual time and measures the
//! decisions against baselines. There is no model of a network or cluster.

mod baseline;
mod cell;
mod index_speed;
mod measure;
mod plots;
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
use crate::measure::Measured;
use crate::report::Row;
use crate::workload::{Workload, all_workloads};

/// Measures the decisions of the pool's core.
#[derive(Debug, Parser)]
#[command(name = "carobsill-driver", version)]
struct Cli {
    /// Folder for the table and the plots.
    #[arg(long, default_value = "docs/data")]
    out: PathBuf,
    /// Seed of all workloads.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Workloads that run at the same time.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Only workloads whose name contains this text.
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
    let speeds = if cli.only.is_empty() { index_speed::measure() } else { Vec::new() };
    report::write(&cli.out, &rows, &speeds)?;
    plots::write(&cli.out, &rows)
}

/// Runs all workloads, some at the same time. The rows are in the order of the workloads.
fn run_all(workloads: &[Workload], threads: usize) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let results: Mutex<BTreeMap<usize, Vec<Row>>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((number, workload)) = take_next(workloads, &next) {
                    let rows = run_workload(workload);
                    results.lock().unwrap_or_else(PoisonError::into_inner).insert(number, rows);
                }
            });
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner).into_values().flatten().collect()
}

fn take_next<'a>(workloads: &'a [Workload], next: &AtomicUsize) -> Option<(usize, &'a Workload)> {
    let number = next.fetch_add(1, Ordering::Relaxed);
    workloads.get(number).map(|workload| (number, workload))
}

/// Runs one workload through the core, the core with each mechanism off, and the baselines.
fn run_workload(workload: &Workload) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut add = |policy: &'static str, measured: Measured| {
        let row = Row { workload: workload.name, policy, measured };
        println!("{}", row.line());
        rows.push(row);
    };
    for (name, mechanisms) in cell::variants() {
        add(name, cell::run(workload, mechanisms));
    }
    add("fifo first-fit", baseline::run(workload, Fit::First));
    add("fifo best-fit", baseline::run(workload, Fit::Best));
    rows
}
