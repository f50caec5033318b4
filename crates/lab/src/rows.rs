//! Owns the file of rows: one line of JSON that says what was played and by which build, then one for each run.
//!
//! Rows of another build or another experiment are refused: a file holds one comparison. Must never lose a row that it
//! has taken: each is written and flushed whole, and what a kill cut off is left out when it is read.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use hdrhistogram::Histogram;
use linnethook_model::plan::Plan;
use linnethook_model::statistics::Statistics;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::experiment::{Case, Experiment};
use crate::faults::told;

/// What a file of rows is about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    pub title: String,
    /// Which program played it, by the hash of its file, and which experiment, by that of its plans.
    pub build: String,
    pub experiment: String,
    pub seconds: f64,
    pub variants: Vec<String>,
    pub setting: Option<String>,
    /// Faults by second, for people.
    pub faults: Vec<(f64, String)>,
}

/// Quantiles of the latencies that a row keeps.
pub const QUANTILES: [f64; 10] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 1.0];

/// What one run came to.
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
    /// Milliseconds that served requests took, at the quantiles above.
    pub took: Vec<f64>,
    /// Requests a second that reached the origin, in the mean and in the worst second.
    pub origin: f64,
    pub origin_most: u32,
    /// Repeats by clients for each request, and requests that the origin worked for in vain.
    pub repeats: f64,
    pub in_vain: u64,
    pub fell: u64,
    /// Seconds from the last fault until as much is served in time as before the first; where that is not seen again, to the
    /// end.
    pub back: Option<f64>,
    /// Rules that were broken, where the run was judged.
    pub breaches: Option<u64>,
    /// By second: the part served in time, and requests that reached the origin.
    pub by_second: Vec<f32>,
    pub origin_by_second: Vec<u32>,
}

impl Row {
    pub fn new(case: &Case, seen: &Statistics, breaches: Option<u64>) -> Self {
        let Plan { seed, seconds, .. } = case.plan;
        let sum = |list: &[u32]| list.iter().map(|n| u64::from(*n)).sum::<u64>();
        let asked = sum(&seen.requests);
        let part = |list: &[u32]| sum(list) as f64 / asked.max(1) as f64;
        let second = |(n, asked): (usize, &u32)| {
            seen.in_time.get(n).copied().unwrap_or(0) as f32 / (*asked).max(1) as f32
        };
        Self {
            variant: case.variant.clone(),
            point: case.point,
            seed,
            asked,
            in_time: part(&seen.in_time),
            late: part(&seen.late),
            refused: part(&seen.rejected),
            failed: part(&seen.failed),
            took: quantiles(seen.latencies_ms.iter().map(|ms| f64::from(*ms))),
            origin: sum(&seen.origin_requests) as f64 / seconds,
            origin_most: seen.origin_requests.iter().copied().max().unwrap_or(0),
            repeats: part(&seen.client_retries),
            in_vain: seen.wasted_origin_work,
            fell: seen.crashes,
            back: back(&case.plan, seen),
            breaches,
            by_second: seen.requests.iter().enumerate().map(second).collect(),
            origin_by_second: seen.origin_requests.clone(),
        }
    }

    /// Milliseconds at a quantile that is kept.
    pub fn took_at(&self, quantile: f64) -> f64 {
        QUANTILES.iter().position(|q| *q == quantile).and_then(|n| self.took.get(n)).copied().unwrap_or(0.0)
    }

    fn is(&self, case: &Case) -> bool {
        self.variant == case.variant && self.point == case.point && self.seed == case.plan.seed
    }
}

/// Service counts as back once three seconds in a row have so much of what it was.
const BACK: f64 = 0.95;

fn back(plan: &Plan, seen: &Statistics) -> Option<f64> {
    let first = plan.faults.iter().map(|(at, _)| *at).reduce(f64::min)?;
    let last = plan.faults.iter().map(|(at, _)| *at).reduce(f64::max)?;
    let (before, from, end) = (first.floor() as usize, last.ceil() as usize, plan.seconds.floor() as usize);
    // What comes in at the very beginning finds empty caches.
    let wanted = seen.in_time_share_between(before / 2, before) * BACK;
    let served = |second: &usize| seen.in_time_share_between(*second, second + 3) >= wanted;
    let found = (from..end.saturating_sub(2)).find(served).unwrap_or(end);
    Some((found as f64 - last).max(0.0))
}

