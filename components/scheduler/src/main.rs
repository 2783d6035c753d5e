//! The `carobsill-scheduler` binary.

use std::process::ExitCode;

use clap::Parser;
use node::ProcessArgs;

/// Owns pools and decides where their work runs. One instance runs on each entry VM.
#[derive(Debug, Parser)]
#[command(name = "carobsill-scheduler", version)]
struct Cli {
    #[command(flatten)]
    process: ProcessArgs,
}

fn main() -> ExitCode {
    Cli::parse().process.run("carobsill-scheduler", scheduler::run)
}
