//! In-memory state of workers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use libs::compact_str::CompactString;
use types::{DomainId, JobId, Millis, RackId, Resources, TeamId, WorkerId};

use crate::accounts::WorkerAccount;
use crate::model::{QueuePolicy, StepKey, StepSpec, TaskKey};

/// Allowance for a worker's clock that runs slower than the leader's, in percent: up to 2, and a
/// margin of 1.
const CLOCK_DRIFT_PERCENT: u64 = 3;
/// Fencing tokens of one epoch, one for each incarnation of a worker.
const FENCES_PER_EPOCH: u64 = 10_000;
/// Added to the computed expiry of a lease for the granularity of timers on both sides.
const LEASE_SLACK_MS: Millis = Millis(150);
/// Longest time after which a worker carries out a call that it has not answered. The platform says
/// that this takes seconds.
pub(crate) const MAX_CALL_DELAY_MS: Millis = Millis(12_000);

/// Entry of a worker in the list of workers.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerReport {
    /// Id of the worker.
    pub id: WorkerId,
    /// Start of this incarnation in Unix milliseconds.
    pub incarnation_unix_ms: u64,
    /// Address at which it takes calls.
    pub address: SocketAddr,
    /// Service whose tasks it runs.
    pub service: CompactString,
    /// Failure domain that it belongs to, if known.
    pub domain: Option<DomainId>,
    /// Its rack, if known.
    pub rack: Option<RackId>,
    /// Labels of the worker.
    pub labels: Vec<CompactString>,
    /// Total resources.
    pub capacity: Resources,
    /// It drains and accepts no new work.
    pub draining: bool,
    /// Least time until it leaves, while it drains.
    pub leaves_in_ms: Option<Millis>,
    /// Time for which it is still slow after its start.
    pub cold_remaining_ms: Millis,
}

/// Most processor time of a worker, in thousandths of a core: a million cores.
const MAX_CPU_MILLI: u64 = 1_000_000_000;
/// Most memory of a worker, in mebibytes: an exbibyte.
const MAX_MEM_MB: u64 = 1 << 40;
/// Most accelerators of a worker.
const MAX_ACCELS: u64 = 1_000_000;
/// Longest time until a worker is warm or leaves.
const MAX_AHEAD_MS: Millis = Millis(24 * 3_600_000);

impl WorkerReport {
    /// What is wrong with an entry that no worker can have written; none if it may be sound. Sums over
    /// all workers, and their percentages, stay far from overflow with amounts within the limits.
    pub fn problem(&self) -> Option<&'static str> {
        let Resources { cpu_milli, mem_mb, accels } = self.capacity;
        let is_too_large = cpu_milli > MAX_CPU_MILLI || mem_mb > MAX_MEM_MB || accels > MAX_ACCELS;
        let ahead_ms = self.cold_remaining_ms.max(self.leaves_in_ms.unwrap_or_default());
        if is_too_large {
            Some("more capacity than any worker has")
        } else if ahead_ms > MAX_AHEAD_MS {
            Some("a time more than a day ahead")
        } else if self.address.port() == 0 {
            Some("an address without a port")
        } else {
            None
        }
    }
}

/// State of a run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// A start was ordered and is not confirmed.
    Starting,
    /// The worker has confirmed the start.
    Running,
    /// A stop was ordered and is not confirmed.
    Stopping,
    /// The worker has confirmed the stop. The run ends, or will never start.
    Stopped,
}

