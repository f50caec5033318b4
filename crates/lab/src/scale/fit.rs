//! Owns slopes: least squares through all points, with the interval that holds the slope nineteen times in twenty.
//!
//! Must never give a slope through fewer than three sizes.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A line through points, and how sure it is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at_zero: f64,
    pub slope: f64,
    /// The slope lies between these, nineteen times in twenty, if what remains is chance.
    pub low: f64,
    pub high: f64,
    /// Part of the variance that it tells, and the root of the mean square of what remains.
    pub told: f64,
    pub rest: f64,
    pub points: usize,
}

/// How something grows with the number of routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Growth {
    Flat,
    /// Slower than the number.
    Sublinear,
    Linear,
    Superlinear,
    /// The points are too rough to say.
    Unclear,
}

impl Growth {
    /// The name that pages print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Flat => "flat",
            Self::Sublinear => "sublinear",
            Self::Linear => "linear",
            Self::Superlinear => "superlinear",
            Self::Unclear => "unclear",
        }
    }
}

/// Both fits of one measure: `y = at_zero + slope * x`, and `ln y = at_zero + slope * ln x`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub from: f64,
    pub to: f64,
    pub line: Line,
    /// Only where all points are above zero.
    pub power: Option<Line>,
}

/// The straight line through points; `None` below three different x.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let mut different: Vec<f64> = points.iter().map(|p| p.0).collect();
    different.sort_unstable_by(f64::total_cmp);
    different.dedup();
    if different.len() < 3 || points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    let sxx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let syy: f64 = points.iter().map(|p| (p.1 - y).powi(2)).sum();
    let slope = sxy / sxx;
    let at_zero = y - slope * x;
    let left: f64 = points.iter().map(|p| (p.1 - at_zero - slope * p.0).powi(2)).sum();
    let free = count - 2.0;
    let wide = StudentsT::new(0.0, 1.0, free).map_or(f64::NAN, |t| t.inverse_cdf(0.975));
    let by = wide * (left / free / sxx).sqrt();
    let told = if syy > 0.0 { 1.0 - left / syy } else { 1.0 };
    let rest = (left / count).sqrt();
    Some(Line { at_zero, slope, low: slope - by, high: slope + by, told, rest, points: points.len() })
}

impl Line {
    pub fn at(&self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}

impl Fit {
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let points: Vec<(f64, f64)> = points.iter().copied().filter(|(_, y)| y.is_finite()).collect();
        let from = points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
        let to = points.iter().map(|p| p.0).fold(0.0, f64::max);
        let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        Some(Self { from, to, line: line(&points)?, power: line(&logs) })
    }

    /// By the exponent: flat below a tenth, linear where its interval holds 1, else slower or faster.
    pub fn growth(&self) -> Growth {
        match self.power {
            Some(power) if power.high - power.low > 1.5 => Growth::Unclear,
            Some(power) if power.slope < 0.1 => Growth::Flat,
            Some(power) if power.low > 1.05 => Growth::Superlinear,
            Some(power) if power.high < 0.95 => Growth::Sublinear,
            Some(_) => Growth::Linear,
            None if self.line.low <= 0.0 && self.line.high >= 0.0 => Growth::Flat,
            None => Growth::Linear,
        }
    }

    /// What it comes to at a size: by the line, and by the power where there is one.
    pub fn at(&self, x: f64) -> (f64, Option<f64>) {
        (self.line.at(x), self.power.map(|power| power.at(x.ln()).exp()))
    }
}
