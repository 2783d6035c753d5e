//! API keys. Each consists of a name and a secret; only the hash of the secret is stored.

use std::fmt;
use std::fmt::Write as _;
use std::str::FromStr;

use errors::Error;
use libs::compact_str::CompactString;
use libs::rand::{self, RngCore};
use libs::sha2::{Digest, Sha256};
use libs::subtle::ConstantTimeEq;
use serde::{Deserialize, Serialize};
use types::KeyId;

/// Length of a secret before it is hex-encoded.
const SECRET_BYTES: usize = 24;
const HASH_BYTES: usize = 32;

/// SHA-256 hash of a key's secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a secret.
    pub fn of_secret(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).into())
    }

    /// Returns whether the secret has this hash. Takes the same time for all secrets of the same length.
    pub fn matches(&self, secret: &str) -> bool {
        self.0.ct_eq(&Self::of_secret(secret).0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse_error = || Error::Parse("SHA-256 hash of 64 hexadecimal digits", text.to_owned());
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(parse_error());
        }
        let mut hash = [0; HASH_BYTES];
        for (index, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16)
                .map_err(|_| parse_error())?;
        }
        Ok(Self(hash))
    }
}

impl TryFrom<CompactString> for KeyHash {
    type Error = Error;

    fn try_from(text: CompactString) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<KeyHash> for CompactString {
    fn from(hash: KeyHash) -> Self {
        CompactString::from(hash.to_string())
    }
}

/// Generates a random secret, hex-encoded.
pub fn new_secret() -> String {
    let mut bytes = [0; SECRET_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes.iter().fold(String::with_capacity(2 * SECRET_BYTES), |mut secret, byte| {
        // Writing to a `String` is infallible.
        write!(secret, "{byte:02x}").ok();
        secret
    })
}

/// Parses the value of an `Authorization` header of the form `Bearer NAME.SECRET`.
///
/// Returns `None` if the header is malformed.
pub fn parse_bearer(header: &str) -> Option<(KeyId, &str)> {
    let token = header.strip_prefix("Bearer ")?;
    let (name, secret) = token.trim().rsplit_once('.')?;
    Some((name.parse().ok()?, secret))
}
