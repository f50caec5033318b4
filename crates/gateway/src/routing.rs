//! Which site serves a request: the own one while it can, another one only where it has capacity.
//!
//! What may go to a site that was out of reach rises slowly, by a hash of the object that is the same at all gateways,
//! so that they do not overload it together. A request is never sent back to where it came from, and retries keep to
//! their budget.

use std::collections::BTreeMap;

use linnethook::estimators::Ewma;
use linnethook::hash_ring::{hash_pair, unit_fraction};
use linnethook::interface::Ms;

/// A site, by its place in the operator file; the own one is 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u16);

/// How routes change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingConfig {
    /// The share of the objects that a site gets when it is new.
    pub initial_share: f64,
    /// How long from there until it may get all, in milliseconds.
    pub ramp_duration: Ms,
    /// The same for what runs at the origin: no cache is cold for it.
    pub write_ramp_duration: Ms,
    /// While a site is out of reach, its last share is halved in that time, in milliseconds: after a short outage it
    /// continues from there.
    pub share_half_life: Ms,
    /// The largest share while the link to the site flaps.
    pub flapping_share: f64,
    /// The reported utilization above which a site gets only the initial share.
    pub full_utilization: f64,
    /// The reported utilization below which it gets its share again.
    pub reopen_utilization: f64,
    /// The ratio of requests that failed or were late above which a site gets only the initial share.
    pub max_failure_ratio: f64,
    /// The ratio below which it gets its share again.
    pub reopen_failure_ratio: f64,
    /// The weight of one request in that ratio.
    pub sample_weight: f64,
    /// How many requests must have been seen before the ratio counts.
    pub min_samples: f64,
    /// Retries at a site that each first attempt there allows.
    pub retries_per_request: f64,
    /// How many of them may be saved.
    pub max_saved_retries: f64,
    /// Sites that a request may pass, the first and the last included: 2 is one crossing.
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

/// What is known of a site.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SiteView {
    /// A connection is up, and the site's state is recent; always so for the own site.
    pub reachable: bool,
    /// It has a cache that can be used.
    pub has_caches: bool,
    /// Its path to the origin is open.
    pub has_origin: bool,
    /// The ratio of what it can carry that is in use.
    pub utilization: f64,
    /// Its operators, or those of this site, have drained it.
    pub drained: bool,
    /// The link to it went down so often of late that being up tells little.
    pub flapping: bool,
}

/// A request that needs a site.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteQuery {
    /// The hash of the object.
    pub object: u64,
    /// It runs at the origin.
    pub write: bool,
    /// The site that its class is bound to; `None` for the own one.
    pub home_site: Option<SiteId>,
    /// The sites that it has passed.
    pub passed_sites: Vec<SiteId>,
    /// The sites that have rejected it.
    pub tried_sites: Vec<SiteId>,
    /// It was sent to another site before.
    pub is_retry: bool,
    /// The site that it was admitted to before: the share of a site is for new requests only.
    pub admitted_site: Option<SiteId>,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// The own site.
    Local,
    /// Another site.
    Remote(SiteId),
    /// No site: it is answered at once.
    Refused(RouteRefusal),
}

/// Why no site serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No site has what it needs.
    NoCapableSite,
    /// A site has, but no capacity for it now.
    NoCapacity,
    /// It has come back, or has passed as many sites as it may.
    HopLimit,
    /// The budget of retries is used up.
    RetryBudget,
}

/// A site as commands show it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SiteStatus {
    /// What is known of it.
    pub view: SiteView,
    /// It gets only the initial share, for its utilization or its failures.
    pub is_shut: bool,
    /// The smoothed ratio of requests that failed or were late there.
    pub failure_ratio: f64,
}

/// What is known of another site, and the share that it may get.
#[derive(Debug, Clone)]
struct SiteRoute {
    view: SiteView,
    /// Since when it can be used without interruption.
    usable_since: Option<Ms>,
    /// The share at `usable_since` or, while it can't be used, at `lost_at`.
    share: f64,
    lost_at: Ms,
    failure_ratio: Ewma,
    /// Shut until its utilization and failures are well below their bounds.
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

    /// The ramp begins anew whenever the site was out of reach, from what is left of its share.
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

/// The routes of one gateway.
#[derive(Debug, Clone)]
pub struct RoutingTable {
    config: RoutingConfig,
    own_site: SiteId,
    own_view: SiteView,
    sites: BTreeMap<SiteId, SiteRoute>,
}

/// Keeps the hash that admits objects to a site apart from the one that orders sites.
const SHARE_HASH_SALT: u64 = 0x7369_7465;

impl RoutingTable {
    /// Routes with no other site; the own one can serve all.
    pub fn new(own_site: SiteId, config: RoutingConfig) -> Self {
        let own_view =
            SiteView { reachable: true, has_caches: true, has_origin: true, ..SiteView::default() };
        Self { config, own_site, own_view, sites: BTreeMap::new() }
    }

