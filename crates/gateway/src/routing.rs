//! The choice of the site that serves a request: the local one while it can, another one only within the
//! share that it may receive.
//!
//! After an outage, the share of objects that a site receives is ramped up slowly. Objects are admitted by a
//! hash that is the same at all gateways, so that together they do not overload the site. A request is never
//! sent back to a site that it has passed, and retries have a budget.

use std::collections::BTreeMap;

use linnethook::estimators::Ewma;
use linnethook::hash_ring::{hash_pair, unit_fraction};
use linnethook::interface::Ms;

/// A site, by its position in the operator file; 0 is the local site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u16);

/// The settings of a routing table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingConfig {
    /// The share of objects that a site receives at the start of its ramp.
    pub initial_share: f64,
    /// The time in which a full ramp would rise from 0 to all objects, in milliseconds.
    pub ramp_duration: Ms,
    /// The same for writes, in milliseconds: they run at the origin, so that cold caches do not slow them
    /// down.
    pub write_ramp_duration: Ms,
    /// The half-life of the last share of a site while it is unreachable, in milliseconds: after a short
    /// outage the ramp continues from what is left.
    pub share_half_life: Ms,
    /// Maximum share while the link to the site is flapping.
    pub flapping_share: f64,
    /// The reported utilization from which a site receives only the initial share.
    pub full_utilization: f64,
    /// The reported utilization up to which this limit is lifted.
    pub reopen_utilization: f64,
    /// The ratio of failed requests from which a site receives only the initial share.
    pub max_failure_ratio: f64,
    /// The ratio of failed requests up to which this limit is lifted.
    pub reopen_failure_ratio: f64,
    /// The weight of one request in this ratio.
    pub sample_weight: f64,
    /// Minimum number of recorded requests for the ratio to be considered.
    pub min_samples: f64,
    /// The number of retries at a site that each first attempt there earns.
    pub retries_per_request: f64,
    /// Maximum number of retries that can be saved up.
    pub max_saved_retries: f64,
    /// Maximum number of sites that a request may visit, including the first and the last: 2 allows one
    /// forwarding.
    pub max_hops: usize,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            initial_share: 0.05,
            ramp_duration: 10_000.0,
            write_ramp_duration: 2_500.0,
            share_half_life: 1_500.0,
            flapping_share: 0.25,
            full_utilization: 0.9,
            reopen_utilization: 0.75,
            max_failure_ratio: 0.3,
            reopen_failure_ratio: 0.15,
            sample_weight: 0.05,
            min_samples: 20.0,
            retries_per_request: 0.1,
            max_saved_retries: 20.0,
            max_hops: 2,
        }
    }
}

/// What is known about a site.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SiteView {
    /// Whether a connection is up and the received state of the site is recent; always true for the local
    /// site.
    pub reachable: bool,
    /// Whether it has a usable cache.
    pub has_caches: bool,
    /// Whether its path to the origin works.
    pub has_origin: bool,
    /// Its utilization, from 0 to 1.
    pub utilization: f64,
    /// Whether its operators, or those of this site, have drained it.
    pub drained: bool,
    /// Whether the link to it went down so often recently that it may go down again at any time.
    pub flapping: bool,
}

/// A request to be routed.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteQuery {
    /// The hash of the object.
    pub object: u64,
    /// Whether it is a write, which runs at the origin.
    pub write: bool,
    /// The site that its class is bound to; `None` for the local site.
    pub home_site: Option<SiteId>,
    /// The sites that it has passed.
    pub passed_sites: Vec<SiteId>,
    /// The sites that have rejected it.
    pub tried_sites: Vec<SiteId>,
    /// Whether it was sent to another site before.
    pub is_retry: bool,
    /// The site that it was admitted to before: the admitted share limits only new requests.
    pub admitted_site: Option<SiteId>,
}

/// The route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// It is served by the local site.
    Local,
    /// It is forwarded to another site.
    Remote(SiteId),
    /// No site serves it: it is rejected at once.
    Rejected(RouteRejection),
}

/// Why no site serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRejection {
    /// No site has what it requires.
    NoCapableSite,
    /// A site has what it requires, but no capacity for it now.
    NoCapacity,
    /// It has already passed this site, or the largest allowed number of sites.
    HopLimit,
    /// The retry budget is used up.
    RetryBudget,
}

