//! How a leader learns of jobs and cancellations that other processes have stored.

mod support;

use std::rc::Rc;

use cluster::{CancelOutcome, Node, SubmitOutcome};
use libs::tokio;
use support::{Environment, address, job, node, node_with_lease, ports, run};
use tokio::net::TcpListener;
use types::Millis;

/// Some hundred times the duration of a start and an election.
const TIMEOUT_MS: Millis = Millis(5_000);
/// Longer than several scheduling rounds, and than the leader needs to start a job that it knows.
const ROUNDS_MS: Millis = Millis(700);
/// Longer than the store takes to answer a read, shorter than `SLOW_RANGE_MS`.
const AFTER_ELECTION_MS: Millis = Millis(60);
const SLOW_RANGE_MS: Millis = Millis(400);
/// Time to read all jobs on a slow link, or of a slow store.
const MANY_PAGES_MS: Millis = Millis(8_000);
/// Tasks of a job that lasts longer than its test.
const MANY_TASKS: u32 = 1_000;
/// Duration of a leader's lease.
const LEASE_MS: Millis = Millis(1_200);
/// Changes that the store sends in an answer.
const WATCH_CHANGES: usize = 100;
const BUSY_MS: Millis = Millis(8_000);
/// Time after an acknowledged cancellation from which on nothing of the job may start.
const CANCEL_MS: Millis = Millis(3_000);
/// Longer than a cancellation takes.
const LATE_WRITE_MS: Millis = Millis(900);
/// Longer than ended jobs are kept in these tests, and the time between two removals.
const EXPIRED_MS: Millis = Millis(17_000);

async fn within(condition: impl Fn() -> bool) -> bool {
    within_ms(TIMEOUT_MS, condition).await
}

async fn within_ms(timeout_ms: Millis, condition: impl Fn() -> bool) -> bool {
    let until = clock::now() + timeout_ms;
    while !condition() {
        if clock::now() > until {
            return false;
        }
        tokio::time::sleep(Millis(5).to_duration()).await;
    }
    true
}

fn start(name: &str, environment: &Rc<Environment>) -> Rc<Node> {
    run_node(node(name, environment))
}

fn run_node(node: Rc<Node>) -> Rc<Node> {
    let token = clock::CancellationToken::new;
    tokio::task::spawn_local(node.clone().run(token(), token()));
    node
}

/// Guards against a cancelled job that runs on: the notices of the job and of its cancellation were lost,
/// and after a loss of history the store lists cancellations before jobs.
#[test]
fn a_job_that_the_store_lists_after_its_cancellation_does_not_start() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        environment.watches_are_silent.set(true);
        start("leader", &environment);
        assert!(within(|| environment.lease_renewals.get() > 0).await, "no leader");
        // No process of these tests takes messages, so that its notices do not reach the leader.
        let other = start("other", &environment);
        let record = job(1);
        let id = record.id.clone();
        assert_eq!(other.accept(record).await, SubmitOutcome::Stored);
        assert_eq!(other.cancel(&id).await, CancelOutcome::Stored);
        environment.compact();
        environment.watches_are_silent.set(false);
        let has_end = || environment.count_writes("progress/") > 0;
        assert!(within(has_end).await, "the leader did not learn of the cancellation");
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert_eq!(environment.starts.get(), 0, "the cancelled job was started");
    });
}

/// Guards against a late cancellation that no log line or metric shows: its notice was lost.
#[test]
fn the_leader_shows_how_late_it_learned_of_a_cancellation() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.watches_are_silent.set(true);
        let leader = start("leader", &environment);
        assert!(within(|| environment.value("leader").is_some()).await, "no leader");
        let other = start("other", &environment);
        let record = job(1);
        let id = record.id.clone();
        assert_eq!(other.accept(record).await, SubmitOutcome::Stored);
        assert_eq!(other.cancel(&id).await, CancelOutcome::Stored);
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        environment.watches_are_silent.set(false);
        let shows = |line: &str| leader.metrics.text().lines().any(|shown| shown.starts_with(line));
        assert!(within(|| shows("carobsill_cancellations_learned 1")).await, "it is not counted");
        assert!(shows("carobsill_cancellation_age_ms"), "its age is not shown");
        assert!(
            within(|| shows("carobsill_intake_age_ms")).await,
            "the age of its news is not shown"
        );
    });
}

