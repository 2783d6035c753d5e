//! The model: steps, workers and kinds of work.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use errors::Error;
use libs::compact_str::CompactString;
use types::{JobId, Millis, QueueId, WorkerId, stable_hash};

use crate::fleet::{Fleet, MAX_WORKERS, UNKNOWN_VARIANCE, WorkerState};
use crate::kind::{Kind, Line, UNKNOWN_WIDTH};
use crate::robust::Estimate;
use crate::step::{RUN_VARIANCE, Sample, StepState};
use crate::summary::{
    FORMAT, KindRow, MAX_KIND_ROWS, MAX_WORKER_ROWS, STEPS_PER_UNIT, Summary, WorkerRow,
};

/// Steps, jobs, kinds of work and services that are remembered.
const MAX_STEPS: usize = 4_000;
const MAX_JOBS: usize = 4_000;
const MAX_KINDS: usize = 2_000;
const MAX_SERVICES: usize = 64;
/// Steps of one job whose errors are remembered.
const MAX_JOB_STEPS: usize = 16;
/// Ended runs of a step that are judged at once, also while others run.
const MAX_UNJUDGED: u32 = 32;
/// Time after which ended runs are judged while others of the step still run.
const JUDGE_AFTER_MS: Millis = Millis(5_000);
/// Interval in which the usual worker and the kinds of workers are determined.
const REFRESH_MS: Millis = Millis(500);
/// Percent from which progress counts; below, rounding is a third of it and more.
const MIN_PERCENT: u32 = 3;
/// Distance of the 90th percentile from the median, in standard deviations.
const HIGH_DEVIATIONS: f64 = 1.2816;
/// Part of the errors of its job from which a forecast is said to stand on the job.
const MIN_SHARED: f64 = 0.3;
/// Bounds of a worker's slowness.
const MIN_SLOWNESS: f64 = 0.1;
const MAX_SLOWNESS: f64 = 10.0;
/// Longest run time that is forecast: 30 days.
const MAX_RUN_MS: f64 = 30.0 * 86_400_000.0;

/// A step of one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl FromStr for StepId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::Parse("step", text.to_owned());
        let mut parts = text.rsplitn(3, '.');
        let step = parts.next().and_then(|part| part.parse().ok()).ok_or_else(bad)?;
        let occurrence = parts.next().and_then(|part| part.parse().ok()).ok_or_else(bad)?;
        let job = parts.next().ok_or_else(bad)?.parse()?;
        Ok(Self { job, occurrence, step })
    }
}

/// Work whose run times are alike, but for what callers declare.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkKind {
    /// Queue of the job.
    pub queue: QueueId,
    /// Image that the tasks run.
    pub image: CompactString,
}

impl WorkKind {
    fn short_hash(&self) -> u32 {
        stable_hash(&[self.queue.as_str().as_bytes(), self.image.as_bytes()]) as u32
    }
}

/// What is known of a step before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepWork {
    /// The step.
    pub id: StepId,
    /// Its kind of work.
    pub kind: WorkKind,
    /// Service whose workers run it. Only workers of one service are compared.
    pub service: CompactString,
    /// Run time of a task as declared by the caller; 0 if it is not known.
    pub declared_ms: Millis,
    /// Number of tasks.
    pub tasks: u32,
}

/// A run that ended as done, from the start of its task to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRunTime {
    /// The step.
    pub work: StepWork,
    /// Index of the task.
    pub task: u32,
    /// Worker on which it ran.
    pub worker: WorkerId,
    /// Its run time.
    pub ran_ms: Millis,
    /// Its run time depends on its own worker only, which is not so for a member of a gang.
    pub tells_worker: bool,
}

/// Progress that a run has made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunProgress {
    /// The step.
    pub work: StepWork,
    /// Index of the task.
    pub task: u32,
    /// Worker on which it runs.
    pub worker: WorkerId,
    /// Part of the task done within `ran_ms`, in percent.
    pub percent: u32,
    /// Time in which it did so.
    pub ran_ms: Millis,
}

/// Evidence that a forecast stands on, from the weakest to the strongest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The declared run time alone.
    Declared,
    /// Ended steps of the same queue and image.
    Kind,
    /// Ended steps of the same job in addition.
    Job,
    /// Runs of the step that have ended or show progress.
    Step,
}

/// Forecast of a run time on a usual worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Median.
    pub median_ms: Millis,
    /// 90th percentile.
    pub high_ms: Millis,
    /// What it stands on.
    pub source: Source,
}

