//! Three-way merge of concurrent edits to a rules file.

use std::collections::BTreeMap;

use crate::text::split_comment;

/// A rule that two operators changed differently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditConflict {
    /// The line in the common base; empty if both operators added it.
    pub before: String,
    /// The line in the other operator's version; empty if removed.
    pub theirs: String,
    /// The line in this operator's version; empty if removed.
    pub ours: String,
}

/// Identifies a line across versions: by kind and subject if it holds a rule, else by its text.
fn line_key(line: &str) -> String {
    let (rule, _) = split_comment(line);
    let parsed: Option<Vec<crate::Rule>> = libs::serde_saphyr::from_str(rule).ok();
    match parsed.as_deref() {
        Some([rule]) => format!("{} {}", rule.kind(), rule.subject()),
        _ => line.trim().to_owned(),
    }
}

fn lines_by_key(text: &str) -> BTreeMap<String, &str> {
    text.lines().filter(|line| !line.trim().is_empty()).map(|line| (line_key(line), line)).collect()
}

/// Applies the changes between `base` and `ours` to `theirs`.
///
/// Keeps the changes of both sides where they concern different rules. Returns the conflicts if both
/// sides changed the same rule differently.
pub fn merge_edits(base: &str, ours: &str, theirs: &str) -> Result<String, Vec<EditConflict>> {
    let (base_lines, our_lines, their_lines) =
        (lines_by_key(base), lines_by_key(ours), lines_by_key(theirs));
    let mut conflicts = Vec::new();
    let mut changes: BTreeMap<&str, Option<&str>> = BTreeMap::new();
    for key in base_lines.keys().chain(our_lines.keys()) {
        let base_line = base_lines.get(key).copied();
        let our_line = our_lines.get(key).copied();
        let their_line = their_lines.get(key).copied();
        if our_line == base_line || our_line == their_line {
            continue;
        }
        if their_line != base_line {
            conflicts.push(EditConflict {
                before: base_line.unwrap_or_default().to_owned(),
                theirs: their_line.unwrap_or_default().to_owned(),
                ours: our_line.unwrap_or_default().to_owned(),
            });
            continue;
        }
        changes.insert(key, our_line);
    }
    if !conflicts.is_empty() {
        conflicts.dedup();
        return Err(conflicts);
    }
    Ok(apply_changes(theirs, changes))
}

fn apply_changes(theirs: &str, mut changes: BTreeMap<&str, Option<&str>>) -> String {
    let mut merged = String::new();
    for line in theirs.lines() {
        let kept = match changes.remove(line_key(line).as_str()) {
            None => Some(line),
            Some(changed) => changed,
        };
        if let Some(kept) = kept {
            merged.push_str(kept);
            merged.push('\n');
        }
    }
    for added in changes.into_values().flatten() {
        merged.push_str(added);
        merged.push('\n');
    }
    merged
}
