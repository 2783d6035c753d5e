//! Creates the certificates of a deployment.

use std::fs;
use std::path::{Path, PathBuf};

use errors::{Error, Result};
use libs::rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose,
};

use crate::tls::SERVER_NAME;

/// Files of a certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateFiles {
    /// The certificate, as PEM.
    pub cert: PathBuf,
    /// The certificate's private key, as PEM.
    pub key: PathBuf,
}

impl CertificateFiles {
    fn in_dir(dir: &Path, name: &str) -> Self {
        Self {
            cert: dir.join(format!("{name}.cert.pem")),
            key: dir.join(format!("{name}.key.pem")),
        }
    }

    fn write(&self, cert: &str, key: &str) -> Result<()> {
        write_file(&self.cert, cert)?;
        write_private_file(&self.key, key)
    }
}

/// Creates a deployment's certificate authority in `dir`, as `ca.cert.pem` and `ca.key.pem`.
pub fn create_authority(dir: &Path) -> Result<CertificateFiles> {
    fs::create_dir_all(dir).map_err(|error| file_error(dir, error))?;
    let key = KeyPair::generate().map_err(|error| certificate_error(&error))?;
    let key_pem = key.serialize_pem();
    let authority = CertifiedIssuer::self_signed(authority_params(), key)
        .map_err(|error| certificate_error(&error))?;
    let files = CertificateFiles::in_dir(dir, "ca");
    files.write(&authority.pem(), &key_pem)?;
    Ok(files)
}

/// Creates the certificate of a process, signed by the certificate authority in `dir`.
pub fn create_certificate(dir: &Path, process: &str) -> Result<CertificateFiles> {
    let authority = CertificateFiles::in_dir(dir, "ca");
    let issuer_key = KeyPair::from_pem(&read_file(&authority.key)?)
        .map_err(|error| certificate_error(&error))?;
    let issuer = Issuer::new(authority_params(), issuer_key);
    let names = vec![SERVER_NAME.to_owned()];
    let mut params = CertificateParams::new(names).map_err(|error| certificate_error(&error))?;
    params.distinguished_name.push(DnType::CommonName, process);
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate().map_err(|error| certificate_error(&error))?;
    let cert = params.signed_by(&key, &issuer).map_err(|error| certificate_error(&error))?;
    let files = CertificateFiles::in_dir(dir, process);
    files.write(&cert.pem(), &key.serialize_pem())?;
    Ok(files)
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, "carobsill authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
}

fn certificate_error(error: &libs::rcgen::Error) -> Error {
    Error::Config(format!("certificate: {error}"))
}

fn file_error(path: &Path, error: std::io::Error) -> Error {
    Error::Io(path.display().to_string(), error)
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|error| file_error(path, error))
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(|error| file_error(path, error))
}

/// Writes a file that only its owner may read, unless the file already exists with other permissions.
fn write_private_file(path: &Path, text: &str) -> Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;

    let mut options = fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(0o600);
    let mut file = options.open(path).map_err(|error| file_error(path, error))?;
    file.write_all(text.as_bytes()).map_err(|error| file_error(path, error))
}
