//! Binary encoding of stored values and of messages between peers.

use errors::{Error, Result};
use libs::postcard;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_allocvec(value).map_err(|error| Error::Codec(error.to_string()))
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| Error::Codec(error.to_string()))
}
