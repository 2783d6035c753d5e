//! The HTTP server for callers.
//!
//! One thread receives requests within the limits of the server. Their handlers block, so each complete
//! request has a thread of a pool.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use clock::CancellationToken;
use errors::{Error, Result};
use libs::tokio::{runtime, task};
use types::{Millis, NotRunReason, Outcome};
use web::{Handler, Rejection, RequestPermit, ServerRequest, ServerResponse, serve_within};

use crate::api::{self, outcome_response};
use crate::{DRAIN_POLL_MS, Shared};

/// Threads in addition to those for waiting callers, so that health checks and rejections are still
/// served when the entry is full.
const SPARE_THREADS: usize = 16;
/// Retry delay that is sent to callers when the entry is full or shutting down.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// The running server.
pub(crate) struct HttpServer {
    in_progress: Arc<AtomicUsize>,
    rejects_new: Arc<AtomicBool>,
    stop: CancellationToken,
}

impl HttpServer {
    /// Starts the server.
    pub(crate) fn start(shared: Arc<Shared>) -> Result<Self> {
        let settings = &shared.settings.http;
        let listen = settings.listen;
        let limits = settings.limits();
        let network_error = |error| Error::Network(format!("cannot listen on {listen}: {error}"));
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(settings.max_waiting + SPARE_THREADS)
            .build()
            .map_err(network_error)?;
        let listener = {
            // The listener belongs to the runtime.
            let _entered = runtime.enter();
            web::listen(listen).map_err(network_error)?
        };
        let server = Self {
            in_progress: Arc::default(),
            rejects_new: Arc::default(),
            stop: CancellationToken::new(),
        };
        let handler = CallersHandler {
            shared,
            in_progress: server.in_progress.clone(),
            rejects_new: server.rejects_new.clone(),
        };
        let stop = server.stop.clone();
        let serve = move || {
            task::LocalSet::new().block_on(&runtime, async {
                serve_within(listener, handler, limits, stop).await;
                // Connections write their last responses until the process ends.
                std::future::pending::<()>().await;
            });
        };
        // The thread is not joined, because it would wait for idle connections to close.
        let thread = thread::Builder::new().name("http".to_owned());
        thread.spawn(serve).map_err(network_error)?;
        Ok(server)
    }

    /// Rejects new requests, waits up to `timeout_ms` for those in progress and then stops the server.
    pub(crate) fn stop(self, timeout_ms: Millis) {
        let deadline_at = clock::now() + timeout_ms;
        self.rejects_new.store(true, Ordering::Release);
        while self.in_progress.load(Ordering::Acquire) > 0 && clock::now() < deadline_at {
            thread::sleep(DRAIN_POLL_MS.to_duration());
        }
        self.stop.cancel();
        // Leaves time to write the last responses, which happens after their handlers have returned.
        thread::sleep(DRAIN_POLL_MS.to_duration());
    }
}

/// Passes complete requests to threads.
struct CallersHandler {
    shared: Arc<Shared>,
    /// Requests that a thread has.
    in_progress: Arc<AtomicUsize>,
    rejects_new: Arc<AtomicBool>,
}

impl CallersHandler {
    /// Response to a request that needs no thread, since it cannot be served.
    fn refuse(&self, waiting: usize) -> Option<ServerResponse> {
        let reason = if self.rejects_new.load(Ordering::Acquire) {
            NotRunReason::ShuttingDown
        } else if waiting >= self.shared.settings.http.max_waiting {
            self.shared.metrics.count("http.overloaded");
            NotRunReason::QueueFull
        } else {
            return None;
        };
        Some(outcome_response(&Outcome::not_run(reason, RETRY_AFTER_MS), None))
    }
}

impl Handler for CallersHandler {
    fn check_head(&self, head: &ServerRequest) -> std::result::Result<(), ServerResponse> {
        match self.refuse(self.in_progress.load(Ordering::Acquire)) {
            Some(refusal) => Err(refusal),
            None => api::check_head(&self.shared, head),
        }
    }

    fn handle(
        &self,
        request: ServerRequest,
        permit: RequestPermit,
    ) -> impl Future<Output = ServerResponse> + 'static {
        let in_progress = self.in_progress.clone();
        let waiting = in_progress.fetch_add(1, Ordering::AcqRel);
        let refusal = self.refuse(waiting);
        let shared = self.shared.clone();
        // A task of its own, which goes on if the client disconnects, as the thread does.
        let handled = task::spawn_local(async move {
            let response = match refusal {
                Some(refusal) => Ok(refusal),
                None => task::spawn_blocking(move || api::handle(&shared, &request)).await,
            };
            in_progress.fetch_sub(1, Ordering::AcqRel);
            drop(permit);
            response
        });
        async {
            let response = handled.await.and_then(|response| response);
            response.unwrap_or_else(|error| {
                libs::log::error!("a request handler failed: {error}");
                ServerResponse { status: 500, ..ServerResponse::default() }
            })
        }
    }

    fn reject(&self, rejection: Rejection) -> ServerResponse {
        self.shared.metrics.count(rejection.counter());
        libs::log::debug!("request rejected: {rejection}");
        api::rejection_response(rejection, self.shared.settings.http.limits().max_body_bytes)
    }
}
