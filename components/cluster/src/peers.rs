//! Messages between the processes of the cluster.

use std::net::SocketAddr;

use cell::{JobRecord, JobStatus, StepKey};
use errors::Result;
use eventlog::event;
use forecast::Forecast;
use libs::compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::{JobId, Millis, QueueId, WorkerId};
use web::{CallError, Request, ServerRequest, ServerResponse};

use crate::codec::{decode, encode};
use crate::intake::Notice;
use crate::node::Node;
use crate::ports::{Advice, RawRules};
use crate::requests::{CancelOutcome, JobLookup, SubmitOutcome};

/// Header with the shared secret of the cluster.
const SECRET_HEADER: &str = "X-Cluster-Secret";
/// HTTP path of all messages.
const PEER_PATH: &str = "/peer";

/// A process of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// Unique name.
    pub(crate) name: CompactString,
    /// Address that accepts messages.
    pub(crate) address: SocketAddr,
    /// CPU share in thousandths of a core. Larger processes are preferred as leader.
    pub(crate) cpu_milli: u32,
}

/// The leader as known to a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderInfo {
    /// Epoch of the leader's term.
    pub(crate) epoch: u64,
    /// The leading process.
    pub(crate) peer: Peer,
    /// Random ID of this incarnation of the process.
    pub(crate) incarnation: u64,
}

/// State that processes report to each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The sender.
    pub(crate) from: Peer,
    /// The leader with the highest epoch known to the sender.
    pub(crate) leader: Option<LeaderInfo>,
    /// Whether the sender leads.
    pub(crate) is_leader: bool,
    /// Whether the sender leads and its lease is certain to be still valid.
    pub(crate) lease_held: bool,
    /// Revision of the sender's rules.
    pub(crate) rules_revision: u64,
    /// Time since these rules were confirmed to be the newest.
    pub(crate) rules_age_ms: Millis,
    /// Time since the store last answered the sender.
    pub(crate) store_age_ms: Millis,
    /// Live peers of the sender, see [`Node::heartbeat`].
    pub(crate) peers: Vec<Peer>,
    /// Number of processes that the sender knows.
    pub(crate) known_peers: usize,
    /// Whether the sender recently handed over leadership because it was too slow.
    pub(crate) cooling_down: bool,
    /// Whether the sender's machine is slower than usual.
    pub(crate) is_slow: bool,
    /// Forecast of capacity by a leader that holds its lease.
    pub(crate) forecast: Option<Box<Forecast>>,
    /// Memory that accepted jobs may take in the sender, in bytes; 0 from an earlier version, which does not
    /// bound it.
    pub(crate) jobs_limit_bytes: u64,
    /// Memory of the jobs that the receiver may accept without asking; set by a leader that holds its
    /// lease.
    pub(crate) job_allowance_bytes: Option<u64>,
}

/// A request to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Regular heartbeat to the leader. Also sent to other peers, to learn the leader and the
    /// rules.
    Heartbeat(Heartbeat),
    /// Tells the leader that a job was accepted.
    Submitted(Box<JobRecord>),
    /// Tells the leader that a job was cancelled.
    Cancelled(JobId),
    /// Asks the leader for the status of a job.
    Status(JobId),
    /// Asks the leader for the number of jobs of a queue that have not started.
    Pending(QueueId),
    /// Asks a peer to call the advisor on behalf of the sender.
    Advise { step: StepKey, workers: Vec<WorkerId>, timeout_ms: Millis },
    /// Asks a peer to store a job, because the sender cannot reach the store.
    Accept(Box<JobRecord>),
    /// Asks a peer to cancel a job, because the sender cannot reach the store.
    Cancel(JobId),
    /// Asks the leader whether there is memory for a further job of so many bytes.
    GrantJob { bytes: u64 },
    /// Asks for the peer's rules.
    Rules,
}

/// Answer to a [`Message`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    Heartbeat(Box<Heartbeat>),
    Done,
    NotLeader,
    Status(Option<JobStatus>),
    Pending(u64),
    Advice(Option<Advice>),
    Accepted(SubmitOutcome),
    Cancelled(CancelOutcome),
    JobGranted(bool),
    Rules(RawRules),
}

/// Number of heartbeats among the messages, and of their answers, in the encoding.
const HEARTBEAT_TAG: u8 = 0;
/// No limit, and no allowance: the fields that heartbeats of earlier versions lack at their end.
const MISSING_FIELDS: [u8; 2] = [0, 0];

