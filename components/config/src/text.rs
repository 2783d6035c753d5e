//! Line-based parser of the rules file.
//!
//! Each rule occupies one line and is parsed separately, so that a syntax error is reported on the
//! line that contains it.

use libs::serde_saphyr;

use crate::{Problem, Rule};

/// A rule and its position in the rules file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RuleLine {
    /// Line number, starting at 1.
    pub(crate) line: usize,
    pub(crate) rule: Rule,
    /// Who requested the rule, from the comment at the end of the line.
    pub(crate) requested_by: String,
}

/// Parses all lines, skipping blank lines and comment lines.
pub(crate) fn parse_lines(text: &str) -> (Vec<RuleLine>, Vec<Problem>) {
    let mut rules = Vec::new();
    let mut problems = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let content = line.trim();
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        match parse_line(index + 1, line) {
            Ok(rule) => rules.push(rule),
            Err(problem) => problems.push(problem),
        }
    }
    (rules, problems)
}

/// Splits a line into the rule and the comment that follows it.
pub(crate) fn split_comment(line: &str) -> (&str, &str) {
    match line.split_once(" #") {
        Some((rule, comment)) => (rule.trim_end(), comment.trim()),
        None => (line.trim_end(), ""),
    }
}

fn parse_line(line: usize, text: &str) -> Result<RuleLine, Problem> {
    let (rule_text, requested_by) = split_comment(text);
    if !rule_text.trim_start().starts_with("- ") {
        return Err(Problem::at_line(
            line,
            "a rule must start with '- '",
            "Write it like '- team: {name: lakeside, share: 30}  # who asked'",
        ));
    }
    if requested_by.is_empty() {
        return Err(Problem {
            line,
            column: rule_text.chars().count() + 1,
            message: "the rule has no comment that says who requested it".to_owned(),
            next_step: "Add a comment such as '  # Hanna, 2026-11-02'".to_owned(),
        });
    }
    let mut parsed: Vec<Rule> =
        serde_saphyr::from_str(rule_text).map_err(|error| yaml_problem(line, &error))?;
    match (parsed.pop(), parsed.is_empty()) {
        (Some(rule), true) => Ok(RuleLine { line, rule, requested_by: requested_by.to_owned() }),
        _ => Err(Problem::at_line(
            line,
            "a line must contain exactly one rule",
            "Write each rule on its own line",
        )),
    }
}

fn yaml_problem(line: usize, error: &serde_saphyr::Error) -> Problem {
    let column = error.location().map_or(1, |location| location.column() as usize);
    let rendered = error.without_snippet().to_string();
    let message = rendered.lines().next().unwrap_or_default().trim_end_matches('.').to_owned();
    Problem {
        line,
        column,
        message,
        next_step: "See docs/OPERATORS.md for the syntax of each rule".to_owned(),
    }
}
