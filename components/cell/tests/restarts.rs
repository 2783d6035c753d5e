//! Workers that start again under their ids: calls to the former incarnation may still reach the new one,
//! and set leases on its clock that are longer than those that leaders grant.

mod simulation;

use cell::{
    Action, ActiveRun, Cell, CellSettings, JobRecord, PollAnswer, Refusal, RosterRow, StartAnswer,
    StartOrder, StartPermission, StepSpec, WorkerReport,
};
use simulation::{job, policy, report};
use types::{Millis, Resources, WorkerId};

const LEASE_MS: Millis = Millis(4_500);
const MAX_LEASE_MS: Millis = Millis(6_000);
/// Time of the first answer of the new incarnation, and of the first one to a newer fencing token.
const RESTARTED_MS: Millis = Millis(1_000);
const FENCED_MS: Millis = Millis(1_010);
/// Until then a lease lasts that a call to the former incarnation sets just before that. The clock of the
/// worker runs 2% slow.
const LONGEST_LEASE_ENDS_MS: Millis = Millis(FENCED_MS.0 + MAX_LEASE_MS.0 * 100 / 98);
/// The platform carries out unanswered calls seconds later.
const LATE_CALL_MS: Millis = Millis(5_000);
/// Time by which a leader waits longer than the longest lease.
const MARGIN_MS: Millis = Millis(500);

fn cell(epoch: u64) -> Cell {
    let settings = CellSettings {
        lease_ms: LEASE_MS,
        max_lease_ms: MAX_LEASE_MS,
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
        unequal_workers: false,
        learn_run_times: false,
        decide_by_run_times: false,
    };
    let mut cell = Cell::new(settings, epoch, 1_700_000_000_000);
    cell.set_policy(policy().into());
    cell
}

fn one_task_job(id: &str, cores: u64) -> JobRecord {
    let need = Resources { cpu_milli: cores * 1_000, mem_mb: 100, accels: 0 };
    let step = StepSpec { tasks: 1, need, estimate_ms: Millis(30_000), ..StepSpec::default() };
    job(id, "batch", "small", vec![step])
}

fn id(name: &str) -> WorkerId {
    name.parse().expect("worker id")
}

fn listed(name: &str, incarnation_unix_ms: u64) -> WorkerReport {
    WorkerReport { incarnation_unix_ms, ..report(name) }
}

/// Passes the answer to a poll that was sent 2 ms before, of an incarnation whose clock started at 900 ms.
fn poll(cell: &mut Cell, name: &str, born: u64, active: Vec<ActiveRun>, now: Millis) {
    poll_sent(cell, name, born, active, now - Millis(2), now);
}

fn poll_sent(
    cell: &mut Cell,
    name: &str,
    incarnation_unix_ms: u64,
    active: Vec<ActiveRun>,
    sent_ms: Millis,
    now: Millis,
) {
    let clock_ms = Millis(now.since(Millis(900)).0 * 98 / 100);
    let ended = Vec::new();
    let answer = PollAnswer { incarnation_unix_ms, clock_ms, active, ended, more_ended: false };
    cell.poll_answered(&id(name), sent_ms, &answer, now);
}

fn run_of(order: &StartOrder) -> ActiveRun {
    ActiveRun {
        task: order.task.clone(),
        attempt: order.attempt,
        checkpoint: Default::default(),
        percent: 10,
        gauge: 0,
    }
}

fn starts(cell: &mut Cell, now: Millis) -> Vec<StartOrder> {
    cell.tick(now);
    cell.schedule(now);
    let order = |action| if let Action::Start(order) = action { Some(*order) } else { None };
    cell.take_actions().into_iter().filter_map(order).collect()
}

/// Stores all changes: a task whose loss is not stored does not start.
fn store(cell: &mut Cell) {
    while let Some(batch) = cell.take_batch(28) {
        cell.batch_stored(&batch);
    }
}

/// A leader whose only worker `w0` has restarted and then begun a task.
struct Restarted {
    cell: Cell,
    job: JobRecord,
    order: StartOrder,
}

