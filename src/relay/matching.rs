//! Matches requests to routes, teams and the tokens that they are charged for.

use std::sync::Arc;

use http::request::Parts;

use crate::error::{Category, Error, Result};
use crate::relay::config::{RouteConfig, ServingConfig, TeamConfig};
use crate::relay::dispatcher::{RequestAttribution, RouteMatch};
use crate::relay::format::RequestMetadata;

/// Finds the route and the team of a request in `config` and records them in `attribution`.
pub(super) fn match_in_config(
    config: Arc<ServingConfig>,
    head: &Parts,
    metadata: &RequestMetadata,
    attribution: &mut RequestAttribution,
) -> Result<RouteMatch> {
    *attribution = RequestAttribution {
        config_version: config.version,
        ..RequestAttribution::default()
    };
    let route = find_route(&config, head)?.clone();
    attribution.route = Some(route.name.clone());
    let team = authenticate(&config, &route, metadata)?.cloned();
    attribution.team = team.as_ref().map(|team| team.spec.name.clone());
    Ok(RouteMatch {
        config,
        route,
        team,
    })
}

fn find_route<'a>(config: &'a ServingConfig, head: &Parts) -> Result<&'a Arc<RouteConfig>> {
    let host = head.headers.get(http::header::HOST);
    let host = host
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host());
    let host = host.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    config
        .route(name, head.uri.path())
        .ok_or_else(|| Error::new(Category::NotFound, "no route matches this host and path"))
}

/// Returns the team of the request's key; `None` on routes that require no key.
fn authenticate<'a>(
    config: &'a ServingConfig,
    route: &RouteConfig,
    metadata: &RequestMetadata,
) -> Result<Option<&'a Arc<TeamConfig>>> {
    if route.public || config.teams().is_empty() {
        return Ok(None);
    }
    let key = metadata.key.as_deref();
    let team = key.and_then(|key| config.team_of_key(key));
    team.map(Some).ok_or_else(|| {
        let message = "the key is missing or unknown";
        Error::new(Category::Unauthenticated, message)
    })
}

pub(super) fn tokens_to_charge(team: Option<&TeamConfig>, metadata: &RequestMetadata) -> u64 {
    match metadata.tokens {
        Some((prompt, output)) => prompt.saturating_add(output),
        None => team.map_or(0, |team| team.default_tokens),
    }
}
