//! What a leader may start around the end of its lease.

use cell::StartPermission;
use cluster::{LEASE_MARGIN_MS, PeersView, start_permission};
use types::Millis;

/// End of the lease.
const ENDS_MS: Millis = Millis(10_000);

fn peers(known: usize, live: usize, store_answered_ms: u64) -> PeersView {
    PeersView { known, live, store_answered_ms: Millis(store_answered_ms) }
}

#[test]
fn a_leader_that_holds_its_lease_may_start_all_jobs() {
    let reached = peers(5, 5, 9_800);
    let held = start_permission(ENDS_MS, &reached, ENDS_MS - LEASE_MARGIN_MS - Millis(1));
    assert_eq!(held, StartPermission::AllJobs);
}

/// Guards against two runs of a task after a change of leader: what is said of the peers is some hundred
/// milliseconds old, so that one may have been elected.
#[test]
fn a_leader_without_its_lease_may_start_only_jobs_that_it_knew_while_it_held_it() {
    let silent = peers(5, 5, 9_800);
    let known_before = StartPermission::JobsKnownBefore(ENDS_MS - LEASE_MARGIN_MS);
    for now in [ENDS_MS - LEASE_MARGIN_MS, ENDS_MS, ENDS_MS + Millis(5_000)] {
        assert_eq!(start_permission(ENDS_MS, &silent, now), known_before, "at {now}");
    }
    assert!(!known_before.allows_job(ENDS_MS - LEASE_MARGIN_MS));
    assert!(known_before.allows_job(ENDS_MS - LEASE_MARGIN_MS - Millis(1)));
}

#[test]
fn a_leader_without_its_lease_starts_nothing_if_a_peer_may_have_been_elected() {
    let cases = [
        ("a peer has reached the store", peers(5, 5, 10_000)),
        ("most peers are silent", peers(5, 2, 9_800)),
        ("no peer is known", peers(0, 0, 9_800)),
    ];
    for (case, view) in cases {
        let permission = start_permission(ENDS_MS, &view, ENDS_MS + Millis(100));
        assert_eq!(permission, StartPermission::Nothing, "{case}");
    }
}
