//! Owns what is asked for: objects by an uneven popularity that drifts and has its crowds, and their sizes.
//!
//! An object's size follows from its number, so that all who ask for it see the same.

use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};

use crate::Micros;

/// How demand is made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandRule {
    pub objects: u64,
    /// Zipf's exponent.
    pub skew: f64,
    /// Within that time every object has changed its place in the order of popularity; 0 = never.
    pub drift: Micros,
    /// Bytes of a part at the median, and the spread of their logarithm.
    pub size: f64,
    pub spread: f64,
}

impl Default for DemandRule {
    fn default() -> Self {
        Self { objects: 100_000, skew: 0.9, drift: 0, size: 100_000.0, spread: 0.6 }
    }
}

/// A crowd: from one time to another, so large a part of all asks for one object.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crowd {
    pub from: Micros,
    pub to: Micros,
    pub object: u64,
    pub part: f64,
}

/// Which objects are asked for.
#[derive(Debug, Clone)]
pub struct Demand {
    rule: DemandRule,
    order: Zipf<f64>,
    sizes: LogNormal<f64>,
    crowds: Vec<Crowd>,
}

/// What is wrong with a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unusable(pub String);

impl Demand {
    pub fn new(rule: DemandRule, crowds: Vec<Crowd>) -> Result<Self, Unusable> {
        let wrong = |what: &dyn std::fmt::Display| Unusable(what.to_string());
        let order = Zipf::new(rule.objects.max(1) as f64, rule.skew).map_err(|why| wrong(&why))?;
        let sizes = LogNormal::new(rule.size.max(1.0).ln(), rule.spread).map_err(|why| wrong(&why))?;
        Ok(Self { rule, order, sizes, crowds })
    }

    /// The next object.
    pub fn object(&self, now: Micros, chance: &mut impl Rng) -> u64 {
        let crowd = self.crowds.iter().find(|crowd| (crowd.from..crowd.to).contains(&now));
        if let Some(crowd) = crowd.filter(|crowd| chance.random::<f64>() < crowd.part) {
            return crowd.object;
        }
        let rank = self.order.sample(chance) as u64 - 1;
        self.at_rank(now, rank)
    }

    /// The object that has a place in the order of popularity now.
    ///
    /// With drift the order moves by one place at a time: what was asked for most becomes rare, and others come up.
    pub fn at_rank(&self, now: Micros, rank: u64) -> u64 {
        let objects = self.rule.objects.max(1);
        let moved = match self.rule.drift {
            0 => 0,
            drift => (u128::from(now) * u128::from(objects) / u128::from(drift)) as u64,
        };
        (rank + moved) % objects
    }

    /// Bytes of an object's parts.
    pub fn size<R: Rng + SeedableRng>(&self, object: u64) -> f64 {
        self.sizes.sample(&mut R::seed_from_u64(object)).max(1.0)
    }
}
