//! The file of rows: a header line of JSON with the experiment and the build, then one line for each run.
//!
//! Rows of another build or another experiment are rejected: a file contains one comparison. An accepted row
//! is never lost: each is written as one complete line, and a last line truncated by a kill is skipped when
//! the file is read.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use hdrhistogram::Histogram;
use linnethook_model::plan::Plan;
use linnethook_model::statistics::Statistics;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::experiment::{Case, Experiment};
use crate::faults::description;

/// The header of a file of rows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    pub title: String,
    /// The hash of the executable, and the hash of the experiment's plans.
    pub build: String,
    pub experiment: String,
    pub seconds: f64,
    pub variants: Vec<String>,
    pub setting: Option<String>,
    /// Readable descriptions of the faults, with their times in seconds.
    pub faults: Vec<(f64, String)>,
}

/// The quantiles of the latencies that a row contains.
pub const QUANTILES: [f64; 10] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 1.0];

/// The results of one run; shares are of first requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub variant: String,
    pub point: Option<f64>,
    pub seed: u64,
    pub asked: u64,
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    pub failed: f64,
    /// Latencies of served requests in milliseconds, at [`QUANTILES`].
    pub took: Vec<f64>,
    /// Requests per second that reached the origin: the mean, and the maximum of any second.
    pub origin: f64,
    pub origin_most: u32,
    /// Client retries per request, and requests whose work at the origin was wasted.
    pub repeats: f64,
    pub in_vain: u64,
    /// Crashes of servers.
    pub fell: u64,
    /// Seconds from the last fault until the share served in time has recovered to its level before the
    /// first fault; to the end of the run where it does not recover.
    pub back: Option<f64>,
    /// Breaches found by the checker, where the run was checked.
    pub breaches: Option<u64>,
    /// By second: the share served in time, and requests that reached the origin.
    pub by_second: Vec<f32>,
    pub origin_by_second: Vec<u32>,
}

impl Row {
    pub fn new(case: &Case, statistics: &Statistics, breaches: Option<u64>) -> Self {
        let Plan { seed, seconds, .. } = case.plan;
        let sum = |list: &[u32]| list.iter().map(|n| u64::from(*n)).sum::<u64>();
        let asked = sum(&statistics.requests);
        let part = |list: &[u32]| sum(list) as f64 / asked.max(1) as f64;
        let second = |(n, asked): (usize, &u32)| {
            statistics.in_time.get(n).copied().unwrap_or(0) as f32 / (*asked).max(1) as f32
        };
        Self {
            variant: case.variant.clone(),
            point: case.point,
            seed,
            asked,
            in_time: part(&statistics.in_time),
            late: part(&statistics.late),
            refused: part(&statistics.rejected),
            failed: part(&statistics.failed),
            took: quantiles(statistics.latencies_ms.iter().map(|ms| f64::from(*ms))),
            origin: sum(&statistics.origin_requests) as f64 / seconds,
            origin_most: statistics.origin_requests.iter().copied().max().unwrap_or(0),
            repeats: part(&statistics.client_retries),
            in_vain: statistics.wasted_origin_work,
            fell: statistics.crashes,
            back: recovery_seconds(&case.plan, statistics),
            breaches,
            by_second: statistics.requests.iter().enumerate().map(second).collect(),
            origin_by_second: statistics.origin_requests.clone(),
        }
    }

    /// The latency in milliseconds at one of [`QUANTILES`]; 0 for any other quantile.
    pub fn took_at(&self, quantile: f64) -> f64 {
        QUANTILES.iter().position(|q| *q == quantile).and_then(|n| self.took.get(n)).copied().unwrap_or(0.0)
    }

    fn is(&self, case: &Case) -> bool {
        self.variant == case.variant && self.point == case.point && self.seed == case.plan.seed
    }
}

/// Service has recovered once three consecutive seconds reach this ratio of the level before the first fault.
const RECOVERY_RATIO: f64 = 0.95;

fn recovery_seconds(plan: &Plan, statistics: &Statistics) -> Option<f64> {
    let first = plan.faults.iter().map(|(at, _)| *at).reduce(f64::min)?;
    let last = plan.faults.iter().map(|(at, _)| *at).reduce(f64::max)?;
    let (before, from, end) = (first.floor() as usize, last.ceil() as usize, plan.seconds.floor() as usize);
    // The first half is excluded, because caches are empty at the start.
    let wanted = statistics.in_time_share_between(before / 2, before) * RECOVERY_RATIO;
    let served = |second: &usize| statistics.in_time_share_between(*second, second + 3) >= wanted;
    let found = (from..end.saturating_sub(2)).find(served).unwrap_or(end);
    Some((found as f64 - last).max(0.0))
}

/// Latencies in milliseconds at [`QUANTILES`], to three significant digits; empty without latencies.
pub fn quantiles(took: impl Iterator<Item = f64>) -> Vec<f64> {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3) else { return Vec::new() };
    took.for_each(|ms| histogram.saturating_record((ms * 1_000.0).max(1.0) as u64));
    match histogram.is_empty() {
        true => Vec::new(),
        false => QUANTILES.iter().map(|q| histogram.value_at_quantile(*q) as f64 / 1_000.0).collect(),
    }
}

