//! Keeps the operators' configuration up to date, from the store or from peers.

use std::rc::Rc;

use eventlog::event;
use libs::tokio;
use types::Millis;

use crate::node::Node;
use crate::peers::{Answer, Heartbeat, Message};
use crate::ports::RawRules;

/// Polling period of the configuration: a change must be in force within 2 s.
const RULES_PERIOD_MS: Millis = Millis(500);
/// Polling period until the first configuration is loaded.
const INITIAL_PERIOD_MS: Millis = Millis(100);
/// Polling period while the store does not answer. Callers are refused until the store's recovery
/// is noticed, and a caller refused just after the end of an outage does not retry for seconds.
const OUTAGE_PERIOD_MS: Millis = Millis(150);
/// Timeout of a request for a peer's rules.
const RULES_TIMEOUT_MS: Millis = Millis(500);
/// Source of rules that the store has sent, in log lines.
const STORE_SOURCE: &str = "store";
/// Time without an answer from the store after which peers are asked for their rules.
const ASK_PEERS_AFTER_MS: Millis = Millis(900);

impl Node {
    pub(crate) async fn follow_rules(self: Rc<Self>) {
        loop {
            let sent_ms = clock::now();
            match self.store_result(self.ports.configuration.fetch().await) {
                Ok(Some(raw)) => {
                    self.log_received_rules(&raw, STORE_SOURCE, sent_ms);
                    self.apply_rules(raw);
                    self.confirm_rules(sent_ms);
                }
                Ok(None) => {}
                Err(error) => {
                    self.log_rules_not_received(&error.to_string(), STORE_SOURCE, sent_ms);
                    let silent_ms = clock::now().since(self.store_answered_ms.get());
                    if silent_ms > ASK_PEERS_AFTER_MS {
                        self.contact_peers().await;
                    }
                }
            }
            tokio::time::sleep(self.rules_period_ms().to_duration()).await;
        }
    }

    fn rules_period_ms(&self) -> Millis {
        if self.rules.borrow().rules.is_none() {
            INITIAL_PERIOD_MS
        } else if self.store_failures.get() > 0 {
            OUTAGE_PERIOD_MS
        } else {
            RULES_PERIOD_MS
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

    /// Logs when the rules become too old to be used, and when they are confirmed again.
    pub(crate) fn log_rules_state(&self) {
        let Some(rules) = self.rules() else { return };
        let age_ms = clock::now().since(self.rules.borrow().confirmed_ms);
        self.metrics.gauge("rules_age_ms", age_ms.0);
        self.metrics.gauge("rules_version", rules.policy.version);
        let stale = !self.has_fresh_rules();
        if self.rules_were_stale.replace(stale) != stale {
            let event = if stale { "rules.stale" } else { "rules.confirmed" };
            event!(event, "version" => rules.policy.version, "age_ms" => age_ms.0);
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
    }

    /// Compares the own rules with a peer's: the same revision is confirmed, a newer one is
    /// fetched.
    pub(crate) fn sync_rules(&self, heartbeat: &Heartbeat, now: Millis) {
        let own = self.rules.borrow().raw.revision;
        if heartbeat.rules_revision == own && own > 0 {
            self.confirm_rules(now - heartbeat.rules_age_ms);
        }
        if heartbeat.rules_revision > own
            && let Some(node) = self.this.upgrade()
        {
            let from = heartbeat.from.address;
            let source = heartbeat.from.name.clone();
            let age_ms = heartbeat.rules_age_ms;
            tokio::task::spawn_local(async move {
                match node.send(from, &Message::Rules, RULES_TIMEOUT_MS).await {
                    Ok(Answer::Rules(raw)) => {
                        node.log_received_rules(&raw, &source, now);
                        node.apply_rules(raw);
                        node.confirm_rules(now - age_ms);
                    }
                    Ok(_other) => node.log_rules_not_received("unexpected answer", &source, now),
                    Err(error) => node.log_rules_not_received(&error.to_string(), &source, now),
                }
            });
        }
    }
}
