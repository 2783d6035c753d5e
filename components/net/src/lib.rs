//! Messages between carobsill's own processes over QUIC, with mutual TLS.
//!
//! Each process keeps one outgoing connection to each peer it talks to and sends messages on one
//! ordered stream. Delivery is at most once: what a broken connection held is lost, and the
//! protocols above repeat or time out.

mod certs;
mod inbound;
mod mesh;
mod outbound;
mod tls;

pub use certs::{CertificateFiles, create_authority, create_certificate};
pub use mesh::Mesh;

/// Longest encoded message, in bytes. Rules texts of some hundreds of teams fit in.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;
