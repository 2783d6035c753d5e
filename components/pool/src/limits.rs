//! Upper limits of teams. Each limit is split into slices, one for each pool, so that a pool can
//! start work without coordination.
//!
//! Teams are distributed over several documents, which hold the slices of all pools. The sum of the
//! slices never exceeds the limit. A pool enlarges or returns its slice by compare-and-swap. While
//! the key-value service does not answer, the slices stay as they are.

use std::collections::{BTreeMap, BTreeSet};

use config::{Limit, Rules};
use errors::Error;
use libs::compact_str::CompactString;
use libs::postcard;
use serde::{Deserialize, Serialize};
use types::{Millis, PoolId, Resources, TeamId, stable_hash};

use crate::event::{StoreAnswer, StoreCall, StoreFailure};

/// Number of documents over which teams are distributed.
const BUCKETS: u64 = 8;
/// Minimum interval between two reads of the same document.
const MIN_READ_INTERVAL_MS: Millis = Millis(250);
/// Regular interval between two reads of a document.
const REFRESH_MS: Millis = Millis(5_000);
/// Interval between two reads of a document while another pool wants a larger slice.
const CONTENDED_REFRESH_MS: Millis = Millis(1_000);
/// Part of the whole limit that a pool asks for beyond its immediate need.
const CHUNK_PERCENT: u64 = 5;

/// An amount of all limited resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Amount {
    /// Resources of running tasks.
    pub(crate) resources: Resources,
    /// Runner slots in use.
    pub(crate) slots: u64,
}

impl Amount {
    fn parts(&self) -> [u64; 4] {
        [self.resources.cpu_milli, self.resources.mem_mb, self.resources.accels, self.slots]
    }

    fn from_parts(parts: [u64; 4]) -> Self {
        let [cpu_milli, mem_mb, accels, slots] = parts;
        Self { resources: Resources { cpu_milli, mem_mb, accels }, slots }
    }

    fn zip_with(&self, other: &Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        let (left, right) = (self.parts(), other.parts());
        Self::from_parts(std::array::from_fn(|index| combine(left[index], right[index])))
    }

    pub(crate) fn plus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    pub(crate) fn minus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_sub)
    }

    fn min(&self, other: &Self) -> Self {
        self.zip_with(other, u64::min)
    }

    fn max(&self, other: &Self) -> Self {
        self.zip_with(other, u64::max)
    }

    /// Whether every part of `self` is at least as large as the same part of `other`.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        self.parts().iter().zip(other.parts()).all(|(own, part)| *own >= part)
    }

    pub(crate) fn of_resources(resources: Resources) -> Self {
        Self { resources, slots: 0 }
    }

    pub(crate) fn one_slot() -> Self {
        Self::slots(1)
    }

    pub(crate) fn slots(slots: u64) -> Self {
        Self { resources: Resources::ZERO, slots }
    }
}

impl From<Limit> for Amount {
    fn from(limit: Limit) -> Self {
        Self { resources: limit.resources, slots: limit.slots }
    }
}

/// Use that was refused to a team.
#[derive(Debug, Clone, Copy, Default)]
struct Need {
    /// Total use required for the next start.
    required: Amount,
    /// Total use that the team could reach at once.
    desired: Amount,
}

/// Slices of one team's limit.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
struct TeamSlices {
    slices: BTreeMap<PoolId, Amount>,
    /// Pools whose slice is smaller than they need.
    wanted_by: BTreeSet<PoolId>,
}

/// The document of one bucket.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
struct BucketDoc {
    teams: BTreeMap<TeamId, TeamSlices>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Idle,
    Reading,
    Writing,
}

#[derive(Debug)]
struct Bucket {
    stage: Stage,
    version: u64,
    doc: BucketDoc,
    /// The document that is being written.
    proposed: BucketDoc,
    read_at: Option<Millis>,
    needs_read: bool,
    /// Whether the document was read or written since this process became the owner.
    is_loaded: bool,
}

