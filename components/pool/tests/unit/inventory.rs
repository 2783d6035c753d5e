//! A runner that is removed from the platform's list while it is down.

use std::collections::BTreeMap;

use types::{Attempt, BackendState, Millis, NodeId, RunnerInfo, TeamId};

use crate::limits::Amount;
use crate::pool::{Mechanisms, Pool, PoolSettings};
use crate::runners::{Grant, Runner};

const EXPIRES_AT_MS: Millis = Millis(2_000);

fn pool() -> Pool {
    Pool::new(PoolSettings {
        pool: "p1".parse().unwrap(),
        domain: "north".parse().unwrap(),
        node: NodeId { name: "n1".parse().unwrap(), incarnation: 1 },
        lease_ms: Millis(3_000),
        poll_ms: Millis(500),
        commit_ms: Millis(20),
        unconfirmed_ms: Millis(3_000),
        random_seed: 1,
        mechanisms: Mechanisms::default(),
    })
}

#[test]
fn a_grant_on_a_runner_that_is_down_and_unlisted_counts_until_it_expires() {
    let team: TeamId = "t1".parse().unwrap();
    let mut pool = pool();
    let mut runner = Runner::new(RunnerInfo {
        runner: "r1".parse().unwrap(),
        url: "http://127.0.0.1:1".into(),
        vendor: "one".into(),
        leaving: false,
    });
    runner.state = BackendState::Down;
    let grant =
        Grant { attempt: Attempt::default(), team: Some(team.clone()), expires_at: EXPIRES_AT_MS };
    runner.grants = BTreeMap::from([("request".parse().unwrap(), grant)]);
    pool.runners.by_id.insert("r1".parse().unwrap(), runner);
    pool.limits.acquire(&team, &Amount::one_slot());

    pool.set_backends(Vec::new(), Vec::new());
    pool.expire_grants(EXPIRES_AT_MS);
    assert_eq!(pool.limits.used(&team), Amount::default());

    pool.set_backends(Vec::new(), Vec::new());
    assert!(pool.runners.by_id.is_empty());
}
