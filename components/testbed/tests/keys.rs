//! Revoked API keys, entries without confirmed rules, and peers with foreign certificates.

use std::time::Duration;

use testbed::{Deployment, DeploymentSize, TestKey, vandermolen_rules};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
const MILLER: TestKey = TestKey { name: "miller", secret: "millers-secret", team: Some("mill") };
/// Time limit for the deployment to reach an expected state.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of heartbeats between processes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of heartbeat intervals over which a foreign peer must not be seen alive.
const OBSERVED_HEARTBEATS: u32 = 8;

#[test]
fn a_revoked_key_is_rejected_by_every_entry_and_stays_revoked() {
    let size = DeploymentSize::default();
    let mut deployment = Deployment::start("withdraw", &size, &[FARMER, MILLER]).unwrap();
    for entry in 0..3 {
        assert_eq!(
            deployment.post_request(entry, "checks", &MILLER, &[], "x").unwrap().status,
            200
        );
    }
    let write = deployment.put_rules(1, &vandermolen_rules(&size.domains, &[FARMER])).unwrap();
    assert_eq!(write.status, 200);
    let refused = |deployment: &Deployment, entry: usize| {
        deployment
            .post_request(entry, "checks", &MILLER, &[], "x")
            .is_ok_and(|answer| answer.status == 401)
    };
    assert!(
        deployment.wait_until(TIMEOUT, |deployment| (0..3).all(|entry| refused(deployment, entry)))
    );
    // An entry that starts while the key-value service is down gets the rules from its peers.
    deployment.platform.suspend();
    deployment.entries[1].kill();
    deployment.restart_entry(1).unwrap();
    assert!(deployment.wait_until(TIMEOUT, |deployment| refused(deployment, 1)));
    for entry in 0..3 {
        assert!(refused(&deployment, entry), "entry {entry} accepts the revoked key again");
        assert_eq!(
            deployment.post_request(entry, "checks", &FARMER, &[], "x").unwrap().status,
            200
        );
    }
    deployment.platform.resume();
}

#[test]
fn an_entry_without_store_and_peers_rejects_keyed_requests() {
    let deployment = Deployment::start("cut-off", &DeploymentSize::default(), &[FARMER]).unwrap();
    // All other processes are suspended, which entry 0 cannot tell from a network partition.
    deployment.platform.suspend();
    for process in deployment.entries.iter().skip(1).chain(&deployment.schedulers) {
        process.suspend();
    }
    let refused = deployment.wait_until(TIMEOUT, |deployment| {
        let answer =
            deployment.post_request(0, "checks", &FARMER, &[("X-Deadline-Ms", "200")], "x");
        answer.is_ok_and(|answer| {
            answer.status == 503 && answer.json()["reason"] == "config_unconfirmed"
        })
    });
    assert!(refused);
    assert!(deployment.runs().unwrap().is_empty());
}

#[test]
fn a_peer_with_a_certificate_of_another_authority_is_ignored() {
    let deployment = Deployment::start("certs", &DeploymentSize::default(), &[FARMER]).unwrap();
    let foreign = deployment.dir.join("foreign");
    net::create_authority(&foreign).unwrap();
    net::create_certificate(&foreign, "scheduler-0").unwrap();
    let settings = std::fs::read_to_string(deployment.dir.join("scheduler-0.yaml")).unwrap();
    let foreign_settings = settings.replace("/certs/", "/foreign/");
    std::fs::write(deployment.dir.join("scheduler-0.yaml"), foreign_settings).unwrap();
    let mut deployment = deployment;
    deployment.schedulers[0].kill();
    deployment.restart_scheduler(0).unwrap();
    let taken_over = deployment.wait_until(TIMEOUT, |deployment| {
        deployment.pools_are_up()
            && ["north", "mid", "south"]
                .iter()
                .all(|pool| deployment.owner_of(pool).is_some_and(|vm| vm != 0))
    });
    assert!(taken_over, "{:?}", deployment.admin("status"));
    assert_eq!(deployment.post_request(0, "checks", &FARMER, &[], "x").unwrap().outcome, "ran");
    // The killed process counts as alive until enough of its heartbeats are missed, even if it owned
    // no pool. After that, the process that replaced it must not be seen alive.
    let is_alive = |deployment: &Deployment| {
        let status = deployment.admin("status").unwrap();
        let processes = status["processes"].as_array().unwrap();
        let foreign_process =
            processes.iter().find(|process| process["name"] == "scheduler-0").unwrap();
        foreign_process["alive"] == true
    };
    let seen_dead = deployment.wait_until(TIMEOUT, |deployment| !is_alive(deployment));
    assert!(seen_dead, "heartbeats of a peer of another authority were accepted");
    for _ in 0..OBSERVED_HEARTBEATS {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        assert!(!is_alive(&deployment), "heartbeats of a peer of another authority were accepted");
    }
}
