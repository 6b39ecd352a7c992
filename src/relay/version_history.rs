//! Which versions of each service's software the backend servers ran lately, as listed in their records.
//!
//! A stream whose first writer nobody remembers may go on only if a single version can have written it. A list that shows
//! one version now says nothing about one that has just gone, so versions are remembered for a while, and a daemon that
//! has just started learns from its peers what was listed before.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum number of versions in one report, which must fit into a datagram.
const MAX_NOTICES: usize = 64;

/// A version of a service's software that a daemon saw listed, by hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNotice {
    pub service: u32,
    pub software: u32,
    /// Time since it was listed last, in milliseconds.
    pub age_ms: u32,
}

impl VersionNotice {
    fn is_recent(&self) -> bool {
        Duration::from_millis(self.age_ms.into()) <= VersionHistory::MAX_AGE
    }
}

/// What a daemon tells its peers about the versions that it saw listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Time for which the daemon knows all versions that were listed, in milliseconds.
    pub known_for_ms: u32,
    /// The versions that are listed, as a digest.
    pub listed: u64,
    /// The versions of the services that had another version than the listed one in that time.
    pub mixed: Vec<VersionNotice>,
}

impl VersionReport {
    /// Returns whether the report is within its bounds of size and age.
    pub fn is_valid(&self) -> bool {
        Duration::from_millis(self.known_for_ms.into()) <= VersionHistory::MAX_AGE
            && self.mixed.len() <= MAX_NOTICES
            && self.mixed.iter().all(VersionNotice::is_recent)
    }
}

/// A report with the time of its writing, for the store, which keeps it after its daemon has gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatedReport {
    report: VersionReport,
    /// Time of day, in milliseconds since the Unix epoch.
    written_ms: u64,
}

impl DatedReport {
    /// Age up to which a report shows since when all versions are known. Daemons write their records more often than that,
    /// so that an older one is of a daemon that has ended or cannot write, while others may have seen more.
    const MAX_KNOWN_AGE: Duration = Duration::from_secs(30);
    /// Longest time by which the clock of the daemon that wrote a report may be ahead.
    const CLOCK_MARGIN: Duration = Duration::from_secs(5);

    /// Returns a report that is written at `today`.
    pub fn new(report: VersionReport, today: SystemTime) -> Self {
        let since_epoch = today.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            report,
            written_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the report with its ages as of `today`. An invalid one says nothing, nor does one that was written longer ago
    /// than versions are remembered, or that is ahead of the clock.
    pub fn at(&self, today: SystemTime) -> VersionReport {
        let age = self
            .age(today)
            .filter(|age| *age <= VersionHistory::MAX_AGE);
        let Some(age) = age.filter(|_| self.report.is_valid()) else {
            return VersionReport::default();
        };
        let mut report = self.report.clone();
        if age > Self::MAX_KNOWN_AGE {
            report.known_for_ms = 0;
        }
        for notice in &mut report.mixed {
            // Cannot truncate, given the maximum age.
            notice.age_ms += age.as_millis() as u32;
        }
        report.mixed.retain(VersionNotice::is_recent);
        report
    }

    /// Returns the time since the report was written; `None` if it is ahead of the clock.
    fn age(&self, today: SystemTime) -> Option<Duration> {
        let written = UNIX_EPOCH.checked_add(Duration::from_millis(self.written_ms))?;
        match today.duration_since(written) {
            Ok(age) => Some(age),
            Err(ahead) => (ahead.duration() <= Self::CLOCK_MARGIN).then_some(Duration::ZERO),
        }
    }
}

#[derive(Debug)]
struct VersionRecord {
    hash: u32,
    /// `None` for a version that only peers saw.
    name: Option<SmolStr>,
    /// When the version was listed first, as far as known.
    first: Instant,
    /// When it was listed anew, unless it had settled before; for one that peers saw first, when they did.
    since: Instant,
    /// When it was listed last.
    last: Instant,
    is_listed: bool,
    /// The update that listed it last.
    update: u64,
}

/// The versions of each service that were listed in the last minute.
#[derive(Debug)]
pub struct VersionHistory {
    /// By the hash of the service's name. Versions of services whose hashes collide count as versions of one service.
    services: HashMap<u32, Vec<VersionRecord>>,
    /// When the list was read first.
    opened: Option<Instant>,
    /// Since when all versions that were listed are known, from this daemon's list or from its peers.
    known_since: Instant,
    /// Whether no server was listed for any daemon before the first list.
    is_first_start: bool,
    updates: u64,
    /// Digest of the versions that are listed.
    listed: u64,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self::open(Instant::now())
    }
}

