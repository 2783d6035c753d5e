//! Evacuation of failure domains: keeps their workers out of placement, and moves their runs.
//!
//! The crate `evacuation` decides which workers take work and which runs may move. Here the places
//! elsewhere are counted: a run is stopped only for a place that it is likely to get.

use std::collections::BTreeMap;

use evacuation::{
    DomainRun, Effect, Evacuation, EvacuationChange, EvacuationRequest, StepRuns, runs_to_move,
};
use eventlog::event;
use libs::compact_str::CompactString;
use types::{DomainId, Millis, Resources, WorkerId};

use crate::cell::Cell;
use crate::drain::remaining_run_time;
use crate::job::{Job, Phase};
use crate::learning::on_worker;
use crate::model::{QueuePolicy, StepKey, StepSpec, TaskKey};
use crate::ranking::Outlook;
use crate::worker::{RunState, Worker};

/// Interval of the log lines on what still runs in an evacuated domain.
const PROGRESS_LOG_MS: Millis = Millis(1_000);
/// Most runs stopped in a tick; a gang that is begun moves as a whole. Ten times as many a second start
/// again, a tenth of the starts on a large site.
const MAX_MOVES_PER_TICK: usize = 12;
/// Most steps examined in a tick without a move: each looks at all workers.
const MAX_FAILED_STEPS_PER_TICK: usize = 20;
/// Part of a service's free processor capacity that moves leave for urgent work, in percent: as much
/// as deferrable work does, which a moved run may be.
const KEPT_FREE_PERCENT: u64 = 10;
/// Part of a team's limit that a moved run leaves free, in percent, for the same reason.
const KEPT_LIMIT_PERCENT: u64 = 15;
/// Places that a step needs for each task that moves if the advisor must allow the worker: it allows
/// about one in three.
const PLACES_WITH_ADVICE: u32 = 3;
/// Reason in the log lines of stops.
const STOP_REASON: &str = "domain is evacuated";

/// Evacuated domains and what still runs there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvacuationCounts {
    /// Domains with a request.
    pub domains: u64,
    /// Runs in these domains at the last tick.
    pub runs: u64,
}

/// A run in an evacuated domain.
struct Placed {
    worker: WorkerId,
    task: TaskKey,
    run: DomainRun,
}

/// Room for runs that move, and what other work is about to use of it.
#[derive(Default)]
struct Places {
    /// Free resources of workers from which this tick has taken some.
    taken: BTreeMap<WorkerId, (Resources, BTreeMap<StepKey, u32>)>,
    /// Free resources by service beyond what waits, is being moved, or is kept free.
    spare: BTreeMap<CompactString, Resources>,
}

/// A step that looks for places.
struct Mover<'a> {
    key: &'a StepKey,
    spec: &'a StepSpec,
    queue: &'a QueuePolicy,
    now: Millis,
}

impl Cell {
    /// Replaces the requests to evacuate failure domains by those that the store lists.
    pub fn evacuations_listed(&mut self, requests: Vec<EvacuationRequest>, now: Millis) {
        for effect in self.evacuations.replace(requests, now) {
            self.evacuation_took_effect(effect, now);
        }
    }

    /// Applies a change of the requests.
    pub fn evacuation_changed(&mut self, change: EvacuationChange, now: Millis) {
        if let Some(effect) = self.evacuations.apply(change, now) {
            self.evacuation_took_effect(effect, now);
        }
    }

    /// Sets whether no starts are ordered because the requests are not known well enough. Leases are
    /// renewed, and stops and ends go on.
    pub fn hold_starts(&mut self, holds: bool) {
        self.needs_scheduling |= self.holds_starts && !holds;
        self.holds_starts = holds;
    }

    /// Evacuated domains and what still runs there.
    pub fn evacuation_counts(&self) -> EvacuationCounts {
        EvacuationCounts { domains: self.evacuations.len() as u64, runs: self.evacuation_runs }
    }

