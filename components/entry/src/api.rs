//! The HTTP API for callers. See docs/API.md.

use config::{QueueRule, WorkKind};
use libs::percent_encoding::percent_decode_str;
use libs::rand::{self, Rng};
use libs::serde_json::{self, json};
use serde::{Deserialize, Serialize};
use types::{
    JobId, JobSpec, JobView, Millis, NotRunReason, Outcome, QueueId, RequestId, Resources, TeamId,
    stable_hash,
};
use web::{Rejection, ServerRequest, ServerResponse};

use crate::auth::{self, AuthError};
use crate::jobs;
use crate::request::{IncomingRequest, RequestRun};
use crate::view::View;
use crate::{Shared, admin};

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Retry delay that is sent to callers while a pool has no known owner.
const NO_OWNER_RETRY_MS: Millis = Millis(2_000);
/// Longest deadline that a caller may give.
const MAX_DEADLINE_MS: Millis = Millis(600_000);

/// An error of the request itself, such as a bad header or an unknown queue.
struct ApiError {
    status: u16,
    error: &'static str,
    message: String,
}

type ApiResult<T> = Result<T, ApiError>;

fn reject<T>(status: u16, error: &'static str, message: impl Into<String>) -> ApiResult<T> {
    Err(ApiError { status, error, message: message.into() })
}

impl ApiError {
    fn response(&self) -> ServerResponse {
        let body = json!({ "outcome": "not_run", "reason": self.error, "message": self.message });
        json_response(&body).with_status(self.status)
    }
}

/// Checks the head of a request that has a body: its path and its caller.
pub(crate) fn check_head(shared: &Shared, head: &ServerRequest) -> Result<(), ServerResponse> {
    let path = percent_decode_str(&head.path).decode_utf8_lossy();
    let view = shared.view.get();
    let checked = match path.trim_matches('/').split('/').collect::<Vec<_>>().as_slice() {
        ["v1", "queues", queue, "requests"] => find_queue(&view, queue).and_then(|queue| {
            auth::authenticate_for_queue(head, &view, queue).map_err(auth_error)?;
            Ok(())
        }),
        ["v1", "queues", queue, "jobs"] => find_queue(&view, queue).and_then(|_| {
            auth::authenticate_team(head, &view).map_err(auth_error)?;
            Ok(())
        }),
        ["v1", "health" | "jobs" | "admin", ..] => {
            reject(413, "body_too_large", "this resource takes no body")
        }
        _ => reject(404, "no_such_resource", "there is no such resource; see docs/API.md"),
    };
    checked.map_err(|error| {
        shared.metrics.count(status_counter(error.status));
        error.response()
    })
}

/// Answers one HTTP request.
pub(crate) fn handle(shared: &Shared, request: &ServerRequest) -> ServerResponse {
    let path = percent_decode_str(&request.path).decode_utf8_lossy();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let view = shared.view.get();
    let result = match (request.method.as_str(), parts.as_slice()) {
        ("GET", ["v1", "health"]) => Ok(health(&view)),
        ("POST", ["v1", "queues", queue, "requests"]) => {
            post_request(shared, &view, request, queue)
        }
        ("POST", ["v1", "queues", queue, "jobs"]) => post_job(shared, &view, request, queue),
        ("GET", ["v1", "jobs"]) => list_jobs(shared, &view, request),
        ("GET", ["v1", "jobs", id]) => get_job(shared, &view, request, id),
        ("DELETE", ["v1", "jobs", id]) => delete_job(shared, &view, request, id),
        ("GET", ["v1", "admin", rest @ ..]) => get_admin(shared, &view, request, rest),
        (_, ["v1", ..]) => {
            reject(404, "no_such_resource", "there is no such resource; see docs/API.md")
        }
        _ => reject(404, "no_such_resource", "all resources are below /v1; see docs/API.md"),
    };
    let response = result.unwrap_or_else(|error| error.response());
    shared.metrics.count(status_counter(response.status));
    response
}

fn status_counter(status: u16) -> &'static str {
    match status {
        200..=299 => "http.2xx",
        400..=499 => "http.4xx",
        _ => "http.5xx",
    }
}

fn health(view: &View) -> ServerResponse {
    let ready = view.is_ready();
    let body = json!({ "ready": ready, "rules_version": view.rules.version, "rules_confirmed": view.trusted });
    json_response(&body).with_status(if ready { 200 } else { 503 })
}

