//! The objects that clients request: a Zipf popularity that drifts over time, flash crowds, and object sizes.
//!
//! The size of an object is derived from its number, so that every request for it sees the same size.

use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};

use crate::Micros;

/// Parameters of the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandRule {
    pub objects: u64,
    /// Exponent of the Zipf distribution.
    pub skew: f64,
    /// Time in which every object passes through all popularity ranks; 0 = popularity is constant.
    pub drift: Micros,
    /// Median of the bytes of a part, and the standard deviation of their logarithm.
    pub size: f64,
    pub spread: f64,
}

impl Default for DemandRule {
    fn default() -> Self {
        Self { objects: 100_000, skew: 0.9, drift: 0, size: 100_000.0, spread: 0.6 }
    }
}

/// From `from` until `to`, a fixed share of all requests is for one object.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crowd {
    pub from: Micros,
    pub to: Micros,
    pub object: u64,
    pub part: f64,
}

/// Draws the requested objects and their sizes.
#[derive(Debug, Clone)]
pub struct Demand {
    rule: DemandRule,
    order: Zipf<f64>,
    sizes: LogNormal<f64>,
    crowds: Vec<Crowd>,
}

/// Why demand cannot be generated from its parameters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unusable(pub String);

impl Demand {
    pub fn new(rule: DemandRule, crowds: Vec<Crowd>) -> Result<Self, Unusable> {
        let wrong = |what: &dyn std::fmt::Display| Unusable(what.to_string());
        let order = Zipf::new(rule.objects.max(1) as f64, rule.skew).map_err(|why| wrong(&why))?;
        let sizes = LogNormal::new(rule.size.max(1.0).ln(), rule.spread).map_err(|why| wrong(&why))?;
        Ok(Self { rule, order, sizes, crowds })
    }

    /// Draws the object of the next request.
    pub fn object(&self, now: Micros, chance: &mut impl Rng) -> u64 {
        let crowd = self.crowds.iter().find(|crowd| (crowd.from..crowd.to).contains(&now));
        if let Some(crowd) = crowd.filter(|crowd| chance.random::<f64>() < crowd.part) {
            return crowd.object;
        }
        let rank = self.order.sample(chance) as u64 - 1;
        self.at_rank(now, rank)
    }

    /// The object at a popularity rank at that time; rank 0 is the most popular.
    ///
    /// With drift, the order is a ring that moves by one rank at a time: the most popular objects become the
    /// least popular ones, and all others move up.
    pub fn at_rank(&self, now: Micros, rank: u64) -> u64 {
        let objects = self.rule.objects.max(1);
        let moved = match self.rule.drift {
            0 => 0,
            drift => (u128::from(now) * u128::from(objects) / u128::from(drift)) as u64,
        };
        (rank + moved) % objects
    }

    /// The size of each part of an object, in bytes.
    pub fn size<R: Rng + SeedableRng>(&self, object: u64) -> f64 {
        self.sizes.sample(&mut R::seed_from_u64(object)).max(1.0)
    }
}
