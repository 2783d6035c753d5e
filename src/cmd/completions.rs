//! `carobsill completions`.

use clap::CommandFactory;
use libs::clap_complete::generate;

use crate::cli::{Cli, CompletionsArgs};
use crate::messages::Failure;

/// Prints completions for a shell.
pub fn run(args: &CompletionsArgs) -> Result<(), Failure> {
    let mut command = Cli::command();
    generate(args.shell, &mut command, "carobsill", &mut std::io::stdout());
    Ok(())
}
