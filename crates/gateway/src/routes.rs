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
pub struct Site(pub u16);

/// How routes move.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteRule {
    /// The part of the requests that a site gets when it is new, and how long from there until it may get all.
    pub first: f64,
    pub rise: Ms,
    /// The same for what runs at the origin: no cache is cold for it.
    pub rise_writes: Ms,
    /// While it is out of reach, the part that it had is halved in that time: after a short cut it goes on from there.
    pub half: Ms,
    /// The most that it gets while the link to it flaps.
    pub flapping: f64,
    /// The load by its own word above which a site gets nothing from here, and below which it gets some again.
    pub full: f64,
    pub room: f64,
    /// The share of what went across that failed or came late, likewise, and the weight of one in it.
    pub bad: f64,
    pub good: f64,
    pub weight: f64,
    pub seen: f64,
    /// Further attempts over a link that each request brings, and how many may be saved up.
    pub repeats: f64,
    pub saved: f64,
    /// Sites that a request may pass.
    pub hops: usize,
}

impl Default for RouteRule {
    fn default() -> Self {
        Self {
            first: 0.05,
            rise: 10_000.0,
            rise_writes: 2_500.0,
            half: 1_500.0,
            flapping: 0.25,
            full: 0.9,
            room: 0.75,
            bad: 0.3,
            good: 0.15,
            weight: 0.05,
            seen: 20.0,
            repeats: 0.1,
            saved: 20.0,
            hops: 2,
        }
    }
}

/// What is known of a site at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct View {
    /// The link to it is up, and its state is fresh; for the own site always.
    pub reachable: bool,
    /// It has a cache that can be used, and its way to the origin is open.
    pub caches: bool,
    pub origin: bool,
    /// The part of what it can carry that is in use.
    pub used: f64,
    /// Its operators want it left alone.
    pub drained: bool,
    /// The link to it went down so often of late that being up tells little.
    pub flaps: bool,
}

/// A request that looks for a site.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    pub object: u64,
    /// It runs at the origin.
    pub write: bool,
    /// The site at which its class is at home; `None` for where it came in.
    pub home: Option<Site>,
    /// The sites that it has passed.
    pub passed: Vec<Site>,
    /// Those that have turned it away.
    pub tried: Vec<Site>,
    /// A further attempt across.
    pub repeat: bool,
    /// A site that it was let go to before: its part counts for new ones only.
    pub admitted: Option<Site>,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    Home,
    Across(Site),
    /// Nobody can serve it: answered at once.
    Nowhere(Why),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// No site has what it needs.
    Unable,
    /// One could, but has no room for it now.
    Full,
    /// It would go round, or has passed as many sites as it may.
    Passed,
    /// The budget of repeats is used up.
    Repeats,
}

#[derive(Debug, Clone)]
struct Known {
    view: View,
    /// Since when it can be used without a break, and the part with which that began.
    since: Option<Ms>,
    from: f64,
    /// When it was lost, with that part.
    lost: Ms,
    bad: Ewma,
    /// Shut for being full, or for what went there badly, until it is well below.
    shut: bool,
    saved: f64,
}

impl Known {
    fn risen(&self, now: Ms, since: Ms, rise: Ms) -> f64 {
        (self.from + (now - since) / rise.max(1.0)).min(1.0)
    }
}

/// The routes of one gateway.
#[derive(Debug, Clone)]
pub struct Routes {
    rule: RouteRule,
    me: Site,
    own: View,
    others: BTreeMap<Site, Known>,
}

const SALT: u64 = 0x7369_7465;

impl Routes {
    pub fn new(me: Site, rule: RouteRule) -> Self {
        let own =
            View { reachable: true, caches: true, origin: true, used: 0.0, drained: false, flaps: false };
        Self { rule, me, own, others: BTreeMap::new() }
    }

    /// What is known of the own site.
    pub fn own(&mut self, view: View) {
        self.own = view;
    }

