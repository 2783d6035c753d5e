//! Time without answers after an owner is killed.

use std::time::{Duration, Instant};

use errors::{Error, Result};
use libs::rand::{self, Rng};
use testbed::{Deployment, Size, TestKey};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
/// Longest time to wait for another owner.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause between two probes of a pool.
const PROBE_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause between two kills, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_500;

/// Kills owners and prints how long their pools answered nothing.
pub fn run(kills: usize) -> Result<()> {
    let mut deployment =
        Deployment::start("takeover", &Size { vms: 4, ..Size::default() }, &[FARMER])?;
    let mut gaps = Vec::new();
    for kill in 0..kills {
        let pool = ["north", "mid", "south"][kill % 3];
        let pause_ms = rand::rng().random_range(1_600..MAX_PAUSE_MS);
        std::thread::sleep(Duration::from_millis(pause_ms));
        let owner =
            deployment.owner_of(pool).ok_or_else(|| Error::Unanswered("no owner".to_owned()))?;
        // Orders with a fixed key go to a fixed pool: the probe is one that belongs to this pool.
        let key = key_of_pool(&deployment, pool)?;
        deployment.schedulers[owner].kill();
        let killed_at = Instant::now();
        let gap = time_until_answered(&deployment, &key)?;
        println!(
            "kill {kill}: pool {pool} of scheduler-{owner} answered again after {:.2} s",
            gap.as_secs_f64()
        );
        gaps.push(killed_at.elapsed());
        deployment.restart_scheduler(owner)?;
        deployment.wait_ready(PATIENCE)?;
    }
    gaps.sort();
    let at = |part: f64| gaps[((gaps.len() - 1) as f64 * part).round() as usize].as_secs_f64();
    println!("{} kills: median {:.2} s, longest {:.2} s", gaps.len(), at(0.5), at(1.0));
    Ok(())
}

/// A key whose requests go to this pool.
fn key_of_pool(deployment: &Deployment, pool: &str) -> Result<String> {
    for number in 0..1_000 {
        let key = format!("probe-{}-{number}", rand::rng().random::<u32>());
        let answer =
            deployment.post_request(0, "checks", &FARMER, &[("Idempotency-Key", &key)], "probe")?;
        if answer.json()["runner"].as_str().is_some_and(|runner| runner.starts_with(pool)) {
            return Ok(key);
        }
    }
    Err(Error::Unanswered(format!("no probe reached pool {pool}")))
}

fn time_until_answered(deployment: &Deployment, key: &str) -> Result<Duration> {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        let answer =
            deployment.post_request(0, "checks", &FARMER, &[("Idempotency-Key", key)], "probe");
        if answer.is_ok_and(|answer| answer.outcome == "ran") {
            return Ok(started.elapsed());
        }
        std::thread::sleep(PROBE_PAUSE);
    }
    Err(Error::Unanswered("the pool did not answer again".to_owned()))
}
