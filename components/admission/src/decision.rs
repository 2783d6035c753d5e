//! The decision on one job, and what a process needs to know for it.

use std::collections::BTreeMap;

use forecast::{CoreMillis, Forecast, ForecastVersion, NameHash, QueueForecast};
use types::Millis;

use crate::USE_LIMIT_FACTOR;
use crate::allowance::{Allowances, usable_weight};
use crate::job::{InvalidInput, JobFacts};

/// Greatest age of a forecast on which a refusal may be based: four heartbeats.
const MAX_AGE_MS: Millis = Millis(1_000);
/// Free capacity from which a refusal is a fault, as a part of the service: deferrable work leaves a
/// tenth free for urgent work.
const FREE_PERCENT: u8 = 10;
/// Bounds of Retry-After.
const MIN_RETRY_S: u64 = 1;
const MAX_RETRY_S: u64 = 30;
/// Largest part by which the jitter of Retry-After adds to it.
const RETRY_JITTER: f64 = 0.5;

/// What a process knows at the time of a decision.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// Epoch of the leader that is currently known; none if there is none.
    pub leader_epoch: Option<u64>,
    /// Number of live processes, this one included.
    pub processes: u64,
    /// The time.
    pub now: Millis,
    /// Uniform in 0.0..1.0.
    pub random: f64,
}

/// Inputs of a decision, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inputs {
    /// Version of the forecast.
    pub version: ForecastVersion,
    /// Epoch of the leader that made it.
    pub epoch: u64,
    /// Its age.
    pub age_ms: Millis,
    /// Whether the team exceeds its share.
    pub beyond_share: bool,
    /// Lower estimate of the time until the work starts that is served last.
    pub start_lower_ms: Millis,
    /// Lower estimate of the time until it ends.
    pub end_lower_ms: Millis,
    /// Time after which its end is of no use.
    pub use_limit_ms: Millis,
    /// What this process accepted since the forecast, times the number of processes.
    pub added: CoreMillis,
    /// Number of live processes.
    pub processes: u64,
    /// Part of the service's capacity that is free for tasks like those of the queue.
    pub free_percent: u8,
}

/// A job cannot be done while it is of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whole seconds after which such a job could start.
    pub retry_after_s: u64,
    /// What was decided on.
    pub inputs: Inputs,
}

impl Refusal {
    /// Whether capacity was free, which is a fault.
    pub fn is_with_free_capacity(&self) -> bool {
        self.inputs.free_percent >= FREE_PERCENT
    }
}

/// Why a job is accepted although the last forecast received speaks against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The forecast is a second old or older.
    Stale,
    /// The forecast is not of the leader that is currently known.
    OtherLeader,
    /// An input allows no forecast for the job.
    Invalid(InvalidInput),
}

/// Decision on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It can be done while it is of use, as far as is known.
    Accept,
    /// It is accepted since a refusal may be wrong.
    AcceptInDoubt(Doubt),
    /// It cannot be done while it is of use.
    Refuse(Refusal),
}

#[derive(Debug)]
struct Received {
    forecast: Forecast,
    epoch: u64,
    at_ms: Millis,
}

impl Received {
    fn age_ms(&self, now: Millis) -> Millis {
        now.since(self.at_ms) + self.forecast.age_ms
    }
}

/// What one process knows about the capacity.
#[derive(Debug, Default)]
pub struct Admission {
    received: Option<Received>,
    /// Work accepted here since the forecast was received, by queue and whether beyond the share.
    added: BTreeMap<(NameHash, bool), CoreMillis>,
    allowances: Allowances,
}

impl Admission {
    /// Takes a forecast from the leader of an epoch. One that is not newer than the last is ignored.
    pub fn record_forecast(&mut self, epoch: u64, forecast: Forecast, now: Millis) {
        let is_newer = self
            .received
            .as_ref()
            .is_none_or(|last| (epoch, forecast.version) > (last.epoch, last.forecast.version));
        if is_newer {
            self.received = Some(Received { forecast, epoch, at_ms: now });
            self.added.clear();
        }
    }

    /// Age of the last forecast; none before the first.
    pub fn forecast_age_ms(&self, now: Millis) -> Option<Millis> {
        self.received.as_ref().map(|received| received.age_ms(now))
    }