impl Restarted {
    fn new() -> Self {
        let mut cell = cell(1);
        cell.worker_listed(listed("w0", 5), Millis(10));
        poll(&mut cell, "w0", 5, Vec::new(), Millis(20));
        poll(&mut cell, "w0", 6, Vec::new(), RESTARTED_MS);
        poll(&mut cell, "w0", 6, Vec::new(), FENCED_MS);
        cell.worker_listed(listed("w0", 6), Millis(1_100));
        let job = one_task_job("00000000000000a1", 12);
        cell.add_job(job.clone(), Millis(1_100));
        let order = starts(&mut cell, Millis(1_110)).pop().expect("a start");
        cell.start_answered(&order, StartAnswer::Started, Millis(1_115));
        Self { cell, job, order }
    }

    /// The next leader, elected at `now`, with a further, idle worker.
    fn next(&self, roster: &[RosterRow], now: Millis) -> Cell {
        let mut next = cell(2);
        next.restore(self.job.clone(), None, now);
        next.worker_listed(listed("w0", 6), now);
        next.worker_listed(listed("w1", 5), now);
        for row in roster {
            next.restore_roster_row(row, now, now);
        }
        poll(&mut next, "w1", 5, Vec::new(), now + Millis(5));
        next
    }
}

/// Time at which the task starts elsewhere, or another one takes its place in the limit of its team, which
/// is 24 cores.
fn starts_elsewhere(next: &mut Cell, now: Millis) -> Millis {
    next.add_job(one_task_job("00000000000000a2", 14), now);
    starts_until(next, &["00000000000000a1", "00000000000000a2"], now)
}

/// Time at which a task of one of the jobs starts.
fn starts_until(cell: &mut Cell, jobs: &[&str], mut now: Millis) -> Millis {
    loop {
        now = now + Millis(10);
        let orders = starts(cell, now);
        if orders.iter().any(|order| jobs.contains(&order.task.step.job.as_str())) {
            return now;
        }
        store(cell);
        assert!(now < Millis(30_000), "nothing starts");
    }
}

/// Guards against two runs of a task: its worker had restarted and held a longer lease than leaders grant. The
/// next leader found the run, lost touch with the worker, and waited for a usual lease.
#[test]
fn a_successor_waits_for_the_longest_lease_of_a_restarted_worker_that_it_has_reached() {
    let mut first = Restarted::new();
    let elected_ms = Millis(2_000);
    let roster = first.cell.roster(elected_ms);
    let mut next = first.next(&roster, elected_ms);
    poll(&mut next, "w0", 6, vec![run_of(&first.order)], elected_ms + Millis(10));
    next.poll_failed(&id("w0"), Millis(2_500));
    let started_ms = starts_elsewhere(&mut next, Millis(2_500));
    assert!(started_ms > LONGEST_LEASE_ENDS_MS, "its lease lasts at {started_ms}");
    assert!(started_ms < elected_ms + MAX_LEASE_MS + MARGIN_MS, "too late: {started_ms}");
}

/// Guards against the same with a successor that does not reach the worker, whatever the last roster says.
#[test]
fn a_successor_waits_for_the_longest_lease_of_a_restarted_worker_that_it_has_not_reached() {
    let mut first = Restarted::new();
    let elected_ms = Millis(2_000);
    let mut before = cell(1);
    before.worker_listed(listed("w0", 5), Millis(10));
    poll(&mut before, "w0", 5, Vec::new(), Millis(20));
    let rosters = [
        ("of the restarted worker", first.cell.roster(elected_ms)),
        ("of the former incarnation", before.roster(Millis(500))),
        ("without the worker", Vec::new()),
    ];
    for (what, roster) in rosters {
        let mut next = first.next(&roster, elected_ms);
        next.poll_failed(&id("w0"), Millis(2_500));
        let started_ms = starts_elsewhere(&mut next, Millis(2_500));
        assert!(started_ms > LONGEST_LEASE_ENDS_MS, "roster {what}: started at {started_ms}");
        let latest_ms = elected_ms + MAX_LEASE_MS + MARGIN_MS;
        assert!(started_ms < latest_ms, "roster {what}: started at {started_ms}");
    }
}

