//! Ports that `free_address` returns.

use testbed::free_address;

#[test]
fn ports_are_below_the_ephemeral_range() {
    // Linux's ephemeral range starts at 32768 by default.
    assert!((0..200).all(|_| free_address().port() < 32_768));
}
