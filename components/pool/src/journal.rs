//! Commits records to a pool's head document by compare-and-swap, in groups.
//!
//! At most one write is in flight. If a write gets no answer, the head is read to find out whether
//! it took effect, and no result is reported before that. A write that did not take effect is
//! repeated unchanged.

use types::{Epoch, Millis, NodeId, PoolId};

use crate::event::{StoreAnswer, StoreCall, StoreFailure};
use crate::record::{DurableState, Head, Record};

/// Size of the encoded records in the head above which the next commit writes a snapshot.
const SNAPSHOT_AFTER_BYTES: usize = 16 << 10;
/// Maximum encoded size of the records in one commit. A single larger record is committed alone.
const MAX_GROUP_BYTES: usize = 256 << 10;
/// Retry delay after a call that was throttled by this process.
const THROTTLE_RETRY_MS: Millis = Millis(20);
/// Delay before the first retry of a failed call.
const INITIAL_BACKOFF_MS: Millis = Millis(50);
/// Maximum delay between retries of a failed call.
const MAX_BACKOFF_MS: Millis = Millis(1_000);
/// Number range of snapshots in one epoch. It is large enough that two owners never use the same
/// snapshot number.
const SNAPSHOTS_PER_EPOCH: u64 = 1 << 32;

/// Result of processing an answer of the key-value service.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Progress<T> {
    /// The operation is still in progress.
    Pending,
    /// This process is now the owner.
    Claimed,
    /// Records were committed; their follow-ups may run now, in order.
    Committed(Vec<T>),
    /// The pool was handed over.
    Released,
    /// Another process owns the pool. The outcome of the write that carried these follow-ups is
    /// unknown.
    Lost(Vec<T>),
    /// The claim failed.
    ClaimFailed,
}

/// Purpose of the operation in flight.
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
    /// Writing a snapshot before the head.
    WriteSnapshot,
    /// Writing the head.
    Swap,
    /// Reading the head to find out whether a write took effect.
    Verify,
}

#[derive(Debug)]
struct InFlight<T> {
    purpose: Purpose,
    stage: Stage,
    /// The head document to write.
    head: Head,
    follow_ups: Vec<T>,
    /// When to repeat the call; none while waiting for an answer.
    retry_at: Option<Millis>,
}

/// The journal of one pool. `T` is the type of the follow-ups.
pub(crate) struct Journal<T> {
    pool: PoolId,
    node: NodeId,
    head: Head,
    /// Version of the head in the key-value service.
    version: u64,
    state: DurableState,
    head_bytes: usize,
    pending: Vec<(Record, Option<T>)>,
    in_flight: Option<InFlight<T>>,
    next_write_id: u64,
    failures: u32,
    last_commit_at: Option<Millis>,
    /// A snapshot that the head no longer refers to.
    obsolete_snapshot: Option<u64>,
}

