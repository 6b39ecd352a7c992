//! The demo hung in a deadlock: readers and writers of `DemandTracker` took its two locks in opposite order.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use foxtailhill::dispatch::ModelDemand;
use foxtailhill::placement::DemandTracker;

const ROUNDS: usize = 20_000;
/// Maximum time for all rounds, which normally take milliseconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Guards against a deadlock between a daemon's report of demand and a planning round that reads it.
#[test]
fn readers_and_writers_of_demand_do_not_block_each_other_forever() {
    let tracker = Arc::new(DemandTracker::new());
    let (done, finished) = mpsc::channel();
    for reporter in 0..4u16 {
        let (tracker, done) = (tracker.clone(), done.clone());
        std::thread::spawn(move || {
            let demand = ModelDemand {
                model: "drafter".into(),
                arrivals: 1,
                ..Default::default()
            };
            for _ in 0..ROUNDS {
                if reporter % 2 == 0 {
                    tracker.record(
                        ([127, 0, 0, 1], reporter).into(),
                        std::slice::from_ref(&demand),
                        Instant::now(),
                    );
                } else {
                    tracker.facts(&demand.model, None, Instant::now());
                }
            }
            done.send(()).unwrap();
        });
    }
    for _ in 0..4 {
        finished
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a thread is blocked");
    }
}
