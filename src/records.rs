//! What a router remembers of endpoints, requests and attempts: records only, without any rule.

use crate::bloom_filter::RotatingBloomFilter;
use crate::endpoint_health::EndpointHealth;
use crate::estimators::{ConcurrencyLimit, Ewma, TimeWeightedMean, TokenBucket};
use crate::interface::{Endpoint, EndpointId, FillInstruction, Ms, RejectReason, Request};

/// What is known of a cache, a parent or the origin.
#[derive(Debug)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Ejection and recovery.
    pub health: EndpointHealth,
    /// Share of requests for cached copies that a cache failed or rejected; of a parent, of the fills.
    pub self_failure_ratio: Ewma,
    /// When it last responded.
    pub last_response_at: Ms,
    /// When a connection was last refused while it was not healthy; 0 means not yet.
    pub connect_failed_at: Ms,
    /// Time between its responses.
    pub response_interval: Ewma,
    /// Response times as multiples of the latency objective.
    pub slowness: Ewma,
    /// Number of transfers that it can send at once, learnt from its answers.
    pub learned_capacity: Ewma,
    /// Attempts of this router in flight.
    pub in_flight: u32,
    /// Mean of the attempts in flight.
    pub mean_in_flight: TimeWeightedMean,
    /// As a fill source: share of late fills.
    pub late_fill_ratio: Ewma,
    /// As a fill source: time to the first byte of what it fetched from the origin.
    pub origin_wait: Ewma,
    /// How much of its capacity may be in use before requests for it are rejected.
    pub crowding_limit: ConcurrencyLimit,
    /// The copies that it has been seen to cache.
    pub cached_copies: RotatingBloomFilter,
    /// Work that may be sent to it while it is warming up, in milliseconds of transfer time.
    pub slow_start_budget: TokenBucket,
}

impl EndpointRecord {
    /// A record without any observation.
    pub fn new(
        endpoint: Endpoint,
        now: Ms,
        capacity: f64,
        cached_copies: RotatingBloomFilter,
        crowding_limit: f64,
    ) -> Self {
        Self {
            endpoint,
            health: EndpointHealth::default(),
            self_failure_ratio: Ewma::new(0.0),
            last_response_at: now,
            connect_failed_at: 0.0,
            response_interval: Ewma::new(0.0),
            slowness: Ewma::new(0.0),
            learned_capacity: Ewma::new(capacity),
            in_flight: 0,
            mean_in_flight: TimeWeightedMean::new(now),
            late_fill_ratio: Ewma::new(0.0),
            origin_wait: Ewma::new(0.0),
            crowding_limit: ConcurrencyLimit::new(crowding_limit),
            cached_copies,
            slow_start_budget: TokenBucket::empty(now),
        }
    }

    /// Updates the mean number of attempts in flight up to `now`.
    pub fn advance(&mut self, now: Ms, time_constant: Ms) {
        self.mean_in_flight.advance(now, f64::from(self.in_flight), time_constant);
    }

    /// Records a response of whatever kind.
    pub fn record_response(&mut self, now: Ms, weight: f64) {
        self.response_interval.update(now - self.last_response_at, weight);
        self.last_response_at = now;
    }
}

/// One attempt in flight.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where the endpoint fills from, if it may.
    pub source: Option<EndpointId>,
    /// When it was sent.
    pub sent_at: Ms,
    /// Number of the request class.
    pub class: u16,
    /// Transfer time of the answer.
    pub work: Ms,
    /// The latency objective of its request.
    pub latency_objective: Ms,
    /// The endpoint caches what it fills.
    pub caches_fill: bool,
    /// Filled from another cache of the location.
    pub fills_from_sibling: bool,
    /// Likely to use the location's fill link.
    pub fills_from_above: bool,
    /// Transfer time that it is counted with on the fill link.
    pub filling: Ms,
    /// Known to be cached, but the copy may have to be revalidated.
    pub may_revalidate: bool,
    /// Key of the copy in [`EndpointRecord::cached_copies`].
    pub copy_key: u64,
    /// Cancelled by this router.
    pub cancelled: bool,
    /// Counted as late while it was still in flight.
    pub counted_late: bool,
}

/// A request without a final answer.
#[derive(Debug)]
pub struct RequestRecord {
    /// The request.
    pub request: Request,
    /// Transfer time of the answer.
    pub work: Ms,
    /// When the client gives up.
    pub deadline: Ms,
    /// Number of attempts sent.
    pub attempts_sent: u32,
    /// Number of attempts that have not ended.
    pub attempts_in_flight: u32,
    /// When and where the first attempt was sent that may have been executed.
    pub may_have_executed: Option<(Ms, EndpointId)>,
    /// Endpoints that failed this request.
    pub avoid: Vec<EndpointId>,
    /// A sibling fill missed: no further one is tried.
    pub owner_only: bool,
    /// Only a cached copy was allowed and there was none, or the origin rejected the fill: another attempt
    /// would end alike.
    pub nothing_cached: bool,
    /// Why the last attempt was allowed no fill, if it was not.
    pub fill_denied: Option<RejectReason>,
    /// A random number from 0 up to 1, drawn once, that decides about probabilistic shedding.
    pub draw: f64,
    /// The client is receiving the answer.
    pub response_started: bool,
}

impl RequestRecord {
    /// A request of which no attempt has been sent.
    pub fn new(request: Request, work: Ms, deadline: Ms, draw: f64) -> Self {
        Self {
            request,
            work,
            deadline,
            attempts_sent: 0,
            attempts_in_flight: 0,
            may_have_executed: None,
            avoid: Vec::new(),
            owner_only: false,
            nothing_cached: false,
            fill_denied: None,
            draw,
            response_started: false,
        }
    }
}

/// Where an attempt is sent, and how a missing copy is filled.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How a missing copy is filled. `None`, or the endpoint as its own source, for no fill.
    pub fill: Option<FillInstruction>,
    /// Why a missing copy may not be filled, if it may not.
    pub fill_denied: Option<RejectReason>,
}

impl Route {
    /// The endpoint answers without a fill.
    pub fn without_fill(endpoint: EndpointId) -> Self {
        Self { endpoint, fill: None, fill_denied: None }
    }

    /// The endpoint fills a missing copy as instructed.
    pub fn with_fill(endpoint: EndpointId, fill: FillInstruction) -> Self {
        Self { endpoint, fill: Some(fill), fill_denied: None }
    }
}
