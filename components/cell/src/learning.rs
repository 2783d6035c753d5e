//! Learned run times: what the cell records of runs, and what it expects of steps, runs and jobs.
//!
//! Nothing here takes effect unless [`crate::CellSettings::learn_run_times`] is set. A step of which nothing
//! is learned has no forecast, and counts by its declared run time as without learning.

use std::collections::{BTreeMap, VecDeque};

use eventlog::event;
use run_times::{
    EndedRunTime, Forecast, RunProgress, RunTimes, Source, StepId, StepWork, Summary, WorkKind,
};
use types::{Millis, QueueId, WorkerId};

use crate::cell::Cell;
use crate::job::{Job, LearnedPath, Phase, chains};
use crate::model::{JobRecord, StepKey, StepSpec, TaskKey};
use crate::polling::{EndedRun, Ending};
use crate::ranking::{PathLeft, rank};
use crate::worker::{Run, Worker};

/// Interval in which the forecasts of open jobs are renewed. Workers report progress in this time.
const REFRESH_MS: Millis = Millis(300);
/// Gap between two answers of a worker, beyond the time that it may hold a poll, above which the times of ends
/// that it reports are not known well enough.
const MAX_ANSWER_DELAY_MS: Millis = Millis(250);
/// Progress in percent between two records of a run's progress, since recording takes the
/// leader's time.
const PROGRESS_STEP: u32 = 4;
/// Progress in percent from which a run's own progress counts as a forecast.
const MIN_OWN_PERCENT: u32 = 25;
/// Forecasts with outcomes that wait to be taken; some seconds of the highest rate.
const MAX_OUTCOMES: usize = 20_000;
/// Interval of the log lines on errors of forecasts, and the most queues in one interval.
const LOG_INTERVAL_MS: Millis = Millis(10_000);
const MAX_LOGGED_QUEUES: usize = 20;
/// Runs of a queue over which the median error is taken.
const ERROR_WINDOW: usize = 500;

/// What a forecast stood on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The declared run time, for comparison: recorded for every run.
    DeclaredTime,
    /// The forecast for the worker at the start of the run.
    AtStart(Source),
    /// The forecast of the run's step for the worker, when a quarter of the run was done.
    UnderWay(Source),
    /// The progress of the run itself, when a quarter was done.
    OwnProgress,
}

/// A forecast and what came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForecastOutcome {
    /// What the forecast stood on.
    pub evidence: Evidence,
    /// Forecast over actual run time, in percent.
    pub over_outcome_percent: u64,
}

/// Errors of the latest runs of a queue, as |ln(forecast / outcome)|.
#[derive(Debug, Default)]
struct QueueErrors {
    at_start: VecDeque<f64>,
    under_way: VecDeque<f64>,
    declared: VecDeque<f64>,
}

/// What is learned, and its record of errors.
#[derive(Debug, Default)]
pub(crate) struct Learning {
    model: RunTimes,
    /// Decisions follow the forecasts, not only the learned speeds.
    decides: bool,
    refreshed_ms: Millis,
    logged_ms: Millis,
    /// Time at which the summary of a former leader was written, in Unix milliseconds; 0 without one.
    restored_unix_ms: u64,
    outcomes: Vec<ForecastOutcome>,
    errors: BTreeMap<QueueId, QueueErrors>,
}

/// Forecasts of a run, to be compared with its outcome.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunForecasts {
    at_start: Option<(Millis, Source)>,
    under_way: Option<(Millis, Source)>,
    own_progress: Option<Millis>,
}

fn step_id(key: &StepKey) -> StepId {
    StepId { job: key.job.clone(), occurrence: key.occurrence, step: key.step }
}

fn kind_of(record: &JobRecord, spec: &StepSpec) -> WorkKind {
    WorkKind { queue: record.queue.clone(), image: spec.image.clone() }
}

/// A run time on a worker of the given slowness.
pub(crate) fn on_worker(usual_ms: Millis, slowness: f64) -> Millis {
    Millis((usual_ms.0 as f64 * slowness) as u64)
}