fn auth_error(error: AuthError) -> ApiError {
    match error {
        AuthError::InvalidKey => ApiError {
            status: 401,
            error: "invalid_key",
            message: "send a valid key as 'Authorization: Bearer NAME.SECRET'".to_owned(),
        },
        AuthError::Unconfirmed => ApiError {
            status: 503,
            error: NotRunReason::ConfigUnconfirmed.as_str(),
            message: "this entry cannot confirm its configuration; try again in some seconds"
                .to_owned(),
        },
    }
}

fn find_queue<'a>(view: &'a View, name: &str) -> ApiResult<&'a QueueRule> {
    let found = name.parse::<QueueId>().ok().and_then(|queue| view.rules.queue(&queue));
    match found {
        Some(queue) => Ok(queue),
        None if view.rules.version.0 == 0 => Err(auth_error(AuthError::Unconfirmed)),
        None => reject(404, NotRunReason::UnknownQueue.as_str(), "there is no such queue"),
    }
}

fn idempotency_key(request: &ServerRequest) -> ApiResult<Option<&str>> {
    match request.header("Idempotency-Key") {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => reject(
            400,
            "bad_idempotency_key",
            format!("an idempotency key has 1 to {MAX_KEY_BYTES} bytes"),
        ),
        key => Ok(key),
    }
}

fn bool_header(request: &ServerRequest, name: &str) -> ApiResult<Option<bool>> {
    match request.header(name) {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => reject(400, "bad_header", format!("{name} is 'true' or 'false'")),
    }
}

fn parse_deadline(request: &ServerRequest, queue: &QueueRule) -> ApiResult<Millis> {
    let Some(text) = request.header("X-Deadline-Ms") else { return Ok(queue.deadline_ms) };
    match text.parse::<Millis>() {
        Ok(Millis(0)) => {
            reject(504, NotRunReason::DeadlinePassed.as_str(), "the deadline has already passed")
        }
        Ok(deadline_ms) if deadline_ms <= MAX_DEADLINE_MS => Ok(deadline_ms),
        _ => reject(
            400,
            "bad_header",
            format!("X-Deadline-Ms is a number from 1 to {}", MAX_DEADLINE_MS.0),
        ),
    }
}

/// Derives an id that is equal for all submissions of a team to a queue with the same idempotency key.
fn id_from_key(team: Option<&TeamId>, queue: &QueueId, key: &str) -> String {
    let team = team.map_or("", TeamId::as_str);
    let parts = [team.as_bytes(), queue.as_str().as_bytes(), key.as_bytes()];
    let high = stable_hash(&[b"id-1", parts[0], parts[1], parts[2]]);
    let low = stable_hash(&[b"id-2", parts[0], parts[1], parts[2]]);
    format!("k{high:016x}{low:016x}")
}

fn random_id() -> String {
    let (high, low): (u64, u64) = rand::rng().random();
    format!("r{high:016x}{low:016x}")
}

fn post_request(
    shared: &Shared,
    view: &View,
    request: &ServerRequest,
    queue: &str,
) -> ApiResult<ServerResponse> {
    let arrived_at = clock::now();
    let queue = find_queue(view, queue)?;
    if queue.kind != WorkKind::Request {
        return reject(
            422,
            NotRunReason::WrongKind.as_str(),
            "this queue takes jobs: post to .../jobs",
        );
    }
    let team = auth::authenticate_for_queue(request, view, queue).map_err(auth_error)?;
    let key = idempotency_key(request)?;
    let idempotent = bool_header(request, "X-Idempotent")?.unwrap_or(queue.idempotent);
    let deadline_ms = parse_deadline(request, queue)?;
    let body = request.body.to_vec();
    let id = key.map_or_else(random_id, |key| id_from_key(team.as_ref(), &queue.name, key));
    let Ok(id) = id.parse::<RequestId>() else {
        return reject(
            400,
            "bad_idempotency_key",
            "the idempotency key does not give a valid request id",
        );
    };
    let incoming = IncomingRequest {
        holder: shared.new_holder(),
        id,
        has_caller_id: key.is_some(),
        content_hash: stable_hash(&[&body]),
        team,
        queue: queue.name.clone(),
        priority: queue.priority,
        idempotent,
        deadline_at: arrived_at + deadline_ms,
        run_limit_ms: queue.run_limit_ms,
        body,
    };
    let outcome = RequestRun::new(shared, &incoming).serve();
    record_outcome(shared, &incoming, &outcome, arrived_at);
    Ok(outcome_response(&outcome, Some(&incoming.id)))
}

