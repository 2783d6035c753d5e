//! Runs that were lost with their workers are announced before they start again, so that the next
//! leader can tell whether they have crashed the worker.

mod simulation;

use cell::{
    Action, AnnouncedRun, Announcement, Cell, CellSettings, JobRecord, LossKind, LostRun,
    PollAnswer, Progress, StepProgress, StepSpec, TaskLosses,
};
use simulation::{job, policy, report};
use types::{Millis, Resources, WorkerId};

const ID: &str = "00000000000000e1";
const NOW: Millis = Millis(30_000);
/// Incarnation of the worker when the run was announced, as in [`report`].
const INCARNATION_UNIX_MS: u64 = 5;

fn record() -> JobRecord {
    let need = Resources { cpu_milli: 1_000, mem_mb: 100, accels: 0 };
    let step = StepSpec { tasks: 1, need, estimate_ms: Millis(1_000), ..StepSpec::default() };
    job(ID, "batch", "large", vec![step])
}

/// What a former leader stored: the task was lost twice, and was about to start on `w0`.
fn progress() -> Progress {
    let runs = [1, 2].map(|attempt| LostRun { attempt, kind: LossKind::Early }).into();
    let run = Announcement {
        attempt: 3,
        worker: "w0".parse().expect("worker id"),
        incarnation_unix_ms: INCARNATION_UNIX_MS,
    };
    Progress {
        id: ID.parse().expect("job id"),
        ended: None,
        occurrences: vec![(0, vec![StepProgress::default()])],
        losses: vec![TaskLosses { occurrence: 0, step: 0, index: 0, runs }],
        announced: vec![AnnouncedRun { occurrence: 0, step: 0, index: 0, run }],
    }
}

/// The next leader, to which `w0` has answered in an incarnation.
fn next_leader(incarnation_unix_ms: u64) -> Cell {
    let settings = CellSettings {
        lease_ms: Millis(4_500),
        max_lease_ms: Millis(6_000),
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
    };
    let mut cell = Cell::new(settings, 2, 1_700_000_000_000);
    cell.set_policy(policy().into());
    cell.restore(record(), Some(&progress()), NOW);
    cell.worker_listed(report("w0"), NOW);
    let worker: WorkerId = "w0".parse().expect("worker id");
    let answer = PollAnswer {
        incarnation_unix_ms,
        clock_ms: Millis(500),
        active: Vec::new(),
        ended: Vec::new(),
        more_ended: false,
    };
    cell.poll_answered(&worker, NOW, &answer, NOW + Millis(5));
    cell
}

fn starts(cell: &mut Cell, now: Millis) -> usize {
    cell.schedule(now);
    let actions = cell.take_actions();
    actions.iter().filter(|action| matches!(action, Action::Start(_))).count()
}

/// Stores what has changed, and returns it.
fn store(cell: &mut Cell) -> Progress {
    let mut batch = cell.take_batch(28).expect("a change");
    cell.batch_stored(&batch);
    batch.records.remove(0)
}

fn losses(progress: &Progress) -> Vec<LossKind> {
    progress.losses.iter().flat_map(|task| task.runs.iter().map(|run| run.kind)).collect()
}

#[test]
fn a_suspect_starts_once_its_run_is_announced_in_the_store() {
    let mut cell = next_leader(INCARNATION_UNIX_MS);
    // The announcement of the former leader is judged and taken back first.
    assert_eq!(starts(&mut cell, NOW + Millis(10)), 0);
    store(&mut cell);
    assert_eq!(starts(&mut cell, NOW + Millis(20)), 0, "nobody would know of the run");
    let stored = store(&mut cell);
    let announced: Vec<u32> = stored.announced.iter().map(|one| one.run.attempt).collect();
    assert_eq!(announced, [1_001], "the first attempt of the second epoch");
    assert_eq!(starts(&mut cell, NOW + Millis(30)), 1);
}

/// The former leader died between the announcement and the start.
#[test]
fn an_announced_run_on_a_worker_that_has_not_restarted_is_no_loss() {
    let mut cell = next_leader(INCARNATION_UNIX_MS);
    starts(&mut cell, NOW + Millis(10));
    assert_eq!(losses(&store(&mut cell)), [LossKind::Early; 2]);
}

/// Two leaders died before they noticed a crash, and the task was started a sixth time.
#[test]
fn an_announced_run_on_a_worker_that_has_restarted_counts_as_lost() {
    let mut cell = next_leader(INCARNATION_UNIX_MS + 1_000);
    starts(&mut cell, NOW + Millis(10));
    let expected = [LossKind::Early, LossKind::Early, LossKind::Unnoticed];
    assert_eq!(losses(&store(&mut cell)), expected);
}
