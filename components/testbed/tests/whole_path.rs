//! Requests and jobs through a deployment of real processes.

use std::time::Duration;

use libs::serde_json::json;
use testbed::{Deployment, OPERATOR, Size, TestKey};

const FARMER: TestKey =
    TestKey { name: "farmer", secret: "farmers-secret", team: Some("lakeside") };
const MILLER: TestKey = TestKey { name: "miller", secret: "millers-secret", team: Some("mill") };
const PATIENCE: Duration = Duration::from_secs(60);

fn start(name: &str) -> Deployment {
    Deployment::start(name, &Size::default(), &[FARMER, MILLER]).unwrap()
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
        let done = deployment.wait_until(PATIENCE, |deployment| {
            deployment.job(1, &MILLER, &id).is_ok_and(|job| job["state"] == "done")
        });
        assert!(done, "{queue}: {:?}", deployment.job(1, &MILLER, &id));
        let other = deployment.client.get(
            deployment.entry_addresses[0],
            &format!("/v1/jobs/{id}"),
            &FARMER.token(),
        );
        assert_eq!(other.unwrap().status, 403, "another team's job");
    }
    let service = json!({ "tasks": 2, "cpu_milli": 100, "mem_mb": 64 });
    let id = deployment.post_job(2, "watchers", &FARMER, &[], &service).unwrap().job().unwrap();
    let runs = |deployment: &Deployment| {
        deployment.job(0, &FARMER, &id).is_ok_and(|job| job["tasks"]["running"] == 2)
    };
    assert!(deployment.wait_until(PATIENCE, runs));
    let path = format!("/v1/jobs/{id}");
    let cancelled =
        deployment.client.delete(deployment.entry_addresses[1], &path, &FARMER.token()).unwrap();
    assert_eq!(cancelled.outcome, "cancelled");
    let stopped = deployment.wait_until(PATIENCE, |deployment| {
        deployment.truth().is_ok_and(|truth| truth.running == 0)
    });
    assert!(stopped);
    let truth = deployment.truth().unwrap();
    assert!(truth.doubled.is_empty() && truth.overfilled.is_empty(), "{truth:?}");
}

#[test]
fn the_same_non_idempotent_request_runs_once_through_all_entries() {
    let deployment = start("once");
    let key = [("Idempotency-Key", "order-1")];
    let first = deployment.post_request(0, "orders", &FARMER, &key, "3 t").unwrap();
    assert_eq!(first.outcome, "ran");
    for entry in 0..3 {
        let again = deployment.post_request(entry, "orders", &FARMER, &key, "3 t").unwrap();
        assert_eq!((again.outcome.as_str(), &again.body), ("ran", &first.body));
        let other = deployment.post_request(entry, "orders", &FARMER, &key, "4 t").unwrap();
        assert_eq!((other.status, other.json()["reason"].as_str()), (409, Some("id_reused")));
    }
    assert_eq!(deployment.runs().unwrap().len(), 1);
}

#[test]
fn bad_input_gets_a_clear_error_at_once() {
    let deployment = start("bad-input");
    let entry = deployment.entry_addresses[0];
    let client = &deployment.client;
    let large = "x".repeat((1 << 20) + 1);
    let requests = "/v1/queues/checks/requests";
    let jobs = "/v1/queues/formulas/jobs";
    let farmer = FARMER.token();
    let never = json!({ "cpu_milli": 64_000, "mem_mb": 1, "run_ms": 1 }).to_string();
    type Case<'a> = (&'a str, &'a str, &'a str, Vec<(&'a str, &'a str)>, &'a str, u16);
    let cases: Vec<Case<'_>> = vec![
        ("no key", requests, "", vec![], "", 401),
        ("wrong secret", requests, "farmer.guess", vec![], "", 401),
        ("no such queue", "/v1/queues/nowhere/requests", &farmer, vec![], "", 404),
        ("no such resource", "/v1/nothing", &farmer, vec![], "", 404),
        ("jobs to a request queue", "/v1/queues/checks/jobs", &farmer, vec![], "{}", 422),
        ("requests to a job queue", "/v1/queues/formulas/requests", &farmer, vec![], "", 422),
        ("deadline in the past", requests, &farmer, vec![("X-Deadline-Ms", "0")], "", 504),
        ("deadline that is no number", requests, &farmer, vec![("X-Deadline-Ms", "soon")], "", 400),
        (
            "idempotency that is no flag",
            requests,
            &farmer,
            vec![("X-Idempotent", "maybe")],
            "",
            400,
        ),
        ("empty idempotency key", requests, &farmer, vec![("Idempotency-Key", "")], "", 400),
        ("large body", requests, &farmer, vec![], &large, 413),
        ("malformed job", jobs, &farmer, vec![], "{\"tasks\":", 400),
        ("unknown field", jobs, &farmer, vec![], "{\"cpu\": 1}", 400),
        ("job that can never run", jobs, &farmer, vec![], &never, 422),
    ];
    for (what, path, token, headers, body, status) in cases {
        let answer = client.post(entry, path, token, &headers, body).unwrap();
        assert_eq!(answer.status, status, "{what}: {}", answer.body);
        assert_eq!(answer.json()["outcome"], "not_run", "{what}: {}", answer.body);
    }
    let public = client.post(entry, "/v1/queues/public/requests", "", &[], "open to all").unwrap();
    assert_eq!(public.outcome, "ran", "an open queue needs no key");
    let admin = client.get(entry, "/v1/admin/status", &farmer).unwrap();
    assert_eq!(admin.status, 401, "a team's key is no operator's key");
    assert_eq!(client.get(entry, "/v1/admin/status", &OPERATOR.token()).unwrap().status, 200);
    assert_eq!(deployment.runs().unwrap().len(), 1);
}
