//! Validation of rules, alone and against each other.

use std::collections::{BTreeMap, BTreeSet};

use libs::compact_str::CompactString;
use types::{QueueId, TeamId};

use crate::text::RuleLine;
use crate::{LimitRule, Problem, Rule};

/// Largest part of a pool that may be reserved for urgent work, in percent.
const MAX_HEADROOM_PERCENT: u32 = 90;

/// Finds duplicate rules, invalid values and references to undefined names.
pub(crate) fn check(lines: &[RuleLine]) -> Vec<Problem> {
    let mut problems = find_duplicates(lines);
    let names = DefinedNames::collect(lines);
    problems.extend(lines.iter().filter_map(|line| check_rule(line, &names)));
    if names.pool_count == 0 {
        problems.push(Problem {
            line: 0,
            column: 0,
            message: "no pool is defined, so nothing can run".to_owned(),
            next_step: "Add a rule such as '- pool: {name: north, domain: north}  # who asked'"
                .to_owned(),
        });
    }
    problems
}

fn find_duplicates(lines: &[RuleLine]) -> Vec<Problem> {
    let mut first_lines: BTreeMap<(&str, CompactString), usize> = BTreeMap::new();
    let mut problems = Vec::new();
    for line in lines {
        let subject = (line.rule.kind(), line.rule.subject());
        match first_lines.get(&subject) {
            Some(first) => problems.push(Problem::at_line(
                line.line,
                format!(
                    "the {} rule for '{}' is already defined on line {first}",
                    subject.0, subject.1
                ),
                "Remove one of the two lines",
            )),
            None => {
                first_lines.insert(subject, line.line);
            }
        }
    }
    problems
}

struct DefinedNames {
    teams: BTreeSet<TeamId>,
    queues: BTreeSet<QueueId>,
    pool_count: usize,
    pool_names: BTreeSet<CompactString>,
    domains: BTreeSet<CompactString>,
}

impl DefinedNames {
    fn collect(lines: &[RuleLine]) -> Self {
        let mut names = Self {
            teams: BTreeSet::new(),
            queues: BTreeSet::new(),
            pool_count: 0,
            pool_names: BTreeSet::new(),
            domains: BTreeSet::new(),
        };
        for line in lines {
            match &line.rule {
                Rule::Team(team) => {
                    names.teams.insert(team.name.clone());
                }
                Rule::Queue(queue) => {
                    names.queues.insert(queue.name.clone());
                }
                Rule::Pool(pool) => {
                    names.pool_count += 1;
                    names.pool_names.insert(CompactString::new(pool.name.as_str()));
                    names.domains.insert(CompactString::new(pool.domain.as_str()));
                }
                _ => {}
            }
        }
        names
    }
}

fn check_rule(line: &RuleLine, names: &DefinedNames) -> Option<Problem> {
    let problem =
        |message: String, next_step: &str| Some(Problem::at_line(line.line, message, next_step));
    match &line.rule {
        Rule::Team(rule) if rule.share == 0 => problem(
            format!("team '{}' has a share of 0", rule.name),
            "Give it a share of at least 1",
        ),
        Rule::Key(rule) => check_team(line.line, &rule.team, names),
        Rule::Limit(rule) => check_limit(line.line, rule, names),
        Rule::Queue(rule)
            if rule.kind == crate::WorkKind::Request && rule.deadline_ms < rule.run_limit_ms =>
        {
            problem(
                format!("queue '{}' has a deadline shorter than its run limit", rule.name),
                "Raise deadline_ms or lower run_limit_ms",
            )
        }
        Rule::Queue(rule) if rule.kind == crate::WorkKind::Service && rule.open => problem(
            format!("queue '{}' accepts services without a key", rule.name),
            "Remove 'open: true': services never end by themselves",
        ),
        Rule::Pin(rule) => check_queue_domain(line.line, &rule.queue, rule.domain.as_str(), names),
        Rule::Avoid(rule) => {
            check_queue_domain(line.line, &rule.queue, rule.domain.as_str(), names)
        }
        Rule::Evacuate(rule) => check_domain(line.line, rule.domain.as_str(), names),
        Rule::Headroom(rule) if !names.pool_names.contains(rule.pool.as_str()) => {
            problem(format!("there is no pool '{}'", rule.pool), "Add the pool or correct its name")
        }
        Rule::Headroom(rule) if rule.percent > MAX_HEADROOM_PERCENT => problem(
            format!("a headroom of {} percent leaves too little for other work", rule.percent),
            "Use at most 90 percent",
        ),
        _ => None,
    }
}

fn check_team(line: usize, team: &TeamId, names: &DefinedNames) -> Option<Problem> {
    if names.teams.contains(team) {
        return None;
    }
    let message = format!("there is no team '{team}'");
    Some(Problem::at_line(line, message, "Add the team or correct its name"))
}

fn check_limit(line: usize, rule: &LimitRule, names: &DefinedNames) -> Option<Problem> {
    let bounds = [rule.cores, rule.mem_gb, rule.accels, rule.slots];
    if bounds.iter().all(Option::is_none) {
        let message = format!("the limit of team '{}' does not limit any resource", rule.team);
        return Some(Problem::at_line(line, message, "Set cores, mem_gb, accels or slots"));
    }
    if bounds.contains(&Some(0)) && bounds.iter().flatten().any(|bound| *bound > 0) {
        let message = format!(
            "the limit of team '{}' allows 0 of one resource, so none of its work can run",
            rule.team
        );
        let next_step = "Omit that resource, or set all of them to 0 to stop the team";
        let only_accels_zero =
            rule.accels == Some(0) && !bounds[..2].contains(&Some(0)) && rule.slots != Some(0);
        return (!only_accels_zero).then(|| Problem::at_line(line, message, next_step));
    }
    check_team(line, &rule.team, names)
}

fn check_queue_domain(
    line: usize,
    queue: &QueueId,
    domain: &str,
    names: &DefinedNames,
) -> Option<Problem> {
    if !names.queues.contains(queue) {
        let message = format!("there is no queue '{queue}'");
        return Some(Problem::at_line(line, message, "Add the queue or correct its name"));
    }
    check_domain(line, domain, names)
}

fn check_domain(line: usize, domain: &str, names: &DefinedNames) -> Option<Problem> {
    if names.domains.contains(domain) {
        return None;
    }
    let message = format!("no pool is in failure domain '{domain}'");
    Some(Problem::at_line(line, message, "Add a pool in this domain or correct its name"))
}
