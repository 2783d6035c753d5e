//! Messages between carobsill processes, over QUIC with mutual TLS.
//!
//! Each process keeps one outgoing connection to each peer to which it sends messages, with a single
//! ordered stream. Delivery is at most once: messages in flight on a broken connection are lost, and
//! the protocols above repeat them or time out.

mod certs;
mod inbound;
mod mesh;
mod outbound;
mod tls;

pub use certs::{CertificateFiles, create_authority, create_certificate};
pub use mesh::Mesh;

/// Largest encoded message. Large enough for the rules text of several hundred teams.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;
