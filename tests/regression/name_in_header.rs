//! A team name from the store that is not a valid header value made the relay answer 400, although the request of the
//! caller was correct.

use crate::relay_support::{RelayRig, Script, request, whole};

/// Guards against status 400 for an invalid team name in the configuration.
#[tokio::test]
async fn invalid_team_name_is_not_reported_as_a_caller_error() -> eyre::Result<()> {
    let (mut rig, servers) =
        RelayRig::with_servers(vec![vec![Script::Answer(whole("200 OK", "yes"))]]).await?;
    rig.configure(|config| config["tenants"][0]["name"] = "south\ncoast".into())?;
    let answer = rig.send(&request("GET", "/check/1", "r1", "", "")).await?;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert_eq!(servers[0].requests().len(), 0);
    rig.shutdown().await;
    Ok(())
}
