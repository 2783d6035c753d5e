//! The key-value service, in memory.

use std::collections::BTreeMap;

use libs::rand::Rng;
use pool::{Event, StoreAnswer, StoreCall, StoreFailure};

use super::{Delivery, Fault, Simulation};

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Versions and values by key.
#[derive(Default)]
pub struct FakeStore {
    entries: BTreeMap<String, (u64, Vec<u8>)>,
}

impl FakeStore {
    fn apply(&mut self, call: &StoreCall) -> Result<StoreAnswer, StoreFailure> {
        match call {
            StoreCall::Get { key } => Ok(match self.entries.get(key.as_str()) {
                Some((version, value)) => StoreAnswer::Found(*version, value.clone()),
                None => StoreAnswer::Missing,
            }),
            StoreCall::Swap { key, expected, value } => {
                assert!(value.len() <= MAX_VALUE_BYTES, "a value of {} bytes", value.len());
                let current = self.entries.get(key.as_str()).map_or(0, |(version, _)| *version);
                if current != *expected {
                    return Err(StoreFailure::Conflict);
                }
                self.entries.insert(key.to_string(), (current + 1, value.clone()));
                Ok(StoreAnswer::Swapped(current + 1))
            }
            StoreCall::Delete { key } => {
                self.entries.remove(key.as_str());
                Ok(StoreAnswer::Deleted)
            }
        }
    }
}

impl Simulation {
    /// Handles a call that arrives at the service, and schedules the answer.
    pub(super) fn handle_store_call(&mut self, node: usize, token: u64, call: StoreCall) {
        let down = self.has(&Fault::StoreDown) || self.has(&Fault::Isolate(node));
        let lossy = self.has(&Fault::StoreLossy);
        let answer = if down {
            Err(StoreFailure::Unanswered)
        } else {
            let answer = self.store.apply(&call);
            let answer_lost = lossy && self.random.random_bool(0.5);
            if answer_lost { Err(StoreFailure::Unanswered) } else { answer }
        };
        let delay = self.delay() + if answer == Err(StoreFailure::Unanswered) { 300 } else { 0 };
        self.send_after(delay, Delivery::Node(node, Event::Store(token, answer)));
    }
}
