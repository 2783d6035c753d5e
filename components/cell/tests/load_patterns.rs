//! Load patterns that the scheduling decisions must handle, in virtual time.

mod simulation;

use cell::{
    Action, ActiveRun, AdvicePolicy, Cell, CellSettings, EndedRun, Ending, FinalState, JobRecord,
    Policy, PollAnswer, Refusal, RetryBudget, StartAnswer, StartOrder, StepSpec, WorkerReport,
};
use simulation::{Faults, Simulation, Worker, job, policy, report, task};
use types::{Millis, Resources};

const NEVER: Millis = Millis(u64::MAX);

fn cores(count: u64) -> Resources {
    Resources { cpu_milli: count * 1_000, mem_mb: 100, accels: 0 }
}

fn step(tasks: u32, need: u64, estimate_ms: u64) -> StepSpec {
    StepSpec { tasks, need: cores(need), estimate_ms: Millis(estimate_ms), ..StepSpec::default() }
}

fn fleet(count: u32) -> Vec<Worker> {
    (0..count).map(|number| Worker::new(&format!("w{number}"), 16_000)).collect()
}

fn simulation_without_faults(workers: Vec<Worker>, policy: Policy) -> Simulation {
    Simulation::new(1, policy, workers, Faults::default(), NEVER)
}

fn at(mut record: JobRecord, at_ms: u64) -> (Millis, JobRecord) {
    record.accepted_unix_ms += at_ms;
    (Millis(at_ms), record)
}

fn time_to_end_ms(sim: &Simulation, id: &str, since_ms: u64) -> u64 {
    let id = id.parse().expect("job id");
    sim.checks.ended_ms.get(&id).map_or(u64::MAX, |ended| ended.0 - since_ms)
}

/// Runs a burst of quick jobs on a fleet that is full of long tasks. Returns the times of the
/// slowest quick job and of the slowest long one in milliseconds.
fn run_burst_on_a_full_fleet(checkpoints: bool) -> (u64, u64) {
    let mut policy = policy();
    if let Some(batch) = policy.queues.get_mut(&"batch".parse().expect("queue")) {
        // As on the users' sites.
        batch.target_factor = 2.2;
    }
    let mut sim = simulation_without_faults(fleet(4), policy);
    for number in 0..16 {
        let long = StepSpec { checkpoints, ..step(1, 4, 8_000) };
        let id = format!("{number:016x}");
        let (when, record) = at(job(&id, "batch", "large", vec![long]), 100);
        sim.submit_at(when, record);
    }
    for number in 100..108 {
        let id = format!("{number:016x}");
        let (when, record) = at(job(&id, "quick", "large", vec![step(2, 2, 500)]), 2_000);
        sim.submit_at(when, record);
    }
    sim.run_until(Millis(40_000));
    assert!(sim.checks.violations.is_empty(), "{:?}", sim.checks.violations);
    let slowest = |from: u64, to: u64, since: u64| {
        (from..to)
            .map(|number| time_to_end_ms(&sim, &format!("{number:016x}"), since))
            .max()
            .unwrap_or(0)
    };
    (slowest(100, 108, 2_000), slowest(0, 16, 100))
}

#[test]
fn a_burst_of_quick_jobs_preempts_long_tasks_with_checkpoints() {
    let (quick_without_checkpoints, _) = run_burst_on_a_full_fleet(false);
    let (quick, long) = run_burst_on_a_full_fleet(true);
    // Without preemption the burst waits for the long tasks. A job is worth nothing after three
    // objectives, which are 3 s.
    assert!(quick_without_checkpoints > 5_000, "{quick_without_checkpoints}");
    assert!(quick < 3_000, "{quick}");
    assert!(long < 30_000, "{long}");
}

