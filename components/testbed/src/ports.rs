//! Allocates free ports on the loopback address.
//!
//! The ports lie below the ephemeral range: the system may give a port of that range to an outgoing
//! connection between the moment it is found free and the moment a process binds it.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::{Mutex, PoisonError};

/// Ports below Linux's default ephemeral range, which starts at 32768.
const PORT_RANGE: std::ops::Range<u16> = 15_000..32_000;
/// Ports that a process tries first. Processes that run at the same time mostly have different ones,
/// since a port may be taken between the moment it is found free and the moment it is bound.
const BLOCK_PORTS: u16 = 200;
/// Tries in the block of the process before any port of the range is tried.
const BLOCK_TRIES: u32 = 1_000;

/// The ports that were returned. Held while a port is tried and while a process is started: between fork and
/// exec a child holds copies of all sockets, so that a port that was tried meanwhile stays taken.
static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Starts a process while no port is tried.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _no_port_is_tried = ALLOCATED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Returns an address that is free for TCP and UDP and has not been returned before in this process.
pub fn free_address() -> SocketAddr {
    let mut tries = 0;
    loop {
        tries += 1;
        let ports = if tries <= BLOCK_TRIES { own_block() } else { PORT_RANGE };
        let address = SocketAddr::from(([127, 0, 0, 1], libs::rand::random_range(ports)));
        let mut allocated = ALLOCATED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = allocated.insert(address.port());
        if is_new && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn own_block() -> std::ops::Range<u16> {
    let blocks = u32::from(PORT_RANGE.len() as u16 / BLOCK_PORTS);
    let block = (std::process::id() % blocks) as u16;
    let first = PORT_RANGE.start + block * BLOCK_PORTS;
    first..first + BLOCK_PORTS
}
