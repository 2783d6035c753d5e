//! Keeps the operators' configuration up to date, from the store or from peers.

use std::rc::Rc;

use eventlog::event;
use libs::tokio;
use types::Millis;

use crate::node::Node;
use crate::peers::{Answer, Heartbeat, Message, Peer};
use crate::ports::{RawRules, StoreError, StoreResult};

/// Longest time that one watch call waits for a change. Each answer confirms the rules.
const WATCH_TIMEOUT_MS: Millis = Millis(500);
/// Delay between two watches, so that a store that answers at once cannot make the loop spin.
const WATCH_PERIOD_MS: Millis = Millis(20);
/// Delay after a failed call. Callers are refused until the store's recovery is noticed, and a
/// caller refused just after the end of an outage does not retry for seconds.
const RETRY_DELAY_MS: Millis = Millis(150);
/// Timeout of a request for a peer's rules.
const RULES_TIMEOUT_MS: Millis = Millis(500);
/// Time in which a peer whose rules did not arrive is not asked again, so that others are.
const FAILED_PEER_PAUSE_MS: Millis = Millis(1_000);
/// Source of rules that the store has sent, in log lines.
const STORE_SOURCE: &str = "store";
/// Time without an answer from the store after which peers are asked for their rules.
const ASK_PEERS_AFTER_MS: Millis = Millis(900);

impl Node {
    /// Follows the configuration in the store. Its text is sent only when it has changed.
    pub(crate) async fn follow_rules(self: Rc<Self>) {
        let mut watched_from = None;
        loop {
            let sent_ms = clock::now();
            let answer = self.store_result(self.next_rules(watched_from).await);
            self.rules.borrow_mut().store_failed = answer.is_err();
            match answer {
                Ok((newer, at)) => {
                    watched_from = Some(at);
                    self.rules_answered(newer, sent_ms);
                    tokio::time::sleep(WATCH_PERIOD_MS.to_duration()).await;
                }
                Err(error) => {
                    if error == StoreError::HistoryGone {
                        watched_from = None;
                    }
                    self.log_rules_not_received(&error.to_string(), STORE_SOURCE, sent_ms);
                    let silent_ms = clock::now().since(self.store_answered_ms.get());
                    if silent_ms > ASK_PEERS_AFTER_MS {
                        self.contact_peers();
                    }
                    tokio::time::sleep(RETRY_DELAY_MS.to_duration()).await;
                }
            }
        }
    }

    /// Waits for the next version after a revision, or reads the newest one.
    ///
    /// A watch sends every version since its revision. While peers report a newer one than the
    /// store has sent, there may be several, of which only the newest is of use.
    async fn next_rules(&self, after: Option<u64>) -> StoreResult<(Option<RawRules>, u64)> {
        let configuration = &self.ports.configuration;
        let behind = {
            let rules = self.rules.borrow();
            rules.reported_revision > rules.read_revision
        };
        match after {
            Some(after) if !behind => configuration.changes(after, self.rules_wait_ms()).await,
            _ => configuration.fetch().await,
        }
    }

    /// How long a watch may wait. While the store fails, the answer shows its recovery.
    fn rules_wait_ms(&self) -> Millis {
        if self.rules.borrow().store_failed { Millis(0) } else { WATCH_TIMEOUT_MS }
    }

    /// Processes an answer of the store to a call that was sent at `sent_ms`.
    fn rules_answered(&self, newer: Option<RawRules>, sent_ms: Millis) {
        if let Some(raw) = newer {
            self.log_received_rules(&raw, STORE_SOURCE, sent_ms);
            self.rules.borrow_mut().read_revision = raw.revision;
            self.apply_rules(raw);
        }
        self.confirm_rules(sent_ms);
    }

    /// Counts the received text, and logs it if it is a new version.
    fn log_received_rules(&self, raw: &RawRules, source: &str, sent_ms: Millis) {
        self.metrics.add("rules_received_bytes", raw.text.len() as u64);
        let took_ms = clock::now().since(sent_ms);
        self.metrics.time_ms("rules_received_ms", took_ms.0);
        if raw.revision > self.rules.borrow().raw.revision {
            event!("rules.received", "revision" => raw.revision, "source" => source,
                "bytes" => raw.text.len(), "took_ms" => took_ms.0);
        }
    }

