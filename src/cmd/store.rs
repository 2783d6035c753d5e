//! Access to the rules in the key-value service.

use errors::Result;
use kv::{HttpStore, Store};
use metrics::Metrics;
use node::RULES_KEY;
use types::Millis;

use crate::cli::StoreArgs;
use crate::files::Base;

/// Timeout of a call. The outcome of a call that times out is unknown.
const CALL_TIMEOUT_MS: Millis = Millis(3_000);
/// Maximum rate of reads and of writes by one command.
const CALLS_PER_S: u32 = 20;

/// Creates a client of the key-value service.
pub fn open(args: &StoreArgs) -> HttpStore {
    HttpStore::new(&args.kv, CALL_TIMEOUT_MS, CALLS_PER_S, CALLS_PER_S, Metrics::new(None))
}

/// Reads the rules in force. `None` if none are stored yet.
pub fn read_rules(store: &dyn Store) -> Result<Option<Base>> {
    let stored = store.get(RULES_KEY)?;
    Ok(stored.map(|stored| Base {
        version: stored.version,
        text: String::from_utf8_lossy(&stored.value).into_owned(),
    }))
}

/// Writes the rules if their version is still `expected`. Returns the new version.
pub fn write_rules(store: &dyn Store, expected: u64, text: &str) -> Result<u64> {
    store.compare_and_swap(RULES_KEY, expected, text.as_bytes())
}
