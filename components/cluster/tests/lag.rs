//! Hand-over of the lead by a process that is short of processor time.

use cluster::LagWatch;
use types::Millis;

#[test]
fn a_peak_of_a_second_is_borne() {
    let mut watch = LagWatch::default();
    // A second of late ticks, then two seconds without.
    let round = [80, 150, 90, 70, 120, 60, 80, 90].into_iter().chain([5; 20]);
    assert!(!round.cycle().take(280).any(|late_ms| watch.ticked(Millis(late_ms))));
}

#[test]
fn a_machine_that_turned_slow_hands_over_within_three_seconds() {
    let mut watch = LagWatch::default();
    let ticks = (0..30).take_while(|_| !watch.ticked(Millis(120))).count();
    assert!(ticks * (100 + 120) < 3_000, "{ticks} ticks");
}