    fn log_rules_not_received(&self, error: &str, source: &str, sent_ms: Millis) {
        self.metrics.count("rules_not_received");
        event!("rules.not_received", "source" => source, "error" => error,
            "took_ms" => clock::now().since(sent_ms).0,
            "revision" => self.rules.borrow().raw.revision);
    }

    /// Logs when the rules become too old to be used, and when they are confirmed again.
    pub(crate) fn log_rules_state(&self) {
        let Some(rules) = self.rules() else { return };
        let age_ms = clock::now().since(self.rules.borrow().confirmed_ms);
        self.metrics.gauge("rules_age_ms", age_ms.0);
        self.metrics.gauge("rules_version", rules.policy.version);
        let stale = !self.has_fresh_rules();
        if self.rules_were_stale.replace(stale) != stale {
            let event = if stale { "rules.stale" } else { "rules.confirmed" };
            event!(event, "version" => rules.policy.version, "age_ms" => age_ms.0,
                "reported_revision" => self.rules.borrow().reported_revision);
        }
    }

    fn confirm_rules(&self, at: Millis) {
        let mut rules = self.rules.borrow_mut();
        rules.confirmed_ms = rules.confirmed_ms.max(at);
    }

    /// Puts rules in force if they are newer than the current ones.
    pub(crate) fn apply_rules(&self, raw: RawRules) {
        if raw.revision <= self.rules.borrow().raw.revision {
            return;
        }
        let rules = match self.ports.configuration.parse(&raw.text) {
            Ok(rules) => rules,
            Err(error) => {
                event!("rules.decode_failed", "revision" => raw.revision,
                    "error" => error.to_string());
                return;
            }
        };
        event!("rules.in_force", "version" => rules.policy.version, "revision" => raw.revision,
            "queues" => rules.policy.queues.len(), "teams" => rules.policy.teams.len());
        if let Some(leader) = self.leadership.borrow().as_ref() {
            leader.cell.borrow_mut().set_policy(rules.policy.clone());
        }
        let mut local = self.rules.borrow_mut();
        local.rules = Some(rules);
        local.raw = raw;
        local.outdated_since_ms = (local.raw.revision < local.reported_revision).then(clock::now);
    }

    /// Compares the own rules with a peer's: the same revision is confirmed. A newer one comes from
    /// the store, or from the peer while the store does not answer.
    pub(crate) fn sync_rules(&self, heartbeat: &Heartbeat, now: Millis) {
        let own = self.rules.borrow().raw.revision;
        if heartbeat.rules_revision == own && own > 0 {
            self.confirm_rules(now - heartbeat.rules_age_ms);
        }
        if heartbeat.rules_revision <= own {
            return;
        }
        let mut rules = self.rules.borrow_mut();
        rules.reported_revision = rules.reported_revision.max(heartbeat.rules_revision);
        rules.outdated_since_ms.get_or_insert(now);
        let can_ask = rules.store_failed
            && !rules.receiving_from_peer
            && !rules.failed_peer.as_ref().is_some_and(|(name, failed_ms)| {
                *name == heartbeat.from.name && now.since(*failed_ms) < FAILED_PEER_PAUSE_MS
            });
        if let Some(node) = self.this.upgrade().filter(|_| can_ask) {
            rules.receiving_from_peer = true;
            let (from, age_ms) = (heartbeat.from.clone(), heartbeat.rules_age_ms);
            tokio::task::spawn_local(async move { node.receive_rules(&from, now, age_ms).await });
        }
    }

    /// Requests the rules of a peer that were confirmed `age_ms` before `now`.
    async fn receive_rules(&self, from: &Peer, now: Millis, age_ms: Millis) {
        let answer = self.send(from.address, &Message::Rules, RULES_TIMEOUT_MS).await;
        self.rules.borrow_mut().receiving_from_peer = false;
        if let Ok(Answer::Rules(raw)) = answer {
            self.log_received_rules(&raw, &from.name, now);
            self.apply_rules(raw);
            self.confirm_rules(now - age_ms);
            return;
        }
        let error = answer.err().map_or("unexpected answer".to_owned(), |error| error.to_string());
        self.log_rules_not_received(&error, &from.name, now);
        self.rules.borrow_mut().failed_peer = Some((from.name.clone(), clock::now()));
    }
}