#[test]
fn the_excess_of_one_team_does_not_delay_the_others() {
    let mut policy = policy();
    for team in policy.teams.values_mut() {
        team.weight = 2.0;
        team.limit = Resources::ZERO;
    }
    let mut sim = simulation_without_faults(fleet(2), policy);
    for number in 0..240u64 {
        let id = format!("{number:016x}");
        let (when, record) =
            at(job(&id, "quick", "large", vec![step(2, 4, 800)]), 200 + number * 25);
        sim.submit_at(when, record);
    }
    for number in 1_000..1_010u64 {
        let id = format!("{number:016x}");
        let when_ms = 1_000 + (number - 1_000) * 500;
        let (when, record) = at(job(&id, "quick", "small", vec![step(2, 4, 800)]), when_ms);
        sim.submit_at(when, record);
    }
    sim.run_until(Millis(90_000));
    let worst = (1_000..1_010u64)
        .map(|number| {
            time_to_end_ms(&sim, &format!("{number:016x}"), 1_000 + (number - 1_000) * 500)
        })
        .max()
        .unwrap_or(u64::MAX);
    // 40 jobs per second on capacity for 10: jobs of the excess wait far longer.
    assert!(worst < 3_000, "{worst}");
}

#[test]
fn a_worker_that_fails_all_runs_costs_few_attempts_and_no_job() {
    let mut workers = fleet(5);
    workers[0].fails_all = true;
    let mut sim = simulation_without_faults(workers, policy());
    for number in 0..80u64 {
        let id = format!("{number:016x}");
        let (when, record) =
            at(job(&id, "quick", "large", vec![step(3, 2, 400)]), 200 + number * 60);
        sim.submit_at(when, record);
    }
    sim.run_until(Millis(30_000));
    let failed = sim.checks.stored_ends.values().filter(|end| **end == FinalState::Failed).count();
    let attempts: u32 = sim.checks.failed_on.values().sum();
    assert_eq!(failed, 0);
    assert!(attempts < 60, "{attempts} of 240 attempts were lost");
}

#[test]
fn tasks_on_a_stalled_worker_run_elsewhere() {
    let mut workers = fleet(3);
    workers[1].stalls = true;
    let mut sim = simulation_without_faults(workers, policy());
    for number in 0..12u64 {
        let id = format!("{number:016x}");
        let (when, record) =
            at(job(&id, "quick", "large", vec![step(2, 2, 600)]), 200 + number * 50);
        sim.submit_at(when, record);
    }
    sim.run_until(Millis(30_000));
    let worst = (0..12u64)
        .map(|number| time_to_end_ms(&sim, &format!("{number:016x}"), 200 + number * 50))
        .max()
        .unwrap_or(u64::MAX);
    assert!(worst < 8_000, "{worst}");
}

/// Guards against workers that are blamed for tasks: a task that stalls on every worker made one after
/// the other wait out a back-off.
#[test]
fn tasks_that_stall_everywhere_do_not_idle_the_workers() {
    let mut sim = simulation_without_faults(fleet(8), policy());
    for number in 0..24u64 {
        let (when, mut record) =
            at(job(&format!("{number:016x}"), "quick", "large", vec![step(1, 1, 500)]), 200);
        record.spec.payload = "stalls".to_owned();
        sim.submit_at(when, record);
    }
    let times = (0..40u64).map(|number| (number + 100, 3_000 + number * 400));
    for (number, when_ms) in times.clone() {
        let id = format!("{number:016x}");
        let (when, record) = at(job(&id, "quick", "large", vec![step(6, 3, 600)]), when_ms);
        sim.submit_at(when, record);
    }
    sim.run_until(Millis(40_000));
    // The workers have room for three times the load. The objective is 1.5 times the run time and
    // 250 ms.
    let late: Vec<u64> = times
        .map(|(number, when_ms)| time_to_end_ms(&sim, &format!("{number:016x}"), when_ms))
        .filter(|took_ms| *took_ms > 1_150)
        .collect();
    assert!(late.is_empty(), "{} of 40 jobs miss their objective: {late:?}", late.len());
}

