//! Watches the rules in the key-value service in a dedicated thread.
//!
//! Only a few processes watch; the others learn of new versions from their peers. A process that has
//! no rules yet reads them from the service itself.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use clock::CancellationToken;
use errors::{Error, Result};
use kv::{Backoff, Store, Stored};
use libs::crossbeam_channel::Sender;
use libs::log::{info, warn};
use types::{Millis, RulesVersion, VersionedRules};

/// Key under which the key-value service stores the rules text.
pub const RULES_KEY: &str = "rules";

/// Longest wait of one watch call, and so the period in which the rules are confirmed again.
const WATCH_WAIT_MS: Millis = Millis(1_000);
/// Pause between two checks of whether this process should watch.
const IDLE_MS: Millis = Millis(50);
/// Pause before the next read while the service holds no rules.
const ABSENT_MS: Millis = Millis(250);
/// Initial and largest upper bound of the wait after a failed call.
const RETRY_MS: (Millis, Millis) = (Millis(100), Millis(1_000));

/// A result of the rules watch.
#[derive(Debug, Clone)]
pub enum RulesUpdate {
    /// The service confirmed that the known version is the newest one.
    Confirmed(RulesVersion),
    /// The service holds a version other than the known one.
    Found(VersionedRules),
}

/// Controls the watch thread. Clones control the same thread.
#[derive(Clone, Default)]
pub struct RulesWatch {
    active: Arc<AtomicBool>,
    known: Arc<AtomicU64>,
}

impl RulesWatch {
    /// Starts the thread. It sends each update to `inputs`, converted by `to_input`.
    pub fn start<T: Send + 'static>(
        store: Arc<dyn Store>,
        inputs: Sender<T>,
        to_input: fn(RulesUpdate) -> T,
        token: CancellationToken,
    ) -> Result<Self> {
        let watch = Self::default();
        let shared = watch.clone();
        thread::Builder::new()
            .name("rules-watch".to_owned())
            .spawn(move || {
                shared.run(store.as_ref(), &|update| inputs.send(to_input(update)).is_ok(), &token)
            })
            .map_err(|error| Error::Io("rules thread".to_owned(), error))?;
        Ok(watch)
    }

    /// Sets whether this process watches the rules.
    pub fn set_active(&self, active: bool) {
        self.active.store(active, Ordering::Relaxed);
    }

    /// Sets the version from which the service's version must differ to count as a change.
    pub fn set_known(&self, version: RulesVersion) {
        self.known.store(version.0, Ordering::Relaxed);
    }

    fn run(
        &self,
        store: &dyn Store,
        publish: &dyn Fn(RulesUpdate) -> bool,
        token: &CancellationToken,
    ) {
        let mut backoff = Backoff::new(RETRY_MS.0, RETRY_MS.1);
        let mut is_reachable = true;
        while !token.is_cancelled() {
            let known = self.known.load(Ordering::Relaxed);
            if known != 0 && !self.active.load(Ordering::Relaxed) {
                thread::sleep(IDLE_MS.to_duration());
                continue;
            }
            let result = if known == 0 {
                store.get(RULES_KEY)
            } else {
                store.watch(RULES_KEY, known, WATCH_WAIT_MS)
            };
            if is_reachable != result.is_ok() {
                is_reachable = !is_reachable;
                log_store_state(is_reachable);
            }
            let wait = match result {
                Ok(found) => {
                    backoff.reset();
                    let is_absent = found.is_none() && known == 0;
                    if !is_absent && !publish(rules_update(found, known)) {
                        return;
                    }
                    if is_absent { ABSENT_MS } else { Millis(0) }
                }
                Err(_) => backoff.next_wait(),
            };
            thread::sleep(wait.to_duration());
        }
    }
}

fn rules_update(found: Option<Stored>, known: u64) -> RulesUpdate {
    match found {
        None => RulesUpdate::Confirmed(RulesVersion(known)),
        Some(stored) => RulesUpdate::Found(VersionedRules {
            version: RulesVersion(stored.version),
            text: String::from_utf8_lossy(&stored.value).into_owned(),
        }),
    }
}

fn log_store_state(is_reachable: bool) {
    if is_reachable {
        info!("the key-value service answers again");
    } else {
        warn!("the key-value service does not answer");
    }
}
