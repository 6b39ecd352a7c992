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
        let state = &mut *state;
        let Some(server) = state.servers.get_mut(id) else {
            return;
        };
        let start = server_start(&server.entry);
        if let Some(pause) = notice.pause {
            log::debug!("server {id} wants no requests for {pause:?}");
            state.announcements.note_pause(start, now + pause, now);
            server.suspend_until(now + pause);
        }
        if notice.is_leaving && !server.entry.leaving {
            log::info!("server {id} says in an answer that it is leaving");
            state.announcements.note_leaving(start, now);
            let entry = server.entry.clone();
            state.list(entry, now);
            self.publish(state, now);
        }
    }

    /// Returns when the first server with `model` of `service` wants requests again; `None` if one does now, or none has
    /// the model.
    pub fn paused_until(&self, service: &str, model: Option<&LoadItem>) -> Option<Instant> {
        let now = Instant::now();
        let state = self.state();
        let servers = state.servers.values().filter(|server| {
            let entry = &server.entry;
            let holds = model.is_none_or(|item| holds_item(&server.models, item));
            entry.service == service && server.may_be_sent_to() && holds
        });
        let pauses = servers.map(|server| {
            let start = server_start(&server.entry);
            state.announcements.paused_until(start, now)
        });
        pauses.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