fn empty_cell(epoch: u64) -> Cell {
    let settings = CellSettings {
        lease_ms: Millis(4_500),
        max_lease_ms: Millis(6_000),
        ended_retention_ms: Millis(120_000),
        poll_wait_ms: Millis(0),
        unequal_workers: false,
        learn_run_times: false,
        decide_by_run_times: false,
    };
    Cell::new(settings, epoch, 1_700_000_000_000)
}

fn cell_with(workers: u32, policy: Policy) -> Cell {
    let mut cell = empty_cell(1);
    cell.set_policy(policy.into());
    for number in 0..workers {
        let name = format!("w{number}");
        cell.worker_listed(report(&name), Millis(1));
        cell.poll_answered(
            &name.parse().expect("worker id"),
            Millis(1),
            &poll_answer(Vec::new()),
            Millis(2),
        );
    }
    cell.tick(Millis(3));
    cell
}

fn poll_answer(active: Vec<ActiveRun>) -> PollAnswer {
    PollAnswer {
        incarnation_unix_ms: 5,
        clock_ms: Millis(500),
        active,
        ended: Vec::new(),
        more_ended: false,
    }
}

fn advised_jobs(actions: &[Action]) -> Vec<String> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::RequestAdvice { step, .. } => Some(step.job.to_string()),
            _ => None,
        })
        .collect()
}

#[test]
fn long_advisor_calls_do_not_delay_short_ones() {
    let mut policy = policy();
    let slow = AdvicePolicy { call_ms: 400.0, per_worker_ms: 5.7, valid_ms: Millis(2_500) };
    if let Some(batch) = policy.queues.get_mut(&"batch".parse().expect("queue")) {
        batch.advice = Some(slow);
    }
    let mut cell = cell_with(12, policy);
    cell.set_callers(&["one".into(), "two".into(), "three".into()]);
    for number in 0..20 {
        let id = format!("{number:016x}");
        cell.add_job(job(&id, "batch", "large", vec![step(2, 2, 6_000)]), Millis(10));
    }
    cell.schedule(Millis(10));
    let long = advised_jobs(&cell.take_actions());
    cell.add_job(job("00000000000000ff", "quick", "large", vec![step(2, 2, 500)]), Millis(20));
    cell.schedule(Millis(20));
    let short = advised_jobs(&cell.take_actions());
    // One machine of three is reserved for short calls.
    assert_eq!(long.len(), 2, "{long:?}");
    assert_eq!(short, vec!["00000000000000ff".to_owned()]);
}

/// Reports one tail latency of a serving task per poll. Returns the paces ordered for the
/// idle-CPU task beside it.
fn ordered_paces(tails_ms: &[u64]) -> Vec<u32> {
    let serving =
        StepSpec { long_running: true, latency_target_ms: Some(Millis(100)), ..step(1, 4, 500) };
    let filler = StepSpec { uses_idle_cpu: true, long_running: true, ..step(1, 4, 500) };
    let mut cell = cell_with(1, policy());
    let record = job("00000000000000aa", "watch", "large", vec![serving, filler]);
    cell.add_job(record, Millis(5));
    let worker = "w0".parse().expect("worker id");
    let mut ordered = Vec::new();
    for (number, tail) in (1u64..).zip(tails_ms) {
        let row = |step, gauge| ActiveRun {
            task: task("00000000000000aa", step, 0),
            attempt: 1,
            checkpoint: Default::default(),
            percent: 100,
            gauge,
        };
        let now = Millis(100 + number * 500);
        cell.poll_answered(&worker, now, &poll_answer(vec![row(0, *tail), row(1, 0)]), now);
        cell.adjust_pace(&worker, now);
        for action in cell.take_actions() {
            if let Action::Pace(order) = action {
                ordered.push(order.percent);
            }
        }
    }
    ordered
}

#[test]
fn idle_cpu_tasks_pause_above_the_latency_target_and_resume_in_steps() {
    assert_eq!(ordered_paces(&[50, 55, 40]), Vec::<u32>::new());
    assert_eq!(ordered_paces(&[95]), vec![50]);
    assert_eq!(ordered_paces(&[130, 80, 50, 50]), vec![0, 20, 40]);
}

