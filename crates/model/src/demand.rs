//! The objects that clients request: a Zipf popularity that drifts over time, flash crowds, and object sizes.
//!
//! The size of an object is derived from its number, so that every request for it sees the same size.

use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};

use crate::Micros;

/// Parameters of the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandConfig {
    /// Number of objects.
    pub objects: u64,
    /// Exponent of the Zipf distribution.
    pub skew: f64,
    /// Time in which every object passes through all popularity ranks; 0 = popularity is constant.
    pub drift_period: Micros,
    /// Median of the bytes of a part.
    pub median_size: f64,
    /// Standard deviation of the logarithm of the bytes of a part.
    pub size_sigma: f64,
}

impl Default for DemandConfig {
    fn default() -> Self {
        Self { objects: 100_000, skew: 0.9, drift_period: 0, median_size: 100_000.0, size_sigma: 0.6 }
    }
}

/// From `from` until `to`, a fixed share of all requests is for one object.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FlashCrowd {
    pub from: Micros,
    pub to: Micros,
    pub object: u64,
    pub share: f64,
}

/// Draws the requested objects and their sizes.
#[derive(Debug, Clone)]
pub struct Demand {
    config: DemandConfig,
    popularity: Zipf<f64>,
    sizes: LogNormal<f64>,
    flash_crowds: Vec<FlashCrowd>,
}

/// Why demand cannot be generated from its parameters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidDemand(pub String);

impl Demand {
    /// Creates a generator. Returns an error if the skew or the sizes are out of range.
    pub fn new(config: DemandConfig, flash_crowds: Vec<FlashCrowd>) -> Result<Self, InvalidDemand> {
        let DemandConfig { objects, skew, median_size, size_sigma, .. } = config;
        let popularity = Zipf::new(objects.max(1) as f64, skew).map_err(|error| {
            InvalidDemand(format!("popularity of {objects} objects with a skew of {skew}: {error}"))
        })?;
        let sizes = LogNormal::new(median_size.max(1.0).ln(), size_sigma).map_err(|error| {
            InvalidDemand(format!(
                "sizes with a median of {median_size} bytes and a sigma of {size_sigma}: {error}"
            ))
        })?;
        Ok(Self { config, popularity, sizes, flash_crowds })
    }

    /// Draws the object of the next request.
    pub fn object(&self, now: Micros, rng: &mut impl Rng) -> u64 {
        let crowd = self.flash_crowds.iter().find(|crowd| (crowd.from..crowd.to).contains(&now));
        if let Some(crowd) = crowd.filter(|crowd| rng.random::<f64>() < crowd.share) {
            return crowd.object;
        }
        let rank = self.popularity.sample(rng) as u64 - 1;
        self.at_rank(now, rank)
    }

    /// The object at a popularity rank at that time; rank 0 is the most popular.
    ///
    /// With drift, the order is a ring that moves by one rank at a time: the most popular objects become the
    /// least popular ones, and all others move up.
    pub fn at_rank(&self, now: Micros, rank: u64) -> u64 {
        let objects = self.config.objects.max(1);
        let shift = match self.config.drift_period {
            0 => 0,
            drift_period => (u128::from(now) * u128::from(objects) / u128::from(drift_period)) as u64,
        };
        (rank + shift) % objects
    }

    /// The size of each part of an object, in bytes.
    pub fn size<R: Rng + SeedableRng>(&self, object: u64) -> f64 {
        self.sizes.sample(&mut R::seed_from_u64(object)).max(1.0)
    }
}
