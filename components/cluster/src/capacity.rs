//! The leader's forecast of capacity, and its check against what happened.

use eventlog::event;
use forecast::{Forecast, ForecastCheck, ForecastError, Forecaster, MAX_TEAMS, NameHash};
use types::{JobId, Millis};

use crate::leader::Leader;
use crate::node::Node;
use crate::peers::Heartbeat;

/// Shortest time between two counts: a heartbeat period.
const COUNT_PERIOD_MS: Millis = Millis(250);
/// Time between two counts in durations of a count, so that counting takes at most a hundredth of the
/// leader's time.
const COUNT_PAUSE_FACTOR: u64 = 100;
/// Interval of the log lines on the forecast.
const LOG_PERIOD_MS: Millis = Millis(1_000);
/// Time after which a job that has not started is no longer compared with its forecast.
const MAX_AWAITED_MS: Millis = Millis(120_000);

/// Forecast of one term.
#[derive(Debug, Default)]
pub(crate) struct CapacityForecast {
    forecaster: Forecaster,
    check: ForecastCheck,
    /// The last forecast, and the time of its counts.
    last: Option<(Forecast, Millis)>,
    next_count_ms: Millis,
    logged_ms: Millis,
}

impl Node {
    /// Makes a new forecast if one is due.
    pub(crate) fn update_forecast(&self, leader: &Leader) {
        let now = clock::now();
        if !self.settings.admission || now < leader.capacity.borrow().next_count_ms {
            return;
        }
        let began = std::time::Instant::now();
        let counts = leader.cell.borrow().capacity_counts(now);
        let teams = leader.cell.borrow().teams_beyond_share(now);
        let mut capacity = leader.capacity.borrow_mut();
        capacity.forecaster.record(counts);
        if let Some(mut forecast) = capacity.forecaster.forecast(now) {
            let hashes = teams.iter().take(MAX_TEAMS).map(|team| NameHash::of(team.as_str()));
            forecast.teams_beyond_share = hashes.collect();
            capacity.last = Some((forecast, now));
        }
        capacity.check.forget_older(MAX_AWAITED_MS, now);
        let took = began.elapsed();
        self.metrics.time_ms("capacity_count_ms", took.as_millis() as u64);
        let pause_ms = Millis(took.as_millis() as u64 * COUNT_PAUSE_FACTOR);
        capacity.next_count_ms = now + pause_ms.max(COUNT_PERIOD_MS);
        self.report_forecast(leader, &mut capacity, now);
        drop(capacity);
        // The leader's own callers are served by its own forecast.
        if let Some(forecast) = self.own_forecast(now) {
            self.admission.borrow_mut().record_forecast(leader.epoch(), forecast, now);
        }
    }

    fn report_forecast(&self, leader: &Leader, capacity: &mut CapacityForecast, now: Millis) {
        let Some((forecast, _)) = &capacity.last else { return };
        let longest = forecast.queues.iter().max_by_key(|queue| queue.within.lower_ms);
        let longest_ms = longest.map_or(Millis(0), |queue| queue.within.lower_ms);
        self.metrics.gauge("forecast_queues_waiting", forecast.queues.len() as u64);
        self.metrics.gauge("forecast_longest_wait_ms", longest_ms.0);
        self.metrics.gauge("teams_beyond_share", forecast.teams_beyond_share.len() as u64);
        let Some(longest) = longest else { return };
        if now.since(capacity.logged_ms) < LOG_PERIOD_MS {
            return;
        }
        event!("capacity.forecast", "epoch" => leader.epoch(), "version" => forecast.version.0,
            "queues" => forecast.queues.len(), "teams" => forecast.teams_beyond_share.len(),
            "within_lower_ms" => longest.within.lower_ms.0,
            "within_upper_ms" => longest.within.upper_ms.0,
            "beyond_lower_ms" => longest.beyond.lower_ms.0,
            "beyond_upper_ms" => longest.beyond.upper_ms.0,
            "rate_cpu_milli" => longest.rate.0, "run_percent" => longest.run_percent,
            "free_percent" => longest.free_percent);
        capacity.logged_ms = now;
    }

    /// The forecast to send; none unless this process leads and holds its lease.
    pub(crate) fn own_forecast(&self, now: Millis) -> Option<Forecast> {
        let leader = self.loaded_term().filter(|leader| self.holds_lease(leader))?;
        let capacity = leader.capacity.borrow();
        let (forecast, counted_ms) = capacity.last.as_ref()?;
        Some(Forecast { age_ms: now.since(*counted_ms), ..forecast.clone() })
    }

    /// Takes the forecast that a leader's heartbeat carries.
    pub(crate) fn record_forecast(&self, heartbeat: &Heartbeat, now: Millis) {
        let (Some(forecast), Some(leader)) = (&heartbeat.forecast, &heartbeat.leader) else {
            return;
        };
        let is_of_sender = leader.peer.name == heartbeat.from.name;
        if heartbeat.is_leader && heartbeat.lease_held && is_of_sender {
            self.admission.borrow_mut().record_forecast(
                leader.epoch,
                Forecast::clone(forecast),
                now,
            );
        }
    }

    /// Notes the forecast for a job that has become known.
    pub(crate) fn note_accepted(&self, leader: &Leader, id: &JobId, now: Millis) {
        let cell = leader.cell.borrow();
        let Some(queue) = cell.queue_of(id) else { return };
        let mut capacity = leader.capacity.borrow_mut();
        let Some((forecast, _)) = &capacity.last else { return };
        let listed = forecast.queue(NameHash::of(queue.as_str()));
        let estimate =
            listed.map(|queue| if cell.exceeds_share(id) { queue.beyond } else { queue.within });
        capacity.check.record_accepted(id, estimate.unwrap_or_default(), now);
    }

    /// Compares the forecast for a job with the start of its first task.
    pub(crate) fn note_started(&self, leader: &Leader, id: &JobId) {
        match leader.capacity.borrow_mut().check.record_started(id, clock::now()) {
            Some(ForecastError::Over(ms)) => self.metrics.time_ms("forecast_over_ms", ms.0),
            Some(ForecastError::Under(ms)) => self.metrics.time_ms("forecast_under_ms", ms.0),
            None => {}
        }
    }
}
