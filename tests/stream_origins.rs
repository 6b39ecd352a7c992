//! Origins of streams: what is known of each from notices in any order, within bounds, and which daemons are told.
#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use foxtailhill::relay::{KnownOrigin, OriginKey, OriginNotice, OriginTable, StreamId, holders};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

fn notice(stream: u64, origin: u64, life_ms: u32) -> OriginNotice {
    OriginNotice {
        stream: StreamId(stream),
        origin: OriginKey(origin),
        life_ms,
    }
}

fn millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

#[test]
fn another_team_has_other_streams() {
    let ids = [
        StreamId::of(Some("oliveto"), "req-1"),
        StreamId::of(Some("olivetor"), "eq-1"),
        StreamId::of(Some("oliveto\0req"), "-1"),
        StreamId::of(Some("req-1"), "oliveto"),
        StreamId::of(Some(""), "req-1"),
        StreamId::of(None, "req-1"),
        StreamId::of(None, "olivetoreq-1"),
        StreamId::of(Some("oliveto"), ""),
        StreamId::of(None, ""),
    ];
    assert_eq!(HashSet::from(ids).len(), ids.len());
    assert_eq!(ids[0], StreamId::of(Some("oliveto"), "req-1"));
    assert_ne!(OriginKey::of("chat", "2.1"), OriginKey::of("chat2", ".1"));
    assert_eq!(OriginKey::of("chat", "2.1"), OriginKey::of("chat", "2.1"));
}

#[test]
fn merging_is_a_lattice() {
    let known = [
        KnownOrigin::Unknown,
        KnownOrigin::Known(OriginKey(1)),
        KnownOrigin::Known(OriginKey(2)),
        KnownOrigin::Conflicting,
    ];
    for a in known {
        assert_eq!(a.merge(a), a);
        assert_eq!(a.merge(KnownOrigin::Unknown), a);
        assert_eq!(a.merge(KnownOrigin::Conflicting), KnownOrigin::Conflicting);
        for b in known {
            assert_eq!(a.merge(b), b.merge(a));
            for c in known {
                assert_eq!(a.merge(b).merge(c), a.merge(b.merge(c)));
            }
        }
    }
}

#[test]
fn the_order_of_notices_does_not_matter() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let count = rng.random_range(1..20);
        let notices = (0..count).map(|_| {
            let life_ms = rng.random_range(0..4) * 1_000;
            notice(rng.random_range(0..4), rng.random_range(0..3), life_ms)
        });
        let mut notices: Vec<_> = notices.collect();
        let mut one = OriginTable::new(10);
        for notice in &notices {
            one.apply(*notice, now);
        }
        // Repeated notices change nothing either.
        notices.extend_from_within(..count / 2);
        notices.shuffle(&mut rng);
        let mut other = OriginTable::new(10);
        for notice in &notices {
            other.apply(*notice, now);
        }
        assert_eq!(one.len(), other.len(), "seed {seed}");
        for at in [0, 999, 1_000, 1_999, 2_000, 2_999, 3_000] {
            let at = now + millis(at);
            for stream in (0..4).map(StreamId) {
                assert_eq!(one.find(stream, at), other.find(stream, at), "seed {seed}");
            }
        }
    }
}

#[test]
fn conflicts_stay_until_the_stream_is_forgotten() {
    let now = Instant::now();
    let mut table = OriginTable::new(10);
    table.apply(notice(1, 1, 2_000), now);
    assert_eq!(
        table.find(StreamId(1), now),
        KnownOrigin::Known(OriginKey(1))
    );
    table.apply(notice(1, 2, 1_000), now);
    let late = now + millis(1_500);
    table.apply(notice(1, 2, 3_000), late);
    assert_eq!(table.find(StreamId(1), late), KnownOrigin::Conflicting);
    let end = late + millis(3_000);
    assert_eq!(
        table.find(StreamId(1), end - millis(1)),
        KnownOrigin::Conflicting
    );
    assert_eq!(table.find(StreamId(1), end), KnownOrigin::Unknown);
    table.apply(notice(1, 2, 1_000), end);
    assert_eq!(
        table.find(StreamId(1), end),
        KnownOrigin::Known(OriginKey(2))
    );
    table.expire(end + millis(1_000));
    assert!(table.is_empty());
}

