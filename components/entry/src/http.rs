//! The HTTP server for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;

use errors::{Error, Result};
use libs::rouille::{Request, Response, Server};
use types::{Millis, NotRunReason, Outcome};

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
    stop: mpsc::Sender<()>,
}

impl HttpServer {
    /// Starts the server.
    pub(crate) fn start(shared: Arc<Shared>) -> Result<Self> {
        let in_progress = Arc::new(AtomicUsize::new(0));
        let rejects_new = Arc::new(AtomicBool::new(false));
        let (handler_in_progress, handler_rejects_new) = (in_progress.clone(), rejects_new.clone());
        let listen = shared.settings.http.listen;
        let max_waiting = shared.settings.http.max_waiting;
        let server = Server::new(listen, move |request| {
            handle(&shared, &handler_in_progress, &handler_rejects_new, request)
        })
        .map_err(|error| Error::Network(format!("cannot listen on {listen}: {error}")))?
        .pool_size(max_waiting + SPARE_THREADS);
        // The server's thread is not joined, because it would wait for idle connections to close.
        let (_thread, stop) = server.stoppable();
        Ok(Self { in_progress, rejects_new, stop })
    }

    /// Rejects new requests, waits up to `timeout_ms` for those in progress and then stops the server.
    pub(crate) fn stop(self, timeout_ms: Millis) {
        let deadline_at = clock::now() + timeout_ms;
        self.rejects_new.store(true, Ordering::Release);
        while self.in_progress.load(Ordering::Acquire) > 0 && clock::now() < deadline_at {
            thread::sleep(DRAIN_POLL_MS.to_duration());
        }
        self.stop.send(()).ok();
        // Leaves time to write the last responses, which happens after their handlers have returned.
        thread::sleep(DRAIN_POLL_MS.to_duration());
    }
}

fn handle(
    shared: &Shared,
    in_progress: &AtomicUsize,
    rejects_new: &AtomicBool,
    request: &Request,
) -> Response {
    let waiting = in_progress.fetch_add(1, Ordering::AcqRel);
    let response = if rejects_new.load(Ordering::Acquire) {
        outcome_response(&Outcome::not_run(NotRunReason::ShuttingDown, RETRY_AFTER_MS), None)
    } else if waiting >= shared.settings.http.max_waiting {
        shared.metrics.count("http.overloaded");
        outcome_response(&Outcome::not_run(NotRunReason::QueueFull, RETRY_AFTER_MS), None)
    } else {
        api::handle(shared, request)
    };
    in_progress.fetch_sub(1, Ordering::AcqRel);
    response
}
