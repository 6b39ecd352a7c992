//! Until when a daemon that shuts down can still answer requests.

use std::future::Future;
use std::task::Poll;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use crate::error::{Category, Error, Result, RunVerdict};

/// Time before the end in which refusals of requests that have not been sent are written.
const REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Time before the end in which the failures of requests without an answer are written. It is shorter, so that a request
/// that has not been sent is refused.
const FAILURE_TIME: Duration = Duration::from_millis(125);
/// Period in which a request that waits is compared with the time left.
const CHECK_PERIOD: Duration = Duration::from_millis(20);
/// `Retry-After` of a refusal. Other daemons take requests at once.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Part of the whole time of a shutdown that the time in which an answer is due may take, as a divisor. Answers may come
/// long before they are due, so that a route with a long target latency would be refused for nothing.
const MAX_WORK_DIVISOR: u32 = 2;

/// How long an answer takes once its request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkTime {
    /// The time in which the answer, or its beginning, is due. Its end is not known.
    Due(Duration),
    /// The time after which answers of this kind were complete.
    Measured(Duration),
}

impl WorkTime {
    /// No work for a server.
    pub(crate) const NONE: Self = Self::Due(Duration::ZERO);
}

/// A shutdown and its end, by which each request must have an answer.
#[derive(Clone, Copy, Debug)]
struct DrainTime {
    end: Instant,
    length: Duration,
}

/// Tells requests when a shutdown ends.
#[derive(Debug, Default)]
pub struct DrainClock {
    time: watch::Sender<Option<DrainTime>>,
}

impl DrainClock {
    /// Starts the shutdown; the process ends at `end`.
    pub fn start(&self, end: Instant) {
        let length = end.saturating_duration_since(Instant::now());
        self.time.send_replace(Some(DrainTime { end, length }));
    }

    /// Runs a step before a request is sent to a server, whose answer then takes `work`. What is known of that may change
    /// while the request waits.
    ///
    /// # Errors
    ///
    /// Those of `step`; `ShuttingDown` once the answer would come after the end.
    pub(crate) async fn run_unsent<T>(
        &self,
        work: impl Fn() -> WorkTime,
        step: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        tokio::select! {
            // The work is compared with the time left at each poll, so also just before the step is taken as done.
            biased;
            () = self.reach(work, REFUSAL_TIME) => {
                let message = "the daemon is shutting down";
                Err(Error::new(Category::ShuttingDown, message).with_retry_after(RETRY_AFTER))
            }
            result = step => result,
        }
    }

    /// Waits for the first part of an answer.
    ///
    /// # Errors
    ///
    /// Those of the request; `ShuttingDown` if the answer has not begun shortly before the end.
    pub(crate) async fn first_piece<T>(&self, pieces: &mut mpsc::Receiver<Result<T>>) -> Result<T> {
        let error = tokio::select! {
            biased;
            piece = pieces.recv() => match piece {
                Some(piece) => return piece,
                None => Error::internal("the request ended without an answer"),
            },
            () = self.reach(|| WorkTime::NONE, FAILURE_TIME) => {
                let message = "the daemon shut down before the answer began";
                Error::new(Category::ShuttingDown, message)
            }
        };
        Err(error.with_verdict(RunVerdict::MayHaveRun))
    }

    /// Resolves when `work` can no longer be done `lead` before the end; never unless the daemon shuts down.
    async fn reach(&self, work: impl Fn() -> WorkTime, lead: Duration) {
        let mut times = self.time.subscribe();
        let time = match times.wait_for(Option::is_some).await {
            Ok(time) => *time,
            Err(_) => None,
        };
        let Some(time) = time else {
            return std::future::pending().await;
        };
        let mut checks = tokio::time::interval(CHECK_PERIOD);
        std::future::poll_fn(|context| {
            while checks.poll_tick(context).is_ready() {}
            match time.is_reached(work(), lead) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        })
        .await;
    }
}

impl DrainTime {
    /// Returns whether `work` can no longer be done `lead` before the end.
    fn is_reached(self, work: WorkTime, lead: Duration) -> bool {
        let work = match work {
            WorkTime::Due(time) => time.min(self.length / MAX_WORK_DIVISOR),
            WorkTime::Measured(time) => time,
        };
        Instant::now() + work + lead >= self.end
    }
}
