//! Owns how much what was learned some time ago still counts.
//!
//! Must never let old knowledge count for more than it did when it was learned.

use linnethook::interface::Ms;

/// How a kind of knowledge ages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ages {
    /// After so long it counts for half.
    pub half: Ms,
    /// After so long for nothing.
    pub bound: Ms,
}

const MINUTE: Ms = 60_000.0;

impl Ages {
    /// How well a server did: what it was an hour ago says little.
    pub const HEALTH: Self = Self { half: 10.0 * MINUTE, bound: 120.0 * MINUTE };
    /// How fast it is for its kind: that is its make and its neighbours, which change seldom.
    pub const PACE: Self = Self { half: 60.0 * MINUTE, bound: 24.0 * 60.0 * MINUTE };
    /// What origin, links and crowds bore: it depends on the hour.
    pub const LIMITS: Self = Self { half: 5.0 * MINUTE, bound: 60.0 * MINUTE };
    /// Sizes of objects hardly change.
    pub const SIZES: Self = Self { half: 24.0 * 60.0 * MINUTE, bound: 7.0 * 24.0 * 60.0 * MINUTE };

    /// From 1, for what was learned just now, to 0. A clock that went back says nothing: as old as can be.
    pub fn weight(&self, learned: Ms, now: Ms) -> f64 {
        let age = now - learned;
        if !age.is_finite() || age < 0.0 || age >= self.bound {
            return 0.0;
        }
        0.5f64.powf(age / self.half.max(1.0))
    }

    /// A value between what is assumed of one that is not known and what was learned.
    pub fn blend(&self, learned: Ms, now: Ms, value: f64, unknown: f64) -> f64 {
        let weight = self.weight(learned, now);
        unknown + (value - unknown) * weight
    }
}

/// Whether the knowledge of a server is of the one that is listed now: one that has started since is another.
pub fn is_same(learned: Ms, listed_since: Ms) -> bool {
    listed_since <= learned
}

/// Whether a filter's content still holds: nothing of its server's was purged since, and it has not started again.
pub fn filter_holds(learned: Ms, listed_since: Ms, last_purge: Option<Ms>) -> bool {
    is_same(learned, listed_since) && last_purge.is_none_or(|at| at <= learned)
}
