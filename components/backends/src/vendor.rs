//! Adapters for the formats in which the vendors' runners report their state.

use config::ReportFormat;
use errors::{Error, Result};
use libs::serde_json;
use libs::ureq::http::HeaderMap;
use serde::Deserialize;
use types::{BackendState, Millis, RequestId, RunnerReport};

/// Converts a vendor's state report to the common format.
pub trait VendorAdapter: Send + Sync {
    /// Parses a report. `status` and `headers` are those of the HTTP response that carried it.
    fn parse(&self, status: u16, headers: &HeaderMap, body: &str) -> Result<RunnerReport>;
}

/// Returns the adapter for a report format.
pub fn adapter_for(format: ReportFormat) -> &'static dyn VendorAdapter {
    match format {
        ReportFormat::Json => &JsonAdapter,
        ReportFormat::Text => &TextAdapter,
        ReportFormat::Headers => &HeadersAdapter,
    }
}

fn malformed(detail: &str) -> Error {
    Error::Codec(format!("malformed runner report: {detail}"))
}

fn parse_running(list: &str) -> Result<Vec<RequestId>> {
    list.split(',').map(str::trim).filter(|id| !id.is_empty()).map(str::parse).collect()
}

/// A JSON object such as `{"status":"UP","boot":7,"clock_ms":12,"slots":8,"running":[]}`.
struct JsonAdapter;

#[derive(Deserialize)]
struct JsonReport {
    status: String,
    boot: u64,
    clock_ms: Millis,
    slots: u32,
    running: Vec<RequestId>,
}

impl VendorAdapter for JsonAdapter {
    fn parse(&self, _status: u16, _headers: &HeaderMap, body: &str) -> Result<RunnerReport> {
        let report: JsonReport =
            serde_json::from_str(body).map_err(|error| malformed(&error.to_string()))?;
        let state = match report.status.as_str() {
            "UP" => BackendState::Up,
            "DRAINING" => BackendState::Leaving,
            "DOWN" => BackendState::Down,
            _ => return Err(malformed("status")),
        };
        Ok(RunnerReport {
            state,
            incarnation: report.boot,
            clock_ms: report.clock_ms,
            slots: report.slots,
            running: report.running,
        })
    }
}

/// Lines of `key=value` with the keys `health`, `boot`, `clock`, `slots` and `jobs`, among others.
struct TextAdapter;

impl VendorAdapter for TextAdapter {
    fn parse(&self, _status: u16, _headers: &HeaderMap, body: &str) -> Result<RunnerReport> {
        let field = |name: &str| {
            let pairs = body.lines().filter_map(|line| line.split_once('='));
            pairs
                .map(|(key, value)| (key.trim(), value.trim()))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let number = |name: &str| {
            field(name).and_then(|text| text.parse().ok()).ok_or_else(|| malformed(name))
        };
        let state = match field("health") {
            Some("ok") => BackendState::Up,
            Some("leaving") => BackendState::Leaving,
            Some("stopped") => BackendState::Down,
            _ => return Err(malformed("health")),
        };
        Ok(RunnerReport {
            state,
            incarnation: number("boot")?,
            clock_ms: Millis(number("clock")?),
            slots: u32::try_from(number("slots")?).map_err(|_| malformed("slots"))?,
            running: parse_running(field("jobs").unwrap_or_default())?,
        })
    }
}

/// The HTTP status, 200 or 503, and the headers `X-Boot`, `X-Clock-Ms`, `X-Slots`, `X-Drain` and `X-Running`.
struct HeadersAdapter;

impl VendorAdapter for HeadersAdapter {
    fn parse(&self, status: u16, headers: &HeaderMap, _body: &str) -> Result<RunnerReport> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| -> Result<u64> {
            text(name).and_then(|value| value.parse().ok()).ok_or_else(|| malformed(name))
        };
        let state = match (status, text("x-drain")) {
            (200, Some("true")) => BackendState::Leaving,
            (200, _) => BackendState::Up,
            _ => BackendState::Down,
        };
        Ok(RunnerReport {
            state,
            incarnation: number("x-boot")?,
            clock_ms: Millis(number("x-clock-ms")?),
            slots: u32::try_from(number("x-slots")?).map_err(|_| malformed("x-slots"))?,
            running: parse_running(text("x-running").unwrap_or_default())?,
        })
    }
}
