//! The cases.

use std::sync::Arc;
use std::time::Duration;

use crate::deployment::{Deployment, SERVICE, cannot_run};
use crate::record::Record;
use crate::runner::Kind;
use crate::{Play, Verdict};

type Noting<'a> = &'a mut dyn FnMut(Arc<Record>);

pub fn play(case: &str, play: &Play, noting: Noting<'_>) -> Option<Verdict> {
    match case {
        "crashing-runner" => Some(crashing_runner(play, noting)),
        "slow-then-alone" => Some(slow_then_alone(play, noting)),
        _ => None,
    }
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Runners of 16 cores; those numbered from `special` on are of kind `b`.
fn kinds(count: usize, special: usize) -> Vec<Kind> {
    (0..count)
        .map(|number| Kind {
            id: format!("i-{number:08x}"),
            service: SERVICE.to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][number % 3].to_owned(),
            labels: vec![
                if number >= special { "b" } else { "a" }.to_owned(),
                format!("r1-{}", number / 4),
            ],
            cpu: 16_000,
            mem_mb: 32_768,
        })
        .collect()
}

fn start(play: &Play, noting: Noting<'_>, nodes: usize, kinds: Vec<Kind>) -> Deployment {
    let deployment = Deployment::start(&play.root, &play.folder, nodes, kinds);
    noting(deployment.record.clone());
    deployment
}

/// A runner crashes and comes back, again and again, under a task that lasts and needs it.
fn crashing_runner(play: &Play, noting: Noting<'_>) -> Verdict {
    const JOB: &str = "00000000000000a1";
    let deployment = start(play, noting, 3, kinds(8, 7));
    let body = "{\"spec\":\"work=lasts\",\"phases\":[{\"count\":1,\"cpu\":1000,\"memMb\":512,\
                \"estimatedMs\":500,\"longRunning\":true,\"requirements\":\"b\"}]}";
    deployment.submit(JOB, body);
    let other = "{\"spec\":\"work=lasts\",\"phases\":[{\"count\":8,\"cpu\":1000,\"memMb\":512,\
                 \"estimatedMs\":500,\"longRunning\":true,\"requirements\":\"a\"}]}";
    deployment.submit("00000000000000a2", other);
    sleep_ms(8_000);
    let special = &deployment.runners[7];
    let mut broken = false;
    for _ in 0..5 {
        if play.trouble {
            special.crash();
        }
        sleep_ms(2_000);
        if play.trouble {
            special.restart();
        }
        for _ in 0..5 {
            sleep_ms(1_000);
            broken |= deployment.state(JOB).is_some_and(|state| state == "failed");
        }
    }
    // All is calm from here on.
    for _ in 0..10 {
        sleep_ms(1_000);
        broken |= deployment.state(JOB).is_some_and(|state| state == "failed");
    }
    let ends = deployment.runs.all();
    let failed = ends.iter().filter(|run| run.end.is_some_and(|(_, how)| how == "failed")).count();
    deployment.record.note(format!("runs that ended as failed: {failed}"));
    if broken && failed == 0 { Verdict::Broken } else { Verdict::Held }
}

/// The leader's machine turns slow for some seconds and hands over. Later the others are lost.
fn slow_then_alone(play: &Play, noting: Noting<'_>) -> Verdict {
    const JOB: &str = "00000000000000b1";
    let deployment = start(play, noting, 7, kinds(8, 8));
    let body = "{\"spec\":\"work=lasts\",\"phases\":[{\"count\":4,\"cpu\":1000,\"memMb\":512,\
                \"estimatedMs\":500,\"longRunning\":true}]}";
    deployment.submit(JOB, body);
    sleep_ms(5_000);
    let Some(slow) = deployment.leader().cloned() else { return Verdict::Held };
    deployment.record.note(format!("{} leads", slow.name));
    if play.trouble {
        deployment.record.note(format!("{} turns slow, for 5 s", slow.name));
        for _ in 0..13 {
            slow.signal("STOP");
            sleep_ms(300);
            slow.signal("CONT");
            sleep_ms(75);
        }
        deployment.record.note(format!("{} is as fast as before", slow.name));
    }
    sleep_ms(6_000);
    let handed_over = slow.has_logged("leader.too_slow");
    deployment.record.note(format!("it handed over: {handed_over}"));
    if play.trouble && !handed_over {
        cannot_run("the slow leader hands over");
    }
    for node in &deployment.nodes {
        if play.trouble && node.name != slow.name {
            deployment.record.note(format!("{} is lost for good", node.name));
            node.kill();
        }
    }
    let lost_ms = deployment.record.now_ms();
    sleep_ms(35_000);
    let now_ms = deployment.record.now_ms();
    // Calm from 3 s after the loss; 4 s later a task may have been away for 3 s at most.
    let runs = deployment.runs.all();
    let mut broken = false;
    for index in 0..4 {
        let task = format!("{JOB}.0.0.{index}");
        let mut spans: Vec<(u64, u64)> = runs
            .iter()
            .filter(|run| run.task == task)
            .map(|run| (run.began_ms, run.end.map_or(now_ms, |(end, _)| end)))
            .collect();
        spans.sort_unstable();
        let mut last_end = 0;
        for (began, end) in spans.into_iter().chain([(now_ms, now_ms)]) {
            let away_from = last_end.max(lost_ms) + 6_000;
            let from = away_from.max(lost_ms + 3_000 + 4_000);
            if began > from + 3_000 {
                deployment.record.note(format!("{task} did not run from {last_end} to {began} ms"));
                broken = true;
            }
            last_end = last_end.max(end);
        }
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
