//! The sum of what all processes accept.

use job_memory::{Allowance, Grants, allowance_bytes, grantable_bytes, limit_bytes};
use types::Millis;

/// Heartbeats renew allowances four times a second.
const HEARTBEAT_MS: Millis = Millis(250);

/// Memory of the jobs that processes are offered and accept in ten seconds, of as many bytes each as given. The
/// leader learns of a job `notice_ms` after it was accepted.
fn accept(processes: u64, job_bytes: u64, notice_ms: Millis, limit: u64) -> (u64, u64) {
    let mut allowances: Vec<Allowance> = (0..processes).map(|_| Allowance::default()).collect();
    let mut grants = Grants::default();
    let mut accepted: Vec<(Millis, u64)> = Vec::new();
    let mut offered = 0;
    for now in (0..10_000).step_by(50).map(Millis) {
        let known = accepted.iter().filter(|(at, _)| now.since(*at) >= notice_ms);
        let known_bytes: u64 = known.map(|(_, bytes)| bytes).sum();
        let room = limit.saturating_sub(known_bytes);
        for allowance in &mut allowances {
            if now.0.is_multiple_of(HEARTBEAT_MS.0) {
                let room = room.saturating_sub(grants.recent_bytes(now));
                allowance.renew(allowance_bytes(room, processes));
            }
            for _ in 0..20 {
                offered += job_bytes;
                let fits = allowance.try_take(job_bytes)
                    || grants.try_grant(job_bytes, grantable_bytes(room), now);
                if fits {
                    accepted.push((now, job_bytes));
                }
            }
        }
    }
    (offered, accepted.iter().map(|(_, bytes)| bytes).sum())
}

/// Guards against a leader that the sum of accepted jobs ends: many processes accept at once, and each
/// hears of the others' jobs late.
#[test]
fn the_sum_of_all_processes_is_bounded() {
    let limit = limit_bytes(160);
    for processes in [1, 6, 300] {
        for job_bytes in [2_000, 50_000, 7_000_000] {
            for notice_ms in [Millis(10), Millis(1_500)] {
                let (offered, sum) = accept(processes, job_bytes, notice_ms, limit);
                let case = format!("{processes} processes, {job_bytes} bytes, {notice_ms}: {sum}");
                assert!(sum <= 2 * limit, "more than half of the memory: {case}");
                assert!(sum >= limit.min(offered) / 2, "half of the room stays unused: {case}");
            }
        }
    }
}

/// Guards against a large job that no process may accept, although there is room.
#[test]
fn a_large_job_is_granted_by_the_leader() {
    let room = limit_bytes(160);
    assert!(!Allowance::default().try_take(7_000_000));
    assert!(Grants::default().try_grant(7_000_000, grantable_bytes(room), Millis(0)));
}

/// Guards against grants that count for good after the leader has counted their jobs.
#[test]
fn grants_expire() {
    let mut grants = Grants::default();
    assert!(grants.try_grant(10, 15, Millis(0)));
    assert!(!grants.try_grant(10, 15, Millis(100)));
    assert!(grants.try_grant(10, 15, Millis(10_000)));
}
