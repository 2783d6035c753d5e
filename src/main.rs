//! `carobsill`: command-line tool for operators.

mod cli;
mod cmd;
mod files;
mod messages;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::{Cli, Command};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match &cli.command {
        Command::Check(args) => cmd::check::run(args),
        Command::Pull(args) => cmd::pull::run(args),
        Command::Apply(args) => cmd::apply::run(args),
        Command::Key(args) => cmd::key::run(args),
        Command::Certs(args) => cmd::certs::run(args),
        Command::Status(args) => cmd::status::run(args),
        Command::Teams(args) => cmd::teams::run(args),
        Command::Domains(args) => cmd::domains::run(args),
        Command::Explain(args) => cmd::explain::run(args),
        Command::Timeline(args) => cmd::timeline::run(args),
        Command::Completions(args) => cmd::completions::run(args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprint!("{}", messages::failure_text(&failure));
            ExitCode::from(failure.exit_code())
        }
    }
}
