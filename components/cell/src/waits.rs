//! Why tasks do not start although their turn has come.
//!
//! Load pattern: hundreds of steps wait on hundreds of workers for many seconds. A scan examines each
//! worker once, and lets few steps look for a worker; log lines are bounded, the rarer causes first.

use std::collections::{BTreeMap, BTreeSet};

use eventlog::event;
use libs::compact_str::CompactString;
use types::{Millis, Resources, WorkerId};

use crate::cell::{Cell, spec_of};
use crate::job::{Job, Phase, Step, Task};
use crate::model::{QueuePolicy, StepKey, StepSpec, TaskKey};
use crate::worker::Worker;

/// A task is reported once it has waited for this long.
const REPORTED_AFTER_MS: Millis = Millis(2_000);
/// Time between two scans.
const SCAN_PERIOD_MS: Millis = Millis(500);
/// Least time between two lines on a step.
const LOG_INTERVAL_MS: Millis = Millis(2_000);
/// Most lines of a scan.
const MAX_LINES: usize = 2;
/// Most steps of a scan that look for a worker; room for the others is not examined.
const MAX_SEARCHES: usize = 32;

/// Why a task does not start although the earlier steps of its job are done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// There is no configuration yet.
    NoConfiguration,
    /// The leader's lease does not allow it to start tasks of this job.
    NoLease,
    /// The requests to evacuate domains, or cancellations, could not be read in time.
    StartsHeld,
    /// Whatever a former leader may have started waits for a worker that this one has not seen, or for
    /// the list of workers (no `worker`).
    WorkerUnseen(HoldingWorker),
    /// The task may run on a worker that this leader has not seen.
    TaskUnseen(HoldingWorker),
    /// A run that the task does not need must end first.
    TaskRuns(HoldingWorker),
    /// A run of an earlier step that its task does not need must end first.
    EarlierStepRuns(HoldingWorker),
    /// The task has failed or was refused, and starts again later.
    BackOff {
        /// Time until then.
        for_ms: Millis,
    },
    /// A loss of the task, or that its start is announced, is not stored yet.
    NotStored,
    /// Another task of the step that may crash workers is on trial.
    OtherOnTrial,
    /// The limit of its team is used up.
    TeamLimit,
    /// A call for advice is in progress.
    AdvicePending,
    /// The advisor has allowed none of the workers that it was asked about.
    AdviceDenied {
        /// Number of workers that it has denied.
        denied: usize,
    },
    /// No ticket is valid, and none is asked for: no room to ask for, a pause after the last call, or no
    /// machine free to call.
    AdviceNotAsked,
    /// Workers with a ticket have no room.
    NoRoomWithTicket {
        /// Number of workers with a valid ticket.
        tickets: usize,
    },
    /// Room is only on workers that take no work now.
    WorkersUnavailable {
        /// One of them.
        worker: WorkerId,
        /// Why it takes no work.
        why: &'static str,
    },
    /// No worker has room.
    NoRoom,
    /// There is room, but it is kept for other work, or the task does not take it: a gang that finds no
    /// common rack, a last attempt, a suspect.
    Reserved,
}

/// A worker on which a run holds up a task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HoldingWorker {
    /// The worker; none if no worker is listed.
    pub worker: Option<WorkerId>,
    /// It is in the list of workers.
    pub listed: bool,
    /// Longest time for which it holds up the task unless it answers; none if it answers, or is not known.
    pub for_ms: Option<Millis>,
}

impl HoldingWorker {
    fn new(id: &WorkerId, worker: Option<&Worker>, now: Millis) -> Self {
        let Some(worker) = worker else { return Self::default() };
        let late_ms = if worker.listed { worker.late_starts_until_ms } else { Millis(0) };
        let until_ms = worker.leases_end_ms().max(late_ms);
        let answers = worker.attached && worker.reachable;
        let for_ms = (!answers).then(|| until_ms.since(now));
        Self { worker: Some(id.clone()), listed: worker.listed, for_ms }
    }
}

