//! `carobsill-load`: measures a deployment on this machine and writes what it measured.

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
