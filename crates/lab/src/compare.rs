//! Comparison of variants: paired differences by seed, with bootstrap confidence intervals.
//!
//! Only rows of the same seed and point are compared, because a seed is equally hard or easy for all
//! variants.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use statrs::statistics::Statistics;

use crate::faults::format_number;
use crate::rows::Row;

/// A mean with its 95 % confidence interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

/// Number of bootstrap resamples.
const RESAMPLES: usize = 4_000;

/// The mean of values with its interval; `None` without values.
pub fn estimate(all: &[f64], seed: u64) -> Option<Estimate> {
    if all.is_empty() {
        return None;
    }
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut draw =
        || (0..all.len()).map(|_| all[random.random_range(0..all.len())]).sum::<f64>() / all.len() as f64;
    let mut means: Vec<f64> = (0..RESAMPLES).map(|_| draw()).collect();
    means.sort_by(f64::total_cmp);
    Some(Estimate {
        mean: all.iter().mean(),
        low: means[RESAMPLES / 40],
        high: means[RESAMPLES - 1 - RESAMPLES / 40],
    })
}

/// The mean difference of pairs, first minus second; `None` without pairs.
pub fn difference(pairs: &[(f64, f64)], seed: u64) -> Option<Estimate> {
    estimate(&pairs.iter().map(|(one, other)| one - other).collect::<Vec<_>>(), seed)
}

/// The rows of one variant at one point.
pub fn of<'a>(rows: &'a [Row], variant: &'a str, point: Option<f64>) -> impl Iterator<Item = &'a Row> {
    rows.iter().filter(move |row| row.variant == variant && row.point == point)
}

/// The mean of a figure over seeds, with its interval.
pub fn figure(
    rows: &[Row],
    variant: &str,
    point: Option<f64>,
    figure: impl Fn(&Row) -> f64,
) -> Option<Estimate> {
    estimate(&of(rows, variant, point).map(figure).collect::<Vec<_>>(), 1)
}

/// The difference of a figure between a variant and the first one, paired by seed.
pub fn against(
    rows: &[Row],
    (variant, first): (&str, &str),
    point: Option<f64>,
    figure: impl Fn(&Row) -> f64,
) -> Option<Estimate> {
    let pair = |row: &Row| {
        let other = of(rows, first, point).find(|other| other.seed == row.seed)?;
        Some((figure(row), figure(other)))
    };
    difference(&of(rows, variant, point).filter_map(pair).collect::<Vec<_>>(), 1)
}

fn distinct<T: PartialEq>(all: impl Iterator<Item = T>) -> Vec<T> {
    let mut out = Vec::new();
    all.for_each(|one| {
        if !out.contains(&one) {
            out.push(one);
        }
    });
    out
}

/// The variants, in order of first occurrence.
pub fn variants(rows: &[Row]) -> Vec<&str> {
    distinct(rows.iter().map(|row| row.variant.as_str()))
}

/// The values of the swept parameter, in order of first occurrence.
pub fn points(rows: &[Row]) -> Vec<Option<f64>> {
    distinct(rows.iter().map(|row| row.point))
}

/// A column of the table: its heading, its decimal places, and the figure of a row.
type Column = (&'static str, usize, fn(&Row) -> f64);

/// The columns of the table.
pub const COLUMNS: &[Column] = &[
    ("in time", 4, |row| row.in_time),
    ("late", 4, |row| row.late),
    ("refused", 4, |row| row.refused),
    ("failed", 4, |row| row.failed),
    ("p50 ms", 1, |row| row.took_at(0.5)),
    ("p99 ms", 1, |row| row.took_at(0.99)),
    ("origin/s", 1, |row| row.origin),
    ("most", 1, |row| f64::from(row.origin_most)),
    ("repeats", 2, |row| row.repeats),
    ("back s", 1, |row| row.back.unwrap_or(0.0)),
    ("fell", 1, |row| row.fell as f64),
];

/// A readable table: one line for each point and variant.
pub fn table(rows: &[Row], setting: Option<&str>) -> String {
    let names = variants(rows);
    let Some(first) = names.first().copied() else { return "no rows\n".to_string() };
    let judged = rows.iter().any(|row| row.breaches.is_some());
    let width = names.iter().map(|name| name.chars().count()).max().unwrap_or(0).max(18);
    let mut out = format!("{:<width$} {:>25}", "variant", "against the first");
    COLUMNS.iter().for_each(|(head, ..)| out += &format!(" {head:>9}"));
    out += if judged { "  breaches\n" } else { "\n" };
    for point in points(rows) {
        if let Some(value) = point {
            out += &format!("{} = {}\n", setting.unwrap_or("at"), format_number(value));
        }
        for name in &names {
            if of(rows, name, point).next().is_none() {
                continue;
            }
            let against = against(rows, (name, first), point, |row| row.in_time).filter(|_| *name != first);
            let against =
                against.map_or("-".to_string(), |d| format!("{:+.4} ({:+.4} {:+.4})", d.mean, d.low, d.high));
            out += &format!("{name:<width$} {against:>25}");
            for (_, digits, get) in COLUMNS {
                let mean = of(rows, name, point).map(get).collect::<Vec<_>>().iter().mean();
                out += &format!(" {mean:>9.digits$}");
            }
            if judged {
                let all: u64 = of(rows, name, point).filter_map(|row| row.breaches).sum();
                out += &format!(" {all:>9}");
            }
            out += "\n";
        }
    }
    out
}

/// Each variant compared with the same variant of an earlier build, paired by seed.
pub fn with_before(before: &[Row], now: &[Row], setting: Option<&str>) -> String {
    let named = |rows: &[Row], what: &str| -> Vec<Row> {
        let name = |row: &Row| Row { variant: format!("{}, {what}", row.variant), ..row.clone() };
        rows.iter().map(name).collect()
    };
    let mut out = String::new();
    for variant in variants(now) {
        let of_variant = |rows: &[Row]| -> Vec<Row> {
            rows.iter().filter(|row| row.variant == variant).cloned().collect()
        };
        let pair = [named(&of_variant(before), "before"), named(&of_variant(now), "now")].concat();
        out += &table(&pair, setting);
    }
    out
}
