//! One timer task for all periodic work of a daemon, to which services subscribe with a period.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use crate::kernel::TaskGroup;

struct Subscription {
    period: Duration,
    ticks: watch::Sender<Instant>,
}

/// Handle to the timer task of a daemon; the task ends when the last handle is dropped.
#[derive(Clone)]
pub struct TimerService {
    subscribe: mpsc::UnboundedSender<Subscription>,
}

/// Ticks of one subscription. Missed ticks are merged into one.
pub struct TimerTicks {
    ticks: watch::Receiver<Instant>,
}

impl TimerService {
    /// Starts the timer task in `group`.
    pub fn spawn(group: &TaskGroup) -> Self {
        let (subscribe, requests) = mpsc::unbounded_channel();
        group.spawn_essential("timer", run(requests));
        Self { subscribe }
    }

    /// Subscribes to a tick every `period`, the first one a period from now.
    pub fn every(&self, period: Duration) -> TimerTicks {
        let (sender, ticks) = watch::channel(Instant::now());
        // The send fails only after shutdown; `TimerTicks::next` then returns `None`.
        let _ = self.subscribe.send(Subscription {
            period,
            ticks: sender,
        });
        TimerTicks { ticks }
    }

    /// Spawns a service in `group` that calls `work` every `period`, the first time a period from now.
    pub fn spawn_periodic(
        &self,
        group: &TaskGroup,
        name: &'static str,
        period: Duration,
        work: impl FnMut(Instant) + Send + 'static,
    ) {
        let timer = self.clone();
        // A lock, as the work may panic and is then called again by the restarted service.
        let work = Arc::new(Mutex::new(work));
        group.spawn_service(name, move || {
            let (mut ticks, work) = (timer.every(period), work.clone());
            async move {
                while let Some(now) = ticks.next().await {
                    let mut work = work.lock().unwrap_or_else(PoisonError::into_inner);
                    work(now);
                }
            }
        });
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
        // After a pause of the process the schedule restarts from now instead of catching up on missed ticks.
        let next = (at + subscription.period).max(now);
        due.push(Reverse((next, slot)));
    }
}
