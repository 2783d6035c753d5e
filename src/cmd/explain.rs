//! `carobsill explain`.

use crate::cli::{ExplainArgs, Format};
use crate::cmd::admin;
use crate::messages::Failure;
use crate::output::{field, print_json};

/// Explains why a job is waiting.
pub fn run(args: &ExplainArgs) -> Result<(), Failure> {
    let response = admin::get(&args.admin, &format!("jobs/{}", args.job))?;
    let Some(job) = response else {
        return Err(Failure::NotFound(format!(
            "job {} does not exist, or its pool currently has no owner",
            args.job
        )));
    };
    if args.admin.format == Format::Json {
        print_json(&job);
        return Ok(());
    }
    let tasks = &job["tasks"];
    println!(
        "job {} of team {} is {}",
        field(&job, "id"),
        field(&job, "team"),
        field(&job, "state")
    );
    println!(
        "tasks: {} waiting, {} running, {} done, {} failed, {} unknown",
        field(tasks, "waiting"),
        field(tasks, "running"),
        field(tasks, "done"),
        field(tasks, "failed"),
        field(tasks, "unknown")
    );
    let explanation = field(&job, "explanation");
    if !explanation.is_empty() {
        println!("reason for waiting: {explanation}");
    }
    Ok(())
}
