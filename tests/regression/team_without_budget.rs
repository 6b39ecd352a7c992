//! Requests of a limited team were refused with 404 between the moment at which a configuration came into force and the
//! one at which the limiter had taken over its teams.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::Category;
use foxtailhill::ids::VmId;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::limit::{LimitService, TokenLimiter};
use foxtailhill::member::{PeerTable, ShareGrant, ShareSink, WHOLE_PPM};
use foxtailhill::peer::PeerClient;
use foxtailhill::platform;
use foxtailhill::relay::ConfigHolder;
use futures_util::FutureExt;
use serde_json::json;

const TEAM: &str = "south";

fn config_holder() -> ConfigHolder {
    ConfigHolder::new(platform::CONFIGURATION_KEY, platform::decode_config)
}

fn configure(configs: &ConfigHolder, version: u64, teams: serde_json::Value) -> eyre::Result<()> {
    let config = json!({"version": version, "tenants": teams});
    configs.offer_record(config.to_string().into());
    eyre::ensure!(configs.version() == version, "{version} is not in force");
    Ok(())
}

fn limiter(configs: &ConfigHolder, group: &TaskGroup) -> LimitService<PeerClient> {
    let client = Arc::new(PeerClient::open(group));
    let limits = LimitService::open(configs.teams(), Arc::new(PeerTable::new()), client);
    let now = Instant::now();
    let grant = ShareGrant {
        vm: VmId(1),
        ppm: WHOLE_PPM,
        until: now + Duration::from_secs(3_600),
    };
    limits.adopt_share(Some(grant), now);
    limits
}

/// Guards against a 404 for a team that the configuration in force declares, because the limiter follows in a task that has
/// not run yet. No task runs between the two steps here.
#[tokio::test]
async fn team_has_a_budget_as_soon_as_its_configuration_is_in_force() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let configs = config_holder();
    let limits = limiter(&configs, &group);
    let teams = json!([{"name": TEAM, "api-keys": ["k"], "rate-per-s": 1_000_000, "burst": 1_000}]);
    configure(&configs, 1, teams)?;
    let deadline = Instant::now() + Duration::from_secs(20);
    let charged = limits.charge(&TEAM.into(), 1, deadline).now_or_never();
    if let Some(Err(error)) = &charged {
        eyre::bail!("a declared team is refused: {error}");
    }
    let names: Vec<_> = limits.spare().into_iter().map(|(team, _)| team).collect();
    eyre::ensure!(names == [TEAM], "{names:?}");
    group.shutdown().await;
    Ok(())
}

/// Guards against a final refusal of a request whose team the limiter does not know: its key was valid when it came, so the
/// caller may come back.
#[tokio::test]
async fn withdrawn_team_is_refused_as_unavailable() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let configs = config_holder();
    let limits = limiter(&configs, &group);
    configure(&configs, 1, json!([]))?;
    let deadline = Instant::now() + Duration::from_secs(20);
    let refused = limits.charge(&TEAM.into(), 1, deadline).await.err();
    let refused = refused.ok_or_else(|| eyre::eyre!("a team without a budget was charged"))?;
    eyre::ensure!(refused.category() == Category::Unavailable, "{refused}");
    eyre::ensure!(refused.retry_after().is_some(), "no time to come back");
    group.shutdown().await;
    Ok(())
}