impl WaitReason {
    /// Name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration",
            Self::NoLease => "no lease",
            Self::StartsHeld => "starts held",
            Self::WorkerUnseen(_) => "worker unseen",
            Self::TaskUnseen(_) => "task may run unseen",
            Self::TaskRuns(_) => "a former run has not ended",
            Self::EarlierStepRuns(_) => "a run of an earlier step has not ended",
            Self::BackOff { .. } => "back-off",
            Self::NotStored => "loss not stored",
            Self::OtherOnTrial => "another task on trial",
            Self::TeamLimit => "limit of the team",
            Self::AdvicePending => "advice pending",
            Self::AdviceDenied { .. } => "advice denied",
            Self::AdviceNotAsked => "advice not asked for",
            Self::NoRoomWithTicket { .. } => "no room with a ticket",
            Self::WorkersUnavailable { .. } => "workers unavailable",
            Self::NoRoom => "no room",
            Self::Reserved => "room reserved",
        }
    }

    /// Whether a worker has no room, or the team no limit left: the usual causes under load.
    fn is_usual(&self) -> bool {
        matches!(self, Self::TeamLimit | Self::NoRoom | Self::NoRoomWithTicket { .. })
    }

    fn holding_worker(&self) -> Option<&HoldingWorker> {
        match self {
            Self::WorkerUnseen(holding)
            | Self::TaskUnseen(holding)
            | Self::TaskRuns(holding)
            | Self::EarlierStepRuns(holding) => Some(holding),
            _ => None,
        }
    }

    fn worker(&self) -> Option<&str> {
        let unavailable = match self {
            Self::WorkersUnavailable { worker, .. } => Some(worker),
            _ => self.holding_worker().and_then(|holding| holding.worker.as_ref()),
        };
        unavailable.map(WorkerId::as_str)
    }

    fn for_ms(&self) -> Option<Millis> {
        match self {
            Self::BackOff { for_ms } => Some(*for_ms),
            _ => self.holding_worker().and_then(|holding| holding.for_ms),
        }
    }

    /// What the reason says beyond the worker, as text.
    fn detail(&self) -> Option<String> {
        match self {
            Self::AdviceDenied { denied } => Some(format!("{denied} workers denied")),
            Self::NoRoomWithTicket { tickets } => Some(format!("{tickets} tickets")),
            Self::WorkersUnavailable { why, .. } => Some((*why).to_owned()),
            _ => None,
        }
    }
}

/// Tasks of one step that wait for one reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTasks {
    /// The step.
    pub step: StepKey,
    /// The one of them with the lowest index.
    pub index: u32,
    /// Their number.
    pub tasks: u64,
    /// Longest time for which one of them has waited in this term.
    pub waited_ms: Millis,
    /// Why they wait.
    pub reason: WaitReason,
}

/// Tasks that have waited for over 2 s in the last scan, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitCounts {
    /// There is no configuration.
    pub no_configuration: u64,
    /// The leader may not start them.
    pub not_permitted: u64,
    /// A run must end first, or a worker be seen.
    pub held: u64,
    /// They start again later, or once their losses are stored.
    pub back_off: u64,
    /// The limit of the team is used up.
    pub team_limit: u64,
    /// They wait for the advisor.
    pub advice: u64,
    /// No worker that takes work has room for them.
    pub no_room: u64,
}

impl WaitCounts {
    fn add(&mut self, waiting: &WaitingTasks) {
        let count = match waiting.reason {
            WaitReason::NoConfiguration => &mut self.no_configuration,
            WaitReason::NoLease | WaitReason::StartsHeld => &mut self.not_permitted,
            WaitReason::WorkerUnseen(_)
            | WaitReason::TaskUnseen(_)
            | WaitReason::TaskRuns(_)
            | WaitReason::EarlierStepRuns(_) => &mut self.held,
            WaitReason::BackOff { .. } | WaitReason::NotStored | WaitReason::OtherOnTrial => {
                &mut self.back_off
            }
            WaitReason::TeamLimit => &mut self.team_limit,
            WaitReason::AdvicePending
            | WaitReason::AdviceDenied { .. }
            | WaitReason::AdviceNotAsked => &mut self.advice,
            WaitReason::NoRoomWithTicket { .. }
            | WaitReason::WorkersUnavailable { .. }
            | WaitReason::NoRoom
            | WaitReason::Reserved => &mut self.no_room,
        };
        *count += waiting.tasks;
    }
}

/// Result of the last scan.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    scanned_ms: Millis,
    tasks: Vec<WaitingTasks>,
    counts: WaitCounts,
}