/// Guards against a job that starts although its cancellation was answered: its store write got no answer,
/// and was carried out after the cancellation had found no job.
#[test]
fn a_job_that_is_stored_after_its_cancellation_was_answered_does_not_start() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        start("leader", &environment);
        assert!(within(|| environment.lease_renewals.get() > 0).await, "no leader");
        let other = start("other", &environment);
        let record = job(1);
        let id = record.id.clone();
        environment.late_job_writes_ms.set(Some(LATE_WRITE_MS));
        let submission = tokio::task::spawn_local({
            let other = other.clone();
            async move { other.accept(record).await }
        });
        tokio::time::sleep(AFTER_ELECTION_MS.to_duration()).await;
        assert_eq!(other.cancel(&id).await, CancelOutcome::NoJob);
        let is_stored = || environment.value("in/job/0000000000000001").is_some();
        assert!(within(is_stored).await, "the late write was not carried out");
        submission.await.expect("a submission");
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert_eq!(environment.starts.get(), 0, "the cancelled job was started");
    });
}

/// Guards against a cancelled job that runs on: the leader heard of it only once it had caught up with the
/// changes of a busy store.
#[test]
fn the_leader_keeps_up_with_a_thousand_changes_a_second() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.max_watch_changes.set(Some(WATCH_CHANGES));
        let leader = start("leader", &environment);
        assert!(within(|| environment.value("leader").is_some()).await, "no leader");
        let until = clock::now() + BUSY_MS;
        let mut number = 0;
        while clock::now() < until {
            tokio::time::sleep(Millis(10).to_duration()).await;
            for _ in 0..10 {
                number += 1;
                environment.put(&format!("in/cancel/{number:016x}"), Vec::new(), 0);
            }
        }
        let learned = || leader.metrics.snapshot().get("cancellations_learned").copied();
        let knows_all = || learned() == Some(number);
        assert!(within_ms(CANCEL_MS, knows_all).await, "{:?} of {number} are known", learned());
    });
}

/// Starts a process that its peers can reach.
async fn start_served(name: &str, environment: &Rc<Environment>) -> Rc<Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let own_address = listener.local_addr().expect("its address");
    let ports = ports(environment, &Rc::default());
    let node = node_with_lease(name, own_address, ports, LEASE_MS);
    let served = node.clone();
    let handler = move |request| served.clone().serve_peer(request);
    tokio::task::spawn_local(web::serve(listener, handler, clock::CancellationToken::new()));
    run_node(node)
}

/// Guards against a service that rests while the store is down: the leader held its work, since it heard of
/// no cancellations.
#[test]
fn a_leader_goes_on_with_its_work_while_the_store_is_down() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        let leader = start_served("leader", &environment).await;
        assert!(within(|| environment.lease_renewals.get() > 0).await, "no leader");
        start_served("other", &environment).await;
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        let mut record = job(1);
        record.spec.steps[0].tasks = MANY_TASKS;
        assert_eq!(leader.accept(record).await, SubmitOutcome::Stored);
        assert!(within(|| environment.starts.get() > 0).await, "the job did not start");
        environment.store_is_down.set(true);
        tokio::time::sleep(CANCEL_MS.to_duration()).await;
        let before = environment.starts.get();
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert!(environment.starts.get() > before, "{before} starts, and no further one");
    });
}

/// A leader that knows a waiting job, and that its cancellation was acknowledged by another process. No
/// worker has room for it yet.
async fn start_with_cancelled_job(environment: &Rc<Environment>, fault: impl AsyncFnOnce()) {
    let node = |name| {
        let ports = ports(environment, &Rc::default());
        run_node(node_with_lease(name, address(), ports, LEASE_MS))
    };
    let leader = node("leader");
    assert!(within(|| environment.value("leader").is_some()).await, "no leader");
    assert_eq!(leader.accept(job(1)).await, SubmitOutcome::Stored);
    assert_eq!(leader.accept(job(2)).await, SubmitOutcome::Stored);
    let other = node("other");
    fault().await;
    assert_eq!(other.cancel(&job(1).id).await, CancelOutcome::Stored);
    tokio::time::sleep(CANCEL_MS.to_duration()).await;
    environment.add_worker("only");
}