impl VersionHistory {
    /// Time after which all daemons have read a new version from the list of servers.
    pub const SETTLE_TIME: Duration = Duration::from_secs(3);
    /// Time for which a version that is no longer listed is remembered.
    pub const MAX_AGE: Duration = Duration::from_secs(60);

    /// Returns a history that knows nothing until the list of servers has been read.
    pub fn open(now: Instant) -> Self {
        Self {
            services: HashMap::new(),
            opened: None,
            known_since: now,
            is_first_start: false,
            updates: 0,
            listed: 0,
        }
    }

    /// Notes that the whole system starts for the first time, so that no stream began before.
    pub fn note_first_start(&mut self) {
        self.is_first_start = true;
    }

    /// Returns for how long all versions that were listed are known.
    fn known_for(&self, now: Instant) -> Duration {
        match self.is_first_start {
            true => Self::MAX_AGE,
            false => now.saturating_duration_since(self.known_since),
        }
    }

    /// Records the service and the version of all servers that are listed at `now`. A version that is missing was listed
    /// until now. The first list starts the knowledge.
    pub fn update<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a SmolStr, &'a SmolStr)>,
        now: Instant,
    ) {
        if self.opened.is_none() {
            self.opened = Some(now);
            self.known_since = now;
        }
        self.updates += 1;
        for (service, software) in listed {
            let records = self.services.entry(hash(service)).or_default();
            note_listed(records, software, self.updates, now);
        }
        self.listed = 0;
        self.services.retain(|service, records| {
            for record in records.iter_mut().filter(|record| record.is_listed) {
                record.last = now;
                record.is_listed = record.update == self.updates;
                if record.is_listed {
                    self.listed ^= digest(*service, record.hash);
                }
            }
            records.retain(|record| record.is_recent(Self::MAX_AGE, now));
            !records.is_empty()
        });
    }

    /// Returns whether other daemons know a version as well: it has been listed for [`Self::SETTLE_TIME`], or no other
    /// version of the service was listed before it. So versions in the first list that was read count as settled.
    pub fn settled(&self, service: &str, software: &str, now: Instant) -> bool {
        let mut others = self.recent(service, Self::MAX_AGE, now);
        let mut own = self.recent(service, Self::MAX_AGE, now);
        let Some(own) = own.find(|record| record.is_named(software)) else {
            return others.next().is_none();
        };
        own.listed_for(now) >= Self::SETTLE_TIME
            || !others.any(|record| record.hash != own.hash && record.first < own.since)
    }

    /// Returns whether more than one version of a service is listed or was in the last minute.
    pub fn is_mixed(&self, service: &str, now: Instant) -> bool {
        self.recent(service, Self::MAX_AGE, now).nth(1).is_some()
    }

    /// Returns whether any service has several versions.
    pub fn has_mixed(&self, now: Instant) -> bool {
        let mut services = self.services.values();
        services.any(|records| {
            let recent = records.iter();
            let mut recent = recent.filter(|record| record.is_recent(Self::MAX_AGE, now));
            recent.nth(1).is_some()
        })
    }

    /// Returns the only version of a service that was listed in the last `age`; `None` if there were several or none, or
    /// if that is not known. That is never known for more than a minute.
    pub fn sole(&self, service: &str, age: Duration, now: Instant) -> Option<SmolStr> {
        self.opened?;
        let known_for = self.known_for(now);
        if age > Self::MAX_AGE.min(known_for) {
            return None;
        }
        let mut recent = self.recent(service, age, now);
        let record = recent.next()?;
        recent.next().is_none().then(|| record.name.clone())?
    }

    /// Returns the report for this daemon's pulses.
    pub fn report(&self, now: Instant) -> VersionReport {
        let Some(known_for) = self.opened.map(|_| self.known_for(now)) else {
            return VersionReport::default();
        };
        let mut mixed = Vec::new();
        for (service, records) in &self.services {
            let recent = records.iter();
            let recent = recent.filter(|record| record.is_recent(Self::MAX_AGE, now));
            let is_single = recent.clone().nth(1).is_none();
            if !is_single || recent.clone().any(|record| !record.is_listed) {
                mixed.extend(recent.map(|record| VersionNotice {
                    service: *service,
                    software: record.hash,
                    // Cannot truncate, given the maximum age.
                    age_ms: record.age(now).as_millis() as u32,
                }));
            }
        }
        let is_complete = mixed.len() <= MAX_NOTICES;
        mixed.sort_unstable_by_key(|notice| notice.age_ms);
        mixed.truncate(MAX_NOTICES);
        VersionReport {
            // A peer that lacks versions must not rely on the report.
            known_for_ms: if is_complete {
                known_for.min(Self::MAX_AGE).as_millis() as u32
            } else {
                0
            },
            listed: self.listed,
            mixed,
        }
    }

    /// Applies a peer's report. What the peer saw counts as seen here. If the peer's list has the same versions as the own
    /// one, the knowledge reaches back as far as the peer's.
    ///
    /// A report does not name the only version of a service. A peer whose list is older may have had another one than is
    /// listed here.
    pub fn apply(&mut self, report: &VersionReport, now: Instant) {
        if !report.is_valid() {
            return;
        }
        for notice in &report.mixed {
            let age = Duration::from_millis(notice.age_ms.into());
            if let Some(seen) = now.checked_sub(age) {
                let records = self.services.entry(notice.service).or_default();
                note_seen(records, notice.software, seen);
            }
        }
        if self.opened.is_none() || report.listed != self.listed {
            return;
        }
        let known_for = Duration::from_millis(report.known_for_ms.into());
        if let Some(known_since) = now.checked_sub(known_for) {
            self.known_since = self.known_since.min(known_since);
        }
    }

    /// Returns the versions of a service that are listed or were in the last `age`.
    fn recent(
        &self,
        service: &str,
        age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &VersionRecord> {
        let records = self.services.get(&hash(service)).into_iter().flatten();
        records.filter(move |record| record.is_recent(age, now))
    }
}