    /// Sets what is known of the own site.
    pub fn set_own_view(&mut self, view: SiteView) {
        self.own_view = view;
    }

    /// Sets what is known of another site.
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

    /// Records how a request ended at another site.
    pub fn record_outcome(&mut self, site: SiteId, failed: bool) {
        let config = self.config;
        let Some(route) = self.sites.get_mut(&site) else { return };
        route.failure_ratio.update_from_mean(f64::from(u8::from(failed)), config.sample_weight);
        let is_known = route.failure_ratio.samples >= config.min_samples;
        if is_known && route.failure_ratio.value >= config.max_failure_ratio {
            route.is_shut = true;
        }
    }

    /// The sites that can be reached now.
    pub fn reachable_sites(&self) -> Vec<SiteId> {
        self.sites.iter().filter(|(_, route)| route.view.reachable).map(|(site, _)| *site).collect()
    }

    /// Another site as commands show it; `None` before its first view.
    pub fn site_status(&self, site: SiteId) -> Option<SiteStatus> {
        let route = self.sites.get(&site)?;
        Some(SiteStatus {
            view: route.view,
            is_shut: route.is_shut,
            failure_ratio: route.failure_ratio.value,
        })
    }

    /// The share of the objects, by hash, that a site may get now: of reads, or of writes.
    pub fn admitted_share(&self, now: Ms, site: SiteId, write: bool) -> f64 {
        let Some(route) = self.sites.get(&site) else { return 0.0 };
        let Some(since) = route.usable_since else { return 0.0 };
        if route.is_shut {
            // A few requests show whether it has recovered.
            return self.config.initial_share;
        }
        let ramp = if write { self.config.write_ramp_duration } else { self.config.ramp_duration };
        let max_share = if route.view.flapping { self.config.flapping_share } else { 1.0 };
        route.ramped_share(now, since, ramp).min(max_share)
    }

    /// Whether a site has what a request needs. What caches have can be served without a path to the origin; a write
    /// can't.
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

    /// The route of a request. A first attempt at another site saves retries there, and a retry uses one.
    pub fn route(&mut self, now: Ms, query: &RouteQuery) -> Route {
        let is_bound_to_own_site = query.home_site.is_none_or(|home| home == self.own_site);
        let may_serve = !self.own_view.drained
            && !query.tried_sites.contains(&self.own_site)
            && Self::can_serve(&self.own_view, query);
        if is_bound_to_own_site && may_serve {
            return Route::Local;
        }
        if query.passed_sites.contains(&self.own_site) {
            return Route::Refused(RouteRefusal::HopLimit);
        }
        match self.choose_remote_site(now, query) {
            Ok(site) => Route::Remote(site),
            Err(_) if may_serve => Route::Local,
            Err(refusal) => Route::Refused(refusal),
        }
    }

    /// The site that a request is bound to before all others, and else one order at all gateways.
    fn choose_remote_site(&mut self, now: Ms, query: &RouteQuery) -> Result<SiteId, RouteRefusal> {
        // The own site counts as one that is passed.
        if query.passed_sites.len() + 1 >= self.config.max_hops {
            return Err(RouteRefusal::HopLimit);
        }
        let candidates = self.sites.keys().copied().filter(|site| self.is_candidate(*site, query));
        let candidates: Vec<SiteId> = candidates.collect();
        if candidates.is_empty() {
            return Err(RouteRefusal::NoCapableSite);
        }
        let order = |site: &SiteId| match query.home_site == Some(*site) {
            true => 0,
            false => hash_pair(query.object, u64::from(site.0)) | 1,
        };
        let admitted = candidates.into_iter().filter(|site| self.is_admitted(now, *site, query));
        let site = admitted.min_by_key(|site| (order(site), *site)).ok_or(RouteRefusal::NoCapacity)?;
        self.use_retry_budget(site, query.is_retry)?;
        Ok(site)
    }

    fn use_retry_budget(&mut self, site: SiteId, is_retry: bool) -> Result<(), RouteRefusal> {
        let config = self.config;
        let Some(route) = self.sites.get_mut(&site) else { return Err(RouteRefusal::NoCapacity) };
        if !is_retry {
            route.saved_retries =
                (route.saved_retries + config.retries_per_request).min(config.max_saved_retries);
            return Ok(());
        }
        if route.saved_retries < 1.0 {
            return Err(RouteRefusal::RetryBudget);
        }
        route.saved_retries -= 1.0;
        Ok(())
    }
}