#[test]
fn the_share_of_a_team_is_served_while_it_sends_five_times_as_much() {
    let mut policy = policy();
    for team in policy.teams.values_mut() {
        team.weight = 4.0;
        team.limit = Resources::ZERO;
    }
    let mut sim = simulation_without_faults(fleet(2), policy);
    // The capacity is about eight jobs per second.
    for number in 0..200u64 {
        let id = format!("{number:016x}");
        let (when, record) =
            at(job(&id, "quick", "large", vec![step(2, 4, 500)]), 200 + number * 50);
        sim.submit_at(when, record);
    }
    sim.run_until(Millis(60_000));
    let in_time = (0..200u64)
        .filter(|number| time_to_end_ms(&sim, &format!("{number:016x}"), 200 + number * 50) < 2_000)
        .count();
    // Four jobs in each of ten seconds, less some that wait for each other.
    assert!(in_time >= 32, "{in_time} jobs in time");
}

/// One start in ten gets no answer and is carried out seconds later. A start elsewhere would run
/// the task twice.
#[test]
fn an_unanswered_start_is_sent_again_to_the_same_worker() {
    let mut cell = cell_with(1, policy());
    cell.add_job(job("00000000000000ab", "batch", "large", vec![step(1, 2, 500)]), Millis(10));
    cell.schedule(Millis(10));
    let first = start_orders(&cell.take_actions());
    assert_eq!(first.len(), 1);
    cell.start_answered(&first[0], StartAnswer::Unanswered, Millis(260));
    let again = start_orders(&cell.take_actions());
    assert_eq!(again.len(), 1, "nothing was sent again");
    assert_eq!((&again[0].worker, again[0].attempt), (&first[0].worker, first[0].attempt));
    // The first order arrived after all, and its run has already ended.
    let refused = StartAnswer::Refused(Refusal::StaleAttempt);
    cell.start_answered(&again[0], refused, Millis(270));
    cell.schedule(Millis(500));
    assert!(start_orders(&cell.take_actions()).is_empty(), "the task was started twice");
}

fn start_orders(actions: &[Action]) -> Vec<StartOrder> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Start(order) => Some(order.as_ref().clone()),
            _ => None,
        })
        .collect()
}

/// Deferrable work could fill the fleet before a burst of urgent work.
#[test]
fn deferrable_work_leaves_headroom_for_a_burst() {
    let mut policy = policy();
    if let Some(batch) = policy.queues.get_mut(&"batch".parse().expect("queue")) {
        batch.target_factor = 3.0;
    }
    let mut cell = cell_with(10, policy);
    for number in 0..60 {
        let id = format!("{number:016x}");
        cell.add_job(job(&id, "batch", "large", vec![step(1, 4, 8_000)]), Millis(10));
    }
    cell.schedule(Millis(10));
    let batch = start_orders(&cell.take_actions()).len();
    // 16 of the 160 cores stay free.
    assert_eq!(batch, 36);
}

#[test]
fn tasks_are_stopped_before_a_draining_worker_leaves() {
    let mut cell = cell_with(1, policy());
    let with_checkpoints = StepSpec { checkpoints: true, ..step(1, 2, 9_000) };
    let long_running = StepSpec { long_running: true, ..step(1, 2, 500) };
    let short = step(1, 2, 400);
    let steps = vec![with_checkpoints, long_running, short];
    cell.add_job(job("00000000000000ac", "batch", "large", steps), Millis(10));
    cell.schedule(Millis(10));
    for order in start_orders(&cell.take_actions()) {
        cell.start_answered(&order, StartAnswer::Started, Millis(15));
    }
    let leaving =
        WorkerReport { draining: true, leaves_in_ms: Some(Millis(2_000)), ..report("w0") };
    cell.worker_listed(leaving, Millis(100));
    let stopped = |cell: &mut Cell, now: u64| -> Vec<u16> {
        cell.tick(Millis(now));
        let actions = cell.take_actions();
        let stops = actions.iter().filter_map(|action| match action {
            Action::Stop(order) => Some(order.task.step.step),
            _ => None,
        });
        stops.collect()
    };
    // The long-running task is stopped at once, the one with checkpoints runs on while it can, and
    // the short one has time to end.
    assert_eq!(stopped(&mut cell, 200), vec![1]);
    assert_eq!(stopped(&mut cell, 400), Vec::<u16>::new());
    // The unconfirmed stop of step 1 is repeated.
    assert_eq!(stopped(&mut cell, 750), vec![1, 0]);
}

