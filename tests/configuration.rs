//! Changes of the declared configuration with separate processes: races, lost answers, outages, retention and
//! replacement of daemons.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use common::{WAIT_TIMEOUT, dump, options, seed, wait_for};
use eyre::{bail, ensure};
use foxtailhill::catalog::{ApplyVerdict, ChangeCommand, FleetCatalog};
use foxtailhill::ids::{LogOffset, RecordId};
use foxtailhill::proto;
use foxtailhill::proto::operator_service_client::OperatorServiceClient;
use foxtailhill_standins::LogOptions;
use foxtailhill_standins::client::JsonClient;
use foxtailhill_standins::cluster::{ClusterOptions, OPERATOR_KEY, TestCluster};
use foxtailhill_standins::stream_log::{LogControl, LogOutage};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tonic::{Code, Request, Status};

const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];
/// Maximum number of records in the log; a test makes more changes, so that the oldest records are removed.
const KEPT_RECORDS: usize = 200;
/// Number of teams that each writer changes in turn.
const TEAMS: u64 = 4;
const OUTAGES: [LogOutage; 3] = [LogOutage::Refuse, LogOutage::Cut, LogOutage::Hang];

fn request<T>(message: T) -> eyre::Result<Request<T>> {
    let mut request = Request::new(message);
    request.set_timeout(Duration::from_secs(6));
    let value = format!("Bearer {OPERATOR_KEY}").parse()?;
    request.metadata_mut().insert("authorization", value);
    Ok(request)
}

fn put_team(id: RecordId, name: &str, rate: u64, base_revision: u64) -> proto::ApplyRequest {
    let team = proto::Team {
        name: name.into(),
        rate,
        burst: 1_000,
    };
    let entity = proto::Entity {
        entity: Some(proto::entity::Entity::Team(team)),
    };
    proto::ApplyRequest {
        command_id: id.to_string(),
        base_revision,
        change: Some(proto::apply_request::Change::Put(entity)),
        wait_ms: 1,
    }
}

/// Submits a change once. If the operator address cannot be reached, the outcome counts as unknown.
async fn apply(
    operator: SocketAddr,
    message: proto::ApplyRequest,
) -> eyre::Result<Result<proto::ApplyReply, Status>> {
    let mut client = match OperatorServiceClient::connect(format!("http://{operator}")).await {
        Ok(client) => client,
        Err(cause) => return Ok(Err(Status::unavailable(cause.to_string()))),
    };
    let reply = client.apply(request(message)?).await;
    Ok(reply.map(tonic::Response::into_inner))
}

/// Submits one command through randomly chosen daemons until its outcome is known.
async fn resolve(
    operators: &[SocketAddr],
    message: &proto::ApplyRequest,
    random: &mut StdRng,
) -> eyre::Result<Result<proto::ApplyReply, Status>> {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        let operator = operators[random.random_range(0..operators.len())];
        match apply(operator, message.clone()).await? {
            Err(status) if is_unknown(&status) => {}
            known => return Ok(known),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!(
        "the outcome of {} stayed unknown for {WAIT_TIMEOUT:?}",
        message.command_id
    )
}

fn is_unknown(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unavailable | Code::DeadlineExceeded | Code::Unknown | Code::Cancelled
    )
}

/// Returns rate and revision of each team as a daemon lists them; `None` while it does not answer.
async fn teams(operator: SocketAddr) -> eyre::Result<Option<BTreeMap<String, (u64, u64)>>> {
    let Ok(mut client) = OperatorServiceClient::connect(format!("http://{operator}")).await else {
        return Ok(None);
    };
    let message = proto::ListRequest {
        kind: proto::Kind::Team.into(),
    };
    let reply = match client.list(request(message)?).await {
        Ok(reply) => reply.into_inner(),
        Err(status) if is_unknown(&status) => return Ok(None),
        Err(status) => bail!("{status}"),
    };
    let teams = reply
        .entities
        .into_iter()
        .filter_map(|listed| match listed.entity?.entity? {
            proto::entity::Entity::Team(team) => Some((team.name, (team.rate, listed.revision))),
            _ => None,
        });
    Ok(Some(teams.collect()))
}

async fn open(max_records: Option<usize>) -> eyre::Result<TestCluster> {
    let mut cluster = TestCluster::open(ClusterOptions {
        engines: Vec::new(),
        services: Vec::new(),
        log: LogOptions {
            max_records,
            ..LogOptions::default()
        },
        ..options(&ZONES)
    })
    .await?;
    cluster.wait_ready().await?;
    Ok(cluster)
}