/// Guards against the same while the entry of the worker is missing, so that only the roster names it.
#[test]
fn a_successor_waits_for_the_longest_lease_of_an_unlisted_worker() {
    let mut first = Restarted::new();
    let elected_ms = Millis(2_000);
    let mut next = cell(2);
    next.restore(first.job.clone(), None, elected_ms);
    next.worker_listed(listed("w1", 5), elected_ms);
    for row in first.cell.roster(elected_ms) {
        next.restore_roster_row(&row, elected_ms, elected_ms);
    }
    poll(&mut next, "w1", 5, Vec::new(), elected_ms + Millis(5));
    let started_ms = starts_elsewhere(&mut next, Millis(2_500));
    assert!(started_ms > LONGEST_LEASE_ENDS_MS, "its lease lasts at {started_ms}");
}

/// A successor does not wait longer once the longest lease has been replaced by usual ones.
#[test]
fn a_successor_waits_for_a_usual_lease_some_seconds_after_a_restart() {
    let mut first = Restarted::new();
    let settled_ms = FENCED_MS + Millis(2_000);
    poll(&mut first.cell, "w0", 6, vec![run_of(&first.order)], settled_ms);
    let roster = first.cell.roster(settled_ms);
    let mut next = first.next(&roster, settled_ms);
    poll(&mut next, "w0", 6, vec![run_of(&first.order)], settled_ms + Millis(10));
    next.poll_failed(&id("w0"), settled_ms + Millis(500));
    let started_ms = starts_elsewhere(&mut next, settled_ms + Millis(500));
    assert!(started_ms < settled_ms + LEASE_MS + MARGIN_MS, "too late: {started_ms}");
}

/// Guards against two runs of a task: a late call to the former incarnation started it on the new one, after
/// its answer had shown that nothing ran there.
#[test]
fn what_a_restarted_worker_runs_counts_once_it_has_seen_a_new_fencing_token() {
    let mut first = Restarted::new();
    let run = run_of(&first.order);
    first.cell.worker_listed(listed("w1", 5), Millis(2_000));
    poll(&mut first.cell, "w1", 5, Vec::new(), Millis(2_000));
    poll(&mut first.cell, "w0", 6, vec![run.clone()], Millis(2_000));
    let fence = first.cell.poll_order(&id("w0"), true, Millis(2_050)).expect("a poll").fence;
    poll(&mut first.cell, "w0", 7, Vec::new(), Millis(2_100));
    store(&mut first.cell);
    assert!(starts(&mut first.cell, Millis(2_200)).is_empty(), "a call may still arrive");
    let next = first.cell.poll_order(&id("w0"), true, Millis(2_210)).expect("a poll");
    assert!(next.fence > fence, "{} after {fence}", next.fence);
    // The answer to a poll that was sent before the restart was known.
    poll_sent(&mut first.cell, "w0", 7, Vec::new(), Millis(2_090), Millis(2_220));
    assert!(starts(&mut first.cell, Millis(2_300)).is_empty(), "a call may still arrive");
    // An answer of the former incarnation comes late.
    poll_sent(&mut first.cell, "w0", 6, vec![run], Millis(2_080), Millis(2_310));
    assert!(starts(&mut first.cell, Millis(2_400)).is_empty(), "a call may still arrive");
    poll(&mut first.cell, "w0", 7, Vec::new(), Millis(2_410));
    let again = starts(&mut first.cell, Millis(2_500));
    assert_eq!(again.len(), 1, "the run was lost");
    assert_eq!(again[0].worker, id("w1"), "the entry of the other worker is not current");
}

/// Guards against a task that starts elsewhere while a call to the former incarnation, carried out seconds
/// late, starts it on a worker that has fallen silent.
#[test]
fn a_restarted_worker_that_falls_silent_at_once_is_waited_for_while_calls_may_arrive() {
    let mut first = Restarted::new();
    first.cell.worker_listed(listed("w1", 5), Millis(2_000));
    poll(&mut first.cell, "w1", 5, Vec::new(), Millis(2_000));
    poll(&mut first.cell, "w0", 7, Vec::new(), Millis(2_100));
    first.cell.poll_failed(&id("w0"), Millis(2_500));
    let started_ms = starts_elsewhere(&mut first.cell, Millis(2_500));
    let ends_ms = Millis(2_100) + LATE_CALL_MS + MAX_LEASE_MS;
    assert!(started_ms > ends_ms, "its lease lasts at {started_ms}");
}

