//! Merges the edits of two operators who started from the same rules text.

use std::collections::BTreeMap;

use crate::text::split_comment;

/// A line that two operators changed in different ways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditConflict {
    /// The line before both edits; empty if both added it.
    pub before: String,
    /// The line as the other operator left it; empty if removed.
    pub theirs: String,
    /// The line as this operator left it; empty if removed.
    pub ours: String,
}

/// Identity of a rule line: its word and subject, or its whole text where it has none.
fn line_key(line: &str) -> String {
    let (rule, _) = split_comment(line);
    let parsed: Option<Vec<crate::Rule>> = libs::serde_saphyr::from_str(rule).ok();
    match parsed.as_deref() {
        Some([rule]) => format!("{} {}", rule.word(), rule.subject()),
        _ => line.trim().to_owned(),
    }
}

fn keyed(text: &str) -> BTreeMap<String, &str> {
    text.lines().filter(|line| !line.trim().is_empty()).map(|line| (line_key(line), line)).collect()
}

/// Applies to `theirs` the changes from `base` to `ours`.
///
/// Changes to different rules are both kept. Errors: the rules that both sides changed differently.
pub fn merge_edits(base: &str, ours: &str, theirs: &str) -> Result<String, Vec<EditConflict>> {
    let (base_lines, our_lines, their_lines) = (keyed(base), keyed(ours), keyed(theirs));
    let mut conflicts = Vec::new();
    let mut changes: BTreeMap<&str, Option<&str>> = BTreeMap::new();
    for key in base_lines.keys().chain(our_lines.keys()) {
        let before = base_lines.get(key).copied();
        let mine = our_lines.get(key).copied();
        let other = their_lines.get(key).copied();
        if mine == before || mine == other {
            continue;
        }
        if other != before {
            conflicts.push(EditConflict {
                before: before.unwrap_or_default().to_owned(),
                theirs: other.unwrap_or_default().to_owned(),
                ours: mine.unwrap_or_default().to_owned(),
            });
            continue;
        }
        changes.insert(key, mine);
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
