//! Ports of the processes under test.

use testbed::free_address;

#[test]
fn ports_are_not_those_of_outgoing_connections() {
    // The lower end of the range is 32768 unless somebody has changed it.
    assert!((0..200).all(|_| free_address().port() < 32_768));
}