fn operators(cluster: &TestCluster) -> Vec<SocketAddr> {
    let daemons = cluster.daemons.iter();
    daemons.map(|daemon| daemon.addresses().operator).collect()
}

fn set_outage(cluster: &TestCluster, outage: LogOutage) {
    cluster.log.set_control(LogControl {
        outage,
        ..LogControl::default()
    });
}

/// Guards against two operators whose conflicting changes are both accepted, and against an answer that differs from
/// the log, also when appends or their answers are lost.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_racing_operators_wins() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed(0x636f_6e31));
    let cluster = open(None).await?;
    let operators = operators(&cluster);
    let (mut answers, mut base) = (Vec::new(), 0);
    for round in 0..25_u64 {
        cluster.log.set_control(LogControl {
            lose_answers: random.random_range(0..3),
            lose_appends: random.random_range(0..2),
            ..LogControl::default()
        });
        let racers =
            operators.iter().enumerate().map(|(index, operator)| {
                let id = RecordId::random();
                let message = put_team(id, "prize", round * 10 + index as u64 + 1, base);
                let mut own = StdRng::seed_from_u64(random.random());
                async move {
                    Ok::<_, eyre::Report>((id, resolve(&[*operator], &message, &mut own).await?))
                }
            });
        let racers: Vec<_> = racers.collect();
        let ended = futures_util::future::try_join_all(racers).await?;
        let winners = ended.iter().filter(|(_, answer)| answer.is_ok()).count();
        ensure!(winners == 1, "round {round}: {winners} winners: {ended:?}");
        for (_, answer) in &ended {
            base = answer.as_ref().map_or(base, |reply| reply.revision);
        }
        answers.extend(ended);
    }
    let (first, records) = cluster.log.records("config");
    ensure!(first == 0, "the log lost records");
    let mut catalog = FleetCatalog::default();
    for (offset, record) in records.iter().enumerate() {
        catalog.apply(LogOffset(offset as u64), &ChangeCommand::decode(record)?);
    }
    for (id, answer) in &answers {
        let applied = catalog
            .applied_command(*id)
            .ok_or_else(|| eyre::eyre!("{id} is not logged"))?;
        let agree = match (&applied.verdict, answer) {
            (ApplyVerdict::Accepted(revision), Ok(reply)) => {
                revision.0 == reply.revision && applied.offset.0 == reply.offset
            }
            (ApplyVerdict::Conflict { .. }, Err(status)) => status.code() == Code::Aborted,
            _ => false,
        };
        ensure!(
            agree,
            "{id}: the log says {applied:?}, the operator was told {answer:?}"
        );
    }
    cluster.shutdown().await
}

/// A writer's last accepted rate and revision of each of its teams.
type Accepted = BTreeMap<String, (u64, u64)>;

/// Changes teams of its own until `stop`, each change through any daemon.
async fn write(
    writer: u64,
    operators: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    count: Arc<AtomicU64>,
    mut random: StdRng,
) -> eyre::Result<Accepted> {
    let mut accepted = Accepted::new();
    for change in 1.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let name = format!("team-{writer}-{}", change % TEAMS);
        let base = accepted.get(&name).map_or(0, |(_, revision)| *revision);
        let message = put_team(RecordId::random(), &name, change, base);
        match resolve(&operators, &message, &mut random).await? {
            Ok(reply) => {
                accepted.insert(name, (change, reply.revision));
                count.fetch_add(1, Ordering::Relaxed);
            }
            // No other writer changes this team, so an accepted change was lost or one was made twice.
            Err(status) => bail!("{name} at revision {base}: {status}"),
        }
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    Ok(accepted)
}

