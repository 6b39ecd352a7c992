//! Daemons that begin streams, lose them and take them up while versions of the software come and go: no caller gets
//! events of two versions.
//!
//! The simulated fleet assumes:
//! - Every daemon reads the list of servers at least once in `SETTLE_TIME`, and a version stays listed or away for at least
//!   that time. Pulses are lost but not late.
//! - A daemon begins streams only at settled versions, and none for `SETTLE_TIME` after its first list. The version that a
//!   server names in its answer counts, not the one in its record.
//! - A stream's id is that of the attempt that brought the first event, so each is begun by one daemon.
//! - A caller's last try comes within `STREAM_LIFE` of the first event.
//!
//! Servers run on after their records are gone, until the daemons have read that.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use foxtailhill::relay::{
    KnownOrigin, OriginKey, OriginNotice, OriginTable, StreamId, VersionHistory, holders,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

const SERVICE: &str = "chat";
const VERSIONS: [&str; 3] = ["1.0", "1.1", "2.0"];
const DAEMONS: usize = 6;
const STEP: Duration = Duration::from_millis(100);
const STREAM_LIFE: Duration = Duration::from_secs(50);
/// A list may be that much older than the stream.
const SOLE_AGE: Duration = STREAM_LIFE.saturating_add(VersionHistory::SETTLE_TIME);
const CAPACITY: usize = 24;

#[derive(Clone, Copy)]
struct FleetTroubles {
    /// Probability that a message between daemons is lost.
    loss: f64,
    /// Probability that a release begins or ends in a step, at most one in `SETTLE_TIME` for each version.
    release: f64,
    /// Probability that a daemon restarts in a step.
    restart: f64,
}

struct SimulatedDaemon {
    name: SmolStr,
    zone: SmolStr,
    origins: OriginTable,
    history: VersionHistory,
    /// The versions in the list that was read last.
    listed: Vec<usize>,
    first_read: Option<Instant>,
    next_read: Instant,
}

impl SimulatedDaemon {
    fn start(index: usize, now: Instant) -> Self {
        Self {
            name: format!("vm-{index}").into(),
            zone: format!("zone-{}", index % 2).into(),
            origins: OriginTable::new(CAPACITY),
            history: VersionHistory::open(now),
            listed: Vec::new(),
            first_read: None,
            next_read: now,
        }
    }

    fn read(&mut self, listed: &[usize], rng: &mut StdRng, now: Instant) {
        let service = SmolStr::new(SERVICE);
        let names: Vec<_> = { listed.iter() }
            .map(|version| SmolStr::new(VERSIONS[*version]))
            .collect();
        let pairs = names.iter().map(|name| (&service, name));
        self.history.update(pairs, now);
        self.listed = listed.to_vec();
        self.first_read.get_or_insert(now);
        self.next_read = now + Duration::from_millis(rng.random_range(100..2_900));
    }

    fn begins_streams(&self, now: Instant) -> bool {
        let first = self.first_read;
        first.is_some_and(|first| now - first >= VersionHistory::SETTLE_TIME)
    }
}

struct SimulatedStream {
    id: StreamId,
    begun: Instant,
    version: usize,
}

#[derive(Default, Debug)]
struct TryCounts {
    by_notice: usize,
    by_sole: usize,
    refused: usize,
}

struct SimulatedFleet {
    now: Instant,
    rng: StdRng,
    troubles: FleetTroubles,
    listed: Vec<usize>,
    /// When each version was listed or removed last.
    changed: [Instant; VERSIONS.len()],
    daemons: Vec<SimulatedDaemon>,
    streams: Vec<SimulatedStream>,
    /// Notices under way, with the time of arrival and the position of the receiver.
    notices: Vec<(Instant, usize, OriginNotice)>,
    next_id: u64,
    counts: TryCounts,
}

fn origin(version: usize) -> OriginKey {
    OriginKey::of(SERVICE, VERSIONS[version])
}

