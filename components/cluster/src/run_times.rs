//! Hands learned run times to the next leader, and shows how good forecasts are.
//!
//! The summary is read after the stored state is loaded, so that it never delays a new leader, and its
//! absence or a fault in it changes nothing but how soon forecasts are good.

use std::rc::Rc;

use cell::{Evidence, ForecastOutcome, ForecastSource, MAX_RUN_TIMES_BYTES, RunTimesSummary};
use eventlog::event;
use libs::tokio;
use types::Millis;

use crate::codec::{decode, encode};
use crate::keys;
use crate::leader::Leader;
use crate::node::Node;
use crate::ports::Transaction;

/// Time between two summaries. A worker has some runs in this time.
const STORE_PERIOD_MS: Millis = Millis(10_000);
/// Attempts to read the summary of the former leader, and the time between them. Later the leader has
/// learned more than a summary of that age tells.
const READ_ATTEMPTS: u32 = 5;
const READ_PERIOD_MS: Millis = Millis(1_000);

impl Node {
    /// Reads the summary of the former leader once, then stores one at intervals.
    pub(crate) async fn keep_run_times(self: Rc<Self>, leader: Rc<Leader>) {
        if !leader.cell.borrow().learns_run_times() {
            return;
        }
        self.restore_run_times(&leader).await;
        loop {
            tokio::time::sleep(STORE_PERIOD_MS.to_duration()).await;
            self.store_run_times(&leader).await;
        }
    }

    async fn restore_run_times(&self, leader: &Leader) {
        for _ in 0..READ_ATTEMPTS {
            let read = self.store_result(self.ports.store.get(keys::RUN_TIMES).await);
            match read {
                Ok(Some(item)) => return self.apply_run_times(leader, &item.value),
                Ok(None) => {
                    event!("run_times.none_stored", "epoch" => leader.epoch());
                    return;
                }
                Err(_recorded) => tokio::time::sleep(READ_PERIOD_MS.to_duration()).await,
            }
        }
        self.not_restored(leader, "the store did not answer");
    }

    fn apply_run_times(&self, leader: &Leader, value: &[u8]) {
        if value.len() > MAX_RUN_TIMES_BYTES {
            return self.not_restored(leader, "it is too large");
        }
        let summary = match decode::<RunTimesSummary>(value) {
            Ok(summary) => summary,
            Err(error) => return self.not_restored(leader, &error.to_string()),
        };
        if !leader.cell.borrow_mut().restore_run_times(&summary) {
            return self.not_restored(leader, "it has another format");
        }
        let (workers, kinds) = summary.counts();
        event!("run_times.restored", "epoch" => leader.epoch(), "workers" => workers,
            "kinds" => kinds, "bytes" => value.len(),
            "age_ms" => eventlog::unix_ms().saturating_sub(summary.written_unix_ms));
    }

    fn not_restored(&self, leader: &Leader, why: &str) {
        self.metrics.count("run_times_not_restored");
        event!("run_times.not_restored", "epoch" => leader.epoch(), "why" => why);
    }

    async fn store_run_times(&self, leader: &Leader) {
        if self.store_failures.get() > 0 {
            return;
        }
        let summary = leader.cell.borrow().run_times_summary(clock::now());
        let Some(summary) = summary else { return };
        let value = match encode(&summary) {
            Ok(value) if value.len() <= MAX_RUN_TIMES_BYTES => value,
            Ok(value) => {
                event!("run_times.too_large", "bytes" => value.len());
                return;
            }
            Err(error) => {
                event!("store.encode_failed", "key" => keys::RUN_TIMES,
                    "error" => error.to_string());
                return;
            }
        };
        self.metrics.gauge("run_times_bytes", value.len() as u64);
        let transaction = Transaction {
            expected: vec![(keys::LEADER.to_owned(), leader.revision)],
            puts: vec![(keys::RUN_TIMES.to_owned(), value, 0)],
            removes: Vec::new(),
        };
        // The next one is stored soon; a conflict is found by the batches.
        if self.store_result(self.ports.store.commit(&transaction).await).is_ok() {
            self.metrics.count("run_times_stored");
        }
    }

    /// Records forecasts over outcomes in histograms, by what the forecasts stood on.
    pub(crate) fn record_forecasts(&self, outcomes: &[ForecastOutcome]) {
        for outcome in outcomes {
            self.metrics.record(metric(outcome.evidence), outcome.over_outcome_percent);
        }
    }
}

fn metric(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::DeclaredTime
        | Evidence::AtStart(ForecastSource::Declared)
        | Evidence::UnderWay(ForecastSource::Declared) => "forecast_over_outcome_percent_declared",
        Evidence::AtStart(ForecastSource::Kind) => "forecast_over_outcome_percent_start_kind",
        Evidence::AtStart(ForecastSource::Job) => "forecast_over_outcome_percent_start_job",
        Evidence::AtStart(ForecastSource::Step) => "forecast_over_outcome_percent_start_step",
        Evidence::UnderWay(ForecastSource::Kind | ForecastSource::Job) => {
            "forecast_over_outcome_percent_under_way_kind"
        }
        Evidence::UnderWay(ForecastSource::Step) => "forecast_over_outcome_percent_under_way_step",
        Evidence::OwnProgress => "forecast_over_outcome_percent_own_progress",
    }
}
