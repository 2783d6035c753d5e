//! Simulated worker that follows the platform's specification: fencing tokens, leases on its own
//! clock, and ends that are reported until they are acknowledged.

use std::collections::BTreeMap;

use cell::{
    ActiveRun, EndedRun, Ending, PollAnswer, PollOrder, Refusal, StartAnswer, StartOrder,
    StopOrder, TaskKey, WorkerReport,
};
use libs::compact_str::CompactString;
use libs::rand::Rng;
use libs::rand::rngs::StdRng;
use types::{DomainId, Millis, Resources, WorkerId};

use super::Checks;
use super::load::true_percent;

/// Time after which members of an incomplete gang end.
const GANG_TIMEOUT_MS: Millis = Millis(3_000);
/// Longest lease of a usual worker; longer requests are cut to this.
pub const MAX_LEASE_MS: Millis = Millis(6_000);
/// Time after which a smaller capacity counts: the least of the platform's bounds, without the beat.
const SHRINK_GRACE_MS: Millis = Millis(3_000);
/// Duration of a stop.
const STOP_MS: Millis = Millis(300);

pub struct Running {
    pub attempt: u32,
    pub started_ms: Millis,
    pub duration_ms: Millis,
    pub stops_at_ms: Option<Millis>,
    pub fails: bool,
    pub long_running: bool,
    pub stalls: bool,
    pub need: Resources,
}

pub struct Worker {
    pub id: WorkerId,
    pub capacity: Resources,
    /// Capacities that it had before, and until when each counts.
    former_capacities: Vec<(Resources, Millis)>,
    pub service: CompactString,
    /// Failure domain that its entry shows.
    pub domain: Option<DomainId>,
    pub up: bool,
    /// It is down, and its machine refuses calls at once.
    pub refuses_calls: bool,
    /// Another worker has taken its place for good.
    pub replaced: bool,
    pub draining: bool,
    pub partitioned_until_ms: Millis,
    /// Time until which its entry is missing from the list of workers.
    pub unlisted_until_ms: Millis,
    pub fence: u64,
    pub runs: BTreeMap<TaskKey, Running>,
    /// Most ends that an answer shows.
    pub max_ended_shown: usize,
    /// Time until which it refuses all starts as unhealthy.
    pub refuses_starts_until_ms: Millis,
    /// All its runs fail (`fails_all`) or make no progress (`stalls`).
    pub fails_all: bool,
    pub stalls: bool,
    /// Run time on it relative to a usual worker.
    pub slowness: f64,
    /// Run time on it in percent of the usual one.
    pub run_time_percent: u64,
    clock_start_ms: Millis,
    pub incarnation_unix_ms: u64,
    /// Longest lease that it grants.
    pub max_lease_ms: Millis,
    deadline_ms: Millis,
    highest_attempts: BTreeMap<TaskKey, u32>,
    ended: Vec<EndedRun>,
    end_count: u64,
    acked_end: u64,
    /// Ends up to this number came before the lease expired, so their acknowledgement does not
    /// count.
    voided_end: u64,
}

impl Worker {
    pub fn new(name: &str, cpu_milli: u64) -> Self {
        Self {
            id: name.parse().expect("worker id"),
            capacity: Resources { cpu_milli, mem_mb: 64_000, accels: 0 },
            former_capacities: Vec::new(),
            service: "service".into(),
            domain: None,
            up: true,
            refuses_calls: false,
            replaced: false,
            draining: false,
            partitioned_until_ms: Millis(0),
            unlisted_until_ms: Millis(0),
            fence: 0,
            runs: BTreeMap::new(),
            max_ended_shown: usize::MAX,
            refuses_starts_until_ms: Millis(0),
            fails_all: false,
            stalls: false,
            slowness: 1.0,
            run_time_percent: 100,
            clock_start_ms: Millis(0),
            incarnation_unix_ms: 1_000,
            max_lease_ms: MAX_LEASE_MS,
            deadline_ms: Millis(0),
            highest_attempts: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            acked_end: 0,
            voided_end: 0,
        }
    }

    pub fn report(&self) -> WorkerReport {
        WorkerReport {
            id: self.id.clone(),
            incarnation_unix_ms: self.incarnation_unix_ms,
            address: "127.0.0.1:1".parse().expect("address"),
            service: self.service.clone(),
            domain: self.domain.clone(),
            rack: None,
            labels: Vec::new(),
            capacity: self.capacity,
            draining: self.draining,
            leaves_in_ms: None,
            cold_remaining_ms: Millis(0),
        }
    }