    /// Decides on a job.
    pub fn decide(&mut self, job: &JobFacts, situation: &Situation) -> Verdict {
        let beyond_share = self.is_beyond_share(job, situation);
        let verdict = self.judge(job, beyond_share, situation);
        if matches!(verdict, Verdict::Refuse(_)) {
            return verdict;
        }
        if let Some(team) = job.team.as_ref().filter(|_| !beyond_share) {
            self.allowances.take(team);
        }
        let added = self.added.entry((hash(job), beyond_share)).or_default();
        *added = *added + job.work;
        verdict
    }

    fn judge(&self, job: &JobFacts, beyond_share: bool, situation: &Situation) -> Verdict {
        let Some(received) = &self.received else { return Verdict::Accept };
        let Some(queue) = received.forecast.queue(hash(job)) else { return Verdict::Accept };
        let inputs = self.inputs(received, queue, job, beyond_share, situation);
        if inputs.start_lower_ms == Millis(0) || inputs.end_lower_ms <= inputs.use_limit_ms {
            return Verdict::Accept;
        }
        let doubt = if job.recurs || job.objective_ms == Millis(0) {
            Some(Doubt::Invalid(InvalidInput::NoObjective))
        } else if job.exceeds_limit() {
            Some(Doubt::Invalid(InvalidInput::LimitBelowTask))
        } else if job.is_wider_than(queue) {
            Some(Doubt::Invalid(InvalidInput::WiderThanService))
        } else if situation.leader_epoch != Some(received.epoch) {
            Some(Doubt::OtherLeader)
        } else if inputs.age_ms >= MAX_AGE_MS {
            Some(Doubt::Stale)
        } else {
            None
        };
        if let Some(doubt) = doubt {
            return Verdict::AcceptInDoubt(doubt);
        }
        let retry_after_s = retry_after_s(inputs.start_lower_ms, situation.random);
        Verdict::Refuse(Refusal { retry_after_s, inputs })
    }

    fn inputs(
        &self,
        received: &Received,
        queue: &QueueForecast,
        job: &JobFacts,
        beyond_share: bool,
        situation: &Situation,
    ) -> Inputs {
        let estimate = if beyond_share { queue.beyond } else { queue.within };
        let age_ms = received.age_ms(situation.now);
        let added_to =
            |beyond: bool| self.added.get(&(queue.queue, beyond)).copied().unwrap_or_default();
        // Jobs beyond the share are served after those within it.
        let own = added_to(false) + if beyond_share { added_to(true) } else { CoreMillis(0) };
        let added = own.times(situation.processes.max(1));
        let added_ms = added.time_at(queue.rate, Millis(u64::MAX));
        // No estimate means no wait, whatever this process has added.
        let added_ms = if estimate.lower_ms == Millis(0) { Millis(0) } else { added_ms };
        let start_lower_ms = estimate.lower_ms.since(age_ms) + added_ms;
        let run_percent = u64::from(queue.run_percent);
        let path_ms = Millis(job.critical_path_ms.0.saturating_mul(run_percent) / 100);
        Inputs {
            version: received.forecast.version,
            epoch: received.epoch,
            age_ms,
            beyond_share,
            start_lower_ms,
            end_lower_ms: start_lower_ms + path_ms,
            use_limit_ms: Millis(job.objective_ms.0.saturating_mul(USE_LIMIT_FACTOR)),
            added,
            processes: situation.processes,
            free_percent: queue.free_percent,
        }
    }

    /// Whether the job exceeds the share of its team: the leader says that the team does, and this
    /// process has served its part of the share.
    fn is_beyond_share(&mut self, job: &JobFacts, situation: &Situation) -> bool {
        let (Some(team), Some(weight)) = (&job.team, usable_weight(job.weight)) else {
            return false;
        };
        let Some(received) = &self.received else { return false };
        received.forecast.teams_beyond_share.contains(&NameHash::of(team.as_str()))
            && !self.allowances.has_room(team, weight, situation.processes, situation.now)
    }
}

fn hash(job: &JobFacts) -> NameHash {
    NameHash::of(job.queue.as_str())
}

/// Whole seconds until such a job could start. The jitter keeps callers that were refused together
/// from returning together.
fn retry_after_s(start_lower_ms: Millis, random: f64) -> u64 {
    // The longest delays have jitter, too.
    let most_s = MAX_RETRY_S as f64 / (1.0 + RETRY_JITTER);
    let start_s = (start_lower_ms.0 as f64 / 1_000.0).min(most_s);
    let jittered_s = start_s * (1.0 + RETRY_JITTER * random.clamp(0.0, 1.0));
    (jittered_s.ceil() as u64).clamp(MIN_RETRY_S, MAX_RETRY_S)
}
