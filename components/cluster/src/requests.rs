//! What callers ask: accept a job, cancel it, tell how it stands.

use cell::{Final, JobRecord, JobStatus, Progress};
use eventlog::event;
use serde::{Deserialize, Serialize};
use types::{JobId, Millis, QueueId};
use web::CallError;

use crate::codec::encode;
use crate::keys;
use crate::leader::read;
use crate::node::Node;
use crate::peers::{Answer, Message, Peer};
use crate::ports::{Commit, StoreError, Transaction};
use crate::retry_after::retry_after_s;

/// Longest wait for the leader's answer to a question.
const ASK_TIMEOUT_MS: Millis = Millis(500);
/// Longest wait for another process that stores a job for this one.
const PROXY_TIMEOUT_MS: Millis = Millis(900);
/// Longest time to find out what became of a lost write. Callers wait 3 s.
const RESOLVE_MS: Millis = Millis(1_800);
/// Failed calls in a row after which the store counts as gone for this process.
const GONE_FAILURES: u32 = 2;
/// A count of waiting jobs may be this old.
const PENDING_AGE_MS: Millis = Millis(1_500);

/// Outcome of handing in a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Accepted {
    /// It is stored.
    Stored,
    /// It is not stored and never will be.
    NotStored,
    /// It may be stored.
    Unknown,
}

/// Outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cancelled {
    /// It is stored.
    Stored,
    /// No such job.
    NoJob,
    /// It is not known whether it is stored.
    Unknown,
}

/// What is known of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// How it stands.
    Known(JobStatus),
    /// No such job.
    Unknown,
    /// Neither the leader nor the store answered.
    NoAnswer,
}

impl Node {
    /// Whole seconds after which a caller that is refused now may come back.
    pub fn retry_after_s(&self) -> u64 {
        let outage_ms = match self.store_failures.get() {
            0 => Millis(0),
            _ => clock::now().since(self.store_ms.get()),
        };
        retry_after_s(outage_ms, libs::rand::random())
    }

    /// Stores a job, here or through another process, and tells the leader.
    pub async fn accept(&self, record: JobRecord) -> Accepted {
        let began_ms = clock::now();
        let here = if self.store_failures.get() >= GONE_FAILURES {
            Accepted::NotStored
        } else {
            self.store_job(&record).await
        };
        let outcome = match here {
            Accepted::NotStored => self.accept_elsewhere(&record).await,
            other => other,
        };
        self.metrics.time_ms("accept_ms", clock::now().since(began_ms).0);
        self.metrics.count(match outcome {
            Accepted::Stored => "jobs_accepted",
            Accepted::NotStored => "jobs_refused",
            Accepted::Unknown => "jobs_unknown",
        });
        event!("job.submitted", "job" => record.id.as_str(), "queue" => record.queue.as_str(),
            "outcome" => format!("{outcome:?}"), "here" => format!("{here:?}"),
            "store_age_ms" => clock::now().since(self.store_ms.get()).0);
        outcome
    }

    async fn accept_elsewhere(&self, record: &JobRecord) -> Accepted {
        let Some(peer) = self.peer_with_store() else { return Accepted::NotStored };
        let message = Message::Accept(Box::new(record.clone()));
        match self.send(peer.address, &message, PROXY_TIMEOUT_MS).await {
            Ok(Answer::Accepted(outcome)) => outcome,
            Err(CallError::NotSent) => Accepted::NotStored,
            _ => Accepted::Unknown,
        }
    }

    /// A process that the store has answered lately, the leader first.
    fn peer_with_store(&self) -> Option<Peer> {
        /// An answer of the store this recent shows that it can be reached.
        const RECENT_MS: Millis = Millis(1_000);
        let now = clock::now();
        let leader = self.leader.borrow().as_ref().map(|leader| leader.peer.name.clone());
        self.peers
            .borrow()
            .values()
            .filter(|state| now.since(state.store_ms) < RECENT_MS)
            .min_by_key(|state| Some(&state.peer.name) != leader.as_ref())
            .map(|state| state.peer.clone())
    }

    /// Stores a job from here and tells the leader.
    pub(crate) async fn store_job(&self, record: &JobRecord) -> Accepted {
        let Ok(value) = encode(record) else { return Accepted::NotStored };
        let key = keys::job(&record.id);
        let transaction = Transaction {
            expected: vec![(key.clone(), 0)],
            puts: vec![(key, value, 0)],
            removes: Vec::new(),
        };
        let outcome = self.commit_once(&transaction).await;
        if outcome == Accepted::Stored {
            self.tell_leader(Message::Submitted(Box::new(record.clone())));
        }
        outcome
    }

    /// Carries out a write that may be repeated, until its outcome is known or time is up.
    async fn commit_once(&self, transaction: &Transaction) -> Accepted {
        let until = clock::now() + RESOLVE_MS;
        let mut sent = false;
        loop {
            match self.store_result(self.ports.store.commit(transaction).await) {
                // A conflict shows that the key is there: an earlier try has stored it.
                Ok(Commit::Done(_) | Commit::Conflict) => return Accepted::Stored,
                Err(StoreError::Unanswered) => sent = true,
                Err(_recorded) if !sent => return Accepted::NotStored,
                Err(_recorded) => {}
            }
            if clock::now() >= until {
                return Accepted::Unknown;
            }
            libs::tokio::time::sleep(Millis(50).to_duration()).await;
        }
    }

