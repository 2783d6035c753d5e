//! Calls to schedulers that wait for their reply.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use libs::crossbeam_channel::{Receiver, Sender, bounded};
use types::{CallId, JobView, Millis, Outcome, PoolId, PoolStatus, SlotGrant};

use crate::Shared;
use crate::view::Owner;

/// Longest wait for a reply before it is checked whether the owner is still the same.
const OWNER_CHECK_MS: Millis = Millis(100);

/// A scheduler's reply.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A slot to use now.
    Grant(Box<SlotGrant>),
    /// A final outcome.
    Outcome(Outcome),
    /// Jobs found.
    Jobs(Vec<JobView>),
    /// Status of pools.
    Status(Vec<PoolStatus>),
}

/// All calls that wait.
#[derive(Default)]
pub(crate) struct Calls {
    next: AtomicU64,
    waiting: Mutex<HashMap<CallId, Sender<Reply>>>,
}

/// A call that waits for its reply. Dropping it forgets the call.
pub(crate) struct PendingCall<'a> {
    calls: &'a Calls,
    /// Id that the reply must carry.
    pub(crate) id: CallId,
    replies: Receiver<Reply>,
}

impl Calls {
    /// A number that no other call of this process has.
    pub(crate) fn new_id(&self) -> CallId {
        CallId(self.next.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Opens a call that takes up to `replies` replies.
    pub(crate) fn open(&self, replies: usize) -> PendingCall<'_> {
        let id = self.new_id();
        let (sender, receiver) = bounded(replies);
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sender);
        PendingCall { calls: self, id, replies: receiver }
    }

    /// Passes a reply on. Errors: the reply, if nobody waits for it.
    pub(crate) fn reply(&self, id: CallId, reply: Reply) -> Result<(), Reply> {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        match waiting.get(&id) {
            // Sent under the lock, so that a reply is either seen by `close` or refused here.
            Some(sender) => sender.try_send(reply).map_err(|error| error.into_inner()),
            None => Err(reply),
        }
    }
}

impl PendingCall<'_> {
    /// Waits for the reply of a pool's owner, until another process owns the pool or the time is up.
    pub(crate) fn wait_for_owner(
        self,
        shared: &Shared,
        pool: &PoolId,
        owner: &Owner,
        deadline_at: Millis,
    ) -> Option<Reply> {
        loop {
            if let Some(reply) = self.wait(OWNER_CHECK_MS.to_duration()) {
                return Some(reply);
            }
            let same_owner = shared.view.get().owners.get(pool) == Some(owner);
            if !same_owner || clock::now() >= deadline_at {
                return self.close();
            }
        }
    }

    /// Waits for a reply.
    pub(crate) fn wait(&self, timeout: std::time::Duration) -> Option<Reply> {
        self.replies.recv_timeout(timeout).ok()
    }

    /// Ends the call. Returns a reply that arrived meanwhile.
    pub(crate) fn close(self) -> Option<Reply> {
        self.calls.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
        self.replies.try_recv().ok()
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.calls.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}
