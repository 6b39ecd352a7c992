//! A daemon that starts while one of its addresses is in use.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

use eyre::ensure;
use foxtailhill_standins::unused_host;
use tokio::net::TcpSocket;

use crate::start_support::{StartedDaemon, settings};

/// The listeners of a daemon, in the order in which `settings` takes their addresses.
const NAMES: [&str; 5] = ["caller", "ready", "peer", "pulse", "admin"];
const PULSE: usize = 3;

/// Holds an address for a while.
#[allow(dead_code)]
enum AddressHolder {
    Listener(TcpListener),
    Outgoing(TcpStream, TcpListener),
    Datagrams(UdpSocket),
}

/// Occupies a free port with the local end of an outgoing connection.
async fn connect_from(address: SocketAddr) -> eyre::Result<AddressHolder> {
    let target = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let socket = TcpSocket::new_v4()?;
    socket.bind(address)?;
    let stream = socket.connect(target.local_addr()?).await?.into_std()?;
    Ok(AddressHolder::Outgoing(stream, target))
}

fn free_addresses() -> eyre::Result<[SocketAddr; 5]> {
    let local = IpAddr::V4(unused_host());
    let mut holders = Vec::new();
    let mut addresses = [SocketAddr::new(local, 0); 5];
    for address in &mut addresses {
        let listener = TcpListener::bind(*address)?;
        *address = listener.local_addr()?;
        holders.push(listener);
    }
    Ok(addresses)
}

async fn start_while_held(index: usize, outgoing: bool) -> eyre::Result<()> {
    let addresses = free_addresses()?;
    let address = addresses[index];
    let holder = match (index == PULSE, outgoing) {
        (true, _) => AddressHolder::Datagrams(UdpSocket::bind(address)?),
        (false, true) => connect_from(address).await?,
        (false, false) => AddressHolder::Listener(TcpListener::bind(address)?),
    };
    let mut daemon = StartedDaemon::spawn(&settings(&addresses.map(|it| it.to_string())))?;
    daemon.expect(&format!("cannot bind {address} yet"))?;
    // Long enough for several attempts.
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(holder);
    daemon.expect("is serving")?;
    daemon.signal("TERM")?;
    let status = daemon.wait()?;
    ensure!(status.success(), "{status}");
    Ok(())
}

/// Guards against a daemon that ends at its start because one of its ports is in use for a moment.
#[tokio::test]
async fn daemon_waits_for_an_address_in_use() -> eyre::Result<()> {
    for (index, name) in NAMES.into_iter().enumerate() {
        for outgoing in [false, true] {
            let started = start_while_held(index, outgoing).await;
            started.map_err(|error| error.wrap_err(format!("{name}, outgoing {outgoing}")))?;
        }
    }
    Ok(())
}

/// Guards against a daemon that does not end at SIGTERM while it waits for an address, or does not say why it ends.
#[test]
fn sigterm_ends_the_wait_for_an_address() -> eyre::Result<()> {
    let addresses = free_addresses()?;
    let _holder = TcpListener::bind(addresses[0])?;
    let mut daemon = StartedDaemon::spawn(&settings(&addresses.map(|it| it.to_string())))?;
    daemon.expect(&format!("cannot bind {} yet", addresses[0]))?;
    daemon.signal("TERM")?;
    let status = daemon.wait()?;
    ensure!(status.success(), "{status}");
    ensure!(
        daemon.last_line().contains("SIGTERM"),
        "{}",
        daemon.last_line()
    );
    Ok(())
}
