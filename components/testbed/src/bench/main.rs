//! `carobsill-load`: benchmarks of a deployment whose processes all run on this machine.

mod in_force;
mod load;
mod slopes;
mod takeover;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use errors::Result;

/// Benchmarks a deployment of separate processes on this machine.
#[derive(Debug, Parser)]
#[command(name = "carobsill-load", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Requests end to end: throughput, latency, memory and processor time.
    Load(load::LoadArgs),
    /// Growth of memory, messages and processor time with the size of the deployment.
    Slopes {
        /// CSV file for the measured points; the fitted lines go to `lines.csv` beside it.
        #[arg(long, default_value = "docs/data/slopes.csv")]
        out: PathBuf,
    },
    /// Time until a change of the rules is in force at every entry.
    InForce {
        /// Number of changes.
        #[arg(long, default_value_t = 50)]
        changes: u64,
    },
    /// Time until a pool answers again after its owner is killed.
    Takeover {
        /// Number of kills.
        #[arg(long, default_value_t = 10)]
        kills: usize,
    },
}

fn main() -> ExitCode {
    let result: Result<()> = match Cli::parse().command {
        Command::Load(args) => load::run(&args),
        Command::Slopes { out } => slopes::run(&out),
        Command::InForce { changes } => in_force::run(changes),
        Command::Takeover { kills } => takeover::run(kills),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carobsill-load: {error}");
            ExitCode::FAILURE
        }
    }
}
