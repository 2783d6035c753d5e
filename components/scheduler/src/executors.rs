//! Thread pools that make blocking calls on behalf of the decisions thread.
//!
//! Back ends that recently failed to answer are called from a separate thread pool, so that the
//! loss of a rack does not delay calls to the others.

use std::sync::Arc;
use std::thread;

use backends::{RunnerClient, WorkerClient};
use config::ReportFormat;
use errors::{Error, Result};
use kv::HttpStore;
use libs::compact_str::CompactString;
use libs::crossbeam_channel::{Receiver, Sender, bounded};
use metrics::Metrics;
use pool::StoreCall;
use types::{Epoch, PoolId, RunnerId, SyncRequest, WorkerId};

use crate::input::{Input, call_failure};
use crate::store_calls::{PoolStoreCall, call_store};

/// Calls that may wait in one executor's queue. Calls to back ends beyond it are dropped; pools time
/// out and repeat them.
const QUEUE_CAPACITY: usize = 1_024;
/// Threads for back ends that answer.
const BACKEND_THREADS: usize = 12;
/// Threads for back ends that recently failed to answer.
const SUSPECT_THREADS: usize = 12;
/// Threads that read and write the pools' journals in the key-value service.
const JOURNAL_THREADS: usize = 4;
/// Threads for all other calls to the key-value service.
const STORE_THREADS: usize = 2;

/// A call to a back end.
pub(crate) enum BackendCall {
    Sync {
        pool: PoolId,
        worker: WorkerId,
        url: CompactString,
        call_id: u64,
        request: SyncRequest,
    },
    Poll {
        pool: PoolId,
        runner: RunnerId,
        url: CompactString,
        format: ReportFormat,
        call_id: u64,
        epoch: Epoch,
    },
}

/// Handles to all executors.
pub(crate) struct CallExecutors {
    journal: Sender<PoolStoreCall>,
    store: Sender<PoolStoreCall>,
    backends: Sender<BackendCall>,
    suspects: Sender<BackendCall>,
    metrics: Metrics,
}

impl CallExecutors {
    /// Starts all threads. They end when the handles are dropped.
    pub(crate) fn start(
        store: Arc<HttpStore>,
        inputs: &Sender<Input>,
        metrics: &Metrics,
    ) -> Result<Self> {
        let (workers, runners) = (WorkerClient::default(), RunnerClient::default());
        let on_store = |call: PoolStoreCall, inputs: &Sender<Input>, store: &Arc<HttpStore>| {
            call_store(call, inputs, store.as_ref())
        };
        let on_backend =
            |call: BackendCall, inputs: &Sender<Input>, clients: &(WorkerClient, RunnerClient)| {
                call_backend(call, inputs, clients);
            };
        let clients = (workers, runners);
        Ok(Self {
            journal: start_executor("journal", JOURNAL_THREADS, inputs, &store, on_store)?,
            store: start_executor("store", STORE_THREADS, inputs, &store, on_store)?,
            backends: start_executor("backends", BACKEND_THREADS, inputs, &clients, on_backend)?,
            suspects: start_executor("suspects", SUSPECT_THREADS, inputs, &clients, on_backend)?,
            metrics: metrics.clone(),
        })
    }

    /// Queues a call to the key-value service.
    pub(crate) fn call_store(&self, pool: &PoolId, token: u64, call: StoreCall) {
        let is_journal = match &call {
            StoreCall::Get { key } | StoreCall::Swap { key, .. } => key.starts_with("pools/"),
            StoreCall::Delete { .. } => false,
        };
        let executor = if is_journal { &self.journal } else { &self.store };
        if executor.send(PoolStoreCall { pool: pool.clone(), token, call }).is_err() {
            self.metrics.count("lanes.dropped");
        }
    }

    /// Queues a call to a back end.
    pub(crate) fn call_backend(&self, call: BackendCall, suspect: bool) {
        let executor = if suspect { &self.suspects } else { &self.backends };
        if executor.try_send(call).is_err() {
            self.metrics.count("lanes.dropped");
        }
    }
}

fn start_executor<T, C>(
    name: &str,
    threads: usize,
    inputs: &Sender<Input>,
    client: &C,
    execute: fn(T, &Sender<Input>, &C),
) -> Result<Sender<T>>
where
    T: Send + 'static,
    C: Clone + Send + 'static,
{
    let (queue, calls): (Sender<T>, Receiver<T>) = bounded(QUEUE_CAPACITY);
    for _ in 0..threads {
        let (calls, inputs, client) = (calls.clone(), inputs.clone(), client.clone());
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || calls.iter().for_each(|call| execute(call, &inputs, &client)))
            .map_err(|error| Error::Io(format!("{name} thread"), error))?;
    }
    Ok(queue)
}

fn call_backend(
    call: BackendCall,
    inputs: &Sender<Input>,
    (workers, runners): &(WorkerClient, RunnerClient),
) {
    let input = match call {
        BackendCall::Sync { pool, worker, url, call_id, request } => {
            let answer = workers.sync(&url, &request).map_err(|error| call_failure(&error));
            Input::Worker(pool, worker, call_id, answer)
        }
        BackendCall::Poll { pool, runner, url, format, call_id, epoch } => {
            let answer = runners.poll(&url, format, epoch).map_err(|error| call_failure(&error));
            Input::Runner(pool, runner, call_id, answer)
        }
    };
    // Fails only after the decisions thread has ended.
    inputs.send(input).ok();
}
