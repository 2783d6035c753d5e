//! The cases.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::deployment::{Deployment, PREFIX, SERVICE, cannot_run};
use crate::record::Record;
use crate::runner::Kind;
use crate::{Play, Verdict};

type Noting<'a> = &'a mut dyn FnMut(Arc<Record>);

pub fn play(case: &str, play: &Play, noting: Noting<'_>) -> Option<Verdict> {
    match case {
        "slow-then-alone" => Some(slow_then_alone(play, noting)),
        "reborn-as-another-kind" => Some(reborn_as_another_kind(play, noting)),
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
            slow.pause();
            sleep_ms(300);
            slow.resume();
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

/// A runner loses power for a moment, and comes back under its id as one of another kind.
fn reborn_as_another_kind(play: &Play, noting: Noting<'_>) -> Verdict {
    let deployment = start(play, noting, 3, kinds(8, 7));
    let special = &deployment.runners[7];
    let rack = special.kind.labels[1].clone();
    let is_over = AtomicBool::new(false);
    let wrong = || {
        let runs = deployment.runs.all();
        runs.into_iter().find(|run| run.runner == special.kind.id && run.labels[0] != "b")
    };
    std::thread::scope(|scope| {
        // Six jobs a second that need kind `b`, whatever happens to the runner.
        scope.spawn(|| {
            let body = "{\"spec\":\"work=200\",\"phases\":[{\"count\":1,\"cpu\":100,\"memMb\":64,\
                        \"estimatedMs\":200,\"requirements\":\"b\"}]}";
            for number in 0u64.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let node = &deployment.nodes[number as usize % 3];
                deployment.request(
                    node,
                    "POST",
                    &format!("{PREFIX}{:016x}", 0xc000 + number),
                    body,
                );
                sleep_ms(165);
            }
        });
        sleep_ms(4_000);
        for outage_ms in [750, 850, 950, 1_050, 750, 850, 950, 1_050] {
            if play.trouble {
                special.lose_power();
            }
            sleep_ms(outage_ms);
            if play.trouble {
                special.regain_power(vec!["a".to_owned(), rack.clone()]);
            }
            sleep_ms(4_000);
            if wrong().is_some() {
                break;
            }
            if play.trouble {
                special.lose_power();
            }
            sleep_ms(outage_ms);
            if play.trouble {
                special.regain_power(vec!["b".to_owned(), rack.clone()]);
            }
            sleep_ms(4_000);
        }
        is_over.store(true, Ordering::SeqCst);
    });
    match wrong() {
        Some(run) => {
            deployment.record.note(format!(
                "{} needs a runner of kind b, and began on {} in a life of kind {}",
                run.task, run.runner, run.labels[0]
            ));
            Verdict::Broken
        }
        None => Verdict::Held,
    }
}
