//! Commits records to a pool's head by compare-and-swap, in groups.
//!
//! One write is in flight at a time. A write without an answer is resolved by reading the head
//! before anything is told to anyone; a write that did not take effect is repeated unchanged.

use types::{Epoch, Millis, NodeId, PoolId};

use crate::event::{StoreAnswer, StoreCall, StoreFailure};
use crate::record::{DurableState, Head, Record};

/// Size of encoded records in the head after which a snapshot is written, in bytes.
const SNAPSHOT_AFTER_BYTES: usize = 16 << 10;
/// Largest encoded group of records for one write, in bytes.
const GROUP_BYTES: usize = 256 << 10;
/// Wait after a call that the own rate did not allow.
const THROTTLED_MS: Millis = Millis(20);
/// First wait after a failed call.
const RETRY_FIRST_MS: Millis = Millis(50);
/// Longest wait after a failed call.
const RETRY_MAX_MS: Millis = Millis(1_000);
/// Epochs are far enough apart in snapshot numbers that two owners never use the same one.
const SNAPSHOTS_PER_EPOCH: u64 = 1 << 32;

/// What came of an answer of the key-value service.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Progress<T> {
    /// Nothing to tell yet.
    Pending,
    /// This process is the owner from now on.
    Claimed,
    /// These follow-ups may happen now, in order.
    Committed(Vec<T>),
    /// The pool is handed over.
    Released,
    /// Another process owns the pool. The follow-ups of records in flight are lost.
    Lost(Vec<T>),
    /// The attempt to become owner failed.
    ClaimFailed,
}

/// What the write in flight is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Claim,
    Commit,
    Release,
}

#[derive(Debug)]
enum Stage {
    /// Reading the head before a claim.
    ReadHead,
    /// Reading the snapshot before a claim.
    ReadSnapshot,
    /// Writing a snapshot before a commit.
    WriteSnapshot,
    /// Writing the head.
    Swap,
    /// Reading the head to find out whether a write took effect.
    Verify,
}

#[derive(Debug)]
struct Flight<T> {
    purpose: Purpose,
    stage: Stage,
    /// The head to write.
    head: Head,
    follow_ups: Vec<T>,
    /// When to repeat the call; none while an answer is awaited.
    retry_at: Option<Millis>,
}

/// The journal of one pool. `T` is what follows a commit.
pub(crate) struct Journal<T> {
    pool: PoolId,
    me: NodeId,
    head: Head,
    /// Version of the head in the key-value service.
    version: u64,
    state: DurableState,
    head_bytes: usize,
    pending: Vec<(Record, Option<T>)>,
    flight: Option<Flight<T>>,
    next_write_id: u64,
    failures: u32,
    last_commit_at: Option<Millis>,
    /// A snapshot that nothing refers to any more.
    obsolete_snapshot: Option<u64>,
}

impl<T> Journal<T> {
    pub(crate) fn new(pool: PoolId, me: NodeId) -> Self {
        let next_write_id = me.incarnation;
        Self {
            pool,
            me,
            head: Head::default(),
            version: 0,
            state: DurableState::default(),
            head_bytes: 0,
            pending: Vec::new(),
            flight: None,
            next_write_id,
            failures: 0,
            last_commit_at: None,
            obsolete_snapshot: None,
        }
    }

    /// The committed state.
    pub(crate) fn state(&self) -> &DurableState {
        &self.state
    }

    /// The epoch of the committed head.
    pub(crate) fn epoch(&self) -> Epoch {
        self.head.epoch
    }

    /// Whether the last call to the key-value service failed.
    pub(crate) fn store_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether records wait for their commit.
    pub(crate) fn has_uncommitted(&self) -> bool {
        !self.pending.is_empty() || self.flight.is_some()
    }

    /// Number of records that wait for a write.
    pub(crate) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Adds a record. Its follow-up happens after the commit.
    pub(crate) fn append(&mut self, record: Record, follow_up: Option<T>) {
        self.pending.push((record, follow_up));
    }

    /// Follow-ups of records that were never sent.
    pub(crate) fn take_pending(&mut self) -> Vec<T> {
        self.pending.drain(..).filter_map(|(_, follow_up)| follow_up).collect()
    }

    /// Begins to claim the pool, unless a call is in flight.
    pub(crate) fn claim(&mut self) -> Option<StoreCall> {
        if self.flight.is_some() {
            return None;
        }
        self.start(Purpose::Claim, Stage::ReadHead, Head::default(), Vec::new())
    }

    /// Begins to hand the pool over, unless records wait.
    pub(crate) fn release(&mut self) -> Option<StoreCall> {
        if self.has_uncommitted() {
            return None;
        }
        let head = Head { owner: None, write_id: self.new_write_id(), ..self.head.clone() };
        self.start(Purpose::Release, Stage::Swap, head, Vec::new())
    }

