//! What the local site can serve, judged by its ready caches and by the outcomes of requests that were served
//! here.
//!
//! A site never counts as unavailable for good: probes detect its recovery.

use linnethook::estimators::Ewma;
use linnethook::interface::Ms;

use crate::routing::SiteView;

/// When the local site counts as unavailable.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalCapacityConfig {
    /// The ratio of failed requests from which the site is unavailable.
    pub max_failure_ratio: f64,
    /// The weight of one request in this ratio.
    pub sample_weight: f64,
    /// Minimum number of recorded requests for the ratio to be considered.
    pub min_samples: f64,
    /// The number of successes in a row after which the site is available again.
    pub recovery_successes: u32,
    /// The interval between probes of an unavailable site, in milliseconds.
    pub probe_interval: Ms,
    /// How long recorded outcomes are valid after the latest one, in milliseconds.
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

/// What a request requires of the site that serves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Ready caches.
    Read,
    /// A working path to the origin.
    Write,
}

/// The outcomes of requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct OutcomeHistory {
    failure_ratio: Ewma,
    is_unavailable: bool,
    last_outcome: Ms,
    successes_in_a_row: u32,
    last_probe: Ms,
}

impl OutcomeHistory {
    fn record(&mut self, now: Ms, failed: bool, config: &LocalCapacityConfig) {
        if now - self.last_outcome > config.sample_lifetime {
            self.failure_ratio = Ewma::default();
            self.is_unavailable = false;
        }
        self.last_outcome = now;
        self.failure_ratio.update_from_mean(f64::from(u8::from(failed)), config.sample_weight);
        self.successes_in_a_row = if failed { 0 } else { self.successes_in_a_row + 1 };
        if self.is_unavailable {
            if self.successes_in_a_row >= config.recovery_successes {
                self.is_unavailable = false;
                self.failure_ratio = Ewma::default();
            }
        } else if self.failure_ratio.samples >= config.min_samples
            && self.failure_ratio.value >= config.max_failure_ratio
        {
            self.is_unavailable = true;
            // This request has the effect of a probe.
            self.last_probe = now;
        }
    }
}

/// The availability of the local site.
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
    /// Creates the state of a site whose caches are not known yet.
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

    /// Sets the number of caches of the site that accept new work.
    pub fn set_ready_caches(&mut self, caches: u32) {
        self.caches = caches;
    }

    /// Sets the utilization of the site, from 0 to 1.
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

    /// Records the outcome of a request that was served here. Requests whose client disconnected are not
    /// recorded.
    pub fn record_outcome(&mut self, now: Ms, kind: RequestKind, failed: bool) {
        let config = self.config;
        self.history_mut(kind).record(now, failed, &config);
    }

    /// Whether the next request of that kind is to be used as a probe of an unavailable site.
    pub fn take_probe(&mut self, now: Ms, kind: RequestKind) -> bool {
        let probe_interval = self.config.probe_interval;
        let has_nothing_to_probe = self.drained || kind == RequestKind::Read && self.caches == 0;
        let history = self.history_mut(kind);
        if has_nothing_to_probe || !history.is_unavailable || now - history.last_probe < probe_interval {
            return false;
        }
        history.last_probe = now;
        true
    }

    /// The number of caches that can serve reads; 0 while the site is unavailable for reads.
    pub fn usable_caches(&self) -> u32 {
        if self.reads.is_unavailable {
            0
        } else {
            self.caches
        }
    }

    /// Whether caches may still serve objects that they have cached, even if they can't fetch others.
    pub fn may_have_cached(&self) -> bool {
        self.caches > 0 && !self.drained
    }

    /// The view of the site that routing uses.
    pub fn view(&self) -> SiteView {
        SiteView {
            reachable: true,
            has_caches: self.usable_caches() > 0,
            has_origin: !self.writes.is_unavailable,
            utilization: self.utilization,
            drained: self.drained,
            flapping: false,
        }
    }
}
