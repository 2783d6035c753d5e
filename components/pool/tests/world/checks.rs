//! What must hold at every moment, and what must hold at the end.

use std::collections::BTreeMap;

use standin::{Run, RunKind};
use types::{JobCommand, Outcome};

use super::{CallerEnd, World};

/// Time within which a lowered limit must be kept.
const LIMIT_GRACE: u64 = 4_000;
/// Cores granted to a task in these schedules, by the prefix of its job.
fn cores_of(run: &Run) -> u64 {
    let job = run.id.split(':').nth(1).unwrap_or_default();
    if job.starts_with('b') { 3 } else { 2 }
}

impl World {
    /// Checks that hold at every moment.
    pub(super) fn check_always(&self) {
        let overfills = self.truth.overfills();
        assert!(overfills.is_empty(), "workers overfilled: {overfills:?}\n{}", self.tail());
        let running: Vec<Run> =
            self.truth.runs().into_iter().filter(|run| run.ended_ms.is_none()).collect();
        let mut places: BTreeMap<&str, &Run> = BTreeMap::new();
        for run in &running {
            if let Some(other) = places.insert(&run.id, run) {
                panic!("{} runs in two places: {other:?} and {run:?}\n{}", run.id, self.tail());
            }
        }
        self.check_limit(&running);
    }

    fn check_limit(&self, running: &[Run]) {
        let limit = self.rules.limit(&"mill".parse().unwrap()).unwrap();
        let lately = self.limit_changes.iter().filter(|(at, _)| self.now < at + LIMIT_GRACE);
        let before = lately.map(|(_, before)| *before).max().unwrap_or(0);
        let allowed_cores = before.max(limit.resources.cpu_milli) / 1000;
        let tasks = running.iter().filter(|run| run.kind == RunKind::Task);
        let cores: u64 = tasks.map(cores_of).sum();
        assert!(
            cores <= allowed_cores,
            "{cores} cores run, {allowed_cores} are allowed: {running:?}\n{}",
            self.tail()
        );
        let slots = running.iter().filter(|run| run.kind == RunKind::Request).count() as u64;
        assert!(
            slots <= limit.slots,
            "{slots} slots are used, {} are allowed\n{}",
            limit.slots,
            self.tail()
        );
    }

    /// Compares what a caller is told with the truth.
    pub(super) fn check_told(&self, caller: usize, outcome: &Outcome) {
        let caller = &self.callers[caller];
        let Some(incoming) = &caller.incoming else { return };
        let runs: Vec<Run> =
            self.truth.runs().into_iter().filter(|run| run.id == incoming.id.as_str()).collect();
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
                    self.tail()
                );
            }
            Outcome::NotRun { .. } if !incoming.id_is_callers => {
                assert_eq!(
                    since,
                    0,
                    "told that {} did not run, but it did: {runs:?}\n{}",
                    incoming.id,
                    self.tail()
                );
            }
            _ => {}
        }
    }

    /// Checks that hold after all faults are healed and enough time has passed.
    pub fn check_end(&self) {
        assert!(self.owner().is_some(), "the pool has no owner\n{}", self.tail());
        for caller in &self.callers {
            assert_ne!(caller.end, CallerEnd::Waiting, "a caller waits forever\n{}", self.tail());
        }
        self.check_non_idempotent();
        self.check_jobs();
    }

    fn check_non_idempotent(&self) {
        let runs = self.truth.runs();
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
                self.tail()
            );
        }
        for (job, idempotent) in &self.accepted {
            let prefix = format!("{job}/");
            let doubled = started.iter().find(|(id, count)| id.starts_with(&prefix) && **count > 1);
            assert!(
                *idempotent || doubled.is_none(),
                "a non-idempotent task ran twice: {doubled:?}\n{}",
                self.tail()
            );
        }
    }

    /// Every task of every accepted job ran to its end, unless the job was cancelled or may not run again.
    fn check_jobs(&self) {
        let runs = self.truth.runs();
        let asked_to_cancel = |job: &str| {
            self.callers.iter().any(|caller| match &caller.command {
                Some(JobCommand::Cancel(id, _)) => id.as_str() == job,
                _ => false,
            })
        };
        for (job, idempotent) in &self.accepted {
            if asked_to_cancel(job) || !*idempotent {
                continue;
            }
            let tasks = self.callers.iter().find_map(|caller| match &caller.command {
                Some(JobCommand::Submit(spec)) if spec.id.as_str() == job => Some(spec.tasks),
                _ => None,
            });
            for index in 0..tasks.unwrap_or(0) {
                let id = format!("{job}/{index}");
                let done = runs.iter().any(|run| run.id == id && run.completed);
                assert!(done, "task {id} of an accepted job was lost\n{}", self.tail());
            }
        }
        for job in &self.cancelled {
            let prefix = format!("{job}/");
            let runs_on =
                runs.iter().any(|run| run.id.starts_with(&prefix) && run.ended_ms.is_none());
            assert!(!runs_on, "cancelled job {job} still runs\n{}", self.tail());
        }
    }

    /// The end of the log, for messages. `CAROBSILL_LOG_LINES` sets how much of it.
    pub fn tail(&self) -> String {
        let lines = std::env::var("CAROBSILL_LOG_LINES")
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(100);
        let from = self.log.len().saturating_sub(lines);
        self.log[from..].join("\n")
    }
}
