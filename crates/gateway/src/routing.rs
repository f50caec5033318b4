//! Owns which site serves a request: home first, across only where home can't and the other side has room.
//!
//! What is given across rises slowly after a cut, by a hash that is the same at all gateways, so that they do not push
//! a site that has just come back together. Must never send a request back where it came from, nor repeat beyond its
//! budget.

use std::collections::BTreeMap;

use linnethook::estimators::Ewma;
use linnethook::hash_ring::{hash_pair, unit_fraction};
use linnethook::interface::Ms;

/// A site, by its place in the operator file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u16);

/// How routes move.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingConfig {
    /// The part of the requests that a site gets when it is new, and how long from there until it may get all.
    pub initial_share: f64,
    pub ramp_duration: Ms,
    /// The same for what runs at the origin: no cache is cold for it.
    pub write_ramp_duration: Ms,
    /// While it is out of reach, the part that it had is halved in that time: after a short cut it goes on from there.
    pub share_half_life: Ms,
    /// The most that it gets while the link to it flaps.
    pub flapping_share: f64,
    /// The load by its own word above which a site gets nothing from here, and below which it gets some again.
    pub full_utilization: f64,
    pub reopen_utilization: f64,
    /// The share of what went across that failed or came late, likewise, and the weight of one in it.
    pub max_failure_ratio: f64,
    pub reopen_failure_ratio: f64,
    pub sample_weight: f64,
    pub min_samples: f64,
    /// Further attempts over a link that each request brings, and how many may be saved up.
    pub retries_per_request: f64,
    pub max_saved_retries: f64,
    /// Sites that a request may pass.
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

/// What is known of a site at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SiteView {
    /// The link to it is up, and its state is fresh; for the own site always.
    pub reachable: bool,
    /// It has a cache that can be used, and its way to the origin is open.
    pub has_caches: bool,
    pub has_origin: bool,
    /// The part of what it can carry that is in use.
    pub utilization: f64,
    /// Its operators want it left alone.
    pub drained: bool,
    /// The link to it went down so often of late that being up tells little.
    pub flapping: bool,
}

/// A request that looks for a site.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteQuery {
    pub object: u64,
    /// It runs at the origin.
    pub write: bool,
    /// The site at which its class is at home; `None` for where it came in.
    pub home_site: Option<SiteId>,
    /// The sites that it has passed.
    pub passed_sites: Vec<SiteId>,
    /// Those that have turned it away.
    pub tried_sites: Vec<SiteId>,
    /// A further attempt across.
    pub is_retry: bool,
    /// A site that it was let go to before: its part counts for new ones only.
    pub admitted_site: Option<SiteId>,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    Local,
    Remote(SiteId),
    /// Nobody can serve it: answered at once.
    Refused(RouteRefusal),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No site has what it needs.
    NoCapableSite,
    /// One could, but has no room for it now.
    NoCapacity,
    /// It would go round, or has passed as many sites as it may.
    HopLimit,
    /// The budget of repeats is used up.
    RetryBudget,
}

#[derive(Debug, Clone)]
struct SiteRoute {
    view: SiteView,
    /// Since when it can be used without a break, and the part with which that began.
    usable_since: Option<Ms>,
    initial_share: f64,
    /// When it was lost, with that part.
    lost_at: Ms,
    failure_ratio: Ewma,
    /// Shut for being full, or for what went there badly, until it is well below.
    is_shut: bool,
    saved_retries: f64,
}

impl SiteRoute {
    fn ramped_share(&self, now: Ms, since: Ms, rise: Ms) -> f64 {
        (self.initial_share + (now - since) / rise.max(1.0)).min(1.0)
    }
}

/// The routes of one gateway.
#[derive(Debug, Clone)]
pub struct RoutingTable {
    config: RoutingConfig,
    me: SiteId,
    own_view: SiteView,
    sites: BTreeMap<SiteId, SiteRoute>,
}

const SHARE_HASH_SALT: u64 = 0x7369_7465;

impl RoutingTable {
    pub fn new(me: SiteId, rule: RoutingConfig) -> Self {
        let own = SiteView {
            reachable: true,
            has_caches: true,
            has_origin: true,
            utilization: 0.0,
            drained: false,
            flapping: false,
        };
        Self { config: rule, me, own_view: own, sites: BTreeMap::new() }
    }

    /// What is known of the own site.
    pub fn set_own_view(&mut self, view: SiteView) {
        self.own_view = view;
    }