/// The status of a site.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SiteStatus {
    /// What is known about it.
    pub view: SiteView,
    /// Whether it is limited to the initial share because of its utilization or failures.
    pub is_shut: bool,
    /// The smoothed ratio of requests that failed there.
    pub failure_ratio: f64,
}

/// What is known about another site, and the share that it may receive.
#[derive(Debug, Clone)]
struct SiteRoute {
    view: SiteView,
    /// The start of the current uninterrupted period in which it can be used.
    usable_since: Option<Ms>,
    /// The share at `usable_since` or, while the site can't be used, at `lost_at`.
    share: f64,
    lost_at: Ms,
    failure_ratio: Ewma,
    /// Limited to the initial share until utilization and failures are well below their limits.
    is_shut: bool,
    saved_retries: f64,
}

impl SiteRoute {
    fn new(now: Ms, view: SiteView, saved_retries: f64) -> Self {
        Self {
            view,
            usable_since: None,
            share: 0.0,
            lost_at: now,
            failure_ratio: Ewma::new(0.0),
            is_shut: false,
            saved_retries,
        }
    }

    fn ramped_share(&self, now: Ms, since: Ms, ramp_duration: Ms) -> f64 {
        (self.share + (now - since) / ramp_duration.max(1.0)).min(1.0)
    }

    /// Starts a new ramp when the site becomes usable again, from what is left of its last share.
    fn update_ramp(&mut self, now: Ms, config: &RoutingConfig) {
        match (self.usable_since, self.view.reachable && !self.view.drained) {
            (None, true) => {
                let decay = 0.5f64.powf((now - self.lost_at) / config.share_half_life.max(1.0));
                self.share = (self.share * decay).max(config.initial_share);
                self.usable_since = Some(now);
            }
            (Some(since), false) => {
                self.share = self.ramped_share(now, since, config.ramp_duration);
                self.lost_at = now;
                self.usable_since = None;
                self.failure_ratio = Ewma::new(0.0);
            }
            _ => {}
        }
    }
}

/// The routing table of a gateway.
#[derive(Debug, Clone)]
pub struct RoutingTable {
    config: RoutingConfig,
    local_site: SiteId,
    local_view: SiteView,
    sites: BTreeMap<SiteId, SiteRoute>,
}

/// Separates the hash that admits objects to a site from the one that orders sites.
const SHARE_HASH_SALT: u64 = 0x7369_7465;

impl RoutingTable {
    /// Creates a table without other sites, in which the local site can serve every request.
    pub fn new(local_site: SiteId, config: RoutingConfig) -> Self {
        let local_view =
            SiteView { reachable: true, has_caches: true, has_origin: true, ..SiteView::default() };
        Self { config, local_site, local_view, sites: BTreeMap::new() }
    }

    /// Updates the view of the local site.
    pub fn set_local_view(&mut self, view: SiteView) {
        self.local_view = view;
    }

    /// Updates the view of another site.
    pub fn update_site(&mut self, now: Ms, site: SiteId, view: SiteView) {
        let config = self.config;
        let route =
            self.sites.entry(site).or_insert_with(|| SiteRoute::new(now, view, config.max_saved_retries));
        route.view = view;
        if view.utilization >= config.full_utilization {
            route.is_shut = true;
        } else if view.utilization <= config.reopen_utilization
            && route.failure_ratio.value <= config.reopen_failure_ratio
        {
            route.is_shut = false;
        }
        route.update_ramp(now, &config);
    }

    /// Records the outcome of a request at another site.
    pub fn record_outcome(&mut self, site: SiteId, failed: bool) {
        let config = self.config;
        let Some(route) = self.sites.get_mut(&site) else { return };
        route.failure_ratio.update_from_mean(f64::from(u8::from(failed)), config.sample_weight);
        let is_known = route.failure_ratio.samples >= config.min_samples;
        if is_known && route.failure_ratio.value >= config.max_failure_ratio {
            route.is_shut = true;
        }
    }

    /// The sites that are reachable now.
    pub fn reachable_sites(&self) -> Vec<SiteId> {
        self.sites.iter().filter(|(_, route)| route.view.reachable).map(|(site, _)| *site).collect()
    }

    /// The status of another site; `None` before its first update.
    pub fn site_status(&self, site: SiteId) -> Option<SiteStatus> {
        let route = self.sites.get(&site)?;
        Some(SiteStatus {
            view: route.view,
            is_shut: route.is_shut,
            failure_ratio: route.failure_ratio.value,
        })
    }

