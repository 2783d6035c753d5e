//! `carobsill-load`: measures a deployment on this machine and writes what it measured.

mod in_force;
mod load;
mod slopes;
mod takeover;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use errors::Result;

/// Measures a deployment of separate processes on this machine.
#[derive(Debug, Parser)]
#[command(name = "carobsill-load", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Requests end to end: rates, times, memory and processor time.
    Load(load::LoadArgs),
    /// How state, messages, processor time and memory grow with size.
    Slopes {
        /// File for the table, as CSV.
        #[arg(long, default_value = "docs/data/slopes.csv")]
        out: PathBuf,
    },
    /// Time until a change of the rules is in force in every entry.
    InForce {
        /// Changes.
        #[arg(long, default_value_t = 50)]
        changes: u64,
    },
    /// Time without answers after an owner is killed.
    Takeover {
        /// Kills.
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
