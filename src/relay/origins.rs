//! Which software wrote the first event of each stream, as far as this daemon knows, and which daemons know it of a stream.
//!
//! A broken stream may only go on at a backend server with the software that began it, and any daemon may get the
//! caller's next try. So while servers with several versions of a service's software run, a daemon tells the streams
//! that it begins to a few others, which any daemon finds from the stream's id.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Longest time for which the origin of a stream is remembered.
pub(super) const MAX_LIFE: Duration = Duration::from_secs(600);
/// Number of daemons in the teller's own zone that know of a stream.
const ZONE_HOLDERS: usize = 2;
/// Number of zones of which one daemon each knows of a stream, whatever the zone of the teller.
const HOLDER_ZONES: usize = 2;

/// A stream of answers to one request of a team, over all tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream of the request `request_id`, which the caller chose. The same request id of another
    /// team, or of a caller without a team, gives another stream.
    pub fn of(team: Option<&str>, request_id: &str) -> Self {
        Self(hash_pair(team.map(str::as_bytes), request_id))
    }
}

/// The software that wrote the first event of a stream, as a hash of the service and the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OriginKey(pub u64);

impl OriginKey {
    /// Returns the key of version `software` of `service`.
    pub fn of(service: &str, software: &str) -> Self {
        Self(hash_pair(Some(service.as_bytes()), software))
    }
}

/// A daemon's notice of which software began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    pub stream: StreamId,
    pub origin: OriginKey,
    /// Time for which the notice holds, in milliseconds.
    pub life_ms: u32,
}

impl OriginNotice {
    /// Returns whether the notice holds for at most ten minutes.
    pub fn is_valid(&self) -> bool {
        self.life() <= MAX_LIFE
    }

    fn life(&self) -> Duration {
        Duration::from_millis(self.life_ms.into())
    }
}

/// What is known about the software that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownOrigin {
    Unknown,
    Known(OriginKey),
    /// Several versions were named, so none of them is certain.
    Conflicting,
}

impl KnownOrigin {
    /// Returns what is known from two sources. Commutative, associative and idempotent.
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Known(origin), Self::Known(named)) if origin == named => self,
            _ => Self::Conflicting,
        }
    }
}

#[derive(Debug)]
struct OriginEntry {
    origin: KnownOrigin,
    until: Instant,
    /// Origins, found by this daemon, that other daemons have not been told.
    untold: Vec<OriginKey>,
}

/// The software that began each stream. Holds a limited number of streams; the one that ends first is dropped for another.
#[derive(Debug)]
pub struct OriginTable {
    capacity: usize,
    entries: HashMap<StreamId, OriginEntry>,
    /// The streams of `entries` by the time at which they are forgotten.
    ends: BTreeSet<(Instant, StreamId)>,
    /// The untold origins of `entries`.
    untold: BTreeSet<(OriginKey, StreamId)>,
}