/// Guards against a cancelled job that starts: its notice was lost, and so were the answers to two watches.
#[test]
fn a_cancelled_job_does_not_start_while_watches_get_no_answer() {
    run(async {
        let environment = Rc::new(Environment::default());
        start_with_cancelled_job(&environment, async || {
            environment.unanswered_watches.set(2);
            assert!(within(|| environment.unanswered_watches.get() < 2).await, "no watch");
        })
        .await;
        assert!(within(|| environment.starts.get() > 0).await, "no job was started");
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert_eq!(environment.starts.get(), 1, "the cancelled job was started");
    });
}

/// Guards against a cancelled job that starts: its notice was lost, and the leader can renew its lease, but
/// not read the cancellations after a loss of history.
#[test]
fn a_cancelled_job_does_not_start_while_the_store_cannot_be_read() {
    run(async {
        let environment = Rc::new(Environment::default());
        start_with_cancelled_job(&environment, async || {
            environment.ranges_fail.set(true);
            environment.compact();
        })
        .await;
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert_eq!(environment.starts.get(), 0, "a job may have been started that is cancelled");
        assert!(environment.lease_renewals.get() > 0, "leases are not renewed");
        environment.ranges_fail.set(false);
        assert!(within(|| environment.starts.get() > 0).await, "no job was started");
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert_eq!(environment.starts.get(), 1, "the cancelled job was started");
    });
}

/// Guards against a cancelled job that starts: its cancellation was removed, as that of an unknown job, while
/// the job was stored and the leader had not heard of it.
#[test]
fn the_cancellation_of_a_stored_job_is_kept_until_the_leader_knows_the_job() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        let leader = start("leader", &environment);
        assert!(within(|| environment.lease_renewals.get() > 0).await, "no leader");
        environment.watches_are_silent.set(true);
        tokio::time::sleep(TIMEOUT_MS.to_duration()).await;
        let other = start("other", &environment);
        assert_eq!(other.accept(job(1)).await, SubmitOutcome::Stored);
        assert_eq!(leader.cancel(&job(1).id).await, CancelOutcome::Stored);
        tokio::time::sleep(EXPIRED_MS.to_duration()).await;
        environment.watches_are_silent.set(false);
        let has_end = || environment.count_writes("progress/") > 0;
        assert!(within(has_end).await, "the leader did not learn of the job");
        assert_eq!(environment.starts.get(), 0, "the cancelled job was started");
    });
}

/// Guards against a cancellation that is given up at the first refusal of the store, while its caller waits.
#[test]
fn a_refused_cancellation_is_sent_again() {
    run(async {
        let environment = Rc::new(Environment::default());
        let node = start("leader", &environment);
        assert!(within(|| environment.value("leader").is_some()).await, "no leader");
        assert_eq!(node.accept(job(1)).await, SubmitOutcome::Stored);
        environment.refused_cancellations.set(2);
        assert_eq!(node.cancel(&job(1).id).await, CancelOutcome::Stored);
    });
}

/// Guards against a write for each repeated cancellation.
#[test]
fn a_repeated_cancellation_is_written_once() {
    run(async {
        let environment = Rc::new(Environment::default());
        let node = start("leader", &environment);
        assert!(within(|| environment.value("leader").is_some()).await, "no leader");
        for _ in 0..3 {
            assert_eq!(node.cancel(&job(1).id).await, CancelOutcome::NoJob);
        }
        assert_eq!(environment.count_writes("in/cancel/"), 1);
    });
}

/// Guards against a cancelled job that starts, and against work that rests: after a loss of history the
/// leader heard of no cancellation until it had read all jobs.
#[test]
fn cancellations_are_known_while_the_leader_reads_all_jobs() {
    run(async {
        let environment = Rc::new(Environment::default());
        start_with_cancelled_job(&environment, async || {
            environment.job_range_delay_ms.set(MANY_PAGES_MS);
            environment.compact();
            tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        })
        .await;
        assert!(within_ms(ROUNDS_MS, || environment.starts.get() > 0).await, "the work rests");
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert_eq!(environment.starts.get(), 1, "the cancelled job was started");
    });
}