/// Runs quick jobs of a team whose long jobs use up its limit, on a fleet that is half empty.
/// Returns the time of the slowest quick job in milliseconds.
fn run_urgent_jobs_of_a_team_at_its_limit(checkpoints: bool) -> u64 {
    let mut policy = policy();
    if let Some(batch) = policy.queues.get_mut(&"batch".parse().expect("queue")) {
        batch.target_factor = 2.2;
    }
    let mut sim = simulation_without_faults(fleet(4), policy);
    // The limit is 24 cores.
    for number in 0..8 {
        let long = StepSpec { checkpoints, ..step(1, 4, 8_000) };
        let id = format!("{number:016x}");
        let (when, record) = at(job(&id, "batch", "small", vec![long]), 100);
        sim.submit_at(when, record);
    }
    for number in 100..104 {
        let id = format!("{number:016x}");
        let (when, record) = at(job(&id, "quick", "small", vec![step(4, 2, 500)]), 2_000);
        sim.submit_at(when, record);
    }
    sim.run_until(Millis(40_000));
    assert!(sim.checks.violations.is_empty(), "{:?}", sim.checks.violations);
    (100..104)
        .map(|number| time_to_end_ms(&sim, &format!("{number:016x}"), 2_000))
        .max()
        .unwrap_or(0)
}

#[test]
fn urgent_jobs_of_a_team_at_its_limit_preempt_its_long_ones() {
    let without_checkpoints = run_urgent_jobs_of_a_team_at_its_limit(false);
    let quick = run_urgent_jobs_of_a_team_at_its_limit(true);
    // A job is worth nothing after three objectives, which are 3 s.
    assert!(without_checkpoints > 3_000, "{without_checkpoints}");
    assert!(quick < 3_000, "{quick}");
}

/// A worker that runs a task has not answered for 3 s when the leader dies.
#[test]
fn the_next_leader_waits_no_longer_than_a_silent_workers_lease() {
    let mut first = cell_with(2, policy());
    let mut record = job("00000000000000ad", "batch", "large", vec![step(1, 2, 500)]);
    record.accepted_unix_ms += 5;
    first.add_job(record.clone(), Millis(5));
    first.schedule(Millis(8));
    let silent = start_orders(&first.take_actions())[0].worker.clone();
    first.poll_order(&silent, true, Millis(10)).expect("a poll");
    first.poll_failed(&silent, Millis(500));
    let roster = first.roster(Millis(3_000));
    let left_ms =
        roster.iter().find(|row| row.worker == silent).and_then(|row| row.silent_lease_left_ms);
    // The lease of 4.5 s began at 10 ms, on a clock that may run slow.
    assert_eq!(left_ms, Some(Millis(2_000)));

    let mut next = empty_cell(2);
    next.set_policy(policy().into());
    next.restore(record, None, Millis(3_500));
    for name in ["w0", "w1"] {
        next.worker_listed(report(name), Millis(3_500));
    }
    for row in &roster {
        next.restore_roster_row(row, Millis(3_500), Millis(3_500));
    }
    for name in ["w0", "w1"].into_iter().filter(|name| *name != silent.as_str()) {
        let answering = name.parse().expect("worker id");
        next.poll_answered(&answering, Millis(3_500), &poll_answer(Vec::new()), Millis(3_510));
    }
    next.tick(Millis(5_400));
    next.schedule(Millis(5_400));
    assert!(start_orders(&next.take_actions()).is_empty(), "the worker may still run the task");
    next.tick(Millis(5_600));
    next.schedule(Millis(5_600));
    assert_eq!(start_orders(&next.take_actions()).len(), 1);
}

