//! A runner: answers requests in slots and reports its state in its vendor's form.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use libs::rouille::{Request, Response};
use libs::serde_json::json;
use types::Millis;

use crate::truth::{Run, RunKind, Truth};

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

#[derive(Default)]
struct State {
    epoch: u64,
    incarnation: u64,
    leaving: bool,
    /// Answers are cut off in the middle.
    truncates: bool,
    running: BTreeMap<String, u64>,
    stopped: BTreeSet<String>,
}

/// A runner.
pub struct Runner {
    name: String,
    form: RunnerForm,
    slots: usize,
    service_ms: u64,
    state: Mutex<State>,
    /// Signalled when runs are to stop early.
    stop: Condvar,
    truth: Arc<Truth>,
}

/// What a request's headers say.
struct RunOrder {
    id: String,
    attempt: u64,
    epoch: u64,
    incarnation: u64,
    start_before: Millis,
    end_before: Millis,
}

impl Runner {
    /// A runner that works on nothing.
    pub fn new(
        name: String,
        form: RunnerForm,
        slots: usize,
        service_ms: u64,
        incarnation: u64,
        truth: Arc<Truth>,
    ) -> Self {
        let state = Mutex::new(State { incarnation, ..State::default() });
        Self { name, form, slots, service_ms, state, stop: Condvar::new(), truth }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or ends leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().leaving = leaving;
    }

    /// Starts or ends cutting off answers.
    pub fn set_truncates(&self, truncates: bool) {
        self.state().truncates = truncates;
    }

    /// Stops everything without a trace, as a power cut does, and starts again.
    pub fn restart(&self) {
        let mut state = self.state();
        state.incarnation += 1;
        let running: Vec<String> = state.running.keys().cloned().collect();
        state.stopped.extend(running);
        self.stop.notify_all();
    }

    /// Answers a poll. An epoch higher than any seen becomes the lowest accepted one.
    pub fn report(&self, now: Millis, request: &Request) -> Response {
        let epoch = header_number(request, "X-Epoch").unwrap_or(0);
        let mut state = self.state();
        if epoch < state.epoch {
            return Response::text("stale epoch").with_status_code(409);
        }
        state.epoch = epoch;
        let running: Vec<&str> = state.running.keys().map(String::as_str).collect();
        match self.form {
            RunnerForm::Json => Response::json(&json!({
                "status": if state.leaving { "DRAINING" } else { "UP" },
                "boot": state.incarnation,
                "clock_ms": now.0,
                "slots": self.slots,
                "running": running,
            })),
            RunnerForm::Text => Response::text(format!(
                "health={}\nboot={}\nclock={}\nslots={}\njobs={}\n",
                if state.leaving { "leaving" } else { "ok" },
                state.incarnation,
                now.0,
                self.slots,
                running.join(",")
            )),
            RunnerForm::Headers => Response::text("")
                .with_additional_header("X-Drain", state.leaving.to_string())
                .with_additional_header("X-Boot", state.incarnation.to_string())
                .with_additional_header("X-Clock-Ms", now.0.to_string())
                .with_additional_header("X-Slots", self.slots.to_string())
                .with_additional_header("X-Running", running.join(",")),
        }
    }

    /// Works on a request and answers it, unless it must not start.
    pub fn run(&self, now: Millis, request: &Request, body: &str) -> Response {
        let Some(order) = parse_order(request) else { return Response::empty_400() };
        if let Some(refusal) = self.begin(now, &order) {
            return refusal;
        }
        let run = self.truth.start(Run {
            kind: RunKind::Request,
            id: order.id.clone(),
            attempt: order.attempt,
            place: self.name.clone(),
            started_ms: now.0,
            ended_ms: None,
            completed: false,
        });
        let work_ms = body.trim().strip_prefix("work_ms=").and_then(|text| text.parse().ok());
        let work_ms = work_ms.unwrap_or(self.service_ms).min(order.end_before.since(now).0);
        let completed = self.work(&order, work_ms);
        self.truth.end(run, now.0 + work_ms, completed);
        self.answer(&order, body, completed)
    }

    fn begin(&self, now: Millis, order: &RunOrder) -> Option<Response> {
        let mut state = self.state();
        let refuse = |why: &str| {
            let response = Response::text(why.to_owned()).with_status_code(409);
            Some(response.with_additional_header("X-Not-Started", "true"))
        };
        if order.epoch < state.epoch {
            return refuse("stale epoch");
        }
        if order.incarnation != state.incarnation {
            return refuse("restarted since");
        }
        if now >= order.start_before {
            return refuse("too late");
        }
        if state.running.len() >= self.slots {
            return refuse("no free slot");
        }
        if state.running.contains_key(&order.id) {
            return refuse("runs already");
        }
        state.running.insert(order.id.clone(), order.attempt);
        None
    }

    /// Waits for the time of the work. False if it was stopped early.
    fn work(&self, order: &RunOrder, work_ms: u64) -> bool {
        let state = self.state();
        let duration = Duration::from_millis(work_ms);
        let waited = self
            .stop
            .wait_timeout_while(state, duration, |state| !state.stopped.contains(&order.id));
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.running.remove(&order.id);
        !state.stopped.remove(&order.id)
    }

    fn answer(&self, order: &RunOrder, body: &str, completed: bool) -> Response {
        if !completed {
            return Response::text("stopped").with_status_code(500);
        }
        let text = json!({ "request": order.id, "runner": self.name, "echo": body }).to_string();
        let mut response = Response::from_data("application/json", text.clone())
            .with_additional_header("X-Request-Id", order.id.clone())
            .with_additional_header("X-Attempt", order.attempt.to_string());
        if self.state().truncates {
            let half = text.as_bytes()[..text.len() / 2].to_vec();
            response.data = libs::rouille::ResponseBody::from_reader_and_size(
                std::io::Cursor::new(half),
                text.len(),
            );
        }
        response
    }
}

fn header_number(request: &Request, name: &str) -> Option<u64> {
    request.header(name).and_then(|text| text.parse().ok())
}

fn parse_order(request: &Request) -> Option<RunOrder> {
    Some(RunOrder {
        id: request.header("X-Request-Id")?.to_owned(),
        attempt: header_number(request, "X-Attempt")?,
        epoch: header_number(request, "X-Epoch")?,
        incarnation: header_number(request, "X-Boot")?,
        start_before: Millis(header_number(request, "X-Start-Before-Ms")?),
        end_before: Millis(header_number(request, "X-End-Before-Ms")?),
    })
}
