//! The configuration that a router receives when it starts.

use super::{Endpoint, Ms};

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotence {
    /// A repeated execution has no further effect.
    Idempotent,
    /// The request carries an idempotency key. Endpoints within `scope` do not execute a request with the
    /// same key again within `window` after the first execution.
    WithKey {
        /// The endpoints that recognise the key.
        scope: DeduplicationScope,
        /// Time after the first execution during which they recognise it.
        window: Ms,
    },
    /// Each execution takes effect.
    NotIdempotent,
}

/// The endpoints that recognise the same idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell of a zone.
    Cell,
}

/// The service objectives and caching rules of one class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// Whether its requests may be executed more than once.
    pub idempotence: Idempotence,
    /// Whether the requests are executed at the origin; their answers are never cached.
    pub is_write: bool,
    /// Whether answers are forwarded to the client while they are being received.
    pub is_streamed: bool,
    /// Time within which an answer has its full weight.
    pub latency_objective: Ms,
    /// Multiple of the request's transfer time that is added to the latency objective.
    pub objective_stretch_ratio: f64,
    /// Time after which an answer has no weight.
    pub deadline: Ms,
    /// Weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Share of the weight of an answer after the latency objective, from 0 to 1.
    pub late_weight_ratio: f64,
    /// Time for which a copy is fresh; 0 means until it is purged.
    pub freshness_lifetime: Ms,
    /// Time after the freshness lifetime during which a stale copy may still be served.
    pub stale_grace: Ms,
    /// Share of the weight of a stale answer, from 0 to 1.
    pub stale_weight_ratio: f64,
}

impl Default for RequestClass {
    /// The class used for numbers that the settings do not define; assumed not to be idempotent.
    fn default() -> Self {
        Self {
            idempotence: Idempotence::NotIdempotent,
            is_write: false,
            is_streamed: false,
            latency_objective: 0.0,
            objective_stretch_ratio: 0.0,
            deadline: 0.0,
            priority_weight: 1.0,
            late_weight_ratio: 0.0,
            freshness_lifetime: 0.0,
            stale_grace: 0.0,
            stale_weight_ratio: 1.0,
        }
    }
}

impl RequestClass {
    /// The latency objective of a request whose answer takes `work` milliseconds to transfer.
    pub fn objective_for(&self, work: Ms) -> Ms {
        self.latency_objective + self.objective_stretch_ratio * work
    }
}

/// How much the outcome of an attempt reports about how the response was produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutcomeDetail {
    /// Every [`CacheStatus`](super::CacheStatus), and the time spent waiting for the source.
    Full,
    /// Only how a successful response was produced.
    HitsOnly,
    /// Nothing.
    #[default]
    None,
}

/// Which caches may be the source of another cache's fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SiblingFill {
    /// None.
    #[default]
    Disabled,
    /// Caches of the same location.
    SameLocation,
    /// All caches.
    AnyLocation,
}

/// Limits on the load of an endpoint that is warming up after its start.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SlowStart {
    /// Share of the capacity that is available at the start, from 0 to 1.
    pub initial_ratio: f64,
    /// Time over which the available capacity rises linearly to the full capacity.
    pub duration: Ms,
    /// The endpoint fails if it is sent more than this multiple of the available capacity.
    pub overload_multiple: f64,
    /// Time over which that load is measured.
    pub overload_window: Ms,
}

/// The configuration of one router.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Number of routers in all locations.
    pub routers: u32,
    /// Number of routers in each zone.
    pub routers_by_zone: Vec<u32>,
    /// The zone of this router.
    pub zone: u16,
    /// Request classes by number.
    pub classes: Vec<RequestClass>,
    /// Resolution of the clock that the router is given.
    pub clock_resolution: Ms,
    /// Whether the endpoint list contains no capacities, so that all its weights are equal.
    pub weights_unknown: bool,
    /// Whether the endpoint list is sent only to routers that subscribe to it.
    pub subscribe_to_endpoints: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Whether an idempotent request may have several attempts in flight.
    pub parallel_attempts: bool,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Whether endpoints may be sent health checks.
    pub may_health_check: bool,
    /// Whether a rejection may carry a `Retry-After`.
    pub supports_retry_after: bool,
    /// Longest `Retry-After`.
    pub max_retry_after: Ms,
    /// Time after the start of a drain during which requests may still arrive.
    pub drain_grace: Ms,
    /// Slow-start limits of caches.
    pub cache_slow_start: SlowStart,
    /// Slow-start limits of parents.
    pub parent_slow_start: SlowStart,
    /// Role number of parents; `None` if there are none.
    pub parent_role: Option<u16>,
    /// Role number of the origin; `None` if there is none.
    pub origin_role: Option<u16>,
    /// Maximum rate of one transfer to a client, in KB/s; 0 means unknown.
    pub flow_kb_per_s: f64,
    /// Capacity of the location's fill link, in KB/s; 0 means unknown.
    pub fill_link_kb_per_s: f64,
    /// Which caches may be the source of a fill.
    pub sibling_fill: SiblingFill,
    /// Whether a request may wait for a fill that is already in progress.
    pub coalesces_fills: bool,
    /// Whether requests may be forwarded directly to a parent or the origin.
    pub may_bypass_caches: bool,
    /// How much the outcomes of attempts report.
    pub outcome_detail: OutcomeDetail,
    /// Time after a purge during which an older copy may still be served.
    pub purge_grace: Ms,
    /// Time after a purge within which all older copies are removed.
    pub purge_completion: Ms,
}

impl Settings {
    /// The class with that number, or the default class if the settings do not define it.
    pub fn class(&self, class: u16) -> RequestClass {
        self.classes.get(usize::from(class)).cloned().unwrap_or_default()
    }

    /// Whether the endpoint is a parent cache.
    pub fn is_parent(&self, endpoint: &Endpoint) -> bool {
        Some(endpoint.role) == self.parent_role
    }

    /// Whether the endpoint is the origin.
    pub fn is_origin(&self, endpoint: &Endpoint) -> bool {
        Some(endpoint.role) == self.origin_role
    }

    /// Whether the endpoint is a cache in this router's own location.
    pub fn is_local_cache(&self, endpoint: &Endpoint) -> bool {
        endpoint.zone == self.zone && !self.is_parent(endpoint) && !self.is_origin(endpoint)
    }

    /// The slow-start limits of the endpoint; the origin has none.
    pub fn slow_start(&self, endpoint: &Endpoint) -> SlowStart {
        match (self.is_parent(endpoint), self.is_origin(endpoint)) {
            (true, _) => self.parent_slow_start,
            (_, true) => SlowStart::default(),
            _ => self.cache_slow_start,
        }
    }

    /// Number of routers that may send to the endpoint, at least 1: all routers for a parent or the origin,
    /// otherwise those of its zone, or all if their number is not known.
    pub fn routers_sharing(&self, endpoint: &Endpoint) -> u32 {
        let in_zone = self.routers_by_zone.get(usize::from(endpoint.zone)).copied().unwrap_or(0);
        let shared = self.is_parent(endpoint) || self.is_origin(endpoint) || in_zone == 0;
        (if shared { self.routers } else { in_zone }).max(1)
    }
}