    /// Changes its capacity while it runs.
    pub fn set_capacity(&mut self, capacity: Resources, now: Millis) {
        self.former_capacities.push((self.capacity, now + SHRINK_GRACE_MS));
        self.capacity = capacity;
    }

    /// Whether runs that use `used` exceed its capacity. A smaller capacity counts after a while.
    pub fn is_overfilled(&self, used: &Resources, now: Millis) -> bool {
        let counted = self.former_capacities.iter().filter(|(_, until_ms)| now < *until_ms);
        let former_covers = counted.map(|(former, _)| former).any(|former| former.covers(used));
        !former_covers && !self.capacity.covers(used)
    }

    /// Resources that no run uses.
    pub fn free(&self) -> Resources {
        let used = self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.need));
        self.capacity.minus(&used)
    }

    pub fn listed(&self, now: Millis) -> bool {
        !self.replaced && now >= self.unlisted_until_ms
    }

    pub fn is_reachable(&self, now: Millis) -> bool {
        self.up && now >= self.partitioned_until_ms
    }

    fn clock(&self, now: Millis) -> Millis {
        // The clock runs 2% slow.
        let age = now.since(self.clock_start_ms).0;
        Millis(age - age * 2 / 100)
    }

    /// Time of its crash, while it is down.
    pub fn down_since_ms(&self) -> Option<Millis> {
        (!self.up).then_some(self.clock_start_ms)
    }

    pub fn crash(&mut self, now: Millis) {
        self.up = false;
        self.runs.clear();
        self.ended.clear();
        self.clock_start_ms = now;
    }

    /// The worker that takes the place of a crashed one, under another id.
    pub fn replacement(&mut self, now: Millis, unix_start_ms: u64) -> Self {
        self.replaced = true;
        let mut new = Self::new(&format!("{}-{}", self.id, now.0), self.capacity.cpu_milli);
        new.capacity = self.capacity;
        new.service = self.service.clone();
        new.slowness = self.slowness;
        new.domain.clone_from(&self.domain);
        new.max_ended_shown = self.max_ended_shown;
        new.clock_start_ms = now;
        new.incarnation_unix_ms = unix_start_ms + now.0;
        new
    }

    pub fn restart(&mut self, now: Millis, unix_start_ms: u64) {
        if self.up || self.replaced {
            return;
        }
        self.up = true;
        self.refuses_calls = false;
        self.fence = 0;
        self.highest_attempts.clear();
        self.end_count = 0;
        self.acked_end = 0;
        self.voided_end = 0;
        self.deadline_ms = Millis(0);
        self.clock_start_ms = now;
        self.incarnation_unix_ms = unix_start_ms + now.0;
    }

    pub fn advance(
        &mut self,
        now: Millis,
        fail_per_thousand: u32,
        rng: &mut StdRng,
        checks: &mut Checks,
    ) {
        if !self.up {
            return;
        }
        if self.clock(now) > self.deadline_ms && !self.runs.is_empty() {
            let expired: Vec<TaskKey> = self.runs.keys().cloned().collect();
            for key in expired {
                self.end(&key, Ending::LeaseExpired, now, checks);
            }
        }
        let keys: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for key in keys {
            let Some(run) = self.runs.get_mut(&key) else { continue };
            let ran = now.since(run.started_ms);
            if run.stops_at_ms.is_some_and(|at| now >= at) {
                self.end(&key, Ending::Stopped, now, checks);
            } else if checks.is_gang(&key) {
                let whole = checks.gang_since(&key);
                match whole {
                    Some(since) if now.since(since) >= run.duration_ms => {
                        checks.gang_done(&key);
                        self.end(&key, Ending::Done, now, checks);
                    }
                    Some(_) => {}
                    None if checks.gang_was_done(&key, run.attempt) => {
                        self.end(&key, Ending::Done, now, checks);
                    }
                    None if ran >= GANG_TIMEOUT_MS => {
                        self.end(&key, Ending::GangIncomplete, now, checks);
                    }
                    None => {}
                }
            } else if !run.long_running && !self.stalls && !run.stalls && ran >= run.duration_ms {
                let chance = rng.random_range(0..1_000) < fail_per_thousand;
                let fails = run.fails || self.fails_all || chance;
                let ending = if fails { Ending::Failed } else { Ending::Done };
                self.end(&key, ending, now, checks);
            }
        }
    }

    fn end(&mut self, key: &TaskKey, ending: Ending, now: Millis, checks: &mut Checks) {
        let Some(run) = self.runs.remove(key) else { return };
        self.end_count += 1;
        checks.ended(&self.id, key, run.attempt, ending, now);
        if ending == Ending::Done {
            checks.done_runs.push((key.clone(), self.id.clone(), now.since(run.started_ms)));
        }
        self.ended.push(EndedRun {
            sequence: self.end_count,
            task: key.clone(),
            attempt: run.attempt,
            ending,
            checkpoint: CompactString::default(),
        });
    }

    pub fn start(&mut self, order: &StartOrder, now: Millis, checks: &mut Checks) -> StartAnswer {
        if !self.is_reachable(now) {
            return StartAnswer::Unanswered;
        }
        if now < self.refuses_starts_until_ms {
            return StartAnswer::Refused(Refusal::Unhealthy);
        }
        if order.fence < self.fence {
            return StartAnswer::Refused(Refusal::Fenced);
        }
        self.fence = order.fence;
        if let Some(run) = self.runs.get(&order.task)
            && run.attempt == order.attempt
        {
            return StartAnswer::Started;
        }
        if self.highest_attempts.get(&order.task).is_some_and(|highest| order.attempt <= *highest) {
            return StartAnswer::Refused(Refusal::StaleAttempt);
        }
        if order.deadline_ms < self.clock(now) {
            return StartAnswer::Refused(Refusal::DeadlinePassed);
        }
        let max = self.clock(now) + self.max_lease_ms;
        self.deadline_ms = self.deadline_ms.max(order.deadline_ms.min(max));
        self.highest_attempts.insert(order.task.clone(), order.attempt);
        let spec = &order.record.spec.steps[usize::from(order.task.step.step)];
        let declared_ms = spec.estimate_ms.0 + u64::from(order.task.index % 3) * 50;
        let true_ms = declared_ms * true_percent(&order.record.spec.payload) / 100;
        let run = Running {
            attempt: order.attempt,
            started_ms: now,
            duration_ms: Millis(
                (true_ms as f64 * self.slowness) as u64 * self.run_time_percent / 100,
            ),
            stops_at_ms: None,
            fails: order.record.spec.payload == "poison",
            long_running: spec.long_running,
            stalls: order.record.spec.payload == "stalls",
            need: spec.need,
        };
        self.runs.insert(order.task.clone(), run);
        let used = self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.need));
        checks.started(self, order, used, now);
        StartAnswer::Started
    }

    pub fn stop(&mut self, order: &StopOrder, now: Millis) -> bool {
        if !self.is_reachable(now) || order.fence < self.fence {
            return false;
        }
        self.fence = order.fence;
        let highest = self.highest_attempts.entry(order.task.clone()).or_default();
        *highest = (*highest).max(order.attempt);
        if let Some(run) = self.runs.get_mut(&order.task)
            && run.attempt <= order.attempt
        {
            run.stops_at_ms.get_or_insert(now + STOP_MS);
        }
        true
    }

    pub fn poll(
        &mut self,
        order: &PollOrder,
        now: Millis,
        checks: &mut Checks,
    ) -> Option<PollAnswer> {
        if !self.is_reachable(now) || order.fence < self.fence {
            return None;
        }
        self.fence = order.fence;
        if self.clock(now) > self.deadline_ms {
            self.voided_end = self.end_count;
        }
        if let Some(deadline) = order.deadline_ms {
            let max = self.clock(now) + self.max_lease_ms;
            self.deadline_ms = self.deadline_ms.max(deadline.min(max));
        }
        if order.ack > self.acked_end && order.ack <= self.end_count {
            let counts =
                |end: &&EndedRun| end.sequence <= order.ack && end.sequence > self.voided_end;
            for end in self.ended.iter().filter(counts) {
                checks.acknowledged(end, now);
            }
            self.acked_end = order.ack;
            self.ended.retain(|end| end.sequence > order.ack);
        }
        let percent = |run: &Running| {
            if self.stalls || run.stalls {
                return 0;
            }
            let ran = now.since(run.started_ms).0 * 100 / run.duration_ms.0.max(1);
            // A long-running task reports 100 while it runs.
            let max = if run.long_running { 100 } else { 99 };
            ran.min(max) as u32
        };
        Some(PollAnswer {
            incarnation_unix_ms: self.incarnation_unix_ms,
            clock_ms: self.clock(now),
            active: self
                .runs
                .iter()
                .map(|(key, run)| ActiveRun {
                    task: key.clone(),
                    attempt: run.attempt,
                    checkpoint: CompactString::default(),
                    percent: percent(run),
                    gauge: 0,
                })
                .collect(),
            ended: self.ended.iter().take(self.max_ended_shown).cloned().collect(),
            more_ended: self.ended.len() >= self.max_ended_shown,
        })
    }
}
