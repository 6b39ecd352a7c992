//! HTTP adapter of the platform's log.

use std::net::SocketAddr;

/// Client of a log that speaks HTTP.
#[derive(Clone, Debug)]
pub struct HttpJournal {
    server: SocketAddr,
}

impl HttpJournal {
    /// Creates a client of the log at `server`; connections are opened on use.
    pub fn open(server: SocketAddr) -> Self {
        Self { server }
    }

    /// Returns the address of the log.
    pub fn server(&self) -> SocketAddr {
        self.server
    }
}
