//! Processes of an earlier version, whose heartbeats end before the memory that jobs may take, beside newer
//! ones.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;

use cell::{JobRecord, StepSpec};
use clock::CancellationToken;
use cluster::{Node, SubmitOutcome};
use libs::compact_str::CompactString;
use libs::{postcard, tokio};
use serde::Serialize;
use support::{Environment, job, node_with_memory, ports, run};
use tokio::net::TcpListener;
use types::{Millis, Resources};
use web::{Client, Method, Request, ServerRequest, ServerResponse, serve};

const MEMORY_MB: u64 = 1_600;
/// Four heartbeats.
const HEARTBEATS_MS: Millis = Millis(1_000);
const CALL_TIMEOUT_MS: Millis = Millis(1_000);
/// Numbers of messages and answers in their encoding.
const HEARTBEAT: u8 = 0;
const RULES_OF_EARLIER_VERSION: u8 = 8;

#[derive(Clone, Serialize)]
struct Peer {
    name: CompactString,
    address: SocketAddr,
    cpu_milli: u32,
}

#[derive(Clone, Serialize)]
struct LeaderInfo {
    epoch: u64,
    peer: Peer,
    incarnation: u64,
}

/// The heartbeat of the earlier version.
#[derive(Serialize)]
struct EarlierHeartbeat {
    from: Peer,
    leader: Option<LeaderInfo>,
    is_leader: bool,
    lease_held: bool,
    rules_revision: u64,
    rules_age_ms: Millis,
    store_age_ms: Millis,
    peers: Vec<Peer>,
    known_peers: usize,
    cooling_down: bool,
    is_slow: bool,
    forecast: Option<()>,
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("encoded")
}

fn leader(address: SocketAddr) -> LeaderInfo {
    let peer = Peer { name: "earlier".into(), address, cpu_milli: 1_000 };
    LeaderInfo { epoch: 1, peer, incarnation: 7 }
}

/// A message or an answer with the heartbeat of a leader of the earlier version.
fn heartbeat(address: SocketAddr) -> Vec<u8> {
    let leader = leader(address);
    let heartbeat = EarlierHeartbeat {
        from: leader.peer.clone(),
        leader: Some(leader),
        is_leader: true,
        lease_held: true,
        rules_revision: 0,
        rules_age_ms: Millis(0),
        store_age_ms: Millis(0),
        peers: Vec::new(),
        known_peers: 1,
        cooling_down: false,
        is_slow: false,
        forecast: None,
    };
    [vec![HEARTBEAT], encode(&heartbeat)].concat()
}

/// A leader of the earlier version. It takes the question for memory for one for its rules.
async fn earlier_leader(environment: &Environment) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let answer = move |request: ServerRequest| async move {
        let body = match request.body.first() {
            Some(&HEARTBEAT) => heartbeat(address),
            Some(&RULES_OF_EARLIER_VERSION) => {
                [vec![RULES_OF_EARLIER_VERSION], encode(&(300u64, Vec::<u8>::new()))].concat()
            }
            _ => vec![1],
        };
        ServerResponse { status: 200, body: body.into(), ..ServerResponse::default() }
    };
    tokio::task::spawn_local(serve(listener, answer, CancellationToken::new()));
    let lease = environment.create_lease(Millis(60_000));
    environment.put("leader", encode(&leader(address)), lease);
    address
}

async fn start(environment: &Rc<Environment>) -> (Rc<Node>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let ports = ports(environment, &Rc::default());
    let node = node_with_memory("newer", address, ports, MEMORY_MB);
    let served = node.clone();
    let handler = move |request| served.clone().serve_peer(request);
    tokio::task::spawn_local(serve(listener, handler, CancellationToken::new()));
    let token = CancellationToken::new;
    tokio::task::spawn_local(node.clone().run(token(), token()));
    tokio::time::sleep(HEARTBEATS_MS.to_duration()).await;
    (node, address)
}

/// A job of some hundred kilobytes that no worker can run.
fn large_job(number: u64) -> JobRecord {
    let need = Resources { cpu_milli: 1 << 40, mem_mb: 10, accels: 0 };
    let step = StepSpec { tasks: 1, need, estimate_ms: Millis(10), ..StepSpec::default() };
    let mut record = job(number);
    record.spec.steps = vec![step; 1_000];
    record
}

/// Guards against jobs that are refused for want of memory during an update: the leader of an earlier version
/// allows nothing and grants nothing, and bounds nothing either.
#[test]
fn jobs_are_accepted_under_a_leader_of_an_earlier_version() {
    run(async {
        let environment = Rc::new(Environment::default());
        earlier_leader(&environment).await;
        let (node, _) = start(&environment).await;
        for number in 0..20 {
            assert_eq!(node.accept(large_job(number)).await, SubmitOutcome::Stored, "{number}");
        }
    });
}

/// Guards against processes that count as gone during an update.
#[test]
fn a_heartbeat_of_an_earlier_version_is_answered() {
    run(async {
        let environment = Rc::new(Environment::default());
        let earlier = earlier_leader(&environment).await;
        let (_, address) = start(&environment).await;
        let secret = environment.value("secret").expect("a secret");
        let secret = String::from_utf8(secret).expect("text");
        let request = Request {
            method: Method::POST,
            path: "/peer",
            headers: &[("X-Cluster-Secret", secret)],
            body: heartbeat(earlier).into(),
            timeout_ms: CALL_TIMEOUT_MS,
        };
        let response = Client::default().call(address, request).await.expect("an answer");
        assert_eq!(response.status, 200);
        assert_eq!(response.body.first(), Some(&HEARTBEAT));
    });
}

/// A message that is cut off is not taken for one of an earlier version.
#[test]
fn a_message_without_its_end_is_rejected() {
    run(async {
        let environment = Rc::new(Environment::default());
        let earlier = earlier_leader(&environment).await;
        let (_, address) = start(&environment).await;
        let secret = environment.value("secret").expect("a secret");
        let secret = String::from_utf8(secret).expect("text");
        let whole = heartbeat(earlier);
        for body in [vec![RULES_OF_EARLIER_VERSION], whole[..whole.len() - 3].to_vec()] {
            let request = Request {
                method: Method::POST,
                path: "/peer",
                headers: &[("X-Cluster-Secret", secret.clone())],
                body: body.into(),
                timeout_ms: CALL_TIMEOUT_MS,
            };
            let response = Client::default().call(address, request).await.expect("an answer");
            assert_eq!(response.status, 400);
        }
    });
}
