//! The rules of a process: which version is in force, and whether it may be used.

use std::collections::BTreeMap;

use libs::compact_str::CompactString;
use types::Millis;

use crate::ports::{RawRules, Rules};

/// Rules that have not been confirmed for this long are not used: a change must be in force within
/// 2 s, a partial store outage may add 5 s, and the transit time of a request is subtracted.
const UNCONFIRMED_LIMIT_MS: Millis = Millis(6_500);
/// Rules are not used once newer ones have been known for this long: a change must be in force
/// within 2 s, of which a peer takes 0.5 s at most to read and to report it.
const OVERDUE_LIMIT_MS: Millis = Millis(1_500);
/// Time in which a peer whose rules did not arrive is not asked again, so that others are.
const FAILED_PEER_PAUSE_MS: Millis = Millis(1_000);

/// Why the rules cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RulesProblem {
    /// No configuration has been read yet.
    Missing,
    /// Neither the store nor a peer has confirmed them recently.
    Unconfirmed,
    /// A newer version is known and has not arrived in time.
    Overdue,
}

impl RulesProblem {
    /// Short text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "no rules yet",
            Self::Unconfirmed => "rules are not confirmed",
            Self::Overdue => "newer rules are overdue",
        }
    }
}

/// The rules in force in a process, and what it knows of newer ones.
#[derive(Debug, Default)]
pub(crate) struct LocalRules {
    pub(crate) raw: RawRules,
    pub(crate) rules: Option<Rules>,
    /// When they were last confirmed to be the newest.
    confirmed_ms: Millis,
    /// Newest revision that the store has sent to this process.
    read_revision: u64,
    /// Revisions newer than the one in force, with the time when each was first known.
    newer: BTreeMap<u64, Millis>,
    /// Newest revision that was reported but that the store does not have.
    refuted_revision: u64,
    /// The last call to the store for them failed.
    pub(crate) read_failed: bool,
    /// A peer is sending its rules.
    receiving: bool,
    /// The last peer whose rules did not arrive, and when.
    failed_peer: Option<(CompactString, Millis)>,
}

impl LocalRules {
    /// The rules, or why they cannot be used.
    pub(crate) fn usable(&self, now: Millis) -> Result<&Rules, RulesProblem> {
        let rules = self.rules.as_ref().ok_or(RulesProblem::Missing)?;
        if now.since(self.confirmed_ms) >= UNCONFIRMED_LIMIT_MS {
            return Err(RulesProblem::Unconfirmed);
        }
        let newer_known_ms = self.newer.values().min();
        if newer_known_ms.is_some_and(|known_ms| now.since(*known_ms) >= OVERDUE_LIMIT_MS) {
            return Err(RulesProblem::Overdue);
        }
        Ok(rules)
    }

    /// Time since the rules were last confirmed.
    pub(crate) fn age_ms(&self, now: Millis) -> Millis {
        now.since(self.confirmed_ms)
    }

    /// Newest revision that is known.
    pub(crate) fn newest_revision(&self) -> u64 {
        self.newer.keys().next_back().copied().unwrap_or(self.raw.revision)
    }

    /// Whether a newer revision is known than the store has sent.
    pub(crate) fn is_behind(&self) -> bool {
        self.newest_revision() > self.read_revision.max(self.raw.revision)
    }

    pub(crate) fn confirm(&mut self, at: Millis) {
        self.confirmed_ms = self.confirmed_ms.max(at);
    }

    /// Records that a revision exists.
    pub(crate) fn note_revision(&mut self, revision: u64, now: Millis) {
        if revision > self.raw.revision.max(self.refuted_revision) {
            self.newer.entry(revision).or_insert(now);
        }
    }

    /// Records that the store has sent this revision.
    pub(crate) fn note_read(&mut self, revision: u64) {
        self.read_revision = self.read_revision.max(revision);
    }

    /// Records the newest revision of the store as of `sent_ms`. A newer one that was reported
    /// before does not exist.
    pub(crate) fn note_newest(&mut self, revision: u64, sent_ms: Millis) {
        let refuted =
            |(newer, known_ms): &(&u64, &Millis)| **newer > revision && **known_ms < sent_ms;
        let newest_refuted = self.newer.iter().filter(refuted).map(|(newer, _)| *newer).max();
        if let Some(newest) = newest_refuted {
            self.refuted_revision = self.refuted_revision.max(newest);
            self.newer.retain(|newer, _| *newer <= revision || *newer > newest);
        }
    }

    /// Whether the newest version that the store has sent is in force.
    pub(crate) fn is_read_version_in_force(&self) -> bool {
        self.raw.revision >= self.read_revision
    }

    pub(crate) fn put_in_force(&mut self, rules: Rules, raw: RawRules) {
        self.newer.retain(|newer, _| *newer > raw.revision);
        self.rules = Some(rules);
        self.raw = raw;
    }

    /// Starts a transfer from a peer, unless one is in progress, the store sends the rules, or the
    /// peer has failed just now. Returns whether to ask the peer.
    pub(crate) fn begin_transfer(&mut self, peer: &CompactString, now: Millis) -> bool {
        let has_failed = self.failed_peer.as_ref().is_some_and(|(name, failed_ms)| {
            name == peer && now.since(*failed_ms) < FAILED_PEER_PAUSE_MS
        });
        let begins = self.read_failed && !self.receiving && !has_failed;
        self.receiving |= begins;
        begins
    }

    /// Ends a transfer from a peer.
    pub(crate) fn end_transfer(&mut self, peer: &CompactString, arrived: bool, now: Millis) {
        self.receiving = false;
        if !arrived {
            self.failed_peer = Some((peer.clone(), now));
        }
    }
}
