//! TLS configuration. Both sides present a certificate of the deployment's own certificate authority.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use config::TlsSettings;
use errors::{Error, Result};
use libs::quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use libs::quinn::{self, TransportConfig};
use libs::rustls::pki_types::pem::PemObject;
use libs::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use libs::rustls::server::WebPkiClientVerifier;
use libs::rustls::{self, RootCertStore};

/// Server name in the certificate of every process. Peers are identified by address, not by name.
pub(crate) const SERVER_NAME: &str = "carobsill.internal";
/// Protocol name that is negotiated in the TLS handshake.
const ALPN: &[u8] = b"carobsill/1";
/// Time without packets after which a connection is closed as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Period of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes that a peer may send on a stream ahead of what this process has read.
const STREAM_WINDOW_BYTES: u32 = 2 << 20;

/// QUIC configuration of both sides.
pub(crate) struct QuicConfigs {
    pub(crate) server: quinn::ServerConfig,
    pub(crate) client: quinn::ClientConfig,
}

/// Loads the certificates and builds the configuration.
pub(crate) fn load(tls: &TlsSettings) -> Result<QuicConfigs> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots = Arc::new(load_roots(&tls.ca)?);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|error| tls_error(&error))?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| tls_error(&error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(load_certs(&tls.cert)?, load_key(&tls.key)?)
        .map_err(|error| tls_error(&error))?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| tls_error(&error))?
        .with_root_certificates(roots)
        .with_client_auth_cert(load_certs(&tls.cert)?, load_key(&tls.key)?)
        .map_err(|error| tls_error(&error))?;
    client.alpn_protocols = vec![ALPN.to_vec()];
    let server_crypto = QuicServerConfig::try_from(server).map_err(|error| tls_error(&error))?;
    let client_crypto = QuicClientConfig::try_from(client).map_err(|error| tls_error(&error))?;
    let transport = Arc::new(transport()?);
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server_crypto));
    server.transport_config(transport.clone());
    let mut client = quinn::ClientConfig::new(Arc::new(client_crypto));
    client.transport_config(transport);
    Ok(QuicConfigs { server, client })
}

fn transport() -> Result<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IDLE_TIMEOUT.try_into().map_err(|_| Error::Config("idle timeout".to_owned()))?;
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(0_u8.into());
    transport.max_concurrent_uni_streams(2_u8.into());
    transport.stream_receive_window(STREAM_WINDOW_BYTES.into());
    Ok(transport)
}

fn load_roots(path: &Path) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for cert in load_certs(path)? {
        roots.add(cert).map_err(|error| tls_error(&error))?;
    }
    Ok(roots)
}

fn load_certs(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let certs: std::result::Result<Vec<_>, _> =
        CertificateDer::pem_file_iter(path).map_err(|error| pem_error(path, &error))?.collect();
    certs.map_err(|error| pem_error(path, &error))
}

fn load_key(path: &Path) -> Result<PrivateKeyDer<'static>> {
    PrivateKeyDer::from_pem_file(path).map_err(|error| pem_error(path, &error))
}

fn pem_error(path: &Path, error: &dyn std::fmt::Display) -> Error {
    Error::Config(format!(
        "{}: {error}. Make the files with 'carobsill certs' and name them in the settings",
        path.display()
    ))
}

fn tls_error(error: &dyn std::fmt::Display) -> Error {
    Error::Config(format!("TLS: {error}"))
}
