//! Counters, gauges and histograms. They are sent to a statsd server through `cadence`, and kept in
//! memory to be served at the metrics address.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use libs::cadence::{
    Counted, Gauged, Histogrammed, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use libs::hdrhistogram::Histogram;
use libs::log::warn;

/// Highest value that a histogram records, one hour in milliseconds. Higher values are recorded as this value.
const MAX_RECORDED_TIME_MS: u64 = 3_600_000;
/// Significant digits of a recorded time. With two, a histogram takes less than 10 KB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles shown for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];
/// Prefix of all metric names.
const PREFIX: &str = "carobsill";

/// Handle to the metrics of this process. Clones share the same values.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    values: Arc<Mutex<BTreeMap<&'static str, u64>>>,
    histograms: Arc<Mutex<BTreeMap<&'static str, Histogram<u64>>>>,
}

impl Metrics {
    /// Creates metrics that are sent to the statsd address, if there is one.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(udp_client)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { client: Arc::new(client), values: Arc::default(), histograms: Arc::default() }
    }

    /// Increments a counter by one.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Increments a counter by `amount`.
    pub fn add(&self, name: &'static str, amount: u64) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        *values.entry(name).or_default() += amount;
        drop(values);
        self.client.count(name, amount).ok();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        values.insert(name, value);
        drop(values);
        self.client.gauge(name, value).ok();
    }

    /// Records a duration in a histogram.
    pub fn time_ms(&self, name: &'static str, duration_ms: u64) {
        let mut histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        histograms.entry(name).or_insert_with(new_histogram).saturating_record(duration_ms);
        drop(histograms);
        self.client.time(name, duration_ms).ok();
    }

    /// Records a value other than a duration in a histogram.
    pub fn record(&self, name: &'static str, value: u64) {
        let mut histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        histograms.entry(name).or_insert_with(new_histogram).saturating_record(value);
        drop(histograms);
        self.client.histogram(name, value).ok();
    }

    /// All counters, gauges and histograms in text form, one value per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.snapshot() {
            text.push_str(&format!("{PREFIX}_{name} {value}\n"));
        }
        let histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, histogram) in histograms.iter() {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                text.push_str(&format!("{PREFIX}_{name}{{quantile=\"{quantile}\"}} {value}\n"));
            }
            text.push_str(&format!("{PREFIX}_{name}_count {}\n", histogram.len()));
            text.push_str(&format!("{PREFIX}_{name}_max {}\n", histogram.max()));
        }
        text
    }

    /// Current values of all counters and gauges. Counters start at zero with the process.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn new_histogram() -> Histogram<u64> {
    // The library accepts these constant bounds.
    Histogram::new_with_bounds(1, MAX_RECORDED_TIME_MS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!())
}

fn udp_client(address: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    match UdpMetricSink::from(address, socket) {
        Ok(sink) => Some(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))),
        Err(error) => {
            warn!("cannot send metrics to {address}: {error}");
            None
        }
    }
}
