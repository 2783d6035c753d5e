//! Watches the rules in the key-value service, in a thread of its own.
//!
//! Only a few processes watch; the others hear of new versions from their peers. A process that
//! has no rules yet reads them once by itself.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use clock::CancellationToken;
use errors::{Error, Result};
use kv::{Backoff, Store, Stored};
use libs::crossbeam_channel::Sender;
use libs::log::{info, warn};
use types::{Millis, RulesCopy, RulesVersion};

/// Key of the rules text.
pub const RULES_KEY: &str = "rules";

/// Longest wait of one watch. Also the age at which a confirmation is renewed.
const WATCH_WAIT_MS: Millis = Millis(1_000);
/// Pause while this process need not watch.
const IDLE_MS: Millis = Millis(50);
/// Pause of a process that has no rules and finds none.
const ABSENT_MS: Millis = Millis(250);
/// First and longest wait after a failed call.
const RETRY_MS: (Millis, Millis) = (Millis(100), Millis(1_000));

/// What the watch found out.
#[derive(Debug, Clone)]
pub enum RulesUpdate {
    /// The service confirmed that this is the newest version.
    Confirmed(RulesVersion),
    /// The service holds another version.
    Found(RulesCopy),
}

/// Controls the watching thread. Clones share it.
#[derive(Clone, Default)]
pub struct RulesWatch {
    active: Arc<AtomicBool>,
    known: Arc<AtomicU64>,
}

impl RulesWatch {
    /// Starts the thread. News go through `tell`.
    pub fn start<T: Send + 'static>(
        store: Arc<dyn Store>,
        ring: Sender<T>,
        tell: fn(RulesUpdate) -> T,
        token: CancellationToken,
    ) -> Result<Self> {
        let watch = Self::default();
        let shared = watch.clone();
        thread::Builder::new()
            .name("rules-watch".to_owned())
            .spawn(move || {
                shared.run(store.as_ref(), &|news| ring.send(tell(news)).is_ok(), &token)
            })
            .map_err(|error| Error::File("rules thread".to_owned(), error))?;
        Ok(watch)
    }

    /// Says whether this process is one of those that watch.
    pub fn set_active(&self, active: bool) {
        self.active.store(active, Ordering::Relaxed);
    }

    /// Says which version is in force.
    pub fn set_known(&self, version: RulesVersion) {
        self.known.store(version.0, Ordering::Relaxed);
    }

    fn run(
        &self,
        store: &dyn Store,
        tell: &dyn Fn(RulesUpdate) -> bool,
        token: &CancellationToken,
    ) {
        let mut backoff = Backoff::new(RETRY_MS.0, RETRY_MS.1);
        let mut answers = true;
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
            if answers != result.is_ok() {
                answers = !answers;
                log_store_state(answers);
            }
            let wait = match result {
                Ok(found) => {
                    backoff.reset();
                    let is_absent = found.is_none() && known == 0;
                    if !is_absent && !tell(news_of(found, known)) {
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

fn news_of(found: Option<Stored>, known: u64) -> RulesUpdate {
    match found {
        None => RulesUpdate::Confirmed(RulesVersion(known)),
        Some(stored) => RulesUpdate::Found(RulesCopy {
            version: RulesVersion(stored.version),
            text: String::from_utf8_lossy(&stored.value).into_owned(),
        }),
    }
}

fn log_store_state(answers: bool) {
    if answers {
        info!("the key-value service answers again");
    } else {
        warn!("the key-value service does not answer");
    }
}