impl OriginTable {
    /// Returns an empty table for up to `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            ends: BTreeSet::new(),
            untold: BTreeSet::new(),
        }
    }

    /// Records that `origin` wrote the first event of a stream that this daemon began or took up, to be known until
    /// `until`. `is_told` is whether the stream's holders have been told.
    pub fn note_begun(
        &mut self,
        stream: StreamId,
        origin: OriginKey,
        until: Instant,
        is_told: bool,
    ) {
        self.merge(stream, origin, until);
        if is_told {
            return;
        }
        // The entry may have been dropped again for want of room.
        if let Some(entry) = self.entries.get_mut(&stream)
            && self.untold.insert((origin, stream))
        {
            entry.untold.push(origin);
        }
    }

    /// Applies a notice of another daemon. A repeated notice lengthens the time for which the stream is known and never
    /// shortens it. Invalid notices and those that no longer hold are ignored.
    pub fn apply(&mut self, notice: OriginNotice, now: Instant) {
        if notice.life_ms == 0 || !notice.is_valid() {
            return;
        }
        let entry = self.entries.get(&notice.stream);
        if entry.is_some_and(|entry| entry.until <= now) {
            self.remove(notice.stream);
        }
        self.merge(notice.stream, notice.origin, now + notice.life());
    }

    /// Returns what is known about the software that began a stream.
    pub fn find(&self, stream: StreamId, now: Instant) -> KnownOrigin {
        let entry = self.entries.get(&stream);
        let entry = entry.filter(|entry| entry.until > now);
        entry.map_or(KnownOrigin::Unknown, |entry| entry.origin)
    }

    /// Takes the notices of this daemon's streams that one of `origins` began and that others have not been told. They
    /// count as told from then on.
    pub fn take_untold(&mut self, origins: &[OriginKey], now: Instant) -> Vec<OriginNotice> {
        let mut notices = Vec::new();
        for origin in origins {
            let range = (*origin, StreamId(u64::MIN))..=(*origin, StreamId(u64::MAX));
            let taken: Vec<_> = self.untold.range(range).copied().collect();
            for pair in taken {
                self.untold.remove(&pair);
                let (origin, stream) = pair;
                let Some(entry) = self.entries.get_mut(&stream) else {
                    continue;
                };
                entry.untold.retain(|untold| *untold != origin);
                let life = entry.until.saturating_duration_since(now).min(MAX_LIFE);
                // Cannot truncate, given the maximum life.
                let life_ms = life.as_millis() as u32;
                if life_ms > 0 {
                    notices.push(OriginNotice {
                        stream,
                        origin,
                        life_ms,
                    });
                }
            }
        }
        notices
    }

    /// Forgets the streams that are known until `now` at the latest.
    pub fn expire(&mut self, now: Instant) {
        while let Some((until, stream)) = self.ends.first().copied()
            && until <= now
        {
            self.remove(stream);
        }
    }

    /// Returns the number of streams in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table holds no stream.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn merge(&mut self, stream: StreamId, origin: OriginKey, until: Instant) {
        let entry = self.entries.entry(stream).or_insert(OriginEntry {
            origin: KnownOrigin::Unknown,
            until,
            untold: Vec::new(),
        });
        entry.origin = entry.origin.merge(KnownOrigin::Known(origin));
        let end = entry.until.max(until);
        if end != entry.until {
            self.ends.remove(&(entry.until, stream));
            entry.until = end;
        }
        self.ends.insert((end, stream));
        if self.entries.len() > self.capacity
            && let Some((_, first)) = self.ends.first().copied()
        {
            self.remove(first);
        }
    }

    fn remove(&mut self, stream: StreamId) {
        let Some(entry) = self.entries.remove(&stream) else {
            return;
        };
        self.ends.remove(&(entry.until, stream));
        for origin in entry.untold {
            self.untold.remove(&(origin, stream));
        }
    }
}

/// Returns the positions in `members` of the daemons that are told of a stream or asked for it by the daemon `own`, which
/// `members` does not contain. All are given with name and zone.
///
/// These are the first two daemons of the own zone, and the first daemon of each of the first two zones of all, by ranks
/// that depend on the stream. So daemons of one zone find each other's streams while the zone is cut off, and daemons of
/// different zones find them otherwise. The own daemon has its rank like any other but is not returned.
pub fn holders(
    stream: StreamId,
    own: (&str, &str),
    members: &[(&SmolStr, &SmolStr)],
) -> Vec<usize> {
    let daemons = members.iter().enumerate();
    let daemons = daemons.map(|(index, (name, zone))| (Some(index), name.as_str(), zone.as_str()));
    let daemons = daemons.chain([(None, own.0, own.1)]);
    let zones = daemons.clone().map(|(_, _, zone)| zone);
    let first_zones = first_ranked::<HOLDER_ZONES, _>(stream, zones.map(|zone| (zone, zone)));

    let ranked = |zone| {
        let daemons = daemons.clone().filter(move |(_, _, other)| *other == zone);
        daemons.map(|(index, name, _)| (name, index))
    };
    let own_zone = first_ranked::<ZONE_HOLDERS, _>(stream, ranked(own.1));
    let first_zones = first_zones.into_iter().flatten();
    let others = first_zones.flat_map(|zone| first_ranked::<1, _>(stream, ranked(zone)));
    let mut holders = Vec::with_capacity(ZONE_HOLDERS + HOLDER_ZONES);
    for index in own_zone.into_iter().chain(others).flatten().flatten() {
        if !holders.contains(&index) {
            holders.push(index);
        }
    }
    holders
}

/// Returns the values of the first `N` different names by the stream's rank.
fn first_ranked<'a, const N: usize, T: Copy>(
    stream: StreamId,
    named: impl Iterator<Item = (&'a str, T)>,
) -> [Option<T>; N] {
    let mut first: [Option<(u64, &str, T)>; N] = [None; N];
    for (name, value) in named {
        let mut next = (xxh3_64_with_seed(name.as_bytes(), stream.0), name, value);
        for slot in &mut first {
            match slot {
                None => {
                    *slot = Some(next);
                    break;
                }
                Some(held) if held.1 == next.1 => break,
                Some(held) if (next.0, next.1) < (held.0, held.1) => {
                    std::mem::swap(held, &mut next);
                }
                Some(_) => {}
            }
        }
    }
    first.map(|slot| slot.map(|(_, _, value)| value))
}

/// Hashes two texts so that no boundary between them can be shifted.
fn hash_pair(first: Option<&[u8]>, second: &str) -> u64 {
    xxh3_64_with_seed(second.as_bytes(), first.map_or(0, xxh3_64))
}
