use types::Millis;

use super::TokenBucket;

#[test]
fn rejects_calls_beyond_the_rate_and_refills() {
    let mut bucket = TokenBucket::new(2, Millis(0));
    assert!(bucket.try_take(Millis(0)));
    assert!(bucket.try_take(Millis(0)));
    assert!(!bucket.try_take(Millis(0)));
    assert!(!bucket.try_take(Millis(499)));
    assert!(bucket.try_take(Millis(500)));
    assert!(!bucket.try_take(Millis(500)));
}

#[test]
fn holds_tokens_of_one_second_and_ignores_backward_clocks() {
    let mut bucket = TokenBucket::new(3, Millis(10_000));
    let taken = (0..10).filter(|_| bucket.try_take(Millis(60_000))).count();
    assert_eq!(taken, 3);
    assert!(!bucket.try_take(Millis(0)));
}
