//! Owns what the other shape would have been told: less than what was told here, never more.

use linnethook::interface::{AttemptOutcome, CacheStatus, Endpoint, Event, OutcomeDetail, Settings};

/// What the settings of the other shape leave out.
#[derive(Debug, Clone, Copy)]
pub struct Hearing {
    unweighted: bool,
    tells: OutcomeDetail,
}

impl Hearing {
    pub fn new(settings: &Settings) -> Self {
        Self { unweighted: settings.weights_unknown, tells: settings.outcome_detail }
    }

    pub fn hear(&self, event: &Event) -> Event {
        match event {
            Event::Endpoints { update: kind, endpoints: members } if self.unweighted => {
                let plain = |member: &Endpoint| Endpoint { weight: 1.0, ..*member };
                Event::Endpoints { update: *kind, endpoints: members.iter().map(plain).collect() }
            }
            Event::AttemptFinished(outcome) if self.tells != OutcomeDetail::Full => {
                let note =
                    outcome.cache_status.filter(|_| self.tells == OutcomeDetail::HitsOnly).and_then(|note| {
                        match note {
                            CacheStatus::FilledByOrigin => Some(CacheStatus::FilledByParent),
                            CacheStatus::Hit
                            | CacheStatus::FilledByParent
                            | CacheStatus::Coalesced
                            | CacheStatus::Stale => Some(note),
                            _ => None,
                        }
                    });
                Event::AttemptFinished(AttemptOutcome { cache_status: note, source_wait: 0.0, ..*outcome })
            }
            _ => event.clone(),
        }
    }
}
