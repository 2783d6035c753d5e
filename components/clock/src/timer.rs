//! The timer service: one thread that sends periodic ticks to all subscribers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::thread;

use errors::{Error, Result};
use libs::crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use types::Millis;

use crate::{CancellationToken, now};

/// Capacity of the channel for subscriptions that the timer thread has not received yet.
const SUBSCRIPTION_CAPACITY: usize = 64;
/// Maximum sleep of the timer thread, which bounds its delay in noticing cancellation.
const MAX_SLEEP_MS: Millis = Millis(100);

struct Subscription {
    period_ms: Millis,
    /// Sends one tick. Returns false once the subscriber has disconnected.
    send: Box<dyn Fn() -> bool + Send>,
}

/// Handle to the timer service.
#[derive(Clone)]
pub struct Timer {
    subscriptions: Sender<Subscription>,
}

impl Timer {
    /// Starts the service, which stops when the token is cancelled.
    pub fn start(token: CancellationToken) -> Result<Self> {
        let (sender, receiver) = bounded(SUBSCRIPTION_CAPACITY);
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || run(&receiver, &token))
            .map_err(|error| Error::Io("cannot start the timer thread".to_owned(), error))?;
        Ok(Self { subscriptions: sender })
    }

    /// Sends a copy of `tick` to `subscriber` once per period.
    ///
    /// A tick is dropped if the channel is full: the subscriber is behind already, and the next
    /// tick has the same effect.
    pub fn subscribe<T: Clone + Send + 'static>(
        &self,
        period_ms: Millis,
        subscriber: Sender<T>,
        tick: T,
    ) {
        let send = move || match subscriber.try_send(tick.clone()) {
            Ok(()) => true,
            Err(error) => error.is_full(),
        };
        // Fails only during shutdown, when ticks are no longer needed.
        self.subscriptions.send(Subscription { period_ms, send: Box::new(send) }).ok();
    }
}

fn run(subscriptions: &Receiver<Subscription>, token: &CancellationToken) {
    let mut subscribers: Vec<Option<Subscription>> = Vec::new();
    let mut due: BinaryHeap<Reverse<(Millis, usize)>> = BinaryHeap::new();
    while !token.is_cancelled() {
        send_due_ticks(&mut subscribers, &mut due);
        let wake_at = due.peek().map_or(now() + MAX_SLEEP_MS, |Reverse((at, _))| *at);
        let sleep = wake_at.since(now()).min(MAX_SLEEP_MS);
        match subscriptions.recv_timeout(sleep.to_duration()) {
            Ok(subscription) => {
                due.push(Reverse((now() + subscription.period_ms, subscribers.len())));
                subscribers.push(Some(subscription));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => thread::sleep(sleep.to_duration()),
        }
    }
}

fn send_due_ticks(
    subscribers: &mut [Option<Subscription>],
    due: &mut BinaryHeap<Reverse<(Millis, usize)>>,
) {
    let tick_at = now();
    while let Some(Reverse((due_at, index))) = due.peek().copied() {
        if due_at > tick_at {
            return;
        }
        due.pop();
        let Some(subscription) = &subscribers[index] else { continue };
        if (subscription.send)() {
            due.push(Reverse((tick_at + subscription.period_ms, index)));
        } else {
            subscribers[index] = None;
        }
    }
}
