//! Callers that post requests for some time, and the comparison of their answers with the truth.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use libs::hdrhistogram::Histogram;

use crate::client::Client;
use crate::rules::TestKey;
use crate::truth::TruthRun;

/// Largest recorded time, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;
/// Digits kept of each time.
const TIME_DIGITS: u8 = 3;

/// What callers post.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Callers at the same time.
    pub callers: usize,
    /// Requests a second over all callers; none for as many as they can.
    pub rate_per_s: Option<f64>,
    /// Queue.
    pub queue: String,
    /// Key.
    pub key: TestKey,
    /// Whether each request carries an idempotency key and is sent again after no answer.
    pub keyed: bool,
    /// Body; a number is added to it, so that each answer can be told apart.
    pub body: String,
}

/// What one caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// Id of the request; empty if there was no answer at all.
    pub request: String,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Outcome as a word.
    pub outcome: String,
    /// Whether the answer was to this very request.
    pub is_own: bool,
    /// When it was told, since the start of the load.
    pub at: Duration,
}

/// Callers that run.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    told: Arc<Mutex<Vec<Told>>>,
    times_us: Arc<Mutex<Histogram<u64>>>,
    started: Instant,
}

/// What all callers were told.
pub struct LoadReport {
    /// Each answer, in the order of arrival.
    pub told: Vec<Told>,
    /// Times from request to answer of those that ran, in microseconds.
    pub times_us: Histogram<u64>,
    /// How long the load lasted.
    pub lasted: Duration,
}

struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    settings: LoadSettings,
    number: usize,
    started: Instant,
}

impl Load {
    /// Starts callers, spread over entries.
    pub fn start(entries: &[SocketAddr], settings: &LoadSettings) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let told: Arc<Mutex<Vec<Told>>> = Arc::default();
        let times_us = Arc::new(Mutex::new(empty_histogram()));
        let sequence = Arc::new(AtomicU64::new(0));
        let started = Instant::now();
        let threads = (0..settings.callers)
            .map(|number| {
                let caller = Caller {
                    client: Client::default(),
                    entries: entries.to_vec(),
                    settings: settings.clone(),
                    number,
                    started,
                };
                let (stop, told, times_us, sequence) =
                    (stop.clone(), told.clone(), times_us.clone(), sequence.clone());
                thread::spawn(move || caller.run(&stop, &told, &times_us, &sequence))
            })
            .collect();
        Self { stop, threads, told, times_us, started }
    }

    /// How many answers there are so far.
    pub fn told_so_far(&self) -> usize {
        self.told.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Ends all callers after their last answer.
    pub fn stop(self) -> LoadReport {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().ok();
        }
        let told = std::mem::take(&mut *self.told.lock().unwrap_or_else(PoisonError::into_inner));
        let times_us = self.times_us.lock().unwrap_or_else(PoisonError::into_inner).clone();
        LoadReport { told, times_us, lasted: self.started.elapsed() }
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_US, TIME_DIGITS).expect("the bounds are valid")
}

impl Caller {
    fn run(
        &self,
        stop: &AtomicBool,
        told: &Mutex<Vec<Told>>,
        times_us: &Mutex<Histogram<u64>>,
        sequence: &AtomicU64,
    ) {
        let mut own_times = empty_histogram();
        let mut own_told = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let number = sequence.fetch_add(1, Ordering::Relaxed);
            let scheduled = self.wait_for_turn(number);
            let answer = self.post(number);
            if answer.outcome == "ran" {
                // Counted from the scheduled time, so that a stall is not hidden by waiting callers.
                own_times.saturating_record(
                    u64::try_from(scheduled.elapsed().as_micros()).unwrap_or(MAX_TIME_US),
                );
            }
            own_told.push(answer);
            if own_told.len() >= 16 {
                told.lock().unwrap_or_else(PoisonError::into_inner).append(&mut own_told);
            }
        }
        told.lock().unwrap_or_else(PoisonError::into_inner).append(&mut own_told);
        times_us.lock().unwrap_or_else(PoisonError::into_inner).add(own_times).ok();
    }

    /// Waits for the scheduled time of a request, and returns it.
    fn wait_for_turn(&self, number: u64) -> Instant {
        let Some(rate) = self.settings.rate_per_s else { return Instant::now() };
        let at = self.started + Duration::from_secs_f64(number as f64 / rate);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        at
    }

    fn post(&self, number: u64) -> Told {
        let body = format!("{} {number}", self.settings.body);
        let body = if self.settings.body.starts_with("work_ms=") {
            self.settings.body.clone()
        } else {
            body
        };
        let path = format!("/v1/queues/{}/requests", self.settings.queue);
        let key = format!("load-{}-{number}", self.number);
        let headers: &[(&str, &str)] =
            if self.settings.keyed { &[("Idempotency-Key", &key)] } else { &[] };
        let token = self.settings.key.token();
        for entry in 0..self.entries.len() {
            let to = self.entries[(self.number + number as usize + entry) % self.entries.len()];
            let Ok(answer) = self.client.post(to, &path, &token, headers, &body) else {
                if self.settings.keyed { continue } else { break }
            };
            if answer.outcome == "not_run" && answer.json()["reason"] == "shutting_down" {
                // What a balancer does with an entry that says so.
                continue;
            }
            let expected = format!("\"echo\":\"{body}\"");
            return Told {
                is_own: answer.outcome != "ran" || answer.body.contains(&expected),
                request: answer.request,
                status: answer.status,
                outcome: answer.outcome,
                at: self.started.elapsed(),
            };
        }
        Told {
            request: String::new(),
            status: 0,
            outcome: String::new(),
            is_own: true,
            at: self.started.elapsed(),
        }
    }
}

impl LoadReport {
    /// Number of answers with an outcome.
    pub fn count(&self, outcome: &str) -> usize {
        self.told.iter().filter(|told| told.outcome == outcome).count()
    }

    /// Answers by outcome.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut outcomes = BTreeMap::new();
        for told in &self.told {
            *outcomes.entry(format!("{} {}", told.status, told.outcome)).or_default() += 1;
        }
        outcomes
    }

    /// Answers that contradict what really ran.
    pub fn contradictions(&self, runs: &[TruthRun], idempotent: bool) -> Vec<String> {
        let mut by_request: BTreeMap<&str, Vec<&TruthRun>> = BTreeMap::new();
        for run in runs.iter().filter(|run| run.kind == "request") {
            by_request.entry(&run.id).or_default().push(run);
        }
        let mut contradictions = Vec::new();
        for told in self.told.iter().filter(|told| !told.request.is_empty()) {
            let own_runs =
                by_request.get(told.request.as_str()).map(Vec::as_slice).unwrap_or_default();
            let completed = own_runs.iter().any(|run| run.completed);
            match told.outcome.as_str() {
                "ran" if !completed => {
                    contradictions.push(format!("told that {} ran, but it did not", told.request))
                }
                "ran" if !told.is_own => {
                    contradictions.push(format!("{} got another request's answer", told.request))
                }
                "not_run" if !own_runs.is_empty() => {
                    contradictions
                        .push(format!("told that {} did not run, but it did", told.request));
                }
                _ => {}
            }
            if !idempotent && own_runs.len() > 1 {
                contradictions.push(format!("{} ran {} times", told.request, own_runs.len()));
            }
        }
        contradictions
    }

    /// The longest time in which nobody was told that a request ran.
    pub fn longest_gap(&self) -> Duration {
        let mut times: Vec<Duration> =
            self.told.iter().filter(|told| told.outcome == "ran").map(|told| told.at).collect();
        times.sort();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }
}
