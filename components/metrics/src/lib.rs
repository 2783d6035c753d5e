//! Counters, sent as statsd by `cadence` and kept for the administration API.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use libs::cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use libs::log::warn;

/// Prefix of all metric names.
const PREFIX: &str = "carobsill";

/// Handle to the metrics of this process. Clones share the same counters.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    counts: Arc<Mutex<BTreeMap<&'static str, u64>>>,
}

impl Metrics {
    /// Sends to the statsd address, or nowhere if there is none.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let client = statsd
            .and_then(udp_client)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { client: Arc::new(client), counts: Arc::default() }
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
        self.client.time(name, took_ms).ok();
    }

    /// All counters and gauges since the start of the process.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
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
