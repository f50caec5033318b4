//! The state that a router holds on endpoints, requests and attempts. The rules that use it are in
//! [`policy`](crate::policy).

use crate::bloom_filter::RotatingBloomFilter;
use crate::endpoint_health::EndpointHealth;
use crate::estimators::{ConcurrencyLimit, Ewma, TimeWeightedMean, TokenBucket};
use crate::interface::{Endpoint, EndpointId, FillInstruction, Ms, RejectReason, Request};

/// The state of a cache, a parent or the origin, as observed by this router.
#[derive(Debug)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// State of its ejection and recovery.
    pub health: EndpointHealth,
    /// Of a cache, the share of failed or rejected requests for cached copies; of a parent, the share of
    /// rejected fills.
    pub self_failure_ratio: Ewma,
    /// Time of its last response.
    pub last_response_at: Ms,
    /// Time of the last failed connection attempt while it was not healthy; 0 means none.
    pub connect_failed_at: Ms,
    /// Mean interval between its responses.
    pub response_interval: Ewma,
    /// Mean response time without a fill, as a multiple of the latency objective.
    pub slowness: Ewma,
    /// Number of transfers that it can send at once, learned from its answers.
    pub learned_capacity: Ewma,
    /// Number of this router's attempts in flight.
    pub in_flight: u32,
    /// Mean number of this router's attempts in flight.
    pub mean_in_flight: TimeWeightedMean,
    /// As a fill source: share of fills that were late.
    pub late_fill_ratio: Ewma,
    /// As a fill source: mean time to the first byte of fills that it fetched from the origin.
    pub origin_wait: Ewma,
    /// Limit on its load, above which requests for it are rejected.
    pub load_limit: ConcurrencyLimit,
    /// The copies that it is known, from outcomes, to cache.
    pub cached_copies: RotatingBloomFilter,
    /// Budget of work that may be sent to it while it is warming up, in milliseconds of transfer time.
    pub slow_start_budget: TokenBucket,
}

impl EndpointRecord {
    /// A record without any observation.
    pub fn new(
        endpoint: Endpoint,
        now: Ms,
        capacity: f64,
        cached_copies: RotatingBloomFilter,
        load_limit: f64,
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
            load_limit: ConcurrencyLimit::new(load_limit),
            cached_copies,
            slow_start_budget: TokenBucket::empty(now),
        }
    }

    /// Updates the mean number of attempts in flight up to `now`.
    pub fn advance(&mut self, now: Ms, time_constant: Ms) {
        self.mean_in_flight.advance(now, f64::from(self.in_flight), time_constant);
    }

    /// Records a response of any kind. `weight` is its weight in the mean response interval.
    pub fn record_response(&mut self, now: Ms, weight: f64) {
        self.response_interval.update(now - self.last_response_at, weight);
        self.last_response_at = now;
    }
}

/// One attempt in flight.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRecord {
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// The source that the endpoint may fill from, if any.
    pub source: Option<EndpointId>,
    /// When the attempt was sent.
    pub sent_at: Ms,
    /// Number of the request class.
    pub class: u16,
    /// Transfer time of the answer.
    pub work: Ms,
    /// Latency objective of the request.
    pub latency_objective: Ms,
    /// Whether the endpoint caches a copy that it fills.
    pub caches_fill: bool,
    /// Whether the fill source is another cache of the location.
    pub fills_from_sibling: bool,
    /// Whether a fill over the location's fill link is expected.
    pub fills_from_upstream: bool,
    /// Transfer time that the attempt adds to the work in flight on the fill link.
    pub fill_link_work: Ms,
    /// Whether the endpoint is known to cache the copy but may have to revalidate it.
    pub may_revalidate: bool,
    /// Key of the copy in [`EndpointRecord::cached_copies`].
    pub copy_key: u64,
    /// Whether this router has cancelled the attempt.
    pub cancelled: bool,
    /// Whether the attempt was counted as a late fill while it was still in flight.
    pub counted_late: bool,
}

/// A request without a final answer.
#[derive(Debug)]
pub struct RequestRecord {
    /// The request as received.
    pub request: Request,
    /// Transfer time of the answer.
    pub work: Ms,
    /// Time at which the client stops waiting.
    pub deadline: Ms,
    /// Number of attempts sent.
    pub attempts_sent: u32,
    /// Number of attempts that have not ended.
    pub attempts_in_flight: u32,
    /// Sending time and endpoint of the first attempt that may have been executed.
    pub may_have_executed: Option<(Ms, EndpointId)>,
    /// Endpoints that failed this request and are avoided by later attempts.
    pub avoid: Vec<EndpointId>,
    /// Whether sibling overflow is disabled for the request, as a cache had no usable copy.
    pub owner_only: bool,
    /// Whether a further attempt would fail too, because the cache had no usable copy and did not fill one,
    /// or because the origin rejected the fill.
    pub nothing_cached: bool,
    /// Why the last attempt was not allowed to fill, if so.
    pub fill_denied: Option<RejectReason>,
    /// Random number from 0 up to 1, drawn once per request, for probabilistic shedding.
    pub draw: f64,
    /// Whether the client is receiving the answer.
    pub response_started: bool,
}

impl RequestRecord {
    /// A request without any attempt.
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

/// The endpoint that an attempt is sent to, and its fill instruction.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// The endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// How a missing copy is filled. `None`, or the endpoint as its own source, for no fill.
    pub fill: Option<FillInstruction>,
    /// Why a missing copy may not be filled, if so.
    pub fill_denied: Option<RejectReason>,
}

impl Route {
    /// A route on which nothing is filled.
    pub fn without_fill(endpoint: EndpointId) -> Self {
        Self { endpoint, fill: None, fill_denied: None }
    }

    /// A route on which the endpoint fills a missing copy as instructed.
    pub fn with_fill(endpoint: EndpointId, fill: FillInstruction) -> Self {
        Self { endpoint, fill: Some(fill), fill_denied: None }
    }
}
