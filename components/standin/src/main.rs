//! `carobsill-standin`: stand-ins for the key-value service and the back ends.

mod cli;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    match cli::run(cli::Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carobsill-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
