//! Reads and writes rules files and their merge bases.

use std::fs;
use std::path::{Path, PathBuf};

use config::Rules;
use errors::{Error, Result};
use libs::serde_json;
use serde::{Deserialize, Serialize};
use types::RulesVersion;

use crate::messages::Failure;

/// Merge base of a rules file: the stored rules as of its last pull or apply. Kept beside the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Version of the rules in the key-value service.
    pub version: u64,
    /// Text of the rules at that version.
    pub text: String,
}

fn base_path(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(".base");
    PathBuf::from(name)
}

pub fn read_text(file: &Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| Error::Io(file.display().to_string(), error))
}

pub fn write_text(file: &Path, text: &str) -> Result<()> {
    fs::write(file, text).map_err(|error| Error::Io(file.display().to_string(), error))
}

/// Reads the merge base of a rules file. `None` if the file was never pulled or applied.
pub fn read_base(file: &Path) -> Result<Option<Base>> {
    let path = base_path(file);
    if !path.exists() {
        return Ok(None);
    }
    let text = read_text(&path)?;
    serde_json::from_str(&text)
        .map(Some)
        .map_err(|error| Error::Config(format!("{}: {error}", path.display())))
}

/// Stores the merge base of a rules file.
pub fn write_base(file: &Path, base: &Base) -> Result<()> {
    let text = serde_json::to_string(base).map_err(|error| Error::Codec(error.to_string()))?;
    write_text(&base_path(file), &text)
}

/// Validates a rules text. `name` identifies it in messages.
pub fn check_rules(name: &str, text: &str) -> std::result::Result<Rules, Failure> {
    Rules::parse(RulesVersion(0), text)
        .map_err(|problems| Failure::Problems(name.to_owned(), problems))
}
