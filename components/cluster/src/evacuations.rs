//! The leader's knowledge of the requests to evacuate failure domains.

use std::rc::Rc;

use cell::{EvacuationChange, EvacuationRequest, START_DEADLINE_MS};
use eventlog::event;
use libs::tokio;
use types::Millis;

use crate::leader::Leader;
use crate::node::Node;
use crate::ports::{StoreError, StoreResult};

/// Longest time that one watch call waits for changes. The store answers at a change, so that this only
/// bounds how long a lost answer goes unnoticed.
const WATCH_WAIT_MS: Millis = Millis(300);
/// A watch that is unanswered this long after its wait time is hedged by a list: usual calls take some
/// milliseconds, and a lost answer is noticed only when the call times out after 900 ms.
const HEDGE_DELAY_MS: Millis = Millis(250);
/// Delay between two watches, so that frequent changes cannot make the loop spin.
const WATCH_DELAY_MS: Millis = Millis(20);
/// Delay after a failed call.
const RETRY_DELAY_MS: Millis = Millis(100);
/// Time for a scheduling round and for differences between clocks, beside the deadline of the last order.
const LAST_ORDER_MARGIN_MS: Millis = Millis(500);
/// The requests may be at least this old before starts are held, however short the bound is: a hedged
/// watch takes up to 1.5 s.
const MIN_UNREAD_MS: Millis = Millis(1_500);

/// News on the requests, with the revision from which to watch them.
enum News {
    Changes(Vec<EvacuationChange>, u64),
    All(Vec<EvacuationRequest>, u64),
}

impl Node {
    /// Lists the requests for a new leader. There are none where the deployment has no evacuations.
    pub(crate) async fn list_evacuations(&self) -> StoreResult<(Vec<EvacuationRequest>, u64)> {
        match self.settings.evacuation_ms {
            Some(_) => self.ports.evacuations.list().await,
            None => Ok((Vec::new(), 0)),
        }
    }

    /// Watches the requests.
    pub(crate) async fn watch_evacuations(self: Rc<Self>, leader: Rc<Leader>) {
        if self.settings.evacuation_ms.is_none() {
            return;
        }
        loop {
            let after = leader.evacuations_after.get();
            let sent_ms = clock::now();
            let news = self.read_evacuations(after).await;
            let delay_ms = match self.store_result(news) {
                Ok(news) => {
                    apply_news(&leader, news);
                    leader.evacuations_read_ms.set(sent_ms);
                    leader.changed.notify_one();
                    WATCH_DELAY_MS
                }
                Err(_recorded) => RETRY_DELAY_MS,
            };
            tokio::time::sleep(delay_ms.to_duration()).await;
        }
    }

    /// Waits for changes after a revision, for a short time.
    async fn read_evacuations(&self, after: u64) -> StoreResult<News> {
        let mut watch = self.ports.evacuations.changes(after, WATCH_WAIT_MS);
        let late = tokio::time::sleep((WATCH_WAIT_MS + HEDGE_DELAY_MS).to_duration());
        let watched = tokio::select! {
            watched = &mut watch => watched,
            () = late => {
                self.metrics.count("evacuation_watches_hedged");
                tokio::select! {
                    Ok((changes, at)) = &mut watch => Ok((changes, at)),
                    listed = self.ports.evacuations.list() => return listed.map(all),
                }
            }
        };
        match watched {
            Ok((changes, at)) => Ok(News::Changes(changes, at)),
            Err(StoreError::HistoryGone) => {
                event!("store.history_gone", "prefix" => "evacuations", "after" => after);
                self.ports.evacuations.list().await.map(all)
            }
            Err(error) => Err(error),
        }
    }

    /// Whether the store renews the leader's lease, but the requests could not be read for so long that a
    /// start could come too late. Without the store the leader goes on with the requests that it knows, as
    /// with all other work.
    pub(crate) fn evacuations_overdue(&self, leader: &Leader) -> bool {
        let Some(bound_ms) = self.settings.evacuation_ms else { return false };
        let age_ms = clock::now().since(leader.evacuations_read_ms.get());
        let is_overdue = self.holds_lease(leader) && age_ms > max_age_ms(bound_ms);
        if leader.evacuations_are_overdue.replace(is_overdue) != is_overdue {
            event!("leader.evacuations_overdue", "epoch" => leader.epoch(),
                "overdue" => is_overdue, "age_ms" => age_ms.0);
        }
        is_overdue
    }
}

fn all((requests, at): (Vec<EvacuationRequest>, u64)) -> News {
    News::All(requests, at)
}

/// Age of the requests up to which starts may be ordered.
fn max_age_ms(bound_ms: Millis) -> Millis {
    (bound_ms - START_DEADLINE_MS - LAST_ORDER_MARGIN_MS).max(MIN_UNREAD_MS)
}

fn apply_news(leader: &Leader, news: News) {
    let now = clock::now();
    let mut cell = leader.cell.borrow_mut();
    match news {
        News::Changes(changes, at) => {
            for change in changes {
                cell.evacuation_changed(change, now);
            }
            leader.evacuations_after.set(at);
        }
        // A list that was read before the last change was known would undo it.
        News::All(_, at) if at < leader.evacuations_after.get() => {}
        News::All(requests, at) => {
            cell.evacuations_listed(requests, now);
            leader.evacuations_after.set(at);
        }
    }
}
