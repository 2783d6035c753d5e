//! HTTP interface of a simulated runner: runs requests and reports state in its vendor's format.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use libs::rouille::{Request, Response, ResponseBody};
use libs::serde_json::json;
use types::{BackendState, Millis, RequestId, RunnerReport};

use crate::run_log::RunLog;
use crate::runner_core::{RunRequest, RunnerCore};

/// Format of a vendor's state reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportFormat {
    /// JSON object in the body.
    Json,
    /// Lines of `key=value` in the body.
    Text,
    /// Response headers, with an empty body.
    Headers,
}

struct State {
    core: RunnerCore,
    /// Whether response bodies are cut off half-way.
    truncates: bool,
}

/// A simulated runner.
pub struct Runner {
    format: ReportFormat,
    service_ms: u64,
    state: Mutex<State>,
    /// Notified when a restart ends runs early.
    interrupted: Condvar,
}

impl Runner {
    /// Creates an idle runner.
    pub fn new(
        name: String,
        format: ReportFormat,
        slots: u32,
        service_ms: u64,
        incarnation: u64,
        run_log: Arc<RunLog>,
    ) -> Self {
        let core = RunnerCore::new(name, slots, incarnation, run_log);
        Self {
            format,
            service_ms,
            state: Mutex::new(State { core, truncates: false }),
            interrupted: Condvar::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether the runner reports that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().core.leaving = leaving;
    }

    /// Sets whether response bodies are cut off.
    pub fn set_truncates(&self, truncates: bool) {
        self.state().truncates = truncates;
    }

    /// Drops all running requests, as in a power cut, and starts with a new incarnation.
    pub fn restart(&self, now: Millis) {
        self.state().core.restart(now);
        self.interrupted.notify_all();
    }

    /// Answers a state poll in the vendor's format; 409 if the owner's epoch is stale.
    pub fn report(&self, now: Millis, request: &Request) -> Response {
        let epoch = header_number(request, "X-Epoch").unwrap_or(0);
        match self.state().core.report(now, epoch) {
            Some(report) => self.format_report(&report),
            None => Response::text("stale epoch").with_status_code(409),
        }
    }

    fn format_report(&self, report: &RunnerReport) -> Response {
        let leaving = report.state == BackendState::Leaving;
        let running: Vec<&str> = report.running.iter().map(RequestId::as_str).collect();
        match self.format {
            ReportFormat::Json => Response::json(&json!({
                "status": if leaving { "DRAINING" } else { "UP" },
                "boot": report.incarnation,
                "clock_ms": report.clock_ms,
                "slots": report.slots,
                "running": running,
            })),
            ReportFormat::Text => Response::text(format!(
                "health={}\nboot={}\nclock={}\nslots={}\njobs={}\n",
                if leaving { "leaving" } else { "ok" },
                report.incarnation,
                report.clock_ms.0,
                report.slots,
                running.join(",")
            )),
            ReportFormat::Headers => Response::text("")
                .with_additional_header("X-Drain", leaving.to_string())
                .with_additional_header("X-Boot", report.incarnation.to_string())
                .with_additional_header("X-Clock-Ms", report.clock_ms.0.to_string())
                .with_additional_header("X-Slots", report.slots.to_string())
                .with_additional_header("X-Running", running.join(",")),
        }
    }

    /// Runs a request and returns its response, or 409 with `X-Not-Started` if it must not start.
    /// `now` reads the runner's clock.
    pub fn run(&self, now: &dyn Fn() -> Millis, request: &Request, body: &str) -> Response {
        let Some(run_request) = parse_run_request(request) else { return Response::empty_400() };
        if let Err(reason) = self.state().core.begin(now(), &run_request) {
            let response = Response::text(reason).with_status_code(409);
            return response.with_additional_header("X-Not-Started", "true");
        }
        let work_ms = body.trim().strip_prefix("work_ms=").and_then(|text| text.parse().ok());
        let work_ms =
            work_ms.unwrap_or(self.service_ms).min(run_request.end_before_ms.since(now()).0);
        let completed = self.wait_for_completion(now, &run_request, work_ms);
        self.run_response(&run_request, body, completed)
    }

    /// Blocks until the run time is over. Returns false if a restart ended the run early.
    fn wait_for_completion(
        &self,
        now: &dyn Fn() -> Millis,
        run_request: &RunRequest,
        work_ms: u64,
    ) -> bool {
        let duration = Duration::from_millis(work_ms);
        let still_running = |state: &mut State| state.core.is_running(&run_request.id);
        let wait_result =
            self.interrupted.wait_timeout_while(self.state(), duration, still_running);
        let (mut state, _) = wait_result.unwrap_or_else(PoisonError::into_inner);
        state.core.end(now(), &run_request.id, true)
    }

    fn run_response(&self, run_request: &RunRequest, body: &str, completed: bool) -> Response {
        if !completed {
            return Response::text("stopped").with_status_code(500);
        }
        let state = self.state();
        let text = json!({ "request": run_request.id, "runner": state.core.name(), "echo": body })
            .to_string();
        let mut response = Response::from_data("application/json", text.clone())
            .with_additional_header("X-Request-Id", run_request.id.to_string())
            .with_additional_header("X-Attempt", run_request.attempt.to_string());
        if state.truncates {
            let first_half = text.as_bytes()[..text.len() / 2].to_vec();
            response.data =
                ResponseBody::from_reader_and_size(std::io::Cursor::new(first_half), text.len());
        }
        response
    }
}

fn header_number(request: &Request, name: &str) -> Option<u64> {
    request.header(name).and_then(|text| text.parse().ok())
}

fn parse_run_request(request: &Request) -> Option<RunRequest> {
    Some(RunRequest {
        id: request.header("X-Request-Id")?.parse().ok()?,
        attempt: header_number(request, "X-Attempt")?,
        epoch: header_number(request, "X-Epoch")?,
        incarnation: header_number(request, "X-Boot")?,
        start_before_ms: Millis(header_number(request, "X-Start-Before-Ms")?),
        end_before_ms: Millis(header_number(request, "X-End-Before-Ms")?),
    })
}