    /// The next call to make at this time, if any.
    pub(crate) fn poll(&mut self, now: Millis, commit_ms: Millis) -> Option<StoreCall> {
        if let Some(flight) = &mut self.flight {
            if flight.retry_at.is_none_or(|at| at > now) {
                return None;
            }
            flight.retry_at = None;
            return Some(self.call());
        }
        if let Some(snapshot) = self.obsolete_snapshot.take() {
            return Some(StoreCall::Delete { key: Head::snapshot_key(&self.pool, snapshot) });
        }
        let too_early = self.last_commit_at.is_some_and(|at| now.since(at) < commit_ms);
        if self.pending.is_empty() || too_early {
            return None;
        }
        self.last_commit_at = Some(now);
        self.start_commit()
    }

    fn start_commit(&mut self) -> Option<StoreCall> {
        let mut head = Head { write_id: self.new_write_id(), ..self.head.clone() };
        let needs_snapshot = self.head_bytes > SNAPSHOT_AFTER_BYTES;
        if needs_snapshot {
            head.snapshot = Some(self.next_snapshot());
            head.records.clear();
        }
        let mut follow_ups = Vec::new();
        let mut group_bytes = 0;
        let mut taken = 0;
        for (record, _) in &self.pending {
            group_bytes += record_bytes(record);
            if taken > 0 && group_bytes > GROUP_BYTES {
                break;
            }
            taken += 1;
        }
        for (record, follow_up) in self.pending.drain(..taken) {
            head.records.push(record);
            follow_ups.extend(follow_up);
        }
        let stage = if needs_snapshot { Stage::WriteSnapshot } else { Stage::Swap };
        self.start(Purpose::Commit, stage, head, follow_ups)
    }

    fn start(
        &mut self,
        purpose: Purpose,
        stage: Stage,
        head: Head,
        follow_ups: Vec<T>,
    ) -> Option<StoreCall> {
        self.flight = Some(Flight { purpose, stage, head, follow_ups, retry_at: None });
        Some(self.call())
    }

    fn new_write_id(&mut self) -> u64 {
        self.next_write_id = self.next_write_id.wrapping_add(1);
        self.next_write_id
    }

    fn next_snapshot(&self) -> u64 {
        let first = self.head.epoch.0 * SNAPSHOTS_PER_EPOCH;
        self.head.snapshot.map_or(first, |last| first.max(last + 1))
    }

    /// The call of the flight's present stage.
    fn call(&self) -> StoreCall {
        let head_key = Head::key(&self.pool);
        let Some(flight) = &self.flight else { return StoreCall::Get { key: head_key } };
        let snapshot_key = Head::snapshot_key(&self.pool, flight.head.snapshot.unwrap_or_default());
        match flight.stage {
            Stage::ReadHead | Stage::Verify => StoreCall::Get { key: head_key },
            Stage::ReadSnapshot => StoreCall::Get { key: snapshot_key },
            Stage::WriteSnapshot => {
                StoreCall::Swap { key: snapshot_key, expected: 0, value: self.state.encode() }
            }
            Stage::Swap => StoreCall::Swap {
                key: head_key,
                expected: self.version,
                value: flight.head.encode(),
            },
        }
    }

    /// Takes the answer of the last call. Returns what came of it and the next call.
    pub(crate) fn answer(
        &mut self,
        now: Millis,
        answer: Result<StoreAnswer, StoreFailure>,
    ) -> (Progress<T>, Option<StoreCall>) {
        let Some(flight) = &self.flight else { return (Progress::Pending, None) };
        let is_write = matches!(flight.stage, Stage::Swap);
        match answer {
            Ok(answer) => {
                self.failures = 0;
                self.take_answer(answer)
            }
            Err(StoreFailure::Conflict) => {
                self.failures = 0;
                self.take_conflict()
            }
            Err(StoreFailure::Unanswered) if is_write => {
                self.set_stage(Stage::Verify);
                self.retry_later(now);
                (Progress::Pending, None)
            }
            Err(StoreFailure::Throttled) => {
                if let Some(flight) = &mut self.flight {
                    flight.retry_at = Some(now + THROTTLED_MS);
                }
                (Progress::Pending, None)
            }
            Err(_) => {
                self.retry_later(now);
                (Progress::Pending, None)
            }
        }
    }

    fn retry_later(&mut self, now: Millis) {
        let wait = Millis(RETRY_FIRST_MS.0 << self.failures.min(8)).min(RETRY_MAX_MS);
        self.failures += 1;
        if let Some(flight) = &mut self.flight {
            flight.retry_at = Some(now + wait);
        }
    }

