//! The limiter of one daemon with simulated peers, and its baseline.

mod net_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::Category;
use foxtailhill::error::RunVerdict;
use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::limit::{EvenSplitLimiter, LimitService, TokenCharge, TokenLimiter};
use foxtailhill::member::{PeerTable, ShareGrant, ShareSink};
use foxtailhill::peer::{PeerReply, PeerRequest, PeerStatus, TokenLoan};
use net_support::{MemoryNet, address, eventually, team};
use smol_str::SmolStr;
use tokio::sync::watch;

const RIDERS: SmolStr = SmolStr::new_static("riders");
const HOUR: Duration = Duration::from_secs(3_600);

struct LimitFixture {
    group: TaskGroup,
    net: Arc<MemoryNet>,
    peer_table: Arc<PeerTable>,
    teams: watch::Sender<Vec<foxtailhill::catalog::TeamSpec>>,
    limiter: LimitService<MemoryNet>,
}

fn fixture(rate: u64, burst: u64) -> LimitFixture {
    let group = TaskGroup::new();
    let net = Arc::new(MemoryNet::default());
    let peer_table = Arc::new(PeerTable::new());
    let (sender, teams) = watch::channel(vec![team(rate, burst)]);
    let limiter = LimitService::open(teams, peer_table.clone(), net.clone());
    LimitFixture {
        group,
        net,
        peer_table,
        teams: sender,
        limiter,
    }
}