    /// What is known of another site now.
    pub fn update_site(&mut self, now: Ms, site: SiteId, view: SiteView) {
        let (rule, saved) = (self.config, self.config.max_saved_retries);
        let fresh = || SiteRoute {
            view,
            usable_since: None,
            initial_share: 0.0,
            lost_at: now,
            failure_ratio: Ewma::new(0.0),
            is_shut: false,
            saved_retries: saved,
        };
        let known = self.sites.entry(site).or_insert_with(fresh);
        known.view = view;
        if view.utilization >= rule.full_utilization {
            known.is_shut = true;
        } else if view.utilization <= rule.reopen_utilization
            && known.failure_ratio.value <= rule.reopen_failure_ratio
        {
            known.is_shut = false;
        }
        // It rises anew each time that it was out of reach.
        match (known.usable_since, view.reachable && !view.drained) {
            (None, true) => {
                let left =
                    known.initial_share * 0.5f64.powf((now - known.lost_at) / rule.share_half_life.max(1.0));
                (known.usable_since, known.initial_share) = (Some(now), left.max(rule.initial_share));
            }
            (Some(since), false) => {
                (known.initial_share, known.lost_at) =
                    (known.ramped_share(now, since, rule.ramp_duration), now);
                known.usable_since = None;
                known.failure_ratio = Ewma::new(0.0);
            }
            _ => {}
        }
    }

    /// How a request ended that went across.
    pub fn record_outcome(&mut self, site: SiteId, bad: bool) {
        let rule = self.config;
        let Some(known) = self.sites.get_mut(&site) else { return };
        known.failure_ratio.update_from_mean(f64::from(u8::from(bad)), rule.sample_weight);
        if known.failure_ratio.samples >= rule.min_samples
            && known.failure_ratio.value >= rule.max_failure_ratio
        {
            known.is_shut = true;
        }
    }

    /// The sites that can be reached now.
    pub fn reachable_sites(&self) -> Vec<SiteId> {
        self.sites.iter().filter(|(_, known)| known.view.reachable).map(|(site, _)| *site).collect()
    }

    /// What is known of a site, whether it is shut, and the part of its requests that ended badly.
    pub fn site_status(&self, site: SiteId) -> Option<(SiteView, bool, f64)> {
        self.sites.get(&site).map(|known| (known.view, known.is_shut, known.failure_ratio.value))
    }

    /// The part of the objects, by hash, that a site may get now: of reads, or of writes.
    pub fn admitted_share(&self, now: Ms, site: SiteId, write: bool) -> f64 {
        let Some(known) = self.sites.get(&site) else { return 0.0 };
        let Some(since) = known.usable_since else { return 0.0 };
        match known.is_shut {
            // A few try whether it is well again.
            true => self.config.initial_share,
            false => {
                let rise = if write { self.config.write_ramp_duration } else { self.config.ramp_duration };
                let most = if known.view.flapping { self.config.flapping_share } else { 1.0 };
                known.ramped_share(now, since, rise).min(most)
            }
        }
    }

    fn can_serve(view: &SiteView, wish: &RouteQuery) -> bool {
        // What caches hold can be served without a way to the origin; a write can't.
        if wish.write {
            view.has_origin
        } else {
            view.has_caches
        }
    }

    /// Where a request goes now.
    pub fn route(&mut self, now: Ms, wish: &RouteQuery) -> Route {
        let home_is_here = wish.home_site.is_none_or(|home| home == self.me);
        let tried = |site| wish.tried_sites.contains(&site);
        let own = !self.own_view.drained && !tried(self.me) && Self::can_serve(&self.own_view, wish);
        if home_is_here && own {
            return Route::Local;
        }
        if wish.passed_sites.contains(&self.me) {
            return Route::Refused(RouteRefusal::HopLimit);
        }
        let last_resort = |why| if own { Route::Local } else { Route::Refused(why) };
        // The site itself counts as one that is passed.
        if wish.passed_sites.len() + 1 >= self.config.max_hops {
            return last_resort(RouteRefusal::HopLimit);
        }
        let mut why = RouteRefusal::NoCapableSite;
        let mut able: Vec<(u64, SiteId)> = Vec::new();
        for (site, known) in &self.sites {
            let view = &known.view;
            if wish.passed_sites.contains(site)
                || tried(*site)
                || !view.reachable
                || view.drained
                || !Self::can_serve(view, wish)
            {
                continue;
            }
            why = RouteRefusal::NoCapacity;
            let within = wish.admitted_site == Some(*site)
                || unit_fraction(hash_pair(wish.object, u64::from(site.0) ^ SHARE_HASH_SALT))
                    < self.admitted_share(now, *site, wish.write);
            if within {
                // Its home before all others, and else one order at all gateways.
                let order = if wish.home_site == Some(*site) {
                    0
                } else {
                    hash_pair(wish.object, u64::from(site.0)) | 1
                };
                able.push((order, *site));
            }
        }
        let Some((_, site)) = able.into_iter().min() else { return last_resort(why) };
        let rule = self.config;
        let Some(known) = self.sites.get_mut(&site) else { return last_resort(why) };
        if wish.is_retry {
            if known.saved_retries < 1.0 {
                return last_resort(RouteRefusal::RetryBudget);
            }
            known.saved_retries -= 1.0;
        } else {
            known.saved_retries =
                (known.saved_retries + rule.retries_per_request).min(rule.max_saved_retries);
        }
        Route::Remote(site)
    }
}
