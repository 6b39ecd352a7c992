//! Remembers which software began each stream, and exchanges that with other daemons while several versions serve.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::relay::fleet::RelayFleet;
use crate::relay::origins::{
    KnownOrigin, MAX_LIFE, OriginKey, OriginNotice, OriginTable, StreamId, holders,
};
use crate::relay::registry::DaemonRegistry;

/// Maximum number of streams whose origin is remembered.
const MAX_STREAMS: usize = 16_384;
/// Added to a caller's deadline, for a try that is on its way when the deadline passes.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

/// A question to other daemons of which software began a stream.
#[derive(Debug)]
pub struct OriginQuestion {
    pub stream: StreamId,
    /// Peer addresses of the daemons that are asked.
    pub holders: Vec<SocketAddr>,
    pub reply: oneshot::Sender<KnownOrigin>,
}

/// The first event of a stream, or of its continuation.
#[derive(Clone, Copy, Debug)]
pub struct StreamStart<'a> {
    pub stream: StreamId,
    pub service: &'a SmolStr,
    pub software: &'a SmolStr,
    /// Until when the caller waits.
    pub deadline: Instant,
}

/// Remembers which software began each stream. Share it in an [`Arc`].
pub struct StreamOrigins {
    fleet: Arc<RelayFleet>,
    registry: Arc<DaemonRegistry>,
    table: Mutex<OriginTable>,
    /// Notices that have not been sent.
    outgoing: Mutex<Vec<(SocketAddr, OriginNotice)>>,
    queued: Notify,
    questions: mpsc::UnboundedSender<OriginQuestion>,
}

impl StreamOrigins {
    /// Creates an empty memory. The receiver gets the questions to other daemons.
    pub fn open(
        fleet: Arc<RelayFleet>,
        registry: Arc<DaemonRegistry>,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<OriginQuestion>) {
        let (questions, receiver) = mpsc::unbounded_channel();
        let origins = Self {
            fleet,
            registry,
            table: Mutex::new(OriginTable::new(MAX_STREAMS)),
            outgoing: Mutex::default(),
            queued: Notify::new(),
            questions,
        };
        (Arc::new(origins), receiver)
    }

    /// Records that a server has begun a stream or gone on with one. Must be called before the first event is forwarded.
    /// Returns whether other daemons are told, as several versions of the service may serve.
    pub fn begin(&self, start: StreamStart<'_>) -> bool {
        let now = Instant::now();
        let is_mixed = self.fleet.is_mixed(start.service, now);
        let origin = OriginKey::of(start.service, start.software);
        let until = (start.deadline + DEADLINE_MARGIN).min(now + MAX_LIFE);
        self.table()
            .note_begun(start.stream, origin, until, is_mixed);
        if is_mixed {
            let life = until.saturating_duration_since(now);
            self.tell(&[OriginNotice {
                stream: start.stream,
                origin,
                life_ms: u32::try_from(life.as_millis()).unwrap_or(u32::MAX),
            }]);
        }
        is_mixed
    }

    /// Returns what this daemon knows about the software that began a stream.
    pub fn find(&self, stream: StreamId) -> KnownOrigin {
        self.table().find(stream, Instant::now())
    }

    /// Asks the daemons that may have been told of a stream.
    pub async fn ask(&self, stream: StreamId) -> KnownOrigin {
        let holders = self.holders(stream).into_iter();
        let (reply, answer) = oneshot::channel();
        let question = OriginQuestion {
            stream,
            holders: holders.map(|(peer, _)| peer).collect(),
            reply,
        };
        if question.holders.is_empty() || self.questions.send(question).is_err() {
            return KnownOrigin::Unknown;
        }
        answer.await.unwrap_or(KnownOrigin::Unknown)
    }

    /// Applies the notices of another daemon.
    pub fn apply(&self, notices: &[OriginNotice], now: Instant) {
        let mut table = self.table();
        for notice in notices {
            table.apply(*notice, now);
        }
    }

    /// Forgets streams that have ended, and tells of those that began before a second version of their service was known.
    pub fn tick(&self, now: Instant) {
        let origins = self.fleet.mixed_origins(now);
        let mut table = self.table();
        table.expire(now);
        let notices = match origins.is_empty() {
            true => Vec::new(),
            false => table.take_untold(&origins, now),
        };
        drop(table);
        if !notices.is_empty() {
            log::info!(
                "{} streams began before several software versions served; other daemons are told",
                notices.len()
            );
            self.tell(&notices);
        }
    }

    /// Waits for notices, grouped by the pulse address of their receiver, and takes them. May be cancelled without loss.
    pub async fn take_notices(&self) -> HashMap<SocketAddr, Vec<OriginNotice>> {
        loop {
            let taken = std::mem::take(&mut *self.outgoing());
            if taken.is_empty() {
                self.queued.notified().await;
                continue;
            }
            let mut notices: HashMap<SocketAddr, Vec<OriginNotice>> = HashMap::new();
            for (address, notice) in taken {
                notices.entry(address).or_default().push(notice);
            }
            return notices;
        }
    }

    fn tell(&self, notices: &[OriginNotice]) {
        for notice in notices {
            let holders = self.holders(notice.stream).into_iter();
            self.outgoing()
                .extend(holders.map(|(_, pulse)| (pulse, *notice)));
        }
        self.queued.notify_one();
    }

    /// Returns the peer and pulse addresses of the daemons that are told of a stream.
    fn holders(&self, stream: StreamId) -> Vec<(SocketAddr, SocketAddr)> {
        let peers = self.registry.peers();
        let members: Vec<_> = peers
            .iter()
            .map(|(name, record)| (name, &record.zone))
            .collect();
        let (name, record) = self.registry.own_registration();
        let positions = holders(stream, (name, &record.zone), &members).into_iter();
        let records = positions.map(|position| &peers[position].1);
        records.map(|record| (record.peer, record.pulse)).collect()
    }

    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outgoing(&self) -> MutexGuard<'_, Vec<(SocketAddr, OriginNotice)>> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
