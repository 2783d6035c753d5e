//! `carobsill apply`.

use std::path::Path;

use config::merge_edits;
use errors::Error;
use kv::{Backoff, Store};
use types::Millis;

use crate::cli::ApplyArgs;
use crate::cmd::store;
use crate::files::{Base, check_rules, read_base, read_text, write_base, write_text};
use crate::messages::{self, Failure};

/// Attempts before the outcome of a write is reported as unknown.
const MAX_ATTEMPTS: u32 = 8;
/// Initial and maximum backoff between attempts.
const BACKOFF_MS: (Millis, Millis) = (Millis(100), Millis(2_000));

/// Applies an edited rules file.
pub fn run(args: &ApplyArgs) -> Result<(), Failure> {
    let name = args.file.display().to_string();
    let ours = read_text(&args.file)?;
    check_rules(&name, &ours)?;
    let base = read_base(&args.file)?;
    let store = store::open(&args.store);
    apply(args, &store, base.as_ref(), &ours)
}

/// Merges, validates and writes the rules until the stored version contains the edits.
///
/// Each attempt starts by reading the stored version. This resolves a write whose response was lost:
/// if it took effect, merging the same edits again changes nothing.
fn apply(
    args: &ApplyArgs,
    store: &dyn Store,
    base: Option<&Base>,
    ours: &str,
) -> Result<(), Failure> {
    let mut backoff = Backoff::new(BACKOFF_MS.0, BACKOFF_MS.1);
    let mut unresolved_write = None;
    for _ in 0..MAX_ATTEMPTS {
        let current = match store::read_rules(store) {
            Ok(current) => current,
            Err(error) if unresolved_write.is_some() => {
                unresolved_write = Some(error);
                std::thread::sleep(backoff.next_wait().to_duration());
                continue;
            }
            Err(error) => return Err(error.into()),
        };
        let merged = merge(args, base, ours, current.as_ref())?;
        let version = current.as_ref().map_or(0, |current| current.version);
        if current.as_ref().is_some_and(|current| current.text == merged) {
            let written = unresolved_write.is_some();
            return finish(
                &args.file,
                version,
                merged,
                if written { ApplyOutcome::Written { ours } } else { ApplyOutcome::Unchanged },
            );
        }
        if args.dry_run {
            print_diff(current.as_ref().map_or("", |current| &current.text), &merged);
            return Ok(());
        }
        match store::write_rules(store, version, &merged) {
            Ok(version) => {
                return finish(&args.file, version, merged, ApplyOutcome::Written { ours });
            }
            Err(Error::VersionConflict(_)) => {}
            Err(error @ Error::Unanswered(_)) => {
                unresolved_write = Some(error);
                std::thread::sleep(backoff.next_wait().to_duration());
            }
            Err(error) if unresolved_write.is_none() => return Err(error.into()),
            Err(error) => unresolved_write = Some(error),
        }
    }
    let cause = unresolved_write.map_or_else(
        || "other writers changed the rules at each attempt".to_owned(),
        |error| error.to_string(),
    );
    Err(Failure::Unresolved(cause))
}

/// Returns the text to store: the edits applied to the stored version.
fn merge(
    args: &ApplyArgs,
    base: Option<&Base>,
    ours: &str,
    current: Option<&Base>,
) -> Result<String, Failure> {
    let name = args.file.display().to_string();
    match (base, current) {
        (_, None) => Ok(ours.to_owned()),
        (None, Some(current)) if current.text == ours => Ok(ours.to_owned()),
        (None, Some(_)) => Err(Failure::NotFound(messages::not_pulled(&name))),
        (Some(base), Some(current)) if current.version == base.version => Ok(ours.to_owned()),
        (Some(base), Some(current)) => {
            let merged =
                merge_edits(&base.text, ours, &current.text).map_err(Failure::Conflicts)?;
            check_rules("the merged rules", &merged)?;
            Ok(merged)
        }
    }
}

/// Whether this command wrote the stored version.
enum ApplyOutcome<'a> {
    Written { ours: &'a str },
    Unchanged,
}

fn finish(
    file: &Path,
    version: u64,
    text: String,
    outcome: ApplyOutcome<'_>,
) -> Result<(), Failure> {
    match outcome {
        ApplyOutcome::Written { ours } => println!("{}", messages::applied(version, ours != text)),
        ApplyOutcome::Unchanged => println!("{}", messages::nothing_to_apply(version)),
    }
    write_text(file, &text)?;
    write_base(file, &Base { version, text })?;
    Ok(())
}

fn print_diff(before: &str, after: &str) {
    let has = |text: &str, line: &str| text.lines().any(|other| other == line);
    for line in before.lines().filter(|line| !has(after, line)) {
        println!("- {line}");
    }
    for line in after.lines().filter(|line| !has(before, line)) {
        println!("+ {line}");
    }
}
