//! Estimates the time until a new job starts, from the counts of the last seconds.

use std::collections::{BTreeMap, VecDeque};

use libs::compact_str::CompactString;
use types::Millis;

use crate::counts::{Counts, QueueCounts};
use crate::message::{Forecast, MAX_QUEUES, QueueForecast, StartEstimate};
use crate::units::{CoreMillis, CpuMilli, ForecastVersion, NameHash};

/// Time over which rates are measured: two or three runs of a long task, which take 4 s.
const WINDOW_MS: Millis = Millis(10_000);
/// Most counts kept: four a second over the window.
const MAX_COUNTS: usize = 41;
/// Shortage after which the measured rate is used: most of a run of a long task.
const MIN_SHORTAGE_MS: Millis = Millis(3_000);
/// Part of a service's capacity up to which it counts as short. Half of the tenth that deferrable work
/// leaves free: less is free only if work that must start now found no more.
const SHORT_PERCENT: u64 = 5;
/// Least backlog that could start now. A smaller one may be gone by the time of a decision, which may
/// be a second later.
const MIN_BACKLOG_MS: Millis = Millis(1_000);
/// Margins of the measured rate: a window of 10 s holds two or three ends of a long task for each place.
const RATE_UPPER_PERCENT: u64 = 115;
const RATE_LOWER_PERCENT: u64 = 85;
/// Least rate as a part of the capacity. Declared run times are e^0.9 too short at worst, and tasks of
/// 9 cores fill 27 of 32 cores: 0.41 x 0.84.
const MIN_RATE_PERCENT: u64 = 35;
/// Part of the inflow that goes on after a short shortage: bursts are two to three times the usual load.
/// With 50 the median of the replayed burst of 6 s rose, with 20 more jobs were for nothing.
const LASTING_INFLOW_PERCENT: u64 = 40;
/// Length of the bursts seen. A shortage of twice that length is not a burst: all inflow goes on.
const BURST_MS: Millis = Millis(6_000);
/// Time without shortage after which a later shortage is another one.
const SHORTAGE_GAP_MS: Millis = Millis(2_000);
/// Part of the rate that is left to a class however much the better ones get.
const MIN_LEFT_PERCENT: u64 = 20;
/// Bounds of the actual over the declared run time: declared ones are off by e^0.9 either way.
const LEAST_RUN_PERCENT: u16 = 40;
const MOST_RUN_PERCENT: u16 = 250;
/// Longest wait that is estimated, one hour.
const MAX_WAIT_MS: Millis = Millis(3_600_000);

/// Makes forecasts in one leader's term.
#[derive(Debug, Default)]
pub struct Forecaster {
    /// Counts of the last seconds, oldest first.
    counts: VecDeque<Counts>,
    version: ForecastVersion,
    /// First and last count with a shortage, by service.
    shortages: BTreeMap<CompactString, (Millis, Millis)>,
}

impl Forecaster {
    /// Takes new counts. Counts that are older than the last ones are ignored.
    pub fn record(&mut self, counts: Counts) {
        if self.counts.back().is_some_and(|last| last.at_ms >= counts.at_ms) {
            return;
        }
        while self.counts.len() >= MAX_COUNTS
            || self.counts.front().is_some_and(|first| counts.at_ms.since(first.at_ms) > WINDOW_MS)
        {
            self.counts.pop_front();
        }
        self.record_shortages(&counts);
        self.counts.push_back(counts);
        self.version = ForecastVersion(self.version.0 + 1);
    }

    fn record_shortages(&mut self, counts: &Counts) {
        let now = counts.at_ms;
        self.shortages.retain(|_, (_, last_ms)| now.since(*last_ms) <= SHORTAGE_GAP_MS);
        for service in &counts.services {
            if was_short(counts, &service.service) {
                self.shortages.entry(service.service.clone()).or_insert((now, now)).1 = now;
            }
        }
    }