    /// What is known of another site now.
    pub fn see(&mut self, now: Ms, site: Site, view: View) {
        let (rule, saved) = (self.rule, self.rule.saved);
        let fresh =
            || Known { view, since: None, from: 0.0, lost: now, bad: Ewma::new(0.0), shut: false, saved };
        let known = self.others.entry(site).or_insert_with(fresh);
        known.view = view;
        if view.used >= rule.full {
            known.shut = true;
        } else if view.used <= rule.room && known.bad.value <= rule.good {
            known.shut = false;
        }
        // It rises anew each time that it was out of reach.
        match (known.since, view.reachable && !view.drained) {
            (None, true) => {
                let left = known.from * 0.5f64.powf((now - known.lost) / rule.half.max(1.0));
                (known.since, known.from) = (Some(now), left.max(rule.first));
            }
            (Some(since), false) => {
                (known.from, known.lost) = (known.risen(now, since, rule.rise), now);
                known.since = None;
                known.bad = Ewma::new(0.0);
            }
            _ => {}
        }
    }

    /// How a request ended that went across.
    pub fn ended(&mut self, site: Site, bad: bool) {
        let rule = self.rule;
        let Some(known) = self.others.get_mut(&site) else { return };
        known.bad.update_from_mean(f64::from(u8::from(bad)), rule.weight);
        if known.bad.samples >= rule.seen && known.bad.value >= rule.bad {
            known.shut = true;
        }
    }

    /// The sites that can be reached now.
    pub fn reachable(&self) -> Vec<Site> {
        self.others.iter().filter(|(_, known)| known.view.reachable).map(|(site, _)| *site).collect()
    }

    /// What is known of a site, whether it is shut, and the part of its requests that ended badly.
    pub fn known(&self, site: Site) -> Option<(View, bool, f64)> {
        self.others.get(&site).map(|known| (known.view, known.shut, known.bad.value))
    }

    /// The part of the objects, by hash, that a site may get now: of reads, or of writes.
    pub fn part(&self, now: Ms, site: Site, write: bool) -> f64 {
        let Some(known) = self.others.get(&site) else { return 0.0 };
        let Some(since) = known.since else { return 0.0 };
        match known.shut {
            // A few try whether it is well again.
            true => self.rule.first,
            false => {
                let rise = if write { self.rule.rise_writes } else { self.rule.rise };
                let most = if known.view.flaps { self.rule.flapping } else { 1.0 };
                known.risen(now, since, rise).min(most)
            }
        }
    }

    fn can(view: &View, wish: &Wish) -> bool {
        // What caches hold can be served without a way to the origin; a write can't.
        if wish.write {
            view.origin
        } else {
            view.caches
        }
    }

    /// Where a request goes now.
    pub fn route(&mut self, now: Ms, wish: &Wish) -> Route {
        let home_is_here = wish.home.is_none_or(|home| home == self.me);
        let tried = |site| wish.tried.contains(&site);
        let own = !self.own.drained && !tried(self.me) && Self::can(&self.own, wish);
        if home_is_here && own {
            return Route::Home;
        }
        if wish.passed.contains(&self.me) {
            return Route::Nowhere(Why::Passed);
        }
        let last_resort = |why| if own { Route::Home } else { Route::Nowhere(why) };
        // The site itself counts as one that is passed.
        if wish.passed.len() + 1 >= self.rule.hops {
            return last_resort(Why::Passed);
        }
        let mut why = Why::Unable;
        let mut able: Vec<(u64, Site)> = Vec::new();
        for (site, known) in &self.others {
            let view = &known.view;
            if wish.passed.contains(site)
                || tried(*site)
                || !view.reachable
                || view.drained
                || !Self::can(view, wish)
            {
                continue;
            }
            why = Why::Full;
            let within = wish.admitted == Some(*site)
                || unit_fraction(hash_pair(wish.object, u64::from(site.0) ^ SALT))
                    < self.part(now, *site, wish.write);
            if within {
                // Its home before all others, and else one order at all gateways.
                let order =
                    if wish.home == Some(*site) { 0 } else { hash_pair(wish.object, u64::from(site.0)) | 1 };
                able.push((order, *site));
            }
        }
        let Some((_, site)) = able.into_iter().min() else { return last_resort(why) };
        let rule = self.rule;
        let Some(known) = self.others.get_mut(&site) else { return last_resort(why) };
        if wish.repeat {
            if known.saved < 1.0 {
                return last_resort(Why::Repeats);
            }
            known.saved -= 1.0;
        } else {
            known.saved = (known.saved + rule.repeats).min(rule.saved);
        }
        Route::Across(site)
    }
}
