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
/// Longest delay before the text is read again because the store has compacted its history. The
/// first time it is read at once, and each further time in a row after twice the delay.
const MAX_HISTORY_DELAY_MS: Millis = Millis(2_000);
/// Timeout of a request for a peer's rules.
const RULES_TIMEOUT_MS: Millis = Millis(500);
/// Source of rules that the store has sent, in log lines.
const STORE_SOURCE: &str = "store";
/// Time without an answer from the store after which peers are contacted.
const CONTACT_PEERS_AFTER_MS: Millis = Millis(900);

/// A call to the store for the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RulesCall {
    /// Reads the newest version.
    Read,
    /// Waits for versions after a revision.
    Watch { after: u64, wait_ms: Millis },
}

impl Node {
    /// Follows the configuration in the store. Its text is sent only when it has changed.
    pub(crate) async fn follow_rules(self: Rc<Self>) {
        let mut watched_from = None;
        let mut history_delay_ms = Millis(0);
        loop {
            let call = self.next_rules_call(watched_from);
            let sent_ms = clock::now();
            let delay_ms = match self.store_result(self.call_for_rules(call).await) {
                Ok((newer, at)) => {
                    watched_from = Some(at);
                    self.rules_answered(newer, call, sent_ms);
                    if call != RulesCall::Read {
                        history_delay_ms = Millis(0);
                    }
                    WATCH_PERIOD_MS
                }
                Err(StoreError::HistoryGone) => {
                    event!("store.history_gone", "prefix" => "rules", "after" => watched_from);
                    self.rules.borrow_mut().read_failed = false;
                    watched_from = None;
                    let delay_ms = history_delay_ms;
                    history_delay_ms = next_history_delay_ms(delay_ms);
                    delay_ms
                }
                Err(error) => {
                    self.rules_not_read(error, sent_ms);
                    RETRY_DELAY_MS
                }
            };
            tokio::time::sleep(delay_ms.to_duration()).await;
        }
    }

    /// Chooses the next call, given the revision up to which changes are known.
    ///
    /// A watch sends every version since its revision. While peers report a newer one than the
    /// store has sent, there may be several, of which only the newest is of use.
    fn next_rules_call(&self, watched_from: Option<u64>) -> RulesCall {
        let rules = self.rules.borrow();
        // While the store fails, the answer shows its recovery.
        let wait_ms = if rules.read_failed { Millis(0) } else { WATCH_TIMEOUT_MS };
        match watched_from {
            Some(after) if !rules.is_behind() => RulesCall::Watch { after, wait_ms },
            _ => RulesCall::Read,
        }
    }

    async fn call_for_rules(&self, call: RulesCall) -> StoreResult<(Option<RawRules>, u64)> {
        let configuration = &self.ports.configuration;
        match call {
            RulesCall::Read => configuration.fetch().await,
            RulesCall::Watch { after, wait_ms } => configuration.changes(after, wait_ms).await,
        }
    }

    /// Processes the answer of the store to a call that was sent at `sent_ms`.
    fn rules_answered(&self, newer: Option<RawRules>, call: RulesCall, sent_ms: Millis) {
        self.rules.borrow_mut().read_failed = false;
        if let Some(raw) = newer {
            self.log_received_rules(&raw, STORE_SOURCE, sent_ms);
            self.rules.borrow_mut().note_read(raw.revision);
            if call == RulesCall::Read {
                self.rules.borrow_mut().note_newest(raw.revision, sent_ms);
            }
            self.apply_rules(raw);
        }
        let mut rules = self.rules.borrow_mut();
        if rules.is_read_version_in_force() {
            rules.confirm(sent_ms);
        }
    }

    fn rules_not_read(&self, error: StoreError, sent_ms: Millis) {
        self.rules.borrow_mut().read_failed = true;
        self.log_rules_not_received(&error.to_string(), STORE_SOURCE, sent_ms);
        if clock::now().since(self.store_answered_ms.get()) > CONTACT_PEERS_AFTER_MS {
            self.contact_peers();
        }
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

    /// Logs when the rules can no longer be used and when they can be again, and sets their gauges.
    pub(crate) fn report_rules_state(&self) {
        let now = clock::now();
        let rules = self.rules.borrow();
        let problem = rules.usable(now).err();
        let Some(version) = rules.rules.as_ref().map(|rules| rules.policy.version) else { return };
        self.metrics.gauge("rules_age_ms", rules.age_ms(now).0);
        self.metrics.gauge("rules_version", version);
        if self.logged_rules_problem.replace(problem) == problem {
            return;
        }
        let event = if problem.is_some() { "rules.unusable" } else { "rules.usable" };
        event!(event, "version" => version, "age_ms" => rules.age_ms(now).0,
            "revision" => rules.raw.revision, "newest_revision" => rules.newest_revision(),
            "why" => problem.map(|problem| problem.as_str()));
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
                self.rules.borrow_mut().note_revision(raw.revision, clock::now());
                return;
            }
        };
        event!("rules.in_force", "version" => rules.policy.version, "revision" => raw.revision,
            "queues" => rules.policy.queues.len(), "teams" => rules.policy.teams.len());
        if let Some(leader) = self.leadership.borrow().as_ref() {
            leader.cell.borrow_mut().set_policy(rules.policy.clone());
        }
        self.rules.borrow_mut().put_in_force(rules, raw);
    }

    /// Compares the own rules with a peer's. A newer version comes from the store, or from the peer
    /// while the store does not answer. The same one is confirmed if the heartbeat answers a request
    /// that was sent at `sent_ms`; it is unknown how long ago a heartbeat that is a request was sent.
    pub(crate) fn sync_rules(&self, heartbeat: &Heartbeat, sent_ms: Option<Millis>) {
        let now = clock::now();
        let mut rules = self.rules.borrow_mut();
        let own = rules.raw.revision;
        if let Some(sent_ms) = sent_ms.filter(|_| heartbeat.rules_revision == own && own > 0) {
            rules.confirm(sent_ms - heartbeat.rules_age_ms);
        }
        rules.note_revision(heartbeat.rules_revision, now);
        if heartbeat.rules_revision <= own || !rules.begin_transfer(&heartbeat.from.name, now) {
            return;
        }
        if let Some(node) = self.this.upgrade() {
            let heartbeat = heartbeat.clone();
            tokio::task::spawn_local(async move { node.receive_rules(&heartbeat).await });
        }
    }

    /// Requests the rules of the sender of a heartbeat.
    async fn receive_rules(&self, heartbeat: &Heartbeat) {
        let Peer { name, address, .. } = &heartbeat.from;
        let sent_ms = clock::now();
        let answer = self.send(*address, &Message::Rules, RULES_TIMEOUT_MS).await;
        let arrived = matches!(answer, Ok(Answer::Rules(_)));
        self.rules.borrow_mut().end_transfer(name, arrived, clock::now());
        match answer {
            Ok(Answer::Rules(raw)) => {
                self.log_received_rules(&raw, name, sent_ms);
                self.apply_rules(raw);
            }
            Ok(_other) => self.log_rules_not_received("unexpected answer", name, sent_ms),
            Err(error) => self.log_rules_not_received(&error.to_string(), name, sent_ms),
        }
    }
}

/// Delay before the next read of the text that follows another one for want of history.
fn next_history_delay_ms(delay_ms: Millis) -> Millis {
    (delay_ms + delay_ms).max(RETRY_DELAY_MS).min(MAX_HISTORY_DELAY_MS)
}
