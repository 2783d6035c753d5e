//! A leader that has not read a configuration yet.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use clock::CancellationToken;
use cluster::{
    Configuration, LocalBoxFuture, Node, Ports, RawRules, Rules, StoreError, StoreResult,
};
use libs::tokio;
use support::{Environment, TestPorts, address, job, node_at, ports, run};
use types::Millis;

/// Longer than a start, an election and several scheduling rounds.
const ROUNDS_MS: Millis = Millis(1_000);
/// Some hundred times the duration of a start and an election.
const TIMEOUT_MS: Millis = Millis(5_000);
const CHECK_PERIOD_MS: Millis = Millis(5);
/// Longer than an election, shorter than the time that is left to processes with rules.
const LATER_START_MS: Millis = Millis(300);
const WITHOUT_RULES: &str = "unread";
const WITH_RULES: &str = "informed";

/// Guards against teams over their limits: until the first configuration is read, the limits are not
/// known.
#[test]
fn leader_without_rules_starts_nothing() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        let is_readable = Rc::new(Cell::new(false));
        let node = start(WITHOUT_RULES, &environment, &is_readable);
        let sender = node.clone();
        tokio::task::spawn_local(async move { sender.accept(job(1)).await });
        assert!(within(|| environment.lease_renewals.get() > 0).await, "workers are not polled");
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert!(environment.count_writes("in/job/") > 0, "the job is not stored");
        assert_eq!(environment.starts.get(), 0, "starts without rules");
        is_readable.set(true);
        assert!(within(|| environment.count_writes("progress/") > 0).await, "the job did not end");
        assert_eq!(environment.starts.get(), 1);
    });
}

/// Guards against a leader that cannot start anything while another process could.
#[test]
fn process_without_rules_leaves_the_election_to_others() {
    run(async {
        let environment = Rc::new(Environment::default());
        start(WITHOUT_RULES, &environment, &Rc::new(Cell::new(false)));
        tokio::time::sleep(LATER_START_MS.to_duration()).await;
        start(WITH_RULES, &environment, &Rc::new(Cell::new(true)));
        assert!(within(|| environment.value("leader").is_some()).await, "no leader");
        let leader = environment.value("leader").unwrap_or_default();
        assert!(String::from_utf8_lossy(&leader).contains(WITH_RULES), "elected without rules");
    });
}

/// Starts a process that can read its configuration while `is_readable` is set.
fn start(name: &str, environment: &Rc<Environment>, is_readable: &Rc<Cell<bool>>) -> Rc<Node> {
    let test_ports = TestPorts(environment.clone(), Rc::default());
    let configuration = LateRules { ports: test_ports, is_readable: is_readable.clone() };
    let all_ports =
        Ports { configuration: Box::new(configuration), ..ports(environment, &Rc::default()) };
    let node = node_at(name, address(), all_ports);
    let token = CancellationToken::new;
    tokio::task::spawn_local(node.clone().run(token(), token()));
    node
}

/// A configuration that cannot be read at first.
struct LateRules {
    ports: TestPorts,
    is_readable: Rc<Cell<bool>>,
}

impl Configuration for LateRules {
    fn fetch(&self) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        if self.is_readable.get() {
            return self.ports.fetch();
        }
        Box::pin(std::future::ready(Err(StoreError::Unanswered)))
    }

    fn changes(
        &self,
        after: u64,
        wait_ms: Millis,
    ) -> LocalBoxFuture<'_, StoreResult<(Option<RawRules>, u64)>> {
        Configuration::changes(&self.ports, after, wait_ms)
    }

    fn parse(&self, text: &[u8]) -> errors::Result<Rules> {
        self.ports.parse(text)
    }
}

/// Waits for a condition. Returns `false` if it does not hold within the timeout.
async fn within(condition: impl Fn() -> bool) -> bool {
    let until = clock::now() + TIMEOUT_MS;
    while !condition() {
        if clock::now() > until {
            return false;
        }
        tokio::time::sleep(CHECK_PERIOD_MS.to_duration()).await;
    }
    true
}
