//! Polls each worker to renew the leases of its runs and read their state.

use std::rc::Rc;

use cell::PollOrder;
use libs::futures_util::StreamExt;
use libs::futures_util::stream::FuturesUnordered;
use libs::tokio;
use types::{Millis, WorkerId};

use crate::leader::Leader;
use crate::node::Node;
use crate::ports::PollOutcome;

/// Delay between polls, so that a worker that answers at once cannot make the loop spin.
const IDLE_DELAY_MS: Millis = Millis(10);
/// Delay after consecutive failed polls. The first failure in a row is retried sooner.
const FAILURE_DELAY_MS: Millis = Millis(250);
/// Longest time that the next poll waits for reported ends of runs to be stored.
const END_STORE_WAIT_MS: Millis = Millis(100);
/// A poll that is unanswered this long after its wait time is hedged by a second one: an answer
/// takes a few milliseconds, and one lost answer must not hold up a new leader.
const HEDGE_DELAY_MS: Millis = Millis(150);
/// Calls of the first poll of a worker, and the time after which the next one is sent. Until a worker
/// has answered it may run any inherited task. Of hundreds of workers some lose two answers when a
/// twentieth of the answers is lost.
const FIRST_POLL_CALLS: usize = 4;
const FIRST_POLL_DELAY_MS: Millis = Millis(100);
/// Additional delay while ends of runs cannot be stored: each answer would repeat them.
const UNSTORED_DELAY_MS: Millis = Millis(200);

/// How a worker is polled again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextPoll {
    /// The worker may hold the poll until a run ends.
    pub wait: bool,
    /// Delay before the poll.
    pub delay_ms: Millis,
}

/// Decides how to poll a worker that has reported ends of runs.
///
/// Load pattern: short tasks end on a worker every few milliseconds. Until its reported ends are
/// stored, a poll that waits is answered at once with the same ends. Without further polls the
/// resources of runs that ended meanwhile are idle, so only a failing store justifies a delay.
pub fn next_poll(has_unstored_ends: bool, store_fails: bool) -> NextPoll {
    let delay_ms = if has_unstored_ends && store_fails { UNSTORED_DELAY_MS } else { Millis(0) };
    NextPoll { wait: !has_unstored_ends, delay_ms }
}

impl Node {
    /// Starts a polling loop for each worker that has none.
    pub(crate) fn start_polling(self: &Rc<Self>, leader: &Rc<Leader>) {
        let ids = leader.cell.borrow().worker_ids();
        for id in ids {
            if leader.polled_workers.borrow_mut().insert(id.clone()) {
                self.spawn_in_term(leader, self.clone().poll_worker(leader.clone(), id));
            }
        }
    }

    async fn poll_worker(self: Rc<Self>, leader: Rc<Leader>, id: WorkerId) {
        let mut wait = false;
        let mut failed = false;
        let mut is_first = true;
        loop {
            let is_repeated = std::mem::take(&mut is_first);
            let Some(answered) = self.poll_with(&leader, &id, wait, is_repeated).await else {
                break;
            };
            if !answered {
                // A single lost answer does not show that the worker has failed.
                let delay_ms = if failed { FAILURE_DELAY_MS } else { IDLE_DELAY_MS };
                tokio::time::sleep(delay_ms.to_duration()).await;
                wait = false;
                failed = true;
                continue;
            }
            wait = true;
            failed = false;
            if leader.cell.borrow().has_unstored_ends(&id) {
                leader.store_requested.notify_one();
                self.wait_until_stored(&leader, &id).await;
                let next = next_poll(
                    leader.cell.borrow().has_unstored_ends(&id),
                    self.store_failures.get() > 0,
                );
                wait = next.wait;
                tokio::time::sleep(next.delay_ms.to_duration()).await;
            } else {
                tokio::time::sleep(IDLE_DELAY_MS.to_duration()).await;
            }
        }
        leader.polled_workers.borrow_mut().remove(&id);
        leader.ends_stored.borrow_mut().remove(&id);
    }