    fn evacuation_took_effect(&mut self, effect: Effect, now: Millis) {
        self.update_evacuated_workers(now);
        self.needs_scheduling = true;
        match effect {
            Effect::Evacuated(domain, evacuation) => {
                let (workers, runs) = self.count_in_domain(&domain);
                let left = self.workers.values().filter(|worker| worker.is_in_service()).count();
                event!("domain.evacuated", "domain" => domain.as_str(),
                    "revision" => evacuation.revision, "workers" => workers, "runs" => runs,
                    "workers_left" => left, "domains" => self.evacuations.len(),
                    "epoch" => self.epoch);
            }
            Effect::Returned { domain, evacuation, over_ms } => {
                let (workers, runs) = self.count_in_domain(&domain);
                event!("domain.returned", "domain" => domain.as_str(),
                    "revision" => evacuation.revision, "workers" => workers, "runs" => runs,
                    "lasted_ms" => now.since(evacuation.since_ms).0, "over_ms" => over_ms.0);
            }
        }
    }

    /// Workers of a domain, and the runs there.
    fn count_in_domain(&self, domain: &DomainId) -> (usize, usize) {
        let there = self.workers.values().filter(|one| one.report.domain.as_ref() == Some(domain));
        there.fold((0, 0), |(workers, runs), one| (workers + 1, runs + one.runs.len()))
    }

    /// Updates which workers are left out because of their domain.
    pub(crate) fn update_evacuated_workers(&mut self, now: Millis) {
        self.evacuations.forget_returned(now);
        let is_idle = self.evacuations.is_idle();
        for (id, worker) in &mut self.workers {
            if is_idle && !worker.is_evacuated {
                continue;
            }
            let domain = worker.report.domain.as_ref();
            let is_evacuated = !self.evacuations.takes_work(domain, id, now);
            self.needs_scheduling |= worker.is_evacuated && !is_evacuated;
            worker.is_evacuated = is_evacuated;
        }
    }

    /// Stops runs in evacuated domains that have a place elsewhere.
    pub(crate) fn move_evacuated_runs(&mut self, now: Millis) {
        self.evacuation_runs = 0;
        if self.evacuations.is_empty() {
            return;
        }
        self.count_evacuated_runs(now);
        // Nothing would start elsewhere. While runs of a former leader may be unseen, tasks that run
        // seem to wait.
        if self.evacuation_runs == 0
            || !self.start_permission.allows_any()
            || self.holds_starts
            || self.recovering
        {
            return;
        }
        let mut steps: Vec<(StepKey, Vec<Placed>)> = self.runs_by_step(now).into_iter().collect();
        if steps.is_empty() {
            return;
        }
        // Begins elsewhere in each tick, since only some steps are examined.
        let first = (now.0 / 100) as usize * MAX_FAILED_STEPS_PER_TICK % steps.len();
        steps.rotate_left(first);
        let mut places = self.places(now);
        let (mut moves, mut failed) = (0, 0);
        for (key, runs) in steps {
            if moves >= MAX_MOVES_PER_TICK || failed >= MAX_FAILED_STEPS_PER_TICK {
                break;
            }
            let stops = self.choose_moves(&key, runs, MAX_MOVES_PER_TICK - moves, &mut places, now);
            failed += usize::from(stops.is_empty());
            moves += stops.len();
            for (worker, task) in stops {
                self.stop_run(&worker, &task, STOP_REASON, now);
            }
        }
    }