/// Guards against two runs of a task: a leader that has lost its lease starts it on a worker that restarts
/// then. Its successor does not reach the worker, and knows nothing of the longer lease.
#[test]
fn a_leader_without_its_lease_starts_nothing_on_a_worker_that_may_hold_a_longer_one() {
    let mut first = Restarted::new();
    first.cell.set_start_permission(StartPermission::JobsKnownBefore(Millis(2_000)));
    first.cell.worker_listed(listed("w0", 7), Millis(2_000));
    poll(&mut first.cell, "w0", 7, Vec::new(), Millis(2_100));
    poll(&mut first.cell, "w0", 7, Vec::new(), Millis(2_110));
    store(&mut first.cell);
    assert!(starts(&mut first.cell, Millis(2_300)).is_empty(), "no successor knows the lease");
    first.cell.set_start_permission(StartPermission::AllJobs);
    poll(&mut first.cell, "w0", 7, Vec::new(), Millis(2_400));
    // Its run was lost at once, so that its start is stored before it is ordered.
    assert!(starts(&mut first.cell, Millis(2_450)).is_empty(), "the start is not stored");
    store(&mut first.cell);
    assert_eq!(starts(&mut first.cell, Millis(2_500)).len(), 1);
}

/// Guards against two runs of a task: a call that had got no answer started it in the next incarnation of its
/// worker, after the leases of the former one had expired and it had started elsewhere.
#[test]
fn an_unanswered_start_is_waited_for_while_its_worker_may_restart() {
    let mut first = Restarted::new();
    let job = unanswered_start(&mut first);
    first.cell.poll_failed(&id("w0"), Millis(2_500));
    let started_ms = starts_until(&mut first.cell, &[&job], Millis(2_500));
    let ends_ms = Millis(2_400) + LATE_CALL_MS + MAX_LEASE_MS;
    assert!(started_ms > ends_ms, "it may still start at {started_ms}");
}

/// A worker whose entry is gone does not come back.
#[test]
fn an_unanswered_start_on_a_worker_that_is_gone_is_not_waited_for() {
    let mut first = Restarted::new();
    let job = unanswered_start(&mut first);
    first.cell.poll_failed(&id("w0"), Millis(2_500));
    first.cell.worker_unlisted(&id("w0"), Millis(5_000));
    let started_ms = starts_until(&mut first.cell, &[&job], Millis(2_500));
    assert!(started_ms < Millis(2_400) + MAX_LEASE_MS + MARGIN_MS, "too late: {started_ms}");
}

/// Orders a task of another job on `w0` at 2.1 s, to which no call is answered, and returns the job. The other
/// worker has room for it from 2.4 s on.
fn unanswered_start(first: &mut Restarted) -> String {
    poll(&mut first.cell, "w0", 6, vec![run_of(&first.order)], Millis(2_050));
    first.cell.add_job(one_task_job("00000000000000b1", 2), Millis(2_100));
    let order = starts(&mut first.cell, Millis(2_100)).pop().expect("a start");
    for sent in 0..4 {
        let now = Millis(2_110 + 50 * sent);
        first.cell.start_answered(&order, StartAnswer::Unanswered, now);
        first.cell.take_actions();
    }
    first.cell.worker_listed(listed("w1", 5), Millis(2_400));
    poll(&mut first.cell, "w1", 5, Vec::new(), Millis(2_400));
    order.task.step.job.to_string()
}

/// Guards against two runs of a task: a repeated start was refused, since the restarted worker had seen a newer
/// fencing token by then, and the first call had started the task there before.
#[test]
fn a_refusal_by_a_restarted_worker_proves_nothing_about_earlier_calls() {
    let mut first = Restarted::new();
    poll(&mut first.cell, "w0", 6, vec![run_of(&first.order)], Millis(2_050));
    first.cell.worker_listed(listed("w1", 5), Millis(2_050));
    poll(&mut first.cell, "w1", 5, Vec::new(), Millis(2_060));
    first.cell.worker_listed(WorkerReport { draining: true, ..listed("w1", 5) }, Millis(2_070));
    first.cell.add_job(one_task_job("00000000000000b1", 2), Millis(2_100));
    let order = starts(&mut first.cell, Millis(2_100)).pop().expect("a start");
    first.cell.start_answered(&order, StartAnswer::Unanswered, Millis(2_150));
    first.cell.take_actions();
    poll(&mut first.cell, "w0", 7, Vec::new(), Millis(2_200));
    let refused = StartAnswer::Refused(Refusal::Fenced);
    first.cell.start_answered(&order, refused, Millis(2_210));
    first.cell.worker_listed(listed("w1", 5), Millis(2_220));
    store(&mut first.cell);
    assert!(starts(&mut first.cell, Millis(2_400)).is_empty(), "it may run on the worker");
    poll(&mut first.cell, "w0", 7, vec![run_of(&order)], Millis(2_410));
    store(&mut first.cell);
    let again = starts(&mut first.cell, Millis(2_600));
    assert!(again.iter().all(|one| one.task != order.task), "it runs on the worker");
}

