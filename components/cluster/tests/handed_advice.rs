//! Hand-over of the advisor's answers to the next leader.

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;

use clock::CancellationToken;
use libs::tokio;
use support::{Environment, job, node, run};
use types::{Millis, WorkerId};

const KEY: &str = "advice";
/// Longer than an election and several calls for advice.
const TIMEOUT_MS: Millis = Millis(5_000);
/// Longer than an election, the attachment of the workers and the delay between two calls.
const CALLS_MS: Millis = Millis(1_500);
const WORKERS: usize = 8;

/// A cluster whose advisor denies all workers.
fn environment() -> Rc<Environment> {
    let environment = Rc::new(Environment::default());
    environment.denies_all_workers.set(true);
    (0..WORKERS).for_each(|number| environment.add_worker(&format!("w{number}")));
    environment
}

/// Starts a process. Returns the token that stops it in order.
fn start(name: &str, environment: &Rc<Environment>) -> CancellationToken {
    let (node, token) = (node(name, environment), CancellationToken::new());
    tokio::task::spawn_local(node.clone().run(token.clone(), CancellationToken::new()));
    let sender = node.clone();
    tokio::task::spawn_local(async move { sender.accept(job(1)).await });
    token
}

async fn within(timeout_ms: Millis, condition: impl Fn() -> bool) -> bool {
    let until = clock::now() + timeout_ms;
    while !condition() {
        if clock::now() > until {
            return false;
        }
        tokio::time::sleep(Millis(10).to_duration()).await;
    }
    true
}

fn asked(environment: &Environment) -> BTreeSet<WorkerId> {
    environment.asked.borrow().iter().flatten().cloned().collect()
}

/// Starts a leader and waits until the advisor has denied all workers.
async fn ask_about_all(environment: &Rc<Environment>) -> CancellationToken {
    let token = start("one", environment);
    let all = within(TIMEOUT_MS, || asked(environment).len() == WORKERS).await;
    assert!(all, "asked about {:?}", asked(environment));
    // The last answer arrives.
    tokio::time::sleep(Millis(100).to_duration()).await;
    token
}

/// Hands the lead over to another process.
async fn hand_over(environment: &Rc<Environment>, leader: &CancellationToken) {
    leader.cancel();
    let is_free = within(TIMEOUT_MS, || environment.value("leader").is_none()).await;
    assert!(is_free, "the leader does not step down");
    environment.asked.borrow_mut().clear();
    start("two", environment);
}

/// Guards against each leader asking about the workers that the advisor has denied to the one before.
#[test]
fn the_next_leader_asks_only_about_workers_that_were_not_denied() {
    run(async {
        let environment = environment();
        let leader = ask_about_all(&environment).await;
        hand_over(&environment, &leader).await;
        environment.add_worker("new");
        let found = within(TIMEOUT_MS, || !environment.asked.borrow().is_empty()).await;
        assert!(found, "the new worker is not asked about");
        tokio::time::sleep(CALLS_MS.to_duration()).await;
        assert_eq!(asked(&environment), BTreeSet::from(["new".parse().expect("worker id")]));
    });
}

/// Guards against a leader that fails on a value of another version.
#[test]
fn a_value_that_cannot_be_read_is_ignored() {
    run(async {
        let environment = environment();
        environment.put(KEY, vec![0xff; 40], 0);
        let leader = ask_about_all(&environment).await;
        hand_over(&environment, &leader).await;
        tokio::time::sleep(CALLS_MS.to_duration()).await;
        assert_eq!(asked(&environment), BTreeSet::new(), "the value was not replaced");
    });
}

/// Guards against answers that are lost with a leader that dies, and against writes of their own.
#[test]
fn answers_are_stored_with_rosters_only() {
    run(async {
        let environment = environment();
        let _leader = ask_about_all(&environment).await;
        // The roster changes, and the last record is old enough.
        tokio::time::sleep(Millis(1_000).to_duration()).await;
        let before = environment.count_writes(KEY);
        environment.add_worker("new");
        let is_stored = within(TIMEOUT_MS, || environment.count_writes(KEY) > before).await;
        assert!(is_stored, "nothing is stored during the term");
        let commits = environment.commits.borrow();
        let is_alone = |keys: &&Vec<String>| {
            keys.iter().any(|key| key == KEY) && !keys.iter().any(|key| key == "roster")
        };
        assert_eq!(commits.iter().find(is_alone), None);
    });
}

/// Guards against writes in a cluster where no task needs advice.
#[test]
fn nothing_is_stored_without_an_advisor() {
    run(async {
        let environment = environment();
        environment.denies_all_workers.set(false);
        let leader = start("one", &environment);
        let done = within(TIMEOUT_MS, || environment.count_writes("progress/") > 0).await;
        assert!(done, "the job is not done");
        hand_over(&environment, &leader).await;
        assert!(environment.count_writes("roster") > 0);
        assert_eq!(environment.count_writes(KEY), 0);
    });
}
