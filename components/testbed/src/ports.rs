//! Free ports on the loopback address.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use errors::{Error, Result};

static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address that no other part of this process was given, free for TCP and UDP at this moment.
pub(crate) fn free_address() -> Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(net_error)?;
        let address = listener.local_addr().map_err(net_error)?;
        let is_new = TAKEN.lock().unwrap_or_else(PoisonError::into_inner).insert(address.port());
        if is_new && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

fn net_error(error: std::io::Error) -> Error {
    Error::Net(error.to_string())
}
