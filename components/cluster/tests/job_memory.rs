//! Processes that refuse jobs for want of memory.

mod support;

use std::rc::Rc;

use cell::{JobRecord, StepSpec};
use clock::CancellationToken;
use cluster::{Node, SubmitOutcome};
use libs::tokio;
use support::{Environment, job, node_with_memory, ports, run};
use tokio::net::TcpListener;
use types::{Millis, Resources};

const MEMORY_MB: u64 = 16;
/// What accepted jobs may take of it.
const LIMIT_BYTES: u64 = 4_000_000;
/// Some hundred times the duration of a start and an election.
const TIMEOUT_MS: Millis = Millis(8_000);
/// Two heartbeats.
const HEARTBEATS_MS: Millis = Millis(500);

async fn start(environment: &Rc<Environment>, name: &str, memory_mb: u64) -> Rc<Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let node = node_with_memory(name, address, ports(environment, &Rc::default()), memory_mb);
    let served = node.clone();
    let handler = move |request| served.clone().serve_peer(request);
    tokio::task::spawn_local(web::serve(listener, handler, CancellationToken::new()));
    let token = CancellationToken::new;
    tokio::task::spawn_local(node.clone().run(token(), token()));
    let until = clock::now() + TIMEOUT_MS;
    while environment.value("leader").is_none() {
        assert!(clock::now() < until, "no leader");
        tokio::time::sleep(Millis(5).to_duration()).await;
    }
    tokio::time::sleep(HEARTBEATS_MS.to_duration()).await;
    node
}

/// A job that no worker can run, of so many steps.
fn large_job(number: u64, steps: usize) -> JobRecord {
    let need = Resources { cpu_milli: 1 << 40, mem_mb: 10, accels: 0 };
    let step = StepSpec { tasks: 1, need, estimate_ms: Millis(10), ..StepSpec::default() };
    let mut record = job(number);
    record.spec.steps = vec![step; steps];
    record
}

fn is_refused(outcome: SubmitOutcome) -> bool {
    matches!(outcome, SubmitOutcome::NoMemory(seconds) if (1..=30).contains(&seconds))
}

/// Submits jobs to the processes in turn. Returns the memory of those that were accepted.
async fn submit(nodes: &[Rc<Node>], environment: &Environment, jobs: u64, steps: usize) -> u64 {
    let mut accepted_bytes = 0;
    for number in 0..jobs {
        let record = large_job(number, steps);
        let node = &nodes[number as usize % nodes.len()];
        let outcome = node.accept(record.clone()).await;
        let is_stored = environment.value(&format!("in/job/{number:016x}")).is_some();
        match outcome {
            SubmitOutcome::Stored => accepted_bytes += record.spec.memory_bytes(),
            refused => assert!(is_refused(refused) && !is_stored, "{refused:?}, {is_stored}"),
        }
    }
    accepted_bytes
}

/// Guards against processes that each accept what the leader could hold alone, of jobs of any size.
#[test]
fn processes_refuse_jobs_that_the_leader_cannot_hold() {
    for (jobs, steps) in [(20, 1_000), (200, 100)] {
        run(async move {
            let environment = Rc::new(Environment::default());
            environment.add_worker("only");
            let first = start(&environment, "first", MEMORY_MB).await;
            let second = start(&environment, "second", MEMORY_MB).await;
            let nodes = [first, second];
            let bytes = submit(&nodes, &environment, jobs, steps).await;
            assert!(bytes < LIMIT_BYTES * 5 / 4, "{bytes} bytes accepted, {steps} steps");
            assert!(bytes > LIMIT_BYTES / 4, "{bytes} bytes accepted, {steps} steps");
            // A caller that has lost the answer submits its job again, at any process.
            for node in &nodes {
                assert_eq!(node.accept(large_job(0, steps)).await, SubmitOutcome::Stored);
            }
        });
    }
}

/// Guards against a successor with less memory that accepted jobs end.
#[test]
fn the_smallest_process_decides_how_much_is_accepted() {
    run(async {
        let environment = Rc::new(Environment::default());
        environment.add_worker("only");
        let first = start(&environment, "first", 100 * MEMORY_MB).await;
        let _second = start(&environment, "second", MEMORY_MB).await;
        let bytes = submit(&[first], &environment, 20, 1_000).await;
        assert!(bytes < LIMIT_BYTES * 5 / 4, "{bytes} bytes accepted");
    });
}
