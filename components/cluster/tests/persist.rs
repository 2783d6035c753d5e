//! Persistence by the leader under load.

mod support;

use std::rc::Rc;

use clock::CancellationToken;
use libs::tokio;
use support::{Environment, job, node, run};
use types::Millis;

/// Number of batches by which the roster must have been stored: a few tenths of a second of load.
const MAX_BATCHES: usize = 200;
/// Enough workers for runs to end at different times.
const WORKERS: u32 = 350;
/// Number of jobs after which the test fails.
const MAX_JOBS: u64 = 10_000;

/// Guards against a roster that is starved by batches: runs end faster than batches are stored, so
/// there is always another batch. From the roster the next leader learns which workers may run tasks.
#[test]
fn roster_is_stored_under_a_continuous_load_of_batches() {
    run(async {
        let environment = Rc::new(Environment::default());
        for number in 0..WORKERS {
            environment.add_worker(&format!("w{number}"));
        }
        let node = node("one", &environment);
        let token = CancellationToken::new();
        tokio::task::spawn_local(node.clone().run(token.clone(), CancellationToken::new()));
        let mut number = 0;
        let mut added_after = None;
        loop {
            number += 1;
            assert!(number < MAX_JOBS, "no batches are stored");
            let sender = node.clone();
            tokio::task::spawn_local(async move { sender.accept(job(number)).await });
            tokio::time::sleep(Millis(1).to_duration()).await;
            let batches = environment.count_writes("batch");
            if batches > 20 && added_after.is_none() {
                environment.add_worker("late");
                added_after = Some(batches);
            }
            let roster = environment.value("roster").unwrap_or_default();
            if String::from_utf8_lossy(&roster).contains("late") {
                break;
            }
            let since = added_after.map_or(0, |first| batches - first);
            assert!(since < MAX_BATCHES, "{since} batches and no roster with the new worker");
        }
        token.cancel();
    });
}