/// Guards against the same with a successor: the silent worker that the roster names has restarted, and its
/// entry shows that at once or later, also after the last lease that was granted to it.
#[test]
fn a_successor_waits_for_unanswered_starts_on_a_silent_worker_that_has_restarted() {
    let elected_ms = Millis(4_000);
    for entry_ms in [elected_ms, elected_ms + Millis(1_000), elected_ms + Millis(6_000)] {
        let mut first = Restarted::new();
        let job = unanswered_start(&mut first);
        first.cell.poll_failed(&id("w0"), Millis(2_500));
        let roster = first.cell.roster(Millis(3_900));
        let mut next = cell(2);
        next.restore(one_task_job(&job, 2), None, elected_ms);
        next.worker_listed(listed("w0", if entry_ms > elected_ms { 6 } else { 7 }), elected_ms);
        next.worker_listed(listed("w1", 5), elected_ms);
        roster.iter().for_each(|row| next.restore_roster_row(row, elected_ms, elected_ms));
        poll(&mut next, "w1", 5, Vec::new(), elected_ms + Millis(5));
        next.poll_failed(&id("w0"), elected_ms + Millis(500));
        assert!(starts(&mut next, entry_ms).is_empty());
        next.worker_listed(listed("w0", 7), entry_ms);
        let started_ms = starts_until(&mut next, &[&job], entry_ms);
        let ends_ms = Millis(2_400) + LATE_CALL_MS + MAX_LEASE_MS;
        assert!(started_ms > ends_ms, "entry at {entry_ms}: started at {started_ms}");
    }
}

/// Guards against a worker that is lost for good: its clock was set back between two lives, so that the new one
/// reports an earlier start, and all its answers were taken for late ones of the former incarnation.
#[test]
fn a_worker_whose_clock_was_set_back_is_not_ignored() {
    let mut first = Restarted::new();
    poll(&mut first.cell, "w0", 6, vec![run_of(&first.order)], Millis(2_000));
    first.cell.worker_listed(listed("w1", 5), Millis(2_000));
    poll(&mut first.cell, "w1", 5, Vec::new(), Millis(2_010));
    for number in 0..3 {
        poll(&mut first.cell, "w0", 4, Vec::new(), Millis(2_100 + 100 * number));
        store(&mut first.cell);
    }
    let again = starts(&mut first.cell, Millis(2_500));
    assert_eq!(again.len(), 1, "the run of the former life is lost");
}

/// Guards against a worker that gets no work for good because its clock was set back before its restart:
/// orders are for the incarnation that answered last.
#[test]
fn an_incarnation_with_an_earlier_start_is_a_restart() {
    let mut cell = cell(1);
    cell.worker_listed(listed("w1", 800_000), Millis(0));
    poll(&mut cell, "w1", 800_000, Vec::new(), Millis(100));
    poll(&mut cell, "w1", 700_000, Vec::new(), RESTARTED_MS);
    cell.worker_listed(listed("w1", 700_000), RESTARTED_MS);
    poll_sent(&mut cell, "w1", 700_000, Vec::new(), RESTARTED_MS + Millis(5), FENCED_MS);
    cell.add_job(one_task_job("00000000000000aa", 1), FENCED_MS);
    let orders = starts(&mut cell, FENCED_MS + Millis(10));
    let incarnations: Vec<u64> = orders.iter().map(|order| order.incarnation_unix_ms).collect();
    assert_eq!(incarnations, [700_000]);
}