/// The limits of all teams, as seen by one pool.
pub(crate) struct Limits {
    pool: PoolId,
    /// This pool's slice for each limited team, as last confirmed.
    slices: BTreeMap<TeamId, Amount>,
    used: BTreeMap<TeamId, Amount>,
    /// Use that was refused since the last confirmed document.
    needs: BTreeMap<TeamId, Need>,
    /// Number of pools that share the limits.
    pool_count: u64,
    limits: BTreeMap<TeamId, Amount>,
    /// Bucket of each limited team.
    bucket_of: BTreeMap<TeamId, usize>,
    /// Upper bound of what any team may be using on workers that are not resolved yet.
    unattributed: Amount,
    buckets: Vec<Bucket>,
}

impl Limits {
    pub(crate) fn new(pool: PoolId) -> Self {
        let bucket = || Bucket {
            stage: Stage::Idle,
            version: 0,
            doc: BucketDoc::default(),
            proposed: BucketDoc::default(),
            read_at: None,
            needs_read: false,
            is_loaded: false,
        };
        Self {
            pool,
            unattributed: Amount::default(),
            slices: BTreeMap::new(),
            used: BTreeMap::new(),
            needs: BTreeMap::new(),
            pool_count: 1,
            limits: BTreeMap::new(),
            bucket_of: BTreeMap::new(),
            buckets: (0..BUCKETS).map(|_| bucket()).collect(),
        }
    }

    /// Discards slices and use after a change of ownership. Keeps the limits.
    pub(crate) fn reset(&mut self) {
        let limits = std::mem::take(&mut self.limits);
        let bucket_of = std::mem::take(&mut self.bucket_of);
        *self =
            Self { limits, bucket_of, pool_count: self.pool_count, ..Self::new(self.pool.clone()) };
    }

    /// Applies the limits of new rules. Buckets with a changed limit are read as soon as possible.
    pub(crate) fn set_rules(&mut self, rules: &Rules) {
        let limits: BTreeMap<TeamId, Amount> =
            rules.limits().map(|(team, limit)| (team.clone(), Amount::from(limit))).collect();
        let changed: Vec<TeamId> = limits
            .iter()
            .filter(|(team, limit)| self.limits.get(*team) != Some(limit))
            .map(|(team, _)| team.clone())
            .collect();
        self.bucket_of = limits.keys().map(|team| (team.clone(), bucket_of(team))).collect();
        self.limits = limits;
        self.pool_count = rules.pools().count().max(1) as u64;
        for team in changed {
            self.buckets[bucket_of(&team)].needs_read = true;
            if let Some(slice) = self.slices.get_mut(&team) {
                *slice = slice.min(&self.limits[&team]);
            }
        }
    }

    pub(crate) fn set_unattributed(&mut self, unattributed: Amount) {
        self.unattributed = unattributed;
    }

