//! The timer service: one thread that sends ticks to the parts that subscribe.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::thread;

use errors::{Error, Result};
use libs::crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use types::Millis;

use crate::{CancellationToken, now};

/// Subscriptions that may wait for the timer thread to take them.
const SUBSCRIBE_RING: usize = 64;
/// Longest sleep of the timer thread, which bounds how late it sees cancellation.
const MAX_SLEEP_MS: Millis = Millis(100);

struct Subscription {
    period_ms: Millis,
    /// Sends one tick. Returns false once the subscriber is gone.
    send: Box<dyn Fn() -> bool + Send>,
}

/// Handle to the timer service.
#[derive(Clone)]
pub struct Timer {
    subscribe: Sender<Subscription>,
}

impl Timer {
    /// Starts the service. It stops when the token is cancelled.
    pub fn start(token: CancellationToken) -> Result<Self> {
        let (subscribe, subscriptions) = bounded(SUBSCRIBE_RING);
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || run(&subscriptions, &token))
            .map_err(|error| Error::File("timer thread".to_owned(), error))?;
        Ok(Self { subscribe })
    }

    /// Sends a copy of `tick` into `ring` once per period.
    ///
    /// A tick that finds the ring full is dropped: the subscriber is late already
    /// and the next tick serves as well.
    pub fn subscribe<T: Clone + Send + 'static>(
        &self,
        period_ms: Millis,
        ring: Sender<T>,
        tick: T,
    ) {
        let send = move || match ring.try_send(tick.clone()) {
            Ok(()) => true,
            Err(error) => error.is_full(),
        };
        // Fails only while the process stops, when no tick is needed any more.
        self.subscribe.send(Subscription { period_ms, send: Box::new(send) }).ok();
    }
}

fn run(subscriptions: &Receiver<Subscription>, token: &CancellationToken) {
    let mut subscribed: Vec<Option<Subscription>> = Vec::new();
    let mut due: BinaryHeap<Reverse<(Millis, usize)>> = BinaryHeap::new();
    while !token.is_cancelled() {
        send_due_ticks(&mut subscribed, &mut due);
        let wake_at = due.peek().map_or(now() + MAX_SLEEP_MS, |Reverse((at, _))| *at);
        let sleep = wake_at.since(now()).min(MAX_SLEEP_MS);
        match subscriptions.recv_timeout(sleep.to_duration()) {
            Ok(subscription) => {
                due.push(Reverse((now() + subscription.period_ms, subscribed.len())));
                subscribed.push(Some(subscription));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => thread::sleep(sleep.to_duration()),
        }
    }
}

fn send_due_ticks(
    subscribed: &mut [Option<Subscription>],
    due: &mut BinaryHeap<Reverse<(Millis, usize)>>,
) {
    let at = now();
    while let Some(Reverse((when, index))) = due.peek().copied() {
        if when > at {
            return;
        }
        due.pop();
        let Some(subscription) = &subscribed[index] else { continue };
        if (subscription.send)() {
            due.push(Reverse((at + subscription.period_ms, index)));
        } else {
            subscribed[index] = None;
        }
    }
}
