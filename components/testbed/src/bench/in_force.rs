//! Measures the time until a change of the rules is in force at every entry.

use std::time::{Duration, Instant};

use errors::{Error, Result};
use testbed::{Deployment, DeploymentSize, TestKey, vandermolen_rules};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
/// Time limit for one change to reach all entries.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Changes the rules several times and prints quantiles of the time until the last entry has them.
pub fn run(changes: u64) -> Result<()> {
    let size = DeploymentSize { vms: 7, ..DeploymentSize::default() };
    let deployment = Deployment::start("in-force", &size, &[FARMER])?;
    let mut times_ms = Vec::new();
    for change in 0..changes {
        let rules = vandermolen_rules(&size.domains, &[FARMER]);
        let text = format!("{rules}- team: {{name: team-{change}, share: 1}}  # bench\n");
        let version = change + 2;
        let response = deployment.put_rules(change + 1, &text)?;
        if response.status != 200 {
            return Err(Error::Refused(response.status, "write of the rules".to_owned()));
        }
        let started_at = Instant::now();
        let in_force_everywhere = deployment.wait_until(IN_FORCE_TIMEOUT, |deployment| {
            deployment.entry_addresses.iter().all(|entry| {
                let health = deployment.client.get(*entry, "/v1/health", "");
                health.is_ok_and(|answer| answer.json()["rules_version"].as_u64() >= Some(version))
            })
        });
        if !in_force_everywhere {
            return Err(Error::Unanswered(format!(
                "rules version {version} is not in force at every entry after {IN_FORCE_TIMEOUT:?}"
            )));
        }
        times_ms.push(started_at.elapsed().as_secs_f64() * 1000.0);
    }
    times_ms.sort_by(f64::total_cmp);
    let quantile =
        |fraction: f64| times_ms[((times_ms.len() - 1) as f64 * fraction).round() as usize];
    println!(
        "{changes} changes over 7 entries: median {:.0} ms, p99 {:.0} ms, max {:.0} ms",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    Ok(())
}