impl VersionRecord {
    fn is_named(&self, software: &str) -> bool {
        self.name.as_ref().is_some_and(|name| name == software)
    }

    fn is_recent(&self, age: Duration, now: Instant) -> bool {
        self.age(now) <= age
    }

    fn age(&self, now: Instant) -> Duration {
        if self.is_listed {
            return Duration::ZERO;
        }
        now.saturating_duration_since(self.last)
    }

    fn listed_for(&self, now: Instant) -> Duration {
        let end = if self.is_listed { now } else { self.last };
        end.saturating_duration_since(self.since)
    }
}

fn note_listed(records: &mut Vec<VersionRecord>, software: &SmolStr, update: u64, now: Instant) {
    let mut named = records.iter_mut();
    if let Some(record) = named.find(|record| record.is_named(software)) {
        if !record.is_listed && record.listed_for(now) < VersionHistory::SETTLE_TIME {
            record.since = now;
        }
        record.is_listed = true;
        record.update = update;
        return;
    }
    let hash = hash(software);
    let mut seen = records.iter_mut();
    if let Some(record) = seen.find(|record| record.name.is_none() && record.hash == hash) {
        record.name = Some(software.clone());
        record.is_listed = true;
        record.update = update;
        return;
    }
    records.push(VersionRecord {
        hash,
        name: Some(software.clone()),
        first: now,
        since: now,
        last: now,
        is_listed: true,
        update,
    });
}

fn note_seen(records: &mut Vec<VersionRecord>, hash: u32, seen: Instant) {
    let mut known = records.iter_mut();
    if let Some(record) = known.find(|record| record.hash == hash) {
        record.last = record.last.max(seen);
        return;
    }
    records.push(VersionRecord {
        hash,
        name: None,
        first: seen,
        since: seen,
        last: seen,
        is_listed: false,
        update: 0,
    });
}

fn digest(service: u32, software: u32) -> u64 {
    xxh3_64_with_seed(&software.to_le_bytes(), service.into())
}

fn hash(text: &str) -> u32 {
    xxh3_64(text.as_bytes()) as u32
}
