//! Counters and histograms, sent as statsd by `cadence` and kept for the metrics address.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use libs::cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use libs::hdrhistogram::Histogram;
use libs::log::warn;

/// Longest time that a histogram tells apart: an hour.
const LONGEST_TIME_MS: u64 = 3_600_000;
/// Significant digits of a recorded time. Two keep a histogram under 10 KB.
const DIGITS: u8 = 2;
/// Quantiles that are shown of each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];
/// Prefix of all metric names.
const PREFIX: &str = "carobsill";

/// Handle to the metrics of this process. Clones share the same counters.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    counts: Arc<Mutex<BTreeMap<&'static str, u64>>>,
    times: Arc<Mutex<BTreeMap<&'static str, Histogram<u64>>>>,
}

impl Metrics {
    /// Sends to the statsd address, or nowhere if there is none.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(udp_client)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { client: Arc::new(client), counts: Arc::default(), times: Arc::default() }
    }

    /// Adds 1 to a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, amount: u64) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(name).or_default() += amount;
        drop(counts);
        self.client.count(name, amount).ok();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.insert(name, value);
        drop(counts);
        self.client.gauge(name, value).ok();
    }

    /// Records a time in milliseconds.
    pub fn time_ms(&self, name: &'static str, took_ms: u64) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.entry(name).or_insert_with(new_histogram).saturating_record(took_ms);
        drop(times);
        self.client.time(name, took_ms).ok();
    }

    /// All counters, gauges and histograms as text, a value a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.snapshot() {
            text.push_str(&format!("{PREFIX}_{name} {value}\n"));
        }
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, histogram) in times.iter() {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                text.push_str(&format!("{PREFIX}_{name}{{quantile=\"{quantile}\"}} {value}\n"));
            }
            text.push_str(&format!("{PREFIX}_{name}_count {}\n", histogram.len()));
            text.push_str(&format!("{PREFIX}_{name}_max {}\n", histogram.max()));
        }
        text
    }

    /// All counters and gauges since the start of the process.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn new_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, LONGEST_TIME_MS, DIGITS).unwrap_or_else(|_| unreachable!())
}

fn udp_client(address: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    match UdpMetricSink::from(address, socket) {
        Ok(sink) => Some(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))),
        Err(error) => {
            warn!("metrics are not sent to {address}: {error}");
            None
        }
    }
}
