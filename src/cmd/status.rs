//! `carobsill status`.

use crate::cli::{AdminArgs, Format};
use crate::cmd::admin;
use crate::messages::Failure;
use crate::output::{field, print_json, resources, rows, table};

/// Shows processes and pools.
pub fn run(args: &AdminArgs) -> Result<(), Failure> {
    let status = admin::get_existing(args, "status")?;
    if args.format == Format::Json {
        print_json(&status);
        return Ok(());
    }
    println!(
        "rules version {}, confirmed: {}\n",
        field(&status, "rules_version"),
        field(&status, "rules_confirmed")
    );
    let mut processes = table(&["PROCESS", "ROLE", "ADDRESS", "ALIVE", "RULES"]);
    for row in rows(&status["processes"])? {
        processes.add_row(
            ["name", "role", "address", "alive", "rules_version"].map(|name| field(row, name)),
        );
    }
    println!("{processes}\n");
    let mut pools = table(&[
        "POOL",
        "OWNER",
        "EPOCH",
        "WORKERS UP",
        "RUNNERS UP",
        "GRANTED",
        "OF",
        "JOBS",
        "WAITING",
    ]);
    for row in rows(&status["pools"])? {
        pools.add_row([
            field(row, "pool"),
            field(row, "owner"),
            field(row, "epoch"),
            format!("{}/{}", field(row, "workers_up"), field(row, "workers")),
            format!("{}/{}", field(row, "runners_up"), field(row, "runners")),
            resources(&row["granted"]),
            resources(&row["capacity"]),
            field(row, "live_jobs"),
            field(row, "waiting_requests"),
        ]);
    }
    println!("{pools}");
    Ok(())
}
