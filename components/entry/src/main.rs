//! The `carobsill-entry` binary.

use std::process::ExitCode;

use clap::Parser;
use node::ProcessArgs;

/// Serves callers' requests over HTTP. One instance runs on each entry VM.
#[derive(Debug, Parser)]
#[command(name = "carobsill-entry", version)]
struct Cli {
    #[command(flatten)]
    process: ProcessArgs,
}

fn main() -> ExitCode {
    Cli::parse().process.run("carobsill-entry", entry::run)
}
