//! Slopes by least squares through all points, with the 95 % confidence interval of the slope.
//!
//! Points of fewer than three different sizes have no slope.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A line fitted to points, with its uncertainty.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub at_zero: f64,
    pub slope: f64,
    /// The 95 % confidence interval of the slope, if the residuals are random.
    pub low: f64,
    pub high: f64,
    /// Share of the variance explained by the line.
    #[serde(rename = "told")]
    pub variance_explained: f64,
    /// Root mean square of the residuals.
    #[serde(rename = "rest")]
    pub residual_rms: f64,
    pub points: usize,
}

/// How something grows with the number of routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Growth {
    Flat,
    /// Slower than the number of routers.
    Sublinear,
    Linear,
    Superlinear,
    /// The points scatter too much to decide.
    Unclear,
}

impl Growth {
    /// The name in tables.
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

/// Both fits of one measure: the line `y = at_zero + slope * x`, and the power law
/// `ln y = at_zero + slope * ln x`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub from: f64,
    pub to: f64,
    pub line: Line,
    /// Only where all points are positive.
    pub power: Option<Line>,
}

/// Fits a line to points; `None` with fewer than three different x, or with a value that is not finite.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let mut sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
    sizes.sort_unstable_by(f64::total_cmp);
    sizes.dedup();
    if sizes.len() < 3 || points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    let sxx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let syy: f64 = points.iter().map(|p| (p.1 - y).powi(2)).sum();
    let slope = sxy / sxx;
    let at_zero = y - slope * x;
    let squared_residuals: f64 = points.iter().map(|p| (p.1 - at_zero - slope * p.0).powi(2)).sum();
    let degrees_of_freedom = count - 2.0;
    let t_quantile = StudentsT::new(0.0, 1.0, degrees_of_freedom).map_or(f64::NAN, |t| t.inverse_cdf(0.975));
    let margin = t_quantile * (squared_residuals / degrees_of_freedom / sxx).sqrt();
    let variance_explained = if syy > 0.0 { 1.0 - squared_residuals / syy } else { 1.0 };
    let residual_rms = (squared_residuals / count).sqrt();
    Some(Line {
        at_zero,
        slope,
        low: slope - margin,
        high: slope + margin,
        variance_explained,
        residual_rms,
        points: points.len(),
    })
}

impl Line {
    /// The value of the line at x.
    pub fn at(&self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}

impl Fit {
    /// Fits both curves to the points with finite values; `None` where no line can be fitted.
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let points: Vec<(f64, f64)> = points.iter().copied().filter(|(_, y)| y.is_finite()).collect();
        let from = points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
        let to = points.iter().map(|p| p.0).fold(0.0, f64::max);
        let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        Some(Self { from, to, line: line(&points)?, power: line(&logs) })
    }

    /// Classifies the growth by the exponent of the power law: unclear with an interval wider than 1.5, flat
    /// with an exponent below 0.1, superlinear with an interval above 1.05, sublinear with one below 0.95,
    /// and otherwise linear. Without a power law, flat where the interval of the slope contains 0, and
    /// otherwise linear.
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

    /// The extrapolated value at a size: by the line, and by the power law where there is one.
    pub fn at(&self, x: f64) -> (f64, Option<f64>) {
        (self.line.at(x), self.power.map(|power| power.at(x.ln()).exp()))
    }
}