/// A run of a task on a worker, whose start may not be confirmed yet.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) attempt: u32,
    pub(crate) state: RunState,
    pub(crate) charge: Resources,
    /// Resources that count against the team's limit.
    pub(crate) need: Resources,
    pub(crate) team: Option<TeamId>,
    /// Time of the last change of `state`.
    pub(crate) state_changed_ms: Millis,
    /// Time at which the run started, as far as known.
    pub(crate) started_ms: Millis,
    /// It ran before this leader knew it.
    pub(crate) adopted: bool,
    /// Time that it had lasted at least when this leader adopted it.
    pub(crate) ran_before_ms: Millis,
    /// First progress that a poll showed, and when.
    pub(crate) first_shown: Option<(u32, Millis)>,
    /// Time of the last stop order.
    pub(crate) stop_sent_ms: Millis,
    pub(crate) percent: u32,
    pub(crate) progress_changed_ms: Millis,
    /// Allowed speed in percent of full speed, as last ordered.
    pub(crate) pace_percent: u32,
    /// Tail latency in milliseconds of a serving task, or processor use of any other.
    pub(crate) gauge: u64,
    /// Consecutive polls that should have shown the run but did not.
    pub(crate) missed_polls: u32,
    /// Times that its start was sent again.
    pub(crate) resends: u32,
    /// A call to start it has got no answer, and may be carried out late.
    pub(crate) has_unanswered_start: bool,
    /// Its task has lost runs, maybe this one. What becomes of it withdraws them.
    pub(crate) has_losses: bool,
    /// Declared run time, or the learned one on this worker; 0 for a long-running task.
    pub(crate) estimate_ms: Millis,
    /// This leader started it, without a checkpoint.
    pub(crate) from_start: bool,
    /// Percent and time since which its progress is measured; none until it shows some.
    pub(crate) progress_base: Option<(u32, Millis)>,
    /// Percent since `progress_base` that were recorded last.
    pub(crate) learned_percent: u32,
    /// Forecasts to be compared with its run time.
    pub(crate) forecasts: crate::learning::RunForecasts,
}

/// Least progress from which a speed is computed, in percent: progress is reported in whole percent.
const MIN_MEASURED_PERCENT: u32 = 10;

impl Run {
    /// Actual over declared run time by the progress since the first poll, if there is enough.
    fn slowness_by_progress(&self) -> Option<f64> {
        self.slowness_between(self.percent, self.progress_changed_ms)
    }

    /// Actual over declared run time of a run that has just ended as done, for one that was adopted.
    pub(crate) fn slowness_since_adoption(&self, now: Millis) -> Option<f64> {
        self.slowness_between(100, now)
    }

    fn slowness_between(&self, percent: u32, at_ms: Millis) -> Option<f64> {
        let (first_percent, first_ms) = self.first_shown?;
        let gained = percent.saturating_sub(first_percent);
        let comparable = self.state == RunState::Running
            && self.pace_percent == 100
            && self.estimate_ms > Millis(0)
            && gained >= MIN_MEASURED_PERCENT;
        let declared_ms = self.estimate_ms.0 as f64 * f64::from(gained) / 100.0;
        comparable.then(|| at_ms.since(first_ms).0 as f64 / declared_ms)
    }
}

