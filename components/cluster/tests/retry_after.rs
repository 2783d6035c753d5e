//! Simulates callers that are refused during a store outage and retry.

use cluster::retry_after_s;
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use types::Millis;

/// Attempts of a caller, the first one included.
const MAX_ATTEMPTS: usize = 5;
/// Arrival rate of callers, as at the production sites.
const CALLERS_PER_S: u64 = 16;

/// Simulates an outage. Returns how many callers gave up and how many returned in each second
/// after its end.
fn simulate_outage(
    outage_ms: u64,
    retry_delay_s: impl Fn(Millis, f64) -> u64,
) -> (usize, Vec<usize>) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut gave_up = 0;
    let mut returned_per_s = vec![0; 12];
    for caller in 0..CALLERS_PER_S * outage_ms / 1_000 {
        let mut time_ms = caller * 1_000 / CALLERS_PER_S;
        let mut attempts = 1;
        while time_ms < outage_ms && attempts < MAX_ATTEMPTS {
            time_ms += retry_delay_s(Millis(time_ms), rng.random()) * 1_000;
            attempts += 1;
        }
        if time_ms < outage_ms {
            gave_up += 1;
        } else {
            returned_per_s[((time_ms - outage_ms) / 1_000) as usize] += 1;
        }
    }
    (gave_up, returned_per_s)
}

#[test]
fn no_caller_gives_up_during_a_nine_second_outage() {
    let (gave_up_with_fixed_delay, _) = simulate_outage(9_000, |_, _| 1);
    let (gave_up, _) = simulate_outage(9_000, retry_after_s);
    assert!(gave_up_with_fixed_delay > 0, "a fixed delay of one second must lose callers");
    assert_eq!(gave_up, 0);
}

#[test]
fn refused_callers_do_not_return_together() {
    let (_, returned_per_s) = simulate_outage(4_500, retry_after_s);
    let total: usize = returned_per_s.iter().sum();
    let peak = returned_per_s.iter().max().copied().unwrap_or(0);
    assert!(peak * 2 <= total, "{returned_per_s:?}");
}
