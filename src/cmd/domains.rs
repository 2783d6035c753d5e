//! `carobsill domains`.

use std::collections::BTreeMap;

use config::Rules;
use libs::serde_json::{Value, json};
use types::{DomainId, PoolId};

use crate::cli::{AdminArgs, DomainsArgs, Format};
use crate::cmd::{admin, store};
use crate::files::check_rules;
use crate::messages::{self, Failure};
use crate::output::{field, print_json, rows, table};

/// Shows each failure domain, whether it is evacuated, and what runs there.
pub fn run(args: &DomainsArgs) -> Result<(), Failure> {
    let stored = store::read_rules(&store::open(&args.store))?
        .ok_or_else(|| Failure::NotFound(messages::no_rules()))?;
    let rules = check_rules("the stored rules", &stored.text)?;
    let statuses = match (&args.entry, &args.key) {
        (Some(entry), Some(key)) => {
            let admin = AdminArgs { entry: entry.clone(), key: key.clone(), format: args.format };
            rows(&admin::get_existing(&admin, "pools")?)?.clone()
        }
        _ => Vec::new(),
    };
    let domains = domain_rows(&rules, &statuses);
    if args.format == Format::Json {
        print_json(&Value::Array(domains));
        return Ok(());
    }
    let mut output =
        table(&["DOMAIN", "POOLS", "EVACUATED", "ASKED BY", "TASKS", "REQUESTS IN SLOTS"]);
    for row in &domains {
        let pools: Vec<&str> =
            row["pools"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        output.add_row([
            field(row, "domain"),
            pools.join(", "),
            field(row, "evacuated"),
            field(row, "asked_by"),
            field(row, "tasks"),
            field(row, "requests"),
        ]);
    }
    println!("{output}");
    Ok(())
}

/// One row for each failure domain. `statuses` are those of the pools whose owners have answered.
fn domain_rows(rules: &Rules, statuses: &[Value]) -> Vec<Value> {
    let mut domains: BTreeMap<&DomainId, Vec<&PoolId>> = BTreeMap::new();
    for pool in rules.pools() {
        domains.entry(&pool.domain).or_default().push(&pool.name);
    }
    let row = |(domain, pools): (&DomainId, Vec<&PoolId>)| {
        let evacuation = rules.evacuation(domain);
        json!({
            "domain": domain,
            "pools": pools,
            "evacuated": evacuation.is_some(),
            "asked_by": evacuation,
            "tasks": total(&pools, statuses, "workers", "tasks"),
            "requests": total(&pools, statuses, "runners", "busy"),
        })
    };
    domains.into_iter().map(row).collect()
}

/// Sum of a field over the back ends of the pools. `None` if the status of a pool is not known: a
/// sum without it could show a domain as empty that is not.
fn total(pools: &[&PoolId], statuses: &[Value], backends: &str, name: &str) -> Option<u64> {
    let of_pool = |pool: &&PoolId| {
        let status = statuses.iter().find(|status| status["pool"] == pool.as_str())?;
        let counts = status[backends].as_array()?.iter().map(|backend| backend[name].as_u64());
        counts.sum::<Option<u64>>()
    };
    pools.iter().map(of_pool).sum()
}

#[cfg(test)]
mod tests {
    use types::RulesVersion;

    use super::*;

    const RULES: &str = "\
- pool: {name: a, domain: north}  # Hanna
- pool: {name: b, domain: north}  # Hanna
- pool: {name: c, domain: south}  # Hanna
- evacuate: {domain: south}  # Piet, 2026-12-04
";

    /// Guards against a domain that is shown as empty while the owner of one of its pools does not
    /// answer.
    #[test]
    fn a_domain_shows_who_asked_and_counts_only_if_all_its_pools_have_answered() {
        let rules = Rules::parse(RulesVersion(1), RULES).unwrap();
        let status = |pool: &str| {
            json!({
                "pool": pool,
                "workers": [{"tasks": 2}, {"tasks": 1}],
                "runners": [{"busy": 4}],
            })
        };
        let rows = domain_rows(&rules, &[status("a"), status("c")]);
        let north = json!({
            "domain": "north", "pools": ["a", "b"], "evacuated": false, "asked_by": null,
            "tasks": null, "requests": null,
        });
        let south = json!({
            "domain": "south", "pools": ["c"], "evacuated": true, "asked_by": "Piet, 2026-12-04",
            "tasks": 3, "requests": 4,
        });
        assert_eq!(rows, [north, south]);
    }
}
