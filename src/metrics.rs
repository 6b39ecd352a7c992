//! Counters, gauges and histograms of a daemon in the Prometheus text format.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use smol_str::SmolStr;

use crate::error::{Error, RunVerdict};
use crate::faults::TaskFaults;
use crate::relay::{ReadCounts, SkipMetrics};

/// A label value backed by a [`SmolStr`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LabelText(pub SmolStr);

impl EncodeLabelValue for LabelText {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        self.0.as_str().encode(encoder)
    }
}

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    Model,
    Service,
    Models,
    /// An opaque request on the users' platform.
    Relay,
}

impl RouteKind {
    /// Returns the name used in metrics and history.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Service => "service",
            Self::Models => "models",
            Self::Relay => "relay",
        }
    }
}

/// Labels of finished requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    pub route: &'static str,
    /// `ok` or the category of the error.
    pub outcome: &'static str,
    pub verdict: &'static str,
}

/// Label of per-team metrics.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TeamLabels {
    pub team: LabelText,
}

/// Label of metrics by kind or class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    pub kind: &'static str,
}

/// A gauge of fractions.
pub type RatioGauge = Gauge<f64, AtomicU64>;

/// All metrics of one daemon. Each is updated in place; [`DaemonMetrics::encode`] renders them.
pub struct DaemonMetrics {
    registry: Registry,
    /// Finished requests by route kind, outcome and verdict.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Requests whose connection this daemon closed without a complete answer, by kind (`broken_answer`,
    /// `write_timeout`, `unread_stream`, `evicted`, `shutdown`).
    pub closed: Family<KindLabels, Counter>,
    /// Time from the arrival of a model call to its first token, in seconds.
    pub first_token: Histogram,
    /// Time between two tokens of one answer, in seconds.
    pub inter_token: Histogram,
    /// Requests in progress, including waiting ones.
    pub in_flight: Gauge,
    /// Bytes of request bodies and answers that the process holds.
    pub held_bytes: Gauge,
    /// Requests that were refused because there was no memory for their bodies.
    pub memory_refusals: Counter,
    /// Request bodies that were not received, by kind (`too_large`, `no_memory`, `too_slow`, `stalled`, `displaced`,
    /// `unreadable`).
    pub body_faults: Family<KindLabels, Counter>,
    /// Connections that could not be accepted, mostly because the process may open no more files.
    pub accept_failures: Counter,
    /// Open connections at all HTTP addresses.
    pub connections: Gauge,
    /// Connections that gave way to others, by what they waited for (`first_request`, `head`, `body`, `reader`,
    /// `next_request`); `oldest` ones closed after their answers, as all were in use.
    pub evictions: Family<KindLabels, Counter>,
    /// Waiting requests by class (`interactive`, `overnight`).
    pub queue_length: Family<KindLabels, Gauge>,
    /// Deferrable requests that found no slot they may take (`deferred`), those whose slack ran out (`promoted`),
    /// and requests that came back after a refusal (`returned`), which are late by the time since their first attempt.
    pub deferrals: Family<KindLabels, Counter>,
    /// Requests that the queue refused, by reason (`full`, `no_chance` at arrival, `expired` while they waited).
    pub queue_refusals: Family<KindLabels, Counter>,
    /// Time that a request waited for a backend server, in seconds.
    pub queue_time: Histogram,
    /// Share of each team's rate that this daemon holds, from 0 to 1.
    pub share: Family<TeamLabels, RatioGauge>,
    /// Tokens in each team's bucket.
    pub tokens: Family<TeamLabels, Gauge>,
    /// Loans by kind (`asked`, `borrowed`, `lent`, `denied`).
    pub loans: Family<KindLabels, Counter>,
    /// Retries by kind (`sent`, `over_budget`).
    pub retries: Family<KindLabels, Counter>,
    /// Connections to backend servers for requests, by kind: `new` and `kept` ones with an answer, `refused` and `failed`
    /// ones on which nothing was sent, `moved` for requests that another server took then, and `reported` for servers that
    /// are not used because of a peer's report.
    pub connects: Family<KindLabels, Counter>,
    /// Attempts at servers that had not answered, by kind: `answered`, `failed`, and `undecided` for those that showed
    /// neither.
    pub trials: Family<KindLabels, Counter>,
    /// Claims by kind (`granted`, `recorded`, `conflict`, `released`, `unavailable`).
    pub claims: Family<KindLabels, Counter>,
    /// Orders to engines by kind (`sent`, `done`, `refused`, `fenced`, `repeated`).
    pub orders: Family<KindLabels, Counter>,
    /// Age of the newest proof that the configuration is current, in seconds.
    pub currency_age: RatioGauge,
    /// 1 while keyed routes are refused because this daemon's view may be out of date, else 0.
    pub isolated: Gauge,
    /// Next offset of the `config` stream that is not applied yet.
    pub config_next: Gauge,
    /// Versions of the configuration by kind (`in_force`, `known` for the newest that a peer has).
    pub config_versions: Family<KindLabels, Gauge>,
    /// Copies of another daemon's tables by kind (`whole`, `unconfirmed` if that daemon does not read the store either,
    /// `failed`).
    pub copies: Family<KindLabels, Counter>,
    /// Streams that began while several software versions served (`begun`), and streams that callers took up: by how
    /// their software version is known (`own`, `peer`, `sole`), or why they cannot go on (`unknown`, `conflicting`,
    /// `gone`).
    pub stream_tries: Family<KindLabels, Counter>,
    /// Records of backend servers that cannot be decoded.
    pub skipped_servers: SkipMetrics,
    /// Suspects and what is refused by kind (`suspect` and `quarantined` requests, `suspect_parts` and `blocked_parts` of
    /// prompts).
    pub suspects: Family<KindLabels, Gauge>,
    /// Backend servers that are cold.
    pub cold_servers: Gauge,
    /// Evacuated zones (`zones`), and requests that run on their servers (`running`).
    pub evacuations: Family<KindLabels, Gauge>,
    /// Backend servers by kind (`usable`, `leaving`, `down`, `refusing`; `unproven` ones have not answered yet, and at the
    /// addresses of `displaced` ones another server answers).
    pub backends: Family<KindLabels, Gauge>,
    /// Least and greatest pace of the backend servers in thousandths (`least`, `greatest`).
    pub paces: Family<KindLabels, Gauge>,
    /// Remaining work at the backend servers in milliseconds (`own`, `peers`).
    pub outstanding: Family<KindLabels, Gauge>,
    /// Requests that backend servers accepted, by the pace of the server (`slow`, `usual`, `fast`).
    pub choices: Family<KindLabels, Counter>,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Creates and registers all metrics under the prefix `foxtailhill`.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("foxtailhill"),
            requests: Family::default(),
            closed: Family::default(),
            first_token: Histogram::new(exponential_buckets(0.005, 1.6, 18)),
            inter_token: Histogram::new(exponential_buckets(0.001, 1.6, 14)),
            in_flight: Gauge::default(),
            held_bytes: Gauge::default(),
            memory_refusals: Counter::default(),
            body_faults: Family::default(),
            accept_failures: Counter::default(),
            connections: Gauge::default(),
            evictions: Family::default(),
            queue_length: Family::default(),
            deferrals: Family::default(),
            queue_refusals: Family::default(),
            queue_time: Histogram::new(exponential_buckets(0.000_1, 4.0, 12)),
            share: Family::default(),
            tokens: Family::default(),
            loans: Family::default(),
            retries: Family::default(),
            connects: Family::default(),
            trials: Family::default(),
            claims: Family::default(),
            orders: Family::default(),
            currency_age: RatioGauge::default(),
            isolated: Gauge::default(),
            config_next: Gauge::default(),
            config_versions: Family::default(),
            copies: Family::default(),
            stream_tries: Family::default(),
            skipped_servers: SkipMetrics::default(),
            suspects: Family::default(),
            cold_servers: Gauge::default(),
            evacuations: Family::default(),
            backends: Family::default(),
            paces: Family::default(),
            outstanding: Family::default(),
            choices: Family::default(),
        };
        metrics.register_requests();
        metrics.register_control();
        metrics
    }

    /// Adds the number of faults by task.
    pub fn with_faults(mut self, faults: &TaskFaults) -> Self {
        self.registry.register(
            "task_faults",
            "Tasks that panicked and services that ended, by task",
            faults.counts().clone(),
        );
        self
    }

    /// Adds the reads of the store's tables by table, call and cause.
    pub fn with_reads(mut self, reads: &ReadCounts) -> Self {
        self.registry.register(
            "table_reads",
            "Reads of the store's tables",
            reads.counters().clone(),
        );
        self
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Finished requests", self.requests.clone());
        registry.register(
            "closed_requests",
            "Requests without a complete answer whose connection the daemon closed",
            self.closed.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        registry.register(
            "inter_token_seconds",
            "Time between tokens of one answer",
            self.inter_token.clone(),
        );
        registry.register("in_flight", "Admitted requests", self.in_flight.clone());
        registry.register(
            "held_bytes",
            "Bytes of request bodies and answers",
            self.held_bytes.clone(),
        );
        registry.register(
            "memory_refusals",
            "Requests refused for lack of memory",
            self.memory_refusals.clone(),
        );
        registry.register(
            "body_faults",
            "Request bodies that were not received",
            self.body_faults.clone(),
        );
        registry.register("connections", "Open connections", self.connections.clone());
        registry.register(
            "accept_failures",
            "Connections that could not be accepted",
            self.accept_failures.clone(),
        );
        registry.register(
            "evicted_connections",
            "Connections that gave way to others",
            self.evictions.clone(),
        );
        registry.register(
            "queue_length",
            "Waiting requests",
            self.queue_length.clone(),
        );
        registry.register(
            "deferrals",
            "Deferrable requests that waited",
            self.deferrals.clone(),
        );
        registry.register(
            "queue_refusals",
            "Requests refused by the queue",
            self.queue_refusals.clone(),
        );
        registry.register(
            "queue_seconds",
            "Time waited for a backend server",
            self.queue_time.clone(),
        );
        registry.register("retries", "Retries", self.retries.clone());
        registry.register(
            "server_connects",
            "Connections to backend servers for requests",
            self.connects.clone(),
        );
        registry.register(
            "trials",
            "Attempts at backend servers that had not answered",
            self.trials.clone(),
        );
        registry.register("suspects", "Suspect requests", self.suspects.clone());
        registry.register(
            "cold_servers",
            "Backend servers that are cold",
            self.cold_servers.clone(),
        );
        registry.register(
            "evacuations",
            "Evacuated zones and requests on their servers",
            self.evacuations.clone(),
        );
    }

    fn register_control(&mut self) {
        let registry = &mut self.registry;
        registry.register("share", "Share of the rate", self.share.clone());
        registry.register("bucket_tokens", "Tokens in the bucket", self.tokens.clone());
        registry.register("loans", "Loans of tokens", self.loans.clone());
        registry.register(
            "claims",
            "Claims of non-repeatable requests",
            self.claims.clone(),
        );
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register(
            "currency_age_seconds",
            "Age of the proof that the configuration is current",
            self.currency_age.clone(),
        );
        registry.register(
            "isolated",
            "Whether keyed routes are refused",
            self.isolated.clone(),
        );
        registry.register(
            "config_next",
            "Next config offset to apply",
            self.config_next.clone(),
        );
        registry.register(
            "plan_version",
            "Versions of the configuration",
            self.config_versions.clone(),
        );
        registry.register("copies", "Copies of tables", self.copies.clone());
        registry.register(
            "stream_tries",
            "Streams by their software version",
            self.stream_tries.clone(),
        );
        registry.register(
            "skipped_server_keys",
            "Keys of backend servers whose newest record cannot be decoded",
            self.skipped_servers.keys.clone(),
        );
        registry.register(
            "skipped_server_records",
            "Records of backend servers that could not be decoded",
            self.skipped_servers.records.clone(),
        );
        registry.register("backends", "Backend servers", self.backends.clone());
        registry.register(
            "paces_permille",
            "Paces of backend servers",
            self.paces.clone(),
        );
        registry.register(
            "outstanding_work_ms",
            "Remaining work at backend servers",
            self.outstanding.clone(),
        );
        registry.register(
            "choices",
            "Accepted requests by the pace of their server",
            self.choices.clone(),
        );
    }

    /// Counts a finished request; `error` is `None` if it succeeded.
    pub fn finish_request(&self, route: RouteKind, error: Option<&Error>) {
        let labels = OutcomeLabels {
            route: route.as_str(),
            outcome: error.map_or("ok", |error| error.category().as_str()),
            verdict: error.map_or(RunVerdict::Ran, Error::verdict).as_str(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a request whose caller went away or stopped reading.
    pub fn cancel_request(&self, route: RouteKind) {
        let labels = OutcomeLabels {
            route: route.as_str(),
            outcome: "cancelled",
            verdict: RunVerdict::MayHaveRun.as_str(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Increments the counter of `kind` in `family`.
    pub fn count(&self, family: &Family<KindLabels, Counter>, kind: &'static str) {
        family.get_or_create(&KindLabels { kind }).inc();
    }

    /// Sets the gauge of `kind` in `family`.
    pub fn set(&self, family: &Family<KindLabels, Gauge>, kind: &'static str, value: i64) {
        family.get_or_create(&KindLabels { kind }).set(value);
    }

    /// Observes a duration in seconds.
    pub fn observe(&self, histogram: &Histogram, duration: Duration) {
        histogram.observe(duration.as_secs_f64());
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
