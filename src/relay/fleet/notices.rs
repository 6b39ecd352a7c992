//! Applies what servers say about themselves in their answers.

use std::time::Instant;

use crate::relay::announcements::server_start;
use crate::relay::engines::LoadItem;
use crate::relay::fleet::RelayFleet;
use crate::relay::format::ServerNotice;
use crate::relay::server_list::holds_item;

impl RelayFleet {
    /// Applies what an answer of a server says about the server.
    pub fn apply_notice(&self, id: &str, notice: ServerNotice) {
        if notice == ServerNotice::default() {
            return;
        }
        let now = Instant::now();
        let mut state = self.state();
        let Some(mut entry) = state.servers.get(id).map(|server| server.entry.clone()) else {
            return;
        };
        log::debug!("server {id} says in an answer: {notice:?}");
        let start = server_start(&entry);
        if let Some(pause) = notice.pause {
            state.announcements.note_pause(start, now + pause, now);
        }
        if notice.is_leaving && !entry.leaving {
            state.announcements.note_leaving(start, now);
            entry.leaving = true;
        }
        state.put(entry, now);
        self.publish(&mut state, now);
    }

    /// Returns when the first server with `model` of `service` wants requests again; `None` if one does now, or none has
    /// the model.
    pub fn paused_until(&self, service: &str, model: Option<&LoadItem>) -> Option<Instant> {
        let now = Instant::now();
        let state = self.state();
        let servers = state.servers.values().filter(|server| {
            let entry = &server.entry;
            let holds = model.is_none_or(|item| holds_item(&server.models, item));
            entry.service == service && !entry.leaving && holds
        });
        let pauses = servers.map(|server| {
            let start = server_start(&server.entry);
            state.announcements.paused_until(start, now)
        });
        pauses.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
