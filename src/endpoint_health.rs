//! The health of one endpoint: healthy, ejected, or recovering. Every parameter is passed in.

use crate::estimators::Ewma;
use crate::interface::Ms;

/// When an endpoint is ejected, and how it recovers.
#[derive(Debug, Clone, Copy)]
pub struct EjectionConfig {
    /// Weight of an outcome in the failure ratio, from 0 to 1.
    pub outcome_weight: f64,
    /// Failure ratio above which the endpoint is ejected.
    pub max_failure_ratio: f64,
    /// Length of the first ejection.
    pub base_duration: Ms,
    /// Factor by which the ejection after each failed recovery is longer.
    pub duration_growth: f64,
    /// Length of the longest ejection.
    pub max_duration: Ms,
    /// Consecutive successes, one request at a time, that complete a recovery.
    pub recovery_successes: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum HealthState {
    Healthy,
    Ejected {
        until: Ms,
    },
    /// One trial request at a time is sent.
    Recovering {
        successes: u32,
        trial_in_flight: bool,
    },
}

/// The state of one endpoint's ejection and recovery.
#[derive(Debug, Clone, Copy)]
pub struct EndpointHealth {
    state: HealthState,
    failure_ratio: Ewma,
    /// Length of the last ejection.
    ejection_duration: Ms,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self { state: HealthState::Healthy, failure_ratio: Ewma::new(0.0), ejection_duration: 0.0 }
    }
}

impl EndpointHealth {
    /// Neither ejected nor recovering.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Ejected, and not yet recovering.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected { .. })
    }

    /// Receiving trial requests after an ejection.
    pub fn is_recovering(&self) -> bool {
        matches!(self.state, HealthState::Recovering { .. })
    }

    /// Whether a request may be sent now: not while ejected, and one at a time while recovering.
    pub fn accepts_request(&self) -> bool {
        matches!(self.state, HealthState::Healthy | HealthState::Recovering { trial_in_flight: false, .. })
    }

    /// Records that a request was sent.
    pub fn record_request(&mut self) {
        if let HealthState::Recovering { trial_in_flight, .. } = &mut self.state {
            *trial_in_flight = true;
        }
    }

    /// Ejects the endpoint: for longer if it was recovering.
    pub fn eject(&mut self, now: Ms, config: &EjectionConfig) {
        let repeated = self.is_recovering();
        self.ejection_duration = if repeated {
            (self.ejection_duration * config.duration_growth).min(config.max_duration)
        } else {
            config.base_duration
        };
        self.state = HealthState::Ejected { until: now + self.ejection_duration };
    }

    /// Ejects the endpoint unless it is ejected already.
    pub fn eject_unless_ejected(&mut self, now: Ms, config: &EjectionConfig) {
        if !self.is_ejected() {
            self.eject(now, config);
        }
    }

    /// Starts the recovery once the ejection has lasted its time.
    pub fn start_due_recovery(&mut self, now: Ms) {
        if matches!(self.state, HealthState::Ejected { until } if now >= until) {
            self.state = HealthState::Recovering { successes: 0, trial_in_flight: false };
        }
    }

    /// Records one outcome; `None` if it says nothing about the endpoint.
    pub fn record_outcome(&mut self, now: Ms, success: Option<bool>, config: &EjectionConfig) {
        if let Some(success) = success {
            self.failure_ratio.update(f64::from(u8::from(!success)), config.outcome_weight);
        }
        match (self.state, success) {
            (HealthState::Healthy, Some(false)) if self.failure_ratio.value > config.max_failure_ratio => {
                self.eject(now, config);
            }
            (HealthState::Recovering { .. }, Some(false)) => self.eject(now, config),
            (HealthState::Recovering { successes, .. }, Some(true))
                if successes + 1 >= config.recovery_successes =>
            {
                *self = Self::default();
            }
            (HealthState::Recovering { successes, .. }, Some(true)) => {
                self.state = HealthState::Recovering { successes: successes + 1, trial_in_flight: false };
            }
            (HealthState::Recovering { successes, .. }, None) => {
                self.state = HealthState::Recovering { successes, trial_in_flight: false };
            }
            _ => {}
        }
    }
}
