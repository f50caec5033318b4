//! Owns what the own site can do at the moment: by its list of caches, and by how requests ended that it served itself.
//!
//! Must never call the home unable for good: a few requests go on trying it.

use linnethook::estimators::Ewma;
use linnethook::interface::Ms;

use crate::routing::SiteView;

/// When the home counts as unable.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalCapacityConfig {
    /// The share of requests that ended badly above which it is unable, the weight of one in it, and how many must have
    /// been seen.
    pub max_failure_ratio: f64,
    pub sample_weight: f64,
    pub min_samples: f64,
    /// So many good ones in a row, and it is able again.
    pub recovery_successes: u32,
    /// While it is unable one request goes there all the same, so often.
    pub probe_interval: Ms,
    /// After so long without any word a bad share counts for nothing.
    pub sample_lifetime: Ms,
}

impl Default for LocalCapacityConfig {
    fn default() -> Self {
        Self {
            max_failure_ratio: 0.5,
            sample_weight: 0.15,
            min_samples: 6.0,
            recovery_successes: 3,
            probe_interval: 200.0,
            sample_lifetime: 10_000.0,
        }
    }
}

/// What requests need of their home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Its caches.
    Read,
    /// Its way to the origin.
    Write,
}

#[derive(Debug, Clone, Copy, Default)]
struct OutcomeHistory {
    failure_ratio: Ewma,
    is_unable: bool,
    last_outcome: Ms,
    /// Good ones in a row.
    successes_in_a_row: u32,
    /// When one last tried it.
    last_probe: Ms,
}

/// The home of one gateway.
#[derive(Debug, Clone)]
pub struct LocalCapacity {
    config: LocalCapacityConfig,
    caches: u32,
    utilization: f64,
    drained: bool,
    histories: [OutcomeHistory; 2],
}

impl LocalCapacity {
    pub fn new(rule: LocalCapacityConfig) -> Self {
        Self { config: rule, caches: 0, utilization: 0.0, drained: false, histories: Default::default() }
    }

    /// How many caches of the site take new work.
    pub fn set_listed_caches(&mut self, caches: u32) {
        self.caches = caches;
    }

    /// The part of what it can carry that is in use.
    pub fn set_utilization(&mut self, used: f64) {
        self.utilization = used;
    }

    pub fn set_drained(&mut self, drained: bool) {
        self.drained = drained;
    }

    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// How a request ended that was served here; one whose client left tells nothing.
    pub fn record_outcome(&mut self, now: Ms, need: RequestKind, bad: bool) {
        let rule = self.config;
        let side = &mut self.histories[need as usize];
        if now - side.last_outcome > rule.sample_lifetime {
            (side.failure_ratio, side.is_unable) = (Ewma::default(), false);
        }
        side.last_outcome = now;
        side.failure_ratio.update_from_mean(f64::from(u8::from(bad)), rule.sample_weight);
        side.successes_in_a_row = if bad { 0 } else { side.successes_in_a_row + 1 };
        if side.is_unable && side.successes_in_a_row >= rule.recovery_successes {
            (side.is_unable, side.failure_ratio) = (false, Ewma::default());
        } else if !side.is_unable
            && side.failure_ratio.samples >= rule.min_samples
            && side.failure_ratio.value >= rule.max_failure_ratio
        {
            // It has just been tried.
            (side.is_unable, side.last_probe) = (true, now);
        }
    }

    /// Whether this one is to try an unable home.
    pub fn take_probe(&mut self, now: Ms, need: RequestKind) -> bool {
        let side = &mut self.histories[need as usize];
        let off = self.drained || !side.is_unable || need == RequestKind::Read && self.caches == 0;
        if off || now - side.last_probe < self.config.probe_interval {
            return false;
        }
        side.last_probe = now;
        true
    }

    pub fn usable_caches(&self) -> u32 {
        if self.histories[RequestKind::Read as usize].is_unable {
            0
        } else {
            self.caches
        }
    }

    /// Whether its caches may still serve what they hold, whatever they lack and can't have.
    pub fn may_have_cached(&self) -> bool {
        self.caches > 0 && !self.drained
    }

    pub fn view(&self) -> SiteView {
        SiteView {
            reachable: true,
            has_caches: self.usable_caches() > 0,
            has_origin: !self.histories[RequestKind::Write as usize].is_unable,
            utilization: self.utilization,
            drained: self.drained,
            flapping: false,
        }
    }
}