    /// The share of objects, by hash, whose writes (if `write`) or reads are admitted at a site now, from 0
    /// to 1.
    pub fn admitted_share(&self, now: Ms, site: SiteId, write: bool) -> f64 {
        let Some(route) = self.sites.get(&site) else { return 0.0 };
        let Some(since) = route.usable_since else { return 0.0 };
        if route.is_shut {
            // A few requests detect its recovery.
            return self.config.initial_share;
        }
        let ramp = if write { self.config.write_ramp_duration } else { self.config.ramp_duration };
        let max_share = if route.view.flapping { self.config.flapping_share } else { 1.0 };
        route.ramped_share(now, since, ramp).min(max_share)
    }

    /// Whether a site has what a request requires. Cached objects can be served without a path to the origin;
    /// a write can't.
    fn can_serve(view: &SiteView, query: &RouteQuery) -> bool {
        if query.write {
            view.has_origin
        } else {
            view.has_caches
        }
    }

    fn is_candidate(&self, site: SiteId, query: &RouteQuery) -> bool {
        let Some(route) = self.sites.get(&site) else { return false };
        !query.passed_sites.contains(&site)
            && !query.tried_sites.contains(&site)
            && route.view.reachable
            && !route.view.drained
            && Self::can_serve(&route.view, query)
    }

    fn is_admitted(&self, now: Ms, site: SiteId, query: &RouteQuery) -> bool {
        let hash = unit_fraction(hash_pair(query.object, u64::from(site.0) ^ SHARE_HASH_SALT));
        query.admitted_site == Some(site) || hash < self.admitted_share(now, site, query.write)
    }

    /// Chooses the route of a request. A first attempt at another site adds to the retry budget of that site;
    /// a retry uses one retry.
    pub fn route(&mut self, now: Ms, query: &RouteQuery) -> Route {
        let is_bound_to_local_site = query.home_site.is_none_or(|home| home == self.local_site);
        let may_serve = !self.local_view.drained
            && !query.tried_sites.contains(&self.local_site)
            && Self::can_serve(&self.local_view, query);
        if is_bound_to_local_site && may_serve {
            return Route::Local;
        }
        if query.passed_sites.contains(&self.local_site) {
            return Route::Rejected(RouteRejection::HopLimit);
        }
        match self.choose_remote_site(now, query) {
            Ok(site) => Route::Remote(site),
            Err(_) if may_serve => Route::Local,
            Err(rejection) => Route::Rejected(rejection),
        }
    }

    /// Chooses among the other sites: first the one that the request is bound to, then by an order that is
    /// the same at all gateways.
    fn choose_remote_site(&mut self, now: Ms, query: &RouteQuery) -> Result<SiteId, RouteRejection> {
        // The local site counts as one that the request has passed.
        if query.passed_sites.len() + 1 >= self.config.max_hops {
            return Err(RouteRejection::HopLimit);
        }
        let candidates = self.sites.keys().copied().filter(|site| self.is_candidate(*site, query));
        let candidates: Vec<SiteId> = candidates.collect();
        if candidates.is_empty() {
            return Err(RouteRejection::NoCapableSite);
        }
        let order = |site: &SiteId| match query.home_site == Some(*site) {
            true => 0,
            false => hash_pair(query.object, u64::from(site.0)) | 1,
        };
        let admitted = candidates.into_iter().filter(|site| self.is_admitted(now, *site, query));
        let site = admitted.min_by_key(|site| (order(site), *site)).ok_or(RouteRejection::NoCapacity)?;
        self.use_retry_budget(site, query.is_retry)?;
        Ok(site)
    }

    /// Uses one retry of the budget of a site, if it is reachable and not drained. Returns whether there was
    /// one.
    pub fn take_retry(&mut self, site: SiteId) -> bool {
        let may_retry =
            self.sites.get(&site).is_some_and(|route| route.view.reachable && !route.view.drained);
        may_retry && self.use_retry_budget(site, true).is_ok()
    }

    fn use_retry_budget(&mut self, site: SiteId, is_retry: bool) -> Result<(), RouteRejection> {
        let config = self.config;
        let Some(route) = self.sites.get_mut(&site) else { return Err(RouteRejection::NoCapacity) };
        if !is_retry {
            route.saved_retries =
                (route.saved_retries + config.retries_per_request).min(config.max_saved_retries);
            return Ok(());
        }
        if route.saved_retries < 1.0 {
            return Err(RouteRejection::RetryBudget);
        }
        route.saved_retries -= 1.0;
        Ok(())
    }
}
