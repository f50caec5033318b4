//! Owns what the own site can do at the moment: by its list of caches, and by how requests ended that it served itself.
//!
//! Must never call the home unable for good: a few requests go on trying it.

use linnethook::estimators::Ewma;
use linnethook::interface::Ms;

use crate::routes::View;

/// When the home counts as unable.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeRule {
    /// The share of requests that ended badly above which it is unable, the weight of one in it, and how many must have
    /// been seen.
    pub bad: f64,
    pub weight: f64,
    pub seen: f64,
    /// So many good ones in a row, and it is able again.
    pub good: u32,
    /// While it is unable one request goes there all the same, so often.
    pub every: Ms,
    /// After so long without any word a bad share counts for nothing.
    pub span: Ms,
}

impl Default for HomeRule {
    fn default() -> Self {
        Self { bad: 0.5, weight: 0.15, seen: 6.0, good: 3, every: 200.0, span: 10_000.0 }
    }
}

/// What requests need of their home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Its caches.
    Read,
    /// Its way to the origin.
    Write,
}

#[derive(Debug, Clone, Copy, Default)]
struct Side {
    bad: Ewma,
    unable: bool,
    at: Ms,
    /// Good ones in a row.
    good: u32,
    /// When one last tried it.
    tried: Ms,
}

/// The home of one gateway.
#[derive(Debug, Clone)]
pub struct Home {
    rule: HomeRule,
    caches: u32,
    used: f64,
    drained: bool,
    sides: [Side; 2],
}

impl Home {
    pub fn new(rule: HomeRule) -> Self {
        Self { rule, caches: 0, used: 0.0, drained: false, sides: Default::default() }
    }

    /// How many caches of the site take new work.
    pub fn listed(&mut self, caches: u32) {
        self.caches = caches;
    }

    /// The part of what it can carry that is in use.
    pub fn loaded(&mut self, used: f64) {
        self.used = used;
    }

    pub fn drain(&mut self, drained: bool) {
        self.drained = drained;
    }

    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// How a request ended that was served here; one whose client left tells nothing.
    pub fn ended(&mut self, now: Ms, need: Need, bad: bool) {
        let rule = self.rule;
        let side = &mut self.sides[need as usize];
        if now - side.at > rule.span {
            (side.bad, side.unable) = (Ewma::default(), false);
        }
        side.at = now;
        side.bad.update_from_mean(f64::from(u8::from(bad)), rule.weight);
        side.good = if bad { 0 } else { side.good + 1 };
        if side.unable && side.good >= rule.good {
            (side.unable, side.bad) = (false, Ewma::default());
        } else if !side.unable && side.bad.samples >= rule.seen && side.bad.value >= rule.bad {
            // It has just been tried.
            (side.unable, side.tried) = (true, now);
        }
    }

    /// Whether this one is to try an unable home.
    pub fn tries(&mut self, now: Ms, need: Need) -> bool {
        let side = &mut self.sides[need as usize];
        let off = self.drained || !side.unable || need == Need::Read && self.caches == 0;
        if off || now - side.tried < self.rule.every {
            return false;
        }
        side.tried = now;
        true
    }

    pub fn caches(&self) -> u32 {
        if self.sides[Need::Read as usize].unable {
            0
        } else {
            self.caches
        }
    }

    /// Whether its caches may still serve what they hold, whatever they lack and can't have.
    pub fn may_hold(&self) -> bool {
        self.caches > 0 && !self.drained
    }

    pub fn view(&self) -> View {
        View {
            reachable: true,
            caches: self.caches() > 0,
            origin: !self.sides[Need::Write as usize].unable,
            used: self.used,
            drained: self.drained,
            flaps: false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unable_home_is_known_by_what_comes_of_it_and_tried_again() {
        let mut home = Home::new(HomeRule::default());
        assert!(!home.view().caches, "nothing is listed yet");
        home.listed(3);
        for need in [Need::Read, Need::Write] {
            (0..5).for_each(|_| home.ended(0.0, need, true));
            assert!(home.view().caches && home.view().origin, "few tell nothing");
            home.ended(0.0, need, true);
            assert_eq!((home.view().caches, home.view().origin), (need == Need::Write, need == Need::Read));
            assert_eq!((0..100).filter(|n| home.tries(1_000.0 + f64::from(*n) * 10.0, need)).count(), 5);
            (0..2).for_each(|_| home.ended(1.0, need, false));
            home.ended(1.0, need, true);
            (0..2).for_each(|_| home.ended(1.0, need, false));
            assert!(!home.view().caches || !home.view().origin, "three in a row");
            home.ended(1.0, need, false);
            assert!(home.view().caches && home.view().origin && !home.tries(9_000.0, need));
        }
        (0..6).for_each(|_| home.ended(1.0, Need::Write, true));
        home.ended(20_000.0, Need::Write, false);
        assert!(home.view().origin, "what was long ago counts for nothing");
        home.drain(true);
        assert!(home.view().drained && !home.tries(30_000.0, Need::Write));
        home.listed(0);
        assert!(!home.view().caches);
    }
}