/// Decodes a message or an answer of a peer, which may be of an earlier version while processes are updated.
fn decode_from_peer<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    match decode(body) {
        Err(_) if body.first() == Some(&HEARTBEAT_TAG) => decode(&[body, &MISSING_FIELDS].concat()),
        decoded => decoded,
    }
}

impl Node {
    /// Sends a message and waits for the answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        message: &Message,
        timeout_ms: Millis,
    ) -> std::result::Result<Answer, CallError> {
        let secret = self.secret.borrow().clone().ok_or(CallError::NotSent)?;
        let body = match encode(message) {
            Ok(body) => body,
            Err(error) => {
                event!("peer.encode_failed", "error" => error.to_string());
                return Err(CallError::NotSent);
            }
        };
        let request = Request {
            method: web::Method::POST,
            path: PEER_PATH,
            headers: &[(SECRET_HEADER, secret)],
            body: body.into(),
            timeout_ms,
        };
        let response = match self.client.call(address, request).await {
            Ok(response) if response.status == 200 => response,
            Ok(response) => {
                event!("peer.refused", "address" => address.to_string(), "status" => response.status);
                // Any status but 200 means that the message was not processed.
                return Err(CallError::NotSent);
            }
            Err(error) => {
                self.metrics.count("peer_calls_failed");
                return Err(error);
            }
        };
        decode_from_peer(&response.body)
            .inspect_err(|error| event!("peer.decode_failed", "error" => error.to_string()))
            .map_err(|_| CallError::Unanswered)
    }

    /// Checks from the head of a request that a peer sends it.
    pub fn check_peer(&self, head: &ServerRequest) -> std::result::Result<(), ServerResponse> {
        let secret = self.secret.borrow();
        // A process that does not know the secret yet cannot tell peers from strangers.
        let is_peer = secret.is_some() && secret.as_deref() == head.header(SECRET_HEADER);
        if head.path == PEER_PATH && is_peer {
            Ok(())
        } else {
            Err(ServerResponse { status: 403, ..ServerResponse::default() })
        }
    }

    /// Handles a request from a peer.
    pub async fn serve_peer(self: std::rc::Rc<Self>, request: ServerRequest) -> ServerResponse {
        if let Err(refusal) = self.check_peer(&request) {
            return refusal;
        }
        let message = match decode_from_peer(&request.body) {
            Ok(message) => message,
            Err(error) => {
                event!("peer.decode_failed", "error" => error.to_string());
                return ServerResponse { status: 400, ..ServerResponse::default() };
            }
        };
        let answer = self.answer(message).await;
        match encode(&answer) {
            Ok(body) => {
                ServerResponse { status: 200, body: body.into(), ..ServerResponse::default() }
            }
            Err(error) => {
                event!("peer.encode_failed", "error" => error.to_string());
                ServerResponse { status: 500, ..ServerResponse::default() }
            }
        }
    }

    async fn answer(&self, message: Message) -> Answer {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.record_heartbeat(&heartbeat, None);
                Answer::Heartbeat(Box::new(self.heartbeat(heartbeat.known_peers)))
            }
            Message::Submitted(record) => self.if_leader(|node| {
                node.on_notice(Notice::Accepted(record));
                Answer::Done
            }),
            Message::Cancelled(id) => self.if_leader(|node| {
                node.on_notice(Notice::Cancelled(id));
                Answer::Done
            }),
            Message::Status(id) => match self.local_status(&id).await {
                Some(JobLookup::Unknown) => Answer::Status(None),
                Some(JobLookup::Known(status)) => Answer::Status(Some(status)),
                Some(JobLookup::NoAnswer) | None => Answer::NotLeader,
            },
            Message::Pending(queue) => match self.local_pending(&queue) {
                Some(count) => Answer::Pending(count),
                None => Answer::NotLeader,
            },
            Message::Advise { step, workers, timeout_ms } => {
                Answer::Advice(self.ports.advisor.advise(&step, &workers, timeout_ms).await)
            }
            Message::Accept(record) => Answer::Accepted(self.store_job(&record).await),
            Message::Cancel(id) => Answer::Cancelled(self.store_cancel(&id).await),
            Message::GrantJob { bytes } => {
                self.grant_job(bytes).map_or(Answer::NotLeader, Answer::JobGranted)
            }
            Message::Rules => {
                let raw = self.rules.borrow().raw.clone();
                self.metrics.add("rules_sent_bytes", raw.text.len() as u64);
                Answer::Rules(raw)
            }
        }
    }

    fn if_leader(&self, act: impl FnOnce(&Self) -> Answer) -> Answer {
        if self.is_leader() { act(self) } else { Answer::NotLeader }
    }
}