    /// Part of the inflow that is likely to go on, in percent.
    fn lasting_percent(&self, service: &str, now: Millis) -> u64 {
        let since = self.shortages.get(service).map_or(now, |(first_ms, _)| *first_ms);
        let over_ms = now.since(since).since(BURST_MS).min(BURST_MS);
        LASTING_INFLOW_PERCENT + (100 - LASTING_INFLOW_PERCENT) * over_ms.0 / BURST_MS.0
    }

    /// The forecast from the counts so far; none before the first ones.
    pub fn forecast(&self, now: Millis) -> Option<Forecast> {
        let last = self.counts.back()?;
        let mut queues: Vec<QueueForecast> =
            last.queues.iter().filter_map(|queue| self.forecast_queue(last, queue)).collect();
        queues.sort_by_key(|queue| std::cmp::Reverse(queue.beyond.upper_ms));
        queues.truncate(MAX_QUEUES);
        Some(Forecast {
            version: self.version,
            age_ms: now.since(last.at_ms),
            queues,
            teams_beyond_share: Vec::new(),
        })
    }

    /// None if a new job of the queue would start without a wait.
    fn forecast_queue(&self, counts: &Counts, queue: &QueueCounts) -> Option<QueueForecast> {
        let service = counts.service(&queue.service)?;
        let capacity = service.capacity;
        if !is_short(queue.free, capacity) {
            return None;
        }
        let rates = self.rates(&queue.service, capacity);
        let within = self.estimate(counts, queue, false, rates);
        let beyond = self.estimate(counts, queue, true, rates);
        if beyond.upper_ms == Millis(0) {
            return None;
        }
        let free_percent = queue.free.0.saturating_mul(100) / capacity.0.max(1);
        Some(QueueForecast {
            queue: NameHash::of(queue.queue.as_str()),
            within,
            beyond,
            rate: rates.1,
            run_percent: self.run_percent(queue),
            free_percent: u8::try_from(free_percent.min(100)).unwrap_or(100),
            capacity,
            largest_worker: service.largest_worker,
        })
    }

    fn estimate(
        &self,
        counts: &Counts,
        queue: &QueueCounts,
        beyond: bool,
        (lower_rate, upper_rate): (CpuMilli, CpuMilli),
    ) -> StartEstimate {
        let mut ready = CoreMillis(0);
        let mut waiting = CoreMillis(0);
        let mut placed = CoreMillis(0);
        let mut inflow = CoreMillis(0);
        for other in counts.queues_of(&queue.service) {
            let not_after = other.priority <= queue.priority;
            let accepted = |part: fn(&QueueCounts) -> CoreMillis| {
                part(other) - self.first_counts_of(other).map_or(CoreMillis(0), part)
            };
            if beyond || not_after {
                ready = ready + other.ready.within;
                waiting = waiting + other.waiting.within;
                placed = placed + other.placed.within;
            }
            if beyond && not_after {
                ready = ready + other.ready.beyond;
                waiting = waiting + other.waiting.beyond;
                placed = placed + other.placed.beyond;
            }
            if beyond || not_after {
                inflow = inflow + accepted(|queue| queue.accepted.within);
            }
            if beyond && not_after {
                inflow = inflow + accepted(|queue| queue.accepted.beyond);
            }
        }
        if ready.time_at(upper_rate, MAX_WAIT_MS) < MIN_BACKLOG_MS {
            return StartEstimate::default();
        }
        let first_ms = self.counts.front().map_or(counts.at_ms, |first| first.at_ms);
        // In a shorter time than this a few jobs make a large rate.
        let span_ms = counts.at_ms.since(first_ms).max(MIN_SHORTAGE_MS);
        let inflow = inflow.rate_over(span_ms);
        let left =
            |rate: CpuMilli, taken: CpuMilli| rate.minus(taken).max(rate.percent(MIN_LEFT_PERCENT));
        let lasting = inflow.percent(self.lasting_percent(&queue.service, counts.at_ms));
        let lower_ms = waiting.time_at(left(upper_rate, lasting), MAX_WAIT_MS);
        let upper_ms = (waiting + placed.half()).time_at(left(lower_rate, inflow), MAX_WAIT_MS);
        StartEstimate { lower_ms, upper_ms: upper_ms.max(lower_ms) }
    }