    /// Counts the runs in evacuated domains, and logs them once a second.
    fn count_evacuated_runs(&mut self, now: Millis) {
        let logs = now.since(self.evacuation_logged_ms) >= PROGRESS_LOG_MS;
        let mut total = 0;
        for (domain, evacuation) in self.evacuations.iter() {
            let in_domain = |worker: &&Worker| worker.report.domain.as_ref() == Some(domain);
            let keys = self.workers.values().filter(in_domain).flat_map(|one| one.runs.keys());
            let is_long_running = |key: &&TaskKey| {
                let spec = self.jobs.get(&key.step.job).and_then(|job| job.record.step(key));
                spec.is_some_and(|spec| spec.long_running)
            };
            let (runs, long_running) = keys.fold((0, 0), |(runs, long_running), key| {
                (runs + 1, long_running + u64::from(is_long_running(&key)))
            });
            total += runs;
            if logs && runs > 0 {
                log_progress(domain, evacuation, runs, long_running, now);
            }
        }
        if logs {
            self.evacuation_logged_ms = now;
        }
        self.evacuation_runs = total;
    }

    /// The runs in evacuated domains that are not being stopped and that their tasks need, by step.
    fn runs_by_step(&self, now: Millis) -> BTreeMap<StepKey, Vec<Placed>> {
        let mut steps: BTreeMap<StepKey, Vec<Placed>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            let domain = worker.report.domain.as_ref();
            if domain.is_none_or(|domain| self.evacuations.get(domain).is_none())
                || !worker.reachable
            {
                continue;
            }
            for (key, run) in &worker.runs {
                let Some(job) = self.jobs.get(&key.step.job).filter(|job| job.ended.is_none())
                else {
                    continue;
                };
                let (Some(spec), Some(task)) = (job.record.step(key), job.task(key)) else {
                    continue;
                };
                let is_current = task.attempt == run.attempt
                    && task.phase == Phase::Placed(id.clone())
                    && run.state == RunState::Running;
                let may_move = spec.long_running || spec.checkpoints;
                if is_current && may_move {
                    let forecast = job
                        .step(key.step.occurrence, key.step.step)
                        .and_then(|step| step.forecast)
                        .filter(|_| self.settings.decide_by_run_times);
                    let usual_ms = forecast.map_or(spec.estimate_ms, |forecast| forecast.median_ms);
                    let expected_ms = on_worker(usual_ms, worker.slowness());
                    let left_ms = remaining_run_time(run, expected_ms, now);
                    let is_available = !spec.long_running || run.percent >= 100;
                    steps.entry(key.step.clone()).or_default().push(Placed {
                        worker: id.clone(),
                        task: key.clone(),
                        run: DomainRun { left_ms, is_available },
                    });
                }
            }
        }
        steps
    }

    /// Chooses the runs of a step to stop, at most `most` unless the step is a gang.
    fn choose_moves(
        &self,
        key: &StepKey,
        runs: Vec<Placed>,
        most: usize,
        places: &mut Places,
        now: Millis,
    ) -> Vec<(WorkerId, TaskKey)> {
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let Some(spec) = job.record.spec.steps.get(usize::from(key.step)) else {
            return Vec::new();
        };
        let queue = Cell::queue_policy(&self.policy, &job.record);
        let may_fit =
            self.rooms.get(&queue.service).is_some_and(|room| room.may_fit(&spec.charge()));
        if !may_fit {
            return Vec::new();
        }
        let members = self.placed_tasks(job, key);
        let step_runs = self.step_runs(job, key, spec, &runs, &members);
        let mover = Mover { key, spec, queue, now };
        let mut left = most as u32;
        let reserve = |tasks| {
            if !spec.gang && left == 0 {
                return false;
            }
            left = left.saturating_sub(1);
            self.reserve(&mover, tasks, &members, places)
        };
        let chosen = runs_to_move(&step_runs, reserve);
        if spec.gang && !chosen.is_empty() {
            return members;
        }
        let stop = |index: usize| {
            let placed = runs.get(index)?;
            Some((placed.worker.clone(), placed.task.clone()))
        };
        chosen.into_iter().filter_map(stop).collect()
    }

    /// The tasks of a step that have a worker.
    fn placed_tasks(&self, job: &Job, key: &StepKey) -> Vec<(WorkerId, TaskKey)> {
        let started = job.step(key.occurrence, key.step).map(|step| step.tasks.started());
        started
            .into_iter()
            .flatten()
            .filter_map(|(index, task)| match &task.phase {
                Phase::Placed(worker) => {
                    Some((worker.clone(), TaskKey { step: key.clone(), index }))
                }
                Phase::Waiting | Phase::Done => None,
            })
            .collect()
    }

    fn step_runs(
        &self,
        job: &Job,
        key: &StepKey,
        spec: &StepSpec,
        runs: &[Placed],
        members: &[(WorkerId, TaskKey)],
    ) -> StepRuns {
        let is_available = |(worker, task): &&(WorkerId, TaskKey)| {
            let run = self.workers.get(worker).and_then(|worker| worker.runs.get(task));
            run.is_some_and(|run| {
                run.state == RunState::Running && (!spec.long_running || run.percent >= 100)
            })
        };
        let available = members.iter().filter(is_available).count() as u32;
        let done = job.step(key.occurrence, key.step).map_or(0, |step| step.done);
        let tasks = spec.tasks.saturating_sub(done);
        StepRuns {
            long_running: spec.long_running,
            checkpoints: spec.checkpoints,
            gang: spec.gang,
            max_unavailable: spec.max_unavailable,
            tasks,
            unavailable: tasks.saturating_sub(available),
            runs: runs.iter().map(|placed| placed.run).collect(),
        }
    }

    /// Room for runs that move. Work that waits and runs that are being moved use it first.
    fn places(&self, now: Millis) -> Places {
        let mut places = Places::default();
        for worker in self.workers.values() {
            let spare = places.spare.entry(worker.report.service.clone()).or_default();
            if worker.is_in_service() && worker.attached && worker.reachable {
                *spare = spare.plus(&worker.free());
            }
        }
        for (service, spare) in &mut places.spare {
            let total = self.rooms.get(service).map(|room| room.total).unwrap_or_default();
            let kept_cpu_milli = total.cpu_milli * KEPT_FREE_PERCENT / 100;
            spare.cpu_milli = spare.cpu_milli.saturating_sub(kept_cpu_milli);
        }
        for worker in self.workers.values().filter(|worker| worker.is_evacuated) {
            let Some(spare) = places.spare.get_mut(&worker.report.service) else { continue };
            let stopping = |state| matches!(state, RunState::Stopping | RunState::Stopped);
            for run in worker.runs.values().filter(|run| stopping(run.state)) {
                *spare = spare.minus(&run.charge);
            }
        }
        for job in self.open_jobs.iter().filter_map(|id| self.jobs.get(id)) {
            let service = &Cell::queue_policy(&self.policy, &job.record).service;
            let Some(spare) = places.spare.get_mut(service) else { continue };
            for occurrence in job.open_occurrences.values() {
                for (step, spec) in occurrence.steps.iter().zip(&job.record.spec.steps) {
                    let is_ready = step.ready_ms.is_some_and(|ready| ready <= now);
                    if is_ready && step.waiting > 0 {
                        *spare = spare.minus(&spec.charge().times(u64::from(step.waiting)));
                    }
                }
            }
        }
        places
    }

    /// Reserves places elsewhere for tasks of a step, all or none.
    fn reserve(
        &self,
        mover: &Mover<'_>,
        tasks: u32,
        members: &[(WorkerId, TaskKey)],
        places: &mut Places,
    ) -> bool {
        let Mover { key, spec, queue, now } = *mover;
        let charge = spec.charge();
        let job = self.jobs.get(&key.job);
        // Long-running tasks go before most work that waits.
        let goes_first = spec.long_running && job.is_some_and(|job| job.outlook == Outlook::InTime);
        let is_elsewhere =
            |id: &WorkerId| self.workers.get(id).is_some_and(|worker| worker.is_in_service());
        // Members of a gang that run elsewhere make room for the gang itself.
        let own = if spec.gang {
            members.iter().filter(|(id, _)| is_elsewhere(id)).count() as u64
        } else {
            0
        };
        let needed = charge.times(u64::from(tasks).saturating_sub(own));
        let spare = places.spare.get(&queue.service).copied().unwrap_or_default();
        let in_limit = self.team_slots_with_reserve(key, spec, KEPT_LIMIT_PERCENT);
        if !goes_first && (!spare.covers(&needed) || in_limit == 0) {
            return false;
        }
        let wanted = if queue.advice.is_some() { tasks * PLACES_WITH_ADVICE } else { tasks };
        let step = self.step(key);
        let is_denied = |id: &WorkerId, worker: &Worker| {
            step.is_some_and(|step| step.advice.is_denied(id, worker.incarnation_unix_ms))
        };
        let mut found: Vec<(&WorkerId, u32)> = Vec::new();
        let mut missing = wanted;
        for (id, worker) in &self.workers {
            if missing == 0 {
                break;
            }
            if !worker.accepts(queue, spec, now)
                || is_denied(id, worker)
                || self.held_workers.contains(id)
            {
                continue;
            }
            let slots = u64::from(missing).min(places.slots(id, worker, mover, members)) as u32;
            if slots > 0 {
                found.push((id, slots));
                missing -= slots;
            }
        }
        if missing > 0 {
            return false;
        }
        let mut left = tasks;
        for (id, slots) in found {
            let used = slots.min(left);
            left -= used;
            if let Some(worker) = self.workers.get(id).filter(|_| used > 0) {
                places.take(id, worker, key, &charge, used);
            }
        }
        if let Some(spare) = places.spare.get_mut(&queue.service) {
            *spare = spare.minus(&needed);
        }
        true
    }
}

