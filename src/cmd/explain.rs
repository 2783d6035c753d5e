//! `carobsill explain`.

use crate::cli::{ExplainArgs, Format};
use crate::cmd::admin;
use crate::messages::Failure;
use crate::output::{field, print_json};

/// Says why a job waits.
pub fn run(args: &ExplainArgs) -> Result<(), Failure> {
    let found = admin::get(&args.admin, &format!("jobs/{}", args.job))?;
    let Some(job) = found else {
        return Err(Failure::Missing(format!(
            "there is no job {}, or its pool has no owner now",
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
        println!("waits because: {explanation}");
    }
    Ok(())
}
