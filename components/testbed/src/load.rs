//! Callers that post requests continuously, and the check of their answers against the run log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use libs::hdrhistogram::Histogram;

use crate::client::Client;
use crate::rules::TestKey;
use crate::run_log::RunRecord;

/// Highest latency that the histogram records.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Number of callers, their rate, and the requests that they post.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Requests per second of all callers together; `None` for as many as they can send.
    pub rate_per_s: Option<f64>,
    /// Queue that requests are posted to.
    pub queue: String,
    /// API key of the callers.
    pub key: TestKey,
    /// Whether each request carries an idempotency key and is sent again if it is not answered.
    pub with_idempotency_keys: bool,
    /// Request body. A sequence number is appended, so that answers can be matched to requests,
    /// unless it starts with `work_ms=`.
    pub body: String,
}

/// Answer to one request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Id of the request; empty if there was no answer.
    pub request: String,
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Outcome header; empty if there was no answer.
    pub outcome: String,
    /// Whether an answer with outcome `ran` echoes this request's body.
    pub matches_request: bool,
    /// Time of the answer since the start of the load.
    pub received_at: Duration,
}

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<CallerAnswer>>>,
    latencies_us: Arc<Mutex<Histogram<u64>>>,
    started_at: Instant,
}

/// Answers to all callers.
pub struct LoadReport {
    /// All answers; those of one caller are in order of arrival.
    pub answers: Vec<CallerAnswer>,
    /// Latencies of the requests that ran, from their scheduled time.
    pub latencies_us: Histogram<u64>,
    /// Duration of the load.
    pub duration: Duration,
}

struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    settings: LoadSettings,
    number: usize,
    started_at: Instant,
}

impl Load {
    /// Starts callers that spread their requests over the entries.
    pub fn start(entries: &[SocketAddr], settings: &LoadSettings) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answers: Arc<Mutex<Vec<CallerAnswer>>> = Arc::default();
        let latencies_us = Arc::new(Mutex::new(empty_histogram()));
        let sequence = Arc::new(AtomicU64::new(0));
        let started_at = Instant::now();
        let threads = (0..settings.callers)
            .map(|number| {
                let caller = Caller {
                    client: Client::default(),
                    entries: entries.to_vec(),
                    settings: settings.clone(),
                    number,
                    started_at,
                };
                let (stop, answers, latencies_us, sequence) =
                    (stop.clone(), answers.clone(), latencies_us.clone(), sequence.clone());
                thread::spawn(move || caller.run(&stop, &answers, &latencies_us, &sequence))
            })
            .collect();
        Self { stop, threads, answers, latencies_us, started_at }
    }

    /// Number of answers so far. Callers add theirs in batches, so it may lag.
    pub fn answer_count(&self) -> usize {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Stops all callers once their open requests are answered, and returns the answers.
    pub fn stop(self) -> LoadReport {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().ok();
        }
        let answers =
            std::mem::take(&mut *self.answers.lock().unwrap_or_else(PoisonError::into_inner));
        let latencies_us = self.latencies_us.lock().unwrap_or_else(PoisonError::into_inner).clone();
        LoadReport { answers, latencies_us, duration: self.started_at.elapsed() }
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).expect("the bounds are valid")
}

