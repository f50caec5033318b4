//! What the own site can serve: by its list of caches, and by how requests ended that were served here.
//!
//! A site never counts as unable for good: probes go on showing whether it has recovered.

use linnethook::estimators::Ewma;
use linnethook::interface::Ms;

use crate::routing::SiteView;

/// When the own site counts as unable.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalCapacityConfig {
    /// The ratio of failed requests above which it is unable.
    pub max_failure_ratio: f64,
    /// The weight of one request in that ratio.
    pub sample_weight: f64,
    /// How many requests must have been seen before the ratio counts.
    pub min_samples: f64,
    /// It is able again after so many successes in a row.
    pub recovery_successes: u32,
    /// While it is unable, one request in that time is a probe, in milliseconds.
    pub probe_interval: Ms,
    /// After that time without any outcome, in milliseconds, earlier ones count for nothing.
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

/// What a request needs of the site that serves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Its caches.
    Read,
    /// Its path to the origin.
    Write,
}

/// How requests of one kind ended.
#[derive(Debug, Clone, Copy, Default)]
struct OutcomeHistory {
    failure_ratio: Ewma,
    is_unable: bool,
    last_outcome: Ms,
    successes_in_a_row: u32,
    last_probe: Ms,
}

impl OutcomeHistory {
    fn record(&mut self, now: Ms, failed: bool, config: &LocalCapacityConfig) {
        if now - self.last_outcome > config.sample_lifetime {
            self.failure_ratio = Ewma::default();
            self.is_unable = false;
        }
        self.last_outcome = now;
        self.failure_ratio.update_from_mean(f64::from(u8::from(failed)), config.sample_weight);
        self.successes_in_a_row = if failed { 0 } else { self.successes_in_a_row + 1 };
        if self.is_unable {
            if self.successes_in_a_row >= config.recovery_successes {
                self.is_unable = false;
                self.failure_ratio = Ewma::default();
            }
        } else if self.failure_ratio.samples >= config.min_samples
            && self.failure_ratio.value >= config.max_failure_ratio
        {
            self.is_unable = true;
            // This request was as good as a probe.
            self.last_probe = now;
        }
    }
}

/// What the own site can serve.
#[derive(Debug, Clone)]
pub struct LocalCapacity {
    config: LocalCapacityConfig,
    caches: u32,
    utilization: f64,
    drained: bool,
    reads: OutcomeHistory,
    writes: OutcomeHistory,
}

impl LocalCapacity {
    /// A site whose caches are not known yet.
    pub fn new(config: LocalCapacityConfig) -> Self {
        Self {
            config,
            caches: 0,
            utilization: 0.0,
            drained: false,
            reads: OutcomeHistory::default(),
            writes: OutcomeHistory::default(),
        }
    }

    /// Sets how many caches of the site take new work.
    pub fn set_listed_caches(&mut self, caches: u32) {
        self.caches = caches;
    }

    /// Sets the ratio of what the site can carry that is in use.
    pub fn set_utilization(&mut self, utilization: f64) {
        self.utilization = utilization;
    }

    /// Sets whether the operators have drained the site.
    pub fn set_drained(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// Whether the operators have drained the site.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    fn history_mut(&mut self, kind: RequestKind) -> &mut OutcomeHistory {
        match kind {
            RequestKind::Read => &mut self.reads,
            RequestKind::Write => &mut self.writes,
        }
    }

    /// Records how a request ended that was served here. One whose client has disconnected is not recorded.
    pub fn record_outcome(&mut self, now: Ms, kind: RequestKind, failed: bool) {
        let config = self.config;
        self.history_mut(kind).record(now, failed, &config);
    }

    /// Whether the next request of that kind is a probe of an unable site.
    pub fn take_probe(&mut self, now: Ms, kind: RequestKind) -> bool {
        let probe_interval = self.config.probe_interval;
        let has_nothing_to_probe = self.drained || kind == RequestKind::Read && self.caches == 0;
        let history = self.history_mut(kind);
        if has_nothing_to_probe || !history.is_unable || now - history.last_probe < probe_interval {
            return false;
        }
        history.last_probe = now;
        true
    }

    /// The caches that can serve reads: none while the site is unable to.
    pub fn usable_caches(&self) -> u32 {
        if self.reads.is_unable {
            0
        } else {
            self.caches
        }
    }

    /// Whether caches may still serve what they have, whatever they can't get.
    pub fn may_have_cached(&self) -> bool {
        self.caches > 0 && !self.drained
    }

    /// The site as routes see it.
    pub fn view(&self) -> SiteView {
        SiteView {
            reachable: true,
            has_caches: self.usable_caches() > 0,
            has_origin: !self.writes.is_unable,
            utilization: self.utilization,
            drained: self.drained,
            flapping: false,
        }
    }
}