    /// Waits until the ends that a worker reported are stored, but not for long: other runs may end
    /// meanwhile, and their resources are free.
    async fn wait_until_stored(&self, leader: &Leader, id: &WorkerId) {
        let stored = leader.ends_stored.borrow_mut().entry(id.clone()).or_default().clone();
        let wait = async {
            while leader.cell.borrow().has_unstored_ends(id) {
                stored.notified().await;
            }
        };
        // The caller looks whether the ends are stored by now.
        tokio::time::timeout(END_STORE_WAIT_MS.to_duration(), wait).await.ok();
    }

    /// Polls a worker, with a second call if the answer is late. The first usable answer counts.
    async fn poll_hedged(&self, leader: &Leader, id: &WorkerId, order: &PollOrder) -> PollOutcome {
        leader.hedge_budget.borrow_mut().record_call();
        let mut first = self.ports.workers.poll(id, order);
        let late = tokio::time::sleep((order.wait_ms + HEDGE_DELAY_MS).to_duration());
        tokio::select! {
            answer = &mut first => return answer,
            () = late => {}
        }
        if !leader.hedge_budget.borrow_mut().try_take() {
            self.metrics.count("looks_not_hedged");
            return first.await;
        }
        self.metrics.count("looks_hedged");
        let mut second = self.ports.workers.poll(id, order);
        tokio::select! {
            answer = &mut first => match answer {
                PollOutcome::Failed => second.await,
                usable => usable,
            },
            answer = &mut second => match answer {
                PollOutcome::Failed => first.await,
                usable => usable,
            },
        }
    }

    /// Polls a worker with further calls while none is answered. The first usable answer counts.
    ///
    /// Load pattern: a new leader polls thousands of workers at once, and its own processor delays the
    /// answers. The budget keeps it from making four times as many calls then.
    async fn poll_repeatedly(
        &self,
        leader: &Leader,
        id: &WorkerId,
        order: &PollOrder,
    ) -> PollOutcome {
        leader.hedge_budget.borrow_mut().record_call();
        let mut calls = FuturesUnordered::new();
        calls.push(self.ports.workers.poll(id, order));
        for _ in 1..FIRST_POLL_CALLS {
            tokio::select! {
                Some(answer) = calls.next() => return answer,
                () = tokio::time::sleep(FIRST_POLL_DELAY_MS.to_duration()) => {}
            }
            if !leader.hedge_budget.borrow_mut().try_take() {
                self.metrics.count("looks_not_hedged");
                break;
            }
            self.metrics.count("looks_hedged");
            calls.push(self.ports.workers.poll(id, order));
        }
        while let Some(answer) = calls.next().await {
            if !matches!(answer, PollOutcome::Failed) {
                return answer;
            }
        }
        PollOutcome::Failed
    }

    /// Polls a worker once. Returns `None` if the worker is no longer known, otherwise whether it
    /// answered.
    pub(crate) async fn poll_once(
        &self,
        leader: &Leader,
        id: &WorkerId,
        wait: bool,
    ) -> Option<bool> {
        self.poll_with(leader, id, wait, false).await
    }

    async fn poll_with(
        &self,
        leader: &Leader,
        id: &WorkerId,
        wait: bool,
        is_repeated: bool,
    ) -> Option<bool> {
        let sent_ms = clock::now();
        let order = leader.cell.borrow_mut().poll_order(id, wait, sent_ms)?;
        let answer = if is_repeated {
            self.poll_repeatedly(leader, id, &order).await
        } else {
            self.poll_hedged(leader, id, &order).await
        };
        self.metrics.count("looks");
        let now = clock::now();
        let mut cell = leader.cell.borrow_mut();
        match answer {
            PollOutcome::Answered(answer) => {
                cell.poll_answered(id, sent_ms, &answer, now);
                cell.adjust_pace(id, now);
                leader.changed.notify_one();
                Some(true)
            }
            PollOutcome::Fenced if !cell.is_current_fence(id, order.fence) => Some(true),
            PollOutcome::Fenced => {
                drop(cell);
                self.end_term("a worker has seen a higher epoch");
                Some(false)
            }
            PollOutcome::Failed => {
                cell.poll_failed(id, now);
                Some(false)
            }
        }
    }
}
