//! The cases.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::record::unix_ms;
use crate::runner::Runner;
use crate::site::Site;

type Played = Result<(), String>;

fn id(number: u64) -> String {
    format!("5c0e7a21{number:08x}")
}

/// Disruption of `ends`: under load, one runner at a time loses power, the busiest, and starts again under
/// its id.
struct Crashes {
    runners: Vec<Arc<Runner>>,
    next_ms: u64,
    left: u32,
    down: Option<(Arc<Runner>, u64)>,
}

impl Crashes {
    /// Time without power.
    const DARK_MS: u64 = 650;
    /// Time between the end of a crash and the next one.
    const GAP_MS: u64 = 2_000;
    /// Most crashes in a case.
    const MOST: u32 = 18;

    fn new(site: &Site, runners: &[Arc<Runner>], trouble: bool, after_ms: u64) -> Self {
        Self {
            runners: runners.to_vec(),
            next_ms: site.world.record.now_ms() + after_ms,
            left: if trouble { Self::MOST } else { 0 },
            down: None,
        }
    }

    fn play(&mut self, site: &Site) {
        let now = site.world.record.now_ms();
        if let Some((runner, until)) = &self.down {
            if now >= *until {
                runner.reboot();
                self.next_ms = now + Self::GAP_MS;
                self.down = None;
            }
            return;
        }
        let busiest = self.runners.iter().max_by_key(|runner| runner.runs());
        if let Some(busiest) = busiest.filter(|_| self.left > 0 && now >= self.next_ms) {
            self.left -= 1;
            busiest.lose_power();
            self.down = Some((busiest.clone(), now + Self::DARK_MS));
        }
    }
}

/// Runners lose power under load, one at a time, and start again under their ids. TWICE: a start after a
/// run has ended `done`, and that end is taken note of.
pub fn ends(site: &Site, trouble: bool) -> Played {
    const WORK_MS: u64 = 100;
    let runners: Vec<Arc<Runner>> = (0..10).map(|number| site.runner(number, "a", 0)).collect();
    site.sleep(3_000);
    let mut crashes = Crashes::new(site, &runners, trouble, 8_000);
    let began = site.world.record.now_ms();
    let mut accepted = Vec::new();
    while site.world.record.now_ms() < began + 60_000 && site.world.broken().is_empty() {
        let job = id(accepted.len() as u64 + 1);
        let body = format!(
            "{{\"spec\":\"ms={WORK_MS}\",\"phases\":[{{\"count\":12,\"cpu\":4000,\"memMb\":4096,\"estimatedMs\":{WORK_MS}}}]}}"
        );
        if !site.submit(&job, &body) {
            return Err("a job isn't accepted".to_owned());
        }
        accepted.push(job);
        for _ in 0..6 {
            crashes.play(site);
            site.sleep(10);
        }
    }
    site.sleep(12_000);
    let open = accepted.iter().enumerate().filter(|(node, job)| site.state(*node, job) != "completed").count();
    site.world.record.line(&format!("{} jobs accepted, {open} not completed", accepted.len()));
    if open > 0 {
        return Err(format!("{open} jobs aren't completed"));
    }
    Ok(())
}

