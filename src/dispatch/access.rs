//! Authentication of callers, and the check that a running request is still allowed.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;
use tokio::sync::watch;

use crate::catalog::{FleetCatalog, ModelSpec, RouteSpec};
use crate::currency::ViewCurrency;
use crate::error::{Category, Error, Result};
use crate::ids::{KeyDigest, LogOffset};

/// Says for whom a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessGrant {
    /// The route is open to all; no team is charged.
    Open,
    /// The request runs for `team`, by the caller's key named `key`.
    Team {
        team: SmolStr,
        key: SmolStr,
        digest: KeyDigest,
    },
}

impl AccessGrant {
    /// Returns the team that is charged.
    pub fn team(&self) -> Option<&SmolStr> {
        match self {
            Self::Open => None,
            Self::Team { team, .. } => Some(team),
        }
    }
}

/// Checks keys against the catalog and against how current the catalog is.
#[derive(Clone)]
pub struct AccessGate {
    catalogs: watch::Receiver<Arc<FleetCatalog>>,
    currency: Arc<ViewCurrency>,
}

impl AccessGate {
    /// Creates a gate over the catalogs that a replica publishes.
    pub fn new(catalogs: watch::Receiver<Arc<FleetCatalog>>, currency: Arc<ViewCurrency>) -> Self {
        Self { catalogs, currency }
    }

    /// Returns the latest catalog.
    pub fn catalog(&self) -> Arc<FleetCatalog> {
        self.catalogs.borrow().clone()
    }

    /// Returns the latest catalog for a request.
    ///
    /// # Errors
    ///
    /// `Unavailable` before any configuration is loaded, as nothing can be said of models and routes then.
    pub fn loaded_catalog(&self) -> Result<Arc<FleetCatalog>> {
        let catalog = self.catalog();
        if catalog.next_offset() == LogOffset(0) {
            return Err(Error::unavailable("the configuration is not loaded yet"));
        }
        Ok(catalog)
    }

    /// Returns a receiver that is woken by each new catalog.
    pub fn subscribe(&self) -> watch::Receiver<Arc<FleetCatalog>> {
        self.catalogs.clone()
    }

    /// Authenticates a model call.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` or `Forbidden`, or `Unavailable` while this daemon is isolated.
    pub fn authorize_model(
        &self,
        catalog: &FleetCatalog,
        model: &ModelSpec,
        secret: Option<&str>,
    ) -> Result<AccessGrant> {
        if model.open {
            return Ok(AccessGrant::Open);
        }
        self.authenticate(catalog, secret)
    }

    /// Authenticates a call on a route.
    ///
    /// # Errors
    ///
    /// As [`AccessGate::authorize_model`], and `Forbidden` if the route is not for the key's team.
    pub fn authorize_route(
        &self,
        catalog: &FleetCatalog,
        route: &RouteSpec,
        secret: Option<&str>,
    ) -> Result<AccessGrant> {
        if route.open {
            return Ok(AccessGrant::Open);
        }
        let grant = self.authenticate(catalog, secret)?;
        match grant.team() {
            Some(team) if !route.teams.is_empty() && !route.teams.contains(team) => Err(
                Error::new(Category::Forbidden, "the route is not open to this team"),
            ),
            _ => Ok(grant),
        }
    }

    /// Finds the team of a key.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` without a known key, `Unavailable` while this daemon is isolated.
    pub fn authenticate(
        &self,
        catalog: &FleetCatalog,
        secret: Option<&str>,
    ) -> Result<AccessGrant> {
        // The check of the view comes first: a stale catalog cannot tell whether a key is still granted.
        self.check_view(catalog)?;
        let secret =
            secret.ok_or_else(|| Error::new(Category::Unauthenticated, "a key is required"))?;
        let (key, team) = catalog
            .team_of_key(secret)
            .ok_or_else(|| Error::new(Category::Unauthenticated, "the key is not known"))?;
        Ok(AccessGrant::Team {
            team: team.clone(),
            key: key.clone(),
            digest: KeyDigest::of(secret.as_bytes()),
        })
    }

    /// Checks that a request that is under way may go on.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the key was withdrawn, `Unavailable` if this daemon is isolated. The verdict is that
    /// of a request that has not been sent; the caller of this function knows better where it has.
    pub fn recheck(&self, grant: &AccessGrant) -> Result<()> {
        let AccessGrant::Team { team, key, digest } = grant else {
            return Ok(());
        };
        let catalog = self.catalogs.borrow();
        self.check_view(&catalog)?;
        match catalog.key(key) {
            // A key that was replaced under the same name is withdrawn as well.
            Some(spec) if spec.team == *team && spec.digest == *digest => Ok(()),
            _ => Err(Error::new(
                Category::Unauthenticated,
                "the key was withdrawn",
            )),
        }
    }

    fn check_view(&self, catalog: &FleetCatalog) -> Result<()> {
        let now = Instant::now();
        if self
            .currency
            .state(now)
            .honours_keys(catalog.policy().key_grace, now)
        {
            return Ok(());
        }
        let message = "this zone cannot tell whether keys are still granted";
        Err(Error::unavailable(message))
    }
}
