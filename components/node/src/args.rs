//! Command line arguments and start-up shared by all long-running processes.

use std::process::ExitCode;

use clap::Args;
use clock::{CancellationToken, cancel_on_signals};
use config::Settings;
use errors::Result;

use crate::start_logging;

/// Command line arguments of a long-running process.
#[derive(Debug, Args)]
pub struct ProcessArgs {
    /// Settings file, in YAML.
    #[arg(long, value_name = "FILE")]
    settings: String,
    /// Checks the settings and exits.
    #[arg(long)]
    check_settings: bool,
    /// Lowest level of log lines: error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    log_level: String,
}

impl ProcessArgs {
    /// Reads the settings and runs the process until SIGTERM or SIGINT.
    pub fn run(
        &self,
        name: &str,
        process: fn(&Settings, &CancellationToken) -> Result<()>,
    ) -> ExitCode {
        match self.try_run(process) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{name}: {error}");
                ExitCode::FAILURE
            }
        }
    }

    fn try_run(&self, process: fn(&Settings, &CancellationToken) -> Result<()>) -> Result<()> {
        let settings = Settings::read(&self.settings)?;
        if self.check_settings {
            println!("{}: the settings are valid", self.settings);
            return Ok(());
        }
        start_logging(&self.log_level)?;
        let token = CancellationToken::new();
        cancel_on_signals(token.clone())?;
        process(&settings, &token)
    }
}
