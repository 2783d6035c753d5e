//! The rules file: what is refused, where and why, and how edits merge.

use config::{KeyCheck, KeyHash, Rules, merge_edits, parse_bearer};
use proptest::prelude::*;
use types::{Resources, RulesVersion};

const GOOD: &str = "\
# Comment lines and blank lines hold no rule.

- pool: {name: north, domain: north}  # Hanna
- pool: {name: south, domain: south}  # Hanna
- team: {name: mill, share: 30}  # Piet
- limit: {team: mill, cores: 12, accels: 0}  # Piet
- queue: {name: labels, kind: batch}  # Piet
- pin: {queue: labels, domain: south}  # Piet
- headroom: {pool: north, percent: 10}  # Hanna
";

fn problems(line: &str) -> String {
    let text = format!("{GOOD}{line}\n");
    match Rules::parse(RulesVersion(1), &text) {
        Ok(_) => "no problem".to_owned(),
        Err(problems) => problems.iter().map(|problem| format!("{problem}\n")).collect(),
    }
}

#[test]
fn a_good_file_answers_questions() {
    let rules = Rules::parse(RulesVersion(7), GOOD).unwrap();
    let mill = "mill".parse().unwrap();
    let limit = rules.limit(&mill).unwrap();
    assert_eq!(limit.resources, Resources { cpu_milli: 12_000, mem_mb: u64::MAX, accels: 0 });
    let pools = rules.pools_for(&"labels".parse().unwrap());
    assert_eq!(pools, ["south".parse().unwrap()]);
    assert_eq!(rules.headroom_percent(&"north".parse().unwrap()), 10);
}

#[test]
fn bad_lines_are_refused_with_place_reason_and_next_step() {
    let lines = [
        "- team: {name: mill, share: 1}  # twice",
        "- team: {name: lakeside, share: 0}  # nothing",
        "- team: {name: lakeside, share: many}  # no number",
        "- team: {name: lakeside, weight: 3}  # unknown word",
        "- team: {name: \"lake side\", share: 3}  # bad name",
        "- team: {name: lakeside, share: 3",
        "- team: {name: lakeside, share: 3}",
        "team: {name: lakeside, share: 3}  # no dash",
        "- crew: {name: lakeside}  # unknown rule",
        "- limit: {team: nobody, cores: 3}  # no such team",
        "- limit: {team: mill}  # limits nothing",
        "- key: {name: k, team: mill, sha256: \"12\"}  # no hash",
        "- queue: {name: q, kind: service, open: true}  # services without a key",
        "- queue: {name: q, kind: request, deadline_ms: 10}  # deadline below the run limit",
        "- pin: {queue: q, domain: north}  # no such queue",
        "- avoid: {queue: labels, domain: west}  # no such domain",
        "- headroom: {pool: north, percent: 99}  # twice, and too much",
        "- team: {name: a, share: 1}, team: {name: b, share: 1}  # two rules",
    ];
    let report: String =
        lines.iter().map(|line| format!("{line}\n    {}", problems(line))).collect();
    insta::assert_snapshot!(report);
}

#[test]
fn a_file_without_pools_is_refused() {
    let problems =
        Rules::parse(RulesVersion(1), "- team: {name: mill, share: 1}  # Piet\n").unwrap_err();
    assert!(problems[0].message.contains("no pool"), "{problems:?}");
}

#[test]
fn keys_are_checked_by_name_and_secret() {
    let hash = KeyHash::of_secret("s3cret");
    let text = format!("{GOOD}- key: {{name: app, team: mill, sha256: \"{hash}\"}}  # Piet\n");
    let rules = Rules::parse(RulesVersion(1), &text).unwrap();
    let (name, secret) = parse_bearer("Bearer app.s3cret").unwrap();
    assert_eq!(rules.check_key(&name, secret), KeyCheck::Team("mill".parse().unwrap()));
    assert_eq!(rules.check_key(&name, "other"), KeyCheck::Invalid);
    assert!(!rules.check_operator(&name, secret), "a team's key is no operator's key");
}

#[test]
fn edits_to_different_rules_merge_and_edits_to_the_same_rule_conflict() {
    let ours = GOOD.replace("share: 30}  # Piet", "share: 50}  # Piet again")
        + "- team: {name: new, share: 1}  # Piet\n";
    let theirs = GOOD
        .replace("percent: 10", "percent: 20")
        .replace("- pin: {queue: labels, domain: south}  # Piet\n", "");
    let merged = merge_edits(GOOD, &ours, &theirs).unwrap();
    for part in ["share: 50", "percent: 20", "name: new"] {
        assert!(merged.contains(part), "{part} is missing in {merged}");
    }
    assert!(!merged.contains("- pin"), "a removed rule came back: {merged}");
    assert_eq!(
        merge_edits(GOOD, &ours, &merged).unwrap(),
        merged,
        "applying the same edits again changes nothing"
    );
    let other = GOOD.replace("share: 30}  # Piet", "share: 10}  # Hanna");
    let conflicts = merge_edits(GOOD, &ours, &other).unwrap_err();
    assert_eq!(conflicts.len(), 1);
    assert!(conflicts[0].theirs.contains("Hanna") && conflicts[0].ours.contains("Piet again"));
}

proptest! {
    #[test]
    fn any_text_is_parsed_or_refused(text in "\\PC{0,200}") {
        let _ = Rules::parse(RulesVersion(1), &text);
    }

    #[test]
    fn any_line_in_a_good_file_is_taken_or_refused_on_its_line(line in "- [a-z]{1,8}: \\{[a-z0-9:, \"{}\\[\\]&*!|>-]{0,60}\\}  # x") {
        let text = format!("{GOOD}{line}\n");
        let last = text.lines().count();
        if let Err(problems) = Rules::parse(RulesVersion(1), &text) {
            prop_assert!(problems.iter().all(|problem| problem.line == last), "{problems:?}");
        }
    }

    #[test]
    fn any_bearer_header_is_split_or_refused(header in "\\PC{0,80}") {
        let _ = parse_bearer(&header);
    }
}