fn push_bounded(window: &mut VecDeque<f64>, value: f64) {
    if window.len() >= ERROR_WINDOW {
        window.pop_front();
    }
    window.push_back(value);
}

/// Median in percent: 50 means that half of the forecasts are off by a factor of e^0.5 or more.
fn median_percent(window: &VecDeque<f64>) -> Option<u64> {
    let mut errors: Vec<f64> = window.iter().copied().collect();
    errors.sort_by(f64::total_cmp);
    errors.get(errors.len() / 2).map(|error| (error * 100.0).round() as u64)
}

impl Learning {
    pub(crate) fn new(decides: bool) -> Self {
        Self { decides, ..Self::default() }
    }

    /// Forecast for a step; none if nothing better than its declared run time is known.
    fn forecast(&self, record: &JobRecord, key: &StepKey, spec: &StepSpec) -> Option<Forecast> {
        if spec.long_running {
            return None;
        }
        let kind = kind_of(record, spec);
        let forecast = self.model.forecast(Some(&step_id(key)), &kind, spec.estimate_ms);
        (forecast.source != Source::Declared).then_some(forecast)
    }

    fn record_outcome(&mut self, queue: &QueueId, declared_ms: Millis, run: &Run, ran_ms: Millis) {
        let forecasts = &run.forecasts;
        let ran = ran_ms.0.max(1);
        let mut add = |evidence, forecast_ms: Millis| {
            let over_outcome_percent = forecast_ms.0.saturating_mul(100) / ran;
            if self.outcomes.len() < MAX_OUTCOMES {
                self.outcomes.push(ForecastOutcome { evidence, over_outcome_percent });
            }
            (forecast_ms.0.max(1) as f64 / ran as f64).ln().abs()
        };
        let errors = self.errors.entry(queue.clone()).or_default();
        let declared = add(Evidence::DeclaredTime, declared_ms);
        push_bounded(&mut errors.declared, declared);
        let at_start = forecasts
            .at_start
            .map_or(declared, |(forecast_ms, source)| add(Evidence::AtStart(source), forecast_ms));
        push_bounded(&mut errors.at_start, at_start);
        if let Some((forecast_ms, source)) = forecasts.under_way {
            let error = add(Evidence::UnderWay(source), forecast_ms);
            push_bounded(&mut errors.under_way, error);
        }
        if let Some(forecast_ms) = forecasts.own_progress {
            add(Evidence::OwnProgress, forecast_ms);
        }
    }

    fn log_errors(&self) {
        let (workers, steps, kinds) = self.model.counts();
        event!("run_times.learned", "workers" => workers, "steps" => steps, "kinds" => kinds);
        for (queue, errors) in self.errors.iter().take(MAX_LOGGED_QUEUES) {
            event!("run_times.errors", "queue" => queue.as_str(), "runs" => errors.declared.len(),
                "declared_percent" => median_percent(&errors.declared),
                "at_start_percent" => median_percent(&errors.at_start),
                "under_way_percent" => median_percent(&errors.under_way));
        }
    }
}

impl Cell {
    /// Work of the step of a run; none if its run time tells nothing, since it has no end of its own or
    /// uses only idle processor time.
    fn step_work(&self, key: &TaskKey) -> Option<StepWork> {
        let record = &self.jobs.get(&key.step.job)?.record;
        let spec = record.step(key)?;
        if spec.long_running || spec.uses_idle_cpu {
            return None;
        }
        Some(StepWork {
            id: step_id(&key.step),
            kind: kind_of(record, spec),
            service: Cell::queue_policy(&self.policy, record).service.clone(),
            declared_ms: spec.estimate_ms,
            // A gang runs and ends as one.
            tasks: if spec.gang { 1 } else { spec.tasks },
        })
    }

    fn is_gang(&self, key: &TaskKey) -> bool {
        let spec = self.jobs.get(&key.step.job).and_then(|job| job.record.step(key));
        spec.is_some_and(|spec| spec.gang)
    }

