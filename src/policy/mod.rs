//! The routing policy: where a request is sent, and when it is rejected, retried or failed.
//!
//! Each object has one owner among the ready caches of the location, selected by consistent hashing. The
//! owner serves and caches the object, and fills a missing copy from the object's home parent. The other
//! rules limit this scheme, redirect requests or retry them.
//!
//! | File | Rules |
//! | --- | --- |
//! | `endpoints.rs` | updates of the endpoint list, hash ring |
//! | `request_flow.rs` | the steps of a request, from its arrival to its final answer |
//! | `placement.rs` | choice of the cache: owner, holders of objects in parts, sibling overflow |
//! | `fill_source.rs` | choice of the parent, or the origin, that a missing copy is filled from |
//! | `admission.rs` | load shedding: limits on the origin, the fill link and the caches |
//! | `freshness.rs` | age limits, purges, stale answers |
//! | `retry.rs` | idempotence, retry limits and budget, backoff, the final answer |
//! | `attempt_timeout.rs` | time-outs, overdue and cancelled attempts |
//! | `outlier_detection.rs` | ejection and recovery of failing, slow and silent endpoints |
//! | `slow_start.rs` | limits on endpoints that are warming up |
//! | `load_estimate.rs` | estimates of transfer time, capacity and load |
//! | `maintenance.rs` | periodic updates |
//!
//! A rejected or failed request carries the rule that ended it as a
//! [`RejectReason`](crate::interface::RejectReason).

mod admission;
mod attempt_timeout;
mod endpoints;
mod fill_source;
mod freshness;
mod load_estimate;
mod maintenance;
mod outlier_detection;
mod placement;
mod request_flow;
mod retry;
mod slow_start;

use std::collections::BTreeMap;

use self::admission::{FillLinkAdmission, OriginAdmission};
use self::load_estimate::TransferTimes;
use self::maintenance::MAINTENANCE_TIMER;
use self::retry::RetryBudget;
use crate::hash_ring::{hash_pair, unit_fraction, HashRing};
use crate::interface::{Action, AttemptId, EndpointId, Event, FillSources, Ms, RequestId, Settings};
use crate::purge_log::PurgeLog;
use crate::records::{AttemptRecord, EndpointRecord, RequestRecord};

pub use self::fill_source::parent_rank_hash;

/// The routing policy of one router, with the state that its decisions depend on.
#[derive(Debug)]
pub struct Policy {
    settings: Settings,
    seed: u64,
    draws: u64,
    now: Ms,
    started: bool,
    /// Actions in response to the event that is being handled.
    actions: Vec<Action>,

    endpoints: BTreeMap<EndpointId, EndpointRecord>,
    /// The ready caches of the location.
    ring: HashRing<EndpointId>,
    /// Number of caches in all locations.
    total_caches: usize,
    /// Highest total capacity of the location's ready caches so far, in simultaneous transfers.
    location_capacity: f64,
    /// Fill sources by cache, where the hierarchy defines them.
    fill_sources: BTreeMap<EndpointId, FillSources>,

    requests: BTreeMap<RequestId, RequestRecord>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    /// Requests in backoff, by timer token.
    backoffs: BTreeMap<u32, RequestId>,
    last_timer_token: u32,
    retry_budget: RetryBudget,

    purges: PurgeLog,
    next_filter_rotation: Ms,
    transfer_times: TransferTimes,
    origin_admission: OriginAdmission,
    fill_link: FillLinkAdmission,
    /// Lower median of the slowness of all endpoints for which it is known, in multiples of the latency
    /// objective.
    typical_slowness: f64,
    /// Mean number of this router's attempts in flight at the location's caches, per unit of capacity.
    mean_cache_load: f64,
}

impl Policy {
    /// A policy without any endpoint. The seed determines its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            transfer_times: TransferTimes::new(settings.classes.len()),
            settings,
            seed,
            draws: 0,
            now: 0.0,
            started: false,
            actions: Vec::new(),
            endpoints: BTreeMap::new(),
            ring: HashRing::default(),
            total_caches: 0,
            location_capacity: 0.0,
            fill_sources: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            last_timer_token: MAINTENANCE_TIMER,
            retry_budget: RetryBudget::default(),
            purges: PurgeLog::default(),
            next_filter_rotation: 0.0,
            origin_admission: OriginAdmission::default(),
            fill_link: FillLinkAdmission::default(),
            typical_slowness: f64::INFINITY,
            mean_cache_load: 0.0,
        }
    }

    /// Handles one event and returns the actions to carry out, in order. `now` must not decrease between
    /// calls.
    pub fn handle(&mut self, now: Ms, event: &Event) -> Vec<Action> {
        self.now = now;
        self.start_once();
        match event {
            Event::Endpoints { update, endpoints } => self.update_endpoints(*update, endpoints),
            Event::Request(request) => self.accept_request(request),
            Event::ResponseStarted(attempt) => self.mark_response_started(attempt.request),
            Event::ClientDisconnected(request) => self.close_request(*request),
            Event::AttemptFinished(outcome) => self.finish_attempt(outcome),
            // Health is determined from request outcomes alone; no rule sends health checks.
            Event::HealthCheck { .. } => {}
            Event::Timer(MAINTENANCE_TIMER) => self.run_maintenance(),
            Event::Timer(token) => self.end_backoff(*token),
            Event::Purge { object, group, age } => self.record_purge(*object, *group, *age),
            Event::FillSources { cache, sources } => self.set_fill_sources(*cache, sources.as_ref()),
        }
        std::mem::take(&mut self.actions)
    }

    fn start_once(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        self.schedule_filter_rotation();
        self.schedule_maintenance();
        if self.settings.subscribe_to_endpoints {
            self.actions.push(Action::SubscribeEndpoints);
        }
    }

    /// The next random number, from 0 up to but not including 1; reproducible from the seed.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        unit_fraction(hash_pair(self.draws, self.seed))
    }
}
