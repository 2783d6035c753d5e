//! Rules of deployments under test.

use config::KeyHash;
use types::DomainId;

/// API key with its secret in plain text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TestKey {
    /// Name of the key.
    pub name: &'static str,
    /// Secret in plain text.
    pub secret: &'static str,
    /// Team of the key; `None` for an operator's key.
    pub team: Option<&'static str>,
}

/// API key of the operator.
pub const OPERATOR: TestKey = TestKey { name: "op", secret: "operators-secret", team: None };

impl TestKey {
    /// Bearer token that callers send.
    pub fn token(&self) -> String {
        format!("{}.{}", self.name, self.secret)
    }

    /// Rule for this key, as a line of the rules file.
    pub fn rule_line(&self) -> String {
        let hash = KeyHash::of_secret(self.secret);
        match self.team {
            Some(team) => {
                format!("- key: {{name: {}, team: {team}, sha256: \"{hash}\"}}  # Hanna", self.name)
            }
            None => format!("- operator: {{name: {}, sha256: \"{hash}\"}}  # Hanna", self.name),
        }
    }
}

/// Rules modelled on those of the customer Vandermolen: one pool per failure domain, two teams, and
/// queues of each kind.
pub fn vandermolen_rules(domains: &[DomainId], keys: &[TestKey]) -> String {
    let mut rules = String::from("# Rules of the test deployment\n");
    for domain in domains {
        rules.push_str(&format!("- pool: {{name: {domain}, domain: {domain}}}  # Hanna\n"));
    }
    rules.push_str(
        "- team: {name: lakeside, share: 30}  # Hanna\n\
         - team: {name: mill, share: 70}  # Piet\n\
         - limit: {team: mill, cores: 600, slots: 200}  # Piet\n\
         - vendor: {name: acme, form: json}  # Hanna\n\
         - vendor: {name: bolt, form: text}  # Hanna\n\
         - vendor: {name: corvid, form: headers}  # Hanna\n\
         - queue: {name: checks, kind: request, priority: urgent, deadline_ms: 8000, run_limit_ms: 2000}  # Hanna\n\
         - queue: {name: orders, kind: request, idempotent: false, deadline_ms: 8000, run_limit_ms: 2000}  # Hanna\n\
         - queue: {name: public, kind: request, open: true}  # Hanna\n\
         - queue: {name: formulas, kind: batch}  # Piet\n\
         - queue: {name: background, kind: batch, priority: low}  # Piet\n\
         - queue: {name: rush, kind: batch, priority: urgent}  # Piet\n\
         - queue: {name: plans, kind: gang}  # Piet\n\
         - queue: {name: watchers, kind: service, policy: spread}  # Hanna\n",
    );
    for key in keys {
        rules.push_str(&key.rule_line());
        rules.push('\n');
    }
    rules.push_str(&OPERATOR.rule_line());
    rules.push('\n');
    rules
}
