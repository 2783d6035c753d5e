//! Keeps the operators' configuration current, through the store or other processes.

use std::rc::Rc;

use eventlog::event;
use libs::tokio;
use types::Millis;

use crate::node::Node;
use crate::peers::{Answer, Hello, Message};
use crate::ports::RawRules;

/// Period of reading the configuration: a change must be in force within 2 s.
const RULES_PERIOD_MS: Millis = Millis(500);
/// Period before the first configuration.
const FIRST_PERIOD_MS: Millis = Millis(100);
/// Period while the store does not answer. Callers are refused until it is heard again, and one
/// that is refused just after the end of an outage stays away for seconds.
const OUTAGE_PERIOD_MS: Millis = Millis(150);
/// Longest wait for the rules of another process.
const RULES_TIMEOUT_MS: Millis = Millis(500);
/// Without the store for this long, other processes are asked.
const ASK_PEERS_MS: Millis = Millis(900);

impl Node {
    pub(crate) async fn follow_rules(self: Rc<Self>) {
        loop {
            let asked_ms = clock::now();
            match self.store_result(self.ports.configuration.fetch().await) {
                Ok(Some(raw)) => {
                    self.take_rules(raw);
                    self.confirm_rules(asked_ms);
                }
                Ok(None) => {}
                Err(_recorded) => {
                    let silent_ms = clock::now().since(self.store_ms.get());
                    if silent_ms > ASK_PEERS_MS {
                        self.greet_peers().await;
                    }
                }
            }
            tokio::time::sleep(self.rules_period_ms().to_duration()).await;
        }
    }

    fn rules_period_ms(&self) -> Millis {
        if self.rules.borrow().rules.is_none() {
            FIRST_PERIOD_MS
        } else if self.store_failures.get() > 0 {
            OUTAGE_PERIOD_MS
        } else {
            RULES_PERIOD_MS
        }
    }

    fn confirm_rules(&self, at: Millis) {
        let mut rules = self.rules.borrow_mut();
        rules.confirmed_ms = rules.confirmed_ms.max(at);
    }

    /// Puts newer rules in force. Older ones are ignored.
    pub(crate) fn take_rules(&self, raw: RawRules) {
        if raw.revision <= self.rules.borrow().raw.revision {
            return;
        }
        let rules = match self.ports.configuration.parse(&raw.text) {
            Ok(rules) => rules,
            Err(error) => {
                event!("rules.unreadable", "revision" => raw.revision, "error" => error.to_string());
                return;
            }
        };
        event!("rules.in_force", "version" => rules.policy.version, "revision" => raw.revision,
            "queues" => rules.policy.queues.len(), "teams" => rules.policy.teams.len());
        if let Some(leader) = self.leading.borrow().as_ref() {
            leader.cell.borrow_mut().set_policy(rules.policy.clone());
        }
        let mut here = self.rules.borrow_mut();
        here.rules = Some(rules);
        here.raw = raw;
    }

    /// Another process told which rules it follows.
    pub(crate) fn rules_heard(&self, hello: &Hello, now: Millis) {
        let own = self.rules.borrow().raw.revision;
        if hello.rules_revision == own && own > 0 {
            self.confirm_rules(now - hello.rules_age_ms);
        }
        if hello.rules_revision > own
            && let Some(node) = self.this.upgrade()
        {
            let from = hello.from.address;
            let age_ms = hello.rules_age_ms;
            tokio::task::spawn_local(async move {
                let answer = node.send(from, &Message::Rules, RULES_TIMEOUT_MS).await;
                if let Ok(Answer::Rules(raw)) = answer {
                    node.take_rules(raw);
                    node.confirm_rules(now - age_ms);
                }
            });
        }
    }
}
