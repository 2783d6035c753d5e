//! Set-up of the log.

use std::str::FromStr;

use errors::{Error, Result};
use libs::log::LevelFilter;
use libs::simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging to standard error. Lines below the given level are dropped.
pub fn start_logging(level: &str) -> Result<()> {
    let level =
        LevelFilter::from_str(level).map_err(|_| Error::Parse("log level", level.to_owned()))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_ignore_str("quinn")
        .add_filter_ignore_str("rustls")
        .build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Auto)
        .map_err(|error| Error::Config(format!("log: {error}")))
}
