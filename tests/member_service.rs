//! Membership of several daemons over an in-memory log, VM list and network.

mod member_support;
mod net_support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use foxtailhill::limit::{EvenSplitLimiter, TokenCharge, TokenLimiter};
use foxtailhill::member::MemberRecord;
use foxtailhill::{Category, RunVerdict};
use member_support::{Fleet, Node};
use net_support::{eventually, team};

const TERM: Duration = Duration::from_millis(1_500);

fn all_have(nodes: &[&Node], ppm: u32) -> bool {
    nodes.iter().all(|node| node.share() == Some(ppm))
}

/// Guards against shares that do not follow joins and leaves, and against two planners of one zone.
#[tokio::test(flavor = "multi_thread")]
async fn shares_follow_joins_and_leaves() {
    let fleet = Fleet::default();
    let one = fleet.start(1, TERM, vec![]);
    eventually("the first member holds all", || {
        all_have(&[&one], 1_000_000)
    })
    .await;
    let two = fleet.start(2, TERM, vec![]);
    eventually("the second member has joined", || {
        all_have(&[&two], 500_000)
    })
    .await;
    let three = fleet.start(3, TERM, vec![]);
    eventually("three equal shares", || {
        all_have(&[&one, &two, &three], 333_333)
    })
    .await;
    let now = Instant::now();
    assert!(one.members.planner_fence("catania", now).is_some());
    assert!(two.members.planner_fence("catania", now).is_none());
    one.members.leave(Duration::from_secs(20)).await.unwrap();
    assert_eq!(one.share(), None);
    eventually("the share is passed on", || {
        all_have(&[&two, &three], 500_000)
    })
    .await;
    assert!(
        two.members
            .planner_fence("catania", Instant::now())
            .is_some()
    );
    for node in [one, two, three] {
        node.group.shutdown().await;
    }
}

/// Guards against the share of a killed daemon that stays unused for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_member_is_expired() {
    let fleet = Fleet::default();
    let one = fleet.start(1, TERM, vec![]);
    let two = fleet.start(2, TERM, vec![]);
    eventually("two equal shares", || all_have(&[&one, &two], 500_000)).await;
    one.kill(&fleet).await;
    eventually("the survivor holds all", || all_have(&[&two], 1_000_000)).await;
    two.group.shutdown().await;
}

/// Guards against members that lose their share because append answers are lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answers_end_no_term() {
    let fleet = Fleet::default();
    fleet.log.lose_answers.store(true, Ordering::SeqCst);
    let one = fleet.start(1, TERM, vec![]);
    let two = fleet.start(2, TERM, vec![]);
    eventually("two equal shares", || all_have(&[&one, &two], 500_000)).await;
    let end = Instant::now() + 2 * TERM;
    while Instant::now() < end {
        assert!(one.share().is_some() && two.share().is_some());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for node in [one, two] {
        node.group.shutdown().await;
    }
}