/// What the steps of one scan share.
struct Scan<'a> {
    now: Millis,
    /// Unseen workers that may run any task that was started, and the one that may do so longest.
    unseen: Option<HoldingWorker>,
    /// Tasks that may run on unseen workers.
    named: BTreeMap<&'a TaskKey, &'a WorkerId>,
    /// Tasks with runs that they do not need.
    strays: BTreeMap<&'a TaskKey, &'a WorkerId>,
    /// For each service and resource, the most that any worker has free that takes work, and that any
    /// other one in service has.
    largest: BTreeMap<&'a CompactString, (Resources, Resources)>,
    searches_left: usize,
}

/// Tasks of a step that wait for one reason, while they are counted.
struct Group {
    reason: WaitReason,
    tasks: u64,
    index: u32,
    since_ms: Millis,
}

fn add_to_groups(groups: &mut Vec<Group>, one: Group) {
    let same = |group: &&mut Group| group.reason.name() == one.reason.name();
    match groups.iter_mut().find(same) {
        Some(group) => {
            group.tasks += one.tasks;
            group.index = group.index.min(one.index);
            group.since_ms = group.since_ms.min(one.since_ms);
        }
        None => groups.push(one),
    }
}

impl Cell {
    /// Tasks that had waited for over 2 s in the last scan although their turn had come. There are two
    /// scans a second; a new leader counts the time from its election.
    pub fn waiting_tasks(&self) -> &[WaitingTasks] {
        &self.waits.tasks
    }

    /// The same by reason.
    pub fn wait_counts(&self) -> WaitCounts {
        self.waits.counts
    }

    /// Finds out why tasks wait, and logs it. Does nothing until the next scan is due.
    pub(crate) fn scan_waits(&mut self, now: Millis) {
        if now < self.waits.scanned_ms + SCAN_PERIOD_MS {
            return;
        }
        let steps = self.note_waiting(now);
        let mut tasks = Vec::new();
        if !steps.is_empty() {
            let mut scan = self.begin_scan(now);
            for key in &steps {
                tasks.extend(self.waits_of(key, &mut scan));
            }
        }
        let mut counts = WaitCounts::default();
        tasks.iter().for_each(|waiting| counts.add(waiting));
        self.waits = Waits { scanned_ms: now, tasks, counts };
        self.log_waits(now);
    }