    /// Records the run time of a run that has ended.
    pub(crate) fn learn_end(&mut self, id: &WorkerId, end: &EndedRun, run: &Run, now: Millis) {
        if self.learning.is_none() || end.ending != Ending::Done || !run.is_whole() {
            return;
        }
        let Some(work) = self.step_work(&end.task) else { return };
        let gap_ms = self.workers.get(id).map_or(Millis(0), |worker| worker.answer_gap_ms);
        if gap_ms > self.settings.poll_wait_ms + MAX_ANSWER_DELAY_MS {
            return;
        }
        let ran_ms = now.since(run.started_ms);
        let is_gang = self.is_gang(&end.task);
        let task = if is_gang { 0 } else { end.task.index };
        let Some(learning) = &mut self.learning else { return };
        learning.record_outcome(&work.kind.queue, work.declared_ms, run, ran_ms);
        let ended = EndedRunTime { work, task, worker: id.clone(), ran_ms, tells_worker: !is_gang };
        learning.model.record_end(&ended, now);
    }

    /// Records the progress of a run, which has just changed.
    pub(crate) fn learn_progress(&mut self, id: &WorkerId, key: &TaskKey, now: Millis) {
        if self.learning.is_none() || !self.has_progressed(id, key) {
            return;
        }
        let Some(work) = self.step_work(key) else { return };
        let task = if self.is_gang(key) { 0 } else { key.index };
        let forecast = self.step(&key.step).and_then(|step| step.forecast);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let slowness = worker.slowness();
        let Some(run) = worker.runs.get_mut(key) else { return };
        if run.resends > 0 && run.progress_base == Some((0, run.started_ms)) {
            // It is not known which of the orders started it.
            run.progress_base = None;
        }
        let (base_percent, base_ms) = *run.progress_base.get_or_insert((run.percent, now));
        let percent = run.percent.saturating_sub(base_percent);
        let ran_ms = now.since(base_ms);
        if percent < run.learned_percent + PROGRESS_STEP {
            return;
        }
        run.learned_percent = percent;
        if percent >= MIN_OWN_PERCENT && run.is_whole() && run.forecasts.own_progress.is_none() {
            let whole_ms = Millis(ran_ms.0 * 100 / u64::from(percent));
            run.forecasts.own_progress = Some(whole_ms);
            if self.settings.decide_by_run_times {
                run.estimate_ms = whole_ms;
            }
            run.forecasts.under_way =
                forecast.map(|forecast| (on_worker(forecast.median_ms, slowness), forecast.source));
        }
        let progress = RunProgress { work, task, worker: id.clone(), percent, ran_ms };
        if let Some(learning) = &mut self.learning {
            learning.model.record_progress(&progress, now);
        }
    }

    /// Whether a run has made enough progress since it was last recorded.
    fn has_progressed(&self, id: &WorkerId, key: &TaskKey) -> bool {
        let run = self.workers.get(id).and_then(|worker| worker.runs.get(key));
        run.is_some_and(|run| match run.progress_base {
            Some((base, _)) => run.percent >= base + run.learned_percent + PROGRESS_STEP,
            None => true,
        })
    }

    /// Forgets what was learned of a worker that has restarted.
    pub(crate) fn forget_run_times_of(&mut self, id: &WorkerId) {
        let Some(learning) = &mut self.learning else { return };
        learning.model.forget_worker(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.learned_slowness = Some(1.0);
        }
    }

    /// Sets what is learned of a worker that has just become known.
    pub(crate) fn recall_worker(&mut self, id: &WorkerId) {
        let Some(learning) = &mut self.learning else { return };
        let Some(worker) = self.workers.get_mut(id) else { return };
        let restored = learning.restored_unix_ms;
        if restored > 0 && worker.incarnation_unix_ms > restored {
            // The former leader knew another incarnation.
            learning.model.forget_worker(id);
        }
        worker.learned_slowness = Some(learning.model.slowness(id));
    }

