//! Faults of real processes under load. What callers are told is compared with what the stand-ins saw.

use std::time::Duration;

use libs::serde_json::json;
use testbed::{Deployment, Load, LoadReport, LoadSettings, Size, TestKey};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
const MILLER: TestKey = TestKey { name: "miller", secret: "millers-secret", team: Some("mill") };
const PATIENCE: Duration = Duration::from_secs(90);

fn start(name: &str) -> Deployment {
    Deployment::start(name, &Size::default(), &[FARMER, MILLER]).unwrap()
}

fn load(deployment: &Deployment, queue: &str, keyed: bool) -> Load {
    let settings = LoadSettings {
        callers: 8,
        rate_per_s: Some(100.0),
        queue: queue.to_owned(),
        key: FARMER,
        keyed,
        body: "maize".to_owned(),
    };
    Load::start(&deployment.entry_addresses, &settings)
}

/// Waits until callers were told this many answers more.
fn wait_told(load: &Load, more: usize) {
    let until = load.told_so_far() + more;
    let started = std::time::Instant::now();
    while load.told_so_far() < until && started.elapsed() < PATIENCE {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(load.told_so_far() >= until, "callers are not answered any more");
}

fn check(deployment: &Deployment, report: &LoadReport, idempotent: bool) {
    let truth = deployment.truth().unwrap();
    assert!(truth.doubled.is_empty(), "ran in two places: {:?}", truth.doubled);
    assert!(truth.overfilled.is_empty(), "{:?}", truth.overfilled);
    let contradictions = report.contradictions(&deployment.runs().unwrap(), idempotent);
    assert!(contradictions.is_empty(), "{contradictions:?}");
}

#[test]
fn an_owner_is_killed_under_load() {
    let mut deployment = start("kill-owner");
    let checks = load(&deployment, "checks", false);
    let orders = load(&deployment, "orders", true);
    wait_told(&checks, 100);
    let owner = deployment.owner_of("north").unwrap();
    deployment.schedulers[owner].kill();
    wait_told(&checks, 300);
    deployment.restart_scheduler(owner).unwrap();
    wait_told(&checks, 300);
    let (checks, orders) = (checks.stop(), orders.stop());
    check(&deployment, &checks, true);
    check(&deployment, &orders, false);
    let told = checks.outcomes();
    assert!(checks.count("ran") >= 650, "{told:?}");
}

#[test]
fn an_owner_is_frozen_past_its_leases_and_goes_on() {
    let deployment = start("freeze-owner");
    let service = json!({ "tasks": 6, "cpu_milli": 500, "mem_mb": 64 });
    let job = deployment.post_job(0, "watchers", &FARMER, &[], &service).unwrap().job().unwrap();
    let pool = job.split(':').next().unwrap().to_owned();
    let all_run = |deployment: &Deployment| {
        deployment.job(0, &FARMER, &job).is_ok_and(|job| job["tasks"]["running"] == 6)
    };
    assert!(deployment.wait_until(PATIENCE, all_run));
    let orders = load(&deployment, "orders", true);
    let owner = deployment.owner_of(&pool).unwrap();
    deployment.schedulers[owner].freeze();
    let moved = deployment.wait_until(PATIENCE, |deployment| {
        deployment.owner_of(&pool).is_some_and(|other| other != owner)
    });
    assert!(moved, "nobody took the pool over");
    // Longer than the lease of 4 s that the frozen process believes to hold.
    std::thread::sleep(Duration::from_secs(5));
    deployment.schedulers[owner].resume();
    wait_told(&orders, 200);
    assert!(deployment.wait_until(PATIENCE, all_run), "{:?}", deployment.job(0, &FARMER, &job));
    check(&deployment, &orders.stop(), false);
}

#[test]
fn the_store_is_down_while_an_owner_is_killed() {
    let mut deployment = start("store-down");
    let batch = json!({ "tasks": 30, "cpu_milli": 1000, "mem_mb": 64, "run_ms": 300 });
    let jobs: Vec<String> = (0..3)
        .filter_map(|entry| {
            deployment.post_job(entry, "formulas", &MILLER, &[], &batch).unwrap().job()
        })
        .collect();
    assert_eq!(jobs.len(), 3);
    let checks = load(&deployment, "checks", false);
    deployment.platform.freeze();
    wait_told(&checks, 200);
    let owner = deployment.owner_of("mid").unwrap();
    deployment.schedulers[owner].kill();
    std::thread::sleep(Duration::from_secs(6));
    let order =
        deployment.post_request(0, "orders", &FARMER, &[("Idempotency-Key", "o")], "x").unwrap();
    assert_ne!(order.outcome, "ran", "an order ran although its intent could not be kept");
    deployment.platform.resume();
    let all_done = deployment.wait_until(PATIENCE, |deployment| {
        jobs.iter()
            .all(|job| deployment.job(0, &MILLER, job).is_ok_and(|job| job["state"] == "done"))
    });
    let states: Vec<_> = jobs.iter().map(|job| deployment.job(0, &MILLER, job)).collect();
    assert!(all_done, "an accepted job was lost: {states:?}");
    let checks = checks.stop();
    check(&deployment, &checks, true);
}

#[test]
fn all_vms_are_replaced_one_after_the_other_under_load() {
    let mut deployment = start("rolling");
    let orders = load(&deployment, "orders", true);
    let checks = load(&deployment, "checks", true);
    wait_told(&checks, 50);
    for vm in 0..3 {
        deployment.schedulers[vm].terminate();
        assert!(deployment.schedulers[vm].wait_ended(PATIENCE), "scheduler-{vm} does not end");
        deployment.restart_scheduler(vm).unwrap();
        deployment.entries[vm].terminate();
        assert!(deployment.entries[vm].wait_ended(PATIENCE), "entry-{vm} does not end");
        deployment.restart_entry(vm).unwrap();
        deployment.wait_ready(PATIENCE).unwrap();
        wait_told(&checks, 100);
    }
    let (orders, checks) = (orders.stop(), checks.stop());
    check(&deployment, &orders, false);
    check(&deployment, &checks, true);
    let unserved: Vec<_> =
        checks.told.iter().chain(&orders.told).filter(|told| told.outcome != "ran").collect();
    assert!(unserved.is_empty(), "a planned stop cut requests off: {unserved:?}");
}

#[test]
fn answers_that_are_cut_off_are_never_passed_on() {
    let deployment = start("truncate");
    for runner in 0..3 {
        for domain in ["north", "mid", "south"] {
            deployment.control(&format!("{domain}-r{runner:04}"), "truncate").unwrap();
        }
    }
    let order = deployment.post_request(0, "orders", &FARMER, &[], "3 t").unwrap();
    assert_eq!(order.outcome, "unknown", "{order:?}");
    let check = deployment.post_request(1, "checks", &FARMER, &[], "maize").unwrap();
    assert_ne!(check.outcome, "ran", "{check:?}");
}

#[test]
fn a_runner_that_leaves_gets_nothing_new() {
    let deployment = start("leaving");
    let leaving = ["north-r0000", "mid-r0001", "south-r0002"];
    for runner in leaving {
        deployment.control(runner, "leave").unwrap();
    }
    let seen = deployment.wait_until(PATIENCE, |deployment| {
        let pools = deployment.admin("pools").unwrap_or_default();
        let runners = pools
            .as_array()
            .into_iter()
            .flatten()
            .flat_map(|pool| pool["runners"].as_array().cloned());
        let states: Vec<_> =
            runners.flatten().filter(|runner| runner["state"] == "leaving").collect();
        states.len() == leaving.len()
    });
    assert!(seen, "{:?}", deployment.admin("pools"));
    let before = deployment.runs().unwrap().len();
    let checks = load(&deployment, "checks", false);
    wait_told(&checks, 300);
    check(&deployment, &checks.stop(), true);
    let to_leaving: Vec<_> = deployment
        .runs()
        .unwrap()
        .split_off(before)
        .into_iter()
        .filter(|run| leaving.contains(&run.place.as_str()))
        .collect();
    assert!(to_leaving.is_empty(), "{to_leaving:?}");
}

#[test]
fn a_worker_that_loses_power_has_its_tasks_run_again() {
    let deployment = start("power-cut");
    let batch = json!({ "tasks": 24, "cpu_milli": 4000, "mem_mb": 64, "run_ms": 1500 });
    let job = deployment.post_job(0, "formulas", &FARMER, &[], &batch).unwrap().job().unwrap();
    let pool = job.split(':').next().unwrap().to_owned();
    let some_run = deployment.wait_until(PATIENCE, |deployment| {
        deployment.job(0, &FARMER, &job).is_ok_and(|job| job["tasks"]["running"] != 0)
    });
    assert!(some_run);
    deployment.control(&format!("{pool}-w0000"), "restart").unwrap();
    deployment.control(&format!("{pool}-w0001"), "mute").unwrap();
    let done = deployment.wait_until(PATIENCE, |deployment| {
        deployment.job(0, &FARMER, &job).is_ok_and(|job| job["state"] == "done")
    });
    assert!(done, "{:?}", deployment.job(0, &FARMER, &job));
    let truth = deployment.truth().unwrap();
    assert!(truth.doubled.is_empty() && truth.overfilled.is_empty(), "{truth:?}");
}
