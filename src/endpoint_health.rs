//! The health of one endpoint: healthy, ejected or recovering. All parameters are passed in by the caller.

use crate::estimators::Ewma;
use crate::interface::Ms;

/// Parameters of the ejection and recovery of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EjectionConfig {
    /// Weight of an outcome in the failure ratio, from 0 to 1.
    pub outcome_weight: f64,
    /// Failure ratio above which the endpoint is ejected.
    pub max_failure_ratio: f64,
    /// Duration of the first ejection.
    pub base_duration: Ms,
    /// Factor by which the ejection duration grows after each failed recovery.
    pub duration_growth: f64,
    /// Maximum duration of an ejection.
    pub max_duration: Ms,
    /// Number of consecutive successful trial requests that complete a recovery.
    pub recovery_successes: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum HealthState {
    Healthy,
    Ejected {
        until: Ms,
    },
    /// Trial requests are sent one at a time.
    Recovering {
        successes: u32,
        trial_in_flight: bool,
    },
}

/// Ejection and recovery state of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointHealth {
    state: HealthState,
    failure_ratio: Ewma,
    /// Duration of the last ejection.
    ejection_duration: Ms,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self { state: HealthState::Healthy, failure_ratio: Ewma::new(0.0), ejection_duration: 0.0 }
    }
}

impl EndpointHealth {
    /// Whether the endpoint is neither ejected nor recovering.
    pub fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    /// Whether the endpoint is ejected and not yet recovering.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected { .. })
    }

    /// Whether the endpoint is receiving trial requests after an ejection.
    pub fn is_recovering(&self) -> bool {
        matches!(self.state, HealthState::Recovering { .. })
    }

    /// Whether a request may be sent: not while ejected, and only one at a time while recovering.
    pub fn accepts_request(&self) -> bool {
        matches!(self.state, HealthState::Healthy | HealthState::Recovering { trial_in_flight: false, .. })
    }

    /// Records that a request was sent.
    pub fn record_request(&mut self) {
        if let HealthState::Recovering { trial_in_flight, .. } = &mut self.state {
            *trial_in_flight = true;
        }
    }

    /// Ejects the endpoint, for longer than last time if it was recovering.
    pub fn eject(&mut self, now: Ms, config: &EjectionConfig) {
        let repeated = self.is_recovering();
        self.ejection_duration = if repeated {
            (self.ejection_duration * config.duration_growth).min(config.max_duration)
        } else {
            config.base_duration
        };
        self.state = HealthState::Ejected { until: now + self.ejection_duration };
    }

    /// Ejects the endpoint if it is not ejected already.
    pub fn eject_unless_ejected(&mut self, now: Ms, config: &EjectionConfig) {
        if !self.is_ejected() {
            self.eject(now, config);
        }
    }

    /// Starts the recovery if the ejection has expired.
    pub fn start_due_recovery(&mut self, now: Ms) {
        if matches!(self.state, HealthState::Ejected { until } if now >= until) {
            self.state = HealthState::Recovering { successes: 0, trial_in_flight: false };
        }
    }

    /// Records one outcome; `None` if it is neither a success nor a failure of the endpoint.
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
