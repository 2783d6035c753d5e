//! Invariants that hold at all times, and conditions that hold at the end.

use std::collections::BTreeMap;

use standin::{RunKind, RunRecord};
use types::{JobCommand, Outcome};

use super::{CallerState, Simulation};

/// Time within which a lowered limit must be enforced.
const LIMIT_GRACE_MS: u64 = 4_000;
/// Cores of a task, by the prefix of its job id.
fn cores_of(run: &RunRecord) -> u64 {
    let job = run.id.split(':').nth(1).unwrap_or_default();
    if job.starts_with('b') { 3 } else { 2 }
}

impl Simulation {
    /// Checks the invariants that hold at all times.
    pub(super) fn check_always(&self) {
        let overcommits = self.run_log.overcommits();
        assert!(
            overcommits.is_empty(),
            "workers overcommitted: {overcommits:?}\n{}",
            self.log_tail()
        );
        let running: Vec<RunRecord> =
            self.run_log.runs().into_iter().filter(|run| run.ended_ms.is_none()).collect();
        let mut by_id: BTreeMap<&str, &RunRecord> = BTreeMap::new();
        for run in &running {
            if let Some(other) = by_id.insert(&run.id, run) {
                panic!("{} runs in two places: {other:?} and {run:?}\n{}", run.id, self.log_tail());
            }
        }
        self.check_limit(&running);
    }

    fn check_limit(&self, running: &[RunRecord]) {
        let limit = self.rules.limit(&"mill".parse().unwrap()).unwrap();
        let recent = self.limit_changes.iter().filter(|(at, _)| self.now < at + LIMIT_GRACE_MS);
        let before = recent.map(|(_, before)| *before).max().unwrap_or(0);
        let allowed_cores = before.max(limit.resources.cpu_milli) / 1000;
        let tasks = running.iter().filter(|run| run.kind == RunKind::Task);
        let cores: u64 = tasks.map(cores_of).sum();
        assert!(
            cores <= allowed_cores,
            "{cores} cores run, {allowed_cores} are allowed: {running:?}\n{}",
            self.log_tail()
        );
        let slots = running.iter().filter(|run| run.kind == RunKind::Request).count() as u64;
        assert!(
            slots <= limit.slots,
            "{slots} slots are used, {} are allowed\n{}",
            limit.slots,
            self.log_tail()
        );
    }

    /// Compares the outcome that a caller receives with the runs recorded by the stand-ins.
    pub(super) fn check_outcome(&self, caller: usize, outcome: &Outcome) {
        let caller = &self.callers[caller];
        let Some(incoming) = &caller.incoming else { return };
        let runs: Vec<RunRecord> =
            self.run_log.runs().into_iter().filter(|run| run.id == incoming.id.as_str()).collect();
        let since = runs.iter().filter(|run| run.started_ms >= caller.started_at).count();
        match outcome {
            Outcome::Ran(answer) => {
                assert_eq!(
                    answer.body,
                    incoming.id.as_str().as_bytes(),
                    "the answer of another request"
                );
                assert!(
                    runs.iter().any(|run| run.completed),
                    "told that it ran: {}\n{}",
                    incoming.id,
                    self.log_tail()
                );
            }
            Outcome::NotRun { .. } if !incoming.has_caller_id => {
                assert_eq!(
                    since,
                    0,
                    "told that {} did not run, but it did: {runs:?}\n{}",
                    incoming.id,
                    self.log_tail()
                );
            }
            _ => {}
        }
    }

    /// Checks the conditions that hold once all faults are healed and all work has had time to end.
    pub fn check_end(&self) {
        assert!(self.owner().is_some(), "the pool has no owner\n{}", self.log_tail());
        for caller in &self.callers {
            assert_ne!(
                caller.state,
                CallerState::Waiting,
                "a caller waits forever\n{}",
                self.log_tail()
            );
        }
        self.check_non_idempotent();
        self.check_jobs();
    }

    fn check_non_idempotent(&self) {
        let runs = self.run_log.runs();
        let mut started: BTreeMap<&str, usize> = BTreeMap::new();
        for run in &runs {
            *started.entry(&run.id).or_default() += 1;
        }
        for incoming in self.callers.iter().filter_map(|caller| caller.incoming.as_ref()) {
            let count = started.get(incoming.id.as_str()).copied().unwrap_or(0);
            assert!(
                incoming.idempotent || count <= 1,
                "{} ran {count} times\n{}",
                incoming.id,
                self.log_tail()
            );
        }
        for (job, idempotent) in &self.accepted {
            let prefix = format!("{job}/");
            let repeated =
                started.iter().find(|(id, count)| id.starts_with(&prefix) && **count > 1);
            assert!(
                *idempotent || repeated.is_none(),
                "a non-idempotent task ran twice: {repeated:?}\n{}",
                self.log_tail()
            );
        }
    }

    /// Checks that every task of every accepted job has completed, except for non-idempotent jobs
    /// and jobs that a caller asked to cancel, and that no task of a cancelled job runs.
    fn check_jobs(&self) {
        let runs = self.run_log.runs();
        let cancel_requested = |job: &str| {
            self.callers.iter().any(|caller| match &caller.command {
                Some(JobCommand::Cancel(id, _)) => id.as_str() == job,
                _ => false,
            })
        };
        for (job, idempotent) in &self.accepted {
            if cancel_requested(job) || !*idempotent {
                continue;
            }
            let tasks = self.callers.iter().find_map(|caller| match &caller.command {
                Some(JobCommand::Submit(spec)) if spec.id.as_str() == job => Some(spec.tasks),
                _ => None,
            });
            for index in 0..tasks.unwrap_or(0) {
                let id = format!("{job}/{index}");
                let done = runs.iter().any(|run| run.id == id && run.completed);
                assert!(done, "task {id} of an accepted job was lost\n{}", self.log_tail());
            }
        }
        for job in &self.cancelled {
            let prefix = format!("{job}/");
            let runs_on =
                runs.iter().any(|run| run.id.starts_with(&prefix) && run.ended_ms.is_none());
            assert!(!runs_on, "cancelled job {job} still runs\n{}", self.log_tail());
        }
    }

    /// The end of the log, for failure messages. `CAROBSILL_LOG_LINES` sets the number of lines.
    pub fn log_tail(&self) -> String {
        let lines = std::env::var("CAROBSILL_LOG_LINES")
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(100);
        let from = self.log.len().saturating_sub(lines);
        self.log[from..].join("\n")
    }
}
