//! Comparison of forecasts with what happened.

use std::collections::BTreeMap;

use types::{JobId, Millis};

use crate::message::StartEstimate;

/// Most jobs whose start is awaited. Further ones are not checked.
const MAX_AWAITED: usize = 2_000;
/// Forecasts and waits below this are not compared: they are mostly the time of a round.
const MIN_COMPARED_MS: Millis = Millis(250);

/// Middle of the forecast minus the outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForecastError {
    /// The job started earlier than forecast.
    Over(Millis),
    /// The job started later than forecast.
    Under(Millis),
}

/// Jobs whose start is awaited, with the forecast at their acceptance.
#[derive(Debug, Default)]
pub struct ForecastCheck {
    awaited: BTreeMap<JobId, (Millis, StartEstimate)>,
}

impl ForecastCheck {
    /// Notes the forecast for a job that was accepted.
    pub fn record_accepted(&mut self, job: &JobId, estimate: StartEstimate, now: Millis) {
        if self.awaited.len() < MAX_AWAITED {
            self.awaited.entry(job.clone()).or_insert((now, estimate));
        }
    }

    /// Compares the forecast for a job with the start of its first task.
    pub fn record_started(&mut self, job: &JobId, now: Millis) -> Option<ForecastError> {
        let (accepted_ms, estimate) = self.awaited.remove(job)?;
        let outcome_ms = now.since(accepted_ms);
        let forecast_ms = estimate.middle_ms();
        if forecast_ms.max(outcome_ms) < MIN_COMPARED_MS {
            return None;
        }
        Some(if forecast_ms >= outcome_ms {
            ForecastError::Over(forecast_ms.since(outcome_ms))
        } else {
            ForecastError::Under(outcome_ms.since(forecast_ms))
        })
    }

    /// Forgets jobs that were accepted longer than `age_ms` ago, since they have ended or wait for
    /// something else than capacity.
    pub fn forget_older(&mut self, age_ms: Millis, now: Millis) {
        self.awaited.retain(|_, (accepted_ms, _)| now.since(*accepted_ms) < age_ms);
    }
}