/// A worker that a stored roster reports as silent answers again. The next leader would not wait
/// for a lease or a task given to it now.
#[test]
fn a_worker_reported_silent_gets_nothing_until_the_next_roster_is_stored() {
    let worker = "w0".parse().expect("worker id");
    let mut cell = cell_with(1, policy());
    cell.poll_failed(&worker, Millis(500));
    cell.roster(Millis(2_000));
    cell.poll_answered(&worker, Millis(2_100), &poll_answer(Vec::new()), Millis(2_110));
    cell.add_job(job("00000000000000ae", "batch", "large", vec![step(1, 2, 500)]), Millis(2_120));
    cell.schedule(Millis(2_120));
    assert!(
        start_orders(&cell.take_actions()).is_empty(),
        "the next leader would not wait for this"
    );
    let order = cell.poll_order(&worker, true, Millis(2_130)).expect("a poll");
    assert_eq!(order.deadline_ms, None, "the next leader would not wait for this lease");
    let roster = cell.roster(Millis(2_140));
    cell.roster_stored(&roster);
    cell.schedule(Millis(2_150));
    assert_eq!(start_orders(&cell.take_actions()).len(), 1);
}

/// A worker does not answer when a new leader takes over, while the first step of a job runs on
/// another one.
#[test]
fn a_step_that_was_never_started_does_not_wait_for_recovery() {
    let mut cell = empty_cell(2);
    cell.set_policy(policy().into());
    let second = StepSpec { after: vec![0], ..step(1, 2, 500) };
    let record = job("00000000000000af", "batch", "large", vec![step(2, 2, 500), second]);
    cell.restore(record, None, Millis(10));
    for name in ["w0", "silent"] {
        cell.worker_listed(report(name), Millis(10));
    }
    let answering = "w0".parse().expect("worker id");
    let run = |index| ActiveRun {
        task: task("00000000000000af", 0, index),
        attempt: 1,
        checkpoint: Default::default(),
        percent: 50,
        gauge: 0,
    };
    let active = poll_answer(vec![run(0), run(1)]);
    cell.poll_answered(&answering, Millis(20), &active, Millis(25));
    let end = |sequence, index| EndedRun {
        sequence,
        task: task("00000000000000af", 0, index),
        attempt: 1,
        ending: Ending::Done,
        checkpoint: Default::default(),
    };
    let ended = PollAnswer { ended: vec![end(1, 0), end(2, 1)], ..poll_answer(Vec::new()) };
    cell.poll_answered(&answering, Millis(500), &ended, Millis(505));
    cell.schedule(Millis(510));
    let starts = start_orders(&cell.take_actions());
    assert_eq!(starts.len(), 1, "the second step waits for the silent worker");
    assert_eq!(starts[0].task.step.step, 1);
}

/// Two successive leaders reach a worker that cannot reach the store. A roster without it would
/// let the third leader start its tasks elsewhere.
#[test]
fn the_roster_keeps_an_unlisted_worker_while_it_may_run_tasks() {
    let worker = "w0".parse().expect("worker id");
    let first_roster = cell_with(1, policy()).roster(Millis(100));
    let mut second = empty_cell(2);
    for row in &first_roster {
        second.restore_roster_row(row, Millis(200), Millis(200));
    }
    second.poll_answered(&worker, Millis(210), &poll_answer(Vec::new()), Millis(215));
    second.poll_order(&worker, true, Millis(220)).expect("a poll that renews its lease");
    let roster = second.roster(Millis(300));
    assert!(roster.iter().any(|row| row.worker == worker), "the third leader would not poll it");
}

