//! A page of the store has an item that cannot be read, or only such items, and the record of the lease is one that no
//! daemon wrote.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use foxtailhill::ids::VmId;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::platform::StoreClient;
use foxtailhill::relay::{LeaseCandidate, LeaseStep, LeaseStore, RecordStore, StoreTable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The targets of the requests that a store got.
type Targets = Arc<Mutex<Vec<String>>>;

/// Binds a store that answers with one page after the other, the last one again and again.
async fn serve_pages(
    group: &TaskGroup,
    pages: Vec<Vec<u8>>,
) -> eyre::Result<(SocketAddr, Targets)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let targets = Targets::default();
    let asked = targets.clone();
    let mut pages = VecDeque::from(pages);
    group.spawn_cancellable(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4_096];
            let length = stream.read(&mut head).await.unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..length]).into_owned();
            let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
            asked.lock().expect("not poisoned").push(target);
            let page = match pages.len() {
                1 => pages.front().cloned(),
                _ => pages.pop_front(),
            };
            let page = page.unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                page.len()
            );
            // The client may have given up.
            let _ = stream.write_all(&[head.as_bytes(), &page].concat()).await;
        }
    });
    Ok((address, targets))
}

fn item(key: &[u8], value: &str) -> Vec<u8> {
    let value = format!("\",\"value\":\"{}\",\"offset\":1}}", STANDARD.encode(value));
    [&b"{\"key\":\""[..], key, value.as_bytes()].concat()
}

fn page(items: &[Vec<u8>], has_more: bool) -> Vec<u8> {
    let rest = format!("],\"has-more\":{has_more},\"end\":9}}");
    [&b"{\"items\":["[..], &items.join(&b','), rest.as_bytes()].concat()
}

async fn newest_keys(address: SocketAddr) -> eyre::Result<Vec<String>> {
    let read = StoreClient::open(address)
        .newest(StoreTable::Servers)
        .await?;
    let keys = read.records.iter().map(|record| record.key.to_string());
    Ok(keys.collect())
}

/// Guards against a table that cannot be read because one key is not valid text or one item has a number out of range.
#[tokio::test]
async fn item_that_cannot_be_read_leaves_the_others() -> eyre::Result<()> {
    let nested = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    for (case, odd) in [
        ("bytes", item(b"i-2\xff", "{}")),
        ("surrogate", item(b"i-2\\ud800", "{}")),
        (
            "offset",
            b"{\"key\":\"i-2\",\"value\":\"e30=\",\"offset\":1e400}".to_vec(),
        ),
        (
            "long offset",
            b"{\"key\":\"i-2\",\"value\":\"e30=\",\"offset\":99999999999999999999999}".to_vec(),
        ),
        ("nested", nested.into_bytes()),
    ] {
        let group = TaskGroup::new();
        let items = [item(b"i-1", "{}"), odd, item(b"i-3", "{}")];
        let (address, _) = serve_pages(&group, vec![page(&items, false)]).await?;
        let keys = newest_keys(address).await;
        group.shutdown().await;
        eyre::ensure!(keys? == ["i-1", "i-3"], "{case}");
    }
    Ok(())
}

/// Guards against a table that cannot be read because a whole page of it is of other programs.
#[tokio::test]
async fn page_without_a_readable_item_is_passed() -> eyre::Result<()> {
    let odd = |key: &str| {
        format!("{{\"key\":\"{key}\",\"value\":\"no base64\",\"offset\":1}}").into_bytes()
    };
    let group = TaskGroup::new();
    let pages = vec![
        page(&[odd("a-1"), odd("a-2")], true),
        page(&[item(b"i-1", "{}")], false),
    ];
    let (address, targets) = serve_pages(&group, pages).await?;
    let keys = newest_keys(address).await;
    group.shutdown().await;
    let targets = targets.lock().expect("not poisoned").clone();
    eyre::ensure!(keys? == ["i-1"], "{targets:?}");
    eyre::ensure!(targets[1].contains("&after=%61%2D%32"), "{targets:?}");
    Ok(())
}

/// Guards against a fleet without a planner because the record of the lease cannot be read, and against a daemon that
/// takes such a record for no record and the lease at once.
#[tokio::test]
async fn lease_is_taken_over_from_a_record_that_cannot_be_read() -> eyre::Result<()> {
    let order_delay = Duration::from_secs(3);
    for odd in [
        "no json",
        "{}",
        r#"{"holder":"a","vm":1,"fence":99999999999999999999999,"released":false}"#,
        r#"{"holder":"a","vm":1,"fence":18446744073709551615,"released":false}"#,
        r#"{"holder":"a","vm":-1,"fence":7,"released":false}"#,
        r#"{"holder":7,"vm":1,"fence":7,"released":false}"#,
    ] {
        let group = TaskGroup::new();
        let (address, _) = serve_pages(&group, vec![page(&[item(b"lease", odd)], false)]).await?;
        let state = StoreClient::open(address).read_lease().await;
        group.shutdown().await;
        let now = Instant::now();
        let mut candidate = LeaseCandidate::new("entry-1".into(), VmId(1), order_delay);
        candidate.observe(state?, now, now);
        let early = candidate.next_step(now + order_delay);
        eyre::ensure!(early == LeaseStep::Wait, "{odd}: {early:?}");
        let LeaseStep::Write(write) = candidate.next_step(now + order_delay * 2) else {
            eyre::bail!("{odd}: the lease is not taken over");
        };
        eyre::ensure!(write.record.fence == (1 << 32) + 10, "{odd}: {write:?}");
    }
    Ok(())
}

/// Guards against a lease that counts as free because records of other programs fill the first page of its topic.
#[tokio::test]
async fn lease_is_found_behind_other_records() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let lease = r#"{"holder":"entry-0","vm":7,"fence":4294967297,"released":false}"#;
    let pages = vec![
        page(&[item(b"a-1", "{}")], true),
        page(&[item(b"lease", lease)], false),
    ];
    let (address, _) = serve_pages(&group, pages).await?;
    let state = StoreClient::open(address).read_lease().await;
    group.shutdown().await;
    let holder = state?.record.map(|record| record.holder);
    eyre::ensure!(holder.as_deref() == Some("entry-0"), "{holder:?}");
    Ok(())
}
