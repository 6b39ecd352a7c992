//! Pace of each backend server relative to its service: 1 is usual, 0.5 takes twice as long.
//!
//! A daemon compares the times that it measures with the usual ones of the same kind (service, route and what is
//! measured). It sees few answers of each server, so daemons tell each other what they measured. Only a daemon's own
//! measurements are passed on, so that no value comes back as the news of another daemon.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Bounds of a pace. Even the slowest server gets requests, which show when it is fast again.
pub const MIN_PACE: f64 = 0.3;
pub const MAX_PACE: f64 = 3.0;
/// Time in which a measurement loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Largest weight of what this daemon measured, in measurements. With it, a quarter of a change remains after four
/// measurements.
const MAX_WEIGHT: f64 = 2.5;
/// Largest weight of what peers measured.
const MAX_PEER_WEIGHT: f64 = 3.0;
/// Weight of the assumption that a server has the usual pace.
const PRIOR_WEIGHT: f64 = 0.5;
/// Weight of one report of a peer. It is below 1 because a peer may repeat a report.
const PEER_WEIGHT: f64 = 0.5;
/// Largest distance of one measurement from the estimate that is counted, as a natural logarithm: a factor of e.
const MAX_DEVIATION: f64 = 1.0;
/// Weight of the newest measurement in the usual time of its kind.
const USUAL_WEIGHT: f64 = 0.02;
/// Maximum number of kinds of measurements.
const MAX_KINDS: usize = 1_024;
/// Maximum number of servers: twice the design size.
const MAX_SERVERS: usize = 1_200;
/// Time after which kinds and servers without measurements are forgotten.
const KEEP_TIME: Duration = Duration::from_secs(120);
/// Time for which a measurement is reported to peers: each of 69 daemons gets a pulse at least every 0.6 s.
const NEWS_TIME: Duration = Duration::from_millis(600);
/// Largest number of servers in one report, which keeps it under 30 bytes.
const MAX_NEWS: usize = 4;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimingKind {
    /// Time from sending a request to the first event of its stream.
    FirstEvent,
    /// Time between two events.
    Gap,
    /// Duration of a call that is not a stream.
    Call,
}

impl TimingKind {
    /// Weight of a measurement. A gap shows the pace best: the other times include the wait at the server.
    fn weight(self) -> f64 {
        match self {
            Self::Gap => 1.0,
            Self::Call => 0.5,
            Self::FirstEvent => 0.25,
        }
    }
}

/// Kind of a measurement; times of the same kind are comparable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimingKey {
    pub kind: TimingKind,
    /// Hash of service and route.
    pub route: u64,
}

/// Usual time of a kind, as a natural logarithm.
#[derive(Clone, Copy, Debug)]
struct UsualTime {
    mean: f64,
    count: u32,
    at: Instant,
}

/// Average of the logarithm of the pace, whose weight halves every [`HALF_LIFE`].
#[derive(Clone, Copy, Debug)]
struct PaceMean {
    mean: f64,
    weight: f64,
    at: Instant,
}

impl PaceMean {
    fn new(now: Instant) -> Self {
        Self {
            mean: 0.0,
            weight: 0.0,
            at: now,
        }
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.weight * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn push(&mut self, sample: f64, weight: f64, max_weight: f64, now: Instant) {
        let known = self.weight_at(now);
        // Without the usual pace as a part of the weight, the first measurement would count alone.
        let total = known.max(PRIOR_WEIGHT) + weight;
        let difference = (sample - self.mean).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let mean = self.mean + difference * weight / total;
        self.mean = mean.clamp(MIN_PACE.ln(), MAX_PACE.ln());
        self.weight = (known + weight).min(max_weight);
        self.at = now;
    }
}

#[derive(Clone, Copy, Debug)]
struct ServerPace {
    own: PaceMean,
    peers: PaceMean,
    /// Time of this daemon's last measurement.
    measured_at: Option<Instant>,
    /// Time of the last report of it to peers.
    told_at: Option<Instant>,
}

impl ServerPace {
    fn new(now: Instant) -> Self {
        Self {
            own: PaceMean::new(now),
            peers: PaceMean::new(now),
            measured_at: None,
            told_at: None,
        }
    }

    fn pace(&self, now: Instant) -> f64 {
        let (own, peers) = (self.own.weight_at(now), self.peers.weight_at(now));
        let sum = own * self.own.mean + peers * self.peers.mean;
        (sum / (own + peers + PRIOR_WEIGHT))
            .exp()
            .clamp(MIN_PACE, MAX_PACE)
    }

