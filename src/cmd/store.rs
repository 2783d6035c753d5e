//! The rules in the key-value service, as commands see them.

use errors::Result;
use kv::{HttpStore, Store};
use metrics::Metrics;
use node::RULES_KEY;
use types::Millis;

use crate::cli::StoreArgs;
use crate::files::Base;

/// Time after which a call counts as unanswered.
const CALL_TIMEOUT_MS: Millis = Millis(3_000);
/// Calls a second that one command may make.
const CALLS_PER_S: u32 = 20;

/// Connects to the service.
pub fn open(args: &StoreArgs) -> HttpStore {
    HttpStore::new(&args.kv, CALL_TIMEOUT_MS, CALLS_PER_S, CALLS_PER_S, Metrics::new(None))
}

/// Reads the rules in force. None if there are none yet.
pub fn read_rules(store: &dyn Store) -> Result<Option<Base>> {
    let stored = store.get(RULES_KEY)?;
    Ok(stored.map(|stored| Base {
        version: stored.version,
        text: String::from_utf8_lossy(&stored.value).into_owned(),
    }))
}

/// Writes the rules if their version is still `expected`.
pub fn write_rules(store: &dyn Store, expected: u64, text: &str) -> Result<u64> {
    store.compare_and_swap(RULES_KEY, expected, text.as_bytes())
}