/// Polls the applied offset of each daemon until `stop`. It must not decrease within a process, nor from one process
/// of a daemon to the next once the new one is ready.
async fn watch_offsets(admins: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> eyre::Result<u64> {
    let mut highest: BTreeMap<(SocketAddr, bool), (String, u64)> = BTreeMap::new();
    // Connections are reused, as a new one for each poll would exhaust the local ports.
    let client = JsonClient::new(Duration::from_secs(5));
    let mut polls = 0;
    while !stop.load(Ordering::Relaxed) {
        for admin in &admins {
            let Ok(state) = dump(&client, *admin).await else {
                continue;
            };
            polls += 1;
            let process = state["incarnation"].as_str().unwrap_or_default().to_owned();
            let ready = state["ready"].as_bool().unwrap_or_default();
            let next = state["config_next"].as_u64().unwrap_or_default();
            let entry = highest.entry((*admin, ready)).or_default();
            let comparable = ready || entry.0 == process;
            ensure!(
                !comparable || next >= entry.1,
                "{admin}: the applied offset fell from {} to {next}",
                entry.1
            );
            *entry = (process, next);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(polls)
}

async fn check_teams(cluster: &TestCluster, accepted: &Accepted) -> eyre::Result<()> {
    for daemon in &cluster.daemons {
        let operator = daemon.addresses().operator;
        let known = wait_for("a list of teams", || teams(operator)).await?;
        ensure!(
            known == *accepted,
            "{} lists {known:?} in place of {accepted:?}",
            daemon.spec().name
        );
    }
    Ok(())
}

/// Guards against an accepted change that is lost, made twice or reverted (G12): because of lost answers and outages
/// during a change, of retention that removes the oldest records, or of the replacement of daemons, one by one or all
/// but one during an outage of the log.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_outlast_faults_and_replaced_daemons() -> eyre::Result<()> {
    let seed = seed(0x636f_6e32);
    let mut random = StdRng::seed_from_u64(seed);
    let mut cluster = open(Some(KEPT_RECORDS)).await?;
    let (stop_writers, stop_watch) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let count = Arc::<AtomicU64>::default();
    let admins = cluster
        .daemons
        .iter()
        .map(|daemon| daemon.addresses().admin);
    let watch = tokio::spawn(watch_offsets(admins.collect(), stop_watch.clone()));
    let writers: Vec<_> = (0..3)
        .map(|writer| {
            let random = StdRng::seed_from_u64(seed.wrapping_add(writer + 1));
            let (stop, count) = (stop_writers.clone(), count.clone());
            tokio::spawn(write(writer, operators(&cluster), stop, count, random))
        })
        .collect();
    for _ in 0..3 {
        let control = LogControl {
            outage: *OUTAGES.choose(&mut random).unwrap_or(&LogOutage::Hang),
            lose_answers: random.random_range(1..5),
            lose_appends: random.random_range(0..3),
            ..LogControl::default()
        };
        let length = Duration::from_millis(random.random_range(300..2_500));
        println!("{control:?} for {length:?}");
        cluster.log.set_control(LogControl {
            outage: LogOutage::None,
            ..control.clone()
        });
        tokio::time::sleep(length / 2).await;
        cluster.log.set_control(control);
        tokio::time::sleep(length).await;
        set_outage(&cluster, LogOutage::None);
        tokio::time::sleep(length / 2).await;
    }
    wait_for("retention passing over the first records", async || {
        let (first, _) = cluster.log.records("config");
        Ok((first > KEPT_RECORDS as u64 / 4).then_some(()))
    })
    .await?;
    for daemon in &mut cluster.daemons {
        let kill = random.random::<bool>();
        println!("replacing {}, killed: {kill}", daemon.spec().name);
        if kill {
            daemon.kill().await?;
        } else {
            daemon.terminate()?;
            daemon.wait_exit(WAIT_TIMEOUT).await?;
        }
        daemon.start().await?;
        daemon.wait_ready().await?;
    }
    stop_writers.store(true, Ordering::Relaxed);
    let mut accepted = Accepted::new();
    for writer in writers {
        accepted.extend(writer.await??);
    }
    check_teams(&cluster, &accepted).await?;

    let outage = *OUTAGES.choose(&mut random).unwrap_or(&LogOutage::Hang);
    let kept = random.random_range(0..ZONES.len());
    println!("outage {outage:?}, all replaced but {}", ZONES[kept]);
    set_outage(&cluster, outage);
    for (index, daemon) in cluster.daemons.iter_mut().enumerate() {
        if index != kept {
            daemon.kill().await?;
            daemon.start().await?;
        }
    }
    cluster.wait_ready().await?;
    check_teams(&cluster, &accepted).await?;
    set_outage(&cluster, LogOutage::None);
    check_teams(&cluster, &accepted).await?;
    stop_watch.store(true, Ordering::Relaxed);
    let polls = watch.await??;
    println!(
        "{} changes accepted, {polls} offsets polled",
        count.load(Ordering::Relaxed)
    );
    cluster.shutdown().await
}
