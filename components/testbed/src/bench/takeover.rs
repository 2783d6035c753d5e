//! Measures the time until a pool answers again after its owner is killed.

use std::time::{Duration, Instant};

use errors::{Error, Result};
use libs::rand::{self, Rng};
use testbed::{Deployment, DeploymentSize, TestKey};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
/// Time limit for another process to take the pool over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two probes of a pool.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Upper bound, exclusive, of the random pause between two kills.
const MAX_PAUSE_MS: u64 = 2_500;

/// Kills owners of pools and prints how long each pool was unavailable.
pub fn run(kills: usize) -> Result<()> {
    let mut deployment = Deployment::start(
        "takeover",
        &DeploymentSize { vms: 4, ..DeploymentSize::default() },
        &[FARMER],
    )?;
    let mut outages = Vec::new();
    for kill in 0..kills {
        let pool = ["north", "mid", "south"][kill % 3];
        let pause_ms = rand::rng().random_range(1_600..MAX_PAUSE_MS);
        std::thread::sleep(Duration::from_millis(pause_ms));
        let owner = deployment
            .owner_of(pool)
            .ok_or_else(|| Error::Unanswered(format!("pool {pool} has no owner")))?;
        // Requests with the same idempotency key always go to the same pool.
        let key = find_key_of_pool(&deployment, pool)?;
        deployment.schedulers[owner].kill();
        let killed_at = Instant::now();
        let outage = time_until_answered(&deployment, &key)?;
        println!(
            "kill {kill}: pool {pool} of scheduler-{owner} answered again after {:.2} s",
            outage.as_secs_f64()
        );
        outages.push(killed_at.elapsed());
        deployment.restart_scheduler(owner)?;
        deployment.wait_ready(TAKEOVER_TIMEOUT)?;
    }
    outages.sort();
    let quantile_s = |fraction: f64| {
        outages[((outages.len() - 1) as f64 * fraction).round() as usize].as_secs_f64()
    };
    println!(
        "{} kills: median {:.2} s, max {:.2} s",
        outages.len(),
        quantile_s(0.5),
        quantile_s(1.0)
    );
    Ok(())
}

/// Finds an idempotency key whose requests go to this pool.
fn find_key_of_pool(deployment: &Deployment, pool: &str) -> Result<String> {
    for number in 0..1_000 {
        let key = format!("probe-{}-{number}", rand::rng().random::<u32>());
        let answer =
            deployment.post_request(0, "checks", &FARMER, &[("Idempotency-Key", &key)], "probe")?;
        if answer.json()["runner"].as_str().is_some_and(|runner| runner.starts_with(pool)) {
            return Ok(key);
        }
    }
    Err(Error::Unanswered(format!("no idempotency key leads to pool {pool}")))
}

fn time_until_answered(deployment: &Deployment, key: &str) -> Result<Duration> {
    let started_at = Instant::now();
    while started_at.elapsed() < TAKEOVER_TIMEOUT {
        let answer =
            deployment.post_request(0, "checks", &FARMER, &[("Idempotency-Key", key)], "probe");
        if answer.is_ok_and(|answer| answer.outcome == "ran") {
            return Ok(started_at.elapsed());
        }
        std::thread::sleep(PROBE_INTERVAL);
    }
    Err(Error::Unanswered(format!("the pool did not answer within {TAKEOVER_TIMEOUT:?}")))
}