    fn tell_leader(&self, message: Message) {
        if self.leads() {
            match message {
                Message::Submitted(record) => self.on_job_accepted(*record),
                Message::Cancelled(id) => self.on_job_cancelled(&id),
                _ => {}
            }
            return;
        }
        let address = self.leader.borrow().as_ref().map(|leader| leader.peer.address);
        let (Some(node), Some(address)) = (self.this.upgrade(), address) else { return };
        // The leader also watches the store, so a lost message only costs time.
        libs::tokio::task::spawn_local(async move {
            if !matches!(node.send(address, &message, ASK_TIMEOUT_MS).await, Ok(Answer::Done)) {
                node.metrics.count("leader_not_told");
            }
        });
    }

    /// How a job stands.
    pub async fn status(&self, id: &JobId) -> Found {
        if let Some(found) = self.status_here(id).await {
            return found;
        }
        let address = self.leader.borrow().as_ref().map(|leader| leader.peer.address);
        if let Some(address) = address {
            let message = Message::Status(id.clone());
            match self.send(address, &message, ASK_TIMEOUT_MS).await {
                Ok(Answer::Status(Some(status))) => return Found::Known(status),
                Ok(Answer::Status(None)) => return Found::Unknown,
                _ => {}
            }
        }
        self.status_in_store(id).await
    }

    /// How a job stands, if this process leads.
    pub(crate) async fn status_here(&self, id: &JobId) -> Option<Found> {
        let leader = self.loaded_term()?;
        let known = leader.cell.borrow().status(id);
        match known {
            Some(status) => Some(Found::Known(status)),
            None => Some(self.status_in_store(id).await),
        }
    }

    async fn status_in_store(&self, id: &JobId) -> Found {
        let store = &self.ports.store;
        let (job, progress, cancel) = (keys::job(id), keys::progress(id), keys::cancel(id));
        let Ok(item) = self.store_result(store.get(&job).await) else { return Found::NoAnswer };
        if item.is_none() {
            return Found::Unknown;
        }
        let Ok(item) = self.store_result(store.get(&progress).await) else {
            return Found::NoAnswer;
        };
        let progress = item.as_ref().and_then(read::<Progress>);
        if let Some(end) = progress.as_ref().and_then(|progress| progress.ended) {
            return Found::Known(JobStatus::Ended(end));
        }
        let Ok(item) = self.store_result(store.get(&cancel).await) else {
            return Found::NoAnswer;
        };
        if item.is_some() {
            return Found::Known(JobStatus::Ended(Final::Cancelled));
        }
        Found::Known(if progress.is_some() { JobStatus::Running } else { JobStatus::Queued })
    }

    /// Cancels a job, here or through another process, and tells the leader.
    pub async fn cancel(&self, id: &JobId) -> Cancelled {
        let gone = self.store_failures.get() >= GONE_FAILURES;
        let here = if gone { Cancelled::Unknown } else { self.store_cancel(id).await };
        let outcome = match here {
            Cancelled::Unknown => self.cancel_elsewhere(id).await,
            other => other,
        };
        event!("job.cancel", "job" => id.as_str(), "outcome" => format!("{outcome:?}"),
            "here" => format!("{here:?}"));
        outcome
    }

    async fn cancel_elsewhere(&self, id: &JobId) -> Cancelled {
        let Some(peer) = self.peer_with_store() else { return Cancelled::Unknown };
        match self.send(peer.address, &Message::Cancel(id.clone()), PROXY_TIMEOUT_MS).await {
            Ok(Answer::Cancelled(outcome)) => outcome,
            _ => Cancelled::Unknown,
        }
    }

    pub(crate) async fn store_cancel(&self, id: &JobId) -> Cancelled {
        match self.status(id).await {
            Found::Unknown => return Cancelled::NoJob,
            Found::NoAnswer => return Cancelled::Unknown,
            Found::Known(JobStatus::Ended(_)) => return Cancelled::Stored,
            Found::Known(_) => {}
        }
        let transaction = Transaction {
            expected: Vec::new(),
            puts: vec![(keys::cancel(id), Vec::new(), 0)],
            removes: Vec::new(),
        };
        match self.commit_once(&transaction).await {
            Accepted::Stored => {
                self.tell_leader(Message::Cancelled(id.clone()));
                Cancelled::Stored
            }
            Accepted::NotStored | Accepted::Unknown => Cancelled::Unknown,
        }
    }

    /// Accepted jobs of a queue for which no task has started; none if that is not known.
    pub async fn pending(&self, queue: &QueueId) -> Option<u64> {
        if let Some(count) = self.pending_here(queue) {
            return Some(count);
        }
        let now = clock::now();
        let address = self.leader.borrow().as_ref().map(|leader| leader.peer.address)?;
        let message = Message::Pending(queue.clone());
        if let Ok(Answer::Pending(count)) = self.send(address, &message, ASK_TIMEOUT_MS).await {
            self.pending_seen.borrow_mut().insert(queue.clone(), (count, now));
            return Some(count);
        }
        let seen = self.pending_seen.borrow();
        seen.get(queue).filter(|(_, at)| now.since(*at) < PENDING_AGE_MS).map(|(count, _)| *count)
    }

    pub(crate) fn pending_here(&self, queue: &QueueId) -> Option<u64> {
        self.loaded_term().map(|leader| leader.cell.borrow().pending(queue) as u64)
    }
}