    /// The team's use in this pool.
    pub(crate) fn used(&self, team: &TeamId) -> Amount {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// The team's slice in this pool, if the team has a limit.
    pub(crate) fn slice(&self, team: &TeamId) -> Option<Amount> {
        self.limits.contains_key(team).then(|| self.slices.get(team).copied().unwrap_or_default())
    }

    /// The team's limit over all pools.
    pub(crate) fn limit(&self, team: &TeamId) -> Option<Amount> {
        self.limits.get(team).copied()
    }

    /// Whether the team may use `need` more. A refusal is remembered, so that the pool asks for a
    /// larger slice, if possible large enough for `demand`.
    pub(crate) fn allows(&mut self, team: &TeamId, need: &Amount, demand: &Amount) -> bool {
        let Some(slice) = self.slice(team) else { return true };
        let wanted = self.used(team).plus(need);
        if slice.covers(&wanted.plus(&self.unattributed)) {
            return true;
        }
        let used = self.used(team);
        let entry = self.needs.entry(team.clone()).or_default();
        entry.required = entry.required.max(&wanted);
        entry.desired = entry.desired.max(&used.plus(demand));
        false
    }

    /// Adds to the team's use.
    pub(crate) fn acquire(&mut self, team: &TeamId, amount: &Amount) {
        let used = self.used.entry(team.clone()).or_default();
        *used = used.plus(amount);
    }

    /// Subtracts from the team's use.
    pub(crate) fn release(&mut self, team: &TeamId, amount: &Amount) {
        if let Some(used) = self.used.get_mut(team) {
            *used = used.minus(amount);
        }
    }

    /// Teams that use more than their slice. This happens after a limit was lowered.
    pub(crate) fn teams_over_slice(&self) -> Vec<TeamId> {
        let over = |team: &TeamId, used: &Amount| {
            let is_loaded =
                self.bucket_of.get(team).is_some_and(|bucket| self.buckets[*bucket].is_loaded);
            is_loaded && self.slice(team).is_some_and(|slice| !slice.covers(used))
        };
        self.used
            .iter()
            .filter(|(team, used)| over(team, used))
            .map(|(team, _)| team.clone())
            .collect()
    }

    /// Returns the calls that are due, with their bucket.
    pub(crate) fn poll(&mut self, now: Millis) -> Vec<(usize, StoreCall)> {
        let teams: BTreeSet<usize> = self.bucket_of.values().copied().collect();
        let needed: BTreeSet<usize> =
            self.needs.keys().filter_map(|team| self.bucket_of.get(team).copied()).collect();
        let mut calls = Vec::new();
        for index in teams {
            let wanted_by_others = self.is_wanted_by_others(index);
            let bucket = &mut self.buckets[index];
            let age = bucket.read_at.map(|at| now.since(at));
            let due_after = if needed.contains(&index) || bucket.needs_read {
                MIN_READ_INTERVAL_MS
            } else if wanted_by_others {
                CONTENDED_REFRESH_MS
            } else {
                REFRESH_MS
            };
            if bucket.stage == Stage::Idle && age.is_none_or(|age| age >= due_after) {
                bucket.stage = Stage::Reading;
                bucket.read_at = Some(now);
                calls.push((index, StoreCall::Get { key: key_of(index) }));
            }
        }
        calls
    }

    fn is_wanted_by_others(&self, index: usize) -> bool {
        let teams = &self.buckets[index].doc.teams;
        teams.values().any(|team| team.wanted_by.iter().any(|pool| *pool != self.pool))
    }

    /// Handles the answer to a bucket's call. Returns the next call.
    pub(crate) fn answer(
        &mut self,
        index: usize,
        answer: Result<StoreAnswer, StoreFailure>,
    ) -> Option<StoreCall> {
        let bucket = &mut self.buckets[index];
        match (bucket.stage, answer) {
            (Stage::Reading, Ok(StoreAnswer::Missing)) => {
                bucket.version = 0;
                bucket.doc = BucketDoc::default();
                self.propose(index)
            }
            (Stage::Reading, Ok(StoreAnswer::Found(version, bytes))) => {
                let Ok(doc) = decode(&bytes) else {
                    bucket.stage = Stage::Idle;
                    return None;
                };
                bucket.version = version;
                bucket.doc = doc;
                self.propose(index)
            }
            (Stage::Writing, Ok(StoreAnswer::Swapped(version))) => {
                bucket.version = version;
                bucket.doc = std::mem::take(&mut bucket.proposed);
                bucket.stage = Stage::Idle;
                self.adopt(index);
                None
            }
            // A write without an answer may have changed the slice; the next read will tell. Until
            // then the smaller of both slices applies, which `propose` has already set.
            _ => {
                bucket.stage = Stage::Idle;
                bucket.needs_read = true;
                None
            }
        }
    }

    /// Computes the new document and returns the call that writes it, if it differs from the
    /// current one.
    fn propose(&mut self, index: usize) -> Option<StoreCall> {
        let mut proposed = self.buckets[index].doc.clone();
        proposed.teams.retain(|team, _| self.limits.contains_key(team));
        let teams: Vec<TeamId> = self
            .limits
            .keys()
            .filter(|team| self.bucket_of.get(*team) == Some(&index))
            .cloned()
            .collect();
        for team in &teams {
            let entry = proposed.teams.entry(team.clone()).or_default();
            self.propose_team(team, entry);
        }
        // Stop using the returned part of a slice before another pool can take it.
        for team in &teams {
            let new_slice =
                proposed.teams.get(team).and_then(|entry| entry.slices.get(&self.pool)).copied();
            let slice = self.slices.entry(team.clone()).or_default();
            *slice = slice.min(&new_slice.unwrap_or_default());
        }
        let bucket = &mut self.buckets[index];
        bucket.needs_read = false;
        if proposed == bucket.doc {
            bucket.stage = Stage::Idle;
            self.adopt(index);
            return None;
        }
        let value = encode(&proposed);
        bucket.proposed = proposed;
        bucket.stage = Stage::Writing;
        Some(StoreCall::Swap { key: key_of(index), expected: bucket.version, value })
    }

    fn propose_team(&self, team: &TeamId, entry: &mut TeamSlices) {
        let limit = self.limits[team];
        scale_to(entry, &limit);
        let others = entry
            .slices
            .iter()
            .filter(|(pool, _)| **pool != self.pool)
            .fold(Amount::default(), |sum, (_, slice)| sum.plus(slice));
        let available = limit.minus(&others);
        let used = self.used(team).plus(&self.unattributed);
        let current = entry.slices.get(&self.pool).copied().unwrap_or_default();
        let wanted_by_others = entry.wanted_by.iter().any(|pool| *pool != self.pool);
        let slice = match self.needs.get(team) {
            Some(need) => {
                let chunk = if wanted_by_others { Amount::default() } else { chunk_of(&limit) };
                let equal_part = limit.zip_with(&limit, |bound, _| bound / self.pool_count);
                let requested = need.required.plus(&chunk).max(&need.desired.min(&equal_part));
                let own_slice = requested.max(&current.min(&used.plus(&chunk))).min(&available);
                if own_slice.covers(&need.required.min(&limit)) {
                    entry.wanted_by.remove(&self.pool);
                } else {
                    entry.wanted_by.insert(self.pool.clone());
                }
                own_slice
            }
            None => {
                entry.wanted_by.remove(&self.pool);
                let retained = if wanted_by_others { used } else { used.plus(&chunk_of(&limit)) };
                current.min(&retained)
            }
        };
        if slice == Amount::default() {
            entry.slices.remove(&self.pool);
        } else {
            entry.slices.insert(self.pool.clone(), slice.min(&available));
        }
    }

    /// Applies the slices of a document whose presence in the key-value service is confirmed.
    fn adopt(&mut self, index: usize) {
        self.buckets[index].is_loaded = true;
        let doc = &self.buckets[index].doc;
        for team in self.limits.keys().filter(|team| self.bucket_of.get(*team) == Some(&index)) {
            let slice = doc.teams.get(team).and_then(|entry| entry.slices.get(&self.pool)).copied();
            self.slices.insert(team.clone(), slice.unwrap_or_default());
            self.needs.remove(team);
        }
    }
}

/// Scales all slices down proportionally if their sum exceeds the limit.
fn scale_to(entry: &mut TeamSlices, limit: &Amount) {
    let sum = entry.slices.values().fold(Amount::default(), |sum, slice| sum.plus(slice));
    if limit.covers(&sum) {
        return;
    }
    for slice in entry.slices.values_mut() {
        let parts = std::array::from_fn(|part| {
            let (own, all, most) = (slice.parts()[part], sum.parts()[part], limit.parts()[part]);
            if all <= most { own } else { scale(own, most, all) }
        });
        *slice = Amount::from_parts(parts);
    }
}

fn scale(value: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(value) * u128::from(numerator) / u128::from(denominator.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// The amount that a pool asks for beyond its immediate need. For unlimited parts it is so large
/// that the pool need not ask again.
fn chunk_of(limit: &Amount) -> Amount {
    let part =
        |bound: u64| if bound == u64::MAX { u64::MAX / 1024 } else { bound * CHUNK_PERCENT / 100 };
    Amount::from_parts(limit.parts().map(part))
}

fn bucket_of(team: &TeamId) -> usize {
    usize::try_from(stable_hash(&[team.as_str().as_bytes()]) % BUCKETS).unwrap_or(0)
}

fn key_of(index: usize) -> CompactString {
    CompactString::from(format!("limits/{index}"))
}

fn encode(doc: &BucketDoc) -> Vec<u8> {
    // Serialization cannot fail: postcard supports all types used here.
    postcard::to_stdvec(doc).unwrap_or_default()
}

fn decode(bytes: &[u8]) -> errors::Result<BucketDoc> {
    postcard::from_bytes(bytes).map_err(|error| Error::Codec(error.to_string()))
}

#[cfg(test)]
#[path = "../tests/unit/limits.rs"]
mod tests;
