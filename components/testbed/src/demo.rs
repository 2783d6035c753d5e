//! `carobsill-demo`: sends requests and jobs to a deployment on this machine and prints the answers.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use errors::Result;
use libs::serde_json::json;
use testbed::{Deployment, DeploymentSize, HttpResponse, TestKey};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
const MILLER: TestKey = TestKey { name: "miller", secret: "millers-secret", team: Some("mill") };
/// Time limit for jobs to finish and for a pool to be taken over.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carobsill-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    println!(
        "starting 3 entry VMs (an entry and a scheduler each), a key-value service, workers and runners"
    );
    let mut deployment = Deployment::start("demo", &DeploymentSize::default(), &[FARMER, MILLER])?;
    print_owners(&deployment);
    println!("\nration checks (idempotent, the farmer waits):");
    for index in 0..3 {
        print_timed(&format!("check {index} through entry {index}"), || {
            deployment.post_request(index, "checks", &FARMER, &[], "maize 40, soy 20")
        })?;
    }
    println!(
        "\na feed order (non-idempotent), sent twice with the same idempotency key through two entries:"
    );
    let key = [("Idempotency-Key", "order-17")];
    print_timed("order 17 through entry 0", || {
        deployment.post_request(0, "orders", &FARMER, &key, "3 t sow feed")
    })?;
    print_timed("order 17 through entry 2", || {
        deployment.post_request(2, "orders", &FARMER, &key, "3 t sow feed")
    })?;
    println!("\na mill batch of 20 tasks, a gang of 4 and a service of 3:");
    let jobs = submit_jobs(&deployment)?;
    wait_for_jobs(&deployment, &jobs)?;
    println!("\na wrong key, and a job that can never run:");
    let wrong = TestKey { secret: "guessed", ..FARMER };
    print_timed("check with a wrong key", || {
        deployment.post_request(0, "checks", &wrong, &[], "")
    })?;
    let huge = json!({ "cpu_milli": 64_000, "mem_mb": 1024, "run_ms": 1000 });
    print_timed("job for 64 cores", || deployment.post_job(0, "formulas", &MILLER, &[], &huge))?;
    kill_owner(&mut deployment)?;
    let summary = deployment.run_summary()?;
    println!(
        "\nruns logged by the stand-ins: {}, of them completed: {}",
        summary.runs, summary.completed
    );
    println!(
        "ids of which two runs overlapped: {}, starts beyond a worker's capacity: {}",
        summary.overlapping_ids.len(),
        summary.overcommits.len()
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

fn print_timed(label: &str, call: impl FnOnce() -> Result<HttpResponse>) -> Result<HttpResponse> {
    let started_at = Instant::now();
    let answer = call()?;
    let elapsed_ms = started_at.elapsed().as_secs_f64() * 1000.0;
    let body: String = answer.body.chars().take(110).collect();
    let outcome = if answer.outcome.is_empty() { "refused" } else { &answer.outcome };
    println!("  {label}: {} {outcome} in {elapsed_ms:.1} ms: {body}", answer.status);
    Ok(answer)
}

fn submit_jobs(deployment: &Deployment) -> Result<Vec<String>> {
    let batch = json!({ "tasks": 20, "cpu_milli": 2000, "mem_mb": 2048, "run_ms": 400 });
    let gang = json!({ "tasks": 4, "cpu_milli": 8000, "mem_mb": 8192, "run_ms": 600 });
    let service = json!({ "tasks": 3, "cpu_milli": 500, "mem_mb": 512 });
    let mut jobs = Vec::new();
    for (queue, job) in [("formulas", batch), ("plans", gang)] {
        let answer = print_timed(queue, || deployment.post_job(0, queue, &MILLER, &[], &job))?;
        jobs.extend(answer.job());
    }
    print_timed("watchers", || deployment.post_job(0, "watchers", &FARMER, &[], &service))?;
    Ok(jobs)
}

fn wait_for_jobs(deployment: &Deployment, jobs: &[String]) -> Result<()> {
    let started_at = Instant::now();
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
        started_at.elapsed().as_secs_f64()
    );
    Ok(())
}

fn kill_owner(deployment: &mut Deployment) -> Result<()> {
    println!("\nthe scheduler that owns pool north is killed:");
    let Some(vm) = deployment.owner_of("north") else { return Ok(()) };
    deployment.schedulers[vm].kill();
    let started_at = Instant::now();
    let taken_over = deployment.wait_until(JOB_TIMEOUT, |deployment| {
        deployment.owner_of("north").is_some_and(|owner| owner != vm) && deployment.pools_are_up()
    });
    println!(
        "  another owner has attached workers and runners: {taken_over}, after {:.1} s",
        started_at.elapsed().as_secs_f64()
    );
    print_timed("check through entry 0", || {
        deployment.post_request(0, "checks", &FARMER, &[], "maize 40")
    })?;
    Ok(())
}