    /// Notes since when tasks wait. Returns the steps with a task that has waited for long.
    fn note_waiting(&mut self, now: Millis) -> Vec<StepKey> {
        let mut long = Vec::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let record = job.record.clone();
            for (number, occurrence) in &mut job.open_occurrences {
                let done: Vec<bool> = occurrence.steps.iter().map(Step::is_done).collect();
                let steps = occurrence.steps.iter_mut().zip(&record.spec.steps);
                for (index, (step, spec)) in (0u16..).zip(steps) {
                    let is_done = |one: &u16| done.get(usize::from(*one)) == Some(&true);
                    if step.waiting == 0 || !spec.after.iter().all(is_done) {
                        continue;
                    }
                    let first_ms = step.note_waiting(now);
                    if now.since(first_ms) >= REPORTED_AFTER_MS {
                        long.push(StepKey { job: id.clone(), occurrence: *number, step: index });
                    }
                }
            }
        }
        long
    }

    fn begin_scan(&self, now: Millis) -> Scan<'_> {
        let mut scan = Scan {
            now,
            unseen: None,
            named: BTreeMap::new(),
            strays: self.stray_runs.iter().map(|(task, worker)| (task, worker)).collect(),
            largest: BTreeMap::new(),
            searches_left: MAX_SEARCHES,
        };
        if self.recovering && self.workers.is_empty() {
            scan.unseen = Some(HoldingWorker::default());
        }
        for (id, worker) in &self.workers {
            if self.recovering && worker.may_run_unseen(now) {
                match &worker.former_tasks {
                    Some(tasks) => scan.named.extend(tasks.iter().map(|task| (task, id))),
                    None => scan.hold_for_unseen(HoldingWorker::new(id, Some(worker), now)),
                }
            }
            if worker.is_in_service() {
                let largest = scan.largest.entry(&worker.report.service).or_default();
                let takes_work = worker.accepts_any(now);
                let largest = if takes_work { &mut largest.0 } else { &mut largest.1 };
                *largest = largest_of(largest, &worker.free());
            }
        }
        scan
    }

    /// Why tasks of a step wait, by reason.
    fn waits_of(&self, key: &StepKey, scan: &mut Scan<'_>) -> Vec<WaitingTasks> {
        let now = scan.now;
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let Some(step) = job.step(key.occurrence, key.step) else { return Vec::new() };
        let Some(spec) = spec_of(&self.jobs, key) else { return Vec::new() };
        let of_all = self.reason_of_step(job, key, step, spec, scan);
        let mut shared = of_all.clone();
        let mut groups = Vec::new();
        let mut add = |index, since_ms, tasks, own: Option<WaitReason>, scan: &mut Scan<'_>| {
            let reason = of_all.clone().or(own).unwrap_or_else(|| {
                shared
                    .get_or_insert_with(|| self.reason_by_room(job, key, step, spec, scan))
                    .clone()
            });
            add_to_groups(&mut groups, Group { reason, tasks, index, since_ms });
        };
        let mut started = BTreeSet::new();
        for (index, task) in step.tasks.started() {
            started.insert(index);
            let since_ms = task.waits_since_ms.unwrap_or(now);
            if task.phase == Phase::Waiting && now.since(since_ms) >= REPORTED_AFTER_MS {
                let own = self.reason_of_task(key, index, Some(task), scan);
                add(index, since_ms, 1, own, scan);
            }
        }
        let since_ms = step.waits_since_ms.unwrap_or(now);
        let mut unstarted = step.unstarted_waiting();
        if now.since(since_ms) >= REPORTED_AFTER_MS && unstarted > 0 {
            let first = TaskKey { step: key.clone(), index: 0 };
            let named: Vec<u32> = scan
                .named
                .range::<&TaskKey, _>(&first..)
                .take_while(|(task, _)| task.step == *key)
                .map(|(task, _)| task.index)
                .filter(|index| !started.contains(index) && step.is_waiting(*index))
                .collect();
            for index in &named {
                let own = self.reason_of_task(key, *index, None, scan);
                add(*index, since_ms, 1, own, scan);
                unstarted = unstarted.saturating_sub(1);
            }
            if unstarted > 0 {
                let index = step.first_unstarted(|index| !named.contains(&index));
                add(index.unwrap_or_default(), since_ms, u64::from(unstarted), None, scan);
            }
        }
        let waiting = |group: Group| WaitingTasks {
            step: key.clone(),
            index: group.index,
            tasks: group.tasks,
            waited_ms: now.since(group.since_ms),
            reason: group.reason,
        };
        groups.into_iter().map(waiting).collect()
    }

    /// Why no task of a step may start, if so.
    fn reason_of_step(
        &self,
        job: &Job,
        key: &StepKey,
        step: &Step,
        spec: &StepSpec,
        scan: &Scan<'_>,
    ) -> Option<WaitReason> {
        if !self.policy_known {
            return Some(WaitReason::NoConfiguration);
        }
        if !self.start_permission.allows_job(job.known_ms) {
            return Some(WaitReason::NoLease);
        }
        if self.holds_starts {
            return Some(WaitReason::StartsHeld);
        }
        let earlier = spec.after.iter().find_map(|step| {
            let step = StepKey { step: *step, ..key.clone() };
            let first = TaskKey { step: step.clone(), index: 0 };
            let (task, worker) = scan.strays.range::<&TaskKey, _>(&first..).next()?;
            (task.step == step).then_some(*worker)
        });
        if let Some(worker) = earlier {
            return Some(WaitReason::EarlierStepRuns(self.holding_worker(worker, scan.now)));
        }
        if let Some(unseen) = scan.unseen.as_ref().filter(|_| job.inherited && !step.never_started)
        {
            return Some(WaitReason::WorkerUnseen(unseen.clone()));
        }
        if !spec.gang {
            return None;
        }
        // A gang starts as a whole.
        let indexes = 0..step.tasks.len() as u32;
        indexes.into_iter().find_map(|index| {
            let task = step.tasks.get(index).filter(|task| task.phase == Phase::Waiting);
            task.and_then(|task| self.reason_of_task(key, index, Some(task), scan))
        })
    }

    fn holding_worker(&self, id: &WorkerId, now: Millis) -> HoldingWorker {
        HoldingWorker::new(id, self.workers.get(id), now)
    }

    /// Why a task may not start by itself, whatever room there is.
    fn reason_of_task(
        &self,
        step: &StepKey,
        index: u32,
        task: Option<&Task>,
        scan: &Scan<'_>,
    ) -> Option<WaitReason> {
        let now = scan.now;
        let key = TaskKey { step: step.clone(), index };
        if let Some(worker) = scan.strays.get(&key) {
            return Some(WaitReason::TaskRuns(self.holding_worker(worker, now)));
        }
        if let Some(worker) = scan.named.get(&key) {
            return Some(WaitReason::TaskUnseen(self.holding_worker(worker, now)));
        }
        let task = task?;
        if task.not_before_ms > now {
            return Some(WaitReason::BackOff { for_ms: task.not_before_ms.since(now) });
        }
        if task.losses.is_empty() {
            return None;
        }
        if !self.dirty.is_stored(&step.job) {
            return Some(WaitReason::NotStored);
        }
        let mut startable = vec![index];
        let state = self.step(step)?;
        state.retain_startable(&mut startable, true, false);
        startable.is_empty().then_some(WaitReason::OtherOnTrial)
    }

    /// Why a task that may start finds no worker.
    fn reason_by_room(
        &self,
        job: &Job,
        key: &StepKey,
        step: &Step,
        spec: &StepSpec,
        scan: &mut Scan<'_>,
    ) -> WaitReason {
        let now = scan.now;
        let queue = Cell::queue_policy(&self.policy, &job.record);
        let wanted = if spec.gang { step.tasks.len() as u64 } else { 1 };
        if self.team_slots(key, spec) < wanted {
            return WaitReason::TeamLimit;
        }
        let charge = spec.charge();
        let (largest, unavailable) = scan.largest.get(&queue.service).copied().unwrap_or_default();
        if !largest.covers(&charge) {
            let found = unavailable.covers(&charge).then(|| scan.searches_left.checked_sub(1));
            let Some(Some(left)) = found else { return WaitReason::NoRoom };
            scan.searches_left = left;
            return self.unavailable_worker(queue, spec, now).unwrap_or(WaitReason::NoRoom);
        }
        let Some(left) = scan.searches_left.checked_sub(1) else { return WaitReason::NoRoom };
        scan.searches_left = left;
        let has_room = |ids: &mut dyn Iterator<Item = (&WorkerId, &Worker)>| {
            let mut slots = 0u64;
            ids.filter(|(_, worker)| worker.accepts(queue, spec, now)).any(|(_, worker)| {
                slots = slots.saturating_add(worker.slots(key, spec));
                slots >= wanted
            })
        };
        if !has_room(&mut self.workers.iter()) {
            return self.unavailable_worker(queue, spec, now).unwrap_or(WaitReason::NoRoom);
        }
        if queue.advice.is_none() {
            return WaitReason::Reserved;
        }
        let tickets = || {
            let allowed = step.advice.allowed_workers();
            let known = allowed.filter_map(|id| self.workers.get_key_value(id));
            known.filter(|(id, worker)| {
                step.advice.ticket(id, worker.incarnation_unix_ms, now).is_some()
            })
        };
        if has_room(&mut tickets()) {
            return WaitReason::Reserved;
        }
        if step.advice.call_pending() {
            return WaitReason::AdvicePending;
        }
        let is_denied = |(id, worker): &(&WorkerId, &Worker)| {
            step.advice.is_denied(id, worker.incarnation_unix_ms)
        };
        let denied = self.workers.iter().filter(is_denied).count();
        match (tickets().count(), denied) {
            (0, 0) => WaitReason::AdviceNotAsked,
            (0, denied) if step.advice.allowed_count() == 0 => WaitReason::AdviceDenied { denied },
            (0, _) => WaitReason::AdviceNotAsked,
            (tickets, _) => WaitReason::NoRoomWithTicket { tickets },
        }
    }

    /// A worker with room that takes no work now.
    fn unavailable_worker(
        &self,
        queue: &QueuePolicy,
        spec: &StepSpec,
        now: Millis,
    ) -> Option<WaitReason> {
        let charge = spec.charge();
        let has_room = |worker: &Worker| {
            worker.is_in_service()
                && worker.report.service == queue.service
                && spec.label.as_ref().is_none_or(|label| worker.report.labels.contains(label))
                && worker.free().covers(&charge)
        };
        let mut found = self.workers.iter().filter(|(_, worker)| has_room(worker));
        found.find_map(|(id, worker)| {
            let why = worker.why_no_work(now)?;
            Some(WaitReason::WorkersUnavailable { worker: id.clone(), why })
        })
    }

    /// Logs a line for the steps that were not logged for longest, those with unusual reasons first.
    fn log_waits(&mut self, now: Millis) {
        let mut due: BTreeMap<&StepKey, (bool, Millis, &WaitingTasks)> = BTreeMap::new();
        for waiting in &self.waits.tasks {
            let Some(step) = self.step(&waiting.step) else { continue };
            let logged_ms = step.wait_logged_ms;
            if logged_ms.is_some_and(|logged_ms| now.since(logged_ms) < LOG_INTERVAL_MS) {
                continue;
            }
            let one = (waiting.reason.is_usual(), logged_ms.unwrap_or_default(), waiting);
            let line = due.entry(&waiting.step).or_insert(one);
            if line.0 && !one.0 {
                *line = one;
            }
        }
        let mut due: Vec<_> = due.into_values().collect();
        due.sort_by_key(|(is_usual, logged_ms, waiting)| {
            (*is_usual, *logged_ms, std::cmp::Reverse(waiting.waited_ms))
        });
        let steps = due.len();
        due.truncate(MAX_LINES);
        for (_, _, waiting) in &due {
            let reason = &waiting.reason;
            event!("task.waiting", "job" => waiting.step.job.as_str(),
                "step" => waiting.step.to_string(), "index" => waiting.index,
                "tasks" => waiting.tasks, "waited_ms" => waiting.waited_ms.0,
                "reason" => reason.name(), "worker" => reason.worker(),
                "listed" => reason.holding_worker().map(|holding| holding.listed),
                "for_ms" => reason.for_ms().map(|for_ms| for_ms.0),
                "detail" => reason.detail(), "epoch" => self.epoch,
                "steps_left_out" => steps.saturating_sub(MAX_LINES));
        }
        let logged: Vec<StepKey> =
            due.into_iter().map(|(_, _, waiting)| waiting.step.clone()).collect();
        for key in logged {
            if let Some(step) = self.step_mut(&key) {
                step.wait_logged_ms = Some(now);
            }
        }
    }
}

