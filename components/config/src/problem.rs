//! Validation problems in a rules file.

use std::fmt;

/// A validation problem: its position, its cause and how to fix it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line number, starting at 1. Zero for a problem of the file as a whole.
    pub line: usize,
    /// Column number, starting at 1. Zero for a problem of the file as a whole.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// How to fix it.
    pub next_step: String,
}

impl Problem {
    /// Creates a problem at the start of a line.
    pub fn at_line(line: usize, message: impl Into<String>, next_step: impl Into<String>) -> Self {
        Self { line, column: 1, message: message.into(), next_step: next_step.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}. {}",
            self.line, self.column, self.message, self.next_step
        )
    }
}