    /// Least likely actual run time of a queue's tasks over the declared one: the capacity that they
    /// held, over the work done in the same unit.
    fn run_percent(&self, queue: &QueueCounts) -> u16 {
        let of_queue =
            |counts: &'_ Counts| counts.queues.iter().position(|other| other.queue == queue.queue);
        let counts: Vec<&QueueCounts> =
            self.counts.iter().filter_map(|counts| counts.queues.get(of_queue(counts)?)).collect();
        let (Some(first), Some(last)) = (counts.first(), counts.last()) else {
            return LEAST_RUN_PERCENT;
        };
        let first_ms = self.counts.front().map_or(Millis(0), |counts| counts.at_ms);
        let last_ms = self.counts.back().map_or(Millis(0), |counts| counts.at_ms);
        let span_ms = last_ms.since(first_ms);
        let done = last.done.total() - first.done.total();
        if span_ms < WINDOW_MS.half() || done == CoreMillis(0) {
            return LEAST_RUN_PERCENT;
        }
        // Tasks that ended in the window were on workers in its first half.
        let earlier = counts.get(..counts.len().div_ceil(2)).unwrap_or_default();
        let rate = done.rate_over(span_ms).percent(RATE_UPPER_PERCENT);
        let percent = mean_running(earlier).0.saturating_mul(100) / rate.0.max(1);
        u16::try_from(percent)
            .unwrap_or(MOST_RUN_PERCENT)
            .clamp(LEAST_RUN_PERCENT, MOST_RUN_PERCENT)
    }

    /// The oldest counts of a queue within the window; none if the queue had none then.
    fn first_counts_of(&self, queue: &QueueCounts) -> Option<&QueueCounts> {
        self.counts.front()?.queues.iter().find(|first| first.queue == queue.queue)
    }

    /// Likely bounds of the rate at which a service does work while it is short.
    fn rates(&self, service: &str, capacity: CpuMilli) -> (CpuMilli, CpuMilli) {
        let done = |counts: &Counts| -> CoreMillis {
            counts.queues_of(service).map(|queue| queue.done.total()).sum()
        };
        let mut short = self.counts.iter().rev().take_while(|counts| was_short(counts, service));
        let Some(last) = short.next() else { return (capacity, capacity) };
        let first = short.last().unwrap_or(last);
        let shortage_ms = last.at_ms.since(first.at_ms);
        let measured = (done(last) - done(first)).rate_over(shortage_ms);
        let least = capacity.percent(MIN_RATE_PERCENT);
        if shortage_ms < MIN_SHORTAGE_MS {
            return (least, measured.max(capacity).percent(RATE_UPPER_PERCENT));
        }
        let upper = measured.percent(RATE_UPPER_PERCENT).max(least);
        (measured.percent(RATE_LOWER_PERCENT).max(least).min(upper), upper)
    }
}

fn mean_running(counts: &[&QueueCounts]) -> CpuMilli {
    let sum: u64 = counts.iter().map(|counts| counts.running.0).sum();
    CpuMilli(sum / counts.len().max(1) as u64)
}

fn is_short(free: CpuMilli, capacity: CpuMilli) -> bool {
    free < capacity.percent(SHORT_PERCENT) || capacity == CpuMilli(0)
}

fn was_short(counts: &Counts, service: &str) -> bool {
    let capacity = counts.capacity(service);
    counts
        .queues_of(service)
        .any(|queue| queue.ready.total() > CoreMillis(0) && is_short(queue.free, capacity))
}
