//! `carobsill-demo`: runs the main job against the stand-ins and prints what happened.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use errors::Result;
use libs::serde_json::json;
use testbed::{Deployment, HttpAnswer, Size, TestKey};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
const MILLER: TestKey = TestKey { name: "miller", secret: "millers-secret", team: Some("mill") };
/// Longest time to wait for jobs to end.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    println!(
        "starting 3 entry VMs (an entry and a scheduler each), a key-value service, workers and runners"
    );
    let mut deployment = Deployment::start("demo", &Size::default(), &[FARMER, MILLER])?;
    print_owners(&deployment);
    println!("\nration checks (idempotent, the farmer waits):");
    for index in 0..3 {
        timed(&format!("check {index} through entry {index}"), || {
            deployment.post_request(index, "checks", &FARMER, &[], "maize 40, soy 20")
        })?;
    }
    println!("\na feed order (non-idempotent), sent twice with the same key through two entries:");
    let key = [("Idempotency-Key", "order-17")];
    timed("order 17 through entry 0", || {
        deployment.post_request(0, "orders", &FARMER, &key, "3 t sow feed")
    })?;
    timed("order 17 through entry 2", || {
        deployment.post_request(2, "orders", &FARMER, &key, "3 t sow feed")
    })?;
    println!("\na mill batch of 20 tasks, a gang of 4 and a service of 3:");
    let jobs = submit_jobs(&deployment)?;
    wait_for_jobs(&deployment, &jobs)?;
    println!("\na wrong key, and a job that can never run:");
    let wrong = TestKey { secret: "guessed", ..FARMER };
    timed("check with a wrong key", || deployment.post_request(0, "checks", &wrong, &[], ""))?;
    let huge = json!({ "cpu_milli": 64_000, "mem_mb": 1024, "run_ms": 1000 });
    timed("job for 64 cores", || deployment.post_job(0, "formulas", &MILLER, &[], &huge))?;
    lose_an_owner(&mut deployment)?;
    let truth = deployment.truth()?;
    println!("\nwhat the stand-ins saw: {} runs, {} ran to their end", truth.runs, truth.completed);
    println!(
        "in two places at once: {}, workers overfilled: {}",
        truth.doubled.len(),
        truth.overfilled.len()
    );
    Ok(())
}

fn print_owners(deployment: &Deployment) {
    for pool in ["north", "mid", "south"] {
        if let Some(vm) = deployment.owner_of(pool) {
            println!("  pool {pool} is owned by scheduler-{vm}");
        }
    }
}

fn timed(what: &str, call: impl FnOnce() -> Result<HttpAnswer>) -> Result<HttpAnswer> {
    let started = Instant::now();
    let answer = call()?;
    let took_ms = started.elapsed().as_secs_f64() * 1000.0;
    let body: String = answer.body.chars().take(110).collect();
    let outcome = if answer.outcome.is_empty() { "refused" } else { &answer.outcome };
    println!("  {what}: {} {outcome} in {took_ms:.1} ms: {body}", answer.status);
    Ok(answer)
}

fn submit_jobs(deployment: &Deployment) -> Result<Vec<String>> {
    let batch = json!({ "tasks": 20, "cpu_milli": 2000, "mem_mb": 2048, "run_ms": 400 });
    let gang = json!({ "tasks": 4, "cpu_milli": 8000, "mem_mb": 8192, "run_ms": 600 });
    let service = json!({ "tasks": 3, "cpu_milli": 500, "mem_mb": 512 });
    let mut jobs = Vec::new();
    for (queue, job) in [("formulas", batch), ("plans", gang)] {
        let answer = timed(queue, || deployment.post_job(0, queue, &MILLER, &[], &job))?;
        jobs.extend(answer.job());
    }
    timed("watchers", || deployment.post_job(0, "watchers", &FARMER, &[], &service))?;
    Ok(jobs)
}

fn wait_for_jobs(deployment: &Deployment, jobs: &[String]) -> Result<()> {
    let started = Instant::now();
    let done = deployment.wait_until(JOB_TIMEOUT, |deployment| {
        let state =
            |job: &String| deployment.job(1, &MILLER, job).map(|found| found["state"].clone());
        jobs.iter().all(|job| state(job).is_ok_and(|state| state == "done"))
    });
    for job in jobs {
        let found = deployment.job(1, &MILLER, job)?;
        println!("  {job}: {} {}", found["state"], found["tasks"]);
    }
    println!(
        "  all done: {done}, {:.1} s after the last submission",
        started.elapsed().as_secs_f64()
    );
    Ok(())
}

fn lose_an_owner(deployment: &mut Deployment) -> Result<()> {
    println!("\nthe scheduler that owns pool north is killed:");
    let Some(vm) = deployment.owner_of("north") else { return Ok(()) };
    deployment.schedulers[vm].kill();
    let started = Instant::now();
    let moved = deployment.wait_until(JOB_TIMEOUT, |deployment| {
        deployment.owner_of("north").is_some_and(|owner| owner != vm) && deployment.pools_are_up()
    });
    println!(
        "  another owner has attached workers and runners: {moved}, after {:.1} s",
        started.elapsed().as_secs_f64()
    );
    timed("check through entry 0", || {
        deployment.post_request(0, "checks", &FARMER, &[], "maize 40")
    })?;
    Ok(())
}