/// Large jobs come at once: here one, whose tasks save checkpoints. Acks: more than a fifth of the ends
/// that runners list aren't taken note of for `ackMs`.
pub fn large(site: &Site, trouble: bool) -> Played {
    const ACK_MS: u64 = 6_000;
    const FINISH_MS: u64 = 14_000;
    /// Together 1.3 MB; `valueBytes` is 1 MiB.
    const TASKS: u64 = 1_300;
    const CHECKPOINT_BYTES: u64 = 1_000;
    let _runners: Vec<Arc<Runner>> =
        (0..10).map(|number| site.runner(number, if number < 4 { "a" } else { "b" }, 0)).collect();
    site.sleep(3_000);
    let began = site.world.record.now_ms();
    let mut accepted = Vec::new();
    let mut is_due = trouble;
    while site.world.record.now_ms() < began + 45_000 {
        if is_due && site.world.record.now_ms() > began + 5_000 {
            let body = format!(
                "{{\"spec\":\"ms=8000 each=500 save={CHECKPOINT_BYTES}\",\"phases\":[{{\"count\":{TASKS},\"cpu\":100,\"memMb\":200,\
                 \"estimatedMs\":300000,\"checkpointing\":true,\"requirements\":\"b\"}}]}}"
            );
            if !site.submit(&id(0), &body) {
                return Err("the large job isn't accepted".to_owned());
            }
            is_due = false;
        }
        let job = id(accepted.len() as u64 + 1);
        let step = |count, more| {
            format!("{{\"count\":{count},\"cpu\":1000,\"memMb\":1024,\"estimatedMs\":500,\"requirements\":\"a\"{more}}}")
        };
        let body = format!("{{\"spec\":\"ms=500\",\"phases\":[{},{}]}}", step(10, ""), step(4, ",\"after\":[0]"));
        if !site.submit(&job, &body) {
            return Err("a job isn't accepted".to_owned());
        }
        accepted.push(job);
        site.sleep(700);
    }
    site.sleep(FINISH_MS);
    let (ends, late) = site.world.ends_without_ack(ACK_MS);
    site.world.record.line(&format!("{late} of {ends} ends weren't taken note of for {ACK_MS} ms"));
    if late * 5 > ends {
        site.world.break_rule(format!("Acks: {late} of {ends} ends that runners have listed weren't taken note of for {ACK_MS} ms"));
    }
    let done = |job: &String| site.world.progress(job, 0).0 == 10 && site.world.progress(job, 1).0 == 4;
    let mut open = 0;
    for (node, job) in accepted.iter().enumerate() {
        let state = site.state(node, job);
        if state != "completed" {
            open += 1;
            let all = if done(job) { "all" } else { "not all" };
            site.world.record.line(&format!("{job} is shown as {state}, and {all} of its tasks have ended done"));
        }
    }
    site.world.record.line(&format!("{} jobs accepted, {open} not shown as completed", accepted.len()));
    if !trouble && open > 0 {
        return Err(format!("{open} jobs aren't completed"));
    }
    Ok(())
}

/// Large jobs come at once: recurring ones, whose first times have passed. LOST: `finish_s` after the end of
/// the traffic a job that waits has nothing running for 3 s, with the capacity free.
pub fn repeats(site: &Site, trouble: bool) -> Played {
    const FINISH_MS: u64 = 14_000;
    const JOBS: u64 = 5;
    let _runners: Vec<Arc<Runner>> = (0..10).map(|number| site.runner(number, "a", 0)).collect();
    let ended = site.limit_memory();
    site.sleep(3_000);
    // One occurrence a minute, the first a week ago.
    let since_ms = unix_ms() - 7 * 24 * 3_600_000;
    let phases = "\"phases\":[{\"count\":60,\"cpu\":1000,\"memMb\":256,\"estimatedMs\":1000}]";
    let began = site.world.record.now_ms();
    let mut accepted = Vec::new();
    let mut is_due = trouble;
    while site.world.record.now_ms() < began + 25_000 {
        if is_due && site.world.record.now_ms() > began + 5_000 {
            for number in 0..JOBS {
                let recurring = format!("\"repetitions\":10000,\"initialDelayMs\":{since_ms},\"intervalMs\":60000");
                let job = id(0xFFFF_0000 + number);
                site.submit(&job, &format!("{{\"spec\":\"ms=1000\",{recurring},{phases}}}"));
            }
            is_due = false;
        }
        let job = id(accepted.len() as u64 + 1);
        if site.submit(&job, &format!("{{\"spec\":\"ms=1000\",{phases}}}")) {
            accepted.push(job);
        }
        site.sleep(700);
    }
    site.sleep(FINISH_MS);
    let waiting = |job: &&String| site.world.running(job) == 0 && site.world.progress(job, 0).0 < 60;
    let mut waited: Vec<&String> = accepted.iter().collect();
    // A task takes a core of 320, so that there is room for a job twice over.
    let mut most_running = 0;
    for _ in 0..30 {
        waited.retain(waiting);
        most_running = most_running.max(site.world.running(""));
        site.sleep(100);
    }
    site.world.record.line(&format!("in these 3 s at most {most_running} tasks run on runners with room for 320"));
    let has_room = most_running < 160;
    for job in waited.into_iter().filter(|_| has_room) {
        let (done, begun) = site.world.progress(job, 0);
        site.world.break_rule(format!(
            "LOST: {job} has nothing running for 3 s: {begun} tasks of 60 have begun, {done} are done; shown as {}",
            site.state(0, job)
        ));
    }
    let ended = ended.load(Ordering::Relaxed);
    site.world.record.line(&format!("{ended} times a process was ended as it was over its memory"));
    let open = accepted.iter().enumerate().filter(|(node, job)| site.state(*node, job) != "completed").count();
    site.world.record.line(&format!("{} jobs accepted, {open} not shown as completed", accepted.len()));
    if !trouble && open > 0 {
        return Err(format!("{open} jobs aren't completed"));
    }
    Ok(())
}
