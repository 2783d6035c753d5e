//! Requests and jobs end to end, through a deployment of real processes.

use std::time::Duration;

use libs::serde_json::json;
use testbed::{Deployment, DeploymentSize, OPERATOR, TestKey};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
const MILLER: TestKey = TestKey { name: "miller", secret: "millers-secret", team: Some("mill") };
/// Time limit for the deployment to reach an expected state.
const TIMEOUT: Duration = Duration::from_secs(60);

fn start(name: &str) -> Deployment {
    Deployment::start(name, &DeploymentSize::default(), &[FARMER, MILLER]).unwrap()
}

#[test]
fn requests_and_jobs_are_served_end_to_end() {
    let deployment = start("path");
    for entry in 0..3 {
        let answer = deployment.post_request(entry, "checks", &FARMER, &[], "maize").unwrap();
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
        assert_eq!(answer.json()["echo"], "maize");
    }
    let batch = json!({ "tasks": 5, "cpu_milli": 1000, "mem_mb": 256, "run_ms": 50 });
    let gang = json!({ "tasks": 3, "cpu_milli": 1000, "mem_mb": 256, "run_ms": 50 });
    for (queue, job) in [("formulas", &batch), ("plans", &gang)] {
        let answer = deployment.post_job(0, queue, &MILLER, &[], job).unwrap();
        assert_eq!((answer.status, answer.outcome.as_str()), (202, "accepted"));
        let id = answer.job().unwrap();
        let done = deployment.wait_until(TIMEOUT, |deployment| {
            deployment.job(1, &MILLER, &id).is_ok_and(|job| job["state"] == "done")
        });
        assert!(done, "{queue}: {:?}", deployment.job(1, &MILLER, &id));
        let other_team = deployment.client.get(
            deployment.entry_addresses[0],
            &format!("/v1/jobs/{id}"),
            &FARMER.token(),
        );
        assert_eq!(other_team.unwrap().status, 403, "another team's job must not be readable");
    }
    let service = json!({ "tasks": 2, "cpu_milli": 100, "mem_mb": 64 });
    let id = deployment.post_job(2, "watchers", &FARMER, &[], &service).unwrap().job().unwrap();
    let all_running = |deployment: &Deployment| {
        deployment.job(0, &FARMER, &id).is_ok_and(|job| job["tasks"]["running"] == 2)
    };
    assert!(deployment.wait_until(TIMEOUT, all_running));
    let path = format!("/v1/jobs/{id}");
    let cancelled =
        deployment.client.delete(deployment.entry_addresses[1], &path, &FARMER.token()).unwrap();
    assert_eq!(cancelled.outcome, "cancelled");
    let stopped = deployment.wait_until(TIMEOUT, |deployment| {
        deployment.run_summary().is_ok_and(|summary| summary.running == 0)
    });
    assert!(stopped);
    let summary = deployment.run_summary().unwrap();
    assert!(summary.overlapping_ids.is_empty() && summary.overcommits.is_empty(), "{summary:?}");
}

#[test]
fn the_same_non_idempotent_request_runs_once_through_all_entries() {
    let deployment = start("once");
    let key = [("Idempotency-Key", "order-1")];
    let first = deployment.post_request(0, "orders", &FARMER, &key, "3 t").unwrap();
    assert_eq!(first.outcome, "ran");
    for entry in 0..3 {
        let repeated = deployment.post_request(entry, "orders", &FARMER, &key, "3 t").unwrap();
        assert_eq!((repeated.outcome.as_str(), &repeated.body), ("ran", &first.body));
        let changed = deployment.post_request(entry, "orders", &FARMER, &key, "4 t").unwrap();
        assert_eq!((changed.status, changed.json()["reason"].as_str()), (409, Some("id_reused")));
    }
    assert_eq!(deployment.runs().unwrap().len(), 1);
}

#[test]
fn invalid_input_is_rejected() {
    let deployment = start("bad-input");
    let entry = deployment.entry_addresses[0];
    let client = &deployment.client;
    let large = "x".repeat((1 << 20) + 1);
    let requests = "/v1/queues/checks/requests";
    let jobs = "/v1/queues/formulas/jobs";
    let farmer = FARMER.token();
    let oversized_job = json!({ "cpu_milli": 64_000, "mem_mb": 1, "run_ms": 1 }).to_string();
    type Case<'a> = (&'a str, &'a str, &'a str, Vec<(&'a str, &'a str)>, &'a str, u16);
    let cases: Vec<Case<'_>> = vec![
        ("no key", requests, "", vec![], "", 401),
        ("wrong secret", requests, "farmer.guess", vec![], "", 401),
        ("no such queue", "/v1/queues/nowhere/requests", &farmer, vec![], "", 404),
        ("no such resource", "/v1/nothing", &farmer, vec![], "", 404),
        ("job to a request queue", "/v1/queues/checks/jobs", &farmer, vec![], "{}", 422),
        ("request to a job queue", "/v1/queues/formulas/requests", &farmer, vec![], "", 422),
        ("deadline in the past", requests, &farmer, vec![("X-Deadline-Ms", "0")], "", 504),
        (
            "deadline that is not a number",
            requests,
            &farmer,
            vec![("X-Deadline-Ms", "soon")],
            "",
            400,
        ),
        (
            "idempotency that is not a flag",
            requests,
            &farmer,
            vec![("X-Idempotent", "maybe")],
            "",
            400,
        ),
        ("empty idempotency key", requests, &farmer, vec![("Idempotency-Key", "")], "", 400),
        ("body too large", requests, &farmer, vec![], &large, 413),
        ("malformed job", jobs, &farmer, vec![], "{\"tasks\":", 400),
        ("unknown field", jobs, &farmer, vec![], "{\"cpu\": 1}", 400),
        ("job that can never run", jobs, &farmer, vec![], &oversized_job, 422),
    ];
    for (case, path, token, headers, body, status) in cases {
        let answer = client.post(entry, path, token, &headers, body).unwrap();
        assert_eq!(answer.status, status, "{case}: {}", answer.body);
        assert_eq!(answer.json()["outcome"], "not_run", "{case}: {}", answer.body);
    }
    let public = client.post(entry, "/v1/queues/public/requests", "", &[], "open to all").unwrap();
    assert_eq!(public.outcome, "ran", "an open queue needs no key");
    let admin = client.get(entry, "/v1/admin/status", &farmer).unwrap();
    assert_eq!(admin.status, 401, "a team's key must not give operator access");
    assert_eq!(client.get(entry, "/v1/admin/status", &OPERATOR.token()).unwrap().status, 200);
    assert_eq!(deployment.runs().unwrap().len(), 1);
}