/// The model of run times.
#[derive(Debug, Default)]
pub struct RunTimes {
    services: BTreeMap<CompactString, usize>,
    fleets: Vec<Fleet>,
    steps: BTreeMap<StepId, StepState>,
    /// Steps in the order in which they became known.
    step_order: VecDeque<StepId>,
    /// Steps with ended runs that wait for others, by the time of the first.
    unjudged: VecDeque<(Millis, StepId)>,
    kinds: BTreeMap<WorkKind, Kind>,
    jobs: BTreeMap<JobId, Vec<(u32, u16, f64)>>,
    job_order: VecDeque<JobId>,
    restored_workers: HashMap<u32, WorkerRow>,
    restored_kinds: HashMap<u32, KindRow>,
    refreshed_ms: Millis,
    /// Counts what is recorded, to tell what was used last.
    clock: u64,
}

fn ln_ms(time_ms: Millis) -> f64 {
    (time_ms.0.max(1) as f64).ln()
}

fn declared_ln(declared_ms: Millis) -> Option<f64> {
    (declared_ms.0 > 0).then(|| ln_ms(declared_ms))
}

fn to_ms(ln: f64) -> Millis {
    Millis(ln.exp().clamp(1.0, MAX_RUN_MS) as u64)
}

fn short_hash(worker: &WorkerId) -> u32 {
    stable_hash(&[worker.as_str().as_bytes()]) as u32
}

impl From<&KindRow> for Line {
    fn from(row: &KindRow) -> Self {
        Self {
            declared: f64::from(row.declared),
            size: f64::from(row.size),
            slope: f64::from(row.slope_percent) / 100.0,
            width: f64::from(row.width_percent) / 100.0,
            steps: f64::from(row.steps),
        }
    }
}

impl RunTimes {
    /// Records a run that ended as done.
    pub fn record_end(&mut self, run: &EndedRunTime, now: Millis) {
        self.restore_worker(&run.worker, &run.work.service);
        let step = self.step_mut(&run.work);
        step.put(Sample {
            task: run.task,
            worker: run.worker.clone(),
            ln_ms: ln_ms(run.ran_ms),
            percent: 100,
            ended: true,
            tells_worker: run.tells_worker,
            judged: false,
        });
        step.ended += 1;
        step.unjudged += 1;
        if step.unjudged == 1 {
            step.first_unjudged_ms = now;
        }
        let is_first = step.unjudged == 1;
        if step.ended >= step.tasks || step.unjudged >= MAX_UNJUDGED {
            self.judge(&run.work.id);
        } else if is_first {
            self.unjudged.push_back((now, run.work.id.clone()));
        }
        self.refresh_if_due(now);
    }

    /// Records the progress of a run that has not ended.
    pub fn record_progress(&mut self, progress: &RunProgress, now: Millis) {
        if progress.percent >= MIN_PERCENT && progress.percent < 100 {
            let whole = ln_ms(progress.ran_ms) + (100.0 / f64::from(progress.percent)).ln();
            self.step_mut(&progress.work).put(Sample {
                task: progress.task,
                worker: progress.worker.clone(),
                ln_ms: whole,
                percent: progress.percent,
                ended: false,
                tells_worker: false,
                judged: false,
            });
        }
        self.refresh_if_due(now);
    }

    /// Forgets a worker, for instance since a new incarnation may be another machine.
    pub fn forget_worker(&mut self, worker: &WorkerId) {
        for fleet in &mut self.fleets {
            fleet.workers.remove(worker);
        }
        if !self.restored_workers.is_empty() {
            self.restored_workers.remove(&short_hash(worker));
        }
    }