/// A worker as this leader knows it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: WorkerReport,
    /// It is in the list of workers.
    pub(crate) listed: bool,
    /// Time since which it is unlisted.
    pub(crate) unlisted_since_ms: Millis,
    /// Earliest time at which it leaves, if it drains and the time is known.
    pub(crate) leaves_ms: Option<Millis>,
    /// Time until which it is slow after its start.
    pub(crate) cold_until_ms: Millis,
    /// Its failure domain is evacuated, or it has not returned yet.
    pub(crate) is_evacuated: bool,
    /// It has seen the epoch of this leader, and its runs are known.
    pub(crate) attached: bool,
    /// The last call was answered.
    pub(crate) reachable: bool,
    /// A stored roster may report it as silent.
    pub(crate) reported_silent: bool,
    /// The last roster row reports it as silent.
    pub(crate) has_silent_row: bool,
    /// A stored roster may say that no other tasks run there.
    pub(crate) named_tasks: Option<Vec<TaskKey>>,
    /// Start of the incarnation that answered last, in Unix milliseconds. Before the first answer it is
    /// what the entry shows, which others can write.
    pub(crate) incarnation_unix_ms: u64,
    /// Restarts seen in this epoch.
    pub(crate) restarts: u64,
    /// Time of the last restart seen in this epoch. Polls sent later carry a fencing token that no
    /// former incarnation was sent.
    pub(crate) restarted_ms: Option<Millis>,
    /// Runs of a former incarnation are still in `runs`: no poll with the new fencing token has shown
    /// which of them reached this one.
    pub(crate) has_former_runs: bool,
    /// Time until which its leases may last longer than those that leaders grant, since a call to a
    /// former incarnation can have set them; none while such a call can still arrive.
    pub(crate) long_leases_until_ms: Option<Millis>,
    /// Clock of the worker in its last answer, and the time of that answer.
    pub(crate) clock_ms: Millis,
    pub(crate) last_answer_ms: Millis,
    /// Time between its last two answers.
    pub(crate) answer_gap_ms: Millis,
    /// Time at which the last processed poll was sent.
    pub(crate) last_poll_sent_ms: Millis,
    /// Latest lease deadline given to it, on the worker's clock.
    pub(crate) lease_deadline_ms: Millis,
    /// Time until which runs that this leader has not seen may be active there.
    pub(crate) unseen_runs_until_ms: Millis,
    /// Time until which unanswered calls of a former leader may start these tasks there, since the worker
    /// has restarted, for as long as it is listed.
    pub(crate) late_starts_until_ms: Millis,
    /// The only tasks that may run there until this leader has seen the worker; none if any may.
    pub(crate) former_tasks: Option<Vec<TaskKey>>,
    /// Incarnation that the former leader named these tasks for, in Unix milliseconds; 0 if not known.
    pub(crate) former_incarnation_unix_ms: u64,
    pub(crate) used: Resources,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    /// Number of the last run end processed.
    pub(crate) last_processed_end: u64,
    /// Numbers of processed run ends that are not stored yet, with their tasks.
    pub(crate) unstored_ends: BTreeMap<u64, TaskKey>,
    pub(crate) health: crate::health::Health,
    /// Run time on it relative to a usual worker by the progress of its runs, until a run has ended;
    /// 0 if unknown.
    pub(crate) slowness_by_progress: f64,
    /// Learned slowness; none if run times are not learned.
    pub(crate) learned_slowness: Option<f64>,
    /// Its service has hardly any slow workers. Learned differences between these do not count: all
    /// work would look for the fastest.
    pub(crate) is_among_equals: bool,
    /// What is stored of its lost runs; none for a worker that no leader has stored yet.
    pub(crate) account: Option<WorkerAccount>,
    /// Jobs with losses by this worker that may not be stored yet.
    pub(crate) jobs_with_losses: BTreeSet<JobId>,
    /// Task that may crash the worker, and has just started there.
    pub(crate) trial: Option<crate::losses::Trial>,
}

impl Worker {
    pub(crate) fn new(report: WorkerReport, now: Millis) -> Self {
        Self {
            incarnation_unix_ms: report.incarnation_unix_ms,
            restarts: 0,
            restarted_ms: None,
            has_former_runs: false,
            long_leases_until_ms: None,
            report,
            listed: true,
            unlisted_since_ms: now,
            leaves_ms: None,
            cold_until_ms: Millis(0),
            is_evacuated: false,
            attached: false,
            reachable: true,
            reported_silent: false,
            has_silent_row: false,
            named_tasks: None,
            clock_ms: Millis(0),
            last_answer_ms: Millis(0),
            answer_gap_ms: Millis(0),
            last_poll_sent_ms: Millis(0),
            lease_deadline_ms: Millis(0),
            unseen_runs_until_ms: now,
            late_starts_until_ms: now,
            former_tasks: None,
            former_incarnation_unix_ms: 0,
            used: Resources::ZERO,
            runs: BTreeMap::new(),
            last_processed_end: 0,
            unstored_ends: BTreeMap::new(),
            health: crate::health::Health::default(),
            slowness_by_progress: 0.0,
            learned_slowness: None,
            is_among_equals: false,
            account: None,
            jobs_with_losses: BTreeSet::new(),
            trial: None,
        }
    }

    /// Fencing token of orders to the worker.
    ///
    /// A new incarnation knows no fencing token and its clock starts anew, so it would accept a
    /// late order to the former one. The first poll with a higher token prevents that.
    pub(crate) fn fence(&self, epoch: u64) -> u64 {
        epoch * FENCES_PER_EPOCH + self.restarts.min(FENCES_PER_EPOCH - 1)
    }

    pub(crate) fn free(&self) -> Resources {
        self.report.capacity.minus(&self.used)
    }

    /// Run time on it relative to a usual worker; 1.0 while it is not known.
    pub(crate) fn slowness(&self) -> f64 {
        match self.learned_slowness {
            Some(learned) if !self.is_among_equals => learned,
            _ => self.measured_slowness(),
        }
    }

