//! Owns whether a router is behind what the fleet has settled, or knows too little to vouch for what it does, and what
//! follows: it is given time to catch up, then shuts itself out, and comes back by stages.
//!
//! Must never shut out a router whose own journal speaks for what it does and that knows of nothing newer: a cut alone
//! is no reason.

use serde::{Deserialize, Serialize};

use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StragglerRule {
    /// Behind for so long, and it is shut out.
    pub bound: Ms,
    /// Without a fellow and without a word of its journal for so long, likewise.
    pub alone: Ms,
    /// How long it takes to come back, and when clients may ask again.
    pub back: Ms,
    pub come_back: Ms,
}

impl Default for StragglerRule {
    fn default() -> Self {
        Self { bound: 10_000.0, alone: 30_000.0, back: 5_000.0, come_back: 1_000.0 }
    }
}

/// Why a router is shut out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// It acts on an older hierarchy than the floor.
    Behind,
    /// It hears nobody, and its journal is silent too.
    Blind,
}

impl Why {
    /// The name that commands print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Behind => "behind",
            Self::Blind => "blind",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum State {
    Well,
    /// Behind since then; it still has time.
    Late(Ms),
    Out(Why),
    /// Since when it comes back.
    Returning(Ms),
}

/// What is known at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    /// The version acted on here, and the one below which nobody is to act.
    pub version: u64,
    pub floor: u64,
    /// Since when there is no fellow within reach, and since when the journal has been silent for longer than it may be.
    pub alone: Option<Ms>,
    pub journal: Ms,
}

#[derive(Debug, Clone, Copy)]
pub struct Straggler {
    rule: StragglerRule,
    state: State,
}

impl Straggler {
    pub fn new(rule: StragglerRule) -> Self {
        Self { rule, state: State::Well }
    }

    pub fn set(&mut self, rule: StragglerRule) {
        self.rule = rule;
    }

    pub fn rule(&self) -> StragglerRule {
        self.rule
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Looks at what is known; the state that is entered, if it is another one.
    pub fn look(&mut self, now: Ms, seen: &Seen) -> Option<State> {
        let behind = seen.version < seen.floor;
        let silent = seen.alone.map_or(0.0, |since| now - since.max(seen.journal));
        let blind = silent >= self.rule.alone;
        let before = self.state;
        self.state = match before {
            _ if blind => State::Out(Why::Blind),
            State::Late(since) if behind && now - since >= self.rule.bound => State::Out(Why::Behind),
            State::Late(since) if behind => State::Late(since),
            State::Out(_) if behind => State::Out(Why::Behind),
            _ if behind => State::Late(now),
            State::Out(_) => State::Returning(now),
            State::Returning(since) if now - since < self.rule.back => State::Returning(since),
            _ => State::Well,
        };
        (self.state != before).then_some(self.state)
    }

    /// The part of what it must vouch for that it may do: all, none, or a part that rises.
    pub fn part(&self, now: Ms) -> f64 {
        match self.state {
            State::Well | State::Late(_) => 1.0,
            State::Out(_) => 0.0,
            State::Returning(since) => ((now - since) / self.rule.back.max(1.0)).clamp(0.0, 1.0),
        }
    }
}

/// The version that a majority of a roll of voters acts on, or a newer one; those that were never heard act on none.
pub fn settled(versions: &[Option<u64>]) -> u64 {
    let mut known: Vec<u64> = versions.iter().map(|version| version.unwrap_or(0)).collect();
    known.sort_unstable_by(|a, b| b.cmp(a));
    known.get(versions.len() / 2).copied().unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const WELL: Seen = Seen { version: 5, floor: 5, alone: None, journal: 0.0 };

    #[test]
    fn who_is_behind_has_time_is_shut_out_and_comes_back_by_stages() {
        let mut straggler = Straggler::new(StragglerRule::default());
        assert_eq!(straggler.look(0.0, &WELL), None);
        let behind = Seen { floor: 6, ..WELL };
        assert_eq!(straggler.look(1_000.0, &behind), Some(State::Late(1_000.0)));
        assert_eq!((straggler.look(10_900.0, &behind), straggler.part(10_900.0)), (None, 1.0));
        assert_eq!(straggler.look(11_000.0, &behind), Some(State::Out(Why::Behind)));
        assert_eq!(straggler.part(11_000.0), 0.0);
        let caught_up = Seen { version: 6, ..behind };
        assert_eq!(straggler.look(20_000.0, &caught_up), Some(State::Returning(20_000.0)));
        assert!((straggler.part(22_500.0) - 0.5).abs() < 1e-9);
        assert_eq!(straggler.look(25_000.0, &caught_up), Some(State::Well));
        // In time.
        straggler.look(30_000.0, &behind);
        assert_eq!(straggler.look(31_000.0, &caught_up), Some(State::Well));
    }

    #[test]
    fn a_cut_alone_shuts_nobody_out() {
        let mut straggler = Straggler::new(StragglerRule::default());
        for second in 0..1_000 {
            let now = f64::from(second) * 1_000.0;
            let cut = Seen { alone: Some(0.0), journal: now - 2_000.0, ..WELL };
            assert_eq!(straggler.look(now, &cut), None, "its journal is sound");
            let silent = Seen { journal: 0.0, ..WELL };
            assert_eq!(straggler.look(now, &silent), None, "it hears fellows");
        }
        let blind = Seen { alone: Some(1_000_000.0), journal: 990_000.0, ..WELL };
        assert_eq!(straggler.look(1_029_000.0, &blind), None);
        assert_eq!(straggler.look(1_030_000.0, &blind), Some(State::Out(Why::Blind)));
        let heard = Seen { alone: None, ..blind };
        assert_eq!(straggler.look(1_031_000.0, &heard), Some(State::Returning(1_031_000.0)));
    }

    #[test]
    fn a_majority_of_the_roll_settles_a_version_and_less_does_not() {
        assert_eq!(settled(&[Some(4), Some(7), Some(7)]), 7);
        assert_eq!(settled(&[Some(4), Some(4), Some(7)]), 4);
        assert_eq!(settled(&[Some(9), None, None]), 0);
        assert_eq!(settled(&[Some(9), Some(8), None]), 8);
        assert_eq!(settled(&[Some(3), Some(3), Some(9), Some(9)]), 3, "half is no majority");
        assert_eq!(settled(&[]), 0);
    }
}
