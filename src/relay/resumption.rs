//! Decides at which servers a stream that a caller takes up may go on.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::dispatch::CoreParts;
use crate::error::{Error, Result};
use crate::relay::config::{CallKind, RouteConfig, ServingConfig};
use crate::relay::dispatcher::RelayDispatcher;
use crate::relay::format::{RelayFormat, RequestMetadata};
use crate::relay::origins::{KnownOrigin, StreamId};
use crate::relay::version_history::VersionHistory;

/// Added to the age of a stream, for a new version that other daemons know first.
const AGE_MARGIN: Duration = VersionHistory::SETTLE_TIME;

/// A software version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ServiceSoftware {
    pub(super) service: SmolStr,
    pub(super) software: SmolStr,
}

/// Where a request may run, by the stream that it belongs to.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamPlace {
    /// The stream, if it may be resumed.
    pub(super) stream: Option<StreamId>,
    /// The only servers that may serve the request; `None` for a stream that has not begun.
    pub(super) origin: Option<ServiceSoftware>,
}

/// How the software that began a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginSource {
    /// This daemon was told, or began the stream.
    Own,
    /// Another daemon answered.
    Peer,
    /// No other version can have begun it.
    Sole,
}

impl OriginSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Sole => "sole",
        }
    }
}

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TryRefusal {
    Unknown,
    Conflicting,
    Gone,
}

impl TryRefusal {
    fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Conflicting => "conflicting",
            Self::Gone => "gone",
        }
    }

    fn message(self) -> &'static str {
        match self {
            Self::Unknown => "it is not known which software version began the stream",
            Self::Conflicting => "several software versions may have begun the stream",
            Self::Gone => "no backend server runs the software version that began the stream",
        }
    }
}

type FoundOrigin = std::result::Result<(ServiceSoftware, OriginSource), TryRefusal>;

impl<P: CoreParts, F: RelayFormat> RelayDispatcher<P, F> {
    /// Returns where a request may run. Other daemons are asked if several software versions can have begun its stream
    /// and this daemon does not know which one has.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the stream has events and cannot go on.
    pub(super) async fn find_place(
        &self,
        config: &ServingConfig,
        route: &Arc<RouteConfig>,
        metadata: &RequestMetadata,
        team: Option<&SmolStr>,
    ) -> Result<StreamPlace> {
        if route.kind != CallKind::Streaming || !route.resumable {
            return Ok(StreamPlace::default());
        }
        let team = team.map(SmolStr::as_str);
        let longest = self.note_wait(route, metadata.deadline);
        if !metadata.is_resumed() {
            return Ok(StreamPlace {
                stream: Some(StreamId::of(team, &metadata.id)),
                origin: None,
            });
        }
        let named = metadata.resumes.as_ref().filter(|id| !id.is_empty());
        let stream = named.map(|id| StreamId::of(team, id));
        let found = self
            .find_origin(config, route, stream, longest + AGE_MARGIN)
            .await;
        let kind = match &found {
            Ok((_, source)) => source.as_str(),
            Err(refusal) => refusal.as_str(),
        };
        let metrics = self.core().metrics();
        metrics.count(&metrics.stream_tries, kind);
        log::info!(
            "the stream of attempt `{}` is taken up after event {:?}: {kind}, {:?}",
            named.map_or("", SmolStr::as_str),
            metadata.last_event,
            found.as_ref().ok().map(|(origin, _)| origin),
        );
        match found {
            Ok((origin, _)) => Ok(StreamPlace {
                stream,
                origin: Some(origin),
            }),
            Err(refusal) => Err(Error::unavailable(refusal.message())),
        }
    }

    /// Returns the software that began a stream of at most `age`.
    async fn find_origin(
        &self,
        config: &ServingConfig,
        route: &RouteConfig,
        stream: Option<StreamId>,
        age: Duration,
    ) -> FoundOrigin {
        let origins = self.origins();
        let own = stream.map_or(KnownOrigin::Unknown, |stream| origins.find(stream));
        if own != KnownOrigin::Unknown {
            let origin = self.listed_origin(route, own)?;
            return Ok((origin, OriginSource::Own));
        }
        let now = Instant::now();
        if let Ok(service) = self.select_service(config, route)
            && let Some(software) = self.fleet().sole_software(&service.name, age, now)
        {
            let service = service.name.clone();
            return Ok((ServiceSoftware { service, software }, OriginSource::Sole));
        }
        let known = match stream {
            Some(stream) => origins.ask(stream).await,
            None => KnownOrigin::Unknown,
        };
        let origin = self.listed_origin(route, known)?;
        Ok((origin, OriginSource::Peer))
    }

    /// Returns the listed software that `known` stands for, among the services of the route.
    fn listed_origin(
        &self,
        route: &RouteConfig,
        known: KnownOrigin,
    ) -> std::result::Result<ServiceSoftware, TryRefusal> {
        let origin = match known {
            KnownOrigin::Known(origin) => origin,
            KnownOrigin::Unknown => return Err(TryRefusal::Unknown),
            KnownOrigin::Conflicting => return Err(TryRefusal::Conflicting),
        };
        let services = route.services.iter().map(|(service, _)| service);
        let mut listed = services.filter_map(|service| {
            let software = self.fleet().find_software(service, origin)?;
            let service = service.clone();
            Some(ServiceSoftware { service, software })
        });
        listed.next().ok_or(TryRefusal::Gone)
    }

    /// Notes how long a caller waits. Returns the longest time on the route, which is at least the route's timeout.
    fn note_wait(&self, route: &RouteConfig, wait: Option<Duration>) -> Duration {
        let wait = wait.unwrap_or_default();
        let mut waits = self
            .longest_waits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // A longer one does not count: nothing is known for as long, so its caller's streams go on only if they are remembered.
        if !waits.contains_key(&route.name) {
            waits.insert(route.name.clone(), Duration::ZERO);
        }
        let known = waits.get_mut(&route.name);
        let longest = known.map_or(Duration::ZERO, |longest| {
            if wait <= VersionHistory::MAX_AGE - AGE_MARGIN {
                *longest = wait.max(*longest);
            }
            *longest
        });
        longest.max(route.timeout).max(wait)
    }
}
