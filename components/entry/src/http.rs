//! The HTTP server towards callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;

use errors::{Error, Result};
use libs::rouille::{Request, Response, Server};
use types::{Millis, NotRunReason, Outcome};

use crate::api::{self, outcome_response};
use crate::{DRAIN_POLL_MS, Shared};

/// Threads beyond the callers that may wait, for health checks and refusals.
const SPARE_THREADS: usize = 16;
/// When a caller may come back to an entry that has too many waiting.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// The running server.
pub(crate) struct HttpFront {
    in_progress: Arc<AtomicUsize>,
    refuses_new: Arc<AtomicBool>,
    stop: mpsc::Sender<()>,
}

impl HttpFront {
    /// Starts the server.
    pub(crate) fn start(shared: Arc<Shared>) -> Result<Self> {
        let in_progress = Arc::new(AtomicUsize::new(0));
        let refuses_new = Arc::new(AtomicBool::new(false));
        let (counted, refusing) = (in_progress.clone(), refuses_new.clone());
        let listen = shared.settings.http.listen;
        let most = shared.settings.http.max_waiting;
        let server =
            Server::new(listen, move |request| handle(&shared, &counted, &refusing, request))
                .map_err(|error| Error::Net(format!("cannot listen on {listen}: {error}")))?
                .pool_size(most + SPARE_THREADS);
        // The server's thread ends with the process: it would wait for idle connections.
        let (_thread, stop) = server.stoppable();
        Ok(Self { in_progress, refuses_new, stop })
    }

    /// Refuses new requests, waits for those in progress and then stops.
    pub(crate) fn stop(self, longest_ms: Millis) {
        let until = clock::now() + longest_ms;
        self.refuses_new.store(true, Ordering::Release);
        while self.in_progress.load(Ordering::Acquire) > 0 && clock::now() < until {
            thread::sleep(DRAIN_POLL_MS.to_duration());
        }
        self.stop.send(()).ok();
        // Answers are written after their handler has returned.
        thread::sleep(DRAIN_POLL_MS.to_duration());
    }
}

fn handle(
    shared: &Shared,
    in_progress: &AtomicUsize,
    refuses_new: &AtomicBool,
    request: &Request,
) -> Response {
    let waiting = in_progress.fetch_add(1, Ordering::AcqRel);
    let response = if refuses_new.load(Ordering::Acquire) {
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