/// Guards against a log outage that ends all terms, and against a term that outlives a missing promise.
#[tokio::test(flavor = "multi_thread")]
async fn promises_extend_terms_while_the_log_is_down() {
    let fleet = Fleet::default();
    let one = fleet.start(1, TERM, vec![]);
    let two = fleet.start(2, TERM, vec![]);
    eventually("two equal shares", || all_have(&[&one, &two], 500_000)).await;
    eventually("statuses are known", || {
        one.members.peers().len() == 1 && two.members.peers().len() == 1
    })
    .await;
    fleet.log.down.store(true, Ordering::SeqCst);
    let end = Instant::now() + 2 * TERM;
    while Instant::now() < end {
        assert!(one.share().is_some() && two.share().is_some());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fleet.net.cut.lock().unwrap().insert(two.address);
    eventually("the term ends without promises", || one.share().is_none()).await;
    fleet.net.cut.lock().unwrap().clear();
    fleet.log.down.store(false, Ordering::SeqCst);
    eventually("renewed", || all_have(&[&one, &two], 500_000)).await;
    for node in [one, two] {
        node.group.shutdown().await;
    }
}

/// Guards against an expired daemon that goes on with its old incarnation and its old tokens.
#[tokio::test(flavor = "multi_thread")]
async fn an_expired_daemon_rejoins_with_empty_buckets() {
    let fleet = Fleet::default();
    let one = fleet.start(1, TERM, vec![team(200, 100)]);
    eventually("a full bucket", || {
        one.limiter
            .spare()
            .first()
            .is_some_and(|spare| spare.1 == 100)
    })
    .await;
    let expired_at = Instant::now();
    let former = one.members.vm();
    let renewal = one.members.members()[0].1.renewed;
    // The record names the newest renewal unless another one slips in between, so it is repeated.
    fleet.log.push(&MemberRecord::Expire {
        vm: former,
        renewal,
    });
    eventually("a new incarnation", || {
        let renewal = one
            .members
            .members()
            .first()
            .map(|(_, entry)| entry.renewed);
        if let Some(renewal) = renewal.filter(|_| one.members.vm() == former) {
            fleet.log.push(&MemberRecord::Expire {
                vm: former,
                renewal,
            });
        }
        one.members.vm() != former && one.share().is_some()
    })
    .await;
    // Only what 200 tokens/s have created since the expiry may be there.
    let spare = u128::from(one.limiter.spare()[0].1);
    assert!(
        spare <= expired_at.elapsed().as_millis() / 5,
        "{spare} tokens"
    );
    assert!(one.members.members().iter().all(|(vm, _)| *vm != former));
    one.group.shutdown().await;
}

/// Guards against a refusal while peers have spare tokens, and a missing `Retry-After` when none have.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_without_enough_tokens_borrows_before_it_refuses() {
    let fleet = Fleet::default();
    let teams = vec![team(100, 900)];
    let nodes: Vec<Node> = (1..=3)
        .map(|index| fleet.start(index, TERM, teams.clone()))
        .collect();
    let riders = "riders".into();
    eventually("full buckets known to the first", || {
        let peers = nodes[0].members.peers();
        let spare = |entry: &foxtailhill::member::PeerEntry| {
            entry.status.spare.first().map_or(0, |spare| spare.1)
        };
        peers.len() == 2
            && peers.iter().all(|entry| spare(entry) >= 280)
            && nodes[0].share() == Some(333_333)
    })
    .await;
    let deadline = Instant::now() + Duration::from_secs(10);
    let charge = nodes[0]
        .limiter
        .charge(&riders, 800, deadline)
        .await
        .unwrap();
    charge.settle(800);
    let refused = nodes[0].limiter.charge(&riders, 800, deadline).await;
    let error = refused.err().unwrap();
    assert_eq!(error.category(), Category::RateLimited);
    assert_eq!(error.verdict(), RunVerdict::NotRun);
    assert!(error.retry_after().unwrap() >= Duration::from_secs(2));
    let above = nodes[0]
        .limiter
        .charge(&riders, 901, deadline)
        .await
        .err()
        .unwrap();
    assert_eq!(
        (above.category(), above.retry_after()),
        (Category::RateLimited, None)
    );
    for node in nodes {
        node.group.shutdown().await;
    }
}

/// Tokens granted of those offered at a daemon that receives all of a team's traffic, below the team's rate.
async fn serve_skewed<L: TokenLimiter>(limiter: &L) -> (u64, u64) {
    let (mut offered, mut granted) = (0, 0);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        // 90% of the rate of 3000 tokens/s, whatever the delays of this loop.
        let due = start.elapsed().as_millis() * 27 / 10;
        while u128::from(offered) < due {
            offered += 30;
            let deadline = Instant::now() + Duration::from_secs(1);
            if let Ok(charge) = limiter.charge(&"riders".into(), 30, deadline).await {
                charge.settle(30);
                granted += 30;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (offered, granted)
}

/// Guards against refusals within a team's rate when one daemon receives all of its traffic and the burst is
/// shorter than the time between two statuses.
#[tokio::test(flavor = "multi_thread")]
async fn loans_serve_a_skewed_team_that_the_even_split_refuses() {
    let fleet = Fleet::default();
    let teams = vec![team(3_000, 1_200)];
    // With a term of 12 s, statuses are exchanged once a second as in service.
    let term = Duration::from_secs(12);
    let nodes: Vec<Node> = (1..=3)
        .map(|index| fleet.start(index, term, teams.clone()))
        .collect();
    eventually("full buckets known to the first", || {
        let peers = nodes[0].members.peers();
        let full = |entry: &foxtailhill::member::PeerEntry| {
            entry
                .status
                .spare
                .first()
                .is_some_and(|spare| spare.1 >= 399)
        };
        peers.len() == 2 && peers.iter().all(full) && nodes[0].share() == Some(333_333)
    })
    .await;
    let even = EvenSplitLimiter::new(&teams, 3, Instant::now() + Duration::from_secs(3_600));
    let (offered, granted) = serve_skewed(&nodes[0].limiter).await;
    let (even_offered, even_granted) = serve_skewed(&even).await;
    println!("with loans {granted} of {offered}, even split {even_granted} of {even_offered}");
    assert!(granted * 100 >= offered * 98);
    assert!(even_granted * 100 <= even_offered * 60);
    for node in nodes {
        node.group.shutdown().await;
    }
}
