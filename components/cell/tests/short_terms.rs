//! What a chain of leaders with short terms waits for: each goes on where the one before has stopped, and none
//! waits anew.

mod chain;
mod simulation;

use cell::TaskKey;
use chain::{Chain, LEASE_MS, Link, TERM_MS, lasting_job, worker_id};
use simulation::task;
use types::Millis;

const JOB: &str = "00000000000000a1";
/// Time beyond the expiry of the last lease within which a task must run again.
const BOUND_MS: Millis = Millis(2_000);
/// Time from the election within which a task starts that waits for nothing.
const AT_ONCE_MS: Millis = Millis(400);
/// Time that no wait of any leader outlasts.
const LONG_TERM_MS: Millis = Millis(12_000);
/// Numbers of short terms.
const TERMS: [u32; 3] = [3, 6, 10];
/// A worker that is cut off may carry out calls without an answer, or be gone.
const SILENT_LINKS: [Link; 2] = [Link::AnswersLost, Link::Cut];
/// Times until a call fails: the worker's machine is gone, or refuses it at once.
const FAILURES_MS: [Millis; 2] = [Millis(1_000), Millis(30)];

/// A chain whose first leader has started the tasks of a job on the only worker, "w0".
fn chain_with_runs_on_w0(tasks: u32) -> Chain {
    let mut chain = Chain::new(&["w0"], vec![lasting_job(JOB, tasks, 2)]);
    chain.lead(1);
    assert_eq!(chain.worker("w0").runs.len(), tasks as usize, "all tasks run");
    chain
}

fn first_task() -> TaskKey {
    task(JOB, 0, 0)
}

/// What became of the task that ran on "w0" when that fell silent.
struct Outcome {
    case: String,
    twice: Vec<String>,
    silent_ms: Millis,
    /// Time at which the leases on "w0" expired.
    expired_ms: Millis,
    /// Time at which the task started again; the latest one if it did not.
    again_ms: Millis,
}

impl Outcome {
    /// Plays some short terms and a long one.
    fn after(mut chain: Chain, terms: u32, silent_ms: Millis, case: String) -> Self {
        chain.lead(terms);
        chain.lead_for(LONG_TERM_MS);
        let start = chain.start_after(&first_task(), silent_ms);
        Self {
            silent_ms,
            expired_ms: chain.workers[&worker_id("w0")].leases_end_ms(),
            again_ms: start.map_or(chain.now, |start| start.at_ms),
            twice: chain.twice,
            case,
        }
    }

    fn ran_twice(&self) -> bool {
        !self.twice.is_empty() || self.again_ms < self.expired_ms
    }

    fn is_late(&self) -> bool {
        self.again_ms > self.expired_ms + BOUND_MS
    }

    fn describe(&self) -> String {
        let Self { case, twice, silent_ms, expired_ms, again_ms } = self;
        let (lease_ms, idle_ms) = (expired_ms.since(*silent_ms), again_ms.since(*silent_ms));
        format!("{case}: {idle_ms} after it fell silent, leased for {lease_ms} {twice:?}")
    }
}

/// Checks that no task starts before the lease of its former run has expired (rule TWICE).
fn assert_never_sooner(outcomes: &[Outcome]) {
    let sooner: Vec<String> =
        outcomes.iter().filter(|one| one.ran_twice()).map(Outcome::describe).collect();
    assert!(sooner.is_empty(), "{} of {} too soon: {sooner:#?}", sooner.len(), outcomes.len());
}

/// Checks that each task starts soon after the lease of its former run has expired (rule LOST).
fn assert_in_time(outcomes: &[Outcome]) {
    let late: Vec<String> =
        outcomes.iter().filter(|one| one.is_late()).map(Outcome::describe).collect();
    assert!(late.is_empty(), "{} of {} late: {late:#?}", late.len(), outcomes.len());
}

/// "w0" drains, and leaves with a run at the end of a term.
fn workers_that_left_while_draining(failure_ms: Millis) -> Vec<Outcome> {
    let cases = TERMS.into_iter().flat_map(|terms| SILENT_LINKS.map(|link| (terms, link)));
    let play = |(terms, link)| {
        let mut chain = chain_with_runs_on_w0(1);
        chain.failure_ms = failure_ms;
        let mut term = chain.elect();
        term.run(Millis(200));
        term.list("w0", |report| report.draining = true);
        term.run(Millis(700));
        term.set_link("w0", link);
        term.unlist("w0");
        let silent_ms = term.chain.now;
        term.run(Millis(100));
        term.hand_over();
        chain.add_worker("w1");
        Outcome::after(chain, terms, silent_ms, format!("{terms} terms, {link:?}"))
    };
    cases.map(play).collect()
}

