//! Free ports on the loopback address.
//!
//! They lie below the range from which the system takes ports for outgoing connections: a port of
//! that range may be taken between the moment it is found free and the moment a process binds it.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// Ports that Linux does not give to outgoing connections by default.
const PORTS: std::ops::Range<u16> = 15_000..32_000;

static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address that no other part of this process was given, free for TCP and UDP at this moment.
pub fn free_address() -> SocketAddr {
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], libs::rand::random_range(PORTS)));
        let is_new = TAKEN.lock().unwrap_or_else(PoisonError::into_inner).insert(address.port());
        if is_new && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