/// Latencies in milliseconds at the quantiles that are kept, to three digits; none where there are none.
pub fn quantiles(took: impl Iterator<Item = f64>) -> Vec<f64> {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3) else { return Vec::new() };
    took.for_each(|ms| histogram.saturating_record((ms * 1_000.0).max(1.0) as u64));
    match histogram.is_empty() {
        true => Vec::new(),
        false => QUANTILES.iter().map(|q| histogram.value_at_quantile(*q) as f64 / 1_000.0).collect(),
    }
}

/// Which program this is.
pub fn build() -> io::Result<String> {
    Ok(format!("{:016x}", xxh3_64(&std::fs::read(std::env::current_exe()?)?)))
}

impl Header {
    pub fn new(experiment: &Experiment) -> io::Result<Self> {
        Ok(Self {
            title: experiment.title.clone(),
            build: build()?,
            experiment: experiment.mark(),
            seconds: experiment.plan.seconds,
            variants: experiment.variants.iter().map(|variant| variant.name.clone()).collect(),
            setting: experiment.sweep.as_ref().map(|sweep| sweep.setting.clone()),
            faults: experiment.plan.faults.iter().map(|(at, fault)| (*at, told(fault))).collect(),
        })
    }
}

/// Reads a file of rows; a last line that was cut off is left out.
pub fn read(path: &Path) -> Result<(Header, Vec<Row>), String> {
    let wrong = |line: usize, what: &str| format!("{}:{line}: {what}", path.display());
    let file = File::open(path).map_err(|why| format!("{}: {why}", path.display()))?;
    let lines: Result<Vec<String>, io::Error> = BufReader::new(file).lines().collect();
    let lines = lines.map_err(|why| format!("{}: {why}", path.display()))?;
    let first = lines.first().ok_or_else(|| wrong(1, "expected what was played, got an empty file"))?;
    let header: Header = serde_json::from_str(first).map_err(|why| wrong(1, &why.to_string()))?;
    let mut rows: Vec<Row> = Vec::new();
    for (n, line) in lines.iter().enumerate().skip(1) {
        match serde_json::from_str(line) {
            Ok(row) => rows.push(row),
            Err(_) if n + 1 == lines.len() => {}
            Err(why) => return Err(wrong(n + 1, &why.to_string())),
        }
    }
    // As the experiment names them, in whatever order they were played.
    let place = |row: &Row| header.variants.iter().position(|name| *name == row.variant);
    rows.sort_by(|a, b| {
        let points = a.point.unwrap_or(0.0).total_cmp(&b.point.unwrap_or(0.0));
        points.then(place(a).cmp(&place(b))).then(a.seed.cmp(&b.seed))
    });
    Ok((header, rows))
}

/// A file of rows that is being written.
pub struct Rows {
    file: File,
}

impl Rows {
    /// Begins a file, or goes on with one of the same experiment and build; with the rows that it has.
    pub fn open(path: &Path, header: &Header) -> Result<(Self, Vec<Row>), String> {
        let failed = |why: io::Error| format!("{}: {why}", path.display());
        if !path.exists() {
            let file = File::create(path).map_err(failed)?;
            let mut rows = Self { file };
            rows.line(header)?;
            return Ok((rows, Vec::new()));
        }
        let (known, rows) = read(path)?;
        for (what, here, there) in
            [("build", &header.build, &known.build), ("experiment", &header.experiment, &known.experiment)]
        {
            if here != there {
                let told = format!("{}: rows of another {what} ({there}, this is {here})", path.display());
                return Err(format!("{told}: give another file"));
            }
        }
        // Written anew, whole lines only, before it is gone on with.
        let beside = path.with_extension("part");
        let mut whole = Self { file: File::create(&beside).map_err(failed)? };
        whole.line(header)?;
        rows.iter().try_for_each(|row| whole.add(row))?;
        std::fs::rename(&beside, path).map_err(failed)?;
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

/// The cases that have no row yet.
pub fn left(cases: &[Case], rows: &[Row]) -> Vec<Case> {
    cases.iter().filter(|case| !rows.iter().any(|row| row.is(case))).cloned().collect()
}

/// Rows in the order of their cases.
pub fn sorted(cases: &[Case], rows: Vec<Row>) -> Vec<Row> {
    let place = |row: &Row| cases.iter().position(|case| row.is(case)).unwrap_or(usize::MAX);
    let mut rows: Vec<(usize, Row)> = rows.into_iter().map(|row| (place(&row), row)).collect();
    rows.sort_by_key(|(place, _)| *place);
    rows.into_iter().map(|(_, row)| row).collect()
}