#[test]
fn only_valid_notices_are_applied() {
    let now = Instant::now();
    let mut table = OriginTable::new(10);
    table.apply(notice(1, 1, 0), now);
    table.apply(notice(2, 1, 600_001), now);
    table.apply(notice(3, 1, u32::MAX), now);
    assert!(table.is_empty());
    assert!(notice(1, 1, 600_000).is_valid());
    assert!(!notice(1, 1, 600_001).is_valid());
    table.apply(notice(4, 1, 600_000), now);
    assert_eq!(table.len(), 1);
}

#[test]
fn own_streams_are_told_once_and_by_origin() {
    let now = Instant::now();
    let until = now + millis(5_000);
    let mut table = OriginTable::new(10);
    table.note_begun(StreamId(1), OriginKey(1), until, false);
    table.note_begun(StreamId(2), OriginKey(2), until, false);
    table.note_begun(StreamId(3), OriginKey(1), until, true);
    table.apply(notice(4, 1, 1_000), now);
    assert_eq!(table.take_untold(&[OriginKey(3)], now), []);
    let later = now + millis(1_000);
    let taken = table.take_untold(&[OriginKey(1), OriginKey(3)], later);
    assert_eq!(taken, [notice(1, 1, 4_000)]);
    assert_eq!(table.take_untold(&[OriginKey(1)], later), []);
    // The first finding was wrong: both are told, so that others find the conflict.
    table.note_begun(StreamId(2), OriginKey(1), until, false);
    let mut taken = table.take_untold(&[OriginKey(1), OriginKey(2)], later);
    taken.sort_unstable_by_key(|notice| notice.origin);
    assert_eq!(taken, [notice(2, 1, 4_000), notice(2, 2, 4_000)]);
    // Streams that have ended are not told.
    table.note_begun(StreamId(5), OriginKey(1), until, false);
    assert_eq!(table.take_untold(&[OriginKey(1)], until), []);
}

/// A table without indices.
#[derive(Default)]
struct TableModel {
    entries: HashMap<StreamId, (HashSet<OriginKey>, Instant)>,
    untold: HashSet<(OriginKey, StreamId)>,
}

impl TableModel {
    fn add(&mut self, stream: StreamId, origin: OriginKey, until: Instant, capacity: usize) {
        let entry = self.entries.entry(stream);
        let entry = entry.or_insert_with(|| (HashSet::new(), until));
        entry.0.insert(origin);
        entry.1 = entry.1.max(until);
        if self.entries.len() > capacity {
            let ends = self.entries.iter();
            let ends = ends.map(|(stream, (_, until))| (*until, *stream));
            self.forget(ends.min().unwrap().1);
        }
    }

    fn forget(&mut self, stream: StreamId) {
        self.entries.remove(&stream);
        self.untold.retain(|(_, untold)| *untold != stream);
    }

    fn find(&self, stream: StreamId, now: Instant) -> KnownOrigin {
        let entry = self.entries.get(&stream);
        let Some((origins, _)) = entry.filter(|(_, until)| *until > now) else {
            return KnownOrigin::Unknown;
        };
        match origins.len() {
            1 => KnownOrigin::Known(*origins.iter().next().unwrap()),
            _ => KnownOrigin::Conflicting,
        }
    }
}