impl Caller {
    fn run(
        &self,
        stop: &AtomicBool,
        answers: &Mutex<Vec<CallerAnswer>>,
        latencies_us: &Mutex<Histogram<u64>>,
        sequence: &AtomicU64,
    ) {
        let mut own_latencies_us = empty_histogram();
        let mut own_answers = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let number = sequence.fetch_add(1, Ordering::Relaxed);
            let scheduled_at = self.wait_for_scheduled_time(number);
            let answer = self.post(number);
            if answer.outcome == "ran" {
                // Measured from the scheduled time: a caller held up by a stall sends its next
                // requests late, and their delay must count.
                own_latencies_us.saturating_record(
                    u64::try_from(scheduled_at.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US),
                );
            }
            own_answers.push(answer);
            if own_answers.len() >= 16 {
                answers.lock().unwrap_or_else(PoisonError::into_inner).append(&mut own_answers);
            }
        }
        answers.lock().unwrap_or_else(PoisonError::into_inner).append(&mut own_answers);
        latencies_us.lock().unwrap_or_else(PoisonError::into_inner).add(own_latencies_us).ok();
    }

    /// Waits for the scheduled time of a request and returns it.
    fn wait_for_scheduled_time(&self, number: u64) -> Instant {
        let Some(rate) = self.settings.rate_per_s else { return Instant::now() };
        let at = self.started_at + Duration::from_secs_f64(number as f64 / rate);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        at
    }

    fn post(&self, number: u64) -> CallerAnswer {
        let body = format!("{} {number}", self.settings.body);
        let body = if self.settings.body.starts_with("work_ms=") {
            self.settings.body.clone()
        } else {
            body
        };
        let path = format!("/v1/queues/{}/requests", self.settings.queue);
        let key = format!("load-{}-{number}", self.number);
        let headers: &[(&str, &str)] =
            if self.settings.with_idempotency_keys { &[("Idempotency-Key", &key)] } else { &[] };
        let token = self.settings.key.token();
        for offset in 0..self.entries.len() {
            let to = self.entries[(self.number + number as usize + offset) % self.entries.len()];
            let Ok(answer) = self.client.post(to, &path, &token, headers, &body) else {
                if self.settings.with_idempotency_keys { continue } else { break }
            };
            if answer.outcome == "not_run" && answer.json()["reason"] == "shutting_down" {
                // A load balancer sends requests to another entry while this one shuts down.
                continue;
            }
            let expected_echo = format!("\"echo\":\"{body}\"");
            return CallerAnswer {
                matches_request: answer.outcome != "ran" || answer.body.contains(&expected_echo),
                request: answer.request,
                status: answer.status,
                outcome: answer.outcome,
                received_at: self.started_at.elapsed(),
            };
        }
        CallerAnswer {
            request: String::new(),
            status: 0,
            outcome: String::new(),
            matches_request: true,
            received_at: self.started_at.elapsed(),
        }
    }
}

impl LoadReport {
    /// Returns the number of answers with this outcome.
    pub fn count(&self, outcome: &str) -> usize {
        self.answers.iter().filter(|answer| answer.outcome == outcome).count()
    }

    /// Returns the number of answers by status and outcome.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut outcomes = BTreeMap::new();
        for answer in &self.answers {
            *outcomes.entry(format!("{} {}", answer.status, answer.outcome)).or_default() += 1;
        }
        outcomes
    }

    /// Returns a description of every answer that contradicts the run log, and of every run beyond
    /// the first of a request that is not idempotent.
    pub fn contradictions(&self, runs: &[RunRecord], idempotent: bool) -> Vec<String> {
        let mut by_request: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
        for run in runs.iter().filter(|run| run.kind == "request") {
            by_request.entry(&run.id).or_default().push(run);
        }
        let mut contradictions = Vec::new();
        for answer in self.answers.iter().filter(|answer| !answer.request.is_empty()) {
            let own_runs =
                by_request.get(answer.request.as_str()).map(Vec::as_slice).unwrap_or_default();
            let completed = own_runs.iter().any(|run| run.completed);
            match answer.outcome.as_str() {
                "ran" if !completed => contradictions.push(format!(
                    "{} was answered as ran, but it did not run to completion",
                    answer.request
                )),
                "ran" if !answer.matches_request => contradictions
                    .push(format!("{} got the answer to another request", answer.request)),
                "not_run" if !own_runs.is_empty() => {
                    contradictions
                        .push(format!("{} was answered as not_run, but it ran", answer.request));
                }
                _ => {}
            }
            if !idempotent && own_runs.len() > 1 {
                contradictions.push(format!("{} ran {} times", answer.request, own_runs.len()));
            }
        }
        contradictions
    }

    /// Returns the longest time between two consecutive answers with outcome `ran`.
    pub fn longest_gap(&self) -> Duration {
        let mut times: Vec<Duration> = self
            .answers
            .iter()
            .filter(|answer| answer.outcome == "ran")
            .map(|answer| answer.received_at)
            .collect();
        times.sort();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }
}
