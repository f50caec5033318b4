//! The settings that one router is configured with at its start.

use super::{Endpoint, Ms};

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotence {
    /// A repeated execution has no further effect.
    Idempotent,
    /// The request carries an idempotency key: endpoints within `scope` drop a repeated execution for
    /// `window` after the first one.
    WithKey {
        /// The endpoints that recognise the key.
        scope: DeduplicationScope,
        /// How long after the first execution they do.
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
    /// Those of one zone.
    Zone,
    /// Those of one cell of a zone.
    Cell,
}

/// The service objectives and caching rules of one class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// Whether its requests may be executed more than once.
    pub idempotence: Idempotence,
    /// Executed at the origin; the answer is never cached.
    pub is_write: bool,
    /// The answer is passed on while it is being received.
    pub is_streamed: bool,
    /// The time within which an answer earns its full weight.
    pub latency_objective: Ms,
    /// Added to the latency objective as a multiple of the request's own transfer time.
    pub objective_stretch_ratio: f64,
    /// The time after which an answer is worthless.
    pub deadline: Ms,
    /// Weight of an answer in time.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the latency objective earns, from 0 to 1.
    pub late_weight_ratio: f64,
    /// How long a copy is fresh; 0 means until it is purged.
    pub freshness_lifetime: Ms,
    /// How long after its freshness lifetime a copy may still be served.
    pub stale_grace: Ms,
    /// Share of the weight that a stale answer earns, from 0 to 1.
    pub stale_weight_ratio: f64,
}

impl Default for RequestClass {
    /// A class that the settings do not list: assumed not to be idempotent.
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

/// How much an attempt's outcome reports about how the answer was produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutcomeDetail {
    /// Every [`CacheStatus`](super::CacheStatus), and the time spent waiting for the source.
    Full,
    /// Only how a successful answer was produced.
    HitsOnly,
    #[default]
    /// Nothing.
    None,
}

/// Which caches may be the source of another cache's fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SiblingFill {
    #[default]
    /// None.
    Disabled,
    /// Caches of the same location.
    SameLocation,
    /// All caches.
    AnyLocation,
}

/// How an endpoint may be loaded while it is warming up after its start.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SlowStart {
    /// Share of its capacity that is available at its start, from 0 to 1.
    pub initial_ratio: f64,
    /// Time over which the capacity rises linearly to all of it.
    pub duration: Ms,
    /// The endpoint fails when it is sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// The time over which that load is counted.
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
    /// The endpoint list carries no capacities: all its weights are equal.
    pub weights_unknown: bool,
    /// The endpoint list is sent only to routers that subscribe to it.
    pub subscribe_to_endpoints: bool,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// An idempotent request may have several attempts in flight.
    pub parallel_attempts: bool,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be sent health checks.
    pub may_health_check: bool,
    /// A rejection may carry a Retry-After.
    pub supports_retry_after: bool,
    /// The longest Retry-After.
    pub max_retry_after: Ms,
    /// Time after the start of a drain in which requests may still arrive.
    pub drain_grace: Ms,
    /// Slow start of caches.
    pub cache_slow_start: SlowStart,
    /// Slow start of parents.
    pub parent_slow_start: SlowStart,
    /// The role number of parents; `None` where there are none.
    pub parent_role: Option<u16>,
    /// The role number of the origin; `None` where there is none.
    pub origin_role: Option<u16>,
    /// Maximum rate of one transfer to a client, KB/s; 0 means unknown.
    pub flow_kb_per_s: f64,
    /// Capacity of the location's fill link, KB/s; 0 means unknown.
    pub fill_link_kb_per_s: f64,
    /// Which caches may be the source of a fill.
    pub sibling_fill: SiblingFill,
    /// A request may wait for a fill that is already under way.
    pub coalesces_fills: bool,
    /// A request may be forwarded directly to a parent or the origin.
    pub may_bypass_caches: bool,
    /// What outcomes report.
    pub outcome_detail: OutcomeDetail,
    /// Time after a purge in which an older copy may still be served.
    pub purge_grace: Ms,
    /// Time after a purge by which every older copy has been removed.
    pub purge_completion: Ms,
}

impl Settings {
    /// The class with that number, or the defaults if the settings do not list it.
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

    /// How the endpoint may be loaded after its start; the origin has no such limit.
    pub fn slow_start(&self, endpoint: &Endpoint) -> SlowStart {
        match (self.is_parent(endpoint), self.is_origin(endpoint)) {
            (true, _) => self.parent_slow_start,
            (_, true) => SlowStart::default(),
            _ => self.cache_slow_start,
        }
    }

    /// Number of routers that may send to the endpoint: those of its zone, or all for a shared one.
    pub fn routers_sharing(&self, endpoint: &Endpoint) -> u32 {
        let in_zone = self.routers_by_zone.get(usize::from(endpoint.zone)).copied().unwrap_or(0);
        let shared = self.is_parent(endpoint) || self.is_origin(endpoint) || in_zone == 0;
        (if shared { self.routers } else { in_zone }).max(1)
    }
}