    /// The learned slowness, or the measured one while run times are not learned.
    pub(crate) fn best_known_slowness(&self) -> f64 {
        self.learned_slowness.unwrap_or_else(|| self.measured_slowness())
    }

    fn measured_slowness(&self) -> f64 {
        let known = [self.health.slowness, self.slowness_by_progress];
        known.into_iter().find(|slowness| *slowness > 0.0).unwrap_or(1.0)
    }

    /// Learns its speed from the progress of its runs, while none has ended.
    ///
    /// A new leader knows no speeds, and the runs that it finds on slow workers take seconds to end.
    pub(crate) fn learn_slowness_from_progress(&mut self) {
        if self.health.slowness > 0.0 {
            return;
        }
        if let Some(slowness) = self.runs.values().find_map(Run::slowness_by_progress) {
            self.slowness_by_progress = slowness;
        }
    }

    /// Whether its capacity serves new work: it is listed, does not drain, and its failure domain is
    /// not evacuated.
    pub(crate) fn is_in_service(&self) -> bool {
        self.listed && !self.report.draining && !self.is_evacuated
    }

    /// Whether it accepts tasks of a step now, regardless of free resources and tickets.
    pub(crate) fn accepts(&self, queue: &QueuePolicy, spec: &StepSpec, now: Millis) -> bool {
        self.accepts_any(now)
            && self.report.service == queue.service
            && spec.label.as_ref().is_none_or(|label| self.report.labels.contains(label))
    }

    /// Whether its entry is of the incarnation that answers. A worker may come back under its id with
    /// other labels and another capacity. Entries without a start are taken for current.
    fn has_current_entry(&self) -> bool {
        let described = self.report.incarnation_unix_ms;
        described == 0 || described == self.incarnation_unix_ms
    }

    /// Whether it accepts tasks of any step now, regardless of free resources and tickets.
    pub(crate) fn accepts_any(&self, now: Millis) -> bool {
        self.attached
            && self.has_current_entry()
            && self.reachable
            && !self.reported_silent
            && self.named_tasks.is_none()
            && self.is_in_service()
            && !self.health.in_backoff(now)
            && self.trial.is_none()
    }

    /// Resets the state for a new incarnation, whose clock showed `clock_ms` in its first answer. Runs
    /// are kept: the first answer to a poll with the new fencing token decides on them. Until then a
    /// late call to the former incarnation may start runs and set leases of up to `max_lease_ms`.
    pub(crate) fn begin_incarnation(
        &mut self,
        incarnation_unix_ms: u64,
        clock_ms: Millis,
        max_lease_ms: Millis,
        now: Millis,
    ) {
        self.incarnation_unix_ms = incarnation_unix_ms;
        self.restarts += 1;
        self.restarted_ms = Some(now);
        self.has_former_runs = true;
        self.long_leases_until_ms = None;
        self.last_processed_end = 0;
        self.unstored_ends.clear();
        self.clock_ms = clock_ms;
        self.last_answer_ms = now;
        self.lease_deadline_ms = clock_ms + MAX_CALL_DELAY_MS + max_lease_ms;
        self.attached = false;
        self.unseen_runs_until_ms = now;
        self.trial = None;
        self.health = crate::health::Health::default();
        self.slowness_by_progress = 0.0;
    }

    /// Whether the first answer shows that its entry is wrong, or names no incarnation. No later restart
    /// would be noticed otherwise.
    pub(crate) fn corrects_incarnation(&self, answered_unix_ms: u64) -> bool {
        answered_unix_ms < self.incarnation_unix_ms || self.incarnation_unix_ms == 0
    }

    /// Whether a poll that was sent at `sent_ms` carried a fencing token that no former incarnation was
    /// sent. A worker that has answered it carries out no earlier calls.
    pub(crate) fn is_fenced_by_poll(&self, sent_ms: Millis) -> bool {
        self.restarted_ms.is_none_or(|restarted_ms| sent_ms > restarted_ms)
    }