#[test]
fn the_table_agrees_with_a_model() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let capacity = rng.random_range(0..12);
        let mut table = OriginTable::new(capacity);
        let mut model = TableModel::default();
        let mut now = Instant::now();
        for _ in 0..300 {
            now += millis(rng.random_range(0..40));
            let stream = StreamId(rng.random_range(0..20));
            let origin = OriginKey(rng.random_range(0..3));
            let life_ms = rng.random_range(0..600);
            let until = now + millis(life_ms);
            match rng.random_range(0..10) {
                0..4 => {
                    let is_told = rng.random();
                    table.note_begun(stream, origin, until, is_told);
                    model.add(stream, origin, until, capacity);
                    if !is_told && model.entries.contains_key(&stream) {
                        model.untold.insert((origin, stream));
                    }
                }
                4..8 => {
                    table.apply(notice(stream.0, origin.0, life_ms), now);
                    if life_ms > 0 {
                        let entry = model.entries.get(&stream);
                        if entry.is_some_and(|(_, until)| *until <= now) {
                            model.forget(stream);
                        }
                        model.add(stream, origin, until, capacity);
                    }
                }
                8 => {
                    let taken = table.take_untold(&[origin], now);
                    let taken: HashSet<_> = taken
                        .iter()
                        .map(|notice| (notice.origin, notice.stream))
                        .collect();
                    let mut untold = model.untold.clone();
                    untold.retain(|(untold, stream)| {
                        *untold == origin && model.entries[stream].1 > now
                    });
                    assert_eq!(taken, untold, "seed {seed}");
                    model.untold.retain(|(untold, _)| *untold != origin);
                }
                _ => {
                    table.expire(now);
                    let ended = model.entries.iter();
                    let ended = ended.filter(|(_, (_, until))| *until <= now);
                    let ended: Vec<_> = ended.map(|(stream, _)| *stream).collect();
                    for stream in ended {
                        model.forget(stream);
                    }
                }
            }
            assert!(table.len() <= capacity, "seed {seed}");
            assert_eq!(table.len(), model.entries.len(), "seed {seed}");
            for stream in (0..20).map(StreamId) {
                let found = table.find(stream, now);
                assert_eq!(found, model.find(stream, now), "seed {seed}");
            }
        }
    }
}

#[test]
fn a_full_table_drops_the_streams_that_end_first() {
    const CAPACITY: usize = 50_000;
    let now = Instant::now();
    let mut table = OriginTable::new(CAPACITY);
    for stream in 0..4 * CAPACITY as u64 {
        let until = now + Duration::from_secs(100) + Duration::from_micros(stream);
        table.note_begun(StreamId(stream), OriginKey(1), until, false);
    }
    assert_eq!(table.len(), CAPACITY);
    let oldest = 3 * CAPACITY as u64;
    assert_eq!(table.find(StreamId(oldest - 1), now), KnownOrigin::Unknown);
    assert_ne!(table.find(StreamId(oldest), now), KnownOrigin::Unknown);
    let taken = table.take_untold(&[OriginKey(1)], now);
    assert_eq!(taken.len(), CAPACITY, "dropped streams are not told");
}

type Daemon = (SmolStr, SmolStr);

/// Returns zones with `min` to nine daemons each, in any order.
fn fleet(rng: &mut StdRng, min: usize) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for zone in 0..rng.random_range(1..6) {
        for _ in 0..rng.random_range(min..10) {
            let name = format_smolstr!("vm-{:08x}", rng.random::<u32>());
            daemons.push((name, format_smolstr!("zone-{zone}")));
        }
    }
    daemons.shuffle(rng);
    daemons
}

/// Returns the daemons that know a stream that `own` tells, or that it learns from when it asks, itself included. `own`
/// does not know of the daemon `missing`.
fn reached(
    fleet: &[Daemon],
    own: &Daemon,
    missing: Option<&Daemon>,
    stream: StreamId,
) -> HashSet<SmolStr> {
    let members = fleet.iter();
    let members = members.filter(|daemon| *daemon != own && Some(*daemon) != missing);
    let members: Vec<_> = members.map(|(name, zone)| (name, zone)).collect();
    let positions = holders(stream, (&own.0, &own.1), &members);
    assert!(positions.len() <= 4);
    let unique: HashSet<_> = positions.iter().collect();
    assert_eq!(unique.len(), positions.len());
    let names = positions.iter().map(|index| members[*index].0.clone());
    names.chain([own.0.clone()]).collect()
}

/// Two daemons, and a third one, of a fleet.
fn picks<'a>(fleet: &'a [Daemon], rng: &mut StdRng) -> [&'a Daemon; 3] {
    std::array::from_fn(|_| &fleet[rng.random_range(0..fleet.len())])
}