impl Scan<'_> {
    fn hold_for_unseen(&mut self, worker: HoldingWorker) {
        if self.unseen.as_ref().is_none_or(|longest| longest.for_ms < worker.for_ms) {
            self.unseen = Some(worker);
        }
    }
}

impl Step {
    /// Notes since when its tasks wait. Returns since when the first one does.
    fn note_waiting(&mut self, now: Millis) -> Millis {
        let mut first_ms = *self.waits_since_ms.get_or_insert(now);
        if self.unstarted_waiting() == 0 {
            first_ms = now;
        }
        for task in self.tasks.started_mut().filter(|task| task.phase == Phase::Waiting) {
            first_ms = first_ms.min(*task.waits_since_ms.get_or_insert(now));
        }
        first_ms
    }

    fn is_waiting(&self, index: u32) -> bool {
        self.tasks.get(index).is_some_and(|task| task.phase == Phase::Waiting)
    }

    /// Number of waiting tasks that have not started in this term and whose state is not known.
    fn unstarted_waiting(&self) -> u32 {
        let is_waiting = |(_, task): &(u32, &Task)| task.phase == Phase::Waiting;
        self.waiting.saturating_sub(self.tasks.started().filter(is_waiting).count() as u32)
    }

    fn first_unstarted(&self, is_counted: impl Fn(u32) -> bool) -> Option<u32> {
        let mut started = self.tasks.started().map(|(index, _)| index).peekable();
        (0..self.tasks.len() as u32).find(|index| {
            while started.next_if(|one| one < index).is_some() {}
            started.peek() != Some(index) && self.is_waiting(*index) && is_counted(*index)
        })
    }
}

impl Worker {
    /// Why a worker in service takes no work now; none if it does.
    fn why_no_work(&self, now: Millis) -> Option<&'static str> {
        if !self.attached {
            Some("not seen yet")
        } else if !self.reachable {
            Some("silent")
        } else if self.reported_silent || self.named_tasks.is_some() {
            Some("named in the stored roster")
        } else if self.health.in_backoff(now) {
            Some("back-off after failures")
        } else if self.trial.is_some() {
            Some("reserved for a trial")
        } else if !self.accepts_any(now) {
            Some("entry of another incarnation")
        } else {
            None
        }
    }
}

fn largest_of(left: &Resources, right: &Resources) -> Resources {
    Resources {
        cpu_milli: left.cpu_milli.max(right.cpu_milli),
        mem_mb: left.mem_mb.max(right.mem_mb),
        accels: left.accels.max(right.accels),
    }
}