/// "w0" crashes, and its entry disappears some time later.
fn workers_that_crashed(failure_ms: Millis) -> Vec<Outcome> {
    let cases = TERMS.into_iter().flat_map(|terms| SILENT_LINKS.map(|link| (terms, link)));
    let play = |(terms, link)| {
        let mut chain = chain_with_runs_on_w0(1);
        chain.failure_ms = failure_ms;
        let mut term = chain.elect();
        term.run(Millis(700));
        term.set_link("w0", link);
        let silent_ms = term.chain.now;
        term.run(Millis(300));
        term.hand_over();
        chain.add_worker("w1");
        chain.lead(1);
        let mut term = chain.elect();
        term.run(Millis(500));
        term.unlist("w0");
        term.run(Millis(500));
        term.hand_over();
        Outcome::after(chain, terms - 2, silent_ms, format!("{terms} terms, {link:?}"))
    };
    cases.map(play).collect()
}

/// "w0" is silent for some terms, then answers a leader, which renews its leases, and is cut off.
fn workers_that_answered_again() -> Vec<Outcome> {
    let cases = [1u32, 2, 3].into_iter().flat_map(|silent| TERMS.map(|terms| (silent, terms)));
    let play = |(silent_terms, terms)| {
        let mut chain = chain_with_runs_on_w0(1);
        chain.failure_ms = Millis(100);
        chain.add_worker("w1");
        let mut term = chain.elect();
        term.run(Millis(300));
        term.set_link("w0", Link::AnswersLost);
        term.run(Millis(700));
        term.hand_over();
        chain.lead(silent_terms - 1);
        let before_ms = chain.worker("w0").deadline_ms;
        let mut term = chain.elect();
        term.run(Millis(300));
        term.set_link("w0", Link::Answers);
        term.run(Millis(800));
        term.set_link("w0", Link::AnswersLost);
        term.unlist("w0");
        let silent_ms = term.chain.now;
        term.hand_over();
        let worker = chain.worker("w0");
        assert!(worker.deadline_ms > before_ms, "no lease was renewed");
        assert!(worker.leases_end_ms() > silent_ms + LEASE_MS.half(), "the lease is an old one");
        assert_eq!(worker.runs.len(), 1, "its task runs");
        let case = format!("{silent_terms} silent terms, {terms} after");
        Outcome::after(chain, terms, silent_ms, case)
    };
    cases.map(play).collect()
}

/// "w0" loses its entry, answers each leader all the while, and is cut off later.
fn workers_that_lost_their_entries() -> Vec<Outcome> {
    let play = |terms| {
        let mut chain = chain_with_runs_on_w0(1);
        let began_ms = chain.now;
        let mut term = chain.elect();
        term.run(Millis(500));
        term.unlist("w0");
        term.run(Millis(500));
        term.hand_over();
        chain.add_worker("w1");
        chain.lead(8);
        assert!(chain.start_after(&first_task(), began_ms).is_none(), "it runs all the while");
        assert_eq!(chain.worker("w0").runs.len(), 1, "its task runs");
        let mut term = chain.elect();
        term.run(TERM_MS.half());
        term.set_link("w0", Link::AnswersLost);
        let silent_ms = term.chain.now;
        term.run(Millis(50));
        term.hand_over();
        Outcome::after(chain, terms, silent_ms, format!("{terms} terms"))
    };
    TERMS.into_iter().map(play).collect()
}