    /// Renews forecasts at intervals, and logs their errors.
    pub(crate) fn refresh_forecasts(&mut self, now: Millis) {
        let Some(learning) = &mut self.learning else { return };
        if now.since(learning.logged_ms) >= LOG_INTERVAL_MS {
            learning.logged_ms = now;
            learning.log_errors();
        }
        if now.since(learning.refreshed_ms) < REFRESH_MS {
            return;
        }
        learning.refreshed_ms = now;
        for (id, worker) in &mut self.workers {
            worker.learned_slowness = Some(learning.model.slowness(id));
        }
        let unix_ms = Millis(self.unix_ms(now));
        let policy = self.policy.clone();
        for id in &self.open_jobs {
            let (Some(job), Some(learning)) = (self.jobs.get_mut(id), &self.learning) else {
                continue;
            };
            learning.refresh_job(job, &self.workers, now);
            let Some(left) = job.running_path() else { continue };
            // A job without waiting steps is not ranked when others are placed.
            let Some(number) = job.open_occurrences.keys().next().copied() else { continue };
            let due_unix_ms = job.due_by(number, unix_ms);
            let queue = Cell::queue_policy(&policy, &job.record);
            job.outlook = rank(queue, due_unix_ms, &left, job.over_share, false, unix_ms).outlook;
        }
    }

    /// Makes the forecasts of a job that has just become known.
    pub(crate) fn forecast_job(&mut self, id: &types::JobId, now: Millis) {
        if let (Some(learning), Some(job)) = (&self.learning, self.jobs.get_mut(id)) {
            learning.refresh_job(job, &self.workers, now);
        }
    }

    /// Forecasts whose outcome has become known since the last call.
    pub fn take_forecast_outcomes(&mut self) -> Vec<ForecastOutcome> {
        self.learning.as_mut().map(|one| std::mem::take(&mut one.outcomes)).unwrap_or_default()
    }

    /// Whether run times are learned.
    pub fn learns_run_times(&self) -> bool {
        self.learning.is_some()
    }

    /// What the next leader is told of run times; none if they are not learned.
    pub fn run_times_summary(&self, now: Millis) -> Option<Summary> {
        self.learning.as_ref().map(|learning| learning.model.summary(self.unix_ms(now)))
    }

    /// Takes over what a former leader had learned. Returns whether it could be read.
    pub fn restore_run_times(&mut self, summary: &Summary) -> bool {
        let Some(learning) = &mut self.learning else { return false };
        if !summary.is_readable() {
            return false;
        }
        learning.model.restore(summary);
        learning.restored_unix_ms = summary.written_unix_ms;
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.recall_worker(&id);
        }
        true
    }
}

impl Learning {
    /// Renews the forecasts of a job's steps, and its critical path and the work left on it.
    fn refresh_job(&self, job: &mut Job, workers: &BTreeMap<WorkerId, Worker>, now: Millis) {
        let record = job.record.clone();
        let specs = &record.spec.steps;
        for (number, occurrence) in &mut job.open_occurrences {
            let mut is_learned = false;
            let mut sizes = Vec::with_capacity(specs.len());
            let mut left = Vec::with_capacity(specs.len());
            let mut high_left = Vec::with_capacity(specs.len());
            for (index, (step, spec)) in (0u16..).zip(occurrence.steps.iter_mut().zip(specs)) {
                let key = StepKey { job: record.id.clone(), occurrence: *number, step: index };
                // What was known of a step that is done stays: its runs are forgotten in time.
                if !step.is_done() || step.forecast.is_none() {
                    step.forecast = self.forecast(&record, &key, spec).or(step.forecast);
                }
                let declared = (spec.estimate_ms, spec.estimate_ms);
                let (size, high) = step
                    .forecast
                    .map_or(declared, |forecast| (forecast.median_ms, forecast.high_ms));
                is_learned |= step.forecast.is_some();
                sizes.push(size);
                if step.is_done() {
                    left.push(Millis(0));
                    high_left.push(Millis(0));
                    continue;
                }
                if step.waiting > 0 {
                    left.push(size);
                    high_left.push(high);
                    continue;
                }
                let runs_left = |usual_ms: Millis| {
                    let tasks = step.tasks.started().filter_map(|(index, task)| {
                        let Phase::Placed(worker) = &task.phase else { return None };
                        let worker = workers.get(worker)?;
                        let run = worker.runs.get(&TaskKey { step: key.clone(), index })?;
                        Some(run.left_ms(on_worker(usual_ms, worker.slowness()), now))
                    });
                    tasks.max().unwrap_or(usual_ms)
                };
                left.push(runs_left(size));
                high_left.push(runs_left(high));
            }
            occurrence.learned = (is_learned && self.decides).then(|| LearnedPath {
                critical_path_ms: chains(specs, &sizes).into_iter().max().unwrap_or_default(),
                left_from_ms: chains(specs, &left),
                high_left_from_ms: chains(specs, &high_left),
            });
        }
    }
}