#[test]
fn an_unlisted_worker_that_does_not_answer_may_hold_a_whole_lease() {
    let roster = cell_with(1, policy()).roster(Millis(100));
    let mut next = empty_cell(2);
    next.set_policy(policy().into());
    let record = job("00000000000000b0", "batch", "large", vec![step(1, 2, 500)]);
    next.restore(record, None, Millis(200));
    next.worker_listed(report("w1"), Millis(200));
    for row in &roster {
        next.restore_roster_row(row, Millis(200), Millis(200));
    }
    let answering = "w1".parse().expect("worker id");
    next.poll_answered(&answering, Millis(210), &poll_answer(Vec::new()), Millis(215));
    for now in [1_500, 4_500] {
        next.tick(Millis(now));
        next.schedule(Millis(now));
        assert!(start_orders(&next.take_actions()).is_empty(), "started at {now} ms");
    }
}

/// All answers are late, as when the leader is short of processor time.
#[test]
fn retries_add_a_tenth_to_the_load_when_all_answers_are_late() {
    let mut budget = RetryBudget::default();
    let repeated = (0..10_000)
        .filter(|_| {
            budget.record_call();
            budget.try_take()
        })
        .count();
    assert!(repeated <= 1_050, "{repeated} of 10,000 calls were repeated");
}

/// If all answers are late, few starts in total are sent again, not each of them three times.
#[test]
fn starts_are_not_multiplied_when_all_answers_are_late() {
    let mut cell = cell_with(40, policy());
    for number in 0..300 {
        let id = format!("{number:016x}");
        cell.add_job(job(&id, "batch", "large", vec![step(1, 1, 500)]), Millis(10));
    }
    cell.schedule(Millis(10));
    let mut waiting = start_orders(&cell.take_actions());
    let first = waiting.len();
    let mut again = 0;
    while let Some(order) = waiting.pop() {
        cell.start_answered(&order, StartAnswer::Unanswered, Millis(400));
        let repeated = start_orders(&cell.take_actions());
        again += repeated.len();
        waiting.extend(repeated);
    }
    assert!(again <= first / 3, "{again} repeats of {first} starts");
}

/// A team sends much more than its limit. Its steps wait for seconds, but no worker must wait for them:
/// room is not what they lack.
#[test]
fn steps_of_a_team_at_its_limit_keep_no_worker_free() {
    let mut cell = cell_with(2, policy());
    let quick = |id: &str, team: &str| job(id, "batch", team, vec![step(6, 4, 60_000)]);
    // The limit of the small team is 24 of the 32 cores.
    cell.add_job(quick("00000000000000c1", "small"), Millis(10));
    cell.schedule(Millis(10));
    assert_eq!(start_orders(&cell.take_actions()).len(), 6);
    cell.add_job(quick("00000000000000c2", "small"), Millis(20));
    for now in (20..8_000).step_by(100) {
        cell.tick(Millis(now));
        cell.schedule(Millis(now));
    }
    cell.take_actions();
    let urgent = job("00000000000000c3", "watch", "large", vec![step(2, 4, 500)]);
    cell.add_job(urgent, Millis(8_000));
    cell.schedule(Millis(8_000));
    assert_eq!(start_orders(&cell.take_actions()).len(), 2, "a worker is held");
}

/// A wide step gets its turn. It goes on once a task of it has started, so that one worker is enough.
#[test]
fn a_step_in_its_turn_keeps_one_worker_free() {
    let mut cell = cell_with(24, policy());
    let full = job("00000000000000c4", "watch", "large", vec![step(24, 12, 60_000)]);
    cell.add_job(full, Millis(10));
    cell.schedule(Millis(10));
    assert_eq!(start_orders(&cell.take_actions()).len(), 24);
    // Each worker has 4 cores left; the wide step needs 8 for each task.
    cell.add_job(job("00000000000000c5", "watch", "large", vec![step(24, 8, 500)]), Millis(20));
    for now in (20..8_000).step_by(100) {
        cell.tick(Millis(now));
        cell.schedule(Millis(now));
    }
    cell.take_actions();
    let small = job("00000000000000c6", "watch", "large", vec![step(24, 4, 500)]);
    cell.add_job(small, Millis(8_000));
    cell.schedule(Millis(8_000));
    assert_eq!(start_orders(&cell.take_actions()).len(), 23);
}