/// Guards against a drained worker whose row names tasks that have ended there for as long as another one runs:
/// once it has left, no leader starts them.
#[test]
fn tasks_that_ended_on_a_drained_worker_start_at_once_after_it_has_left() {
    let (ended, running) = (task(JOB, 0, 0), task(JOB, 0, 1));
    let mut late = Vec::new();
    for terms_between in [0, 1, 3] {
        let mut chain = chain_with_runs_on_w0(2);
        let mut term = chain.elect();
        term.run(Millis(200));
        term.list("w0", |report| report.draining = true);
        term.run(Millis(500));
        term.hand_over();
        chain.lead(terms_between);
        let mut term = chain.elect();
        term.run(Millis(300));
        term.chain.end_run("w0", &ended);
        term.run(Millis(300));
        term.set_link("w0", Link::Cut);
        term.unlist("w0");
        let left_ms = term.chain.now;
        term.run(Millis(50));
        term.hand_over();
        chain.add_worker("w1");
        let elected_ms = chain.now;
        chain.lead(3);
        chain.lead_for(LONG_TERM_MS);
        assert!(chain.twice.is_empty(), "{:?}", chain.twice);
        let expired_ms = chain.worker("w0").leases_end_ms();
        let other_ms = chain.start_after(&running, left_ms).expect("a start").at_ms;
        assert!(other_ms >= expired_ms, "started at {other_ms}, leased until {expired_ms}");
        let again_ms = chain.start_after(&ended, left_ms).expect("a start").at_ms;
        if again_ms > elected_ms + AT_ONCE_MS {
            late.push(format!("{terms_between} terms between: {}", again_ms.since(elected_ms)));
        }
    }
    assert!(late.is_empty(), "from the next election to the start: {late:?}");
}

/// Guards against a wait for a worker that was seen to be empty before it left.
#[test]
fn a_drained_worker_that_was_emptied_holds_nothing_in_any_term() {
    for terms_between in [0, 1, 3] {
        let mut chain = chain_with_runs_on_w0(2);
        let mut term = chain.elect();
        term.run(Millis(200));
        term.list("w0", |report| report.draining = true);
        term.run(Millis(300));
        for index in 0..2 {
            term.chain.end_run("w0", &task(JOB, 0, index));
            term.run(Millis(100));
        }
        term.set_link("w0", Link::Cut);
        term.unlist("w0");
        term.run(Millis(50));
        term.hand_over();
        chain.lead(terms_between);
        chain.add_worker("w1");
        let elected_ms = chain.now;
        chain.lead(1);
        for index in 0..2 {
            let start = chain.start_after(&task(JOB, 0, index), elected_ms);
            let took_ms = start.expect("a start").at_ms.since(elected_ms);
            assert!(took_ms <= AT_ONCE_MS, "{terms_between} terms between: {took_ms}");
        }
    }
}

/// Guards against a whole lease that each leader waits anew for a worker that has left with a run: with short
/// terms none waits long enough.
#[test]
fn a_worker_that_left_with_a_run_is_waited_for_once() {
    assert_in_time(&workers_that_left_while_draining(FAILURES_MS[0]));
}

/// Guards against the same where calls to the worker are refused at once, so that each leader finds it silent.
#[test]
fn a_worker_that_left_and_refuses_calls_is_waited_for_once() {
    assert_in_time(&workers_that_left_while_draining(FAILURES_MS[1]));
}

/// Guards against the same for a worker that has crashed, and that no leader has found silent.
#[test]
fn a_worker_that_crashed_is_waited_for_once() {
    assert_in_time(&workers_that_crashed(FAILURES_MS[0]));
}

/// Guards against the same for a worker that has crashed and refuses calls.
#[test]
fn a_worker_that_crashed_and_refuses_calls_is_waited_for_once() {
    assert_in_time(&workers_that_crashed(FAILURES_MS[1]));
}

/// Guards against two runs of a task: a worker that no leader reaches any more goes on until its lease expires.
#[test]
fn no_task_starts_before_the_lease_on_a_silent_worker_has_expired() {
    for failure_ms in FAILURES_MS {
        assert_never_sooner(&workers_that_left_while_draining(failure_ms));
        assert_never_sooner(&workers_that_crashed(failure_ms));
    }
}

/// Guards against two runs of a task: a worker that had been silent has answered a leader since, which has renewed
/// its leases.
#[test]
fn leases_that_a_leader_of_the_chain_has_renewed_are_waited_for() {
    assert_never_sooner(&workers_that_answered_again());
}

/// Guards against whole leases that are waited for anew after a worker has answered for the last time.
#[test]
fn a_worker_that_answered_one_leader_again_is_waited_for_once() {
    assert_in_time(&workers_that_answered_again());
}

/// Guards against two runs of a task: a worker without an entry has answered each leader until it was cut off.
#[test]
fn a_worker_that_has_lost_only_its_entry_keeps_its_tasks() {
    assert_never_sooner(&workers_that_lost_their_entries());
}

/// Guards against whole leases that are waited for anew for a worker that had lost its entry long before.
#[test]
fn a_worker_that_has_lost_its_entry_before_is_waited_for_once() {
    assert_in_time(&workers_that_lost_their_entries());
}

