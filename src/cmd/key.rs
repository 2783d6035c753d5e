//! `carobsill key`.

use std::path::Path;

use config::{KeyHash, new_secret};
use types::{KeyId, TeamId};

use crate::cli::{KeyAction, KeyArgs};
use crate::files::{read_text, write_text};
use crate::messages::{self, Failure};

/// Generates a key, or removes one from a rules file.
pub fn run(args: &KeyArgs) -> Result<(), Failure> {
    match &args.action {
        KeyAction::New { team, name, asked_by } => {
            print_new_key(team.as_ref(), name, asked_by);
            Ok(())
        }
        KeyAction::Withdraw { name, file } => withdraw(name, file),
    }
}

fn print_new_key(team: Option<&TeamId>, name: &KeyId, asked_by: &str) {
    let secret = new_secret();
    let hash = KeyHash::of_secret(&secret);
    let line = match team {
        Some(team) => {
            format!("- key: {{name: {name}, team: {team}, sha256: \"{hash}\"}}  # {asked_by}")
        }
        None => format!("- operator: {{name: {name}, sha256: \"{hash}\"}}  # {asked_by}"),
    };
    println!("{}", messages::new_key(&line, &format!("{name}.{secret}")));
}

fn withdraw(name: &KeyId, file: &Path) -> Result<(), Failure> {
    let file_name = file.display().to_string();
    let text = read_text(file)?;
    let prefixes = [format!("- key: {{name: {name},"), format!("- operator: {{name: {name},")];
    let is_key =
        |line: &str| prefixes.iter().any(|prefix| line.trim_start().starts_with(prefix.as_str()));
    if !text.lines().any(is_key) {
        return Err(Failure::NotFound(messages::no_such_key(name.as_str(), &file_name)));
    }
    let kept: String =
        text.lines().filter(|line| !is_key(line)).map(|line| format!("{line}\n")).collect();
    write_text(file, &kept)?;
    println!("{}", messages::key_removed(name.as_str(), &file_name));
    Ok(())
}
