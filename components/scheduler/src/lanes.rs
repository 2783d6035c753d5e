//! Threads that make blocking calls for the decisions thread.
//!
//! Back ends that failed to answer lately are called from a lane of their own, so that a lost
//! rack holds up no call to the others.

use std::sync::Arc;
use std::thread;

use backends::{RunnerClient, WorkerClient};
use config::VendorForm;
use errors::{Error, Result};
use kv::HttpStore;
use libs::compact_str::CompactString;
use libs::crossbeam_channel::{Receiver, Sender, bounded};
use metrics::Metrics;
use pool::StoreCall;
use types::{Epoch, PoolId, RunnerId, SyncRequest, WorkerId};

use crate::input::{Input, call_failure};
use crate::store_lane::{StoreJob, call_store};

/// Calls that may wait in one lane. Further ones are dropped; pools time out and repeat them.
const LANE_RING: usize = 1_024;
/// Threads for back ends that answer.
const BACKEND_THREADS: usize = 12;
/// Threads for back ends that failed to answer lately.
const SUSPECT_THREADS: usize = 12;
/// Threads for journals.
const JOURNAL_THREADS: usize = 4;
/// Threads for everything else in the key-value service.
const STORE_THREADS: usize = 2;

/// A call to a back end.
pub(crate) enum BackendJob {
    Sync {
        pool: PoolId,
        worker: WorkerId,
        url: CompactString,
        call: u64,
        request: SyncRequest,
    },
    Poll {
        pool: PoolId,
        runner: RunnerId,
        url: CompactString,
        form: VendorForm,
        call: u64,
        epoch: Epoch,
    },
}

/// Handles to all lanes.
pub(crate) struct Lanes {
    journal: Sender<StoreJob>,
    store: Sender<StoreJob>,
    backends: Sender<BackendJob>,
    suspects: Sender<BackendJob>,
    metrics: Metrics,
}

impl Lanes {
    /// Starts all threads. They end when the handles are dropped.
    pub(crate) fn start(
        store: Arc<HttpStore>,
        inputs: &Sender<Input>,
        metrics: &Metrics,
    ) -> Result<Self> {
        let (workers, runners) = (WorkerClient::default(), RunnerClient::default());
        let on_store = |job: StoreJob, inputs: &Sender<Input>, store: &Arc<HttpStore>| {
            call_store(job, inputs, store.as_ref())
        };
        let on_backend =
            |job: BackendJob, inputs: &Sender<Input>, clients: &(WorkerClient, RunnerClient)| {
                call_backend(job, inputs, clients);
            };
        let clients = (workers, runners);
        Ok(Self {
            journal: start_lane("journal", JOURNAL_THREADS, inputs, &store, on_store)?,
            store: start_lane("store", STORE_THREADS, inputs, &store, on_store)?,
            backends: start_lane("backends", BACKEND_THREADS, inputs, &clients, on_backend)?,
            suspects: start_lane("suspects", SUSPECT_THREADS, inputs, &clients, on_backend)?,
            metrics: metrics.clone(),
        })
    }

    /// Queues a call to the key-value service.
    pub(crate) fn call_store(&self, pool: &PoolId, token: u64, call: StoreCall) {
        let is_journal = match &call {
            StoreCall::Get { key } | StoreCall::Swap { key, .. } => key.starts_with("pools/"),
            StoreCall::Delete { .. } => false,
        };
        let lane = if is_journal { &self.journal } else { &self.store };
        if lane.send(StoreJob { pool: pool.clone(), token, call }).is_err() {
            self.metrics.count("lanes.dropped");
        }
    }

    /// Queues a call to a back end.
    pub(crate) fn call_backend(&self, job: BackendJob, suspect: bool) {
        let lane = if suspect { &self.suspects } else { &self.backends };
        if lane.try_send(job).is_err() {
            self.metrics.count("lanes.dropped");
        }
    }
}

fn start_lane<J, C>(
    name: &str,
    threads: usize,
    inputs: &Sender<Input>,
    client: &C,
    work: fn(J, &Sender<Input>, &C),
) -> Result<Sender<J>>
where
    J: Send + 'static,
    C: Clone + Send + 'static,
{
    let (ring, jobs): (Sender<J>, Receiver<J>) = bounded(LANE_RING);
    for _ in 0..threads {
        let (jobs, inputs, client) = (jobs.clone(), inputs.clone(), client.clone());
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || jobs.iter().for_each(|job| work(job, &inputs, &client)))
            .map_err(|error| Error::File(format!("{name} thread"), error))?;
    }
    Ok(ring)
}

fn call_backend(
    job: BackendJob,
    inputs: &Sender<Input>,
    (workers, runners): &(WorkerClient, RunnerClient),
) {
    let input = match job {
        BackendJob::Sync { pool, worker, url, call, request } => {
            let answer = workers.sync(&url, &request).map_err(|error| call_failure(&error));
            Input::Worker(pool, worker, call, answer)
        }
        BackendJob::Poll { pool, runner, url, form, call, epoch } => {
            let answer = runners.poll(&url, form, epoch).map_err(|error| call_failure(&error));
            Input::Runner(pool, runner, call, answer)
        }
    };
    // Fails only after the decisions thread has ended.
    inputs.send(input).ok();
}
