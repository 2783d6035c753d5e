//! Messages between own processes.

use std::net::SocketAddr;

use cell::{JobRecord, JobStatus, StepKey};
use eventlog::event;
use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};
use types::{JobId, Millis, QueueId, WorkerId};
use web::{CallError, Reply, Request, ServerRequest};

use crate::codec::{decode, encode};
use crate::node::Node;
use crate::ports::{Advice, RawRules};
use crate::requests::{Accepted, Cancelled, Found};

/// Header with the secret that own processes share.
const SECRET_HEADER: &str = "X-Cluster-Secret";
/// Path of all messages.
const PATH: &str = "/peer";

/// A process of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// Its name.
    pub(crate) name: CompactString,
    /// Where it takes messages.
    pub(crate) address: SocketAddr,
    /// Processor share, thousandths of a core. Strong processes lead.
    pub(crate) strength: u32,
}

/// The leader as known to a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderInfo {
    /// Its epoch.
    pub(crate) epoch: u64,
    /// The process.
    pub(crate) peer: Peer,
    /// Drawn at the start of the process.
    pub(crate) boot: u64,
}

/// What a process tells another of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Who speaks.
    pub(crate) from: Peer,
    /// The highest leader it knows.
    pub(crate) leader: Option<LeaderInfo>,
    /// It leads itself.
    pub(crate) leads: bool,
    /// It leads and its lease in the store is not known to have ended.
    pub(crate) lease_held: bool,
    /// Revision of the rules it follows.
    pub(crate) rules_revision: u64,
    /// How long ago these were known to be the newest.
    pub(crate) rules_age_ms: Millis,
    /// How long ago the store answered it.
    pub(crate) store_age_ms: Millis,
    /// Processes it has heard lately.
    pub(crate) peers: Vec<Peer>,
    /// It has handed over the lead lately because it was too slow.
    pub(crate) rests: bool,
}

/// A message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Regular sign of life to the leader, or a question for it.
    Hello(Hello),
    /// To the leader: a job was accepted.
    Submitted(Box<JobRecord>),
    /// To the leader: a job was cancelled.
    Cancelled(JobId),
    /// To the leader: how does a job stand?
    Status(JobId),
    /// To the leader: jobs of a queue that have not begun.
    Pending(QueueId),
    /// Call the advisor.
    Advise { step: StepKey, workers: Vec<WorkerId>, timeout_ms: Millis },
    /// Store a job for a process that cannot reach the store.
    Accept(Box<JobRecord>),
    /// Cancel a job for a process that cannot reach the store.
    Cancel(JobId),
    /// Send the rules.
    Rules,
}

/// An answer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Answer {
    Hello(Hello),
    Done,
    NotLeader,
    Status(Option<JobStatus>),
    Pending(u64),
    Advice(Option<Advice>),
    Accepted(Accepted),
    Cancelled(Cancelled),
    Rules(RawRules),
}

impl Node {
    /// Sends a message and returns the answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        message: &Message,
        timeout_ms: Millis,
    ) -> Result<Answer, CallError> {
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
            path: PATH,
            headers: &[(SECRET_HEADER, secret)],
            body: body.into(),
            timeout_ms,
        };
        let response = match self.client.call(address, request).await {
            Ok(response) if response.status == 200 => response,
            Ok(response) => {
                event!("peer.refused", "address" => address.to_string(), "status" => response.status);
                // Anything but 200 comes before the message is looked at.
                return Err(CallError::NotSent);
            }
            Err(error) => {
                self.metrics.count("peer_calls_failed");
                return Err(error);
            }
        };
        decode(&response.body)
            .inspect_err(|error| event!("peer.decode_failed", "error" => error.to_string()))
            .map_err(|_| CallError::Unanswered)
    }

    /// Answers a request of another process.
    pub async fn serve_peer(self: std::rc::Rc<Self>, request: ServerRequest) -> Reply {
        let secret = self.secret.borrow().clone();
        if request.path != PATH || secret.as_deref() != request.header(SECRET_HEADER) {
            return Reply { status: 403, ..Reply::default() };
        }
        let message = match decode(&request.body) {
            Ok(message) => message,
            Err(error) => {
                event!("peer.decode_failed", "error" => error.to_string());
                return Reply { status: 400, ..Reply::default() };
            }
        };
        let answer = self.answer(message).await;
        match encode(&answer) {
            Ok(body) => Reply { status: 200, body: body.into(), ..Reply::default() },
            Err(error) => {
                event!("peer.encode_failed", "error" => error.to_string());
                Reply { status: 500, ..Reply::default() }
            }
        }
    }

    async fn answer(&self, message: Message) -> Answer {
        match message {
            Message::Hello(hello) => {
                self.heard(&hello);
                Answer::Hello(self.hello())
            }
            Message::Submitted(record) => self.lead_with(|node| {
                node.on_job_accepted(*record);
                Answer::Done
            }),
            Message::Cancelled(id) => self.lead_with(|node| {
                node.on_job_cancelled(&id);
                Answer::Done
            }),
            Message::Status(id) => match self.status_here(&id).await {
                Some(Found::Unknown) => Answer::Status(None),
                Some(Found::Known(status)) => Answer::Status(Some(status)),
                Some(Found::NoAnswer) | None => Answer::NotLeader,
            },
            Message::Pending(queue) => match self.pending_here(&queue) {
                Some(count) => Answer::Pending(count),
                None => Answer::NotLeader,
            },
            Message::Advise { step, workers, timeout_ms } => {
                Answer::Advice(self.ports.advisor.advise(&step, &workers, timeout_ms).await)
            }
            Message::Accept(record) => Answer::Accepted(self.store_job(&record).await),
            Message::Cancel(id) => Answer::Cancelled(self.store_cancel(&id).await),
            Message::Rules => Answer::Rules(self.rules.borrow().raw.clone()),
        }
    }

    fn lead_with(&self, act: impl FnOnce(&Self) -> Answer) -> Answer {
        if self.leads() { act(self) } else { Answer::NotLeader }
    }
}