/// The hash of this executable.
pub fn build() -> io::Result<String> {
    Ok(format!("{:016x}", xxh3_64(&std::fs::read(std::env::current_exe()?)?)))
}

impl Header {
    pub fn new(experiment: &Experiment) -> io::Result<Self> {
        Ok(Self {
            title: experiment.title.clone(),
            build: build()?,
            experiment: experiment.digest(),
            seconds: experiment.plan.seconds,
            variants: experiment.variants.iter().map(|variant| variant.name.clone()).collect(),
            setting: experiment.sweep.as_ref().map(|sweep| sweep.setting.clone()),
            faults: experiment.plan.faults.iter().map(|(at, fault)| (*at, description(fault))).collect(),
        })
    }
}

/// Reads a file of rows; a truncated last line is skipped.
pub fn read(path: &Path) -> Result<(Header, Vec<Row>), String> {
    let error = |line: usize, what: &str| format!("{}:{line}: {what}", path.display());
    let file = File::open(path).map_err(|why| format!("{}: {why}", path.display()))?;
    let lines: Result<Vec<String>, io::Error> = BufReader::new(file).lines().collect();
    let lines = lines.map_err(|why| format!("{}: {why}", path.display()))?;
    let first = lines.first().ok_or_else(|| error(1, "expected a header, got an empty file"))?;
    let header: Header = serde_json::from_str(first).map_err(|why| error(1, &why.to_string()))?;
    let mut rows: Vec<Row> = Vec::new();
    for (n, line) in lines.iter().enumerate().skip(1) {
        match serde_json::from_str(line) {
            Ok(row) => rows.push(row),
            Err(_) if n + 1 == lines.len() => {}
            Err(why) => return Err(error(n + 1, &why.to_string())),
        }
    }
    // In the order of the experiment, independent of the order in which runs finished.
    let position = |row: &Row| header.variants.iter().position(|name| *name == row.variant);
    rows.sort_by(|a, b| {
        let points = a.point.unwrap_or(0.0).total_cmp(&b.point.unwrap_or(0.0));
        points.then(position(a).cmp(&position(b))).then(a.seed.cmp(&b.seed))
    });
    Ok((header, rows))
}

/// A file of rows open for appending.
pub struct Rows {
    file: File,
}

impl Rows {
    /// Creates a file, or opens one of the same experiment and build for appending; returns its existing
    /// rows too.
    ///
    /// # Errors
    /// A file of another build or experiment, and I/O errors.
    pub fn open(path: &Path, header: &Header) -> Result<(Self, Vec<Row>), String> {
        let failed = |why: io::Error| format!("{}: {why}", path.display());
        if !path.exists() {
            let file = File::create(path).map_err(failed)?;
            let mut rows = Self { file };
            rows.line(header)?;
            return Ok((rows, Vec::new()));
        }
        let (existing, rows) = read(path)?;
        for (what, here, there) in [
            ("build", &header.build, &existing.build),
            ("experiment", &header.experiment, &existing.experiment),
        ] {
            if here != there {
                let mismatch =
                    format!("{}: rows of another {what} ({there}, this is {here})", path.display());
                return Err(format!("{mismatch}: use another file"));
            }
        }
        // Rewritten with complete lines only, before rows are appended.
        let temporary = path.with_extension("part");
        let mut rewritten = Self { file: File::create(&temporary).map_err(failed)? };
        rewritten.line(header)?;
        rows.iter().try_for_each(|row| rewritten.add(row))?;
        std::fs::rename(&temporary, path).map_err(failed)?;
        let file = OpenOptions::new().append(true).open(path).map_err(failed)?;
        Ok((Self { file }, rows))
    }

    fn line(&mut self, line: &impl Serialize) -> Result<(), String> {
        let mut text = serde_json::to_string(line).map_err(|why| why.to_string())?;
        text.push('\n');
        self.file.write_all(text.as_bytes()).map_err(|why| why.to_string())
    }

    pub fn add(&mut self, row: &Row) -> Result<(), String> {
        self.line(row)
    }
}

/// The cases without a row.
pub fn remaining(cases: &[Case], rows: &[Row]) -> Vec<Case> {
    cases.iter().filter(|case| !rows.iter().any(|row| row.is(case))).cloned().collect()
}

/// Rows in the order of their cases.
pub fn sorted(cases: &[Case], rows: Vec<Row>) -> Vec<Row> {
    let position = |row: &Row| cases.iter().position(|case| row.is(case)).unwrap_or(usize::MAX);
    let mut rows: Vec<(usize, Row)> = rows.into_iter().map(|row| (position(&row), row)).collect();
    rows.sort_by_key(|(position, _)| *position);
    rows.into_iter().map(|(_, row)| row).collect()
}
