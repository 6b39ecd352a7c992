//! In-memory peer network and helpers for tests of membership and limits.

#![allow(
    clippy::unwrap_used,
    reason = "a broken test set-up fails by panicking"
)]

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxtailhill::catalog::TeamSpec;
use foxtailhill::peer::{PeerCaller, PeerReply, PeerRequest};
use foxtailhill::{Error, Result};

pub type Answer = Box<dyn Fn(PeerRequest) -> Option<PeerReply> + Send + Sync>;

/// Peer network in memory; calls to addresses in `cut` fail.
#[derive(Default)]
pub struct MemoryNet {
    pub nodes: Mutex<HashMap<SocketAddr, Answer>>,
    pub cut: Mutex<HashSet<SocketAddr>>,
}

impl PeerCaller for MemoryNet {
    async fn call(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
        _wait: Duration,
    ) -> Result<PeerReply> {
        let failure = || Error::unavailable("peer is cut off");
        if self.cut.lock().unwrap().contains(&peer) {
            return Err(failure());
        }
        let nodes = self.nodes.lock().unwrap();
        let answer = nodes.get(&peer).ok_or_else(failure)?;
        answer(request).ok_or_else(failure)
    }
}

pub fn team(rate: u64, burst: u64) -> TeamSpec {
    TeamSpec {
        name: "riders".into(),
        rate,
        burst,
    }
}

pub fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index))
}

/// Waits until `condition` holds, for at most 20 s.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let bound = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < bound, "not reached: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
