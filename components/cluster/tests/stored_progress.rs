//! Progress that an earlier version has stored.

mod support;

use std::rc::Rc;

use cell::{FinalState, JobStatus, StepProgress};
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

/// Guards against jobs that run again after an update, since their progress cannot be decoded.
#[test]
fn progress_of_an_earlier_version_is_read() {
    run(async {
        let environment = Rc::new(Environment::default());
        let record = job(1);
        let steps = vec![StepProgress { done: vec![0], ..StepProgress::default() }];
        let progress = EarlierProgress {
            id: record.id.clone(),
            ended: Some(FinalState::Completed),
            occurrences: vec![(0, steps)],
        };
        let encode = |value: Result<Vec<u8>, postcard::Error>| value.expect("encoded record");
        let id = &record.id;
        environment.put(&format!("in/job/{id}"), encode(postcard::to_allocvec(&record)), 0);
        environment.put(&format!("progress/{id}"), encode(postcard::to_allocvec(&progress)), 0);
        let status = node("one", &environment).status(id).await;
        assert_eq!(status, JobLookup::Known(JobStatus::Ended(FinalState::Completed)));
    });
}
