//! `carobsill teams`.

use crate::cli::{AdminArgs, Format};
use crate::cmd::admin;
use crate::messages::Failure;
use crate::output::{field, print_json, resources, rows, table};

/// Shows each team's usage, share and limit.
pub fn run(args: &AdminArgs) -> Result<(), Failure> {
    let teams = admin::get_existing(args, "teams")?;
    if args.format == Format::Json {
        print_json(&teams);
        return Ok(());
    }
    let mut output =
        table(&["TEAM", "SHARE %", "USED %", "RUNNING", "LIMIT CORES", "WAITING TASKS"]);
    for row in rows(&teams)? {
        output.add_row([
            field(row, "team"),
            field(row, "share_percent"),
            field(row, "used_percent"),
            resources(&row["running"]),
            field(row, "limit_cores"),
            field(row, "waiting_tasks"),
        ]);
    }
    println!("{output}");
    Ok(())
}
