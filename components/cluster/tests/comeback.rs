//! Callers that are refused during an outage of the store, replayed.

use cluster::retry_after_s;
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use types::Millis;

/// Tries of a caller, the first one included.
const TRIES: usize = 5;
/// Callers that come each second, as on the sites.
const CALLERS_PER_S: u64 = 16;

/// Plays an outage; returns the callers that gave up and how many came back in each second
/// after its end.
fn play(outage_ms: u64, pause_s: impl Fn(Millis, f64) -> u64) -> (usize, Vec<usize>) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut lost = 0;
    let mut back = vec![0; 12];
    for caller in 0..CALLERS_PER_S * outage_ms / 1_000 {
        let mut at = caller * 1_000 / CALLERS_PER_S;
        let mut tries = 1;
        while at < outage_ms && tries < TRIES {
            at += pause_s(Millis(at), rng.random()) * 1_000;
            tries += 1;
        }
        if at < outage_ms {
            lost += 1;
        } else {
            back[((at - outage_ms) / 1_000) as usize] += 1;
        }
    }
    (lost, back)
}

#[test]
fn no_caller_gives_up_in_an_outage_of_nine_seconds() {
    let (lost_before, _) = play(9_000, |_, _| 1);
    let (lost, _) = play(9_000, retry_after_s);
    assert!(lost_before > 0, "the plain pause of a second loses callers");
    assert_eq!(lost, 0);
}

#[test]
fn refused_callers_do_not_come_back_together() {
    let (_, back) = play(4_500, retry_after_s);
    let all: usize = back.iter().sum();
    let most = back.iter().max().copied().unwrap_or(0);
    assert!(most * 2 <= all, "{back:?}");
}
