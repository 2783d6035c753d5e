//! Progress that an earlier version has stored.

mod support;

use std::rc::Rc;

use cell::{FinalState, JobStatus, LossKind, LostRun, StepProgress, TaskLosses};
use cluster::JobLookup;
use libs::postcard;
use serde::Serialize;
use support::{Environment, job, node, run};
use types::JobId;

/// The record before the losses of tasks were added at its end.
#[derive(Serialize)]
struct EarlierProgress {
    id: JobId,
    ended: Option<FinalState>,
    occurrences: Vec<(u32, Vec<StepProgress>)>,
}

/// The record before the announced runs were added at its end.
#[derive(Serialize)]
struct ProgressWithLosses {
    earlier: EarlierProgress,
    losses: Vec<TaskLosses>,
}

fn completed(id: JobId) -> EarlierProgress {
    let steps = vec![StepProgress { done: vec![0], ..StepProgress::default() }];
    EarlierProgress { id, ended: Some(FinalState::Completed), occurrences: vec![(0, steps)] }
}

/// Guards against jobs that run again after an update, since their progress cannot be decoded.
#[test]
fn progress_of_an_earlier_version_is_read() {
    check_is_read(completed(job(1).id));
}

#[test]
fn progress_of_the_version_before_announced_runs_is_read() {
    let runs = vec![LostRun { attempt: 3, kind: LossKind::Early }];
    let losses = vec![TaskLosses { occurrence: 0, step: 0, index: 0, runs }];
    check_is_read(ProgressWithLosses { earlier: completed(job(1).id), losses });
}

fn check_is_read(progress: impl Serialize) {
    run(async {
        let environment = Rc::new(Environment::default());
        let record = job(1);
        let encode = |value: Result<Vec<u8>, postcard::Error>| value.expect("encoded record");
        let id = &record.id;
        environment.put(&format!("in/job/{id}"), encode(postcard::to_allocvec(&record)), 0);
        environment.put(&format!("progress/{id}"), encode(postcard::to_allocvec(&progress)), 0);
        let status = node("one", &environment).status(id).await;
        assert_eq!(status, JobLookup::Known(JobStatus::Ended(FinalState::Completed)));
    });
}
