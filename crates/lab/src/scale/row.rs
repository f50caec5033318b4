//! The records of a scale run: rows of one measure each, and the slopes through them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::fit::Fit;

/// How a row was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Half {
    /// Complete fleets of the shipped membership core in virtual time.
    Virtual,
    /// One shipped membership core that receives the facts of a fleet of that size.
    Alone,
    /// A component on its own, without a fleet.
    Part,
    /// Router processes with sockets.
    SocketsReal,
    /// Hollow processes with sockets.
    SocketsHollow,
}

/// How routers inform each other of the versions that they act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// Each router informs all others
    Flat,
    /// Each router informs its site; sites, zones and regions are summarized
    Summary,
}

/// The load on the fleet.
#[derive(Debug, Clone, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Load {
    /// Per second in the entire fleet.
    pub purges: f64,
    pub changes: f64,
    pub restarts: f64,
    pub fault: String,
}

/// One measure of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Identifier of the run, derived from its arguments and the build.
    pub run: String,
    pub half: Half,
    pub form: Form,
    pub measure: String,
    pub unit: String,
    /// What `size` counts: routers, or the unit of a component.
    pub of: String,
    pub size: f64,
    pub load: Load,
    pub seconds: f64,
    pub seed: u64,
    pub count: usize,
    /// Over routers or over events; `None` where the value is infinite.
    pub median: Option<f64>,
    pub p99: Option<f64>,
    pub worst: Option<f64>,
    /// How many of `count` values are infinite, because the event never happened.
    pub never: usize,
}

impl Row {
    /// Fills in the median, the 99th percentile and the maximum of values; infinite ones count as `never`.
    pub fn of(mut self, mut values: Vec<f64>) -> Self {
        self.count = values.len();
        self.never = values.iter().filter(|value| !value.is_finite()).count();
        values.sort_unstable_by(f64::total_cmp);
        let at = |quantile: f64| {
            let index = ((values.len() as f64 * quantile).ceil() as usize).clamp(1, values.len().max(1)) - 1;
            values.get(index).copied().filter(|value| value.is_finite())
        };
        (self.median, self.p99, self.worst) = (at(0.5), at(0.99), at(1.0));
        self
    }
}

/// A slope through the rows of one measure at one load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    pub run: String,
    pub half: Half,
    pub form: Form,
    pub measure: String,
    pub unit: String,
    pub of: String,
    pub load: Load,
    /// Fitted to the medians.
    pub fit: Fit,
}

fn load_key(load: &Load) -> String {
    let Load { purges, changes, restarts, fault } = load;
    format!("{purges} {changes} {restarts} {fault}")
}

/// The slopes of all measures with enough sizes, in the order of their first rows.
pub fn slopes(rows: &[Row]) -> Vec<Slope> {
    let mut group_indexes: BTreeMap<String, usize> = BTreeMap::new();
    let mut groups: Vec<(&Row, Vec<(f64, f64)>)> = Vec::new();
    for row in rows {
        let Some(median) = row.median else { continue };
        let key = format!("{:?} {:?} {} {} {}", row.half, row.form, row.measure, row.of, load_key(&row.load));
        let index = *group_indexes.entry(key).or_insert(groups.len());
        if index == groups.len() {
            groups.push((row, Vec::new()));
        }
        groups[index].1.push((row.size, median));
    }
    let slope = |(row, points): (&Row, Vec<(f64, f64)>)| {
        let Row { run, half, form, measure, unit, of, load, .. } = row.clone();
        Some(Slope { run, half, form, measure, unit, of, load, fit: Fit::new(&points)? })
    };
    groups.into_iter().filter_map(slope).collect()
}
