//! `carobsill-entry`: takes callers' requests.

use std::process::ExitCode;

use clap::Parser;
use node::ProcessArgs;

/// Takes callers' requests and gives each one truthful outcome. One runs on each entry VM.
#[derive(Debug, Parser)]
#[command(name = "carobsill-entry", version)]
struct Cli {
    #[command(flatten)]
    process: ProcessArgs,
}

fn main() -> ExitCode {
    Cli::parse().process.run("carobsill-entry", entry::run)
}
