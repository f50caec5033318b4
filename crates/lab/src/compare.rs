//! Owns the comparison of variants: differences by seed, with intervals by bootstrap.
//!
//! Must never compare rows of different seeds: a day is hard or easy for all variants alike.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use statrs::statistics::Statistics;

use crate::play::Row;

/// A difference to the first variant, with the interval that holds its mean nineteen times in twenty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Difference {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

/// Draws of the bootstrap.
const DRAWS: usize = 4_000;

/// The mean difference of pairs.
pub fn difference(pairs: &[(f64, f64)], seed: u64) -> Option<Difference> {
    if pairs.is_empty() {
        return None;
    }
    let all: Vec<f64> = pairs.iter().map(|(one, other)| one - other).collect();
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut draw =
        || (0..all.len()).map(|_| all[chance.random_range(0..all.len())]).sum::<f64>() / all.len() as f64;
    let mut means: Vec<f64> = (0..DRAWS).map(|_| draw()).collect();
    means.sort_by(f64::total_cmp);
    Some(Difference { mean: all.iter().mean(), low: means[DRAWS / 40], high: means[DRAWS - 1 - DRAWS / 40] })
}

/// The mean of a figure over a variant's rows.
pub fn mean(rows: &[Row], variant: &str, figure: impl Fn(&Row) -> f64) -> f64 {
    let all: Vec<f64> = rows.iter().filter(|row| row.variant == variant).map(figure).collect();
    all.iter().mean()
}

/// A variant's figure against the first one's, by seed.
pub fn against(rows: &[Row], variant: &str, first: &str, figure: impl Fn(&Row) -> f64) -> Option<Difference> {
    let of = |variant: &str, seed: u64| rows.iter().find(|row| row.variant == variant && row.seed == seed);
    let pairs = rows.iter().filter(|row| row.variant == variant);
    let pairs: Vec<(f64, f64)> =
        pairs.filter_map(|row| Some((figure(row), figure(of(first, row.seed)?)))).collect();
    difference(&pairs, 1)
}

/// The variants in the order in which they come.
pub fn variants(rows: &[Row]) -> Vec<&str> {
    let mut names: Vec<&str> = Vec::new();
    for row in rows {
        if !names.contains(&row.variant.as_str()) {
            names.push(&row.variant);
        }
    }
    names
}

/// A table for people.
pub fn table(rows: &[Row]) -> String {
    let names = variants(rows);
    let Some(first) = names.first().copied() else { return "no rows\n".to_string() };
    let mut out = format!(
        "{:<18} {:>8} {:>24} {:>8} {:>8} {:>9} {:>9} {:>9} {:>6}\n",
        "variant",
        "in time",
        "against the first",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "origin/s",
        "fell"
    );
    for name in names {
        let against = against(rows, name, first, |row| row.in_time).filter(|_| name != first);
        let against =
            against.map_or("-".to_string(), |d| format!("{:+.4} ({:+.4} {:+.4})", d.mean, d.low, d.high));
        out += &format!(
            "{name:<18} {:>8.4} {against:>24} {:>8.4} {:>8.4} {:>9.1} {:>9.1} {:>9.1} {:>6.1}\n",
            mean(rows, name, |row| row.in_time),
            mean(rows, name, |row| row.refused),
            mean(rows, name, |row| row.failed),
            mean(rows, name, |row| row.took_50),
            mean(rows, name, |row| row.took_99),
            mean(rows, name, |row| row.origin),
            mean(rows, name, |row| row.fell as f64),
        );
    }
    out
}
