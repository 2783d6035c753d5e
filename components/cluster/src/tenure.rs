//! What a leader may start while it is not certain that it still leads.

use cell::StartPermission;
use types::Millis;

/// The lease counts as held until this long before its end, to allow for the transit time of
/// orders.
pub const LEASE_MARGIN_MS: Millis = Millis(150);

/// What a leader knows of its peers. Times are those of the process clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeersView {
    /// Number of peers.
    pub known: usize,
    /// Number of those with a recent heartbeat.
    pub live: usize,
    /// Latest time at which the store answered one of the live peers.
    pub store_answered_ms: Millis,
}

/// Whether a lease in the store that ends at `ends_ms` is certain to be still valid.
pub fn holds_lease(ends_ms: Millis, now: Millis) -> bool {
    now + LEASE_MARGIN_MS < ends_ms
}

/// Decides what a leader may start, with a lease that ends at `ends_ms` unless it is renewed.
///
/// Load pattern: the store is down for longer than the lease lasts. While half of the peers are live
/// and none of those has reached the store since, none of them can have been elected, and the leader
/// goes on. Their heartbeats are up to some hundred milliseconds old, so that a peer may have been
/// elected meanwhile. It has read all jobs that were stored before, but may not know later ones.
pub fn start_permission(ends_ms: Millis, peers: &PeersView, now: Millis) -> StartPermission {
    if holds_lease(ends_ms, now) {
        return StartPermission::AllJobs;
    }
    let leads_alone =
        peers.live > 0 && peers.live * 2 >= peers.known && peers.store_answered_ms < ends_ms;
    if leads_alone {
        StartPermission::JobsKnownBefore(ends_ms - LEASE_MARGIN_MS)
    } else {
        StartPermission::Nothing
    }
}
