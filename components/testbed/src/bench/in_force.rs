//! Time until a change of the rules is in force in every entry.

use std::time::{Duration, Instant};

use errors::{Error, Result};
use testbed::{Deployment, Size, TestKey, vandermolen_rules};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
/// Longest time to wait for a change.
const PATIENCE: Duration = Duration::from_secs(10);

/// Changes the rules and prints how long each change took to reach the last entry.
pub fn run(changes: u64) -> Result<()> {
    let size = Size { vms: 7, ..Size::default() };
    let deployment = Deployment::start("in-force", &size, &[FARMER])?;
    let mut times = Vec::new();
    for change in 0..changes {
        let rules = vandermolen_rules(&size.domains, &[FARMER]);
        let text = format!("{rules}- team: {{name: team-{change}, share: 1}}  # bench\n");
        let version = change + 2;
        let written = deployment.put_rules(change + 1, &text)?;
        if written.status != 200 {
            return Err(Error::Refused(written.status, "rules".to_owned()));
        }
        let started = Instant::now();
        let everywhere = deployment.wait_until(PATIENCE, |deployment| {
            deployment.entry_addresses.iter().all(|entry| {
                let health = deployment.client.get(*entry, "/v1/health", "");
                health.is_ok_and(|answer| answer.json()["rules_version"].as_u64() >= Some(version))
            })
        });
        if !everywhere {
            return Err(Error::Unanswered(format!("version {version} is not in force everywhere")));
        }
        times.push(started.elapsed().as_secs_f64() * 1000.0);
    }
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[((times.len() - 1) as f64 * part).round() as usize];
    println!(
        "{changes} changes over 7 entries: median {:.0} ms, p99 {:.0} ms, longest {:.0} ms",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    Ok(())
}
