//! Refuses jobs that a leader could not hold, before they are stored.

use cell::JobRecord;
use eventlog::event;
use job_memory::{allowance_bytes, grantable_bytes, limit_bytes};
use types::Millis;

use crate::leader::Leader;
use crate::node::Node;
use crate::peers::{Answer, Message, Peer};
use crate::requests::SubmitOutcome;

/// Timeout of the question to the leader.
const GRANT_TIMEOUT_MS: Millis = Millis(500);
/// Time after which a refused caller should return, and the range of its jitter. Memory becomes free as jobs
/// are forgotten, some minutes after their end.
const RETRY_AFTER_S: std::ops::RangeInclusive<u64> = 5..=10;

impl Node {
    /// Memory that accepted jobs may take in this process, in bytes.
    pub(crate) fn jobs_limit_bytes(&self) -> u64 {
        limit_bytes(self.settings.memory_mb)
    }

    /// Memory that accepted jobs may still take, in bytes. Any live process may be the next leader, so the
    /// smallest one decides.
    fn jobs_room_bytes(&self, leader: &Leader) -> u64 {
        let now = clock::now();
        let peers = self.peers.borrow();
        let limits = self.live_states(&peers).filter_map(|state| state.jobs_limit_bytes);
        let limit = limits.min().unwrap_or(u64::MAX).min(self.jobs_limit_bytes());
        let used = leader.cell.borrow().memory_bytes();
        let room = limit.saturating_sub(used);
        self.metrics.gauge("jobs_bytes", used);
        self.metrics.gauge("jobs_limit_bytes", limit);
        room.saturating_sub(leader.grants.borrow_mut().recent_bytes(now))
    }

    /// What each process may accept without asking, in bytes; none unless this process leads.
    pub(crate) fn job_allowance_bytes(&self) -> Option<u64> {
        let leader = self.loaded_term().filter(|leader| self.holds_lease(leader))?;
        let processes = self.live_peers().len() as u64 + 1;
        Some(allowance_bytes(self.jobs_room_bytes(&leader), processes))
    }

    /// Grants a job of so many bytes; none unless this process leads.
    pub(crate) fn grant_job(&self, bytes: u64) -> Option<bool> {
        let leader = self.loaded_term().filter(|leader| self.holds_lease(leader))?;
        let recent = leader.grants.borrow_mut().recent_bytes(clock::now());
        let grantable = grantable_bytes(self.jobs_room_bytes(&leader) + recent);
        Some(leader.grants.borrow_mut().try_grant(bytes, grantable, clock::now()))
    }

    /// Returns what to answer if the job is refused: its leader could not hold it beside those that are
    /// accepted. No write of this submission has been sent then.
    pub(crate) async fn refuse_for_memory(&self, record: &JobRecord) -> Option<SubmitOutcome> {
        let bytes = record.spec.memory_bytes();
        // A repeated submission may be stored already.
        if self.seen_jobs.borrow().contains(&record.id)
            || self.allowance.borrow_mut().try_take(bytes)
            || self.is_granted(bytes).await
        {
            return None;
        }
        let outcome = match self.is_stored(&record.id).await {
            Some(true) => return None,
            Some(false) => SubmitOutcome::NoMemory(libs::rand::random_range(RETRY_AFTER_S)),
            None => SubmitOutcome::Unknown,
        };
        self.metrics.count("jobs_refused_for_memory");
        event!("job.refused_for_memory", "job" => record.id.as_str(),
            "queue" => record.queue.as_str(), "bytes" => bytes,
            "team" => record.team.as_ref().map(|team| team.to_string()),
            "outcome" => format!("{outcome:?}"));
        Some(outcome)
    }

    /// Whether a live process is of an earlier version, which bounds no jobs and grants none.
    fn bounds_no_jobs(&self, name: &str) -> bool {
        let peers = self.peers.borrow();
        peers
            .get(name)
            .is_some_and(|state| state.is_live(clock::now()) && state.jobs_limit_bytes.is_none())
    }

    /// Asks the leader whether there is memory for a job.
    async fn is_granted(&self, bytes: u64) -> bool {
        if let Some(is_granted) = self.grant_job(bytes) {
            return is_granted;
        }
        let leader = self.leader.borrow().as_ref().map(|leader| leader.peer.clone());
        let Some(Peer { name, address, .. }) = leader else { return false };
        if self.bounds_no_jobs(&name) {
            return true;
        }
        let message = Message::GrantJob { bytes };
        let answer = self.send(address, &message, GRANT_TIMEOUT_MS).await;
        matches!(answer, Ok(Answer::JobGranted(true)))
    }
}
