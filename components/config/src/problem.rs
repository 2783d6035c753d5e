//! What is wrong with a rules or settings text, where, and what to do about it.

use std::fmt;

/// One finding in a text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line, from 1. Zero for the text as a whole.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub next_step: String,
}

impl Problem {
    /// A finding at the start of a line.
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