impl Places {
    /// Number of tasks of a step that fit on a worker beside those for which places are taken.
    /// Members of the same gang that run there will be gone.
    fn slots(
        &self,
        id: &WorkerId,
        worker: &Worker,
        mover: &Mover<'_>,
        members: &[(WorkerId, TaskKey)],
    ) -> u64 {
        let Mover { key, spec, .. } = *mover;
        let charge = spec.charge();
        let (free, taken) = match self.taken.get(id) {
            Some((free, taken)) => (*free, taken.get(key).copied().unwrap_or_default()),
            None => (worker.free(), 0),
        };
        let of_gang = if spec.gang { members.iter().filter(|(at, _)| at == id).count() } else { 0 };
        let free = free.plus(&charge.times(of_gang as u64));
        if !free.covers(&charge) {
            return 0;
        }
        let fit = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let by_room = fit(free.cpu_milli, charge.cpu_milli)
            .min(fit(free.mem_mb, charge.mem_mb))
            .min(fit(free.accels, charge.accels));
        let running = if spec.gang { 0 } else { worker.count_runs(key) as u64 };
        let allowed =
            |most| u64::from(most).saturating_sub(running).saturating_sub(u64::from(taken));
        by_room.min(spec.max_per_worker.map_or(u64::MAX, allowed))
    }

    fn take(
        &mut self,
        id: &WorkerId,
        worker: &Worker,
        key: &StepKey,
        charge: &Resources,
        tasks: u32,
    ) {
        let entry =
            self.taken.entry(id.clone()).or_insert_with(|| (worker.free(), BTreeMap::new()));
        entry.0 = entry.0.minus(&charge.times(u64::from(tasks)));
        *entry.1.entry(key.clone()).or_default() += tasks;
    }
}

fn log_progress(
    domain: &DomainId,
    evacuation: &Evacuation,
    runs: u64,
    long_running: u64,
    now: Millis,
) {
    event!("domain.evacuation_progress", "domain" => domain.as_str(),
        "since_ms" => now.since(evacuation.since_ms).0, "revision" => evacuation.revision,
        "runs" => runs, "long_running" => long_running);
}
