//! Hands the answers of the advisor on to the next leader, in the transactions that store the roster.

use std::cell::{Cell as StdCell, RefCell};

use cell::AdviceRecords;
use eventlog::event;
use types::Millis;

use crate::codec::encode;
use crate::keys;
use crate::leader::{Leader, read};
use crate::ports::Item;

/// Shortest time between two writes during a term: a record takes up to 64 KiB, and rosters are stored
/// many times a second while workers come and go.
const PERIOD_MS: Millis = Millis(1_000);

/// What is stored of the answers.
#[derive(Default)]
pub(crate) struct StoredAdvice {
    /// The stored value, empty if there is none; `None` if unknown.
    value: RefCell<Option<Vec<u8>>>,
    compared_ms: StdCell<Millis>,
}

/// A record to be stored.
pub(crate) struct AdviceToStore {
    records: AdviceRecords,
    value: Vec<u8>,
}

impl AdviceToStore {
    /// The write that stores it.
    pub(crate) fn put(&self) -> (String, Vec<u8>, u64) {
        (keys::ADVICE.to_owned(), self.value.clone(), 0)
    }
}

impl Leader {
    /// Restores what the former leader stored. Jobs and workers must have been restored before.
    pub(crate) fn restore_advice(&self, cell: &mut cell::Cell, item: Option<&Item>, now: Millis) {
        if let Some(records) = item.and_then(read::<AdviceRecords>) {
            cell.restore_advice(&records, now);
        }
        let value = item.map(|item| item.value.clone()).unwrap_or_default();
        *self.stored_advice.value.borrow_mut() = Some(value);
    }

    /// Record to be stored with a roster during the term, if it has changed and the last one is old
    /// enough.
    pub(crate) fn due_advice(&self, now: Millis) -> Option<AdviceToStore> {
        let stored = &self.stored_advice;
        if now.since(stored.compared_ms.get()) < PERIOD_MS {
            return None;
        }
        stored.compared_ms.set(now);
        self.changed_advice()
    }

    /// Record to be stored if it has changed. Nothing is written where no step needs advice.
    pub(crate) fn changed_advice(&self) -> Option<AdviceToStore> {
        let records = self.cell.borrow().advice_records(clock::now());
        let value = match encode(&records) {
            Ok(value) => value,
            Err(error) => {
                event!("store.encode_failed", "key" => keys::ADVICE, "error" => error.to_string());
                return None;
            }
        };
        let is_stored =
            self.stored_advice.value.borrow().as_ref().is_some_and(|stored| {
                *stored == value || (stored.is_empty() && records.is_empty())
            });
        (!is_stored).then_some(AdviceToStore { records, value })
    }

    /// Takes note of the outcome of a write; of one that was not confirmed it is unknown.
    pub(crate) fn advice_written(&self, advice: Option<AdviceToStore>, is_stored: bool) {
        let Some(AdviceToStore { records, value }) = advice else { return };
        if is_stored {
            event!("advice.stored", "epoch" => self.epoch(), "steps" => records.steps(),
                "allowed" => records.allowed(), "denied" => records.denied(),
                "bytes" => value.len());
        }
        *self.stored_advice.value.borrow_mut() = is_stored.then_some(value);
    }
}