fn grant(vm: u64, ppm: u32) -> Option<ShareGrant> {
    Some(ShareGrant {
        vm: VmId(vm),
        ppm,
        until: Instant::now() + HOUR,
    })
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

impl LimitFixture {
    /// Adds a peer that claims `spare` tokens and lends up to `lent` per call.
    fn peer(&self, index: u16, spare: u64, lent: u64) {
        let status = PeerStatus {
            vm: VmId(u64::from(index)),
            name: "peer".into(),
            config_next: LogOffset(0),
            members_next: LogOffset(0),
            log_reachable: true,
            no_expire_for: Duration::ZERO,
            spare: vec![(RIDERS, spare)],
            leaving: Vec::new(),
        };
        self.peer_table
            .record(address(index), status, Instant::now());
        let answer = move |request| match request {
            PeerRequest::Borrow { tokens, .. } => Some(PeerReply::Loan(Some(TokenLoan {
                id: rand::random(),
                tokens: tokens.min(lent),
                lifetime: HOUR,
            }))),
            _ => None,
        };
        let mut nodes = self
            .net
            .nodes
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        nodes.insert(address(index), Box::new(answer));
    }

    async fn charge(&self, tokens: u64) -> Result<(), foxtailhill::Error> {
        let charge = self.limiter.charge(&RIDERS, tokens, soon()).await?;
        charge.settle(tokens);
        Ok(())
    }
}

/// Guards against tokens without a share, of an unknown team, or above the burst.
#[tokio::test]
async fn refusals_name_their_cause() {
    let fixture = fixture(10, 100);
    let no_share = fixture.charge(1).await.unwrap_err();
    assert_eq!(no_share.category(), Category::Unavailable);
    fixture
        .limiter
        .adopt_share(grant(1, 1_000_000), Instant::now());
    let above = fixture.charge(101).await.unwrap_err();
    assert_eq!(
        (above.category(), above.retry_after()),
        (Category::RateLimited, None)
    );
    let unknown = fixture.limiter.charge(&"tourists".into(), 1, soon()).await;
    let unknown = unknown.err().expect("a team without a budget is refused");
    assert_eq!(
        (unknown.category(), unknown.verdict()),
        (Category::Unavailable, RunVerdict::NotRun)
    );
    assert!(unknown.retry_after().is_some());
    let short = fixture.charge(100).await.unwrap_err();
    assert_eq!(short.category(), Category::RateLimited);
    let wait = short.retry_after().expect("waiting helps");
    assert!(
        wait > Duration::from_secs(8) && wait <= Duration::from_secs(10),
        "{wait:?}"
    );
    fixture.group.shutdown().await;
}

/// Guards against tokens of a former incarnation, whose share others may hold by now, in the next one's bucket.
#[tokio::test]
async fn another_incarnation_starts_empty() {
    let fixture = fixture(1_000, 500);
    fixture
        .limiter
        .adopt_share(grant(1, 1_000_000), Instant::now());
    eventually("a full bucket", || {
        fixture.limiter.spare() == [(RIDERS, 500)]
    })
    .await;
    let open = fixture
        .limiter
        .charge(&RIDERS, 100, soon())
        .await
        .expect("full");
    let started = Instant::now();
    fixture.limiter.adopt_share(grant(2, 1_000_000), started);
    open.settle(0);
    let spare = u128::from(fixture.limiter.spare()[0].1);
    assert!(spare <= started.elapsed().as_millis(), "{spare} tokens");
    fixture.group.shutdown().await;
}

/// Guards against a refusal while enough peers together have the tokens, some of which answer with less or not.
#[tokio::test]
async fn several_lenders_cover_one_request() {
    let fixture = fixture(1, 1_000);
    fixture.limiter.adopt_share(grant(1, 0), Instant::now());
    fixture.peer(1, 300, 300);
    fixture.peer(2, 290, 0);
    fixture.peer(3, 280, 280);
    fixture.peer(4, 270, 270);
    fixture.peer(5, 260, 260);
    fixture.peer(6, 250, 250);
    let cut = address(4);
    if let Ok(mut cuts) = fixture.net.cut.lock() {
        cuts.insert(cut);
    }
    fixture
        .charge(1_000)
        .await
        .expect("300 + 280 + 260 + 250 are spare");
    let refused = fixture.charge(1_000).await.unwrap_err();
    assert_eq!(refused.category(), Category::RateLimited);
    fixture.group.shutdown().await;
}

/// Guards against a removed team that keeps its budget and a returning one that starts with old tokens.
#[tokio::test]
async fn budgets_follow_the_declared_teams() {
    let fixture = fixture(1_000_000, 500);
    fixture
        .limiter
        .adopt_share(grant(1, 1_000_000), Instant::now());
    eventually("a full bucket", || {
        fixture.limiter.spare() == [(RIDERS, 500)]
    })
    .await;
    fixture.teams.send_replace(Vec::new());
    eventually("no budget", || fixture.limiter.spare().is_empty()).await;
    fixture.teams.send_replace(vec![team(1, 500)]);
    eventually("a new budget", || !fixture.limiter.spare().is_empty()).await;
    assert!(fixture.limiter.spare()[0].1 < 500);
    fixture.group.shutdown().await;
}

/// Guards against a lender that keeps lent tokens, or lends outside its term.
#[tokio::test]
async fn a_lender_debits_before_it_answers() {
    let fixture = fixture(1, 100);
    assert_eq!(fixture.limiter.lend(VmId(2), "riders", 10, 0), None);
    let now = Instant::now();
    fixture.limiter.adopt_share(grant(1, 1_000_000), now);
    fixture.teams.send_replace(vec![team(1_000_000, 100)]);
    eventually("a full bucket", || {
        fixture.limiter.spare() == [(RIDERS, 100)]
    })
    .await;
    let loan = fixture
        .limiter
        .lend(VmId(2), "riders", 60, 0)
        .expect("spare tokens");
    assert_eq!(loan.tokens, 60);
    assert!(fixture.limiter.spare()[0].1 <= 40);
    assert_eq!(fixture.limiter.dump().teams[0].lent, 60);
    fixture.limiter.adopt_share(None, Instant::now());
    assert_eq!(fixture.limiter.lend(VmId(2), "riders", 10, 0), None);
    fixture.group.shutdown().await;
}

/// Guards against a baseline that borrows: it must refuse what loans would serve, else it measures nothing.
#[tokio::test]
async fn the_even_split_refuses_above_its_share() {
    let until = Instant::now() + HOUR;
    let limiter = EvenSplitLimiter::new(&[team(1_000_000, 300)], 3, until);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let refused = limiter.charge(&RIDERS, 200, soon()).await.err();
    assert_eq!(
        refused.map(|error| error.category()),
        Some(Category::RateLimited)
    );
    let charge = limiter
        .charge(&RIDERS, 99, soon())
        .await
        .expect("a third of the burst");
    charge.settle(99);
}

/// Guards against a dropped charge that stays reserved: with the bucket full, refill of later charges would then
/// count as contested and their refunds be lost.
#[tokio::test]
async fn a_dropped_charge_is_no_longer_reserved() {
    let fixture = fixture(1_000_000, 500);
    fixture
        .limiter
        .adopt_share(grant(1, 1_000_000), Instant::now());
    eventually("a full bucket", || {
        fixture.limiter.spare() == [(RIDERS, 500)]
    })
    .await;
    drop(
        fixture
            .limiter
            .charge(&RIDERS, 400, soon())
            .await
            .expect("full"),
    );
    assert_eq!(fixture.limiter.dump().teams[0].reserved, 0);
    fixture.group.shutdown().await;
}
