//! A loop for each worker that renews its leases and reads its runs.

use std::rc::Rc;

use cell::LookOrder;
use libs::tokio;
use types::{Millis, WorkerId};

use crate::leader::Leader;
use crate::node::Node;
use crate::ports::LookAnswer;

/// Pause after a look without news, so that a broken worker cannot make the loop spin.
const QUIET_PAUSE_MS: Millis = Millis(10);
/// Pause after a failed look, but for the first in a row.
const FAILED_PAUSE_MS: Millis = Millis(250);
/// Longest wait for ends to be stored before the next look.
const STORE_WAIT_MS: Millis = Millis(60);
/// A look without an answer this long after its wait is sent once more beside the first: an
/// answer takes some milliseconds, and one lost answer must not hold up a new leader.
const HEDGE_MS: Millis = Millis(150);
/// Pause between looks while ends cannot be stored: the answers repeat them.
const UNSTORED_PAUSE_MS: Millis = Millis(200);

impl Node {
    /// Starts the loops of workers that have none.
    pub(crate) fn look_at_workers(self: &Rc<Self>, leader: &Rc<Leader>) {
        let ids = leader.cell.borrow().worker_ids();
        for id in ids {
            if leader.looked_at.borrow_mut().insert(id.clone()) {
                let run = self.clone().look_loop(leader.clone(), id);
                let token = leader.token.clone();
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = run => {}
                        () = token.cancelled() => {}
                    }
                });
            }
        }
    }

    async fn look_loop(self: Rc<Self>, leader: Rc<Leader>, id: WorkerId) {
        let mut wait = false;
        let mut failed = false;
        loop {
            let Some(seen) = self.look_once(&leader, &id, wait).await else { break };
            if !seen {
                // A single answer that is lost says little.
                let pause_ms = if failed { FAILED_PAUSE_MS } else { QUIET_PAUSE_MS };
                tokio::time::sleep(pause_ms.to_duration()).await;
                wait = false;
                failed = true;
                continue;
            }
            wait = true;
            failed = false;
            if leader.cell.borrow().has_unstored_ends(&id) {
                leader.to_store.notify_one();
                tokio::time::sleep(STORE_WAIT_MS.to_duration()).await;
                if leader.cell.borrow().has_unstored_ends(&id) {
                    wait = false;
                    tokio::time::sleep(UNSTORED_PAUSE_MS.to_duration()).await;
                }
            } else {
                tokio::time::sleep(QUIET_PAUSE_MS.to_duration()).await;
            }
        }
        leader.looked_at.borrow_mut().remove(&id);
    }

    /// Sends a look, and sends it again if the answer is late. The first usable answer counts.
    async fn look_hedged(&self, leader: &Leader, id: &WorkerId, order: &LookOrder) -> LookAnswer {
        leader.look_repeats.borrow_mut().called();
        let mut first = self.ports.workers.look(id, order);
        let late = tokio::time::sleep((order.wait_ms + HEDGE_MS).to_duration());
        tokio::select! {
            answer = &mut first => return answer,
            () = late => {}
        }
        if !leader.look_repeats.borrow_mut().take() {
            self.metrics.count("looks_not_hedged");
            return first.await;
        }
        self.metrics.count("looks_hedged");
        let mut second = self.ports.workers.look(id, order);
        tokio::select! {
            answer = &mut first => match answer {
                LookAnswer::Failed => second.await,
                usable => usable,
            },
            answer = &mut second => match answer {
                LookAnswer::Failed => first.await,
                usable => usable,
            },
        }
    }

    /// One look. None once the worker is forgotten, else whether it answered.
    pub(crate) async fn look_once(
        &self,
        leader: &Leader,
        id: &WorkerId,
        wait: bool,
    ) -> Option<bool> {
        let sent_ms = clock::now();
        let order = leader.cell.borrow_mut().look_order(id, wait, sent_ms)?;
        let answer = self.look_hedged(leader, id, &order).await;
        self.metrics.count("looks");
        let now = clock::now();
        let mut cell = leader.cell.borrow_mut();
        match answer {
            LookAnswer::Seen(look) => {
                cell.look_answered(id, sent_ms, &look, now);
                cell.balance(id, now);
                leader.changed.notify_one();
                Some(true)
            }
            LookAnswer::Fenced if !cell.is_current_fence(id, order.fence) => Some(true),
            LookAnswer::Fenced => {
                drop(cell);
                self.drop_lead("a worker has seen a higher epoch");
                Some(false)
            }
            LookAnswer::Failed => {
                cell.look_failed(id, now);
                Some(false)
            }
        }
    }
}
