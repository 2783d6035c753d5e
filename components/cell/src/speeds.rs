//! Speeds of the workers: which of them a step may use, and how much fast capacity it leaves.

use std::collections::BTreeMap;

use eventlog::event;
use libs::compact_str::CompactString;
use types::{Millis, Resources, WorkerId};
use unequal_workers::{Choice, Fleet, Need, Reserve, Work};

use crate::cell::Cell;
use crate::model::{StepKey, TaskKey};
use crate::place::WaitingStep;
use crate::polling::Ending;
use crate::ranking::Outlook;
use crate::round::count;
use crate::worker::Worker;

/// A step of urgent work is uneven if its longest run takes more than this many times the median one,
/// in percent.
const UNEVEN_PERCENT: u64 = 160;
/// Least time between two log lines on uneven steps.
const UNEVEN_LOG_PERIOD_MS: Millis = Millis(1_000);

/// Run time by speed of the worker, and how evenly the tasks of urgent steps ran.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpeedCounts {
    /// Run time of tasks of the highest priority that are done.
    pub urgent_ms: u64,
    /// Part of it on slow workers.
    pub urgent_on_slow_ms: u64,
    /// Run time of other tasks that are done.
    pub other_ms: u64,
    /// Part of it on slow workers.
    pub other_on_slow_ms: u64,
    /// Steps of the highest priority, with several tasks, all of which this leader saw run.
    pub urgent_steps: u64,
    /// Those of them whose longest run took more than 1.6 times the median one.
    pub uneven_urgent_steps: u64,
}

/// What the leader knows about the speeds of workers.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    /// By service.
    fleets: BTreeMap<CompactString, Fleet>,
    reserves: BTreeMap<CompactString, Reserve>,
    /// Free fast processor capacity beyond the reserve in the current round, in millicores.
    spare_fast_cpu_milli: BTreeMap<CompactString, u64>,
    counts: SpeedCounts,
    /// Run times of the tasks that are done, by step of urgent work.
    run_ms: BTreeMap<StepKey, Vec<Millis>>,
    logged_ms: Millis,
}

impl Speeds {
    fn fleet(&self, service: &CompactString) -> Fleet {
        self.fleets.get(service).copied().unwrap_or_default()
    }

    /// Whether a service has slow workers.
    pub(crate) fn has_slow(&self, service: &CompactString) -> bool {
        self.fleet(service).has_slow()
    }

    /// Counts urgent work that started.
    pub(crate) fn record_urgent_start(
        &mut self,
        service: &CompactString,
        used: &Resources,
        now: Millis,
    ) {
        if self.has_slow(service) {
            let reserve = self.reserves.entry(service.clone()).or_default();
            reserve.record_start(used.cpu_milli, now);
        }
    }

    /// Counts a run that takes capacity of a worker in this round.
    pub(crate) fn use_capacity(&mut self, worker: &Worker, charge: &Resources) {
        let service = &worker.report.service;
        if self.fleet(service).is_slow(worker.slowness()) {
            return;
        }
        if let Some(spare) = self.spare_fast_cpu_milli.get_mut(service) {
            *spare = spare.saturating_sub(charge.cpu_milli);
        }
    }
}

/// Which workers a step may use, by their speed.
pub(crate) struct SpeedRule {
    work: Work,
    fleet: Fleet,
    /// Tasks that it may place on fast workers.
    pub(crate) fast_slots: u64,
}

impl SpeedRule {
    pub(crate) fn is_slow(&self, worker: &Worker) -> bool {
        self.fleet.is_slow(worker.slowness())
    }

    /// Whether a task may use a worker; if not, it should wait for another one.
    pub(crate) fn may_use(&self, worker: &Worker) -> bool {
        self.work.may_use(&self.fleet, worker.slowness())
    }

    /// Whether a task may start on a worker, as far as the reserve of fast capacity allows.
    pub(crate) fn may_start_on(&self, worker: &Worker) -> bool {
        (self.fast_slots > 0 || self.is_slow(worker)) && self.may_use(worker)
    }

