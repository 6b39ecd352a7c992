//! A daemon that started read the list of servers from the store and then applied an older copy of another daemon, which
//! listed a server again that had gone. No later change of the store corrected that.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::relay::{
    CopySource, FetchHistory, ListPosition, RelayFleet, ServerChange, ServerDelta, ServerEntry,
    TableCopy,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn server(index: u64, leaving: bool) -> ServerEntry {
    ServerEntry {
        id: format!("i-{index}").into(),
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "north".into(),
        software: "v1".into(),
        slots: 6,
        leaving,
        models: Vec::new(),
        born_ms: 1_000,
        seq: 1,
        cold_left: Duration::ZERO,
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn at(offset: u64) -> ListPosition {
    ListPosition {
        offset: LogOffset(offset),
        ..ListPosition::default()
    }
}

fn copy(position: u64, servers: Vec<ServerEntry>) -> Vec<ServerChange> {
    let delta = ServerDelta {
        position: at(position),
        is_snapshot: true,
        changed: servers,
        ..ServerDelta::default()
    };
    delta.into_changes()
}

/// The listed servers by id, and whether they are leaving.
fn listed(fleet: &RelayFleet) -> BTreeMap<String, bool> {
    let servers = fleet.servers().into_iter();
    servers
        .map(|server| (server.id.to_string(), server.leaving))
        .collect()
}

/// Guards against a copy that undoes what a daemon has read itself: a removal, a departure or a registration.
#[test]
fn older_copy_does_not_undo_a_newer_read() {
    let now = Instant::now();
    let fleet = RelayFleet::new();
    let read = vec![server(1, true), server(3, false)];
    fleet.apply(copy(100, read), now);
    let known = listed(&fleet);
    let older = vec![server(1, false), server(2, false)];
    fleet.apply(copy(90, older), now);
    assert_eq!(listed(&fleet), known);
    let removal = ServerDelta {
        position: at(97),
        removed: vec!["i-3".into()],
        ..ServerDelta::default()
    };
    fleet.apply(removal.into_changes(), now);
    assert_eq!(listed(&fleet), known);
}

/// Guards against ignoring a copy that is newer than what a daemon has read.
#[test]
fn newer_copy_changes_the_list() {
    let now = Instant::now();
    let fleet = RelayFleet::new();
    fleet.apply(copy(100, vec![server(1, false), server(3, false)]), now);
    let newer = vec![server(1, true), server(2, false)];
    fleet.apply(copy(110, newer), now);
    let expected = [("i-1".to_owned(), true), ("i-2".to_owned(), false)];
    assert_eq!(listed(&fleet), expected.into());
}

/// Guards against ignoring the records of a restored store, whose offsets begin anew.
#[test]
fn offsets_of_an_earlier_era_are_not_compared() {
    let now = Instant::now();
    let fleet = RelayFleet::new();
    fleet.apply(copy(100, vec![server(1, false)]), now);
    let later = now + Duration::from_secs(1);
    let put = vec![
        ServerChange::Era(StoreEra(1)),
        ServerChange::Position(LogOffset(6)),
        ServerChange::Put(server(1, true)),
        ServerChange::Position(LogOffset(7)),
        ServerChange::Put(server(2, false)),
    ];
    fleet.apply(put, later);
    let expected = [("i-1".to_owned(), true), ("i-2".to_owned(), false)];
    assert_eq!(listed(&fleet), expected.into());
}

const SERVERS: u64 = 6;
const DAEMONS: usize = 3;
const STEPS: usize = 300;

/// The records of the servers: whether the server is leaving, or `None` if the record removes it.
type ServerLog = Vec<(u64, Option<bool>)>;

/// Records that were read and not yet applied.
struct Arrival {
    changes: Vec<ServerChange>,
    /// Offset of the next read.
    next: Option<usize>,
}

/// A copy of another daemon's list that was not applied yet.
struct CopyArrival {
    copy: TableCopy,
    source: CopySource,
    /// Position of the list when the copy was requested.
    base: ListPosition,
}

/// A daemon that reads the store and copies the lists of others, with answers that arrive late.
struct Daemon {
    /// Changes with each start.
    vm: VmId,
    fleet: RelayFleet,
    next: Option<usize>,
    history: FetchHistory,
    read: Option<Arrival>,
    copy: Option<CopyArrival>,
}

impl Daemon {
    fn start(vm: u64) -> Self {
        Self {
            vm: VmId(vm),
            fleet: RelayFleet::new(),
            next: None,
            history: FetchHistory::default(),
            read: None,
            copy: None,
        }
    }

    fn read(&mut self, log: &ServerLog) {
        let end = LogOffset(log.len() as u64);
        let changes = match self.next {
            None => {
                let servers = newest(log, log.len()).into_iter();
                let servers = servers.map(|(index, leaving)| server(index, leaving));
                vec![
                    ServerChange::Position(end),
                    ServerChange::Snapshot(servers.collect()),
                ]
            }
            Some(from) => {
                let records = log.iter().enumerate().skip(from);
                records
                    .flat_map(|(offset, (index, leaving))| {
                        let offset = offset as u64;
                        let change = match leaving {
                            Some(leaving) => ServerChange::Put(server(*index, *leaving)),
                            None => ServerChange::Removed(format!("i-{index}").into()),
                        };
                        [ServerChange::Position(LogOffset(offset + 1)), change]
                    })
                    .collect()
            }
        };
        self.read = Some(Arrival {
            changes,
            next: Some(log.len()),
        });
    }

    fn ask(&mut self, vm: VmId, fleet: &RelayFleet, now: Instant) {
        let source = CopySource {
            vm,
            peer: SocketAddr::from(([127, 0, 0, 1], 1)),
            version: fleet.version(),
        };
        let base = self.fleet.position();
        let request = self.history.request(source, base, now);
        let copy = TableCopy {
            servers: fleet.changes_since(request.servers_version),
            daemons: None,
        };
        self.copy = Some(CopyArrival { copy, source, base });
    }

    fn apply_read(&mut self, arrival: Arrival, now: Instant) {
        self.fleet.apply(arrival.changes, now);
        self.next = arrival.next;
    }

    fn apply_copy(&mut self, arrival: CopyArrival, now: Instant) {
        let CopyArrival { copy, source, base } = arrival;
        self.history.note_fetch(source, &copy, now);
        if !self.fleet.apply_copy(copy.servers, base, now) {
            self.history.clear();
        }
    }
}

/// Returns the newest record before `end` of each server that has one.
fn newest(log: &ServerLog, end: usize) -> BTreeMap<u64, bool> {
    let mut servers = BTreeMap::new();
    for (index, leaving) in &log[..end] {
        match leaving {
            Some(leaving) => servers.insert(*index, *leaving),
            None => servers.remove(index),
        };
    }
    servers
}

/// Guards against any order of reads and copies, with answers that arrive late and daemons that restart, after which a
/// list is not that of the store at its position, or goes back.
#[test]
fn list_follows_the_log_however_reads_and_copies_interleave() {
    let now = Instant::now();
    for seed in 0..400 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut log: ServerLog = Vec::new();
        let mut daemons: Vec<Daemon> = (0..DAEMONS as u64).map(Daemon::start).collect();
        for step in 0..STEPS {
            let index = random.random_range(0..DAEMONS);
            let before = daemons[index].fleet.position();
            let mut restarted = false;
            match random.random_range(0..100) {
                0..35 => {
                    let leaving = [Some(false), Some(false), Some(true), None];
                    let leaving = leaving[random.random_range(0..leaving.len())];
                    log.push((random.random_range(0..SERVERS), leaving));
                }
                35..55 if daemons[index].read.is_none() => daemons[index].read(&log),
                55..70 if daemons[index].copy.is_none() => {
                    let source = (index + random.random_range(1..DAEMONS)) % DAEMONS;
                    let mut daemon = std::mem::replace(&mut daemons[index], Daemon::start(0));
                    daemon.ask(daemons[source].vm, &daemons[source].fleet, now);
                    daemons[index] = daemon;
                }
                70..82 => {
                    if let Some(arrival) = daemons[index].read.take() {
                        daemons[index].apply_read(arrival, now);
                    }
                }
                82..94 => {
                    if let Some(arrival) = daemons[index].copy.take() {
                        daemons[index].apply_copy(arrival, now);
                    }
                }
                94..97 => daemons[index].next = None,
                97 => {
                    daemons[index] = Daemon::start((1 + step * DAEMONS + index) as u64 * 100);
                    restarted = true;
                }
                _ => {}
            }
            let position = daemons[index].fleet.position();
            assert!(
                restarted || position.offset >= before.offset,
                "seed {seed}, step {step}"
            );
            let expected = newest(&log, position.offset.0 as usize).into_iter();
            let expected = expected.map(|(index, leaving)| (format!("i-{index}"), leaving));
            assert_eq!(
                listed(&daemons[index].fleet),
                expected.collect(),
                "seed {seed}, step {step}"
            );
        }
    }
}
