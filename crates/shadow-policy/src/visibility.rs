//! The content of an event under other settings: never more than the original event.

use linnethook::interface::{
    AttemptOutcome, CacheStatus, Endpoint, EndpointUpdate, Event, OutcomeDetail, Settings,
};

/// Reduces events to the detail that the given settings provide.
#[derive(Debug, Clone, Copy)]
pub struct EventVisibility {
    weights_unknown: bool,
    outcome_detail: OutcomeDetail,
}

impl EventVisibility {
    /// The visibility under `settings`.
    pub fn new(settings: &Settings) -> Self {
        Self { weights_unknown: settings.weights_unknown, outcome_detail: settings.outcome_detail }
    }

    /// The event as a router with those settings would receive it.
    pub fn restrict(&self, event: &Event) -> Event {
        match event {
            Event::Endpoints { update, endpoints } if self.weights_unknown => {
                without_weights(*update, endpoints)
            }
            Event::AttemptFinished(outcome) if self.outcome_detail != OutcomeDetail::Full => {
                let reported =
                    outcome.cache_status.filter(|_| self.outcome_detail == OutcomeDetail::HitsOnly);
                let cache_status = reported.and_then(success_only);
                Event::AttemptFinished(AttemptOutcome { cache_status, source_wait: 0.0, ..*outcome })
            }
            _ => event.clone(),
        }
    }
}

fn without_weights(update: EndpointUpdate, endpoints: &[Endpoint]) -> Event {
    let endpoints = endpoints.iter().map(|endpoint| Endpoint { weight: 1.0, ..*endpoint });
    Event::Endpoints { update, endpoints: endpoints.collect() }
}

/// The status that is reported if only successful answers have one.
fn success_only(status: CacheStatus) -> Option<CacheStatus> {
    match status {
        CacheStatus::FilledByOrigin => Some(CacheStatus::FilledByParent),
        CacheStatus::Hit | CacheStatus::FilledByParent | CacheStatus::Coalesced | CacheStatus::Stale => {
            Some(status)
        }
        CacheStatus::SourceRejected
        | CacheStatus::SourceUnreachable
        | CacheStatus::SourceMiss
        | CacheStatus::NoCapacity
        | CacheStatus::OriginFailed => None,
    }
}