    fn is_current(&self, now: Instant) -> bool {
        self.own.at.max(self.peers.at) + KEEP_TIME > now
    }
}

/// Estimated paces by hash of the server's id.
#[derive(Debug, Default)]
pub struct PaceTable {
    usual: HashMap<TimingKey, UsualTime>,
    servers: HashMap<u32, ServerPace>,
}

impl PaceTable {
    /// Records a time that this daemon measured; `work` is the part that the size of the request explains. Only the
    /// ratio of the two is compared.
    pub fn record(
        &mut self,
        server: u32,
        key: TimingKey,
        time: Duration,
        work: Duration,
        now: Instant,
    ) {
        let ratio = time.as_secs_f64().max(1e-6) / work.as_secs_f64().max(1e-6);
        let Some(usual) = self.update_usual(key, ratio.ln(), now) else {
            return;
        };
        let Some(entry) = self.server(server, now) else {
            return;
        };
        let sample = usual - ratio.ln();
        entry.own.push(sample, key.kind.weight(), MAX_WEIGHT, now);
        entry.measured_at = Some(now);
    }

    /// Returns the usual value of a kind before `value`, which is then included; `None` if there is none.
    fn update_usual(&mut self, key: TimingKey, value: f64, now: Instant) -> Option<f64> {
        if let Some(usual) = self.usual.get_mut(&key) {
            let before = usual.mean;
            usual.count = usual.count.saturating_add(1);
            let weight = USUAL_WEIGHT.max(1.0 / f64::from(usual.count));
            usual.mean += weight * (value - before).clamp(-MAX_DEVIATION, MAX_DEVIATION);
            usual.at = now;
            return Some(before);
        }
        if self.usual.len() >= MAX_KINDS {
            self.usual.retain(|_, usual| usual.at + KEEP_TIME > now);
        }
        if self.usual.len() < MAX_KINDS {
            let first = UsualTime {
                mean: value,
                count: 1,
                at: now,
            };
            self.usual.insert(key, first);
        }
        None
    }

    fn server(&mut self, server: u32, now: Instant) -> Option<&mut ServerPace> {
        if !self.servers.contains_key(&server) && self.servers.len() >= MAX_SERVERS {
            self.servers.retain(|_, pace| pace.is_current(now));
            if self.servers.len() >= MAX_SERVERS {
                return None;
            }
        }
        let entry = self.servers.entry(server);
        Some(entry.or_insert_with(|| ServerPace::new(now)))
    }

    /// Returns the pace of a server; 1 if nothing is known.
    pub fn pace(&self, server: u32, now: Instant) -> f64 {
        let pace = self.servers.get(&server);
        pace.map_or(1.0, |pace| pace.pace(now))
    }

    /// Returns the least and the greatest pace of all servers; `None` if none is known.
    pub fn spread(&self, now: Instant) -> Option<(f64, f64)> {
        let paces = self.servers.values().filter(|pace| pace.is_current(now));
        let paces = paces.map(|pace| pace.pace(now));
        paces.fold(None, |spread, pace| match spread {
            None => Some((pace, pace)),
            Some((least, greatest)) => Some((pace.min(least), pace.max(greatest))),
        })
    }

    /// Returns what peers should know: the servers that this daemon measured lately and the encoded paces, those told
    /// longest ago first.
    pub fn take_news(&mut self, now: Instant) -> Vec<(u32, u8)> {
        let is_news = |pace: &ServerPace| pace.measured_at.is_some_and(|at| at + NEWS_TIME > now);
        let news = self.servers.iter().filter(|(_, pace)| is_news(pace));
        let mut news: Vec<_> = news.map(|(id, pace)| (pace.told_at, *id)).collect();
        news.sort_unstable();
        news.truncate(MAX_NEWS);
        let news = news.into_iter().filter_map(|(_, id)| {
            let pace = self.servers.get_mut(&id)?;
            pace.told_at = Some(now);
            Some((id, encode_pace(pace.own.mean)))
        });
        news.collect()
    }

    /// Applies what a peer measured.
    pub fn apply_news(&mut self, news: &[(u32, u8)], now: Instant) {
        for (server, code) in news.iter().take(MAX_NEWS) {
            let Some(entry) = self.server(*server, now) else {
                return;
            };
            let sample = decode_pace(*code);
            entry.peers.push(sample, PEER_WEIGHT, MAX_PEER_WEIGHT, now);
        }
    }

    /// Forgets a server that restarted or is gone.
    pub fn forget(&mut self, server: u32) {
        self.servers.remove(&server);
    }

    /// Returns the number of servers and of kinds in the table.
    pub fn sizes(&self) -> (usize, usize) {
        (self.servers.len(), self.usual.len())
    }
}

/// Encodes the logarithm of a pace in one byte, in steps of 1%.
fn encode_pace(mean: f64) -> u8 {
    let (least, greatest) = (MIN_PACE.ln(), MAX_PACE.ln());
    ((mean - least) / (greatest - least) * 255.0)
        .round()
        .clamp(0.0, 255.0) as u8
}

fn decode_pace(code: u8) -> f64 {
    let (least, greatest) = (MIN_PACE.ln(), MAX_PACE.ln());
    least + f64::from(code) / 255.0 * (greatest - least)
}
