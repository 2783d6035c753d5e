//! What the leader stores while it is under load.

mod world;

use std::rc::Rc;

use clock::CancellationToken;
use libs::tokio;
use types::Millis;
use world::{Outside, job, node, run};

/// Batches after which the roster must have had its turn: some tenths of a second of load.
const MOST_BATCHES: usize = 200;
/// Workers whose ends come at different times.
const WORKERS: u32 = 350;
/// Jobs after which the test gives up.
const MOST_JOBS: u64 = 10_000;

/// Load pattern: ends come faster than batches are stored, so there is always one more to store.
/// The roster tells the next leader which workers may run tasks, so it must not wait for a lull.
#[test]
fn the_roster_is_stored_while_batches_never_stop() {
    run(async {
        let outside = Rc::new(Outside::default());
        for number in 0..WORKERS {
            outside.add_worker(&format!("w{number}"));
        }
        let node = node("one", &outside);
        let token = CancellationToken::new();
        tokio::task::spawn_local(node.clone().run(token.clone(), CancellationToken::new()));
        let mut number = 0;
        let mut added_after = None;
        loop {
            number += 1;
            assert!(number < MOST_JOBS, "no batches are stored");
            let sender = node.clone();
            tokio::task::spawn_local(async move { sender.accept(job(number)).await });
            tokio::time::sleep(Millis(1).to_duration()).await;
            let batches = outside.writes_of("batch");
            if batches > 20 && added_after.is_none() {
                outside.add_worker("late");
                added_after = Some(batches);
            }
            let roster = outside.value("roster").unwrap_or_default();
            if String::from_utf8_lossy(&roster).contains("late") {
                break;
            }
            let since = added_after.map_or(0, |first| batches - first);
            assert!(since < MOST_BATCHES, "{since} batches and no roster with the new worker");
        }
        token.cancel();
    });
}
