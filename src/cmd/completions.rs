//! `carobsill completions`.

use clap::CommandFactory;
use libs::clap_complete::generate;

use crate::cli::{Cli, CompletionsArgs};
use crate::messages::Failure;

/// Prints a shell completion script.
pub fn run(args: &CompletionsArgs) -> Result<(), Failure> {
    let mut command = Cli::command();
    generate(args.shell, &mut command, "carobsill", &mut std::io::stdout());
    Ok(())
}
