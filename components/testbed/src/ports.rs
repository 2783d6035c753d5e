//! Allocates free ports on the loopback address.
//!
//! The ports lie below the ephemeral range: the system may give a port of that range to an outgoing
//! connection between the moment it is found free and the moment a process binds it.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// Ports below Linux's default ephemeral range, which starts at 32768.
const PORT_RANGE: std::ops::Range<u16> = 15_000..32_000;

static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns an address that is free for TCP and UDP and has not been returned before in this process.
pub fn free_address() -> SocketAddr {
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], libs::rand::random_range(PORT_RANGE)));
        let is_new =
            ALLOCATED_PORTS.lock().unwrap_or_else(PoisonError::into_inner).insert(address.port());
        if is_new && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