impl SimulatedFleet {
    fn new(seed: u64, troubles: FleetTroubles) -> Self {
        let now = Instant::now();
        Self {
            now,
            rng: StdRng::seed_from_u64(seed),
            troubles,
            listed: vec![0],
            changed: [now; VERSIONS.len()],
            daemons: (0..DAEMONS)
                .map(|index| SimulatedDaemon::start(index, now))
                .collect(),
            streams: Vec::new(),
            notices: Vec::new(),
            next_id: 0,
            counts: TryCounts::default(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        if self.rng.random_bool(self.troubles.release) {
            self.change_versions();
        }
        if self.rng.random_bool(self.troubles.restart) {
            let index = self.rng.random_range(0..DAEMONS);
            self.daemons[index] = SimulatedDaemon::start(index, now);
        }
        for daemon in &mut self.daemons {
            if daemon.next_read <= now {
                daemon.read(&self.listed, &mut self.rng, now);
            }
            daemon.origins.expire(now);
        }
        self.deliver();
        self.pulse();
        self.begin_stream();
        for index in 0..DAEMONS {
            self.tell(index);
        }
        self.try_again();
        self.streams
            .retain(|stream| now - stream.begun < STREAM_LIFE);
    }

    fn change_versions(&mut self) {
        let count = self.rng.random_range(1..=2);
        for _ in 0..count {
            let version = self.rng.random_range(0..VERSIONS.len());
            if self.now - self.changed[version] < VersionHistory::SETTLE_TIME {
                continue;
            }
            self.changed[version] = self.now;
            match self.listed.iter().position(|listed| *listed == version) {
                Some(index) => drop(self.listed.swap_remove(index)),
                None => self.listed.push(version),
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.notices.extract_if(.., |(at, _, _)| *at <= now);
        for (_, index, notice) in due {
            self.daemons[index].origins.apply(notice, now);
        }
    }

    fn pulse(&mut self) {
        let from = self.rng.random_range(0..DAEMONS);
        let report = self.daemons[from].history.report(self.now);
        for index in (0..DAEMONS).filter(|index| *index != from) {
            if !self.rng.random_bool(self.troubles.loss) {
                self.daemons[index].history.apply(&report, self.now);
            }
        }
    }

    fn begin_stream(&mut self) {
        let now = self.now;
        let daemon = &mut self.daemons[self.rng.random_range(0..DAEMONS)];
        let Some(version) = daemon.listed.choose(&mut self.rng).copied() else {
            return;
        };
        let is_settled = daemon.history.settled(SERVICE, VERSIONS[version], now);
        if !is_settled || !daemon.begins_streams(now) {
            return;
        }
        let id = StreamId(self.next_id);
        self.next_id += 1;
        let until = now + STREAM_LIFE;
        { &mut daemon.origins }.note_begun(id, origin(version), until, false);
        self.streams.push(SimulatedStream {
            id,
            begun: now,
            version,
        });
    }

    /// Sends the notices of a daemon's streams, once it knows of several versions.
    fn tell(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if !daemon.history.is_mixed(SERVICE, now) {
            return;
        }
        let origins = [origin(0), origin(1), origin(2)];
        for notice in daemon.origins.take_untold(&origins, now) {
            for holder in self.holders(index, notice.stream) {
                if !self.rng.random_bool(self.troubles.loss) {
                    let delay = Duration::from_millis(self.rng.random_range(0..3_000));
                    self.notices.push((now + delay, holder, notice));
                }
            }
        }
    }

    fn holders(&self, own: usize, stream: StreamId) -> Vec<usize> {
        let others: Vec<_> = (0..DAEMONS).filter(|index| *index != own).collect();
        let members = others.iter().map(|index| &self.daemons[*index]);
        let members: Vec<_> = members.map(|daemon| (&daemon.name, &daemon.zone)).collect();
        let daemon = &self.daemons[own];
        let holders = holders(stream, (&daemon.name, &daemon.zone), &members);
        holders
            .into_iter()
            .map(|position| others[position])
            .collect()
    }

    /// Lets a caller try again at any daemon, which goes on, with the stream's origin or the only version, or refuses.
    fn try_again(&mut self) {
        let now = self.now;
        let Some(stream) = self.streams.choose(&mut self.rng) else {
            return;
        };
        let index = self.rng.random_range(0..DAEMONS);
        let mut known = self.daemons[index].origins.find(stream.id, now);
        for holder in self.holders(index, stream.id) {
            if !self.rng.random_bool(self.troubles.loss) {
                known = known.merge(self.daemons[holder].origins.find(stream.id, now));
            }
        }
        let daemon = &mut self.daemons[index];
        let chosen = match known {
            KnownOrigin::Known(key) => {
                self.counts.by_notice += 1;
                Some(key)
            }
            KnownOrigin::Unknown => {
                let sole = daemon.history.sole(SERVICE, SOLE_AGE, now);
                self.counts.by_sole += usize::from(sole.is_some());
                sole.map(|software| OriginKey::of(SERVICE, &software))
            }
            KnownOrigin::Conflicting => None,
        };
        let Some(chosen) = chosen else {
            self.counts.refused += 1;
            return;
        };
        assert_eq!(
            chosen,
            origin(stream.version),
            "{known:?}, begun {:?} ago",
            now - stream.begun
        );
        let until = stream.begun + STREAM_LIFE;
        { &mut daemon.origins }.note_begun(stream.id, chosen, until, false);
    }
}

#[test]
fn no_stream_has_events_of_two_versions() {
    let mut counts = TryCounts::default();
    for seed in 0..120 {
        let troubles = FleetTroubles {
            loss: [0.0, 0.3, 1.0][seed as usize % 3],
            release: [0.002, 0.01, 0.05][seed as usize / 3 % 3],
            restart: [0.001, 0.02][seed as usize / 9 % 2],
        };
        let mut fleet = SimulatedFleet::new(seed, troubles);
        for _ in 0..3_000 {
            fleet.step();
        }
        counts.by_notice += fleet.counts.by_notice;
        counts.by_sole += fleet.counts.by_sole;
        counts.refused += fleet.counts.refused;
    }
    println!("{counts:?}");
    assert!(counts.by_notice > 1_000 && counts.by_sole > 1_000 && counts.refused > 1_000);
}

/// Guards against streams that are refused, or told, in a fleet with one version, also while daemons restart.
#[test]
fn one_version_needs_no_notices() {
    for seed in 0..20 {
        let troubles = FleetTroubles {
            loss: 0.0,
            release: 0.0,
            restart: 0.0,
        };
        let mut fleet = SimulatedFleet::new(seed, troubles);
        for _ in 0..1_000 {
            fleet.step();
        }
        fleet.counts = TryCounts::default();
        for restarted in 0..4 * DAEMONS {
            let index = restarted % DAEMONS;
            fleet.daemons[index] = SimulatedDaemon::start(index, fleet.now);
            fleet.daemons[index].read(&[0], &mut fleet.rng, fleet.now);
            let known = { 0..DAEMONS }.find(|other| *other != index).unwrap();
            let report = fleet.daemons[known].history.report(fleet.now);
            fleet.daemons[index].history.apply(&report, fleet.now);
            for _ in 0..20 {
                fleet.step();
            }
        }
        assert_eq!(fleet.counts.refused, 0, "seed {seed}");
        assert!(fleet.counts.by_sole > 100, "seed {seed}");
        assert!(fleet.notices.is_empty(), "seed {seed}");
    }
}
