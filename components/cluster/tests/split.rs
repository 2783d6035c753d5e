//! A leader without its lease, in a split of the cluster in which no process, no worker and not the store is
//! reached from both sides.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use clock::CancellationToken;
use cluster::{CancelOutcome, Node, Ports, SubmitOutcome};
use libs::tokio;
use support::{Environment, TestPorts, job, node_with_lease, ports, run};
use tokio::net::TcpListener;
use types::Millis;

const TIMEOUT_MS: Millis = Millis(5_000);
const LEASE_MS: Millis = Millis(1_200);
/// Time after an acknowledged cancellation from which on nothing of the job may start.
const CANCEL_MS: Millis = Millis(3_000);
const ROUNDS_MS: Millis = Millis(2_500);

async fn sleep(ms: Millis) {
    tokio::time::sleep(ms.to_duration()).await;
}

async fn within_ms(timeout_ms: Millis, condition: impl Fn() -> bool) -> bool {
    let until = clock::now() + timeout_ms;
    while !condition() {
        if clock::now() > until {
            return false;
        }
        sleep(Millis(5)).await;
    }
    true
}

/// Starts a process that takes no messages from the process "outsider".
async fn start(name: &str, ports: Ports) -> Rc<Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let node = node_with_lease(name, address, ports, LEASE_MS);
    let served = node.clone();
    let handler = move |request: web::ServerRequest| {
        let served = served.clone();
        async move {
            if !String::from_utf8_lossy(&request.body).contains("outsider") {
                return served.serve_peer(request).await;
            }
            web::ServerResponse { status: 503, ..web::ServerResponse::default() }
        }
    };
    let token = CancellationToken::new;
    tokio::task::spawn_local(web::serve(listener, handler, token()));
    tokio::task::spawn_local(node.clone().run(token(), token()));
    node
}

/// A leader and a peer, which reach the worker "only", and a job that is due later.
struct Split {
    environment: Rc<Environment>,
    /// Set once neither of them reaches the store.
    is_cut: Rc<Cell<bool>>,
    due_unix_ms: u64,
    _members: [Rc<Node>; 2],
}

async fn before_the_split(due_ms: Millis) -> Split {
    let environment = Rc::new(Environment::default());
    environment.add_worker("only");
    let is_cut = Rc::new(Cell::new(false));
    let leader = start("member-1", ports(&environment, &is_cut)).await;
    assert!(within_ms(TIMEOUT_MS, || environment.lease_renewals.get() > 0).await, "no leader");
    let peer = start("member-2", ports(&environment, &is_cut)).await;
    sleep(ROUNDS_MS).await;
    let due_unix_ms = eventlog::unix_ms() + due_ms.0;
    let mut record = job(1);
    record.spec.recurrence = Some(cell::Recurrence {
        first_unix_ms: due_unix_ms,
        interval_ms: Millis(1_000),
        occurrences: 1,
    });
    assert_eq!(leader.accept(record).await, SubmitOutcome::Stored);
    sleep(Millis(300)).await;
    Split { environment, is_cut, due_unix_ms, _members: [leader, peer] }
}

impl Split {
    /// Cuts the leader and its peer off from the store, and starts a process on the other side, which
    /// reaches workers as `workers` says.
    async fn cut(&self, workers: &Rc<Environment>) -> Rc<Node> {
        self.is_cut.set(true);
        let workers = Box::new(TestPorts(workers.clone(), Rc::default()));
        start("outsider", Ports { workers, ..ports(&self.environment, &Rc::default()) }).await
    }

    async fn wait_until_due(&self) {
        sleep(Millis(self.due_unix_ms.saturating_sub(eventlog::unix_ms())) + ROUNDS_MS).await;
    }
}

/// Guards against a former leader that goes on with a job whose cancellation was stored by a process that
/// neither it nor its live peers can reach. The successor cannot reach the worker, so it is not fenced.
#[test]
fn a_leader_without_its_lease_does_not_start_jobs_that_others_have_cancelled() {
    run(async {
        let split = before_the_split(Millis(7_500)).await;
        let workers = Rc::new(Environment::default());
        workers.workers_are_unreachable.set(true);
        let outsider = split.cut(&workers).await;
        sleep(ROUNDS_MS).await;
        assert_eq!(outsider.cancel(&job(1).id).await, CancelOutcome::Stored);
        assert!(eventlog::unix_ms() + CANCEL_MS.0 < split.due_unix_ms, "it would be due too early");
        split.wait_until_due().await;
        assert_eq!(split.environment.starts.get(), 0, "the cancelled job was started");
    });
}

/// Guards against two runs of a task: a former leader goes on with the workers that it reaches, while its
/// successor takes their leases for expired. No worker and no process is reached by both.
#[test]
fn a_leader_without_its_lease_does_not_run_what_its_successor_runs() {
    run(async {
        let split = before_the_split(Millis(12_000)).await;
        let workers = Rc::new(Environment::default());
        *workers.unreachable_worker.borrow_mut() = Some("only".parse().expect("worker id"));
        split.environment.add_worker("spare");
        let _successor = split.cut(&workers).await;
        split.wait_until_due().await;
        let (former, successor) = (split.environment.starts.get(), workers.starts.get());
        let starts = former + successor;
        assert!(starts <= 1, "{former} starts by the former leader, {successor} by its successor");
    });
}