/// Guards against ends of runs that are not stored for seconds: expired jobs waited to be removed until all
/// jobs were read after a loss of history.
#[test]
fn ends_are_stored_while_the_leader_reads_all_jobs() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        let leader = start("leader", &environment);
        assert!(within(|| environment.lease_renewals.get() > 0).await, "no leader");
        assert_eq!(leader.accept(job(1)).await, SubmitOutcome::Stored);
        assert!(within(|| environment.count_writes("progress/") > 0).await, "the job did not end");
        environment.job_range_delay_ms.set(EXPIRED_MS);
        environment.compact();
        tokio::time::sleep(EXPIRED_MS.to_duration() - ROUNDS_MS.to_duration()).await;
        assert_eq!(leader.accept(job(2)).await, SubmitOutcome::Stored);
        let has_end = || environment.value("progress/0000000000000002").is_some();
        assert!(within_ms(ROUNDS_MS, has_end).await, "the end is not stored");
    });
}

/// Guards against a caller that gives up: the process that took the cancellation knew a leader that does not
/// answer.
#[test]
fn a_cancellation_is_answered_in_time_while_the_leader_is_silent() {
    run(async {
        let environment = Rc::new(Environment::default());
        let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let own_address = silent.local_addr().expect("its address");
        let ports_of = || ports(&environment, &Rc::default());
        run_node(node_with_lease("leader", own_address, ports_of(), LEASE_MS));
        assert!(within(|| environment.value("leader").is_some()).await, "no leader");
        let other = run_node(node_with_lease("other", address(), ports_of(), LEASE_MS));
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert_eq!(other.accept(job(1)).await, SubmitOutcome::Stored);
        let began_ms = clock::now();
        assert_eq!(other.cancel(&job(1).id).await, CancelOutcome::Stored);
        let took_ms = clock::now().since(began_ms);
        assert!(took_ms < CANCEL_MS, "the answer took {took_ms}");
    });
}

/// Guards against a store that fills up: cancellations of jobs that never come are kept for good.
#[test]
fn the_cancellation_of_an_unknown_job_is_removed_like_an_ended_job() {
    run(async {
        let environment = Rc::new(Environment::default());
        let node = start("leader", &environment);
        assert!(within(|| environment.value("leader").is_some()).await, "no leader");
        assert_eq!(node.cancel(&job(1).id).await, CancelOutcome::NoJob);
        let is_stored = || environment.value("in/cancel/0000000000000001").is_some();
        assert!(is_stored(), "a late submission would start");
        assert!(within_ms(EXPIRED_MS, || !is_stored()).await, "the cancellation is kept for good");
    });
}

/// Guards against a job that waits for the next watch, or longer: its notice came between the leader's
/// read of the jobs and the end of its election, and was dropped.
#[test]
fn a_notice_that_comes_while_the_leader_loads_is_not_lost() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        environment.watches_are_silent.set(true);
        environment.range_delay_ms.set(SLOW_RANGE_MS);
        let node = start("leader", &environment);
        assert!(within(|| environment.value("leader").is_some()).await, "no leader");
        tokio::time::sleep(AFTER_ELECTION_MS.to_duration()).await;
        assert_eq!(node.accept(job(1)).await, SubmitOutcome::Stored);
        assert!(within(|| environment.starts.get() > 0).await, "the job did not start");
    });
}

/// Guards against a job that is done and runs again: it was kept in the store, since its removal failed, and
/// after a loss of history the leader took it for one that had just been accepted.
#[test]
fn a_job_that_could_not_be_removed_does_not_run_again() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        let node = start("leader", &environment);
        assert!(within(|| environment.lease_renewals.get() > 0).await, "no leader");
        assert_eq!(node.accept(job(1)).await, SubmitOutcome::Stored);
        assert!(within(|| environment.count_writes("progress/") > 0).await, "the job did not end");
        environment.writes_are_lost.set(true);
        tokio::time::sleep(EXPIRED_MS.to_duration()).await;
        environment.compact();
        tokio::time::sleep(ROUNDS_MS.to_duration()).await;
        assert_eq!(environment.starts.get(), 1, "the job was started again");
        environment.writes_are_lost.set(false);
        let is_removed = || environment.value("in/job/0000000000000001").is_none();
        assert!(within_ms(EXPIRED_MS, is_removed).await, "the job is kept for good");
    });
}