impl Job {
    /// The path from a step by what is learned; `left_ms` is that by declared run times.
    pub(crate) fn path_from(&self, occurrence: u32, step: u16, left_ms: Millis) -> PathLeft {
        let declared =
            PathLeft { critical_path_ms: self.critical_path_ms, left_ms, high_left_ms: left_ms };
        let learned = self.open_occurrences.get(&occurrence).and_then(|one| one.learned.as_ref());
        learned.map_or(declared, |learned| {
            let from = |chains: &[Millis]| chains.get(usize::from(step)).copied();
            PathLeft {
                critical_path_ms: learned.critical_path_ms,
                left_ms: from(&learned.left_from_ms).unwrap_or(left_ms),
                high_left_ms: from(&learned.high_left_from_ms).unwrap_or(left_ms),
            }
        })
    }

    /// The path of a job all of whose tasks run or follow on some that do, by what is learned. None if
    /// nothing is learned or a step waits for workers.
    fn running_path(&self) -> Option<PathLeft> {
        if self.open_occurrences.len() != 1 {
            return None;
        }
        let occurrence = self.open_occurrences.values().next()?;
        let learned = occurrence.learned.as_ref()?;
        let done = |index: &u16| {
            occurrence.steps.get(usize::from(*index)).is_some_and(|step| step.is_done())
        };
        let waits = occurrence
            .steps
            .iter()
            .zip(&self.record.spec.steps)
            .any(|(step, spec)| step.waiting > 0 && spec.after.iter().all(done));
        let longest = |chains: &[Millis]| chains.iter().max().copied().unwrap_or_default();
        let is_long_running = self.record.spec.steps.iter().any(|spec| spec.long_running);
        (!waits && !is_long_running).then(|| PathLeft {
            critical_path_ms: learned.critical_path_ms,
            left_ms: longest(&learned.left_from_ms),
            high_left_ms: longest(&learned.high_left_from_ms),
        })
    }
}

impl Run {
    /// Whether its run time is that of the whole task, from a start at a known time.
    fn is_whole(&self) -> bool {
        self.from_start && self.resends == 0
    }

    /// Time that it is likely to run on, if it takes `whole_ms` from the start. Its own progress counts first.
    fn left_ms(&self, whole_ms: Millis, now: Millis) -> Millis {
        match self.progress_base {
            Some((base, base_ms)) if self.percent > base => {
                let shown_ms = self.progress_changed_ms.since(base_ms);
                let percent = u64::from(self.percent - base);
                let to_do = u64::from(100u32.saturating_sub(self.percent));
                Millis(shown_ms.0 * to_do / percent).since(now.since(self.progress_changed_ms))
            }
            _ => whole_ms.since(now.since(self.started_ms)),
        }
    }

    /// Keeps the forecast for the worker at the start of the run, to be compared with its outcome.
    pub(crate) fn expect(&mut self, forecast: Option<Forecast>, slowness: f64, decides: bool) {
        let Some(forecast) = forecast else { return };
        let expected_ms = on_worker(forecast.median_ms, slowness);
        if decides {
            self.estimate_ms = expected_ms;
        }
        self.forecasts.at_start = Some((expected_ms, forecast.source));
    }
}
