//! Client for the platform's key-value service.

mod backoff;
mod budget;
mod http;

use errors::Result;
use types::Millis;

pub use backoff::Backoff;
pub use http::HttpStore;

/// A stored value with its version. A version of 0 means that the key does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Version, which increases with each write of the key.
    pub version: u64,
    /// Value of the key.
    pub value: Vec<u8>,
}

/// The operations of the key-value service that carobsill uses.
///
/// Calls return `Error::Unanswered` if they may have taken effect, `Error::VersionConflict` if a write
/// found another version, `Error::RateLimited` if they were not sent because the process has used up
/// its rate, and `Error::Network` or `Error::Refused` otherwise.
pub trait Store: Send + Sync {
    /// Reads a key.
    fn get(&self, key: &str) -> Result<Option<Stored>>;

    /// Writes a key if its version is still `expected`. Returns the new version.
    fn compare_and_swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<u64>;

    /// Waits up to `wait_ms` until the version differs from `known`. Returns `None` if it does not.
    fn watch(&self, key: &str, known: u64, wait_ms: Millis) -> Result<Option<Stored>>;

    /// Deletes a key. Deleting a key that does not exist succeeds.
    fn delete(&self, key: &str) -> Result<()>;
}
