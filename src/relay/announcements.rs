//! What backend servers say about themselves in their answers. It holds for one start of a server, also if its record says
//! otherwise or is listed again from an older copy.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::format_smolstr;

use crate::blame::ServerStart;
use crate::relay::server_list::ServerEntry;

/// Time for which an announcement is kept. A leaving server ends within seconds, at times later.
const KEEP_TIME: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Announcement {
    is_leaving: bool,
    paused_until: Option<Instant>,
    /// When the server last announced something.
    at: Instant,
}

/// Announcements by the start of the server that made them.
#[derive(Debug, Default)]
pub(super) struct AnnouncementTable {
    announcements: HashMap<ServerStart, Announcement>,
}

/// Returns the start that a record belongs to.
pub(super) fn server_start(entry: &ServerEntry) -> ServerStart {
    let text = format_smolstr!("{} {}", entry.id, entry.born_ms);
    ServerStart(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}

impl AnnouncementTable {
    /// Records that a server is leaving.
    pub(super) fn note_leaving(&mut self, server: ServerStart, now: Instant) {
        self.announcement(server, now).is_leaving = true;
    }

    /// Records that a server wants no request until `until`.
    pub(super) fn note_pause(&mut self, server: ServerStart, until: Instant, now: Instant) {
        let announcement = self.announcement(server, now);
        announcement.paused_until = announcement.paused_until.max(Some(until));
    }

    pub(super) fn is_leaving(&self, server: ServerStart) -> bool {
        let announcement = self.announcements.get(&server);
        announcement.is_some_and(|announcement| announcement.is_leaving)
    }

    /// Returns until when a server wants no request.
    pub(super) fn paused_until(&self, server: ServerStart, now: Instant) -> Option<Instant> {
        let until = self.announcements.get(&server)?.paused_until;
        until.filter(|until| *until > now)
    }

    /// Removes announcements that no longer matter.
    pub(super) fn expire(&mut self, now: Instant) {
        self.announcements.retain(|_, announcement| {
            let is_paused = announcement.paused_until.is_some_and(|until| until > now);
            is_paused || announcement.at + KEEP_TIME > now
        });
    }

    fn announcement(&mut self, server: ServerStart, now: Instant) -> &mut Announcement {
        let announcement = self.announcements.entry(server).or_insert(Announcement {
            is_leaving: false,
            paused_until: None,
            at: now,
        });
        announcement.at = now;
        announcement
    }
}