fn record_outcome(
    shared: &Shared,
    incoming: &IncomingRequest,
    outcome: &Outcome,
    arrived_at: Millis,
) {
    shared.metrics.time_ms("request.time", clock::now().since(arrived_at).0);
    let counter = match outcome {
        Outcome::Ran(_) => "requests.ran",
        Outcome::NotRun { .. } => "requests.not_run",
        Outcome::Unknown { .. } => "requests.unknown",
        _ => "requests.other",
    };
    shared.metrics.count(counter);
    if let Outcome::NotRun { reason, .. } = outcome {
        let kind = timeline::EventKind::RequestRefused;
        shared.timeline.record(kind, incoming.id.as_str(), reason.as_str());
    }
}

/// The body of a job submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    #[serde(default = "default_tasks")]
    tasks: u32,
    cpu_milli: u64,
    mem_mb: u64,
    #[serde(default)]
    accels: u64,
    #[serde(default)]
    run_ms: Millis,
    idempotent: Option<bool>,
}

fn default_tasks() -> u32 {
    1
}

fn post_job(
    shared: &Shared,
    view: &View,
    request: &ServerRequest,
    queue: &str,
) -> ApiResult<ServerResponse> {
    let queue = find_queue(view, queue)?;
    let Some(kind) = queue.kind.job_kind() else {
        return reject(
            422,
            NotRunReason::WrongKind.as_str(),
            "this queue takes requests: post to .../requests",
        );
    };
    let team = auth::authenticate_team(request, view).map_err(auth_error)?;
    let key = idempotency_key(request)?;
    let job: JobBody = match serde_json::from_slice(&request.body) {
        Ok(job) => job,
        Err(error) => return reject(400, "bad_job", format!("the body is not a job: {error}")),
    };
    if job.tasks == 0 || job.cpu_milli == 0 || job.mem_mb == 0 {
        return reject(422, "bad_job", "tasks, cpu_milli and mem_mb are at least 1");
    }
    if kind != types::JobKind::Service && job.run_ms == Millis(0) {
        return reject(422, "bad_job", "run_ms, the expected run time of a task, is at least 1");
    }
    let local_id = key.map_or_else(random_id, |key| id_from_key(Some(&team), &queue.name, key));
    let Some(pool) = jobs::choose_pool(shared, &queue.name, key.map(|_| local_id.as_str())) else {
        let outcome = Outcome::not_run(NotRunReason::NoOwner, NO_OWNER_RETRY_MS);
        return Ok(outcome_response(&outcome, None));
    };
    let Ok(id) = format!("{pool}:{local_id}").parse::<JobId>() else {
        return reject(400, "bad_job", "the submission does not give a valid job id");
    };
    let spec = JobSpec {
        id,
        team,
        queue: queue.name.clone(),
        kind,
        priority: queue.priority,
        spread: queue.policy,
        tasks: job.tasks,
        per_task: Resources { cpu_milli: job.cpu_milli, mem_mb: job.mem_mb, accels: job.accels },
        run_ms: job.run_ms,
        idempotent: job.idempotent.unwrap_or(queue.idempotent),
    };
    Ok(outcome_response(&jobs::submit(shared, spec), None))
}

fn parse_job_id(text: &str) -> ApiResult<JobId> {
    match text.parse() {
        Ok(id) => Ok(id),
        Err(_) => reject(404, NotRunReason::UnknownJob.as_str(), "there is no such job"),
    }
}

fn get_job(
    shared: &Shared,
    view: &View,
    request: &ServerRequest,
    id: &str,
) -> ApiResult<ServerResponse> {
    let team = auth::authenticate_team(request, view).map_err(auth_error)?;
    let id = parse_job_id(id)?;
    let Some(found) = jobs::find(shared, &id) else {
        return Ok(outcome_response(
            &Outcome::not_run(NotRunReason::NoOwner, NO_OWNER_RETRY_MS),
            None,
        ));
    };
    match found.into_iter().next() {
        None => reject(404, NotRunReason::UnknownJob.as_str(), "there is no such job"),
        Some(job) if job.spec.team != team => {
            reject(403, NotRunReason::WrongTeam.as_str(), "the job belongs to another team")
        }
        Some(job) => Ok(json_response(&job_json(&job))),
    }
}

fn list_jobs(shared: &Shared, view: &View, request: &ServerRequest) -> ApiResult<ServerResponse> {
    let team = auth::authenticate_team(request, view).map_err(auth_error)?;
    let (found, unanswered) = jobs::list(shared, &team);
    let jobs: Vec<serde_json::Value> = found.iter().map(job_json).collect();
    Ok(json_response(&json!({ "jobs": jobs, "pools_without_answer": unanswered })))
}