    /// Bounds the leases once no more calls to a former incarnation can arrive: such a call may have set
    /// one of up to `max_lease_ms` until now. Leaders grant leases of `lease_ms`.
    pub(crate) fn bound_leases(&mut self, lease_ms: Millis, max_lease_ms: Millis, now: Millis) {
        if self.long_leases_until_ms.is_some() {
            return;
        }
        self.lease_deadline_ms = self.clock_ms + max_lease_ms;
        let excess_ms = max_lease_ms.since(lease_ms);
        self.long_leases_until_ms = Some(now + with_clock_drift(excess_ms) + LEASE_SLACK_MS);
    }

    /// Whether its leases may last longer than those that leaders grant.
    pub(crate) fn may_have_long_leases(&self, now: Millis) -> bool {
        self.long_leases_until_ms.is_none_or(|until_ms| now < until_ms)
    }

    /// Highest number up to which all run ends are stored or need not be.
    pub(crate) fn acknowledgeable_end(&self) -> u64 {
        self.unstored_ends.keys().next().map_or(self.last_processed_end, |first| first - 1)
    }

    /// Number of runs of a step on this worker.
    pub(crate) fn count_runs(&self, step: &StepKey) -> usize {
        let first = TaskKey { step: step.clone(), index: 0 };
        self.runs.range(first..).take_while(|(task, _)| task.step == *step).count()
    }

    /// Number of further tasks of a step that fit on the worker.
    pub(crate) fn slots(&self, key: &StepKey, spec: &StepSpec) -> u64 {
        let free = self.free();
        let charge = spec.charge();
        if !free.covers(&charge) {
            return 0;
        }
        let fit = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let by_room = fit(free.cpu_milli, charge.cpu_milli)
            .min(fit(free.mem_mb, charge.mem_mb))
            .min(fit(free.accels, charge.accels));
        let allowed = |max| u64::from(max).saturating_sub(self.count_runs(key) as u64);
        by_room.min(spec.max_per_worker.map_or(u64::MAX, allowed))
    }

    /// Estimate of the worker's clock.
    pub(crate) fn clock_now(&self, now: Millis) -> Millis {
        self.clock_ms + now.since(self.last_answer_ms)
    }

    /// Time after which every run under the leases has certainly ended.
    pub(crate) fn leases_end_ms(&self) -> Millis {
        let left = with_clock_drift(self.lease_deadline_ms.since(self.clock_ms));
        (self.last_answer_ms + left + LEASE_SLACK_MS).max(self.unseen_runs_until_ms)
    }

    /// Whether an unanswered call may start a run there after the leases have expired: a worker that has
    /// restarted carries it out, and takes its deadline for one on its own clock. One that is no
    /// longer listed counts as gone.
    pub(crate) fn may_start_late(&self, run: &Run, max_lease_ms: Millis, now: Millis) -> bool {
        let lease_ms = with_clock_drift(max_lease_ms) + LEASE_SLACK_MS;
        self.listed
            && run.has_unanswered_start
            && now < run.state_changed_ms + MAX_CALL_DELAY_MS + lease_ms
    }

    /// Waits for the tasks that the former leader named for a silent worker which has restarted since:
    /// unanswered calls may start them there.
    pub(crate) fn expect_late_starts(&mut self, until_ms: Millis) {
        if !self.attached && self.reported_silent && self.former_tasks.is_some() {
            self.late_starts_until_ms = until_ms;
        }
    }

    /// Whether runs that this leader has not seen may be active there.
    pub(crate) fn may_run_unseen(&self, now: Millis) -> bool {
        let may_start_late = self.listed && now < self.late_starts_until_ms;
        !self.attached && (may_start_late || now < self.leases_end_ms())
    }

    pub(crate) fn add_run(&mut self, key: TaskKey, run: Run) {
        self.used = self.used.plus(&run.charge);
        self.runs.insert(key, run);
    }

    pub(crate) fn remove_run(&mut self, key: &TaskKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.trial.take_if(|trial| trial.task == *key);
        self.used = self.runs.values().fold(Resources::ZERO, |sum, run| sum.plus(&run.charge));
        Some(run)
    }
}

/// Longest time in which a worker's clock advances by `ms`.
pub(crate) fn with_clock_drift(ms: Millis) -> Millis {
    ms + Millis(ms.0.saturating_mul(CLOCK_DRIFT_PERCENT) / 100)
}
