//! Detection of a leader that is short of processor time.

use cluster::LagDetector;
use types::Millis;

#[test]
fn tolerates_load_peaks_of_one_second() {
    let mut watch = LagDetector::default();
    // One second of late ticks, then two seconds of ticks on time.
    let round = [80, 150, 90, 70, 120, 60, 80, 90].into_iter().chain([5; 20]);
    assert!(!round.cycle().take(280).any(|late_ms| watch.record_tick(Millis(late_ms))));
}

#[test]
fn detects_a_slow_machine_within_three_seconds() {
    let mut watch = LagDetector::default();
    let ticks = (0..30).take_while(|_| !watch.record_tick(Millis(120))).count();
    assert!(ticks * (100 + 120) < 3_000, "{ticks} ticks");
}

/// A leader that was slowed to a fifth took 4.5 s to hand over, since each of its ticks came 0.5 s
/// late.
#[test]
fn detects_a_very_slow_machine_within_two_seconds() {
    let mut watch = LagDetector::default();
    let ticks = (0..30).take_while(|_| !watch.record_tick(Millis(500))).count();
    assert!(ticks * (100 + 500) < 2_000, "{ticks} ticks");
}
