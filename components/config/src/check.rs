//! Checks that hold between rules.

use std::collections::{BTreeMap, BTreeSet};

use libs::compact_str::CompactString;
use types::{QueueId, TeamId};

use crate::text::RuleLine;
use crate::{LimitRule, Problem, Rule};

/// Largest part of a pool that may be reserved for urgent work, in percent.
const MAX_HEADROOM_PERCENT: u32 = 90;

/// Finds rules that contradict or miss each other.
pub(crate) fn check(lines: &[RuleLine]) -> Vec<Problem> {
    let mut problems = find_doubled(lines);
    let names = Names::collect(lines);
    problems.extend(lines.iter().filter_map(|line| check_rule(line, &names)));
    if names.pools == 0 {
        problems.push(Problem {
            line: 0,
            column: 0,
            message: "there is no pool, so nothing can run".to_owned(),
            next_step: "Add a rule such as '- pool: {name: north, domain: north}  # who asked'"
                .to_owned(),
        });
    }
    problems
}

fn find_doubled(lines: &[RuleLine]) -> Vec<Problem> {
    let mut first_lines: BTreeMap<(&str, CompactString), usize> = BTreeMap::new();
    let mut problems = Vec::new();
    for line in lines {
        let subject = (line.rule.word(), line.rule.subject());
        match first_lines.get(&subject) {
            Some(first) => problems.push(Problem::at_line(
                line.line,
                format!(
                    "the {} rule for '{}' stands on line {first} already",
                    subject.0, subject.1
                ),
                "Keep one of the two lines",
            )),
            None => {
                first_lines.insert(subject, line.line);
            }
        }
    }
    problems
}

struct Names {
    teams: BTreeSet<TeamId>,
    queues: BTreeSet<QueueId>,
    pools: usize,
    pool_names: BTreeSet<CompactString>,
    domains: BTreeSet<CompactString>,
}

impl Names {
    fn collect(lines: &[RuleLine]) -> Self {
        let mut names = Self {
            teams: BTreeSet::new(),
            queues: BTreeSet::new(),
            pools: 0,
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
                    names.pools += 1;
                    names.pool_names.insert(CompactString::new(pool.name.as_str()));
                    names.domains.insert(CompactString::new(pool.domain.as_str()));
                }
                _ => {}
            }
        }
        names
    }
}

fn check_rule(line: &RuleLine, names: &Names) -> Option<Problem> {
    let at =
        |message: String, next_step: &str| Some(Problem::at_line(line.line, message, next_step));
    match &line.rule {
        Rule::Team(rule) if rule.share == 0 => {
            at(format!("team '{}' has a share of 0", rule.name), "Give it a share of at least 1")
        }
        Rule::Key(rule) => check_team(line.line, &rule.team, names),
        Rule::Limit(rule) => check_limit(line.line, rule, names),
        Rule::Queue(rule)
            if rule.kind == crate::WorkKind::Request && rule.deadline_ms < rule.run_limit_ms =>
        {
            at(
                format!("queue '{}' has a deadline shorter than its run limit", rule.name),
                "Raise deadline_ms or lower run_limit_ms",
            )
        }
        Rule::Queue(rule) if rule.kind == crate::WorkKind::Service && rule.open => at(
            format!("queue '{}' takes services without a key", rule.name),
            "Services never end by themselves: remove 'open: true'",
        ),
        Rule::Pin(rule) => check_queue_domain(line.line, &rule.queue, rule.domain.as_str(), names),
        Rule::Avoid(rule) => {
            check_queue_domain(line.line, &rule.queue, rule.domain.as_str(), names)
        }
        Rule::Headroom(rule) if !names.pool_names.contains(rule.pool.as_str()) => {
            at(format!("there is no pool '{}'", rule.pool), "Add the pool or correct its name")
        }
        Rule::Headroom(rule) if rule.percent > MAX_HEADROOM_PERCENT => at(
            format!("a headroom of {} percent leaves nothing for other work", rule.percent),
            "Use at most 90 percent",
        ),
        _ => None,
    }
}

fn check_team(line: usize, team: &TeamId, names: &Names) -> Option<Problem> {
    if names.teams.contains(team) {
        return None;
    }
    let message = format!("there is no team '{team}'");
    Some(Problem::at_line(line, message, "Add the team or correct its name"))
}

fn check_limit(line: usize, rule: &LimitRule, names: &Names) -> Option<Problem> {
    let bounds = [rule.cores, rule.mem_gb, rule.accels, rule.slots];
    if bounds.iter().all(Option::is_none) {
        let message = format!("the limit of team '{}' limits nothing", rule.team);
        return Some(Problem::at_line(line, message, "Give cores, mem_gb, accels or slots"));
    }
    if bounds.contains(&Some(0)) && bounds.iter().flatten().any(|bound| *bound > 0) {
        let message = format!(
            "the limit of team '{}' allows 0 of one resource, so nothing could run",
            rule.team
        );
        let next_step = "Leave that resource out, or set all of them to 0 to stop the team";
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
    names: &Names,
) -> Option<Problem> {
    if !names.queues.contains(queue) {
        let message = format!("there is no queue '{queue}'");
        return Some(Problem::at_line(line, message, "Add the queue or correct its name"));
    }
    if !names.domains.contains(domain) {
        let message = format!("no pool lies in failure domain '{domain}'");
        return Some(Problem::at_line(line, message, "Add a pool there or correct the name"));
    }
    None
}