    /// Run time on a worker over the run time on a usual one; 1.0 if it is not known.
    pub fn slowness(&self, worker: &WorkerId) -> f64 {
        let known = self
            .fleets
            .iter()
            .find_map(|fleet| fleet.slowness(worker).map(|value| value.mean + fleet.shift));
        let ln = known.or_else(|| {
            if self.restored_workers.is_empty() {
                return None;
            }
            self.restored_workers.get(&short_hash(worker)).map(row_slowness)
        });
        ln.unwrap_or(0.0).exp().clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Forecast of the run time of a task on a usual worker. `step` is the step that it belongs to, if
    /// there is one already.
    pub fn forecast(
        &self,
        step: Option<&StepId>,
        kind: &WorkKind,
        declared_ms: Millis,
    ) -> Forecast {
        let known = step.and_then(|id| self.steps.get(id));
        let service = known.and_then(|step| self.services.get(&step.service).copied());
        let service = service.or_else(|| self.kinds.get(kind).map(|kind| kind.service));
        let shift =
            service.and_then(|index| self.fleets.get(index)).map_or(0.0, |fleet| fleet.shift);
        let prior = self.prior(step, kind, declared_ln(declared_ms));
        let of_step = known.filter(|step| !step.samples.is_empty()).and_then(|step| {
            let prior = prior.map(|(prior, _)| prior).or_else(|| declared_prior(step.declared));
            let sizes = step.sizes(|worker| self.worker_estimate(&step.service, worker));
            step.size(&sizes, None, prior)
        });
        let (estimate, source) = match (of_step, prior) {
            (Some(size), _) => (size, Source::Step),
            (None, Some(prior)) => prior,
            (None, None) => {
                let high = HIGH_DEVIATIONS * UNKNOWN_WIDTH;
                let high_ms = to_ms(ln_ms(declared_ms) + high);
                return Forecast { median_ms: declared_ms, high_ms, source: Source::Declared };
            }
        };
        let deviation = (estimate.variance + RUN_VARIANCE).sqrt();
        Forecast {
            median_ms: to_ms(estimate.mean - shift),
            high_ms: to_ms(estimate.mean - shift + HIGH_DEVIATIONS * deviation),
            source,
        }
    }

    /// Number of workers, steps and kinds of work that are remembered.
    pub fn counts(&self) -> (usize, usize, usize) {
        let workers = self.fleets.iter().map(|fleet| fleet.workers.len()).sum();
        (workers, self.steps.len(), self.kinds.len())
    }

    /// Extract for the next leader.
    pub fn summary(&self, written_unix_ms: u64) -> Summary {
        let mut workers: Vec<(u64, WorkerRow)> = Vec::new();
        for fleet in &self.fleets {
            for (id, state) in &fleet.workers {
                let Some(value) = state.value else { continue };
                let steps = ((value.mean + fleet.shift) * STEPS_PER_UNIT).round();
                let row = WorkerRow {
                    id_hash: short_hash(id),
                    ln_slowness: steps.clamp(f64::from(i8::MIN), f64::from(i8::MAX)) as i8,
                    runs: state.run_count() as u8,
                };
                workers.push((state.last_used, row));
            }
        }
        // A leader whose term is short hands on what it was told.
        workers.extend(self.restored_workers.values().map(|row| (0, *row)));
        workers.sort_by_key(|(last_used, row)| (std::cmp::Reverse(*last_used), row.id_hash));
        workers.truncate(MAX_WORKER_ROWS);
        let mut kinds: Vec<(u64, KindRow)> = Vec::new();
        for (kind, state) in &self.kinds {
            let Some(line) = state.line() else { continue };
            let shift = self.fleets.get(state.service).map_or(0.0, |fleet| fleet.shift);
            let percent = |part: f64| (part * 100.0).round().clamp(0.0, 255.0) as u8;
            let row = KindRow {
                kind_hash: kind.short_hash(),
                declared: line.declared as f32,
                size: (line.size - shift) as f32,
                slope_percent: percent(line.slope),
                width_percent: percent(line.width),
                steps: line.steps.clamp(1.0, 255.0) as u8,
            };
            kinds.push((state.last_used, row));
        }
        kinds.extend(self.restored_kinds.values().map(|row| (0, *row)));
        kinds.sort_by_key(|(last_used, row)| (std::cmp::Reverse(*last_used), row.kind_hash));
        kinds.truncate(MAX_KIND_ROWS);
        Summary {
            format: FORMAT,
            written_unix_ms,
            workers: workers.into_iter().map(|(_, row)| row).collect(),
            kinds: kinds.into_iter().map(|(_, row)| row).collect(),
        }
    }

    /// Takes over what a former leader had learned. What was learned here counts first.
    pub fn restore(&mut self, summary: &Summary) {
        if !summary.is_readable() {
            return;
        }
        let known: Vec<u32> =
            self.fleets.iter().flat_map(|fleet| fleet.workers.keys().map(short_hash)).collect();
        self.restored_workers = summary.workers.iter().map(|row| (row.id_hash, *row)).collect();
        for hash in known {
            self.restored_workers.remove(&hash);
        }
        // Values from outside are bounded before they are used in sums.
        let usable = |row: &&KindRow| row.declared.is_finite() && row.size.is_finite();
        let rows = summary.kinds.iter().filter(usable);
        self.restored_kinds = rows.map(|row| (row.kind_hash, *row)).collect();
        for (kind, state) in &mut self.kinds {
            if let Some(row) = self.restored_kinds.remove(&kind.short_hash()) {
                state.restored = Some(Line::from(&row));
            }
        }
    }

    fn restore_worker(&mut self, worker: &WorkerId, service: &CompactString) {
        if self.restored_workers.is_empty() {
            return;
        }
        if let Some(row) = self.restored_workers.remove(&short_hash(worker)) {
            let clock = self.clock;
            let fleet = self.fleet_mut(service);
            let mut state = WorkerState::restored(row_slowness(&row), row.runs);
            state.last_used = clock;
            fleet.workers.entry(worker.clone()).or_insert(state);
        }
    }

    fn fleet_index(&mut self, service: &CompactString) -> usize {
        if let Some(index) = self.services.get(service) {
            return *index;
        }
        if self.fleets.len() >= MAX_SERVICES {
            return MAX_SERVICES - 1;
        }
        let index = self.fleets.len();
        self.fleets.push(Fleet::default());
        self.services.insert(service.clone(), index);
        index
    }

    fn fleet_mut(&mut self, service: &CompactString) -> &mut Fleet {
        let index = self.fleet_index(service);
        &mut self.fleets[index]
    }

    fn worker_estimate(&self, service: &CompactString, worker: &WorkerId) -> Estimate {
        let fleet = self.services.get(service).and_then(|index| self.fleets.get(*index));
        if let Some(value) = fleet.and_then(|fleet| fleet.slowness(worker)) {
            return value;
        }
        let shift = fleet.map_or(0.0, |fleet| fleet.shift);
        let restored = if self.restored_workers.is_empty() {
            None
        } else {
            self.restored_workers.get(&short_hash(worker))
        };
        match restored {
            Some(row) => Estimate::new(row_slowness(row) - shift, RUN_VARIANCE),
            None => Estimate::new(0.0, UNKNOWN_VARIANCE),
        }
    }

    fn step_mut(&mut self, work: &StepWork) -> &mut StepState {
        if !self.steps.contains_key(&work.id) {
            self.step_order.push_back(work.id.clone());
            if self.step_order.len() > MAX_STEPS
                && let Some(oldest) = self.step_order.pop_front()
            {
                self.steps.remove(&oldest);
            }
        }
        self.steps.entry(work.id.clone()).or_insert_with(|| StepState {
            kind: work.kind.clone(),
            service: work.service.clone(),
            declared: declared_ln(work.declared_ms),
            tasks: work.tasks,
            samples: Vec::new(),
            ended: 0,
            unjudged: 0,
            first_unjudged_ms: Millis(0),
            point: None,
        })
    }

    /// What the kind of work and the job let expect of a step.
    fn prior(
        &self,
        step: Option<&StepId>,
        kind: &WorkKind,
        declared: Option<f64>,
    ) -> Option<(Estimate, Source)> {
        let state = self.kinds.get(kind);
        let restored;
        let line = match state {
            Some(state) => state.line()?,
            None if self.restored_kinds.is_empty() => return None,
            None => {
                restored = Line::from(self.restored_kinds.get(&kind.short_hash())?);
                &restored
            }
        };
        let mut estimate = line.at(declared);
        let shared = state.map_or(0.0, Kind::shared_with_job);
        let Some(error) = step.and_then(|step| self.job_error(step)) else {
            return Some((estimate, Source::Kind));
        };
        estimate.mean += shared * error;
        estimate.variance *= 1.0 - shared * shared * 0.9;
        let source = if shared >= MIN_SHARED { Source::Job } else { Source::Kind };
        Some((estimate, source))
    }

    /// Mean error of the forecasts for the other steps of a job.
    fn job_error(&self, step: &StepId) -> Option<f64> {
        let of_job = self.jobs.get(&step.job)?;
        let others: Vec<f64> = of_job
            .iter()
            .filter(|(occurrence, index, _)| (*occurrence, *index) != (step.occurrence, step.step))
            .map(|(_, _, error)| *error)
            .collect();
        (!others.is_empty()).then(|| others.iter().sum::<f64>() / others.len() as f64)
    }

    /// Compares the ended runs of a step with each other, and its size with the declared one.
    fn judge(&mut self, id: &StepId) {
        let Some(mut step) = self.steps.remove(id) else { return };
        self.clock += 1;
        let service = step.service.clone();
        let index = self.fleet_index(&service);
        let prior = self.prior(Some(id), &step.kind, step.declared).map(|(prior, _)| prior);
        let prior = prior.or_else(|| declared_prior(step.declared));
        let sizes = step.sizes(|worker| self.worker_estimate(&service, worker));
        let mut runs: Vec<(WorkerId, Estimate)> = Vec::new();
        for (index, sample) in step.samples.iter().enumerate() {
            if !sample.ended || sample.judged || !sample.tells_worker {
                continue;
            }
            if let Some(size) = step.size(&sizes, Some(index), prior) {
                let run = Estimate::new(sample.ln_ms - size.mean, RUN_VARIANCE + size.variance);
                runs.push((sample.worker.clone(), run));
            }
        }
        let size = step.size(&sizes, None, None);
        for sample in step.samples.iter_mut().filter(|sample| sample.ended) {
            sample.judged = true;
        }
        step.unjudged = 0;
        if let Some(size) = size {
            self.record_size(id, &mut step, size.mean, index);
        }
        self.steps.insert(id.clone(), step);
        let clock = self.clock;
        let fleet = self.fleet_mut(&service);
        for (worker, run) in runs {
            fleet.record(&worker, run, clock);
        }
    }

    fn record_size(&mut self, id: &StepId, step: &mut StepState, size: f64, service: usize) {
        let earlier_error = self.job_error(id);
        let clock = self.clock;
        if !self.kinds.contains_key(&step.kind) {
            self.evict_kinds();
            let row = self.restored_kinds.remove(&step.kind.short_hash());
            let restored = row.as_ref().map(Line::from);
            self.kinds.insert(step.kind.clone(), Kind::with_former(restored));
        }
        let Some(kind) = self.kinds.get_mut(&step.kind) else { return };
        kind.service = service;
        kind.last_used = clock;
        let error = kind.line().map(|line| size - line.at(step.declared).mean);
        let is_first = step.point.is_none();
        step.point = Some(kind.record(step.point, step.declared, size));
        let Some(error) = error.filter(|_| is_first) else { return };
        if let Some(earlier_error) = earlier_error {
            kind.record_job(error, earlier_error);
        }
        if !self.jobs.contains_key(&id.job) {
            self.job_order.push_back(id.job.clone());
            if self.job_order.len() > MAX_JOBS
                && let Some(oldest) = self.job_order.pop_front()
            {
                self.jobs.remove(&oldest);
            }
        }
        let of_job = self.jobs.entry(id.job.clone()).or_default();
        if of_job.len() >= MAX_JOB_STEPS {
            of_job.remove(0);
        }
        of_job.push((id.occurrence, id.step, error));
    }

    fn evict_kinds(&mut self) {
        if self.kinds.len() < MAX_KINDS {
            return;
        }
        let mut used: Vec<u64> = self.kinds.values().map(|kind| kind.last_used).collect();
        used.sort_unstable();
        let before = used.get(used.len() / 4).copied().unwrap_or(0);
        self.kinds.retain(|_, kind| kind.last_used > before);
    }

    fn refresh_if_due(&mut self, now: Millis) {
        if now.since(self.refreshed_ms) < REFRESH_MS {
            return;
        }
        self.refreshed_ms = now;
        while let Some((first_ms, id)) = self.unjudged.front().cloned() {
            if now.since(first_ms) < JUDGE_AFTER_MS {
                break;
            }
            self.unjudged.pop_front();
            let waits = |step: &StepState| step.unjudged > 0 && step.first_unjudged_ms == first_ms;
            if self.steps.get(&id).is_some_and(waits) {
                self.judge(&id);
            }
        }
        let mut biases: Vec<Vec<Estimate>> = vec![Vec::new(); self.fleets.len()];
        for kind in self.kinds.values() {
            if let (Some(of_service), Some(bias)) = (biases.get_mut(kind.service), kind.bias()) {
                of_service.push(bias);
            }
        }
        for (fleet, biases) in self.fleets.iter_mut().zip(&biases) {
            fleet.refresh(biases);
        }
        self.evict_workers();
    }

    fn evict_workers(&mut self) {
        let all = || self.fleets.iter().flat_map(|fleet| fleet.workers.values());
        if all().count() <= MAX_WORKERS {
            return;
        }
        let mut used: Vec<u64> = all().map(|state| state.last_used).collect();
        used.sort_unstable();
        let before = used.get(used.len() / 4).copied().unwrap_or(0);
        for fleet in &mut self.fleets {
            fleet.evict(before);
        }
    }
}

fn row_slowness(row: &WorkerRow) -> f64 {
    f64::from(row.ln_slowness) / STEPS_PER_UNIT
}

/// The declared run time of a kind of work of which nothing is known.
fn declared_prior(declared: Option<f64>) -> Option<Estimate> {
    declared.map(|declared| Estimate::new(declared, UNKNOWN_WIDTH * UNKNOWN_WIDTH))
}