impl<T> Journal<T> {
    pub(crate) fn new(pool: PoolId, node: NodeId) -> Self {
        let next_write_id = node.incarnation;
        Self {
            pool,
            node,
            head: Head::default(),
            version: 0,
            state: DurableState::default(),
            head_bytes: 0,
            pending: Vec::new(),
            in_flight: None,
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

    /// Whether the most recent call to the key-value service failed.
    pub(crate) fn store_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether any record is not committed yet.
    pub(crate) fn has_uncommitted(&self) -> bool {
        !self.pending.is_empty() || self.in_flight.is_some()
    }

    /// Number of records that are not part of a write yet.
    pub(crate) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Queues a record for the next commit. Its follow-up is returned after the commit.
    pub(crate) fn append(&mut self, record: Record, follow_up: Option<T>) {
        self.pending.push((record, follow_up));
    }

    /// Removes all records that were never sent and returns their follow-ups.
    pub(crate) fn take_pending(&mut self) -> Vec<T> {
        self.pending.drain(..).filter_map(|(_, follow_up)| follow_up).collect()
    }

    /// Starts a claim of the pool, unless an operation is in flight.
    pub(crate) fn claim(&mut self) -> Option<StoreCall> {
        if self.in_flight.is_some() {
            return None;
        }
        self.start(Purpose::Claim, Stage::ReadHead, Head::default(), Vec::new())
    }

    /// Starts the handover of the pool, unless records are uncommitted.
    pub(crate) fn release(&mut self) -> Option<StoreCall> {
        if self.has_uncommitted() {
            return None;
        }
        let head = Head { owner: None, write_id: self.new_write_id(), ..self.head.clone() };
        self.start(Purpose::Release, Stage::Swap, head, Vec::new())
    }

    /// Returns the next call that is due, if any.
    pub(crate) fn poll(&mut self, now: Millis, commit_ms: Millis) -> Option<StoreCall> {
        if let Some(in_flight) = &mut self.in_flight {
            if in_flight.retry_at.is_none_or(|at| at > now) {
                return None;
            }
            in_flight.retry_at = None;
            return Some(self.call());
        }
        if let Some(snapshot) = self.obsolete_snapshot.take() {
            return Some(StoreCall::Delete { key: Head::snapshot_key(&self.pool, snapshot) });
        }
        let within_interval = self.last_commit_at.is_some_and(|at| now.since(at) < commit_ms);
        if self.pending.is_empty() || within_interval {
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
            if taken > 0 && group_bytes > MAX_GROUP_BYTES {
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
        self.in_flight = Some(InFlight { purpose, stage, head, follow_ups, retry_at: None });
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

    /// Builds the call for the current stage.
    fn call(&self) -> StoreCall {
        let head_key = Head::key(&self.pool);
        let Some(in_flight) = &self.in_flight else { return StoreCall::Get { key: head_key } };
        let snapshot_key =
            Head::snapshot_key(&self.pool, in_flight.head.snapshot.unwrap_or_default());
        match in_flight.stage {
            Stage::ReadHead | Stage::Verify => StoreCall::Get { key: head_key },
            Stage::ReadSnapshot => StoreCall::Get { key: snapshot_key },
            Stage::WriteSnapshot => {
                StoreCall::Swap { key: snapshot_key, expected: 0, value: self.state.encode() }
            }
            Stage::Swap => StoreCall::Swap {
                key: head_key,
                expected: self.version,
                value: in_flight.head.encode(),
            },
        }
    }

    /// Handles the answer to the last call. Returns the progress and the next call.
    pub(crate) fn answer(
        &mut self,
        now: Millis,
        answer: Result<StoreAnswer, StoreFailure>,
    ) -> (Progress<T>, Option<StoreCall>) {
        let Some(in_flight) = &self.in_flight else { return (Progress::Pending, None) };
        let is_write = matches!(in_flight.stage, Stage::Swap);
        match answer {
            Ok(answer) => {
                self.failures = 0;
                self.handle_answer(answer)
            }
            Err(StoreFailure::Conflict) => {
                self.failures = 0;
                self.handle_conflict()
            }
            Err(StoreFailure::Unanswered) if is_write => {
                self.set_stage(Stage::Verify);
                self.retry_later(now);
                (Progress::Pending, None)
            }
            Err(StoreFailure::Throttled) => {
                if let Some(in_flight) = &mut self.in_flight {
                    in_flight.retry_at = Some(now + THROTTLE_RETRY_MS);
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
        let wait = Millis(INITIAL_BACKOFF_MS.0 << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.retry_at = Some(now + wait);
        }
    }

    fn set_stage(&mut self, stage: Stage) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.stage = stage;
        }
    }

    fn handle_conflict(&mut self) -> (Progress<T>, Option<StoreCall>) {
        let Some(in_flight) = &self.in_flight else { return (Progress::Pending, None) };
        // Only one owner writes a snapshot key, so a conflict means that an earlier attempt took
        // effect.
        let next = if matches!(in_flight.stage, Stage::WriteSnapshot) {
            Stage::Swap
        } else {
            Stage::Verify
        };
        self.set_stage(next);
        (Progress::Pending, Some(self.call()))
    }

    fn handle_answer(&mut self, answer: StoreAnswer) -> (Progress<T>, Option<StoreCall>) {
        let Some(in_flight) = &mut self.in_flight else { return (Progress::Pending, None) };
        match (&in_flight.stage, answer) {
            (Stage::Swap, StoreAnswer::Swapped(version)) => (self.finish(version), None),
            (Stage::WriteSnapshot, StoreAnswer::Swapped(_)) => self.next_stage(Stage::Swap),
            (Stage::ReadHead, StoreAnswer::Missing) => self.claim_from(0, Head::default()),
            (Stage::ReadHead, StoreAnswer::Found(version, bytes)) => match Head::decode(&bytes) {
                Ok(head) => self.claim_from(version, head),
                Err(_) => (self.abort(), None),
            },
            (Stage::ReadSnapshot, StoreAnswer::Found(_, bytes)) => {
                match DurableState::decode(&bytes) {
                    Ok(state) => {
                        self.state = state;
                        self.next_stage(Stage::Swap)
                    }
                    Err(_) => (self.abort(), None),
                }
            }
            (Stage::Verify, StoreAnswer::Found(version, bytes)) => match Head::decode(&bytes) {
                Ok(head) => self.verify(version, &head),
                Err(_) => (self.abort(), None),
            },
            (Stage::Verify, StoreAnswer::Missing) if self.version == 0 => {
                self.next_stage(Stage::Swap)
            }
            _ => (self.abort(), None),
        }
    }

    fn next_stage(&mut self, stage: Stage) -> (Progress<T>, Option<StoreCall>) {
        self.set_stage(stage);
        (Progress::Pending, Some(self.call()))
    }

    fn claim_from(&mut self, version: u64, found: Head) -> (Progress<T>, Option<StoreCall>) {
        let write_id = self.new_write_id();
        let epoch = found.epoch.next();
        let has_snapshot = found.snapshot.is_some();
        self.version = version;
        self.state = DurableState::default();
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.head = Head { owner: Some(self.node.clone()), epoch, write_id, ..found };
        }
        self.next_stage(if has_snapshot { Stage::ReadSnapshot } else { Stage::Swap })
    }

    fn verify(&mut self, version: u64, found: &Head) -> (Progress<T>, Option<StoreCall>) {
        let Some(in_flight) = &self.in_flight else { return (Progress::Pending, None) };
        // Compare the whole head, because two processes can use the same write id.
        if *found == in_flight.head {
            return (self.finish(version), None);
        }
        if version == self.version {
            return self.next_stage(Stage::Swap);
        }
        (self.abort(), None)
    }

    /// Completes the operation in flight after its write took effect.
    fn finish(&mut self, version: u64) -> Progress<T> {
        let Some(in_flight) = self.in_flight.take() else { return Progress::Pending };
        self.version = version;
        let old = std::mem::replace(&mut self.head, in_flight.head);
        match in_flight.purpose {
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
                let already_applied = if snapshot_written { 0 } else { old.records.len() };
                if snapshot_written {
                    self.obsolete_snapshot = old.snapshot;
                    self.head_bytes = 0;
                }
                for record in &self.head.records[already_applied..] {
                    self.state.apply(record);
                    self.head_bytes += record_bytes(record);
                }
                Progress::Committed(in_flight.follow_ups)
            }
        }
    }

    /// Aborts the operation in flight, because another process wrote the head or the stored value
    /// is invalid.
    fn abort(&mut self) -> Progress<T> {
        let Some(in_flight) = self.in_flight.take() else { return Progress::Pending };
        match in_flight.purpose {
            Purpose::Claim => Progress::ClaimFailed,
            Purpose::Commit | Purpose::Release => Progress::Lost(in_flight.follow_ups),
        }
    }
}

fn record_bytes(record: &Record) -> usize {
    libs::postcard::experimental::serialized_size(record).unwrap_or(0)
}