    fn set_stage(&mut self, stage: Stage) {
        if let Some(flight) = &mut self.flight {
            flight.stage = stage;
        }
    }

    fn take_conflict(&mut self) -> (Progress<T>, Option<StoreCall>) {
        let Some(flight) = &self.flight else { return (Progress::Pending, None) };
        // A snapshot key is written by one owner only: a conflict means that an earlier try took effect.
        let next =
            if matches!(flight.stage, Stage::WriteSnapshot) { Stage::Swap } else { Stage::Verify };
        self.set_stage(next);
        (Progress::Pending, Some(self.call()))
    }

    fn take_answer(&mut self, answer: StoreAnswer) -> (Progress<T>, Option<StoreCall>) {
        let Some(flight) = &mut self.flight else { return (Progress::Pending, None) };
        match (&flight.stage, answer) {
            (Stage::Swap, StoreAnswer::Swapped(version)) => (self.finish(version), None),
            (Stage::WriteSnapshot, StoreAnswer::Swapped(_)) => self.next_stage(Stage::Swap),
            (Stage::ReadHead, StoreAnswer::Missing) => self.claim_over(0, Head::default()),
            (Stage::ReadHead, StoreAnswer::Found(version, bytes)) => match Head::decode(&bytes) {
                Ok(head) => self.claim_over(version, head),
                Err(_) => (self.fail(), None),
            },
            (Stage::ReadSnapshot, StoreAnswer::Found(_, bytes)) => {
                match DurableState::decode(&bytes) {
                    Ok(state) => {
                        self.state = state;
                        self.next_stage(Stage::Swap)
                    }
                    Err(_) => (self.fail(), None),
                }
            }
            (Stage::Verify, StoreAnswer::Found(version, bytes)) => match Head::decode(&bytes) {
                Ok(head) => self.verify(version, &head),
                Err(_) => (self.fail(), None),
            },
            (Stage::Verify, StoreAnswer::Missing) if self.version == 0 => {
                self.next_stage(Stage::Swap)
            }
            _ => (self.fail(), None),
        }
    }

    fn next_stage(&mut self, stage: Stage) -> (Progress<T>, Option<StoreCall>) {
        self.set_stage(stage);
        (Progress::Pending, Some(self.call()))
    }

    fn claim_over(&mut self, version: u64, found: Head) -> (Progress<T>, Option<StoreCall>) {
        let write_id = self.new_write_id();
        let epoch = found.epoch.next();
        let has_snapshot = found.snapshot.is_some();
        self.version = version;
        self.state = DurableState::default();
        if let Some(flight) = &mut self.flight {
            flight.head = Head { owner: Some(self.me.clone()), epoch, write_id, ..found };
        }
        self.next_stage(if has_snapshot { Stage::ReadSnapshot } else { Stage::Swap })
    }

    fn verify(&mut self, version: u64, found: &Head) -> (Progress<T>, Option<StoreCall>) {
        let Some(flight) = &self.flight else { return (Progress::Pending, None) };
        // The whole head is compared: write ids of two processes may be equal.
        if *found == flight.head {
            return (self.finish(version), None);
        }
        if version == self.version {
            return self.next_stage(Stage::Swap);
        }
        (self.fail(), None)
    }

    /// The flight's write took effect.
    fn finish(&mut self, version: u64) -> Progress<T> {
        let Some(flight) = self.flight.take() else { return Progress::Pending };
        self.version = version;
        let old = std::mem::replace(&mut self.head, flight.head);
        match flight.purpose {
            Purpose::Claim => {
                for record in &self.head.records {
                    self.state.apply(record);
                }
                self.head_bytes = self.head.records.iter().map(record_bytes).sum();
                Progress::Claimed
            }
            Purpose::Release => Progress::Released,
            Purpose::Commit => {
                let snapshot_written = old.snapshot != self.head.snapshot;
                let known = if snapshot_written { 0 } else { old.records.len() };
                if snapshot_written {
                    self.obsolete_snapshot = old.snapshot;
                    self.head_bytes = 0;
                }
                for record in &self.head.records[known..] {
                    self.state.apply(record);
                    self.head_bytes += record_bytes(record);
                }
                Progress::Committed(flight.follow_ups)
            }
        }
    }

    /// Another process wrote the head, or what stands there cannot be read.
    fn fail(&mut self) -> Progress<T> {
        let Some(flight) = self.flight.take() else { return Progress::Pending };
        match flight.purpose {
            Purpose::Claim => Progress::ClaimFailed,
            Purpose::Commit | Purpose::Release => Progress::Lost(flight.follow_ups),
        }
    }
}

fn record_bytes(record: &Record) -> usize {
    libs::postcard::experimental::serialized_size(record).unwrap_or(0)
}
