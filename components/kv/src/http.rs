//! HTTP client for the key-value service.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use errors::{Error, Result};
use libs::ureq::http::Response;
use libs::ureq::{Agent, Body};
use metrics::Metrics;
use types::Millis;

use crate::budget::TokenBucket;
use crate::{Store, Stored};

/// Largest value that the service stores.
const MAX_VALUE_BYTES: u64 = 1 << 20;
/// Size of each of a connection's two buffers.
const BUFFER_BYTES: usize = 32 << 10;
/// Time beyond a watch's own wait before the call times out.
const WATCH_GRACE_MS: Millis = Millis(1_000);

/// Client for the service at a base URL.
pub struct HttpStore {
    base_url: String,
    agent: Agent,
    call_timeout_ms: Millis,
    reads: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
    metrics: Metrics,
}

impl HttpStore {
    /// Creates a client that keeps its calls within the given rates and times out calls.
    pub fn new(
        base_url: &str,
        call_timeout_ms: Millis,
        reads_per_s: u32,
        writes_per_s: u32,
        metrics: Metrics,
    ) -> Self {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .timeout_connect(Some(call_timeout_ms.to_duration()))
            .build()
            .into();
        let now = clock::now();
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            agent,
            call_timeout_ms,
            reads: Mutex::new(TokenBucket::new(reads_per_s, now)),
            writes: Mutex::new(TokenBucket::new(writes_per_s, now)),
            metrics,
        }
    }

    fn url(&self, key: &str) -> String {
        format!("{}/kv/{key}", self.base_url)
    }

    fn take_token(&self, bucket: &Mutex<TokenBucket>, counter: &'static str) -> Result<()> {
        let mut bucket = bucket.lock().unwrap_or_else(PoisonError::into_inner);
        if !bucket.try_take(clock::now()) {
            self.metrics.count("kv.over_budget");
            return Err(Error::RateLimited);
        }
        self.metrics.count(counter);
        Ok(())
    }

    fn read(&self, url: &str, timeout: Duration) -> Result<Option<Stored>> {
        let sent = self.agent.get(url).config().timeout_global(Some(timeout)).build().call();
        let mut response = sent.map_err(|error| Error::from_call(&error))?;
        match response.status().as_u16() {
            200 => read_value(&mut response).map(Some),
            304 | 404 => Ok(None),
            status => Err(refused(status)),
        }
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Stored>> {
        self.take_token(&self.reads, "kv.reads")?;
        self.read(&self.url(key), self.call_timeout_ms.to_duration())
    }

    fn compare_and_swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<u64> {
        self.take_token(&self.writes, "kv.writes")?;
        let request = self.agent.put(self.url(key)).header("If-Match", expected.to_string());
        let sent = request
            .config()
            .timeout_global(Some(self.call_timeout_ms.to_duration()))
            .build()
            .send(value);
        let response = sent.map_err(|error| Error::from_call(&error))?;
        let version = version_of(&response);
        match response.status().as_u16() {
            200 => version,
            412 => Err(Error::VersionConflict(version?)),
            // The service may have failed after it stored the value.
            status @ 500.. => Err(Error::Unanswered(format!("status {status}"))),
            status => Err(refused(status)),
        }
    }

    fn watch(&self, key: &str, known: u64, wait_ms: Millis) -> Result<Option<Stored>> {
        self.take_token(&self.reads, "kv.watches")?;
        let url = format!("{}?watch={known}&wait_ms={}", self.url(key), wait_ms.0);
        self.read(&url, (wait_ms + WATCH_GRACE_MS).to_duration())
    }

    fn delete(&self, key: &str) -> Result<()> {
        self.take_token(&self.writes, "kv.writes")?;
        let request = self.agent.delete(self.url(key));
        let sent = request
            .config()
            .timeout_global(Some(self.call_timeout_ms.to_duration()))
            .build()
            .call();
        let response = sent.map_err(|error| Error::from_call(&error))?;
        match response.status().as_u16() {
            200 | 404 => Ok(()),
            status => Err(refused(status)),
        }
    }
}

fn refused(status: u16) -> Error {
    Error::Refused(status, "key-value service".to_owned())
}

fn version_of(response: &Response<Body>) -> Result<u64> {
    let etag = response.headers().get("ETag").and_then(|value| value.to_str().ok());
    etag.and_then(|text| text.trim_matches('"').parse().ok())
        .ok_or_else(|| Error::Unanswered("response without a valid ETag".to_owned()))
}

fn read_value(response: &mut Response<Body>) -> Result<Stored> {
    let version = version_of(response)?;
    let value = response
        .body_mut()
        .with_config()
        .limit(MAX_VALUE_BYTES)
        .read_to_vec()
        .map_err(|error| Error::Unanswered(error.to_string()))?;
    Ok(Stored { version, value })
}
