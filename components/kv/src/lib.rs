//! Client of the platform's key-value service.

mod backoff;
mod budget;
mod http;

use errors::Result;
use types::Millis;

pub use backoff::Backoff;
pub use http::HttpStore;

/// A stored value with its version. Version 0 means that the key does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Version, which grows with each write of the key.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// The operations of the key-value service that carobsill uses.
///
/// Errors: `Unanswered` if the call may have taken effect, `VersionConflict` if a write
/// found another version, `OverBudget` if the call was not sent, and `Net` or `Refused` otherwise.
pub trait Store: Send + Sync {
    /// Reads a key.
    fn get(&self, key: &str) -> Result<Option<Stored>>;

    /// Writes a key if its version is still `expected`. Returns the new version.
    fn compare_and_swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<u64>;

    /// Waits until the version differs from `known`, at most for `wait_ms`. None means no change.
    fn watch(&self, key: &str, known: u64, wait_ms: Millis) -> Result<Option<Stored>>;

    /// Removes a key. Removing a key that does not exist succeeds.
    fn delete(&self, key: &str) -> Result<()>;
}