fn delete_job(
    shared: &Shared,
    view: &View,
    request: &ServerRequest,
    id: &str,
) -> ApiResult<ServerResponse> {
    let team = auth::authenticate_team(request, view).map_err(auth_error)?;
    let outcome = jobs::cancel(shared, parse_job_id(id)?, team);
    Ok(outcome_response(&outcome, None))
}

fn get_admin(
    shared: &Shared,
    view: &View,
    request: &ServerRequest,
    rest: &[&str],
) -> ApiResult<ServerResponse> {
    auth::authenticate_operator(request, view).map_err(auth_error)?;
    match admin::handle(shared, view, rest) {
        Some(response) => Ok(response),
        None => reject(404, "no_such_resource", "there is no such resource; see docs/API.md"),
    }
}

/// Formats a job as JSON.
pub(crate) fn job_json(job: &JobView) -> serde_json::Value {
    json!({
        "id": job.spec.id,
        "pool": job.pool,
        "team": job.spec.team,
        "queue": job.spec.queue,
        "kind": job.spec.kind,
        "state": job.state,
        "tasks": job.counts,
        "age_ms": job.age_ms,
        "explanation": job.explanation,
    })
}

/// Builds the HTTP response for an outcome. The answer of a back end is passed on unchanged.
pub(crate) fn outcome_response(outcome: &Outcome, request: Option<&RequestId>) -> ServerResponse {
    let response = match outcome {
        Outcome::Ran(answer) => ServerResponse {
            status: answer.status,
            content_type: Some(answer.content_type.to_string()),
            body: answer.body.clone().into(),
            ..ServerResponse::default()
        },
        Outcome::RanBefore => json_response(&json!({
            "outcome": outcome.as_str(),
            "message": "the request ran earlier; its answer is no longer held",
        }))
        .with_status(409),
        Outcome::NotRun { reason, retry_after_ms } => json_response(&json!({
            "outcome": outcome.as_str(),
            "reason": reason.as_str(),
            "retry_after_ms": retry_after_ms,
        }))
        .with_status(reason.http_status()),
        Outcome::InProgress { retry_after_ms } => json_response(&json!({
            "outcome": outcome.as_str(),
            "retry_after_ms": retry_after_ms,
        }))
        .with_status(409),
        Outcome::Unknown { reason } => {
            json_response(&json!({ "outcome": outcome.as_str(), "message": reason }))
                .with_status(502)
        }
        Outcome::Accepted(job) => {
            json_response(&json!({ "outcome": outcome.as_str(), "job": job })).with_status(202)
        }
        Outcome::Cancelled(job) => {
            json_response(&json!({ "outcome": outcome.as_str(), "job": job }))
        }
    };
    let response = response.with_header("X-Carobsill-Outcome", outcome.as_str().to_owned());
    let response = match request {
        Some(id) => response.with_header("X-Request-Id", id.to_string()),
        None => response,
    };
    with_retry_after(response, outcome)
}

/// Sets the `Retry-After` header, which HTTP defines in whole seconds.
fn with_retry_after(response: ServerResponse, outcome: &Outcome) -> ServerResponse {
    let retry_after_ms = match outcome {
        Outcome::NotRun { retry_after_ms, .. } | Outcome::InProgress { retry_after_ms } => {
            *retry_after_ms
        }
        _ => Millis(0),
    };
    let seconds = retry_after_ms.0.div_ceil(1000);
    ServerResponse { retry_after_s: Some(seconds).filter(|seconds| *seconds > 0), ..response }
}

/// Response to a request that a limit of the server turns away.
pub(crate) fn rejection_response(rejection: Rejection, max_body_bytes: usize) -> ServerResponse {
    let (error, message) = match rejection {
        Rejection::BodyTooLarge => {
            ("body_too_large", format!("a body has at most {max_body_bytes} bytes"))
        }
        Rejection::BodyIncomplete => ("body_truncated", rejection.to_string()),
        Rejection::BodyTimeout | Rejection::HeadTimeout => ("timeout", rejection.to_string()),
        _ => ("overloaded", rejection.to_string()),
    };
    let error = ApiError { status: rejection.status(), error, message };
    ServerResponse { retry_after_s: rejection.retry_after_s(), ..error.response() }
}

/// Response with a JSON body and status 200.
pub(crate) fn json_response(value: &impl Serialize) -> ServerResponse {
    match serde_json::to_vec(value) {
        Ok(body) => ServerResponse { status: 200, body: body.into(), ..ServerResponse::default() },
        Err(error) => {
            libs::log::error!("cannot encode a response: {error}");
            ServerResponse { status: 500, ..ServerResponse::default() }
        }
    }
}
