//! Pending calls to schedulers, matched with their replies by id.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use libs::crossbeam_channel::{Receiver, Sender, bounded};
use types::{CallId, JobView, Millis, Outcome, PoolId, PoolStatus, SlotGrant};

use crate::Shared;
use crate::view::Owner;

/// Period in which a pending call checks that the pool still has the same owner.
const OWNER_CHECK_MS: Millis = Millis(100);

/// A scheduler's reply.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A granted slot, to be used immediately.
    Grant(Box<SlotGrant>),
    /// A final outcome.
    Outcome(Outcome),
    /// Jobs that match a query.
    Jobs(Vec<JobView>),
    /// Status of pools.
    Status(Vec<PoolStatus>),
}

/// All pending calls.
#[derive(Default)]
pub(crate) struct Calls {
    next: AtomicU64,
    pending: Mutex<HashMap<CallId, Sender<Reply>>>,
}

/// A call that waits for its reply. Dropping it abandons the call.
pub(crate) struct PendingCall<'a> {
    calls: &'a Calls,
    /// Id that the reply must carry.
    pub(crate) id: CallId,
    replies: Receiver<Reply>,
}

impl Calls {
    /// Returns an id that no other call of this process has.
    pub(crate) fn new_id(&self) -> CallId {
        CallId(self.next.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Opens a call that accepts up to `max_replies` replies.
    pub(crate) fn open(&self, max_replies: usize) -> PendingCall<'_> {
        let id = self.new_id();
        let (sender, receiver) = bounded(max_replies);
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sender);
        PendingCall { calls: self, id, replies: receiver }
    }

    /// Passes a reply to its call. Returns the reply as an error if no call waits for it.
    pub(crate) fn deliver(&self, id: CallId, reply: Reply) -> Result<(), Reply> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        match pending.get(&id) {
            // Sent under the lock, so that a reply is either returned by `close` or rejected here.
            Some(sender) => sender.try_send(reply).map_err(|error| error.into_inner()),
            None => Err(reply),
        }
    }
}

impl PendingCall<'_> {
    /// Waits for the reply of a pool's owner until the pool's owner changes or the deadline passes.
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

    /// Waits for a reply until the timeout.
    pub(crate) fn wait(&self, timeout: std::time::Duration) -> Option<Reply> {
        self.replies.recv_timeout(timeout).ok()
    }

    /// Ends the call. Returns the reply if one has arrived in the meantime.
    pub(crate) fn close(self) -> Option<Reply> {
        self.calls.pending.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
        self.replies.try_recv().ok()
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.calls.pending.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}