#[test]
fn daemons_of_one_zone_find_each_others_streams() {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let fleet = fleet(&mut rng, 3);
        let stream = StreamId(rng.random());
        let [teller, asker, _] = picks(&fleet, &mut rng);
        if teller.1 != asker.1 {
            continue;
        }
        let told = reached(&fleet, teller, None, stream);
        let asked = reached(&fleet, asker, None, stream);
        // Other zones are cut off, and one of the zone's daemons is lost.
        let zone: Vec<_> = fleet.iter().filter(|daemon| daemon.1 == teller.1).collect();
        let common = zone.iter().filter(|daemon| told.contains(&daemon.0));
        let common = common.filter(|daemon| asked.contains(&daemon.0)).count();
        assert!(common >= 2, "seed {seed}");
        // Each of the two may know nothing of one other daemon.
        let lacking = |own: &Daemon, other: &Daemon, rng: &mut StdRng| {
            let missing = zone[rng.random_range(0..zone.len())];
            (missing != own && missing != other).then_some(missing.clone())
        };
        let unknown = lacking(teller, asker, &mut rng);
        let told = reached(&fleet, teller, unknown.as_ref(), stream);
        let unknown = lacking(asker, teller, &mut rng);
        let asked = reached(&fleet, asker, unknown.as_ref(), stream);
        let mut common = zone.iter().map(|daemon| &daemon.0);
        assert!(
            common.any(|name| told.contains(name) && asked.contains(name)),
            "seed {seed}"
        );
    }
}

#[test]
fn daemons_of_other_zones_find_streams() {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let fleet = fleet(&mut rng, 2);
        let stream = StreamId(rng.random());
        let [teller, asker, missing] = picks(&fleet, &mut rng);
        let told = reached(&fleet, teller, None, stream);
        let asked = reached(&fleet, asker, None, stream);
        assert!(told.intersection(&asked).count() >= 1, "seed {seed}");
        if missing == teller || missing == asker {
            continue;
        }
        let zones: HashSet<_> = fleet.iter().map(|(_, zone)| zone).collect();
        // One of them does not know of a daemon, which may be a holder.
        let fewer = reached(&fleet, asker, Some(missing), stream);
        if zones.len() > 1 {
            assert!(told.intersection(&fewer).count() >= 1, "seed {seed}");
        }
        let fewer = reached(&fleet, teller, Some(missing), stream);
        if zones.len() > 1 {
            assert!(fewer.intersection(&asked).count() >= 1, "seed {seed}");
        }
    }
}

#[test]
fn holders_do_not_depend_on_the_order_of_members() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = fleet(&mut rng, 1);
        let own = fleet[0].clone();
        let stream = StreamId(rng.random());
        let before = reached(&fleet, &own, None, stream);
        fleet.shuffle(&mut rng);
        assert_eq!(reached(&fleet, &own, None, stream), before, "seed {seed}");
    }
    assert!(holders(StreamId(1), ("vm-1", "zone-1"), &[]).is_empty());
}

#[test]
fn streams_are_spread_over_the_daemons() {
    let mut rng = StdRng::seed_from_u64(1);
    let names = (0..40).map(|index| format_smolstr!("vm-{index:02}"));
    let fleet: Vec<Daemon> = names.map(|name| (name, "zone-1".into())).collect();
    let mut counts: HashMap<SmolStr, usize> = HashMap::new();
    const STREAMS: usize = 4_000;
    for _ in 0..STREAMS {
        let own = fleet[rng.random_range(0..fleet.len())].clone();
        for name in reached(&fleet, &own, None, StreamId(rng.random())) {
            if name != own.0 {
                *counts.entry(name).or_default() += 1;
            }
        }
    }
    // Two holders each, so 200 for each daemon if spread evenly.
    let mean = 2 * STREAMS / fleet.len();
    assert!(counts.len() == fleet.len());
    assert!(
        counts
            .values()
            .all(|count| *count < 2 * mean && *count > mean / 2),
        "{counts:?}"
    );
}

#[test]
fn a_holder_sends_no_message_for_its_own_rank() {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let names = (0..9).map(|_| format_smolstr!("vm-{:08x}", rng.random::<u32>()));
        let fleet: Vec<Daemon> = names.map(|name| (name, "zone-1".into())).collect();
        let stream = StreamId(rng.random());
        let counts = fleet.iter().map(|own| reached(&fleet, own, None, stream));
        // The count includes the daemon itself.
        let few = counts.filter(|daemons| daemons.len() == 2).count();
        assert_eq!(few, 2, "seed {seed}");
    }
}