/// Guards against a leader that forgets what the one before knew of a silent worker, since its own call to the worker
/// has not failed yet.
#[test]
fn a_leader_without_an_answer_reports_the_time_that_its_predecessor_left() {
    for term_ms in [Millis(300), Millis(600), Millis(1_000)] {
        let mut chain = chain_with_runs_on_w0(1);
        let mut term = chain.elect();
        term.run(Millis(500));
        term.list("w0", |report| report.draining = true);
        term.run(Millis(50));
        term.set_link("w0", Link::Cut);
        term.unlist("w0");
        // The call fails, and the worker counts as silent.
        term.run(Millis(1_300));
        term.hand_over();
        let reported = chain.row("w0").and_then(|row| row.silent_lease_left_ms);
        assert!(reported.is_some(), "the first leader has seen the call fail");
        let failed = chain.failed_polls.len();
        chain.lead_for(term_ms);
        assert_eq!(chain.failed_polls.len(), failed, "the second leader has seen no call fail");
        let expires_ms = chain.worker("w0").leases_end_ms();
        let row = chain.row("w0").expect("the worker may run its task still");
        let reported_ms = row.silent_lease_left_ms.map(|left_ms| chain.now + left_ms);
        let reported_ms = reported_ms.expect("the time that is left is known");
        assert!(reported_ms >= expires_ms, "{reported_ms}, and leased until {expires_ms}");
        let excess_ms = reported_ms.since(expires_ms);
        assert!(excess_ms <= BOUND_MS, "after a term of {term_ms}: {excess_ms} too long");
    }
}

/// Guards against a wait of all inherited tasks for a listed worker that does not answer a new leader: the former one
/// knew what runs there.
#[test]
fn a_listed_worker_that_does_not_answer_holds_only_its_own_tasks() {
    let mut chain = Chain::new(&["w0", "w1"], vec![lasting_job(JOB, 2, 10)]);
    chain.lead(1);
    let kept = chain.worker("w1").runs.keys().next().expect("a task on each worker").clone();
    let moved = chain.worker("w0").runs.keys().next().expect("a task on each worker").clone();
    let mut term = chain.elect();
    term.run(Millis(200));
    term.list("w0", |report| report.draining = true);
    term.run(Millis(200));
    term.chain.end_run("w0", &moved);
    term.run(Millis(200));
    term.set_link("w0", Link::Cut);
    term.unlist("w0");
    term.run(Millis(400));
    term.set_link("w1", Link::CutOff);
    term.hand_over();
    chain.add_worker("w2");
    chain.add_worker("w3");
    let elected_ms = chain.now;
    chain.lead(3);
    chain.lead_for(LONG_TERM_MS);
    assert!(chain.twice.is_empty(), "{:?}", chain.twice);
    let expired_ms = chain.worker("w1").leases_end_ms();
    let other_ms = chain.start_after(&kept, elected_ms).expect("a start").at_ms;
    assert!(other_ms >= expired_ms, "started at {other_ms}, leased until {expired_ms}");
    let again_ms = chain.start_after(&moved, elected_ms).expect("a start").at_ms;
    let took_ms = again_ms.since(elected_ms);
    assert!(took_ms <= AT_ONCE_MS, "started {took_ms} after the hand-over");
}

/// Guards against two runs of a task: a start that was on its way at the end of a term is carried out later, on a
/// worker that nobody reaches any more.
#[test]
fn a_start_on_its_way_at_the_end_of_a_term_is_waited_for() {
    for (late_ms, drains) in [(300, false), (300, true), (900, false), (900, true), (2_000, true)] {
        let mut chain = Chain::new(&["w0"], vec![lasting_job(JOB, 1, 2)]);
        chain.late_starts_ms = Some(Millis(late_ms));
        let mut term = chain.elect();
        term.run(Millis(100));
        if drains {
            term.list("w0", |report| report.draining = true);
        }
        term.set_link("w0", Link::CutOff);
        term.run(Millis(50));
        term.unlist("w0");
        term.hand_over();
        chain.late_starts_ms = None;
        chain.add_worker("w1");
        let silent_ms = chain.now;
        chain.lead(1);
        let case = format!("a start {late_ms} late, drains: {drains}");
        let outcome = Outcome::after(chain, 10, silent_ms, case);
        assert!(outcome.expired_ms > silent_ms, "it was carried out: {}", outcome.describe());
        assert_never_sooner(&[outcome]);
    }
}
