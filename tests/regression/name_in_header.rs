//! Callers were told with 400 that their request is wrong when a record of the store, not they, held a name that cannot stand
//! in a header.

use crate::relay_support::{RelayRig, Script, request, whole};

/// Guards against a 400 for the name of a team, which is no mistake of the caller.
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