    pub(crate) fn score(&self, choice: &Choice) -> f64 {
        self.work.score(&self.fleet, choice)
    }

    pub(crate) fn advice_place(&self, worker: &Worker) -> u8 {
        self.work.advice_place(&self.fleet, worker.slowness())
    }
}

impl Cell {
    /// Counts of runs since this process became the leader.
    pub fn speed_counts(&self) -> SpeedCounts {
        self.speeds.counts
    }

    /// Updates the classes of speed, and forgets the run times of jobs that have ended.
    pub(crate) fn update_speeds(&mut self) {
        if !self.settings.unequal_workers {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.learn_slowness_from_progress();
        }
        let mut by_service: BTreeMap<&CompactString, Vec<f64>> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            by_service
                .entry(&worker.report.service)
                .or_default()
                .push(worker.best_known_slowness());
        }
        self.speeds.fleets = by_service
            .into_iter()
            .map(|(service, all)| (service.clone(), Fleet::new(all.into_iter())))
            .collect();
        for worker in self.workers.values_mut() {
            let fleet = self.speeds.fleets.get(&worker.report.service);
            worker.is_among_equals = fleet.is_some_and(|fleet| !fleet.has_slow());
        }
        let open_jobs = &self.open_jobs;
        self.speeds.run_ms.retain(|key, _| open_jobs.contains(&key.job));
    }

    /// Computes the fast capacity that work may use which leaves headroom, for a scheduling round.
    pub(crate) fn update_spare_fast_capacity(&mut self, now: Millis) {
        self.speeds.spare_fast_cpu_milli.clear();
        // Free and total capacity of the fast workers, by service.
        let unequal = self.speeds.fleets.iter().filter(|(_, fleet)| fleet.has_slow());
        let mut fast: BTreeMap<CompactString, (Fleet, u64, u64)> =
            unequal.map(|(service, fleet)| (service.clone(), (*fleet, 0, 0))).collect();
        if fast.is_empty() {
            return;
        }
        count(&self.work.workers, self.workers.len());
        for worker in self.workers.values() {
            let is_usable = worker.is_in_service() && worker.attached && worker.reachable;
            if !is_usable {
                continue;
            }
            let Some((fleet, free, total)) = fast.get_mut(&worker.report.service) else { continue };
            if !fleet.is_slow(worker.slowness()) {
                *free += worker.free().cpu_milli;
                *total += worker.report.capacity.cpu_milli;
            }
        }
        for (service, (_, free, total)) in fast {
            let reserve = self.speeds.reserves.entry(service.clone()).or_default();
            let spare = free.saturating_sub(reserve.cpu_milli(total, now));
            self.speeds.spare_fast_cpu_milli.insert(service, spare);
        }
    }

    /// Which workers a waiting step may use.
    pub(crate) fn speed_rule(&self, waiting: &WaitingStep<'_>) -> SpeedRule {
        let WaitingStep { key, spec, queue, rank, has_turn, now, .. } = *waiting;
        let fleet = self.speeds.fleet(&queue.service);
        let any = Work { need: Need::Fastest, left_ms: Millis(0), has_fast_workers: true };
        if !fleet.has_slow() || has_turn {
            return SpeedRule { work: any, fleet, fast_slots: u64::MAX };
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return SpeedRule { work: any, fleet, fast_slots: u64::MAX };
        };
        let left_ms = job.left_from_ms.get(usize::from(key.step)).copied().unwrap_or_default();
        let slack_ms = rank.deadline_unix_ms.since(Millis(self.unix_ms(now)) + left_ms);
        let need = match rank.outlook {
            // Its latency depends on the speed of the worker.
            _ if spec.long_running && spec.latency_target_ms.is_some() => Need::Fastest,
            _ if spec.long_running => Need::LongRunning,
            Outlook::InTime | Outlook::OverShare => Need::Urgent { slack_ms },
            Outlook::Deferrable => Need::Deferrable { slack_ms },
            // On a slow worker it would only end later: the reserve keeps fast ones for others.
            Outlook::Late | Outlook::Overdue | Outlook::LateOverShare => Need::Fastest,
        };
        let waits_for_fast = matches!(need, Need::Urgent { .. } | Need::Deferrable { .. });
        let has_fast_workers = waits_for_fast && self.has_fast_worker(waiting, &fleet);
        let leaves_reserve =
            rank.is_deferrable() || matches!(rank.outlook, Outlook::Late | Outlook::LateOverShare);
        let charge = spec.charge();
        let spare = self.speeds.spare_fast_cpu_milli.get(&queue.service).copied();
        let fast_slots = match spare {
            Some(spare) if leaves_reserve && self.urgent_services.contains(&queue.service) => {
                spare.checked_div(charge.cpu_milli).unwrap_or(u64::MAX)
            }
            _ => u64::MAX,
        };
        SpeedRule { work: Work { need, left_ms, has_fast_workers }, fleet, fast_slots }
    }

    /// Whether a fast worker, busy or not, can run a task of a step. Most often one of the first
    /// workers does.
    fn has_fast_worker(&self, waiting: &WaitingStep<'_>, fleet: &Fleet) -> bool {
        let WaitingStep { key, spec, queue, now, .. } = *waiting;
        let Some(step) = self.step(key) else { return false };
        let charge = spec.charge();
        self.workers.iter().any(|(id, worker)| {
            count(&self.work.workers, 1);
            !fleet.is_slow(worker.slowness())
                && worker.accepts(queue, spec, now)
                && worker.report.capacity.covers(&charge)
                && !step.advice.is_denied(id, worker.incarnation_unix_ms)
        })
    }

    /// Counts a run that ended.
    pub(crate) fn count_run_time(
        &mut self,
        id: &WorkerId,
        task: &TaskKey,
        ending: Ending,
        ran_ms: Millis,
        now: Millis,
    ) {
        if !self.settings.unequal_workers || ending != Ending::Done {
            return;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(spec) = job.record.step(task) else { return };
        let is_slow = self.speeds.fleet(&worker.report.service).is_slow(worker.slowness());
        let is_urgent = Cell::queue_policy(&self.policy, &job.record).priority == 0;
        let on_slow_ms = if is_slow { ran_ms.0 } else { 0 };
        let counts = &mut self.speeds.counts;
        if !is_urgent || spec.long_running {
            counts.other_ms += ran_ms.0;
            counts.other_on_slow_ms += on_slow_ms;
            return;
        }
        counts.urgent_ms += ran_ms.0;
        counts.urgent_on_slow_ms += on_slow_ms;
        if spec.tasks < 2 || spec.gang {
            return;
        }
        let runs = self.speeds.run_ms.entry(task.step.clone()).or_default();
        runs.push(ran_ms);
        if runs.len() < spec.tasks as usize {
            return;
        }
        let Some(mut runs) = self.speeds.run_ms.remove(&task.step) else { return };
        runs.sort_unstable();
        let median_ms = runs.get(runs.len() / 2).map_or(1, |median| median.0.max(1));
        let longest_ms = runs.last().map_or(0, |longest| longest.0);
        counts.urgent_steps += 1;
        if longest_ms * 100 <= median_ms * UNEVEN_PERCENT {
            return;
        }
        counts.uneven_urgent_steps += 1;
        if now >= self.speeds.logged_ms + UNEVEN_LOG_PERIOD_MS {
            self.speeds.logged_ms = now;
            event!("step.uneven", "step" => task.step.to_string(), "tasks" => spec.tasks,
                "median_ms" => median_ms, "longest_ms" => longest_ms, "last_worker" => id.as_str(),
                "uneven_steps" => counts.uneven_urgent_steps, "steps" => counts.urgent_steps);
        }
    }
}
