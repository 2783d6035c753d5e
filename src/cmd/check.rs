//! `carobsill check`.

use libs::serde_json::json;

use crate::cli::{CheckArgs, Format};
use crate::files::{check_rules, read_text};
use crate::messages::{self, Failure};
use crate::output::print_json;

/// Validates a rules file and prints its problems.
pub fn run(args: &CheckArgs) -> Result<(), Failure> {
    let name = args.file.display().to_string();
    let text = read_text(&args.file)?;
    let result = check_rules(&name, &text);
    if args.format == Format::Json {
        let problems = match &result {
            Err(Failure::Problems(_, problems)) => problems.as_slice(),
            _ => &[],
        };
        let rows: Vec<_> = problems
            .iter()
            .map(|problem| {
                json!({
                    "line": problem.line,
                    "column": problem.column,
                    "message": problem.message,
                    "next_step": problem.next_step,
                })
            })
            .collect();
        print_json(&json!({ "file": name, "problems": rows }));
    }
    result?;
    if args.format == Format::Text {
        let rule_count = text.lines().filter(|line| line.trim_start().starts_with("- ")).count();
        println!("{}", messages::checked(&name, rule_count));
    }
    Ok(())
}
