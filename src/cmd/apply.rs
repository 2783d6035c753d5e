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

/// Tries before an answer that was lost counts as not to be found out.
const MAX_TRIES: u32 = 8;
/// First and longest wait between tries.
const RETRY_MS: (Millis, Millis) = (Millis(100), Millis(2_000));

/// Puts an edited rules file in force.
pub fn run(args: &ApplyArgs) -> Result<(), Failure> {
    let name = args.file.display().to_string();
    let ours = read_text(&args.file)?;
    check_rules(&name, &ours)?;
    let base = read_base(&args.file)?;
    let store = store::open(&args.store);
    apply(args, &store, base.as_ref(), &ours)
}

/// Merges, checks and writes until the text in force holds the edits.
///
/// Each try starts by reading. A write whose answer was lost is therefore resolved by the next
/// try: if it took effect, merging the same edits again changes nothing.
fn apply(
    args: &ApplyArgs,
    store: &dyn Store,
    base: Option<&Base>,
    ours: &str,
) -> Result<(), Failure> {
    let mut backoff = Backoff::new(RETRY_MS.0, RETRY_MS.1);
    let mut unanswered = None;
    for _ in 0..MAX_TRIES {
        let current = match store::read_rules(store) {
            Ok(current) => current,
            Err(error) if unanswered.is_some() => {
                unanswered = Some(error);
                std::thread::sleep(backoff.next_wait().to_duration());
                continue;
            }
            Err(error) => return Err(error.into()),
        };
        let merged = merge(args, base, ours, current.as_ref())?;
        let version = current.as_ref().map_or(0, |current| current.version);
        if current.as_ref().is_some_and(|current| current.text == merged) {
            let wrote = unanswered.is_some();
            return finish(
                &args.file,
                version,
                merged,
                if wrote { Wrote::Yes { ours } } else { Wrote::No },
            );
        }
        if args.dry_run {
            print_difference(current.as_ref().map_or("", |current| &current.text), &merged);
            return Ok(());
        }
        match store::write_rules(store, version, &merged) {
            Ok(version) => return finish(&args.file, version, merged, Wrote::Yes { ours }),
            Err(Error::VersionConflict(_)) => {}
            Err(error @ Error::Unanswered(_)) => {
                unanswered = Some(error);
                std::thread::sleep(backoff.next_wait().to_duration());
            }
            Err(error) if unanswered.is_none() => return Err(error.into()),
            Err(error) => unanswered = Some(error),
        }
    }
    let cause = unanswered
        .map_or_else(|| "others write all the time".to_owned(), |error| error.to_string());
    Err(Failure::Unresolved(cause))
}

/// The text to store: the edits applied to what is in force now.
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
        (None, Some(_)) => Err(Failure::Missing(messages::not_pulled(&name))),
        (Some(base), Some(current)) if current.version == base.version => Ok(ours.to_owned()),
        (Some(base), Some(current)) => {
            let merged =
                merge_edits(&base.text, ours, &current.text).map_err(Failure::Conflicts)?;
            check_rules("the merged rules", &merged)?;
            Ok(merged)
        }
    }
}

/// Whether this command wrote the version in force.
enum Wrote<'a> {
    Yes { ours: &'a str },
    No,
}

fn finish(file: &Path, version: u64, text: String, wrote: Wrote<'_>) -> Result<(), Failure> {
    match wrote {
        Wrote::Yes { ours } => println!("{}", messages::applied(version, ours != text)),
        Wrote::No => println!("{}", messages::nothing_to_apply(version)),
    }
    write_text(file, &text)?;
    write_base(file, &Base { version, text })?;
    Ok(())
}

fn print_difference(before: &str, after: &str) {
    let has = |text: &str, line: &str| text.lines().any(|other| other == line);
    for line in before.lines().filter(|line| !has(after, line)) {
        println!("- {line}");
    }
    for line in after.lines().filter(|line| !has(before, line)) {
        println!("+ {line}");
    }
}
