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
/// When the job is due.
const DUE_MS: Millis = Millis(7_500);
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

/// Guards against a former leader that goes on with a job whose cancellation was stored by a process that
/// neither it nor its live peers can reach. The successor cannot reach the worker, so it is not fenced.
#[test]
fn a_leader_without_its_lease_does_not_start_jobs_that_others_have_cancelled() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        let cut = Rc::new(Cell::new(false));
        let first = start("member-1", ports(&environment, &cut)).await;
        assert!(within_ms(TIMEOUT_MS, || environment.lease_renewals.get() > 0).await, "no leader");
        let _second = start("member-2", ports(&environment, &cut)).await;
        sleep(Millis(1_500)).await;
        let mut record = job(1);
        let first_unix_ms = eventlog::unix_ms() + DUE_MS.0;
        let interval_ms = Millis(1_000);
        record.spec.recurrence =
            Some(cell::Recurrence { first_unix_ms, interval_ms, occurrences: 1 });
        assert_eq!(first.accept(record).await, SubmitOutcome::Stored);
        sleep(Millis(300)).await;
        cut.set(true);
        let cut_off = Rc::new(Environment::default());
        cut_off.workers_are_unreachable.set(true);
        let workers = Box::new(TestPorts(cut_off, Rc::default()));
        let outsider = Ports { workers, ..ports(&environment, &Rc::default()) };
        let outsider = start("outsider", outsider).await;
        sleep(Millis(2_500)).await;
        assert_eq!(outsider.cancel(&job(1).id).await, CancelOutcome::Stored);
        let cancelled_unix_ms = eventlog::unix_ms();
        assert!(cancelled_unix_ms + CANCEL_MS.0 < first_unix_ms, "it would be due too early");
        sleep(Millis(first_unix_ms - cancelled_unix_ms) + ROUNDS_MS).await;
        assert_eq!(environment.starts.get(), 0, "the cancelled job was started");
    });
}

/// Guards against two runs of a task: a former leader goes on with the workers that it reaches, while its
/// successor takes their leases for expired. No worker and no process is reached by both.
#[test]
fn a_leader_without_its_lease_does_not_run_what_its_successor_runs() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        let cut = Rc::new(Cell::new(false));
        let first = start("member-1", ports(&environment, &cut)).await;
        assert!(within_ms(TIMEOUT_MS, || environment.lease_renewals.get() > 0).await, "no leader");
        let _second = start("member-2", ports(&environment, &cut)).await;
        sleep(Millis(1_500)).await;
        let mut record = job(1);
        let first_unix_ms = eventlog::unix_ms() + Millis(12_000).0;
        let interval_ms = Millis(1_000);
        record.spec.recurrence =
            Some(cell::Recurrence { first_unix_ms, interval_ms, occurrences: 1 });
        assert_eq!(first.accept(record).await, SubmitOutcome::Stored);
        sleep(Millis(300)).await;
        cut.set(true);
        sleep(Millis(300)).await;
        environment.add_worker("spare");
        let others = Rc::new(Environment::default());
        *others.unreachable_worker.borrow_mut() = Some("only".parse().expect("worker id"));
        let workers = Box::new(TestPorts(others.clone(), Rc::default()));
        let outsider = Ports { workers, ..ports(&environment, &Rc::default()) };
        let _outsider = start("outsider", outsider).await;
        sleep(Millis(12_000) + ROUNDS_MS).await;
        let (former, successor) = (environment.starts.get(), others.starts.get());
        assert!(
            former + successor <= 1,
            "the task runs twice: {former} starts, and {successor} by the successor"
        );
    });
}
