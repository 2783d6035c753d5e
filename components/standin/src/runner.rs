//! A runner over HTTP: answers requests in slots and reports its state in its vendor's form.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use libs::rouille::{Request, Response, ResponseBody};
use libs::serde_json::json;
use types::{BackendState, Millis, RequestId, RunnerReport};

use crate::runner_core::{RunOrder, RunnerCore};
use crate::truth::Truth;

/// Form of a vendor's reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerForm {
    /// A JSON object.
    Json,
    /// Lines of `key=value`.
    Text,
    /// HTTP status and headers.
    Headers,
}

struct State {
    core: RunnerCore,
    /// Answers are cut off in the middle.
    truncates: bool,
}

/// A runner.
pub struct Runner {
    form: RunnerForm,
    service_ms: u64,
    state: Mutex<State>,
    /// Signalled when runs are to stop early.
    stop: Condvar,
}

impl Runner {
    /// A runner that works on nothing.
    pub fn new(
        name: String,
        form: RunnerForm,
        slots: u32,
        service_ms: u64,
        incarnation: u64,
        truth: Arc<Truth>,
    ) -> Self {
        let core = RunnerCore::new(name, slots, incarnation, truth);
        Self {
            form,
            service_ms,
            state: Mutex::new(State { core, truncates: false }),
            stop: Condvar::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or ends leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().core.leaving = leaving;
    }

    /// Starts or ends cutting off answers.
    pub fn set_truncates(&self, truncates: bool) {
        self.state().truncates = truncates;
    }

    /// Stops everything without a trace, as a power cut does, and starts again.
    pub fn restart(&self, now: Millis) {
        self.state().core.restart(now);
        self.stop.notify_all();
    }

    /// Answers a poll in the vendor's form.
    pub fn report(&self, now: Millis, request: &Request) -> Response {
        let epoch = header_number(request, "X-Epoch").unwrap_or(0);
        match self.state().core.report(now, epoch) {
            Some(report) => self.format(&report),
            None => Response::text("stale epoch").with_status_code(409),
        }
    }

    fn format(&self, report: &RunnerReport) -> Response {
        let leaving = report.state == BackendState::Leaving;
        let running: Vec<&str> = report.running.iter().map(RequestId::as_str).collect();
        match self.form {
            RunnerForm::Json => Response::json(&json!({
                "status": if leaving { "DRAINING" } else { "UP" },
                "boot": report.incarnation,
                "clock_ms": report.clock_ms,
                "slots": report.slots,
                "running": running,
            })),
            RunnerForm::Text => Response::text(format!(
                "health={}\nboot={}\nclock={}\nslots={}\njobs={}\n",
                if leaving { "leaving" } else { "ok" },
                report.incarnation,
                report.clock_ms.0,
                report.slots,
                running.join(",")
            )),
            RunnerForm::Headers => Response::text("")
                .with_additional_header("X-Drain", leaving.to_string())
                .with_additional_header("X-Boot", report.incarnation.to_string())
                .with_additional_header("X-Clock-Ms", report.clock_ms.0.to_string())
                .with_additional_header("X-Slots", report.slots.to_string())
                .with_additional_header("X-Running", running.join(",")),
        }
    }

    /// Works on a request and answers it, unless it must not start. `now` tells the time.
    pub fn run(&self, now: &dyn Fn() -> Millis, request: &Request, body: &str) -> Response {
        let Some(order) = parse_order(request) else { return Response::empty_400() };
        if let Err(reason) = self.state().core.begin(now(), &order) {
            let response = Response::text(reason).with_status_code(409);
            return response.with_additional_header("X-Not-Started", "true");
        }
        let work_ms = body.trim().strip_prefix("work_ms=").and_then(|text| text.parse().ok());
        let work_ms = work_ms.unwrap_or(self.service_ms).min(order.end_before.since(now()).0);
        let completed = self.work(now, &order, work_ms);
        self.answer(&order, body, completed)
    }

    /// Waits for the time of the work. False if it was stopped early.
    fn work(&self, now: &dyn Fn() -> Millis, order: &RunOrder, work_ms: u64) -> bool {
        let duration = Duration::from_millis(work_ms);
        let goes_on = |state: &mut State| state.core.works_on(&order.id);
        let waited = self.stop.wait_timeout_while(self.state(), duration, goes_on);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.core.end(now(), &order.id, true)
    }

    fn answer(&self, order: &RunOrder, body: &str, completed: bool) -> Response {
        if !completed {
            return Response::text("stopped").with_status_code(500);
        }
        let state = self.state();
        let text =
            json!({ "request": order.id, "runner": state.core.name(), "echo": body }).to_string();
        let mut response = Response::from_data("application/json", text.clone())
            .with_additional_header("X-Request-Id", order.id.to_string())
            .with_additional_header("X-Attempt", order.attempt.to_string());
        if state.truncates {
            let half = text.as_bytes()[..text.len() / 2].to_vec();
            response.data =
                ResponseBody::from_reader_and_size(std::io::Cursor::new(half), text.len());
        }
        response
    }
}

fn header_number(request: &Request, name: &str) -> Option<u64> {
    request.header(name).and_then(|text| text.parse().ok())
}

fn parse_order(request: &Request) -> Option<RunOrder> {
    Some(RunOrder {
        id: request.header("X-Request-Id")?.parse().ok()?,
        attempt: header_number(request, "X-Attempt")?,
        epoch: header_number(request, "X-Epoch")?,
        incarnation: header_number(request, "X-Boot")?,
        start_before: Millis(header_number(request, "X-Start-Before-Ms")?),
        end_before: Millis(header_number(request, "X-End-Before-Ms")?),
    })
}
