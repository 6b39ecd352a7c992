//! Authentication and authorization of callers, also while their requests run.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;
use tokio::sync::watch;

use crate::catalog::{FleetCatalog, ModelSpec, RouteSpec};
use crate::currency::ViewCurrency;
use crate::error::{Category, Error, Result};
use crate::ids::{KeyDigest, LogOffset};

/// For whom a request runs, and by which key.
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

/// Checks keys against the catalog, and that the catalog is recent enough for that.
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
    /// `Unavailable` until a configuration is loaded, as it is not known before which models and routes exist.
    pub fn loaded_catalog(&self) -> Result<Arc<FleetCatalog>> {
        let catalog = self.catalog();
        if catalog.next_offset() == LogOffset(0) {
            return Err(Error::unavailable("the configuration is not loaded yet"));
        }
        Ok(catalog)
    }

    /// Returns a receiver that is notified of each new catalog.
    pub fn subscribe(&self) -> watch::Receiver<Arc<FleetCatalog>> {
        self.catalogs.clone()
    }

    /// Authorizes a model call.
    ///
    /// # Errors
    ///
    /// As [`AccessGate::authenticate`], unless the model is open.
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

    /// Authorizes a call on a route.
    ///
    /// # Errors
    ///
    /// As [`AccessGate::authenticate`], unless the route is open, and `Forbidden` if it is not for the key's team.
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

    /// Authenticates a caller: finds the team of its key.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` without a known key, `Unavailable` while this daemon is isolated.
    pub fn authenticate(
        &self,
        catalog: &FleetCatalog,
        secret: Option<&str>,
    ) -> Result<AccessGrant> {
        // Checked first, as an outdated catalog does not show whether a key is still granted.
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

    /// Checks that a running request may continue.
    ///
    /// # Errors
    ///
    /// `Unauthenticated` if the key was withdrawn, `Unavailable` if this daemon is isolated. The error's verdict is
    /// `NotRun`: the caller of this function replaces it if the request was sent.
    pub fn recheck(&self, grant: &AccessGrant) -> Result<()> {
        let AccessGrant::Team { team, key, digest } = grant else {
            return Ok(());
        };
        let catalog = self.catalogs.borrow();
        self.check_view(&catalog)?;
        match catalog.key(key) {
            // A key that was replaced under the same name counts as withdrawn.
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
            .accepts_keys(catalog.policy().key_grace, now)
        {
            return Ok(());
        }
        let message = "this zone cannot tell whether keys are still granted";
        Err(Error::unavailable(message))
    }
}
