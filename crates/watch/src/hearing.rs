//! Owns what the other shape would have been told: less than what was told here, never more.

use linnethook::interface::{Event, Member, Note, Outcome, Settings, Tells};

/// What the settings of the other shape leave out.
#[derive(Debug, Clone, Copy)]
pub struct Hearing {
    unweighted: bool,
    tells: Tells,
}

impl Hearing {
    pub fn new(settings: &Settings) -> Self {
        Self { unweighted: settings.unweighted, tells: settings.tells }
    }

    pub fn hear(&self, event: &Event) -> Event {
        match event {
            Event::List { kind, members } if self.unweighted => {
                let plain = |member: &Member| Member { weight: 1.0, ..*member };
                Event::List { kind: *kind, members: members.iter().map(plain).collect() }
            }
            Event::Outcome(outcome) if self.tells != Tells::All => {
                let note = outcome.note.filter(|_| self.tells == Tells::Hit).and_then(|note| match note {
                    Note::FilledByOrigin => Some(Note::Filled),
                    Note::Hit | Note::Filled | Note::Joined | Note::Stale => Some(note),
                    _ => None,
                });
                Event::Outcome(Outcome { note, waited: 0.0, ..*outcome })
            }
            _ => event.clone(),
        }
    }
}
