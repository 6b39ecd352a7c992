//! A daemon that has read a record with a number that cannot be computed with, for example one of an earlier version,
//! passed it on in its copy of the list of servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhill::ids::VmId;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::peer::{
    PeerCaller, PeerClient, PeerHandler, PeerReply, PeerRequest, PeerServer, TokenLoan,
};
use foxtailhill::relay::{CopyRequest, ServerDelta, ServerEntry, TableCopy};
use foxtailhill::{Error, Result};

/// Longest wait for a reply.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn entry(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "desk".into(),
        address: SocketAddr::from(([10, 0, 0, 9], 8_080)),
        zone: "north".into(),
        software: "v1".into(),
        slots: 4,
        leaving: false,
        models: Vec::new(),
        born_ms: 1,
        seq: 1,
        cold_left: Duration::ZERO,
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// A daemon whose replies have numbers out of range.
struct OddPeer;

impl PeerHandler for OddPeer {
    async fn handle(&self, request: PeerRequest) -> Result<PeerReply> {
        match request {
            PeerRequest::FetchTables(_) => {
                let cold = ServerEntry {
                    cold_left: Duration::MAX,
                    ..entry("i-1")
                };
                let large = ServerEntry {
                    slots: u32::MAX,
                    ..entry("i-3")
                };
                Ok(PeerReply::Tables(TableCopy {
                    servers: ServerDelta {
                        is_snapshot: true,
                        changed: vec![entry("i-0"), cold, entry("i-2"), large],
                        ..ServerDelta::default()
                    },
                    daemons: None,
                }))
            }
            PeerRequest::Borrow { .. } => Ok(PeerReply::Loan(Some(TokenLoan {
                id: 1,
                tokens: 7,
                lifetime: Duration::MAX,
            }))),
            _ => Err(Error::invalid("not asked for here")),
        }
    }
}

/// Guards against an entry of a copy, or a loan, that ends the task of the daemon that asked for it.
#[tokio::test]
async fn odd_entry_of_a_copy_leaves_the_others() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let peer = PeerServer::bind(&group, any, Arc::new(OddPeer)).await?;
    let client = PeerClient::open(&group);
    let request = PeerRequest::FetchTables(CopyRequest::default());
    let copy = client.call(peer.address(), request, WAIT_TIMEOUT).await;
    let request = PeerRequest::Borrow {
        borrower: VmId(1),
        team: "south".into(),
        tokens: 7,
        min_tokens: 1,
    };
    let loan = client.call(peer.address(), request, WAIT_TIMEOUT).await;
    group.shutdown().await;
    let PeerReply::Tables(copy) = copy? else {
        eyre::bail!("a reply of another kind");
    };
    let ids: Vec<&str> = copy
        .servers
        .changed
        .iter()
        .map(|entry| entry.id.as_str())
        .collect();
    eyre::ensure!(ids == ["i-0", "i-2"], "{ids:?}");
    eyre::ensure!(loan.is_err(), "{loan:?}");
    Ok(())
}
