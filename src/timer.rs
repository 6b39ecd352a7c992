//! The timer service: parts subscribe to a period instead of keeping timers of their own.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use crate::kernel::TaskGroup;

struct Subscription {
    period: Duration,
    ticks: watch::Sender<Instant>,
}

/// Handle to the task that wakes all periodic work of a daemon.
#[derive(Clone)]
pub struct TimerService {
    subscribe: mpsc::UnboundedSender<Subscription>,
}

/// Ticks of one subscription. Ticks that were missed are merged into one.
pub struct TimerTicks {
    ticks: watch::Receiver<Instant>,
}

impl TimerService {
    /// Starts the timer task in `group`.
    pub fn spawn(group: &TaskGroup) -> Self {
        let (subscribe, requests) = mpsc::unbounded_channel();
        group.spawn_cancellable(run(requests));
        Self { subscribe }
    }

    /// Subscribes to a tick every `period`, the first one a period from now.
    pub fn every(&self, period: Duration) -> TimerTicks {
        let (sender, ticks) = watch::channel(Instant::now());
        // A send fails only after shutdown; the ticks then report the end.
        let _ = self.subscribe.send(Subscription {
            period,
            ticks: sender,
        });
        TimerTicks { ticks }
    }
}

impl TimerTicks {
    /// Waits for the next tick. Returns its time, or `None` once the timer service has stopped.
    pub async fn next(&mut self) -> Option<Instant> {
        self.ticks.changed().await.ok()?;
        Some(*self.ticks.borrow_and_update())
    }
}

async fn run(mut requests: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscriptions: Vec<Option<Subscription>> = Vec::new();
    let mut due: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    loop {
        let next = due.peek().map(|Reverse((at, _))| *at);
        let sleep = async {
            match next {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            request = requests.recv() => {
                let Some(subscription) = request else { return };
                let at = Instant::now() + subscription.period;
                let slot = insert(&mut subscriptions, subscription);
                due.push(Reverse((at, slot)));
            }
            () = sleep => fire(&mut subscriptions, &mut due),
        }
    }
}

fn insert(subscriptions: &mut Vec<Option<Subscription>>, subscription: Subscription) -> usize {
    match subscriptions.iter().position(Option::is_none) {
        Some(slot) => {
            subscriptions[slot] = Some(subscription);
            slot
        }
        None => {
            subscriptions.push(Some(subscription));
            subscriptions.len() - 1
        }
    }
}

fn fire(
    subscriptions: &mut [Option<Subscription>],
    due: &mut BinaryHeap<Reverse<(Instant, usize)>>,
) {
    let now = Instant::now();
    while let Some(Reverse((at, slot))) = due.peek().copied() {
        if at > now {
            return;
        }
        due.pop();
        let Some(subscription) = &subscriptions[slot] else {
            continue;
        };
        if subscription.ticks.send(now).is_err() {
            subscriptions[slot] = None;
            continue;
        }
        // After a pause the schedule restarts from now; a burst of old ticks helps nobody.
        let next = (at + subscription.period).max(now);
        due.push(Reverse((next, slot)));
    }
}
