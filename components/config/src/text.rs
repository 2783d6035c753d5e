//! Splits a rules text into lines and parses each by itself.
//!
//! A rule is one line, so that a mistake in one line is always reported there.

use libs::serde_saphyr;

use crate::{Problem, Rule};

/// A rule with its place in the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RuleLine {
    /// Line, from 1.
    pub(crate) line: usize,
    /// The rule.
    pub(crate) rule: Rule,
    /// Who asked for it.
    pub(crate) asker: String,
}

/// Parses all lines. Blank lines and lines that are only a comment hold no rule.
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

/// Splits a line into its rule and its comment.
pub(crate) fn split_comment(line: &str) -> (&str, &str) {
    match line.split_once(" #") {
        Some((rule, comment)) => (rule.trim_end(), comment.trim()),
        None => (line.trim_end(), ""),
    }
}

fn parse_line(line: usize, text: &str) -> Result<RuleLine, Problem> {
    let (rule_text, asker) = split_comment(text);
    if !rule_text.trim_start().starts_with("- ") {
        return Err(Problem::at_line(
            line,
            "a rule starts with '- '",
            "Write it as in '- team: {name: lakeside, share: 30}  # who asked'",
        ));
    }
    if asker.is_empty() {
        return Err(Problem {
            line,
            column: rule_text.chars().count() + 1,
            message: "the rule does not say who asked for it".to_owned(),
            next_step: "Add a comment such as '  # Hanna, 2026-11-02'".to_owned(),
        });
    }
    let mut parsed: Vec<Rule> =
        serde_saphyr::from_str(rule_text).map_err(|error| yaml_problem(line, &error))?;
    match (parsed.pop(), parsed.is_empty()) {
        (Some(rule), true) => Ok(RuleLine { line, rule, asker: asker.to_owned() }),
        _ => Err(Problem::at_line(
            line,
            "the line does not hold one rule",
            "Write one rule on each line",
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
        next_step: "Compare the line with docs/OPERATORS.md, where every rule is shown".to_owned(),
    }
}
